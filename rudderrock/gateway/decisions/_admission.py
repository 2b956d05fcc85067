"""Admission control: an adaptive limit on concurrent queries over shards.

When the shards get more queries than they can serve, queues grow at all of
them and every answer is late. The number of concurrent queries is therefore
limited by additive increase and multiplicative decrease, as in TCP congestion
control (Chiu and Jain, 1989). Queries above the limit are refused at once,
those of low priority first, and those of teams that have used more than their
share.
"""

import collections
import dataclasses

from rudderrock import core
from rudderrock.gateway.decisions import _return_times as return_times
from rudderrock.gateway.decisions import _team_shares as team_shares
from rudderrock.gateway.discovery import _teams as teams

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
# Ranks from which on queries are treated alike, so that half of the limit is
# left to the least urgent ones however many priorities there are.
MAX_RANK = 3
# A team that has used more than its share may use this fraction of the limit
# of its rank. The rest is kept for the other teams.
LENT_FRACTION = 0.7
# A team below its share may exceed the limit by this factor and one query,
# because the limit adapts faster to its queries than the queries of other
# teams end. The additional query matters where few fit at once.
BELOW_SHARE_FACTOR = 1.25
# Time after which a refused caller may retry, in seconds. The queues of a
# short burst are empty by then.
RETRY_AFTER_S = 0.3
# Longest time that a refused caller of a team is told to wait, in seconds.
MAX_RETRY_AFTER_S = 2.0


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
    shares: team_shares.TeamShares | None = None
    returns: return_times.ReturnTimes | None = None


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

    def try_acquire(
        self,
        state: LimitState,
        rank: int,
        team: teams.Team | None = None,
        cost: int = 1,
    ) -> bool:
        """Admit a query if the limit allows; return whether it was admitted.

        Rank 0 has the highest priority. `cost` is the number of shard
        requests.
        """
        allowed = self._get_allowed(state, rank, team)
        is_admitted = state.in_flight < allowed
        if team is not None:
            state.shares.record(team, cost, is_admitted)
        if is_admitted:
            state.in_flight += 1
        else:
            self.refused += 1
        return is_admitted

    def _get_allowed(
        self, state: LimitState, rank: int, team: teams.Team | None
    ) -> float:
        """Return how many queries may be in flight for one to be admitted."""
        limit = state.limit * RANK_FRACTION ** min(rank, MAX_RANK)
        allowed = max(MIN_LIMIT, limit)
        if team is None:
            return allowed
        if state.shares is None:
            state.shares = team_shares.TeamShares(self._clock)
            state.returns = return_times.ReturnTimes()
        if state.in_flight < LENT_FRACTION * limit:
            return allowed
        match state.shares.classify(team):
            case team_shares.Standing.STARVED:
                return state.limit * BELOW_SHARE_FACTOR + 1.0
            case team_shares.Standing.BELOW:
                return limit * BELOW_SHARE_FACTOR + 1.0
            case team_shares.Standing.EVEN:
                return allowed
            case team_shares.Standing.OVER:
                return LENT_FRACTION * limit

    def get_retry_after_s(
        self, state: LimitState, team: teams.Team | None
    ) -> float:
        """Return when a refused query may return, in seconds.

        Queries of teams return as fast as queries are being admitted.
        """
        if team is None:
            return RETRY_AFTER_S
        return state.returns.reserve(
            self._clock.now(),
            RETRY_AFTER_S,
            1.0 / max(1.0, state.shares.get_admission_rate()),
            MAX_RETRY_AFTER_S,
        )

    def describe(
        self, state: LimitState, rank: int, team: teams.Team | None
    ) -> str:
        """Return why a query is refused, for its log line."""
        text = (
            f'{state.in_flight} in flight, limit {state.limit:.1f}, '
            f'priority rank {rank}'
        )
        if team is None:
            return text
        return f'{text}, team {state.shares.classify(team).value}'

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
