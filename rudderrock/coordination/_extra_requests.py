"""Budgets for hedges and retries, and counts of requests sent."""

import dataclasses

from rudderrock import state
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _dispatch as dispatch

# Shortest hedge delay while the base latency of an upstream is unknown, and
# lower bound of the initial hedge threshold of a collection.
DEFAULT_HEDGE_DELAY_S = 0.05
_MAX_HEDGE_THRESHOLD_S = 10.0


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Totals since the start of the host, for its metrics.

    `shards` counts the shards that queries asked for. `first` and `retries`
    count requests that were sent or queued; `hedges` counts those sent. Extra
    load is what exceeds one request per shard.

    `hedge_wins`: hedges that answered while another attempt for their shard
    was in flight. `hedges_denied` and `retries_denied`: times that a hedge or
    retry was not allowed. `sends_postponed`: times that a hedge, or the retry
    of a request presumed lost, was put off because no replica was free.
    `restarts`: queries started again with another version.
    """

    shards: int = 0
    first: int = 0
    hedges: int = 0
    retries: int = 0
    hedge_wins: int = 0
    hedges_denied: int = 0
    sends_postponed: int = 0
    retries_denied: int = 0
    restarts: int = 0

    @property
    def extra_load(self) -> float:
        """Return the ratio of extra requests to requested shards."""
        return (self.hedges + self.retries) / max(1, self.shards)


class ExtraRequestBudgets:
    """Budgets for hedges and retries, and the hedge thresholds.

    A hedge needs a token of the host and one of the service; a retry needs one
    of the team and one of the service. This bounds the retries of each team
    and the extra requests to each service.
    """

    def __init__(self, settings: state.Settings):
        self.counters = QueryCounters()
        self._hedge_settings = settings.hedging
        self._retry_settings = settings.retries
        self._host_hedge_budget = budgets.Budget(
            settings.hedging.budget, settings.hedging.host_burst
        )
        self._team_retry_budgets: dict[state.TeamId, budgets.Budget] = {}
        self._hedge_thresholds: dict[
            state.CollectionId, state.HedgeThreshold
        ] = {}

    def count_shard(
        self, service: dispatch.Service, team: state.TeamId
    ) -> None:
        """Count a requested shard and add its tokens to the budgets."""
        self.counters.shards += 1
        self._host_hedge_budget.earn()
        service.hedges.earn()
        service.retries.earn()
        self._get_team_budget(team).earn()

    def can_hedge(self, service: dispatch.Service) -> bool:
        """Return whether the budgets allow a hedge."""
        return (
            service.hedges.can_spend() and self._host_hedge_budget.can_spend()
        )

    def charge_hedge(self, service: dispatch.Service) -> None:
        """Count a hedge that was sent, and charge its budgets."""
        budgets.spend_all((service.hedges, self._host_hedge_budget))
        self.counters.hedges += 1

    def can_retry(self, service: dispatch.Service, team: state.TeamId) -> bool:
        """Return whether the budgets allow a retry."""
        budget = self._get_team_budget(team)
        return service.retries.can_spend() and budget.can_spend()

    def charge_retry(
        self, service: dispatch.Service, team: state.TeamId
    ) -> None:
        """Count a retry that was sent or queued, and charge its budgets."""
        budgets.spend_all((service.retries, self._get_team_budget(team)))
        self.counters.retries += 1

    def get_hedge_threshold(
        self, collection: state.CollectionId
    ) -> state.HedgeThreshold:
        """Return the hedge threshold of a collection.

        A request is late if it takes longer than the base latency of its
        upstream plus the threshold. All services of a collection share one
        threshold: a host sends few requests to a single service, and the
        causes of lateness are the same for all of them. The base latency is
        kept for each upstream.
        """
        threshold = self._hedge_thresholds.get(collection)
        if threshold is None:
            hedging = self._hedge_settings
            threshold = state.HedgeThreshold(
                1.0 - hedging.percentile / 100.0,
                initial_s=max(DEFAULT_HEDGE_DELAY_S, hedging.min_delay_s),
                min_s=hedging.min_delay_s,
                max_s=_MAX_HEDGE_THRESHOLD_S,
            )
            self._hedge_thresholds[collection] = threshold
        return threshold

    def _get_team_budget(self, team: state.TeamId) -> budgets.Budget:
        budget = self._team_retry_budgets.get(team)
        if budget is None:
            budget = budgets.Budget(
                self._retry_settings.budget, self._retry_settings.burst
            )
            self._team_retry_budgets[team] = budget
        return budget
