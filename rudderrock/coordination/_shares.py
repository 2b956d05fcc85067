"""Division of a team's limits among the hosts.

The fraction `floor` of each limit is split evenly, the rest in proportion
to the demand that hosts report to one another. For its own demand a host
uses its last demand report, not the current rates, so that all hosts divide
by the same numbers once they have received one another's demand reports.
"""

import collections
import random

from rudderrock import protocol
from rudderrock import state

# Lower rates of shard requests are not reported.
_MIN_RATE_PER_S = 0.01
# Stored fractions are cleaned up when they exceed twice the number of teams
# with demand plus this.
_FRACTIONS_SLACK = 64
# Age from which the demand report of a host is dropped.
_MAX_DEMAND_AGE_S = 60.0


class LimitShares:
    """Demand of teams at this host and at its peers, and its own shares.

    Parameters: `host` is this host's id; `settings` define the division.
    """

    def __init__(
        self,
        host: state.HostId,
        settings: state.ShareSettings,
        clock: state.Clock,
    ):
        self._host = host
        self._settings = settings
        self._clock = clock
        self._requested: collections.Counter[state.TeamId] = (
            collections.Counter()
        )
        self._rates: dict[state.TeamId, float] = {}
        self._demands: dict[state.HostId, protocol.Demand] = {}
        self._fractions: dict[state.TeamId, tuple[float, float]] = {}
        self._received_at: dict[state.HostId, float] = {}
        self._report_number = 0
        self._demand_updated_at = clock.now()
        self._host_count = 1

    def record_requests(self, team: state.TeamId, cost: int) -> None:
        """Count `cost` shard requests of a team, including refused ones."""
        self._requested[team] += cost

    def set_hosts(self, hosts: set[state.HostId]) -> None:
        """Set the hosts that share the limits, including this one."""
        self._host_count = max(1, len(hosts))
        for host in set(self._demands) - hosts - {self._host}:
            del self._demands[host]

    def update_demand(self) -> protocol.Demand:
        """Update the moving averages of demand; return the new demand report.

        Rates are in shard requests per second.
        """
        now = self._clock.now()
        elapsed_s = now - self._demand_updated_at
        if elapsed_s > 0:
            weight = min(1.0, elapsed_s / self._settings.demand_window_s)
            for team in set(self._rates) | set(self._requested):
                rate = self._rates.get(team, 0.0)
                rate += weight * (self._requested[team] / elapsed_s - rate)
                self._rates[team] = rate
            self._requested.clear()
            self._demand_updated_at = now
        self._rates = {
            team: rate
            for team, rate in self._rates.items()
            if rate >= _MIN_RATE_PER_S
        }
        if len(self._fractions) > 2 * len(self._rates) + _FRACTIONS_SLACK:
            self._fractions = {
                team: known
                for team, known in self._fractions.items()
                if team in self._rates
            }
        self._report_number += 1
        self._drop_expired(now)
        demand = protocol.Demand(
            host=self._host,
            count=self._report_number,
            rates=self._get_top_rates(),
        )
        self._demands[self._host] = demand
        return demand

    def merge_demand(self, demand: protocol.Demand) -> None:
        """Merge the demand report of a peer, received directly or relayed."""
        if demand.host == self._host:
            return
        known = self._demands.get(demand.host)
        if known is None or known.count < demand.count:
            self._demands[demand.host] = demand
            self._received_at[demand.host] = self._clock.now()

    def pick_demands(self, rng: random.Random) -> list[protocol.Demand]:
        """Return demand reports for one message: this host's and some others.

        The others are added in random order while the message has room. Its
        room is a number of rates; each added report counts as one more.
        """
        picked = []
        rates_left = protocol.MAX_DIGEST_DEMANDS
        others = [host for host in self._demands if host != self._host]
        rng.shuffle(others)
        own = self._demands.get(self._host)
        if own is not None:
            picked.append(own)
            rates_left -= len(own.rates)
        for host in others:
            demand = self._demands[host]
            # An empty report is only sent by its own host, not relayed.
            if demand.rates and len(demand.rates) < rates_left:
                picked.append(demand)
                rates_left -= 1 + len(demand.rates)
        return picked

    def update_fraction(self, team: state.TeamId) -> float:
        """Update and return the fraction of a team's limits for this host."""
        floor = self._settings.floor / self._host_count
        total = sum(
            demand.rates.get(team, 0.0) for demand in self._demands.values()
        )
        own = self._demands.get(self._host)
        own_rate = own.rates.get(team, 0.0) if own else 0.0
        if total <= 0.0:
            return self._limit_growth(team, 1.0 / self._host_count)
        demand_share = (1.0 - self._settings.floor) * own_rate / total
        return self._limit_growth(team, floor + demand_share)

    def _limit_growth(self, team: state.TeamId, target: float) -> float:
        """Return the fraction, moved toward `target` at a limited rate.

        The fraction decreases at once. Above the even share it grows only by
        `growth_per_s`: when a team starts to send to many hosts at once,
        each host sees its own demand before it receives that of the
        others, and would otherwise use the whole limit.
        """
        now = self._clock.now()
        even_share = 1.0 / self._host_count
        fraction, set_at = self._fractions.get(team, (even_share, now))
        grown_fraction = fraction + self._settings.growth_per_s * (
            now - set_at
        )
        fraction = min(target, max(grown_fraction, min(even_share, target)))
        self._fractions[team] = (fraction, now)
        return fraction

    def _drop_expired(self, now: float) -> None:
        """Drop the demand reports of hosts that have not reported recently."""
        for host, received_at in list(self._received_at.items()):
            if now - received_at > _MAX_DEMAND_AGE_S:
                del self._received_at[host]
                self._demands.pop(host, None)

    def _get_top_rates(self) -> dict[state.TeamId, float]:
        """Return the highest rates, as many as a message may carry."""
        top = sorted(self._rates.items(), key=lambda each: -each[1])
        limited = top[: protocol.MAX_DIGEST_DEMANDS - 1]
        return {team: round(rate, 2) for team, rate in limited}
