"""The names of the headers that the tier reads and sets.

Defaults are the product's own; an adapter hands in those of its platform.
All names are in lower case, as header names are compared.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """One name for each thing that a header says.

    `request_id` identifies one attempt of a caller; `deadline_ms` is how
    long the sender will wait; `expected_upstream` names the only upstream
    that may run the request; `stamp` signs an answer; `not_run` marks a
    rejection as one that ran nothing; `part_stamps` lists the stamps of
    the parts of a merged answer and `missing_parts` counts the shards that
    are left out of it. `team` names the team that asks, where callers say so.
    """

    request_id: bytes = b'rudderrock-request-id'
    deadline_ms: bytes = b'rudderrock-deadline-ms'
    expected_upstream: bytes = b'rudderrock-expect-upstream'
    stamp: bytes = b'rudderrock-stamp'
    not_run: bytes = b'rudderrock-not-run'
    part_stamps: bytes = b'rudderrock-part-stamps'
    missing_parts: bytes = b'rudderrock-missing-parts'
    team: bytes = b'rudderrock-team'
