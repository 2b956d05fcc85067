"""Budgets for hedges and retries, and counts of requests sent."""

import dataclasses

from rudderrock import state
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _dispatch as dispatch

# Hedge delay while the least latency of an upstream is unknown, and the
# highest hedge threshold.
UNKNOWN_PATIENCE_S = 0.05
_LONGEST_PATIENCE_S = 10.0


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Totals since the start of the host, for its metrics.

    `first`, `hedges` and `retries` count requests sent to upstreams; `shards`
    counts the shards that queries asked for. Extra load is what was sent
    beyond one request per shard.
    """

    shards: int = 0
    first: int = 0
    hedges: int = 0
    retries: int = 0
    hedge_wins: int = 0
    hedges_denied: int = 0
    hedges_waiting: int = 0
    retries_denied: int = 0
    restarts: int = 0

    @property
    def extra_load(self) -> float:
        """Return the ratio of extra requests to requested shards."""
        return (self.hedges + self.retries) / max(1, self.shards)


class ExtraRequests:
    """Budgets for hedges and retries, and the hedge thresholds.

    A hedge takes a token from the budgets of the host and of the service; a
    retry from those of the team and of the service. No team or service can
    therefore use up the budget of another.
    """

    def __init__(self, settings: state.Settings):
        self.counters = QueryCounters()
        self._hedging = settings.hedging
        self._retrying = settings.retries
        self._hedges = budgets.Budget(
            settings.hedging.budget, settings.hedging.host_burst
        )
        self._teams: dict[state.TeamId, budgets.Budget] = {}
        self._late_points: dict[state.CollectionId, state.LatePoint] = {}

    def earn(self, service: dispatch.Service, team: state.TeamId) -> None:
        """Count the first request for a shard, which fills the budgets."""
        self.counters.shards += 1
        self._hedges.earn()
        service.hedges.earn()
        service.retries.earn()
        self._find_team(team).earn()

    def can_hedge(self, service: dispatch.Service) -> bool:
        """Return whether the budgets allow a hedge."""
        return service.hedges.can_spend() and self._hedges.can_spend()

    def pay_hedge(self, service: dispatch.Service) -> None:
        """Count a hedge that was sent, and charge its budgets."""
        budgets.spend_all((service.hedges, self._hedges))
        self.counters.hedges += 1

    def can_retry(self, service: dispatch.Service, team: state.TeamId) -> bool:
        """Return whether the budgets allow a retry."""
        budget = self._find_team(team)
        return service.retries.can_spend() and budget.can_spend()

    def pay_retry(self, service: dispatch.Service, team: state.TeamId) -> None:
        """Count a retry that was sent, and charge its budgets."""
        budgets.spend_all((service.retries, self._find_team(team)))
        self.counters.retries += 1

    def find_late_point(
        self, collection: state.CollectionId
    ) -> state.LatePoint:
        """Return the hedge threshold of a collection.

        A request is late if it exceeds the least latency of its upstream by
        more than the threshold. All services of a collection share one
        threshold: a host sends few requests to a single service, and the
        causes of lateness are the same for all of them. The least latency is
        kept for each upstream.
        """
        late_point = self._late_points.get(collection)
        if late_point is None:
            hedging = self._hedging
            late_point = state.LatePoint(
                1.0 - hedging.percentile / 100.0,
                start=max(UNKNOWN_PATIENCE_S, hedging.min_delay_s),
                lowest=hedging.min_delay_s,
                highest=_LONGEST_PATIENCE_S,
            )
            self._late_points[collection] = late_point
        return late_point

    def _find_team(self, team: state.TeamId) -> budgets.Budget:
        budget = self._teams.get(team)
        if budget is None:
            budget = budgets.Budget(
                self._retrying.budget, self._retrying.burst
            )
            self._teams[team] = budget
        return budget
