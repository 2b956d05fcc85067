"""Names of the HTTP headers that the gateway reads and sets.

The defaults are rudderrock's own names. An adapter can replace them with the
names of its platform. All names are in lower case, because header names are
compared in lower case.
"""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """The name of each header.

    - `request_id` identifies a request as its caller sent it. All attempts of
      the gateway have the same id; a caller that sends a request again uses
      another one.
    - `deadline_ms` is how long the sender will wait, in milliseconds.
    - `expected_upstream` names the only upstream that may run the request.
    - `stamp` is the upstream's signature of a reply.
    - `not_run` marks the rejection of a request that has not been run.
    - `part_stamps` lists the signatures of the shard replies in a merged
      reply.
    - `missing_parts` counts the shards that a merged reply lacks.
    - `team` identifies the team that sends the request, if the caller states
      it.
    """

    request_id: bytes = b'rudderrock-request-id'
    deadline_ms: bytes = b'rudderrock-deadline-ms'
    expected_upstream: bytes = b'rudderrock-expect-upstream'
    stamp: bytes = b'rudderrock-stamp'
    not_run: bytes = b'rudderrock-not-run'
    part_stamps: bytes = b'rudderrock-part-stamps'
    missing_parts: bytes = b'rudderrock-missing-parts'
    team: bytes = b'rudderrock-team'


@functools.cache
def list_end_to_end(names: HeaderNames) -> frozenset[bytes]:
    """Return the headers that no `Connection` header can take away.

    They are those that hosts and upstreams rely on. A sender must not list
    them (RFC 9110, 7.6.1), but nothing keeps a caller from it.
    """
    return frozenset({b'host', *dataclasses.astuple(names)})
