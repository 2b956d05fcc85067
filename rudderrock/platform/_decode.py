"""What lies in the platform's store, decoded into rudderrock's types."""

import base64
import binascii
import enum
import math
from typing import Annotated

import msgspec
import result

from rudderrock import core
from rudderrock import gateway

# What `decode_value` raises.
BAD_VALUE = (binascii.Error, ValueError)
# What reading JSON of another writer raises; values nested too deep are not
# a decoding error to the library.
BAD_JSON = (msgspec.DecodeError, ValueError, RecursionError)


_NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _ServerState(enum.Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # `safe` may be repeated; any other kind is run at most once.
    kind: str
    timeout_ms: float
    latency_goal_ms: float | None = None
    priority: int = 0
    max_attempts: int = 1
    service: str | None = None
    split: list[_WeightedService] | None = None
    # The services of all shards of an index.
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0
    # Empty: all regions.
    allowed_regions: list[str] | None = None


class _Service(msgspec.Struct):
    name: str
    # Connections that one upstream accepts from all hosts together.
    max_conns: int = 1
    # How long an upstream is cold after its start, and the requests a
    # second that it stands meanwhile; 0 sets no bound.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Server(msgspec.Struct):
    """An upstream's entry; each upstream writes all fields but `born`."""

    service: str
    address: str
    zone: str
    # The version of the upstream's software, of no use here.
    version: str
    slots: int
    state: _ServerState
    # How much longer the upstream is cold.
    warmup_left_ms: float
    sequence: _NotNegative
    # The Unix millisecond of its start; on some deployments it is not told.
    born: _NotNegative = 0


def decode_value(text: str) -> bytes:
    """Return the bytes of a stored value, which is base64 text."""
    return base64.b64decode(text, validate=True)


def encode_value(value: bytes) -> str:
    """Return bytes as the store takes them."""
    return base64.b64encode(value).decode('ascii')


def decode_table(
    raw: bytes,
) -> result.Result[gateway.RoutingTable, str]:
    """Return the routing table that an operator has written."""
    try:
        config = msgspec.json.decode(raw, type=_Config)
        routes = [_make_route(each) for each in config.routes]
        services = _make_services(config.services)
    except BAD_JSON as error:
        return result.Err(str(error))
    limits = config.limits
    return result.Ok(
        gateway.RoutingTable(
            gateway.TableVersion(config.version),
            routes,
            services,
            gateway.IntakeLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                header_timeout_s=limits.header_timeout_ms / 1000,
                idle_timeout_s=limits.idle_timeout_ms / 1000,
            ),
        )
    )


def _make_services(
    listed: list[_Service],
) -> dict[gateway.ServiceName, gateway.Service]:
    services = {}
    for each in listed:
        name = gateway.ServiceName(each.name)
        services[name] = gateway.Service(
            name=name,
            max_connections=each.max_conns,
            warmup_s=_check_warmup(each.warmup_s),
            warmup_per_s=_check_warmup(each.warmup_per_s),
        )
    return services


def _check_warmup(value: float) -> float:
    """Return a warm-up figure; raise ValueError if it can't be one."""
    if not 0 <= value < math.inf:
        raise ValueError(f'a warm-up figure must not be {value:g}')
    return value


def decode_upstream(
    upstream: str, raw: bytes
) -> result.Result[gateway.Endpoint, str]:
    """Return one registered upstream; its id is part of its key."""
    try:
        server = msgspec.json.decode(raw, type=_Server)
        address = core.split_address(server.address)
        _check_warmup(server.warmup_left_ms)
    except BAD_JSON as error:
        return result.Err(f'{upstream}: {error}')
    is_ready = server.state is _ServerState.READY
    return result.Ok(
        gateway.Endpoint(
            upstream=core.UpstreamId(upstream),
            service=gateway.ServiceName(server.service),
            address=address,
            zone=core.ZoneId(server.zone),
            slots=max(1, server.slots),
            phase=gateway.Phase.READY if is_ready else gateway.Phase.DRAINING,
            born=server.born,
            sequence=server.sequence,
            warmup_left_s=server.warmup_left_ms / 1000,
        )
    )


def _make_route(route: _Route) -> gateway.Route:
    safe = route.kind == 'safe'
    goal_ms = route.latency_goal_ms or route.timeout_ms
    return gateway.Route(
        name=gateway.RouteName(route.name),
        host=route.host,
        prefix=route.prefix,
        repeat=gateway.Repeat.IDEMPOTENT if safe else gateway.Repeat.ONCE,
        target=_make_target(route),
        timeout_s=route.timeout_ms / 1000,
        goal_s=goal_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        residency=_make_residency(route),
    )


def _make_residency(route: _Route) -> gateway.Residency:
    if not route.allowed_regions:
        return gateway.Anywhere()
    return gateway.Within(
        frozenset(map(gateway.RegionId, route.allowed_regions))
    )


def _make_target(route: _Route) -> gateway.Target:
    if route.gather:
        return gateway.Scatter(
            tuple(gateway.ServiceName(each) for each in route.gather),
            route.top_k,
            route.min_coverage,
        )
    if route.split:
        return gateway.Split(
            tuple(
                gateway.Share(gateway.ServiceName(each.service), each.weight)
                for each in route.split
            )
        )
    if route.service:
        return gateway.Single(gateway.ServiceName(route.service))
    raise ValueError(f'route {route.name} names no service')
