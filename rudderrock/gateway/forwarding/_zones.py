"""Evacuation of zones, and a check of the regions that routes use."""

from collections.abc import Callable

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _topology as topology_module


class ZonePolicy:
    """Stops using evacuated zones, and logs unknown regions.

    Parameters: `find_service` returns the entry of a service in the current
    table, or None.
    """

    def __init__(
        self,
        upstream_directory: directory.Directory,
        topology: topology_module.Topology,
        find_service: Callable[[routing.ServiceName], routing.Service | None],
        events: log.EventLog,
    ):
        self._directory = upstream_directory
        self._topology = topology
        self._find_service = find_service
        self._events = events

    def apply_evacuations(self, current: evacuations.Evacuations) -> None:
        """Stop using evacuated zones, and use zones again afterwards.

        Upstreams of a zone whose evacuation has ended are treated as cold, so
        that their rate is limited as after a start: they may have restarted
        recently, and their directory entries may not show it yet.
        """
        change = self._directory.set_evacuated(current.zones)
        if change is None:
            return
        for upstream in change.added:
            entry = self._directory.get_endpoint(upstream)
            service = self._find_service(entry.service)
            if service is not None and service.warmup_per_s > 0.0:
                self._directory.mark_cold(upstream, service.warmup_s)

    def check_table(self, table: routing.RoutingTable) -> None:
        """Log each region that routes use but the settings don't define."""
        unknown: dict[topology_module.RegionId, list[routing.RouteName]] = {}
        for route in table.routes.values():
            for region in self._topology.list_unknown(route.residency):
                unknown.setdefault(region, []).append(route.name)
        for region, routes in unknown.items():
            self._events.record(
                events.LogKind.REGIONS_UNKNOWN,
                version=table.version,
                region=region,
                routes=routes,
            )
