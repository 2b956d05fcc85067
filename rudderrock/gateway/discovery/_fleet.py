"""Registered hosts of the tier, their number per zone and their ranking."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
from typing import Annotated

import xxhash

from rudderrock import core
from rudderrock.gateway import _decoding as decoding

# How long a host that has left the registry still counts, in seconds. A
# registration may lapse while its host is alive, and after an outage of the
# registry those of all hosts may have. If too few hosts were counted, each
# would use too large a share of the limits that are divided among the hosts,
# such as the connections to an upstream, or keep quotas that others keep too.
LEFT_RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """One registered host.

    `address` is the address for calls from its peers. `capacity` is used to
    compare hosts: processor speed in cores times link bandwidth in Mbit/s.
    """

    host: Annotated[core.HostId, decoding.NAME]
    zone: Annotated[core.ZoneId, decoding.NAME]
    address: decoding.Address
    capacity: decoding.Capacity = 0.0


class Fleet:
    """All known hosts, and the number among which limits are divided.

    Parameters: `own` is this host, `assumed` the number of hosts assumed
    until the first listing has been read. `generation` is incremented with
    each change.
    """

    def __init__(self, own: HostEntry, assumed: int, clock: core.Clock):
        self.own = own
        self.generation = 0
        self._assumed_count = assumed
        self._clock = clock
        self._hosts: dict[core.HostId, HostEntry] = {own.host: own}
        self._last_seen: dict[HostEntry, float] = {}
        self._has_listing = False
        # Cached until the next listing, and the counts at most until a
        # departed host expires. With hundreds of hosts and upstreams,
        # computing these on each use takes most of the start-up time.
        self._recent: dict[core.HostId, HostEntry] = {own.host: own}
        self._counts: collections.Counter[core.ZoneId] = collections.Counter()
        self._counts_valid_until = -math.inf
        self._ranked_by_zone: dict[core.ZoneId, list[HostEntry]] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, call: Callable[[], None]) -> None:
        """Register `call` to be called after each change."""
        self._listeners.append(call)

    def list_hosts(self) -> list[HostEntry]:
        """Return the hosts of the latest listing."""
        return list(self._hosts.values())

    def lists_this_host(self) -> bool:
        """Return whether the latest listing contains this host's entry."""
        return self._hosts.get(self.own.host) == self.own

    @property
    def is_listed(self) -> bool:
        """Return whether a listing has been read and contains this host.

        When all hosts start together, the first listings may lack this host.
        """
        return self._has_listing and self.lists_this_host()

    def apply_listing(self, hosts: Iterable[HostEntry]) -> bool:
        """Replace the known hosts; return whether anything changed.

        An entry with this host's name that isn't its own is left out, as if
        this host were not registered. It may be in another zone, of which
        this host would be the only one.
        """
        found = {
            each.host: each
            for each in hosts
            if each.host != self.own.host or each == self.own
        }
        now = self._clock.now()
        # A host that is missing now has been registered until the listing
        # could be read, which may be long after the one before.
        for each in [*self._hosts.values(), *found.values()]:
            self._last_seen[each] = now
        changed = found != self._hosts or not self._has_listing
        self._has_listing = True
        self._hosts = found
        self._counts_valid_until = -math.inf
        self._ranked_by_zone.clear()
        if changed:
            self.generation += 1
            for call in self._listeners:
                call()
        return changed

    def count_by_zone(self) -> collections.Counter[core.ZoneId]:
        """Return the number of hosts in each zone.

        Includes hosts that left the registry less than `LEFT_RETENTION_S`
        ago. Before the first listing, returns the assumed number for this
        host's zone.
        """
        if not self._has_listing:
            return collections.Counter({self.own.zone: self._assumed_count})
        self._update_if_expired()
        return self._counts

    def find_recent(self) -> dict[core.HostId, HostEntry]:
        """Return this host and those that are or were registered of late.

        Includes hosts that left the registry less than `LEFT_RETENTION_S`
        ago.
        """
        if self._has_listing:
            self._update_if_expired()
        return self._recent

    def _update_if_expired(self) -> None:
        now = self._clock.now()
        if now >= self._counts_valid_until:
            self._update_counts(now)

    def _update_counts(self, now: float) -> None:
        """Recompute what counts, valid until a departed host expires."""
        self._last_seen = {
            entry: at
            for entry, at in self._last_seen.items()
            if now - at < LEFT_RETENTION_S or self._is_registered(entry)
        }
        self._recent = {entry.host: entry for entry in self._last_seen}
        self._recent.update(self._hosts)
        self._recent[self.own.host] = self.own
        self._counts = collections.Counter(
            entry.zone for entry in self._recent.values()
        )
        left_at = (
            at
            for entry, at in self._last_seen.items()
            if not self._is_registered(entry)
        )
        self._counts_valid_until = (
            min(left_at, default=math.inf) + LEFT_RETENTION_S
        )

    def _is_registered(self, entry: HostEntry) -> bool:
        return self._hosts.get(entry.host) == entry

    def count(self) -> int:
        """Return the number of hosts among which limits are divided."""
        return max(1, self.count_by_zone().total())

    def rank_readers(self) -> list[HostEntry]:
        """Return the hosts of this zone, ranked as readers of the source.

        All hosts with the same listing compute the same order, so no election
        is needed.
        """
        return self.rank_zone(self.own.zone)

    def rank_zone(self, zone: core.ZoneId) -> list[HostEntry]:
        """Return the hosts of a zone in the order of their hashes.

        For this host's zone the result always contains this host.
        """
        ranked = self._ranked_by_zone.get(zone)
        if ranked is None:
            found = [
                each
                for each in self._hosts.values()
                if each.zone == zone and each.host != self.own.host
            ]
            if zone == self.own.zone:
                found.append(self.own)
            ranked = sorted(found, key=lambda each: _rank(each.host))
            self._ranked_by_zone[zone] = ranked
        return ranked

    def list_earlier_readers(self) -> list[HostEntry]:
        """Return the first host of each zone that ranks before this zone.

        Zones are ranked by the hash of their first host, so all hosts with the
        same listing agree on the order.
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

    def list_hosts_of_other_zones(self) -> list[HostEntry]:
        """Return hosts of other zones in an order specific to this host."""
        return sorted(
            (
                each
                for each in self._hosts.values()
                if each.zone != self.own.zone
            ),
            key=lambda each: rank_pair(self.own.host, each.host),
        )


def rank_name(name: bytes) -> int:
    """Return a hash of a name, equal at every host."""
    return xxhash.xxh64_intdigest(name)


def rank_pair(one: str, other: str) -> int:
    """Return a hash of an ordered pair of names, equal at every host."""
    return _rank(f'{one}/{other}')


def _rank(name: str) -> int:
    return rank_name(name.encode())


def make_seed_entries(
    seeds: Iterable[tuple[str, int]], own: HostEntry
) -> list[HostEntry]:
    """Return placeholder entries for the configured seed addresses."""
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
