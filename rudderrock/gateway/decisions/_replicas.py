"""What this host has seen of each upstream, and which one it asks next."""

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from rudderrock import core
from rudderrock.gateway.decisions import _cold as cold
from rudderrock.gateway.decisions import _shares as shares
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _pool as pool
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _place as place
from rudderrock.gateway.knowledge import _routing as routing

# After a late or failed answer an upstream is passed over for this long,
# doubled for each more in a row up to the longest; seconds. A pause of an
# upstream lasts some 150 to 250 ms. Passed over only from the second late
# answer on, fewer requests were served (docs/benchmarks.md, figures of
# thresholds).
FIRST_AVOID_S = 0.25
LONGEST_AVOID_S = 6.0
# An upstream that can't be reached is passed over for longer; seconds.
UNREACHABLE_AVOID_S = 0.5
# A rejected request says that the upstream is full just now; seconds.
SHED_AVOID_S = 0.1
# An upstream whose address turned out to be another's has ended. It is not
# asked again for this long, in seconds, in which its registration lapses:
# each request would reach, and load, a service that it is not meant for.
GONE_S = 10.0
_MOST_STRIKES = 6


class Replica:
    """One upstream with its connections and its recent conduct."""

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
        self.strikes = 0
        self._clock = clock
        self._avoid_until = 0.0
        self._gone_until = 0.0

    def is_gone(self, now: float) -> bool:
        """Tell whether its address was lately found to be another's."""
        return now < self._gone_until

    def note_gone(self) -> None:
        """Take note that another upstream answers at its address."""
        self._gone_until = self._clock.now() + GONE_S

    def is_suspect(self, now: float, late_s: float) -> bool:
        """Tell whether it should be passed over while another will do.

        It is while a request to it is later than `late_s`.
        """
        if now < self._avoid_until:
            return True
        return self.links.get_oldest_age(now) > late_s

    def note_good(self) -> None:
        """Take note of an answer in time."""
        self.strikes = 0
        self._avoid_until = 0.0

    def note_bad(self, base_s: float = FIRST_AVOID_S) -> None:
        """Take note of a late, failed, lost or rejected request."""
        now = self._clock.now()
        if now < self._avoid_until:
            return
        wait_s = min(base_s * 2**self.strikes, LONGEST_AVOID_S)
        self.strikes = min(self.strikes + 1, _MOST_STRIKES)
        self._avoid_until = now + wait_s


class ConnectionNeeds(Protocol):
    """What decides on the connections of a host."""

    def get_share(self, endpoint: directory.Endpoint) -> shares.LinkShare:
        """Return what this host may open to one upstream."""

    def list_wanted(self, book: 'ReplicaBook') -> set[routing.ServiceName]:
        """Return the services that this host itself will send to."""


class ReplicaBook:
    """All replicas of this host, kept in step with the directory."""

    def __init__(
        self,
        listing: directory.Directory,
        place: place.Place,
        names: dialect.HeaderNames,
        clock: core.Clock,
        source: random.Random,
        needs: ConnectionNeeds,
        cold_limits: cold.ColdLimits,
        own: core.HostId,
        has_ended: Callable[[core.UpstreamLife], bool],
    ):
        self.dials = 0
        self._has_ended = has_ended
        self._cold = cold_limits
        self._own = own
        self._listing = listing
        self._place = place
        self._names = names
        self._clock = clock
        self._source = source
        self._needs = needs
        self._replicas: dict[core.UpstreamId, Replica] = {}
        self._retired: list[Replica] = []
        listing.add_listener(self._on_change)

    def list_ready(
        self, service: routing.ServiceName, residency: place.Residency
    ) -> list[Replica]:
        """Return the replicas of a service that may be sent a request.

        They take new work and are where the request may be handled.
        """
        return [
            self._get_replica(endpoint)
            for endpoint in self._listing.list_ready(service)
            if self._place.allows(residency, endpoint.zone)
        ]

    def count_live(
        self, service: routing.ServiceName, residency: place.Residency
    ) -> int:
        """Return how many replicas of a service live, as far as known.

        One that has ended stays registered for some seconds, and one whose
        address is another's has ended too.
        """
        now = self._clock.now()
        return sum(
            not each.is_gone(now) and not self._has_ended(each.endpoint.life)
            for each in self.list_ready(service, residency)
        )

    def has_ready(
        self, service: routing.ServiceName, residency: place.Residency
    ) -> bool:
        """Tell whether a service has an upstream for a request."""
        return any(
            self._place.allows(residency, endpoint.zone)
            for endpoint in self._listing.list_ready(service)
        )

    def choose(
        self,
        service: routing.ServiceName,
        residency: place.Residency,
        late_s: float,
        tried: tuple[core.UpstreamId, ...] = (),
    ) -> Replica | None:
        """Return the replica to ask next, or None if none is left.

        Nothing speaking against it comes first, then nearness, then, beyond
        this zone, a connection that is open, then how little this host has
        under way there; chance breaks ties.

        To open a connection into another region takes two thirds as long as
        the exchange itself: half of all hedges that came back took 28 ms on an
        open one and 51 ms on a new one, and 41 in 100 had to open one (12 s of
        24 queries a second over 90 shards, three replicas in three regions).
        """
        now = self._clock.now()
        best = None
        best_key = None
        for replica in self.list_ready(service, residency):
            if replica.endpoint.upstream in tried or replica.is_gone(now):
                continue
            if not self._cold.admits(replica.endpoint):
                continue
            suspect = replica.is_suspect(now, late_s)
            key = (
                suspect,
                replica.strikes if suspect else 0,
                replica.links.is_full,
                replica.distance,
                replica.distance > 0 and not replica.links.is_idle,
                replica.links.load / replica.endpoint.slots,
                self._source.random(),
            )
            if best_key is None or key < best_key:
                best, best_key = replica, key
        return best

    def list_nearest(
        self,
        service: routing.ServiceName,
        residency: place.Residency,
        late_s: float,
    ) -> list[Replica]:
        """Return the replicas nearest of those that nothing speaks against."""
        now = self._clock.now()
        found = [
            replica
            for replica in self.list_ready(service, residency)
            if not replica.is_gone(now)
            and not replica.is_suspect(now, late_s)
            and not replica.links.is_full
        ]
        least = min((replica.distance for replica in found), default=0)
        return [replica for replica in found if replica.distance == least]

    def get_distance(self, zone: core.ZoneId) -> int:
        """Return how far another zone is."""
        return self._place.get_distance(zone)

    def has_nearest(self, service: routing.ServiceName) -> bool:
        """Tell whether a replica of a service is in this host's zone."""
        return any(
            self._place.get_distance(endpoint.zone) == 0
            for endpoint in self._listing.list_ready(service)
        )

    def warm(self, service: routing.ServiceName) -> None:
        """Open a connection to the nearest replicas of a service.

        None where this host's share is less than one.
        """
        found = self.list_ready(service, place.Anywhere())
        if not found:
            return
        nearest = min(replica.distance for replica in found)
        for replica in found:
            if replica.distance == nearest and not replica.links.is_spare:
                replica.links.warm()

    def warm_hedge(self, service: routing.ServiceName) -> None:
        """Keep a connection to one replica beyond the nearest.

        One, since each must be opened again whenever it has idled too long;
        hosts choose it by their own names, so that the replicas share them.
        With it answers to 935 queries over 135 shards that left shards out
        fell from 791 to 582, with no more connections opened, and the part of
        requests in time rose from 0.89 to 0.91 (one heavy day of 60 hosts).
        """
        found = self.list_ready(service, place.Anywhere())
        nearest = min((each.distance for each in found), default=0)
        others = [
            each
            for each in found
            if each.distance > nearest and not each.links.is_spare
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
        """Close connections that are no longer of use."""
        for replica in self._replicas.values():
            replica.links.sweep()
        for replica in self._retired:
            replica.links.sweep()
        self._retired = [each for each in self._retired if each.links.load]

    def drop_idle(self) -> None:
        """Close every connection that has nothing under way."""
        for replica in self._replicas.values():
            replica.links.drop_idle()

    def note_sent(self, endpoint: directory.Endpoint) -> None:
        """Take note of a request that is sent to an upstream."""
        self._cold.note_sent(endpoint)

    def set_caps(self) -> None:
        """Bring all pools to the present bounds on connections."""
        for replica in self._replicas.values():
            self._set_cap(replica)

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
                self._count_dial,
            )
            distance = self._place.get_distance(endpoint.zone)
            replica = Replica(endpoint, links, distance, self._clock)
            self._set_cap(replica)
            self._replicas[endpoint.upstream] = replica
        return replica

    def _reset_caps(self, upstream: core.UpstreamId) -> None:
        """Share connections anew among the replicas of one service."""
        endpoint = self._listing.get_endpoint(upstream)
        if endpoint is None:
            return
        for each in self._listing.list_ready(endpoint.service):
            replica = self._replicas.get(each.upstream)
            if replica is not None:
                self._set_cap(replica)

    def _set_cap(self, replica: Replica) -> None:
        share = self._needs.get_share(replica.endpoint)
        replica.links.cap = share.cap
        replica.links.is_spare = share.is_spare

    def _count_dial(self) -> None:
        self.dials += 1

    def _on_change(self, change: directory.DirectoryChange) -> None:
        for upstream in change.left:
            replica = self._replicas.pop(upstream, None)
            if replica is not None:
                replica.links.retire()
                self._retired.append(replica)
        wanted = self._needs.list_wanted(self)
        for upstream in change.added:
            self._reset_caps(upstream)
        for upstream in change.added:
            endpoint = self._listing.get_endpoint(upstream)
            if endpoint is not None and endpoint.service in wanted:
                self.warm(endpoint.service)
