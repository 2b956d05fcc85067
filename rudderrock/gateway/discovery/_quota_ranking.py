"""Which hosts keep the quota of a team, and which stand in for them."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from rudderrock import core
from rudderrock.gateway.decisions import _quota_vote as quota_vote
from rudderrock.gateway.discovery import _fleet as fleet

# Number of hosts in rank that stand in, and of further ones in the own zone.
MAX_FALLBACKS = 1
MAX_NEAR_FALLBACKS = 1
# How long earlier listings are kept, in seconds. Longer than any window.
LISTING_RETENTION_S = 60.0
# Maximum number of teams whose ranked hosts are kept.
MAX_RANKED_TEAMS = 1024

_Listing = Mapping[core.HostId, fleet.HostEntry]


class VoterRanking:
    """The hosts that keep the quotas of teams, by rendezvous hashing.

    Hosts with the same listing compute the same order, so no election is
    needed, and a host that joins or leaves moves only some teams. The voters
    of a team are in different zones if there are enough zones. A host that has
    left the registry is ranked for some time more, since it may be alive.
    """

    def __init__(self, hosts: fleet.Fleet, clock: core.Clock):
        self._hosts = hosts
        self._clock = clock
        self._ranked: dict[core.TeamId, list[fleet.HostEntry]] = {}
        self._kept_since: dict[core.TeamId, float] = {}
        self._listing = hosts.find_recent()
        # Earlier listings, with the times at which they were replaced.
        self._replaced: list[tuple[float, _Listing]] = []

    def list_voters(self, team: core.TeamId) -> list[fleet.HostEntry]:
        """Return the voters of a team's quota, the first in rank first."""
        return self._rank(team)[: quota_vote.VOTER_COUNT]

    def is_voter(self, team: core.TeamId) -> bool:
        """Return whether this host is a voter of a team's quota."""
        own = self._hosts.own.host
        return any(each.host == own for each in self.list_voters(team))

    def list_fallbacks(self, team: core.TeamId) -> list[fleet.HostEntry]:
        """Return the hosts to ask if no majority of the voters answers.

        The last one is in this host's zone, which may be the only one that it
        reaches.
        """
        others = self._rank(team)[quota_vote.VOTER_COUNT :]
        own = self._hosts.own
        near = [
            each for each in others[MAX_FALLBACKS:] if each.zone == own.zone
        ]
        return others[:MAX_FALLBACKS] + near[:MAX_NEAR_FALLBACKS]

    def list_candidates(self, team: core.TeamId) -> list[fleet.HostEntry]:
        """Return all hosts that this one may ask about a team."""
        return self.list_voters(team) + self.list_fallbacks(team)

    def get_kept_since(self, team: core.TeamId) -> float:
        """Return since when this host, a voter now, has been one.

        It is -inf if that is longer than listings are kept.
        """
        self._update_listing()
        since = self._kept_since.get(team)
        if since is None:
            since = self._find_kept_since(team)
            self._kept_since[team] = since
        return since

    def _find_kept_since(self, team: core.TeamId) -> float:
        own = self._hosts.own.host
        for replaced_at, listing in reversed(self._replaced):
            voters = rank_hosts(team, listing.values())[
                : quota_vote.VOTER_COUNT
            ]
            if all(each.host != own for each in voters):
                return replaced_at
        return -math.inf

    def _rank(self, team: core.TeamId) -> list[fleet.HostEntry]:
        self._update_listing()
        found = self._ranked.get(team)
        if found is None:
            if len(self._ranked) >= MAX_RANKED_TEAMS:
                self._ranked.clear()
                self._kept_since.clear()
            found = rank_hosts(team, self._listing.values())
            self._ranked[team] = found
        return found

    def _update_listing(self) -> None:
        """Rank anew if hosts have joined, or left long enough ago."""
        listing = self._hosts.find_recent()
        if listing is self._listing:
            return
        if listing == self._listing:
            self._listing = listing
            return
        now = self._clock.now()
        self._replaced = [
            (at, earlier)
            for at, earlier in self._replaced
            if now - at < LISTING_RETENTION_S
        ]
        self._replaced.append((now, self._listing))
        self._listing = listing
        self._ranked.clear()
        self._kept_since.clear()


def rank_hosts(
    team: core.TeamId, hosts: Iterable[fleet.HostEntry]
) -> list[fleet.HostEntry]:
    """Return the voters of a team's quota and then the other hosts in rank.

    The voters are the first hosts in rank of different zones, and then of
    zones that have one.
    """
    ranked = sorted(hosts, key=lambda each: fleet.rank_pair(team, each.host))
    firsts = {each.zone: each for each in reversed(ranked)}
    voters = [each for each in ranked if firsts[each.zone] == each]
    voters = voters[: quota_vote.VOTER_COUNT]
    return voters + [each for each in ranked if each not in voters]
