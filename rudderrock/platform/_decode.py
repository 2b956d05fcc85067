"""Decoding of the values in the platform's store."""

import base64
import binascii
import enum
import math
from typing import Annotated

import msgspec
import result

from rudderrock import core
from rudderrock import gateway

# Exceptions of `decode_value`.
BAD_VALUE = (binascii.Error, ValueError)
# Exceptions of decoding and converting untrusted JSON. For values that are
# nested too deeply, msgspec raises RecursionError instead of DecodeError.
BAD_JSON = (msgspec.DecodeError, ValueError, RecursionError)


_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


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
    # A `safe` request may be repeated; any other kind is run at most once.
    kind: str
    timeout_ms: float
    latency_goal_ms: float | None = None
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    service: str | None = None
    split: list[_WeightedService] | None = None
    # The services of all shards of an index.
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0
    # All regions are allowed if this is empty.
    allowed_regions: list[str] | None = None


class _Service(msgspec.Struct):
    name: str
    # Connections that one upstream accepts from all hosts together.
    max_conns: int = 1
    # Duration of the warm-up of an upstream after its start, and the requests
    # per second that it can handle during it; 0 means no limit.
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    # `replace_keys` replaces the keys with their digests.
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: int | None = None
    # 0 sets no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    """The entry of an upstream; all fields except `born` are required."""

    service: str
    address: str
    zone: str
    # The version of the upstream's software; not used.
    version: str
    slots: int
    state: _ServerState
    # The remaining duration of the warm-up.
    warmup_left_ms: float
    sequence: _NonNegativeInt
    # Unix time of the start in milliseconds; 0 if the deployment omits it.
    born: _NonNegativeInt = 0


def decode_value(text: str) -> bytes:
    """Return the bytes of a stored value, which is base64 text."""
    return base64.b64decode(text, validate=True)


def encode_value(value: bytes) -> str:
    """Return the base64 text of bytes, as the store expects it."""
    return base64.b64encode(value).decode('ascii')


def decode_table(
    raw: bytes,
) -> result.Result[gateway.RoutingTable, str]:
    """Return the routing table in a configuration, or why it is invalid."""
    try:
        config = msgspec.json.decode(raw, type=_Config)
        routes = [_make_route(each) for each in config.routes]
        services = _make_services(config.services)
        teams = _make_teams(config.tenants)
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
            teams,
        )
    )


def replace_keys(raw: bytes) -> bytes:
    """Return a configuration with digests in place of the tenants' keys.

    A configuration without tenants, or one that can't be decoded, is returned
    unchanged.
    """
    try:
        config = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
        if 'tenants' not in config:
            return raw
        tenants = msgspec.json.decode(
            config['tenants'], type=list[_Tenant] | None
        )
    except BAD_JSON:
        return raw
    for each in tenants or ():
        each.key_digests += map(_digest_key, each.api_keys)
        each.api_keys = []
    config['tenants'] = msgspec.Raw(msgspec.json.encode(tenants))
    return msgspec.json.encode(config)


def _digest_key(key: str) -> gateway.KeyDigest:
    return gateway.digest_key(key.encode())


def _make_teams(
    tenants: list[_Tenant] | None,
) -> gateway.TeamRegistry | None:
    """Return the teams; raise ValueError if one is invalid."""
    if tenants is None:
        return None
    return gateway.TeamRegistry(
        (_make_team(each), _list_key_digests(each)) for each in tenants
    )


def _list_key_digests(tenant: _Tenant) -> list[gateway.KeyDigest]:
    stored = map(gateway.KeyDigest, tenant.key_digests)
    return [*stored, *map(_digest_key, tenant.api_keys)]


def _make_team(tenant: _Tenant) -> gateway.Team:
    # The name is the value of a header.
    if not (tenant.name and tenant.name.isprintable()):
        raise ValueError(
            f'the name of a tenant must be printable, not {tenant.name!r}'
        )
    for name, value in (
        ('rate_per_s', tenant.rate_per_s),
        ('burst', tenant.burst),
    ):
        if not 0 <= value < math.inf:
            raise ValueError(
                f'{name} of tenant {tenant.name} must be finite and not below '
                f'0, not {value:g}'
            )
    return gateway.Team(
        team=core.TeamId(tenant.name),
        priority=tenant.priority,
        quota_per_s=tenant.rate_per_s,
        burst=tenant.burst,
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
    """Return a warm-up value; raise ValueError if it is out of range."""
    if not 0 <= value < math.inf:
        raise ValueError(
            f'a warm-up value must be finite and not below 0, not {value:g}'
        )
    return value


def decode_upstream(
    upstream: str, raw: bytes
) -> result.Result[gateway.Endpoint, str]:
    """Return a registered upstream, or why its entry is invalid."""
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
        is_public=route.public,
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
    raise ValueError(f'route {route.name} has no service')
