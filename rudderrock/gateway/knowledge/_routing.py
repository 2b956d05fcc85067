"""Routes: which requests go to which services, at one version.

A `RoutingTable` is immutable. A request keeps the table that it found when
it arrived, so all parts of one answer come from one version.
"""

from collections.abc import Iterable
import dataclasses
import enum
import functools
from typing import NewType

import xxhash

from rudderrock.gateway.knowledge import _place as place

ServiceName = NewType('ServiceName', str)
RouteName = NewType('RouteName', str)
TableVersion = NewType('TableVersion', int)

NO_VERSION = TableVersion(-1)


class Repeat(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class Single:
    """All requests go to one service."""

    service: ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One part of a split; `weight` is relative to the other parts."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Requests are spread over services in proportion to weights."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scatter:
    """Each request goes to every shard and their records are merged.

    `top_k` is the number of records in an answer, `min_coverage` the least
    fraction of the shards that an answer must contain, 0 to 1.
    """

    shards: tuple[ServiceName, ...]
    top_k: int
    min_coverage: float


Target = Single | Split | Scatter


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """One way from a host name and a path prefix to upstreams.

    `timeout_s` is the longest that a request may be kept waiting, `goal_s`
    the latency that the operators aim at, both in seconds. Priority 0 is
    the most urgent. `max_attempts` bounds the upstreams that one request
    is sent to, for each shard. `residency` says in which regions its
    requests may be handled.
    """

    name: RouteName
    host: str
    prefix: str
    repeat: Repeat
    target: Target
    timeout_s: float
    goal_s: float
    priority: int
    max_attempts: int
    residency: place.Residency = place.Anywhere()

    @functools.cached_property
    def digest(self) -> bytes:
        """Return what is the same where a query means the same.

        Hosts whose tables have the same digest of a route ask the same shards
        for the same records within the same regions, whatever else has
        changed between their versions.
        """
        match self.residency:
            case place.Anywhere():
                regions = '*'
            case place.Within(regions=found):
                regions = ','.join(sorted(found))
        text = f'{self.target}|{regions}|{self.repeat}|{self.max_attempts}'
        return b'%x' % xxhash.xxh64_intdigest(text.encode())


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """What holds for all upstreams of one service.

    `max_connections` is what one upstream accepts from all hosts together.
    One that has just started is cold for `warmup_s` seconds and stands
    `warmup_per_s` requests a second meanwhile; 0 sets no bound.
    """

    name: ServiceName
    max_connections: int
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntakeLimits:
    """What a caller may send and how long it may take; bytes, seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """All routes and services of one version.

    >>> table = RoutingTable(TableVersion(1), [], {}, IntakeLimits())
    >>> table.find_route('example.org', '/members/7') is None
    True
    """

    def __init__(
        self,
        version: TableVersion,
        routes: Iterable[Route],
        services: dict[ServiceName, Service],
        limits: IntakeLimits,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.routes = {
            (route.host.lower(), route.prefix): route for route in routes
        }
        self._urgencies = _list_urgencies(self.routes.values())

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, if any.

        `host` may carry a port and is compared without regard to case;
        `path` is without its query.
        """
        name = host.partition(':')[0].lower()
        end = path.rfind('/')
        while end >= 0:
            route = self.routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def get_rank(self, route: Route) -> int:
        """Return how many more urgent priorities ask the same shards."""
        priorities = self._urgencies[route.target.shards]
        return sum(priority < route.priority for priority in priorities)

    def list_wide_only(self, least: int) -> frozenset[ServiceName]:
        """Return the services that only queries over so many shards ask."""
        wide: set[ServiceName] = set()
        others: set[ServiceName] = set()
        for route in self.routes.values():
            services = self.list_services(route)
            is_wide = len(services) >= least
            (wide if is_wide else others).update(services)
        return frozenset(wide - others)

    def list_services(self, route: Route) -> tuple[ServiceName, ...]:
        """Return every service that a route may send to."""
        match route.target:
            case Single(service=service):
                return (service,)
            case Split(shares=shares):
                return tuple(share.service for share in shares)
            case Scatter(shards=shards):
                return shards


def _list_urgencies(
    routes: Iterable[Route],
) -> dict[tuple[ServiceName, ...], set[int]]:
    """Return the priorities of the routes to each set of shards."""
    found: dict[tuple[ServiceName, ...], set[int]] = {}
    for route in routes:
        match route.target:
            case Scatter(shards=shards):
                found.setdefault(shards, set()).add(route.priority)
    return found
