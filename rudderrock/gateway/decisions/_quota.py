"""Quota of a team over all hosts together.

A quota allows a number of requests in any window of time: `quota_per_s` times
the window, plus `burst`. The load to answer is a team that sends several times
its usual rate at once, through any hosts, while teams of one request in
minutes must not notice that there are quotas.

Some hosts keep the quota of a team and count its requests (`TeamLedger`). All
hosts admit requests by themselves and report them (`TeamSpending`), until a
voter tells them to ask first. Requests that are admitted before that reaches
all hosts may exceed the quota; the allowance, which is the overage and the
slack of the settings, covers them.
"""

import bisect
import collections
import dataclasses
import math
from typing import NewType

from rudderrock.gateway.discovery import _teams as teams

# Identifies one incarnation of a host's process.
ProcessId = NewType('ProcessId', str)

# Fraction of the allowance for requests that a host admits without knowing
# what others admit. The rest is left for reports under way.
UNKNOWN_FRACTION = 0.5
# Difference between the delays of requests of one team, and the fraction of
# the allowance that may be used for it.
ARRIVAL_JITTER_S = 0.2
JITTER_FRACTION = 0.25
# Time from an admission at one host until all hosts have been told to ask
# first: the delay of a batch of reports, two messages with a new connection
# between regions, and a busy core at both ends.
NOTICE_DELAY_S = 0.2
# How long a host asks first after a notice. All hosts are told of a team at
# its quota this often; asking costs only its own requests a round trip.
ASK_FIRST_S = 10.0
# A notice that ends sooner than this is renewed while there is little room.
RENEWAL_MARGIN_S = 2.0
# Fraction of the deployment from which on a host that stands in for voters
# takes them to be gone.
MAJORITY = 0.5
# Shortest time after which a refused request should return, in seconds.
MIN_RETRY_AFTER_S = 0.05
# Maximum number of refused requests a team with a place to return to.
MAX_PROMISED = 256
# Time over which the rate of a team is measured.
_RATE_PERIOD_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaBounds:
    """How exactly quotas are kept, as in `GatewaySettings`."""

    window_s: float
    overage: float
    slack: float

    def get_limit(self, team: teams.Team) -> float:
        """Return the number of requests of a team in any window.

        >>> bounds = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
        >>> team = teams.Team(team='clubs', quota_per_s=8.0, burst=40.0)
        >>> bounds.get_limit(team)
        80.0
        >>> bounds.get_allowance(team)
        28.0
        """
        return team.quota_per_s * self.window_s + team.burst

    def get_allowance(self, team: teams.Team) -> float:
        """Return how many more requests may run because of old knowledge."""
        return self.overage * self.get_limit(team) + self.slack

    def get_jitter(self, team: teams.Team) -> float:
        """Return the part of the allowance for uneven delays of requests.

        Requests that a team sends within its quota may arrive closer together.
        """
        jitter = 1.0 + team.quota_per_s * ARRIVAL_JITTER_S
        return min(jitter, self.get_allowance(team) * JITTER_FRACTION)

    def get_unknown_limit(self, team: teams.Team) -> float:
        """Return what may be admitted without knowing what others admit."""
        return self.get_allowance(team) * UNKNOWN_FRACTION

    def get_unreported_limit(self, team: teams.Team, hosts: int) -> int:
        """Return how many unreported requests a host may have.

        It is at least 1 if there is any allowance, since a host that starts
        to send for a team can't have been told anything.
        """
        allowance = self.get_allowance(team)
        if allowance < 1.0:
            return 0
        return max(1, int(allowance * UNKNOWN_FRACTION / hosts))

    def get_isolated_limit(self, team: teams.Team, hosts: int) -> float:
        """Return what a host admits in a window if it reaches no other host.

        Usually few hosts are isolated, so each may admit one request.
        """
        allowance = self.get_allowance(team)
        if allowance < 1.0:
            return 0.0
        return max(1.0, allowance / hosts)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request exceeds the quota; there is room after `retry_after_s`.

    `count` is the number of requests in the window, and `limit` the number
    that was allowed.
    """

    retry_after_s: float
    count: int
    limit: float


Verdict = Granted | Denied


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """What a voter of a quota knows about its own position.

    `started_at` is when its process started, or when it became a voter: what
    hosts admitted before may be unknown. `coverage` is the fraction of the
    deployment that reports to this host: 1 for a voter, and less for a host
    that stands in for voters that some hosts may still reach.
    """

    started_at: float = -math.inf
    coverage: float = 1.0

    def is_informed(self, now: float, bounds: QuotaBounds) -> bool:
        """Return whether all requests of the window have been reported."""
        return now - self.started_at >= bounds.window_s


class TeamLedger:
    """The requests of one team in the last window, as a voter knows them.

    Only their times matter, so reports may arrive in any order, and a host
    that becomes a voter needs to be told only of the last window.

    Each request is identified by the process that admitted it and a number,
    so that a report which arrives twice counts once. A request that was given
    back is remembered, so that a late report of it is ignored.
    """

    def __init__(self, bounds: QuotaBounds):
        self.ask_first_until = -math.inf
        # Largest number of requests counted beyond the limit.
        self.largest_excess = 0.0
        self._bounds = bounds
        self._times: list[float] = []
        self._known: dict[tuple[ProcessId, int], float] = {}
        self._given_back: set[tuple[ProcessId, int]] = set()
        # Times at which refused requests were told to return.
        self._promised: collections.deque[float] = collections.deque(
            maxlen=MAX_PROMISED
        )
        self._pruned_at = -math.inf

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is known about the team."""
        return not self._known

    def record(
        self, process: ProcessId, number: int, at: float, now: float
    ) -> None:
        """Count a request that was admitted at time `at`."""
        key = (process, number)
        if at > now - self._bounds.window_s and key not in self._known:
            self._known[key] = at
            bisect.insort(self._times, at)

    def list_counted(self, now: float) -> list[tuple[ProcessId, int, float]]:
        """Return the counted requests, with the times of their admission."""
        oldest = now - self._bounds.window_s
        return [
            (*key, at)
            for key, at in self._known.items()
            if at > oldest and key not in self._given_back
        ]

    def give_back(self, process: ProcessId, number: int, now: float) -> None:
        """Stop counting a request that has not run."""
        key = (process, number)
        if key in self._given_back:
            return
        self._given_back.add(key)
        at = self._known.get(key)
        if at is None:
            self._known[key] = now
            return
        index = bisect.bisect_left(self._times, at)
        if index < len(self._times) and self._times[index] == at:
            del self._times[index]

    def decide(
        self,
        team: teams.Team,
        process: ProcessId,
        number: int,
        now: float,
        standing: Standing,
    ) -> Verdict:
        """Count a request if there is room for it."""
        self._prune(now)
        if (process, number) in self._known:
            return Granted()
        limit = self._get_limit(team, standing)
        free = min(
            limit - len(self._times), self._get_start_room(team, now, standing)
        )
        if free >= 1.0:
            self.record(process, number, now, now)
            return Granted()
        return Denied(
            self._reserve_return(team, free, now),
            len(self._times),
            min(limit, self._bounds.get_limit(team)),
        )

    def needs_notice(
        self, team: teams.Team, now: float, standing: Standing
    ) -> bool:
        """Return whether the hosts must ask before they admit requests.

        They must if what may arrive until all hosts know could exceed the
        limit by more than the allowance. Returns false while an earlier
        notice lasts long enough.
        """
        self._prune(now)
        limit = self._get_limit(team, standing)
        self.largest_excess = max(
            self.largest_excess, len(self._times) - limit
        )
        if self.ask_first_until - now > RENEWAL_MARGIN_S:
            return False
        free = min(
            limit - len(self._times), self._get_start_room(team, now, standing)
        )
        excess = self.estimate_unreported(now)
        excess -= self._bounds.get_unknown_limit(team)
        return free < 1.0 + max(0.0, excess)

    def estimate_unreported(self, now: float) -> float:
        """Return how many requests arrive until a notice reaches all hosts."""
        recent = self._count_since(now - _RATE_PERIOD_S)
        return recent / _RATE_PERIOD_S * NOTICE_DELAY_S

    def count(self, now: float) -> int:
        """Return the number of requests in the last window."""
        self._prune(now)
        return len(self._times)

    def _count_since(self, start: float) -> int:
        return len(self._times) - bisect.bisect_left(self._times, start)

    def _get_limit(self, team: teams.Team, standing: Standing) -> float:
        """Return the number of requests allowed in the window.

        The voters may be admitting the whole quota to others, so a host that
        stands in for them admits only what needs no knowledge. One that hears
        of most of the deployment admits that fraction of the quota, as the
        voters are probably gone.
        """
        limit = self._bounds.get_limit(team) + self._bounds.get_jitter(team)
        # A quota below one request would never admit any.
        limit = max(1.0, limit)
        if standing.coverage >= 1.0:
            return limit
        known = 0.0
        if standing.coverage > MAJORITY:
            known = limit * standing.coverage
        return min(limit, max(self._bounds.get_unknown_limit(team), known))

    def _get_start_room(
        self, team: teams.Team, now: float, standing: Standing
    ) -> float:
        """Return how many requests a process that has just started admits.

        Requests from before its start may be unknown. Until they have left
        the window, it admits the rate of the quota and the part of the
        allowance that needs no knowledge, but not another burst.
        """
        if standing.is_informed(now, self._bounds):
            return math.inf
        age_s = now - standing.started_at
        initial = max(1.0, self._bounds.get_unknown_limit(team))
        allowed = initial + team.quota_per_s * age_s
        return allowed - self._count_since(standing.started_at)

    def _reserve_return(
        self, team: teams.Team, free: float, now: float
    ) -> float:
        """Return when a request that is refused now should return, in seconds.

        The first refused request returns when the oldest counted one leaves
        the window, the next one when the second does, so that those refused
        together don't return together. Never later than one window.
        """
        while self._promised and self._promised[0] <= now:
            self._promised.popleft()
        window_s = self._bounds.window_s
        place = len(self._promised) + max(0, math.ceil(1.0 - free) - 1)
        if place < len(self._times):
            return_at = self._times[place] + window_s
        else:
            return_at = now + min(window_s, (place + 1) / team.quota_per_s)
        return_at = max(return_at, now + MIN_RETRY_AFTER_S)
        self._promised.append(return_at)
        return return_at - now

    def _prune(self, now: float) -> None:
        """Forget the requests that have left the window."""
        oldest = now - self._bounds.window_s
        left = bisect.bisect_right(self._times, oldest)
        del self._times[:left]
        if now - self._pruned_at >= self._bounds.window_s:
            self._pruned_at = now
            self._known = {
                key: at for key, at in self._known.items() if at > oldest
            }
            self._given_back &= self._known.keys()
