"""The hosts that run wide queries, and which of them may be asked now."""

import collections
import math

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _fleet as fleet

# One host in so many of a zone takes wide queries, and two at least, so
# that the loss of one leaves another.
HOSTS_EACH = 5
LEAST_HOSTS = 2
# So many of them, another choice for each host, are asked while they answer:
# more would need more connections, each of them used less often.
ASKED_HOSTS = 2
# A host that didn't take or lost a query is passed over for so long, twice
# as long for each time in a row, in seconds.
SKIP_S = 4.0
LONGEST_SKIP_S = 32.0


class AbleHosts:
    """The able hosts of each zone, as far as this host knows them.

    Every host ranks the hosts that it knows in the same way, so there is no
    election.
    """

    def __init__(
        self, hosts: fleet.Fleet, clock: core.Clock, events: log.EventLog
    ):
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._generation = -1
        self._able: dict[core.ZoneId, list[fleet.HostEntry]] = {}
        self._skip: dict[core.HostId, float] = {}
        self._failures: collections.Counter[core.HostId] = (
            collections.Counter()
        )

    def has_own(self) -> bool:
        """Tell whether this host takes the wide queries of its zone."""
        own = self._hosts.own
        return own in self.list_able(own.zone)

    def count_by_zone(self) -> dict[core.ZoneId, int]:
        """Return how many hosts of each zone take wide queries."""
        zones = self._hosts.count_by_zone()
        return {zone: len(self.list_able(zone)) for zone in zones}

    def list_able(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the hosts of a zone that take wide queries, best first."""
        if self._generation != self._hosts.generation:
            self._generation = self._hosts.generation
            self._able.clear()
        able = self._able.get(zone)
        if able is None:
            near = self._hosts.rank_zone(zone)
            count = max(LEAST_HOSTS, math.ceil(len(near) / HOSTS_EACH))
            # A stable sort: equals stay in the order of their hashes.
            able = sorted(near, key=lambda each: -each.capacity)[:count]
            self._able[zone] = able
        return able

    def list_asked(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return those able hosts of a zone that this host prefers."""
        own = self._hosts.own.host
        return sorted(
            self.list_able(zone),
            key=lambda each: fleet.rank_name(f'{own}/{each.host}'.encode()),
        )[:ASKED_HOSTS]

    def list_open(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the able hosts of a zone that may be asked just now."""
        asked = self._drop_skipped(self.list_asked(zone))
        return asked or self._drop_skipped(self.list_able(zone))

    def pick(
        self, zone: core.ZoneId, request_id: bytes
    ) -> fleet.HostEntry | None:
        """Return the host that a query falls to, None if there is none."""
        able = self.list_open(zone)
        if not able:
            return None
        return able[fleet.rank_name(request_id) % len(able)]

    def skip(
        self, entry: fleet.HostEntry, detail: str, skip_s: float = SKIP_S
    ) -> None:
        """Pass over a host, for longer each time in a row."""
        wait_s = skip_s * 2 ** self._failures[entry.host]
        self._failures[entry.host] += 1
        self._skip[entry.host] = self._clock.now() + min(
            wait_s, LONGEST_SKIP_S
        )
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )

    def pause(
        self, entry: fleet.HostEntry, detail: str, seconds: float
    ) -> None:
        """Pass over a host that is well but of no use for a moment."""
        self._skip[entry.host] = self._clock.now() + seconds
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )

    def note_good(self, entry: fleet.HostEntry) -> None:
        """Take note that a host has answered."""
        self._failures.pop(entry.host, None)

    def _drop_skipped(
        self, entries: list[fleet.HostEntry]
    ) -> list[fleet.HostEntry]:
        now = self._clock.now()
        return [
            each for each in entries if self._skip.get(each.host, now) <= now
        ]
