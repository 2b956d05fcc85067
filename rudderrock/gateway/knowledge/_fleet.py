"""The hosts of the tier, as this one knows them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import xxhash

from rudderrock import core

# A host that has left the registry still counts for this long, in seconds:
# registrations may lapse while their hosts live, and counting too few of
# them would let each spend too much of what all share.
REMEMBER_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """One registered host; `address` is where its peers may call it.

    `capacity` compares hosts: the speed of its processor in cores times
    the bandwidth of its link in Mbit/s.
    """

    host: core.HostId
    zone: core.ZoneId
    address: str
    capacity: float = 0.0


class Fleet:
    """All known hosts, and how many of them share what there is.

    Parameters: `own` is this host, `assumed` how many hosts are taken to
    be there until a registry has been read.
    """

    def __init__(self, own: HostEntry, assumed: int, clock: core.Clock):
        self.own = own
        self.generation = 0
        self._assumed = assumed
        self._clock = clock
        self._hosts: dict[core.HostId, HostEntry] = {own.host: own}
        self._seen: dict[HostEntry, float] = {}
        self._known = False
        # Worked out once a listing: with hundreds of hosts and upstreams
        # these would cost most of a starting process's time.
        self._counts: collections.Counter[core.ZoneId] = collections.Counter()
        self._counts_until = -math.inf
        self._ranked: dict[core.ZoneId, list[HostEntry]] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, call: Callable[[], None]) -> None:
        """Have `call` called after each change."""
        self._listeners.append(call)

    def list_hosts(self) -> list[HostEntry]:
        """Return the registered hosts."""
        return list(self._hosts.values())

    def has_own(self) -> bool:
        """Tell whether the registry named this host when last read."""
        return self._hosts.get(self.own.host) == self.own

    @property
    def is_listed(self) -> bool:
        """Tell whether a listing has named this host.

        When all hosts start together the first listings name few of them.
        """
        return self._known and self.has_own()

    def apply_listing(self, hosts: Iterable[HostEntry]) -> bool:
        """Take over a listing; tell whether it changed anything."""
        found = {each.host: each for each in hosts}
        now = self._clock.now()
        for each in found.values():
            self._seen[each] = now
        changed = found != self._hosts or not self._known
        self._known = True
        self._hosts = found
        self._counts_until = -math.inf
        self._ranked.clear()
        if changed:
            self.generation += 1
            for call in self._listeners:
                call()
        return changed

    def count_by_zone(self) -> collections.Counter[core.ZoneId]:
        """Return how many hosts there are in each zone.

        Hosts that have left lately count too. Before any listing the
        assumed number is put down for the own zone.
        """
        if not self._known:
            return collections.Counter({self.own.zone: self._assumed})
        now = self._clock.now()
        if now >= self._counts_until:
            self._count(now)
        return self._counts

    def _count(self, now: float) -> None:
        """Count anew; that holds until the next one is forgotten."""
        self._seen = {
            entry: at
            for entry, at in self._seen.items()
            if now - at < REMEMBER_S or self._is_registered(entry)
        }
        zones = {entry.host: entry.zone for entry in self._seen}
        zones.setdefault(self.own.host, self.own.zone)
        self._counts = collections.Counter(zones.values())
        leaving = (
            at
            for entry, at in self._seen.items()
            if not self._is_registered(entry)
        )
        self._counts_until = min(leaving, default=math.inf) + REMEMBER_S

    def _is_registered(self, entry: HostEntry) -> bool:
        return self._hosts.get(entry.host) == entry

    def count(self) -> int:
        """Return how many hosts share what there is."""
        return max(1, self.count_by_zone().total())

    def rank_readers(self) -> list[HostEntry]:
        """Return the hosts of this zone in the order in which they read.

        The order is the same at every host that knows the same hosts, so
        no election is needed.
        """
        return self.rank_zone(self.own.zone)

    def rank_zone(self, zone: core.ZoneId) -> list[HostEntry]:
        """Return the hosts of a zone in the order of their hashes."""
        ranked = self._ranked.get(zone)
        if ranked is None:
            found = [
                each
                for each in self._hosts.values()
                if each.zone == zone and each.host != self.own.host
            ]
            if zone == self.own.zone:
                found.append(self.own)
            ranked = sorted(found, key=lambda each: _rank(each.host))
            self._ranked[zone] = ranked
        return ranked

    def list_earlier_readers(self) -> list[HostEntry]:
        """Return the first readers of other zones that go before the own.

        The zones are ranked by the hashes of their first readers, so all
        hosts that know the same hosts agree on which of them goes first.
        """
        firsts = [
            self.rank_zone(zone)[0]
            for zone in {each.zone for each in self._hosts.values()}
            if zone != self.own.zone
        ]
        own_rank = _rank(self.rank_readers()[0].host)
        return sorted(
            (each for each in firsts if _rank(each.host) < own_rank),
            key=lambda each: _rank(each.host),
        )

    def list_others(self) -> list[HostEntry]:
        """Return the hosts of other zones in an order of this host's own."""
        return sorted(
            (
                each
                for each in self._hosts.values()
                if each.zone != self.own.zone
            ),
            key=lambda each: rank_pair(self.own.host, each.host),
        )


def rank_name(name: bytes) -> int:
    """Return a number for a name, the same at every host."""
    return xxhash.xxh64_intdigest(name)


def rank_pair(one: str, other: str) -> int:
    """Return a number for two names, the same at every host."""
    return _rank(f'{one}/{other}')


def _rank(name: str) -> int:
    return rank_name(name.encode())


def make_seed_entries(
    seeds: Iterable[tuple[str, int]], own: HostEntry
) -> list[HostEntry]:
    """Return hosts of which only the addresses are known."""
    addresses = ['%s:%d' % seed for seed in seeds]
    return [
        HostEntry(
            host=core.HostId(f'seed {address}'),
            zone=own.zone,
            address=address,
        )
        for address in addresses
        if address != own.address
    ]
