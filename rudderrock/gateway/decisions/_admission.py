"""How many queries over shards one host runs at once, and which.

When more is asked than the shards can do, queues grow at all of them and no
answer is in time. So the number of queries under way is bounded, by the rule
of TCP congestion control (Chiu and Jain, 1989): a little more while it helps,
a good part less when it doesn't. What is beyond the bound is refused at once,
the less urgent first.
"""

import collections
import dataclasses

from rudderrock import core

# A query is congested if more than this part of its shards was late, so that
# the cause is not one slow shard, and it took this part of its goal or more.
CONGESTED_PART = 0.3
CONGESTED_GOAL = 0.8
# Weight of one query in the moving fraction of congested ones, and the
# fractions at which the bound falls and may grow.
_WEIGHT = 0.1
_FALL_AT = 0.4
_GROW_AT = 0.2
# How far the bound falls, at most this often, in seconds: a change shows
# only when queries have come and gone.
_FALL_FACTOR = 0.8
_FALL_EVERY_S = 0.2
# The bound grows by one in this time while it is nearly reached, seconds.
_GROW_EVERY_S = 0.3
_NEARLY = 0.7
LEAST = 1
START = 256
# If queries are congested even at the least bound for so long, refusing does
# not help them; it is given up for a while. Seconds.
_USELESS_AFTER_S = 2.0
_GIVE_UP_S = 15.0
# Each rank of urgency leaves this part of the bound to the next.
RANK_SHARE = 0.8
# When a refused caller may come back, in seconds: queues of a passing burst
# have gone by then.
RETRY_AFTER_S = 0.3


@dataclasses.dataclass(slots=True)
class Gate:
    """The bound of the queries over one set of shards."""

    limit: float = START
    under_way: int = 0
    congested: float = 0.0
    fell_at: float = 0.0
    grew_at: float = 0.0
    least_since: float | None = None
    open_until: float = 0.0


class Admission:
    """A gate for each set of shards."""

    def __init__(self, clock: core.Clock):
        self.refused = 0
        self._clock = clock
        self._gates: collections.defaultdict[tuple[str, ...], Gate] = (
            collections.defaultdict(Gate)
        )

    def get_gate(self, shards: tuple[str, ...]) -> Gate:
        """Return the gate of a set of shards."""
        return self._gates[shards]

    def try_enter(self, gate: Gate, rank: int) -> bool:
        """Take a place if there is one; rank 0 is the most urgent."""
        if gate.under_way >= max(LEAST, gate.limit * RANK_SHARE**rank):
            self.refused += 1
            return False
        gate.under_way += 1
        return True

    def leave(self, gate: Gate, congested: bool | None) -> None:
        """Give the place back; None if the query was given up.

        A query that was given up says nothing of congestion.
        """
        busy = gate.under_way
        gate.under_way -= 1
        if congested is None:
            return
        gate.congested += _WEIGHT * (congested - gate.congested)
        now = self._clock.now()
        if gate.congested > _FALL_AT:
            self._fall(gate, busy, now)
        elif gate.congested < _GROW_AT:
            gate.least_since = None
            self._grow(gate, busy, now)

    def _fall(self, gate: Gate, busy: int, now: float) -> None:
        if now < gate.open_until or now - gate.fell_at < _FALL_EVERY_S:
            return
        gate.fell_at = now
        fallen = min(gate.limit, busy) * _FALL_FACTOR
        gate.limit = max(float(LEAST), fallen)
        if gate.limit > LEAST:
            gate.least_since = None
        elif gate.least_since is None:
            gate.least_since = now
        elif now - gate.least_since >= _USELESS_AFTER_S:
            gate.least_since = None
            gate.limit = float(START)
            gate.open_until = now + _GIVE_UP_S

    def _grow(self, gate: Gate, busy: int, now: float) -> None:
        nearly = busy >= _NEARLY * gate.limit
        if nearly and now - gate.grew_at >= _GROW_EVERY_S:
            gate.grew_at = now
            gate.limit = min(gate.limit + 1.0, float(START))


def is_congested(
    late: int, shards: int, elapsed_s: float, goal_s: float
) -> bool:
    """Tell whether a query met congestion; times in seconds."""
    many = late > CONGESTED_PART * shards
    return many and elapsed_s >= CONGESTED_GOAL * goal_s
