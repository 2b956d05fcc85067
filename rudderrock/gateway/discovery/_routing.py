"""Routing table: the services that requests are sent to, by version.

A `RoutingTable` is immutable. A request uses the table that was in force when
it arrived, so all parts of one answer come from one version.
"""

from collections.abc import Iterable
import dataclasses
import enum
import functools
from typing import NewType

import xxhash

from rudderrock.gateway.discovery import _teams as teams_module
from rudderrock.gateway.discovery import _topology as topology

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
    """Target that sends all requests to one service."""

    service: ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a service in a `Split`; weights are relative to their sum."""

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Target that distributes requests over services by weight."""

    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scatter:
    """Target that sends each request to every shard and merges the records.

    `top_k` is the number of records in an answer, and `min_coverage` the
    minimum fraction of the shards that an answer must include, 0 to 1.
    """

    shards: tuple[ServiceName, ...]
    top_k: int
    min_coverage: float


Target = Single | Split | Scatter


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Mapping of an HTTP host name and a path prefix to a target.

    `host` is compared with the Host header of a request. `timeout_s` is the
    timeout of a request and `goal_s` the latency objective, both in seconds.
    Priority 0 is the most urgent. `max_attempts` is the maximum number of
    upstreams that one request is sent to, per shard. `residency` restricts the
    regions in which requests may be handled. Requests on a public route need
    no key.
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
    residency: topology.Residency = topology.Anywhere()
    is_public: bool = False

    @functools.cached_property
    def digest(self) -> bytes:
        """Return a hash of the properties that determine a query's answer.

        Hosts whose tables have the same digest of a route query the same
        shards for the same records within the same regions, even if their
        tables differ in version.

        The hash covers the `repr` of the target and the `str` of the `Repeat`
        member, so renaming any of these classes, fields or members changes it.
        """
        match self.residency:
            case topology.Anywhere():
                regions = '*'
            case topology.Within(regions=found):
                regions = ','.join(sorted(found))
        text = f'{self.target}|{regions}|{self.repeat}|{self.max_attempts}'
        return b'%x' % xxhash.xxh64_intdigest(text.encode())


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Limits that apply to each upstream of one service.

    `max_connections` is the number of connections that one upstream accepts
    from all hosts together. An upstream is cold for `warmup_s` seconds after
    its start and accepts `warmup_per_s` requests per second during that time;
    0 sets no limit.
    """

    name: ServiceName
    max_connections: int
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntakeLimits:
    """Limits on the size and duration of requests; bytes and seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """All routes, services and teams of one version.

    `teams` is None if the table lists none; requests then need no key.

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
        teams: teams_module.TeamRegistry | None = None,
    ):
        self.version = version
        self.services = services
        self.limits = limits
        self.teams = teams
        self.routes = {
            (route.host.lower(), route.prefix): route for route in routes
        }
        self._priorities_by_shards = _collect_priorities(self.routes.values())

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, or None.

        `host` may include a port and is compared without regard to case.
        `path` must not include the query string.
        """
        name = host.partition(':')[0].lower()
        end = path.rfind('/')
        while end >= 0:
            route = self.routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def get_rank(
        self, route: Route, team: teams_module.Team | None = None
    ) -> int:
        """Return the rank of a team's queries on a route in admission.

        This is the number of more urgent priorities among the teams and the
        routes to the same shards. The priority of a team goes before that of
        the route, which decides between teams of the same priority. The target
        of `route` must be a `Scatter`.
        """
        own_priority = team.priority if team is not None else None
        own = _combine_priorities(own_priority, route.priority)
        team_priorities = {own_priority}
        if self.teams is not None:
            team_priorities |= self.teams.priorities
        found = {
            _combine_priorities(priority, each)
            for priority in team_priorities
            for each in self._priorities_by_shards[route.target.shards]
        }
        return sum(each < own for each in found)

    def list_wide_services(self, min_services: int) -> frozenset[ServiceName]:
        """Return the services that only wide routes use.

        A wide route is one to at least `min_services` services.
        """
        wide: set[ServiceName] = set()
        others: set[ServiceName] = set()
        for route in self.routes.values():
            services = self.list_services(route)
            is_wide = len(services) >= min_services
            (wide if is_wide else others).update(services)
        return frozenset(wide - others)

    def list_services(self, route: Route) -> tuple[ServiceName, ...]:
        """Return all services that a route may send requests to."""
        match route.target:
            case Single(service=service):
                return (service,)
            case Split(shares=shares):
                return tuple(share.service for share in shares)
            case Scatter(shards=shards):
                return shards


def _combine_priorities(
    team_priority: int | None, route_priority: int
) -> tuple[int, int]:
    """Return the sort key of a query; the most urgent has the smallest."""
    if team_priority is None:
        return route_priority, route_priority
    return team_priority, route_priority


def _collect_priorities(
    routes: Iterable[Route],
) -> dict[tuple[ServiceName, ...], set[int]]:
    """Return the priorities of the routes, by their shards."""
    found: dict[tuple[ServiceName, ...], set[int]] = {}
    for route in routes:
        match route.target:
            case Scatter(shards=shards):
                found.setdefault(shards, set()).add(route.priority)
    return found
