"""Which connections this host needs, and how many of them it may open."""

from rudderrock import core
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.decisions import _shares as shares
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _place as place
from rudderrock.gateway.knowledge import _routing as routing
from rudderrock.gateway.knowledge import _sources as sources

# The slack of extra requests to services that only wide queries ask: the part
# that the hosts which run such queries share, and the part that all others
# do, for queries that a host has not begun on. What is left is for hosts that
# take the place of others within the window of the budget. Split over all 62
# hosts the slack left hedges denied in heavy seconds (docs/benchmarks.md,
# figures of thresholds).
REGULAR_SLACK_PART = 0.6
OTHER_SLACK_PART = 0.25


class Connections:
    """Opens connections before they are needed, within this host's shares."""

    def __init__(
        self,
        tables: sources.TableHolder,
        listing: directory.Directory,
        hosts: fleet.Fleet,
        place: place.Place,
        delegation: delegate.Delegation,
    ):
        self._tables = tables
        self._listing = listing
        self._hosts = hosts
        self._place = place
        self._delegation = delegation
        # Services that only wide queries ask.
        self._wide_only: frozenset[routing.ServiceName] = frozenset()

    def take_table(self, table: routing.RoutingTable) -> None:
        """Take note of a new table."""
        self._wide_only = table.list_wide_only(delegate.WIDE_SHARDS)

    def warm(self, book: replicas.ReplicaBook) -> None:
        """Open the connections that this host will need."""
        self._delegation.drop_unused()
        for service in self.list_wanted(book):
            book.warm(service)
        table = self._tables.current
        if table is None or not self._hosts.is_listed:
            return
        for route in table.routes.values():
            match route.target:
                case routing.Scatter(shards=shards) if self.runs(shards):
                    self._delegation.warm()
                    return

    def is_wide(self, shards: tuple[routing.ServiceName, ...]) -> bool:
        """Tell whether queries over some shards are run by few hosts."""
        return len(shards) >= delegate.WIDE_SHARDS

    def runs(self, shards: tuple[routing.ServiceName, ...]) -> bool:
        """Tell whether this host itself runs queries over some shards."""
        return (
            not self.is_wide(shards) or self._delegation.coordinators.has_own()
        )

    def share_slack(self, service: routing.ServiceName, slack: float) -> float:
        """Return this host's part of the extra requests to a service.

        `slack` is what all hosts together may send beyond what their
        requests earn. Services that only wide queries ask are asked by few
        hosts, so these share most of it.
        """
        if service not in self._wide_only:
            return slack / self._hosts.count()
        coordinators = self._delegation.coordinators
        hosts = sum(coordinators.count_by_zone().values())
        if coordinators.has_own():
            return REGULAR_SLACK_PART * slack / max(1, hosts)
        others = max(1, self._hosts.count() - hosts)
        return OTHER_SLACK_PART * slack / others

    def list_wanted(
        self, book: replicas.ReplicaBook
    ) -> set[routing.ServiceName]:
        """Return the services that this host itself will send to."""
        table = self._tables.current
        if table is None or not self._hosts.is_listed:
            return set()
        wanted: set[routing.ServiceName] = set()
        for route in table.routes.values():
            services = table.list_services(route)
            if len(services) < delegate.WIDE_SHARDS:
                wanted.update(services)
            elif self.runs(services):
                wanted.update(filter(book.has_nearest, services))
        return wanted

    def find_service(
        self, service: routing.ServiceName
    ) -> routing.Service | None:
        """Return what the table in force says of a service, if anything."""
        table = self._tables.current
        return table.services.get(service) if table is not None else None

    def list_senders(self, endpoint: directory.Endpoint) -> list[core.HostId]:
        """Return the hosts that send to an upstream while it is cold.

        They are the ones of its zone, which are the nearest and ask it for
        others; all hosts where that zone has none.
        """
        zone = endpoint.zone
        if endpoint.service in self._wide_only:
            found = self._delegation.coordinators.list_regular(zone)
        else:
            found = self._hosts.rank_zone(zone)
        return [each.host for each in found or self._hosts.list_hosts()]

    def get_share(self, endpoint: directory.Endpoint) -> shares.LinkShare:
        """Return what this host may open to one upstream."""
        service = endpoint.service
        found = self.find_service(service)
        is_wide = service in self._wide_only
        coordinators = self._delegation.coordinators
        counts = self._hosts.count_by_zone()
        if is_wide:
            counts = coordinators.count_by_zone()
        share = shares.share_links(
            endpoint,
            self._listing.list_ready(service),
            found.max_connections if found is not None else 1,
            counts,
            self._place,
        )
        if is_wide and not coordinators.has_own():
            # This host sends there only while those that should have no room
            # or are gone; its connections close soon after.
            return shares.LinkShare(1, True)
        return share
