"""Shares of teams in the queries over one set of shards.

When more queries arrive than a set of shards can take, some have to be
refused. Without shares, a team that sends many times its usual number of
queries takes the room of all others. Each team therefore has a weighted
max-min fair share of the recent work (Bertsekas and Gallager, "Data Networks",
1992, chapter 6): teams that ask for little get all of it, and the others get
the rest in proportion to their weights. So idle shares are lent, and a team
that has used more than its share is the first to be refused when there is
little room.

Work is counted in shard requests, so that a query costs as much as the number
of shards it is sent to, and forgotten exponentially.
"""

import dataclasses
import enum
import math

from rudderrock import core
from rudderrock.gateway.discovery import _teams as teams

# Time constant in seconds with which work is forgotten. A team that was idle
# can therefore use its whole share again within about a second.
MEMORY_S = 1.0
# A team counts as active while it has at least this much recent work, in shard
# requests. A query to a single shard fades below it within two seconds.
_MIN_ACTIVE_COST = 0.15
# A team below its share is starved if it is admitted less than this fraction
# as often as all teams together, relative to the number of its queries. No
# team should be served less than a quarter as often as all; the margin covers
# the time until a change has an effect.
STARVED_FRACTION = 0.5
# A team is over or below its share only if its work differs from it by this
# fraction. Single queries would otherwise decide for teams that send few.
_TOLERANCE = 0.1
# Recent queries of a team from which it can be starved. With fewer, a single
# refusal would count as starvation.
_MIN_QUERIES = 1.5


class Standing(enum.Enum):
    """How much a team has used recently, compared with its share."""

    STARVED = 'starved'
    BELOW = 'below its share'
    EVEN = 'at its share'
    OVER = 'over its share'


@dataclasses.dataclass(slots=True)
class _Usage:
    """Recent queries of one team, and their cost in shard requests."""

    weight: float
    asked: float = 0.0
    admitted: float = 0.0
    asked_cost: float = 0.0
    admitted_cost: float = 0.0
    updated_at: float = 0.0

    def fade(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / MEMORY_S)
        self.asked *= factor
        self.admitted *= factor
        self.asked_cost *= factor
        self.admitted_cost *= factor
        self.updated_at = now


class TeamShares:
    """The recent work of teams on one set of shards, and their shares."""

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._usage: dict[core.TeamId, _Usage] = {}

    def record(self, team: teams.Team, cost: int, is_admitted: bool) -> None:
        """Count a query of `cost` shard requests."""
        now = self._clock.now()
        usage = self._usage.get(team.team)
        if usage is None:
            usage = _Usage(get_weight(team), updated_at=now)
            self._usage[team.team] = usage
        usage.fade(now)
        usage.weight = get_weight(team)
        usage.asked += 1.0
        usage.asked_cost += cost
        if is_admitted:
            usage.admitted += 1.0
            usage.admitted_cost += cost

    def classify(self, team: teams.Team) -> Standing:
        """Return the standing of a team among the active teams."""
        active = self._list_active(team)
        own = active[team.team]
        if len(active) == 1:
            return Standing.EVEN
        share = own.weight * _compute_fair_level(list(active.values()))
        if own.admitted_cost > (1.0 + _TOLERANCE) * share:
            return Standing.OVER
        if own.admitted_cost > (1.0 - _TOLERANCE) * share:
            return Standing.EVEN
        if self._is_starved(own, active):
            return Standing.STARVED
        return Standing.BELOW

    def get_admission_rate(self) -> float:
        """Return how many queries a second were admitted of late."""
        now = self._clock.now()
        for usage in self._usage.values():
            usage.fade(now)
        admitted = sum(each.admitted for each in self._usage.values())
        return admitted / MEMORY_S

    def _is_starved(
        self, own: _Usage, active: dict[core.TeamId, _Usage]
    ) -> bool:
        if own.asked < _MIN_QUERIES:
            return False
        asked = sum(each.asked for each in active.values())
        admitted = sum(each.admitted for each in active.values())
        return own.admitted * asked < STARVED_FRACTION * admitted * own.asked

    def _list_active(self, team: teams.Team) -> dict[core.TeamId, _Usage]:
        """Return the active teams and `team`, and forget all others."""
        now = self._clock.now()
        for usage in self._usage.values():
            usage.fade(now)
        self._usage = {
            name: usage
            for name, usage in self._usage.items()
            if usage.asked_cost >= _MIN_ACTIVE_COST
        }
        own = self._usage.get(team.team, _Usage(get_weight(team)))
        return {**self._usage, team.team: own}


def _compute_fair_level(active: list[_Usage]) -> float:
    """Return the work per unit of weight that is a fair share.

    It is infinite if all the work that was asked for was admitted.
    """
    left = sum(each.admitted_cost for each in active)
    weights = sum(each.weight for each in active)
    for each in sorted(active, key=lambda each: each.asked_cost / each.weight):
        level = left / weights
        if each.asked_cost > each.weight * level:
            return level
        left -= each.asked_cost
        weights -= each.weight
    return math.inf


def get_weight(team: teams.Team) -> float:
    """Return the weight of a team: its quota, or 1 if it has none."""
    return team.quota_per_s or 1.0
