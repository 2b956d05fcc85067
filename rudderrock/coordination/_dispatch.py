"""Choice of a replica for each shard request, and the queues before it.

The replicas of a shard form a service. A request is sent to the better of two
free replicas. If none is free, the request waits in the fair queue of the
service instead of the queue of an upstream, because an upstream cannot apply
the weights of teams.
"""

import asyncio
import dataclasses
import random

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _fair_queue as fair_queue
from rudderrock.coordination import _upstream_link as links

_REMOTE_ZONE_COST_FACTOR = 1.1
# Weight of one answer in the moving mean of the exchange time.
_EXCHANGE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Service:
    """The replicas, the queue and the budgets of one shard.

    `mean_exchange_s` is the moving mean of the duration of an exchange, in
    seconds.
    """

    shard: state.ShardId
    links: list[links.UpstreamLink]
    queue: fair_queue.FairQueue[attempts.Attempt]
    hedges: budgets.Budget
    retries: budgets.Budget
    mean_exchange_s: float = 0.0

    def record_answer(self, elapsed: float) -> None:
        """Update the mean with the duration of an exchange in seconds."""
        self.mean_exchange_s += _EXCHANGE_WEIGHT * (
            elapsed - self.mean_exchange_s
        )

    def has_fast_replica(
        self, avoid: frozenset[state.UpstreamId], pause_above: float
    ) -> bool:
        """Return whether some reachable replica not in `avoid` is rarely late.

        Only then is a hedge expected to help. `pause_above` is the highest
        fraction of late requests that such a replica may have. If all
        replicas exceed it, the service as a whole is slow, and more requests
        would slow it further.
        """
        return any(
            link.is_reachable and link.health.late_fraction <= pause_above
            for link in self.links
            if link.upstream.upstream not in avoid
        )

    def may_hold_version(
        self, version: state.IndexVersion, now: float
    ) -> bool:
        """Return whether some reachable replica may hold a version.

        Only replicas that recently rejected the version are ruled out.
        """
        return any(
            link.is_reachable
            and not link.health.is_missing_version(self.shard, version, now)
            for link in self.links
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether any replica is reachable."""
        return any(link.is_reachable for link in self.links)

    @property
    def capacity(self) -> int:
        """Return how many requests may be in flight at once."""
        return sum(link.capacity for link in self.links if link.is_reachable)

    def estimate_wait_s(self, row: state.TeamRow) -> float:
        """Return the expected wait of one more request of a team in seconds.

        The estimate assumes that the queued requests of the team and the new
        one each take the mean duration of an exchange, on the team's share of
        `capacity`.
        """
        if not len(self.queue):
            return 0.0
        ahead = self.queue.count(row.team) + 1
        share = self.queue.get_share(row)
        team_capacity = max(1, self.capacity) * share
        return ahead * max(self.mean_exchange_s, 1e-4) / team_capacity


class Dispatcher:
    """Sends shard requests to replicas and queues them while none is free.

    Parameters: `zone` is the availability zone of this host; `port` opens
    connections to upstreams; `settings` give the policies; `rng` draws the
    replicas to compare; `event_ring` receives the events of the links.
    """

    def __init__(
        self,
        zone: state.ZoneId,
        port: transport.UpstreamPort,
        settings: state.Settings,
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
    ):
        self._zone = zone
        self._port = port
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._event_ring = event_ring
        self._links: dict[state.UpstreamId, links.UpstreamLink] = {}
        self._services: dict[state.ShardId, Service] = {}
        self._services_by_link: dict[state.UpstreamId, list[Service]] = {}
        self._layout = state.Layout()
        self._hosts = 1
        self._closing_tasks: set[asyncio.Task] = set()

    def apply_layout(self, layout: state.Layout) -> None:
        """Update links and services to match a layout."""
        previous, self._layout = self._layout, layout
        for upstream, description in layout.upstreams.items():
            if previous.upstreams.get(upstream) != description:
                self._close_link(upstream)
                self._add_link(description)
        for upstream in set(self._links) - set(layout.upstreams):
            self._close_link(upstream)
        for upstream, link in self._links.items():
            link.apply_layout(upstream in layout.leaving)
        self._rebuild_services()

    def set_host_count(self, hosts: int) -> None:
        """Divide each upstream's connections among this many hosts."""
        if hosts == self._hosts:
            return
        self._hosts = hosts
        for link in self._links.values():
            link.set_lanes(self._count_lanes(link.upstream))

    def find_collection(
        self, collection: state.CollectionId
    ) -> state.Collection | None:
        """Return a collection of the layout in force, or None."""
        return self._layout.collections.get(collection)

    def find_service(self, shard: state.ShardId) -> Service:
        """Return the service of a shard that the layout names."""
        return self._services[shard]

    def list_links(self) -> list[links.UpstreamLink]:
        """Return the links to all upstreams."""
        return list(self._links.values())

    def list_queued_services(self) -> list[Service]:
        """Return the services that have queued requests."""
        return [each for each in self._services.values() if len(each.queue)]

    def probably_holds_version(
        self, shard: state.ShardId, version: state.IndexVersion
    ) -> bool:
        """Return whether some reachable replica probably holds a version.

        Besides recent rejections, this considers the versions that replicas
        last reported to hold.
        """
        now = self._clock.now()
        return any(
            link.is_reachable
            and not link.health.may_miss_version(shard, version, now)
            for link in self._services[shard].links
        )

    def submit(self, service: Service, attempt: attempts.Attempt) -> None:
        """Send an attempt to a free replica, or queue it."""
        link = self._choose_replica(service, attempt)
        if link is not None and not len(service.queue):
            link.send(attempt)
        else:
            service.queue.push(attempt.row, attempt)

    def try_send(self, service: Service, attempt: attempts.Attempt) -> bool:
        """Send an attempt if a replica is free for it now.

        Return whether it was sent. Queued requests take precedence.
        """
        if len(service.queue):
            return False
        link = self._choose_replica(service, attempt)
        if link is None:
            return False
        link.send(attempt)
        return True

    async def close(self) -> None:
        """Close all connections."""
        for upstream in list(self._links):
            self._close_link(upstream)
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)

    def _choose_replica(
        self, service: Service, attempt: attempts.Attempt
    ) -> links.UpstreamLink | None:
        """Return the cheaper of two free replicas drawn at random, or None.

        This is the power of two choices (Mitzenmacher, 2001). With
        `ReplicaChoice.RANDOM`, return either of the two instead.

        Ejected or shedding replicas, and those that probably lack the version,
        are considered only if every eligible replica is one of them, so these
        temporary conditions never leave a shard without replicas. While
        another one is merely busy, the attempt waits.
        """
        now = self._clock.now()
        request = attempt.request
        eligible = [
            link
            for link in service.links
            if link.accepts_attempts
            and link.upstream.upstream not in attempt.avoid
            and not link.health.is_missing_version(
                request.shard, request.version, now
            )
        ]
        preferred = [
            link
            for link in eligible
            if link.health.is_available(now)
            and not link.health.may_miss_version(
                request.shard, request.version, now
            )
        ]
        free = [link for link in preferred or eligible if link.is_free]
        if len(free) > 2:
            free = self._rng.sample(free, 2)
        if not free:
            return None
        if self._settings.routing.choice is state.ReplicaChoice.RANDOM:
            return self._rng.choice(free)
        return min(free, key=lambda link: self._get_cost(link, now))

    def _get_cost(self, link: links.UpstreamLink, now: float) -> float:
        cost = link.get_cost(now)
        if link.upstream.zone != self._zone:
            cost *= _REMOTE_ZONE_COST_FACTOR
        return cost

    def _on_lane_free(self, link: links.UpstreamLink) -> None:
        """Send queued attempts to a link with a free lane."""
        for service in self._services_by_link.get(link.upstream.upstream, ()):
            while link.is_free and len(service.queue):
                if not self._send_next(service):
                    break

    def _send_next(self, service: Service) -> bool:
        """Take one attempt from the queue and send, reject or drop it.

        Return False if it was put back because no replica can take it now.
        """
        attempt = service.queue.pop()
        if attempt.abandoned:
            return True
        link = self._choose_replica(service, attempt)
        if link is None:
            # No replica is free, except perhaps one to avoid: use that one
            # rather than wait.
            attempt.avoid = frozenset()
            link = self._choose_replica(service, attempt)
        if link is not None:
            link.send(attempt)
            return True
        if not service.may_hold_version(
            attempt.request.version, self._clock.now()
        ):
            # The last replica with this version dropped it while the attempt
            # was queued.
            attempt.deliver(
                protocol.ShardRejected(
                    request_id=attempt.request.request_id,
                    kind=protocol.RejectionKind.VERSION,
                )
            )
            return True
        service.queue.push(attempt.row, attempt)
        return False

    def _add_link(self, upstream: state.Upstream) -> None:
        link = links.UpstreamLink(
            upstream,
            self._port,
            self._settings.routing,
            self._clock,
            self._rng,
            self._event_ring,
            self._on_lane_free,
        )
        self._links[upstream.upstream] = link
        link.start(self._count_lanes(upstream))

    def _close_link(self, upstream: state.UpstreamId) -> None:
        link = self._links.pop(upstream, None)
        if link is not None:
            task = asyncio.create_task(link.close())
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)

    def _count_lanes(self, upstream: state.Upstream) -> int:
        """Return this host's share of the connections of an upstream."""
        reserve = self._settings.routing.connection_reserve
        allowed = upstream.connections * (1.0 - reserve) / self._hosts
        return max(1, min(int(allowed), self._settings.routing.max_lanes))

    def _rebuild_services(self) -> None:
        replicas: dict[state.ShardId, dict[state.UpstreamId, None]] = {}
        for collection in self._layout.collections.values():
            for placement in collection.placements:
                for shard, upstreams in placement.shards.items():
                    shard_replicas = replicas.setdefault(shard, {})
                    shard_replicas.update(dict.fromkeys(upstreams))
        self._services = {
            shard: self._get_or_create_service(shard, list(upstreams))
            for shard, upstreams in replicas.items()
        }
        self._services_by_link = {}
        for service in self._services.values():
            for link in service.links:
                name = link.upstream.upstream
                self._services_by_link.setdefault(name, []).append(service)

    def _get_or_create_service(
        self, shard: state.ShardId, upstreams: list[state.UpstreamId]
    ) -> Service:
        """Return the service of a shard with its current replicas.

        An existing service keeps its queue and its budgets.
        """
        replicas = [self._links[upstream] for upstream in upstreams]
        service = self._services.get(shard)
        if service is None:
            hedging = self._settings.hedging
            retries = self._settings.retries
            return Service(
                shard=shard,
                links=replicas,
                queue=fair_queue.FairQueue(self._settings.admission.order),
                hedges=budgets.Budget(hedging.budget, hedging.burst),
                retries=budgets.Budget(retries.budget, retries.burst),
            )
        service.links = replicas
        return service


def is_not_run(reply: protocol.ShardReply) -> bool:
    """Return whether a reply proves that its request did not run."""
    match reply:
        case protocol.ShardRejected():
            return True
        case protocol.ShardLost(sent=sent):
            return not sent
        case _:
            return False
