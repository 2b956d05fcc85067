"""Selection of the hosts that coordinate wide queries.

A wide query is a query over many shards.
"""

import collections

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _fleet as fleet

# Number of hosts in a zone that coordinate its wide queries while they have
# capacity. With two, one is left if the other fails. With more, each sends too
# few requests to keep its connections in use and to detect pauses of
# upstreams. With one host in five of a zone of 32, the connections opened rose
# from 14,480 to 22,111 (36 s of 24 queries a second over 87 shards), and 17
# instead of 2 in 100 urgent queries were late (single runs). Queries for which
# the two have no capacity go to the hosts ranked next.
COORDINATORS_PER_ZONE = 2
# Maximum number of coordinators in this zone that a query is offered to; the
# last one tried must accept it even if it is full. Each offer costs one round
# trip, and five of them cost less than the queue of one full host.
MAX_ATTEMPTS = 5
# The same for coordinators in another zone. A round trip to another region
# takes a seventh of the goal of an urgent query (16 of 112 ms), so only two
# hosts are tried there.
MAX_REMOTE_ATTEMPTS = 2
# Time in seconds for which a host is skipped after it has rejected or lost a
# query. Each consecutive failure doubles it, up to MAX_SKIP_S.
SKIP_S = 4.0
MAX_SKIP_S = 32.0


class Coordinators:
    """Select the hosts of each zone that coordinate wide queries.

    Every host ranks the hosts that it knows by the same rule, so that no
    election is needed. Queries go to the first hosts in this order that are
    not skipped. A host without capacity is skipped for a short time, so that
    the number of coordinators follows the load. The regular coordinators of a
    zone are its first COORDINATORS_PER_ZONE hosts by rank, skipped or not.
    """

    def __init__(
        self, hosts: fleet.Fleet, clock: core.Clock, events: log.EventLog
    ):
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._generation = -1
        self._ranked: dict[core.ZoneId, list[fleet.HostEntry]] = {}
        self._skip_until: dict[core.HostId, float] = {}
        self._skip_reasons: dict[core.HostId, str] = {}
        self._logged: dict[core.ZoneId, list[core.HostId]] = {}
        self._failures: collections.Counter[core.HostId] = (
            collections.Counter()
        )

    def has_own(self) -> bool:
        """Return whether this host is a regular coordinator of its zone."""
        own = self._hosts.own
        return own in self.list_regular(own.zone)

    def count_by_zone(self) -> dict[core.ZoneId, int]:
        """Return the number of regular coordinators by zone."""
        zones = self._hosts.count_by_zone()
        return {zone: len(self.list_regular(zone)) for zone in zones}

    def list_regular(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the regular coordinators of a zone by rank."""
        return self._rank(zone)[:COORDINATORS_PER_ZONE]

    def list_available(
        self, zone: core.ZoneId, tried: tuple[core.HostId, ...] = ()
    ) -> list[fleet.HostEntry]:
        """Return the hosts by rank that are neither skipped nor in `tried`.

        There are at most `COORDINATORS_PER_ZONE` of them.
        """
        now = self._clock.now()
        found = []
        for each in self._rank(zone):
            if self._skip_until.get(each.host, now) <= now:
                if each.host not in tried:
                    found.append(each)
                if len(found) == COORDINATORS_PER_ZONE:
                    break
        return found

    def pick(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...] = (),
    ) -> fleet.HostEntry | None:
        """Return the coordinator for a query, None if there is none."""
        found = self.list_available(zone)
        self._log_change(zone, found)
        if tried:
            found = self.list_available(zone, tried)
        if not found:
            return None
        return found[fleet.rank_name(request_id) % len(found)]

    def skip(
        self, entry: fleet.HostEntry, detail: str, skip_s: float = SKIP_S
    ) -> None:
        """Skip a host after a failure, with exponential backoff."""
        wait_s = skip_s * 2 ** self._failures[entry.host]
        self._failures[entry.host] += 1
        self.skip_for(entry, detail, min(wait_s, MAX_SKIP_S))

    def skip_for(
        self, entry: fleet.HostEntry, detail: str, seconds: float
    ) -> None:
        """Skip a host for some seconds, without counting a failure."""
        self._skip_until[entry.host] = self._clock.now() + seconds
        self._skip_reasons[entry.host] = detail
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )

    def record_success(self, entry: fleet.HostEntry) -> None:
        """Record that a host has answered."""
        self._failures.pop(entry.host, None)

    def _rank(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the hosts of a zone by descending capacity."""
        if self._generation != self._hosts.generation:
            self._generation = self._hosts.generation
            self._ranked.clear()
        ranked = self._ranked.get(zone)
        if ranked is None:
            hash_ordered = self._hosts.rank_zone(zone)
            # The sort is stable: hosts of equal capacity stay in hash order.
            ranked = sorted(hash_ordered, key=lambda each: -each.capacity)
            self._ranked[zone] = ranked
        return ranked

    def _log_change(
        self, zone: core.ZoneId, found: list[fleet.HostEntry]
    ) -> None:
        """Log the coordinators of a zone if they have changed."""
        names = [each.host for each in found]
        before = self._logged.get(zone)
        if names == before:
            return
        self._logged[zone] = names
        removed = [name for name in before or () if name not in names]
        self._events.record(
            events.LogKind.COORDINATORS_CHANGED,
            zone=zone,
            before=before or [],
            hosts=names,
            detail='; '.join(
                f'{name}: {self._skip_reasons.get(name, "no longer ranked")}'
                for name in removed
            ),
        )
