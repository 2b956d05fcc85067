"""How a request ended, and the answers that the tier gives itself."""

from collections.abc import Iterable
import dataclasses
import enum

from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages

# How soon a caller may come back after a request that did not run, in
# seconds: long enough for a passing shortage, well inside a deadline.
RETRY_AFTER_S = 0.1
# Shards that the line of a query names, so that it stays short.
MOST_NAMED = 8


class Outcome(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = 'answered'
    PARTIAL = 'partial'
    UPSTREAM_FAILED = 'upstream_failed'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    NOT_RUN = 'not_run'
    OVERLOADED = 'overloaded'
    QUARANTINED = 'quarantined'
    UNROUTED = 'unrouted'
    INVALID = 'invalid'
    NOT_READY = 'not_ready'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass(slots=True)
class Result:
    """The reply to a caller and how it came about.

    This host has `asked` so many upstreams and hosts, and `received` so many
    bytes of records from them. `lost` of its attempts ended with the
    connection, after they had been sent.
    """

    reply: messages.Reply
    outcome: Outcome
    detail: str = ''
    shards: int = 1
    answered: int = 0
    asked: int = 0
    received: int = 0
    late: int = 0
    far: int = 0
    extras: int = 0
    denied: int = 0
    lost: int = 0
    waited_for: str = ''


def join_some(items: Iterable[str]) -> str:
    """Return the first of some items, and how many more there are."""
    listed = list(items)
    named = listed[:MOST_NAMED]
    if len(listed) > MOST_NAMED:
        named.append(f'{len(listed) - MOST_NAMED} more')
    return '; '.join(named)


def refuse(
    names: dialect.HeaderNames,
    request_id: bytes,
    retry_after_s: float,
    outcome: Outcome,
    detail: str = '',
) -> Result:
    """Say that a request has not run and when to come back."""
    headers = [
        (names.request_id, request_id),
        (b'retry-after', b'%.2f' % retry_after_s),
    ]
    return Result(messages.Reply(503, headers), outcome, detail)


def fail(
    names: dialect.HeaderNames,
    request_id: bytes,
    timed_out: bool,
    detail: str,
) -> Result:
    """Answer for a request that may have run and has no answer."""
    outcome = Outcome.TIMED_OUT if timed_out else Outcome.LOST
    headers = [(names.request_id, request_id)]
    reply = messages.Reply(504 if timed_out else 502, headers)
    return Result(reply, outcome, detail)


def explain_failure(
    names: dialect.HeaderNames,
    request_id: bytes,
    reached: bool,
    timed_out: bool,
    detail: str,
    probe: canary.Canary,
) -> Result:
    """Answer for what failed: 503 only if no upstream may have run it."""
    if reached:
        return fail(names, request_id, timed_out, detail)
    if probe.is_stopped:
        return refuse(
            names,
            request_id,
            probe.get_retry_after_s(),
            Outcome.QUARANTINED,
            detail,
        )
    return refuse(names, request_id, RETRY_AFTER_S, Outcome.NOT_RUN, detail)
