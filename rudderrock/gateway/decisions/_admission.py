"""Admission control: an adaptive limit on concurrent queries over shards.

When the shards get more queries than they can serve, queues grow at all of
them and every answer is late. The number of concurrent queries is therefore
limited by additive increase and multiplicative decrease, as in TCP congestion
control (Chiu and Jain, 1989). Queries above the limit are refused at once,
those of low priority first.
"""

import collections
import dataclasses

from rudderrock import core

# A query counts as congested if more than CONGESTED_SHARD_FRACTION of its
# shards were late and it took at least CONGESTED_GOAL_FRACTION of its latency
# goal. The first condition ignores a single slow shard of a wide query.
CONGESTED_SHARD_FRACTION = 0.3
CONGESTED_GOAL_FRACTION = 0.8
# Weight of one query in the moving average of the fraction of congested
# queries. The limit decreases while the average is above _DECREASE_ABOVE, and
# may increase while it is below _INCREASE_BELOW.
_QUERY_WEIGHT = 0.1
_DECREASE_ABOVE = 0.4
_INCREASE_BELOW = 0.2
# Factor by which the limit decreases, and minimum time between two decreases,
# in seconds. A decrease has an effect only after queries in flight have ended.
_DECREASE_FACTOR = 0.8
_DECREASE_INTERVAL_S = 0.2
# The limit increases by one per interval, in seconds, while at least the
# fraction _MIN_UTILIZATION of it is in use.
_INCREASE_INTERVAL_S = 0.3
_MIN_UTILIZATION = 0.7
MIN_LIMIT = 1
# Initial and maximum limit.
MAX_LIMIT = 256
# If queries are still congested after _MAX_TIME_AT_MIN_S at the minimum limit,
# refusing queries does not help. The limit is then reset to MAX_LIMIT and
# not decreased for _SUSPENSION_S.
_MAX_TIME_AT_MIN_S = 2.0
_SUSPENSION_S = 15.0
# Each rank of lower priority may use this fraction of the limit of the rank
# above it.
RANK_FRACTION = 0.8
# Time after which a refused caller may retry, in seconds. The queues of a
# short burst are empty by then.
RETRY_AFTER_S = 0.3


@dataclasses.dataclass(slots=True)
class LimitState:
    """State of the concurrency limit for one set of shards."""

    limit: float = MAX_LIMIT
    in_flight: int = 0
    congested_fraction: float = 0.0
    decreased_at: float = 0.0
    increased_at: float = 0.0
    at_min_since: float | None = None
    suspended_until: float = 0.0


class Admission:
    """Adaptive concurrency limits, one for each set of shards."""

    def __init__(self, clock: core.Clock):
        self.refused = 0
        self._clock = clock
        self._limits: collections.defaultdict[tuple[str, ...], LimitState] = (
            collections.defaultdict(LimitState)
        )

    def get_limit(self, shards: tuple[str, ...]) -> LimitState:
        """Return the state of the concurrency limit of a set of shards."""
        return self._limits[shards]

    def try_acquire(self, state: LimitState, rank: int) -> bool:
        """Admit a query if the limit allows; return whether it was admitted.

        Rank 0 has the highest priority.
        """
        if state.in_flight >= max(
            MIN_LIMIT, state.limit * RANK_FRACTION**rank
        ):
            self.refused += 1
            return False
        state.in_flight += 1
        return True

    def release(self, state: LimitState, congested: bool | None) -> None:
        """Release the slot of a query and adapt the limit.

        `congested` is None if the query was cancelled, which is no evidence
        for or against congestion.
        """
        in_flight = state.in_flight
        state.in_flight -= 1
        if congested is None:
            return
        state.congested_fraction += _QUERY_WEIGHT * (
            congested - state.congested_fraction
        )
        now = self._clock.now()
        if state.congested_fraction > _DECREASE_ABOVE:
            self._decrease(state, in_flight, now)
        elif state.congested_fraction < _INCREASE_BELOW:
            state.at_min_since = None
            self._increase(state, in_flight, now)

    def _decrease(self, state: LimitState, in_flight: int, now: float) -> None:
        if (
            now < state.suspended_until
            or now - state.decreased_at < _DECREASE_INTERVAL_S
        ):
            return
        state.decreased_at = now
        decreased = min(state.limit, in_flight) * _DECREASE_FACTOR
        state.limit = max(float(MIN_LIMIT), decreased)
        if state.limit > MIN_LIMIT:
            state.at_min_since = None
        elif state.at_min_since is None:
            state.at_min_since = now
        elif now - state.at_min_since >= _MAX_TIME_AT_MIN_S:
            state.at_min_since = None
            state.limit = float(MAX_LIMIT)
            state.suspended_until = now + _SUSPENSION_S

    def _increase(self, state: LimitState, in_flight: int, now: float) -> None:
        is_utilized = in_flight >= _MIN_UTILIZATION * state.limit
        if is_utilized and now - state.increased_at >= _INCREASE_INTERVAL_S:
            state.increased_at = now
            state.limit = min(state.limit + 1.0, float(MAX_LIMIT))


def is_congested(
    late: int, shards: int, elapsed_s: float, goal_s: float
) -> bool:
    """Return whether a query met congestion; times in seconds."""
    has_many_late = late > CONGESTED_SHARD_FRACTION * shards
    return has_many_late and elapsed_s >= CONGESTED_GOAL_FRACTION * goal_s
