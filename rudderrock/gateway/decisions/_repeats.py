"""Which requests are repeated at upstreams that have all rejected them.

The load is a service whose upstreams reject a part of the requests although
they have room. Each rejected request could be repeated, but the budget of
extra requests allows only some repeats. Callers come back after a refusal,
and the first attempt of their new request needs no budget, adds to it, and is
as likely to be accepted as a repeat. So a request waits for the budget no
longer than its caller's return takes, if the caller has not been refused
before. A caller that has may not come again: its request goes first, and waits
until its latency goal.

This holds for requests to one service. A query to many shards keeps the
answers that it has while it waits; a new query would have to collect them.
"""

import collections
import enum

from rudderrock import core

# Time in seconds for which a refused request is remembered. Refusals ask
# callers to return sooner.
MEMORY_S = 10.0
# Maximum number of refused requests that are remembered.
MAX_REFUSED = 256
# Repeats that may be sent at once after a time without any, and the rate of
# the others as a multiple of the rate at which the budget is renewed. The
# window of the budget is the limit; the pace only keeps repeats from using it
# up in a burst.
BURST = 4
RATE_FACTOR = 1.2


class RepeatKind(enum.Enum):
    """Whether an attempt repeats others, and the caller was refused before.

    NONE is an attempt at an upstream that has not rejected the request, or of
    a query to many shards. FIRST and RETURNED are repeats, for a caller that
    was not refused before and for one that was.
    """

    NONE = 'none'
    FIRST = 'first'
    RETURNED = 'returned'


class RefusedRequests:
    """Digests of the requests that this host refused a short time ago."""

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._refused_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, digest: str) -> None:
        """Remember a request that is refused now."""
        self._refused_at[digest] = self._clock.now()
        self._refused_at.move_to_end(digest)
        if len(self._refused_at) > MAX_REFUSED:
            self._refused_at.popitem(last=False)

    def take(self, digest: str) -> bool:
        """Forget a request; return whether it was refused lately."""
        refused_at = self._refused_at.pop(digest, None)
        if refused_at is None:
            return False
        return self._clock.now() - refused_at < MEMORY_S


class RepeatPace:
    """The pace of the repeats at one service.

    This is the generic cell rate algorithm of ITU-T I.371 (virtual
    scheduling). Repeats of RETURNED requests may use the whole burst, those
    of FIRST requests only a pace that is idle.

    >>> pace = RepeatPace()
    >>> pace.record(10.0, 0.5)
    >>> pace.get_wait_s(10.0, 0.5, RepeatKind.FIRST)
    0.5
    >>> pace.get_wait_s(10.0, 0.5, RepeatKind.RETURNED)
    0.0
    """

    def __init__(self) -> None:
        self._idle_at = 0.0

    def get_wait_s(
        self, now: float, interval_s: float, kind: RepeatKind
    ) -> float:
        """Return in how many seconds a repeat may be sent, 0 if now."""
        ahead = BURST if kind is RepeatKind.RETURNED else 0
        return max(0.0, self._idle_at - ahead * interval_s - now)

    def record(self, now: float, interval_s: float) -> None:
        """Record a repeat that is sent now."""
        self._idle_at = max(self._idle_at, now) + interval_s


def get_interval_s(window_s: float, allowed: float) -> float:
    """Return the time between repeats, in seconds.

    The budget allows `allowed` extra requests in any `window_s` seconds.
    """
    return window_s / (max(1.0, allowed) * RATE_FACTOR)


def get_wait_limit_s(
    kind: RepeatKind, goal_s: float, return_s: float
) -> float | None:
    """Return until when after its arrival a request waits for the budget.

    `goal_s` is its latency goal, and `return_s` the time after which a refused
    caller is told to return. None means that the deadline is the only limit.
    """
    match kind:
        case RepeatKind.NONE:
            return None
        case RepeatKind.FIRST:
            return min(return_s, goal_s)
        case RepeatKind.RETURNED:
            return goal_s
