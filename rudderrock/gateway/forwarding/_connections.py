"""Connections that this host needs, and limits on how many it opens."""

from rudderrock import core
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.decisions import _shares as shares
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _topology as topology
from rudderrock.gateway.forwarding import _delegate as delegate

# Division of the slack for services that only wide queries use. The slack is
# the number of extra requests that all hosts together may send in addition to
# a fraction of their first requests. One part is for the coordinators and one
# for all other hosts, which run a query themselves if no coordinator has
# started it. The rest is reserved for hosts that become coordinators within
# the budget's window. When the slack was divided evenly over all 62 hosts,
# hedges were denied in seconds of heavy load (docs/benchmarks.md, figures of
# thresholds).
COORDINATOR_SLACK_FRACTION = 0.6
OTHER_HOST_SLACK_FRACTION = 0.25


class ConnectionPlanner:
    """Computes which connections this host needs, and its shares of limits.

    It has them opened in advance.
    """

    def __init__(
        self,
        tables: sources.TableHolder,
        upstream_directory: directory.Directory,
        hosts: fleet.Fleet,
        topology: topology.Topology,
        delegation: delegate.Delegation,
    ):
        self._tables = tables
        self._directory = upstream_directory
        self._hosts = hosts
        self._topology = topology
        self._delegation = delegation
        # Services that only wide queries use.
        self._wide_services: frozenset[routing.ServiceName] = frozenset()

    def update_table(self, table: routing.RoutingTable) -> None:
        """Update the services that only wide queries use."""
        self._wide_services = table.list_wide_services(delegate.WIDE_SHARDS)

    def warm(self, selector: replicas.ReplicaSelector) -> None:
        """Open the connections that this host will need.

        Connections to hosts that are no longer registered are closed.
        """
        self._delegation.close_unlisted()
        for service in self.list_required_services(selector):
            selector.warm(service)
        table = self._tables.current
        if table is None or not self._hosts.is_listed:
            return
        for route in table.routes.values():
            match route.target:
                case routing.Scatter(shards=shards) if self.runs_locally(
                    shards
                ):
                    self._delegation.warm()
                    return

    def is_wide(self, shards: tuple[routing.ServiceName, ...]) -> bool:
        """Return whether a query over these shards is a wide query."""
        return len(shards) >= delegate.WIDE_SHARDS

    def runs_locally(self, shards: tuple[routing.ServiceName, ...]) -> bool:
        """Return whether this host itself runs queries over these shards."""
        return (
            not self.is_wide(shards) or self._delegation.coordinators.has_own()
        )

    def share_slack(self, service: routing.ServiceName, slack: float) -> float:
        """Return how much of `slack` this host may use for a service.

        `slack` is the number of extra requests that all hosts together may
        send to the service in addition to a fraction of their first requests.
        For services that only wide queries use, coordinators get most of it,
        because few other hosts send to these services.
        """
        if service not in self._wide_services:
            return slack / self._hosts.count()
        coordinators = self._delegation.coordinators
        hosts = sum(coordinators.count_by_zone().values())
        if coordinators.has_own():
            return COORDINATOR_SLACK_FRACTION * slack / max(1, hosts)
        others = max(1, self._hosts.count() - hosts)
        return OTHER_HOST_SLACK_FRACTION * slack / others

    def list_required_services(
        self, selector: replicas.ReplicaSelector
    ) -> set[routing.ServiceName]:
        """Return the services to which this host keeps connections open.

        These are the services to which it sends requests itself; of the
        shards of wide queries, only those with an upstream in its zone. The
        set is empty if there is no table or this host is not registered.
        """
        table = self._tables.current
        if table is None or not self._hosts.is_listed:
            return set()
        required: set[routing.ServiceName] = set()
        for route in table.routes.values():
            services = table.list_services(route)
            if len(services) < delegate.WIDE_SHARDS:
                required.update(services)
            elif self.runs_locally(services):
                required.update(filter(selector.has_nearest, services))
        return required

    def find_service(
        self, service: routing.ServiceName
    ) -> routing.Service | None:
        """Return a service's entry in the current table, or None."""
        table = self._tables.current
        return table.services.get(service) if table is not None else None

    def list_senders(self, endpoint: directory.Endpoint) -> list[core.HostId]:
        """Return the hosts that may send to an upstream while it is cold.

        These are the hosts of the upstream's zone, which also query it on
        behalf of hosts in other zones. If the zone has no host, all hosts are
        returned.
        """
        zone = endpoint.zone
        if endpoint.service in self._wide_services:
            senders = self._delegation.coordinators.list_regular(zone)
        else:
            senders = self._hosts.rank_zone(zone)
        return [each.host for each in senders or self._hosts.list_hosts()]

    def get_connection_limit(
        self, endpoint: directory.Endpoint
    ) -> shares.ConnectionShare:
        """Return how many connections this host may open to an upstream."""
        service = endpoint.service
        entry = self.find_service(service)
        is_wide = service in self._wide_services
        coordinators = self._delegation.coordinators
        counts = self._hosts.count_by_zone()
        if is_wide:
            counts = coordinators.count_by_zone()
        share = shares.compute_connection_share(
            endpoint,
            self._directory.list_ready(service),
            entry.max_connections if entry is not None else 1,
            counts,
            self._topology,
        )
        if is_wide and not coordinators.has_own():
            # This host sends to the upstream only while the coordinators are
            # full or gone, so its connections are closed soon after use.
            return shares.ConnectionShare(1, True)
        return share
