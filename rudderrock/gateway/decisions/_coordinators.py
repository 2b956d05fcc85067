"""The hosts that run wide queries, and which of them may be asked now."""

import collections

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _fleet as fleet

# So many hosts of a zone coordinate its wide queries while they have room:
# two, so that the loss of one leaves another, and no more, so that their
# connections stay in use and each sees the pauses of upstreams often enough
# to know them. With one host in five of a zone of 32, connections opened
# doubled (14,480 to 22,111 for 36 s of 24 queries a second over 87 shards) and
# 17 in 100 urgent queries were late, not 2 (single runs). What two can't
# carry goes to the next ones, query by query.
REGULAR_HOSTS = 2
# So many are asked in turn by one query; the last one takes it even if it is
# full. Each turn in the zone costs one way there and back, so five of them
# cost less than the queue of one full host. In another region a way there
# and back is a seventh of an urgent goal, 16 of 112 ms, so the second is the
# last.
MOST_TURNS = 5
MOST_FAR_TURNS = 2
# A host that didn't take or lost a query is passed over for so long, twice
# as long for each time in a row, in seconds.
SKIP_S = 4.0
LONGEST_SKIP_S = 32.0


class Coordinators:
    """The hosts of each zone that coordinate wide queries.

    Every host ranks the hosts that it knows in the same way, so there is no
    election. The first ones in the rank that are not passed over are asked:
    one that has no room is passed over for a moment, so more of them take
    part as the load grows, and fewer as it falls.
    """

    def __init__(
        self, hosts: fleet.Fleet, clock: core.Clock, events: log.EventLog
    ):
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._generation = -1
        self._ranked: dict[core.ZoneId, list[fleet.HostEntry]] = {}
        self._skip: dict[core.HostId, float] = {}
        self._causes: dict[core.HostId, str] = {}
        self._told: dict[core.ZoneId, list[core.HostId]] = {}
        self._failures: collections.Counter[core.HostId] = (
            collections.Counter()
        )

    def has_own(self) -> bool:
        """Tell whether this host is a regular coordinator of its zone."""
        own = self._hosts.own
        return own in self.list_regular(own.zone)

    def count_by_zone(self) -> dict[core.ZoneId, int]:
        """Return how many regular coordinators each zone has."""
        zones = self._hosts.count_by_zone()
        return {zone: len(self.list_regular(zone)) for zone in zones}

    def list_regular(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the regular coordinators of a zone, best first."""
        return self._rank(zone)[:REGULAR_HOSTS]

    def list_open(
        self, zone: core.ZoneId, tried: tuple[core.HostId, ...] = ()
    ) -> list[fleet.HostEntry]:
        """Return the hosts of a zone that may be asked just now."""
        now = self._clock.now()
        found = []
        for each in self._rank(zone):
            if self._skip.get(each.host, now) <= now:
                if each.host not in tried:
                    found.append(each)
                if len(found) == REGULAR_HOSTS:
                    break
        return found

    def pick(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...] = (),
    ) -> fleet.HostEntry | None:
        """Return the host that a query falls to, None if there is none."""
        found = self.list_open(zone)
        self._note_change(zone, found)
        if tried:
            found = self.list_open(zone, tried)
        if not found:
            return None
        return found[fleet.rank_name(request_id) % len(found)]

    def skip(
        self, entry: fleet.HostEntry, detail: str, skip_s: float = SKIP_S
    ) -> None:
        """Pass over a host, for longer each time in a row."""
        wait_s = skip_s * 2 ** self._failures[entry.host]
        self._failures[entry.host] += 1
        self.pause(entry, detail, min(wait_s, LONGEST_SKIP_S))

    def pause(
        self, entry: fleet.HostEntry, detail: str, seconds: float
    ) -> None:
        """Pass over a host that is well but of no use for a moment."""
        self._skip[entry.host] = self._clock.now() + seconds
        self._causes[entry.host] = detail
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )

    def note_good(self, entry: fleet.HostEntry) -> None:
        """Take note that a host has answered."""
        self._failures.pop(entry.host, None)

    def _rank(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the hosts of a zone, those with most capacity first."""
        if self._generation != self._hosts.generation:
            self._generation = self._hosts.generation
            self._ranked.clear()
        ranked = self._ranked.get(zone)
        if ranked is None:
            near = self._hosts.rank_zone(zone)
            # A stable sort: equals stay in the order of their hashes.
            ranked = sorted(near, key=lambda each: -each.capacity)
            self._ranked[zone] = ranked
        return ranked

    def _note_change(
        self, zone: core.ZoneId, found: list[fleet.HostEntry]
    ) -> None:
        """Log whom this host asks from now on, if that has changed."""
        names = [each.host for each in found]
        before = self._told.get(zone)
        if names == before:
            return
        self._told[zone] = names
        gone = [name for name in before or () if name not in names]
        self._events.record(
            events.LogKind.COORDINATORS_CHANGED,
            zone=zone,
            before=before or [],
            hosts=names,
            detail='; '.join(
                f'{name}: {self._causes.get(name, "no longer ranked")}'
                for name in gone
            ),
        )
