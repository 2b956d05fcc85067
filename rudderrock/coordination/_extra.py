"""What a host may send beyond one request a shard, and what it has sent."""

import dataclasses

from rudderrock import state
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _dispatch as dispatch

# What is not yet late while nothing is known, and the longest there can be.
UNKNOWN_PATIENCE_S = 0.05
_LONGEST_PATIENCE_S = 10.0


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Counts over the life of a host, for its metrics.

    `first`, `hedges` and `retries` are requests sent to upstreams;
    `shards` is what was asked for. Extra load is what was sent beyond it.
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
        """Return extra requests as a part of those asked for."""
        return (self.hedges + self.retries) / max(1, self.shards)


class ExtraRequests:
    """Budgets of hedges and retries, and when a request is late.

    Hedges are paid for by the host and the service, retries by the team
    and the service, so none of them can spend what is another's.
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
        """Note the first request for a shard, which earns for extra ones."""
        self.counters.shards += 1
        self._hedges.earn()
        service.hedges.earn()
        service.retries.earn()
        self._find_team(team).earn()

    def can_hedge(self, service: dispatch.Service) -> bool:
        """Tell whether there is budget for a hedge."""
        return service.hedges.can_spend() and self._hedges.can_spend()

    def pay_hedge(self, service: dispatch.Service) -> None:
        """Pay for a hedge that has been sent."""
        budgets.spend_all((service.hedges, self._hedges))
        self.counters.hedges += 1

    def can_retry(self, service: dispatch.Service, team: state.TeamId) -> bool:
        """Tell whether there is budget for a retry."""
        budget = self._find_team(team)
        return service.retries.can_spend() and budget.can_spend()

    def pay_retry(self, service: dispatch.Service, team: state.TeamId) -> None:
        """Pay for a retry that has been sent."""
        budgets.spend_all((service.retries, self._find_team(team)))
        self.counters.retries += 1

    def find_late_point(
        self, collection: state.CollectionId
    ) -> state.LatePoint:
        """Return what latency above the least makes a request late.

        One point for all services of a collection, because one service
        alone gives a host few requests, while what makes them late is
        alike for all. The least latency is each upstream's own.
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
