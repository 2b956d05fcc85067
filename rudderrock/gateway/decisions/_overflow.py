"""Wide queries of a zone that has no room for them.

Callers choose the zone, so its load may exceed what its hosts can do while
hosts of other zones are idle. A query that all hosts asked in its zone have
refused for lack of room is offered to another zone, in the order of what the
way costs, before a host without room must run it. Each query is offered in
its own zone first, so the work comes back as soon as there is room.
"""

from rudderrock import core
from rudderrock.gateway.decisions import _host_load as host_load
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _topology as topology_module

# A host gives queries of other zones this fraction of the room that those of
# its own zone have. Its own load may rise by as much before it has to refuse,
# so that two zones don't exchange their queries.
ROOM_FRACTION = 0.5
# Queries go to another region only if the hosts of this zone would delay them
# by more than this fraction of their latency goal. With less, most are still
# answered in time here, without the traffic between regions.
FAR_DELAY_FRACTION = 0.3
# How long a refusal for lack of room counts, in seconds. The work that it
# tells of takes a fraction of a latency goal.
MAX_AGE_S = 0.5


class Overflow:
    """Choose the zones to which a query without room in its zone may go.

    Hosts tell with their refusals by how much they would delay the query.
    The delay shrinks with its age, as the work is done. `sent` counts the
    queries that other zones have run.
    """

    def __init__(
        self,
        hosts: fleet.Fleet,
        place: topology_module.Topology,
        clock: core.Clock,
    ):
        self.sent = 0
        self._hosts = hosts
        self._place = place
        self._clock = clock
        self._refusals: dict[core.HostId, tuple[float, float]] = {}

    def record_no_room(self, entry: fleet.HostEntry, delay_s: float) -> None:
        """Record that a host has refused a query for lack of room."""
        self._refusals[entry.host] = (delay_s, self._clock.now())

    def expects_room(self, entry: fleet.HostEntry, goal_s: float) -> bool:
        """Return whether a host of another zone may have room by now."""
        delay_s = self._get_delay_s(entry.host)
        return delay_s <= (
            ROOM_FRACTION * host_load.MAX_DELAY_FRACTION * goal_s
        )

    def split(
        self, tried: tuple[core.HostId, ...]
    ) -> tuple[tuple[core.HostId, ...], tuple[core.HostId, ...]]:
        """Return the hosts of this zone, and those of other zones."""
        if not tried:
            return (), ()
        here = {
            each.host for each in self._hosts.rank_zone(self._hosts.own.zone)
        }
        return (
            tuple(each for each in tried if each in here),
            tuple(each for each in tried if each not in here),
        )

    def list_zones(
        self,
        route: routing.Route,
        request_id: bytes,
        own_delay_s: float | None,
        tried: tuple[core.HostId, ...],
    ) -> list[core.ZoneId]:
        """Return the zones to ask for a query, the nearest ones first.

        `own_delay_s` is the delay at this host, None if it has room. `tried`
        are the hosts of this zone that have not taken the query. There are
        no zones while this host has room, unless all of `tried` lacked it.
        """
        own = self._hosts.own
        delays = self._list_delays(own.zone)
        others = [each for each in tried if each != own.host]
        if own_delay_s is not None:
            delays[own.host] = own_delay_s
        elif not others or any(each not in delays for each in others):
            return []
        is_long = min(delays.values()) > FAR_DELAY_FRACTION * route.goal_s
        found = []
        for zone in self._hosts.count_by_zone():
            distance = self._place.get_distance(zone)
            if distance == 0 or (
                distance == topology_module.FARTHEST and not is_long
            ):
                continue
            if self._place.allows(route.residency, zone):
                rank = fleet.rank_name(request_id + zone.encode())
                found.append((distance, rank, zone))
        return [zone for _, _, zone in sorted(found)]

    def _list_delays(self, zone: core.ZoneId) -> dict[core.HostId, float]:
        """Return the delays told of late by other hosts of a zone."""
        now = self._clock.now()
        return {
            each.host: self._get_delay_s(each.host)
            for each in self._hosts.rank_zone(zone)
            if each.host in self._refusals
            and now - self._refusals[each.host][1] < MAX_AGE_S
        }

    def _get_delay_s(self, host: core.HostId) -> float:
        """Return what is left of the delay told by a host."""
        if host not in self._refusals:
            return 0.0
        delay_s, told_at = self._refusals[host]
        done_s = (self._clock.now() - told_at) * host_load.SUSTAINED_FRACTION
        return max(0.0, delay_s - done_s)
