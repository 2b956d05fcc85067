"""Connections to upstreams, their health, and the choice of a replica."""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from rudderrock import core
from rudderrock.gateway.decisions import _cold as cold
from rudderrock.gateway.decisions import _shares as shares
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _topology as topology
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _open_limit as open_limit
from rudderrock.gateway.http import _pool as pool

# Time in seconds during which an upstream is avoided after a late or failed
# answer. Each consecutive one doubles it, up to MAX_AVOID_S. A pause of an
# upstream lasts about 150 to 250 ms. An upstream is avoided from the first
# late answer on; if only from the second one on, fewer requests were served
# (docs/benchmarks.md, figures of thresholds).
INITIAL_AVOID_S = 0.25
MAX_AVOID_S = 6.0
# Initial avoidance time of an upstream that cannot be reached, in seconds.
UNREACHABLE_AVOID_S = 0.5
# Initial avoidance time after a rejection, in seconds: the upstream is only
# full for the moment.
SHED_AVOID_S = 0.1
# Time in seconds for which an upstream gets no requests after another upstream
# has answered at its address, which shows that it has ended. Its registration
# expires within this time. Requests would reach, and load, a service that
# they are not meant for.
MISDIRECTED_EXCLUSION_S = 10.0
_MAX_BACKOFF_EXPONENT = 6


class Replica:
    """One upstream with its connection pool and recent health."""

    def __init__(
        self,
        endpoint: directory.Endpoint,
        links: pool.Pool,
        distance: int,
        clock: core.Clock,
    ):
        self.endpoint = endpoint
        self.links = links
        self.distance = distance
        self.consecutive_failures = 0
        self._clock = clock
        self._avoid_until = 0.0
        self._excluded_until = 0.0

    def is_excluded(self, now: float) -> bool:
        """Return whether another upstream recently answered at its address."""
        return now < self._excluded_until

    def record_misdirected(self) -> None:
        """Record that another upstream answers at its address."""
        self._excluded_until = self._clock.now() + MISDIRECTED_EXCLUSION_S

    def is_suspect(self, now: float, late_s: float) -> bool:
        """Return whether other replicas should be preferred.

        This is the case after recent failures, and while a request to this
        replica has been in flight for more than `late_s` seconds.
        """
        if now < self._avoid_until:
            return True
        return self.links.get_oldest_age(now) > late_s

    def record_success(self) -> None:
        """Record an answer in time."""
        self.consecutive_failures = 0
        self._avoid_until = 0.0

    def record_failure(self, base_s: float = INITIAL_AVOID_S) -> None:
        """Record a late, failed, lost or rejected request.

        Each consecutive one doubles the avoidance time, which starts at
        `base_s` seconds. Failures while the replica is avoided do not count.
        """
        now = self._clock.now()
        if now < self._avoid_until:
            return
        wait_s = min(base_s * 2**self.consecutive_failures, MAX_AVOID_S)
        self.consecutive_failures = min(
            self.consecutive_failures + 1, _MAX_BACKOFF_EXPONENT
        )
        self._avoid_until = now + wait_s


class ConnectionPolicy(Protocol):
    """Policy that decides which connections a host opens."""

    def get_connection_limit(
        self, endpoint: directory.Endpoint
    ) -> shares.ConnectionShare:
        """Return how many connections to an upstream this host may open."""

    def list_required_services(
        self, selector: 'ReplicaSelector'
    ) -> set[routing.ServiceName]:
        """Return the services whose upstreams this host calls directly."""


class ReplicaSelector:
    """The replicas that this host uses, updated from the directory."""

    def __init__(
        self,
        upstream_directory: directory.Directory,
        topology: topology.Topology,
        names: header_names.HeaderNames,
        clock: core.Clock,
        rng: random.Random,
        policy: ConnectionPolicy,
        cold_limits: cold.ColdLimits,
        own: core.HostId,
        has_crashed: Callable[[core.UpstreamIncarnation], bool],
    ):
        self.connections_opened = 0
        self.open_limit = open_limit.OpenLimit(self._list_pools)
        self._has_crashed = has_crashed
        self._cold = cold_limits
        self._own = own
        self._directory = upstream_directory
        self._topology = topology
        self._names = names
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._replicas: dict[core.UpstreamId, Replica] = {}
        self._retired: list[Replica] = []
        upstream_directory.add_listener(self._on_change)

    def list_ready(
        self, service: routing.ServiceName, residency: topology.Residency
    ) -> list[Replica]:
        """Return the replicas of a service that may be sent a request.

        They accept new requests and are in zones that `residency` allows.
        """
        return [
            self._get_replica(endpoint)
            for endpoint in self._directory.list_ready(service)
            if self._topology.allows(residency, endpoint.zone)
        ]

    def count_live(
        self, service: routing.ServiceName, residency: topology.Residency
    ) -> int:
        """Return how many replicas of a service are not known to have ended.

        A replica that has ended stays registered for some seconds. A replica
        at whose address another upstream answers has ended too.
        """
        now = self._clock.now()
        return sum(
            not each.is_excluded(now)
            and not self._has_crashed(each.endpoint.incarnation)
            for each in self.list_ready(service, residency)
        )

    def has_ready(
        self, service: routing.ServiceName, residency: topology.Residency
    ) -> bool:
        """Return whether a service has a ready upstream in allowed zones."""
        return any(
            self._topology.allows(residency, endpoint.zone)
            for endpoint in self._directory.list_ready(service)
        )

    def choose(
        self,
        service: routing.ServiceName,
        residency: topology.Residency,
        late_s: float,
        tried: tuple[core.UpstreamId, ...] = (),
    ) -> Replica | None:
        """Return the replica to send a request to, or None if none is left.

        Replicas are compared by these criteria, in this order: whether the
        replica is suspect, the consecutive failures of a suspect replica,
        whether its pool is full, its distance, whether it lacks an idle
        connection (in other zones only), and the number of requests of this
        host in flight per slot. Ties are broken at random.

        Idle connections are preferred because opening one to another region
        takes about two thirds as long as the request. The median time of
        answered hedges was 28 ms on an open connection and 51 ms on a new
        one, and 41 in 100 had to open one (24 queries a second over 90 shards
        for 12 s, three replicas in three regions).
        """
        now = self._clock.now()
        best = None
        best_key = None
        for replica in self.list_ready(service, residency):
            if replica.endpoint.upstream in tried or replica.is_excluded(now):
                continue
            if not self._cold.admits(replica.endpoint):
                continue
            suspect = replica.is_suspect(now, late_s)
            key = (
                suspect,
                replica.consecutive_failures if suspect else 0,
                replica.links.is_full,
                replica.distance,
                replica.distance > 0 and not replica.links.is_idle,
                replica.links.load / replica.endpoint.slots,
                self._rng.random(),
            )
            if best_key is None or key < best_key:
                best, best_key = replica, key
        return best

    def list_nearest(
        self,
        service: routing.ServiceName,
        residency: topology.Residency,
        late_s: float,
    ) -> list[Replica]:
        """Return the nearest of the healthy replicas that have room."""
        now = self._clock.now()
        found = [
            replica
            for replica in self.list_ready(service, residency)
            if not replica.is_excluded(now)
            and not replica.is_suspect(now, late_s)
            and not replica.links.is_full
        ]
        least = min((replica.distance for replica in found), default=0)
        return [replica for replica in found if replica.distance == least]

    def get_distance(self, zone: core.ZoneId) -> int:
        """Return 0 for this zone, 1 for the same region, else 2."""
        return self._topology.get_distance(zone)

    def has_nearest(self, service: routing.ServiceName) -> bool:
        """Return whether a replica of a service is in this host's zone."""
        return any(
            self._topology.get_distance(endpoint.zone) == 0
            for endpoint in self._directory.list_ready(service)
        )

    def warm(self, service: routing.ServiceName) -> None:
        """Open a connection to each of the nearest replicas of a service.

        Replicas are left out if this host's share of their connections is
        less than one.
        """
        found = self.list_ready(service, topology.Anywhere())
        if not found:
            return
        nearest = min(replica.distance for replica in found)
        for replica in found:
            if (
                replica.distance == nearest
                and not replica.links.is_unallocated
            ):
                replica.links.warm()

    def warm_hedge(self, service: routing.ServiceName) -> None:
        """Keep a connection open to one replica that is not among the nearest.

        Only one is kept because idle connections expire and have to be opened
        again. Each host chooses the replica by a hash of its own name and the
        upstream, which spreads the hosts over the replicas. With this
        connection, 582 instead of 791 of 935 queries over 135 shards left
        shards out, no more connections were opened, and the fraction of
        requests in time rose from 0.89 to 0.91 (one day under heavy load, 60
        hosts).
        """
        found = self.list_ready(service, topology.Anywhere())
        nearest = min((each.distance for each in found), default=0)
        others = [
            each
            for each in found
            if each.distance > nearest and not each.links.is_unallocated
        ]
        if not others or any(each.links.is_open for each in others):
            return
        best = max(
            others,
            key=lambda each: fleet.rank_pair(
                self._own, each.endpoint.upstream
            ),
        )
        best.links.warm()

    def sweep(self) -> None:
        """Close connections that are no longer needed."""
        for replica in self._replicas.values():
            replica.links.sweep()
        for replica in self._retired:
            replica.links.sweep()
        self._retired = [each for each in self._retired if each.links.load]

    def drop_idle(self) -> None:
        """Close every connection without a request in flight."""
        for replica in self._replicas.values():
            replica.links.drop_idle()

    def record_sent(self, endpoint: directory.Endpoint) -> None:
        """Record that a request is sent to an upstream."""
        self._cold.record_sent(endpoint)

    def set_caps(self) -> None:
        """Apply the current connection limits to all pools."""
        for replica in self._replicas.values():
            self._apply_share(replica)

    def close(self) -> None:
        """Close all connections."""
        for replica in (*self._replicas.values(), *self._retired):
            replica.links.close()

    def _get_replica(self, endpoint: directory.Endpoint) -> Replica:
        replica = self._replicas.get(endpoint.upstream)
        if replica is None:
            links = pool.Pool(
                endpoint,
                asyncio.get_running_loop(),
                self._names,
                self._count_opened,
                may_open=self.open_limit.may_open,
            )
            distance = self._topology.get_distance(endpoint.zone)
            replica = Replica(endpoint, links, distance, self._clock)
            self._apply_share(replica)
            self._replicas[endpoint.upstream] = replica
        return replica

    def _apply_shares(self, upstream: core.UpstreamId) -> None:
        """Recompute the connection limits of an upstream's whole service."""
        endpoint = self._directory.get_endpoint(upstream)
        if endpoint is None:
            return
        for each in self._directory.list_ready(endpoint.service):
            replica = self._replicas.get(each.upstream)
            if replica is not None:
                self._apply_share(replica)

    def _apply_share(self, replica: Replica) -> None:
        share = self._policy.get_connection_limit(replica.endpoint)
        replica.links.cap = share.cap
        replica.links.is_unallocated = share.is_unallocated

    def _list_pools(self) -> list[pool.Pool]:
        replicas = (*self._replicas.values(), *self._retired)
        return [each.links for each in replicas]

    def _count_opened(self) -> None:
        self.connections_opened += 1

    def _on_change(self, change: directory.DirectoryChange) -> None:
        for upstream in change.left:
            replica = self._replicas.pop(upstream, None)
            if replica is not None:
                replica.links.retire()
                self._retired.append(replica)
        required = self._policy.list_required_services(self)
        for upstream in change.added:
            self._apply_shares(upstream)
        for upstream in change.added:
            endpoint = self._directory.get_endpoint(upstream)
            if endpoint is not None and endpoint.service in required:
                self.warm(endpoint.service)
