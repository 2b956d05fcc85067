"""Teams that send requests, and the keys that identify them.

A table that lists teams requires a key with each request, except on public
routes. Keys are stored only as digests. They are random and long, so an
unsalted hash is sufficient (NIST SP 800-63B asks for salted and slow hashes
only for secrets that people choose), and the team of a key is found with one
dictionary lookup. The salted hashes of `rudderrock.state` would have to be
compared with the key one by one.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import NewType

from rudderrock import core

KeyDigest = NewType('KeyDigest', str)

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team, its priority and its quota.

    `priority`, where 0 is the most urgent, replaces the priority of routes
    unless it is None. All hosts together accept `quota_per_s` requests per
    second of the team, plus a burst of `burst` requests; a rate of 0 sets no
    limit.
    """

    team: core.TeamId
    priority: int | None = None
    quota_per_s: float = 0.0
    burst: float = 0.0


class TeamRegistry:
    """The teams of one table.

    Parameters: `listed` are pairs of a team and the digests of its keys.
    Raises ValueError if two teams have the same name or the same key.
    `priorities` are the priorities of all teams.

    >>> front_desk = Team(team=core.TeamId('front-desk'))
    >>> registry = TeamRegistry([(front_desk, [digest_key(b'k1')])])
    >>> registry.find_by_key(b'k1').team
    'front-desk'
    """

    def __init__(self, listed: Iterable[tuple[Team, Iterable[KeyDigest]]]):
        self._by_name: dict[core.TeamId, Team] = {}
        self._by_key: dict[KeyDigest, Team] = {}
        for team, digests in listed:
            if team.team in self._by_name:
                raise ValueError(f'team {team.team} is listed twice')
            self._by_name[team.team] = team
            for digest in digests:
                other = self._by_key.setdefault(digest, team)
                if other is not team:
                    raise ValueError(
                        f'teams {other.team} and {team.team} have the same key'
                    )
        self.priorities = frozenset(
            each.priority for each in self._by_name.values()
        )

    def find_by_key(self, key: bytes) -> Team | None:
        """Return the team that holds a key, or None."""
        return self._by_key.get(digest_key(key))

    def find(self, name: core.TeamId) -> Team | None:
        """Return the team with a name, or None."""
        return self._by_name.get(name)

    def list_teams(self) -> list[Team]:
        """Return all teams."""
        return list(self._by_name.values())


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest under which a key is stored."""
    digest = hashlib.blake2b(key, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.hexdigest())
