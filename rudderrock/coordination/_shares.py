"""How much of a team's tier-wide limit one host may use.

A part of each limit is split evenly, the rest by the demand that hosts
state to one another. A host uses for itself what it has stated, not what
it sees this instant, so that all hosts divide by the same numbers as soon
as they have heard one another.
"""

import collections
import random

from rudderrock import protocol
from rudderrock import state

_MIN_RATE = 0.01
_SPARE_FRACTIONS = 64
_STATEMENT_MEMORY_S = 60.0


class ShareBook:
    """Demand of teams at this host and, as stated, at its peers.

    Parameters: `host` is this host's id, `settings` the split.
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
        self._asked: collections.Counter[state.TeamId] = collections.Counter()
        self._rates: dict[state.TeamId, float] = {}
        self._stated: dict[state.HostId, protocol.Demand] = {}
        self._fractions: dict[state.TeamId, tuple[float, float]] = {}
        self._heard_at: dict[state.HostId, float] = {}
        self._count = 0
        self._stated_at = clock.now()
        self._hosts = 1

    def note(self, team: state.TeamId, cost: int) -> None:
        """Take note of shard requests asked for, also if refused."""
        self._asked[team] += cost

    def set_hosts(self, hosts: set[state.HostId]) -> None:
        """Set which hosts share the limits, this one among them."""
        self._hosts = max(1, len(hosts))
        for host in set(self._stated) - hosts - {self._host}:
            del self._stated[host]

    def state_demand(self) -> protocol.Demand:
        """Average what was asked since the last statement, and state it."""
        now = self._clock.now()
        passed = now - self._stated_at
        if passed > 0:
            weight = min(1.0, passed / self._settings.demand_window_s)
            for team in set(self._rates) | set(self._asked):
                rate = self._rates.get(team, 0.0)
                rate += weight * (self._asked[team] / passed - rate)
                self._rates[team] = rate
            self._asked.clear()
            self._stated_at = now
        self._rates = {
            team: rate
            for team, rate in self._rates.items()
            if rate >= _MIN_RATE
        }
        if len(self._fractions) > 2 * len(self._rates) + _SPARE_FRACTIONS:
            self._fractions = {
                team: known
                for team, known in self._fractions.items()
                if team in self._rates
            }
        self._count += 1
        self._forget_old(now)
        demand = protocol.Demand(
            host=self._host, count=self._count, rates=self._get_top_rates()
        )
        self._stated[self._host] = demand
        return demand

    def hear(self, demand: protocol.Demand) -> None:
        """Take note of what a peer states, directly or through others."""
        if demand.host == self._host:
            return
        known = self._stated.get(demand.host)
        if known is None or known.count < demand.count:
            self._stated[demand.host] = demand
            self._heard_at[demand.host] = self._clock.now()

    def pick_demands(self, source: random.Random) -> list[protocol.Demand]:
        """Return statements for one message: our own, and some others.

        As many as a message may carry, whichever the draw brings first.
        """
        picked = []
        room = protocol.MAX_DEMANDS
        others = [host for host in self._stated if host != self._host]
        source.shuffle(others)
        own = self._stated.get(self._host)
        if own is not None:
            picked.append(own)
            room -= len(own.rates)
        for host in others:
            demand = self._stated[host]
            # That a host asks for nothing it says itself.
            if demand.rates and len(demand.rates) < room:
                picked.append(demand)
                room -= 1 + len(demand.rates)
        return picked

    def get_fraction(self, team: state.TeamId) -> float:
        """Return the part of a team's limit that this host may use."""
        floor = self._settings.floor / self._hosts
        total = sum(
            demand.rates.get(team, 0.0) for demand in self._stated.values()
        )
        own = self._stated.get(self._host)
        mine = own.rates.get(team, 0.0) if own else 0.0
        if total <= 0.0:
            return self._approach(team, 1.0 / self._hosts)
        part = (1.0 - self._settings.floor) * mine / total
        return self._approach(team, floor + part)

    def _approach(self, team: state.TeamId, target: float) -> float:
        """Return the fraction now, on its way to where it is to be.

        It falls at once and grows slowly. When a team starts to ask at
        many hosts at once, each of them sees its own demand before it
        hears of the others', and would take all of the limit.
        """
        now = self._clock.now()
        even = 1.0 / self._hosts
        fraction, at = self._fractions.get(team, (even, now))
        grown = fraction + self._settings.growth_per_s * (now - at)
        fraction = min(target, max(grown, min(even, target)))
        self._fractions[team] = (fraction, now)
        return fraction

    def _forget_old(self, now: float) -> None:
        """Drop statements that have not been renewed for long."""
        for host, heard_at in list(self._heard_at.items()):
            if now - heard_at > _STATEMENT_MEMORY_S:
                del self._heard_at[host]
                self._stated.pop(host, None)

    def _get_top_rates(self) -> dict[state.TeamId, float]:
        """Return the largest demands, as many as a message may carry."""
        top = sorted(self._rates.items(), key=lambda each: -each[1])
        limited = top[: protocol.MAX_DEMANDS - 1]
        return {team: round(rate, 2) for team, rate in limited}
