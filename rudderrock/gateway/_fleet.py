"""The hosts of the tier, as this one knows them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

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

    def apply_listing(self, hosts: Iterable[HostEntry]) -> bool:
        """Take over a listing; tell whether it changed anything."""
        found = {each.host: each for each in hosts}
        now = self._clock.now()
        for each in found.values():
            self._seen[each] = now
        changed = found != self._hosts or not self._known
        self._known = True
        self._hosts = found
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
        self._seen = {
            entry: at
            for entry, at in self._seen.items()
            if now - at < REMEMBER_S or entry in self._hosts.values()
        }
        zones = {entry.host: entry.zone for entry in self._seen}
        zones.setdefault(self.own.host, self.own.zone)
        return collections.Counter(zones.values())

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
        found = [
            each
            for each in self._hosts.values()
            if each.zone == zone and each.host != self.own.host
        ]
        if zone == self.own.zone:
            found.append(self.own)
        return sorted(found, key=lambda each: _rank(each.host))

    def list_others(self) -> list[HostEntry]:
        """Return the hosts of other zones in an order of this host's own."""
        return sorted(
            (
                each
                for each in self._hosts.values()
                if each.zone != self.own.zone
            ),
            key=lambda each: _rank(f'{self.own.host}/{each.host}'),
        )


def rank_name(name: bytes) -> int:
    """Return a number for a name, the same at every host."""
    return xxhash.xxh64_intdigest(name)


def _rank(name: str) -> int:
    return rank_name(name.encode())
