"""Decoding of the values in the platform's store."""

import base64
import binascii
import enum
import math
from typing import Annotated
from typing import TypeVar

import msgspec
import result

from rudderrock import core
from rudderrock import gateway

# Exceptions of `decode_value`.
BAD_VALUE = (binascii.Error, ValueError)

_Name = Annotated[str, gateway.NAME]
# Durations that requests and connections may take.
_Timeout = Annotated[float, msgspec.Meta(gt=0, le=gateway.MAX_DURATION_MS)]
_Seconds = Annotated[
    float, msgspec.Meta(ge=0, le=gateway.MAX_DURATION_MS / 1000)
]
_MAX_WEIGHT = 1e9
_Weight = Annotated[float, msgspec.Meta(ge=0, le=_MAX_WEIGHT)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Entry = TypeVar('_Entry')


class _WeightedService(msgspec.Struct):
    service: _Name
    weight: _Weight


class _ServerState(enum.Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _Route(msgspec.Struct):
    name: _Name
    host: str
    prefix: str
    # A `safe` request may be repeated; any other kind is run at most once.
    kind: str
    timeout_ms: _Timeout
    latency_goal_ms: gateway.Milliseconds | None = None
    priority: gateway.Integer = 0
    max_attempts: gateway.Count = 1
    public: bool = False
    # Empty or omitted if the route has a split or a gather.
    service: str | None = None
    split: list[_WeightedService] | None = None
    # The services of all shards of an index.
    gather: list[_Name] | None = None
    top_k: gateway.Count = 0
    min_coverage: _Fraction = 1.0
    # All regions are allowed if this is empty.
    allowed_regions: list[_Name] | None = None


class _Service(msgspec.Struct):
    name: _Name
    # Connections that one upstream accepts from all hosts together.
    max_conns: gateway.Count = 1
    # Duration of the warm-up of an upstream after its start, and the requests
    # per second that it can handle during it; 0 means no limit.
    warmup_s: _Seconds = 0.0
    warmup_per_s: _Rate = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: gateway.PositiveCount
    max_body_bytes: gateway.Count
    header_timeout_ms: _Timeout
    idle_timeout_ms: _Timeout


class _Tenant(msgspec.Struct):
    name: str
    # `replace_keys` replaces the keys with their digests.
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: gateway.Integer | None = None
    # 0 sets no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct):
    version: gateway.Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Server(msgspec.Struct):
    """The entry of an upstream; all fields except `born` are required."""

    service: gateway.ShortText
    address: gateway.ShortText
    zone: gateway.ShortText
    # The version of the upstream's software; not used.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=gateway.MAX_SLOTS)]
    state: _ServerState
    # The remaining duration of the warm-up.
    warmup_left_ms: gateway.Milliseconds
    sequence: gateway.Count
    # Unix time of the start in milliseconds; 0 if the deployment omits it.
    born: gateway.Count = 0


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
    return gateway.decode_json(raw, _Config).and_then(_make_table)


def _make_table(config: _Config) -> result.Result[gateway.RoutingTable, str]:
    try:
        routes = [_make_route(each) for each in config.routes]
        teams = _make_teams(config.tenants)
    except ValueError as error:
        return result.Err(gateway.shorten(str(error)))
    services = _make_services(config.services)
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
    decoded = gateway.decode_json(raw, dict[str, msgspec.Raw])
    config = decoded.unwrap_or({})
    if 'tenants' not in config:
        return raw
    decoded = gateway.decode_json(
        bytes(config['tenants']), list[_Tenant] | None
    )
    if decoded.is_err():
        return raw
    tenants = decoded.ok_value
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
            warmup_s=each.warmup_s,
            warmup_per_s=each.warmup_per_s,
        )
    return services


def decode_upstream(
    upstream: str, raw: bytes
) -> result.Result[gateway.Endpoint, str]:
    """Return a registered upstream, or why its entry is invalid."""
    return gateway.decode_json(raw, _Server).and_then(
        lambda server: _make_endpoint(upstream, server)
    )


def _make_endpoint(
    upstream: str, server: _Server
) -> result.Result[gateway.Endpoint, str]:
    try:
        name = gateway.check_token(upstream)
        service = gateway.check_name(server.service)
        address = core.split_address(server.address)
        zone = gateway.check_name(server.zone)
    except ValueError as error:
        return result.Err(gateway.shorten(str(error)))
    is_ready = server.state is _ServerState.READY
    return result.Ok(
        gateway.Endpoint(
            upstream=core.UpstreamId(name),
            service=gateway.ServiceName(service),
            address=address,
            zone=core.ZoneId(zone),
            slots=max(1, server.slots),
            phase=gateway.Phase.READY if is_ready else gateway.Phase.DRAINING,
            born=server.born,
            sequence=server.sequence,
            warmup_left_s=server.warmup_left_ms / 1000,
        )
    )


def decode_host(
    host: str, raw: bytes
) -> result.Result[gateway.HostEntry, str]:
    """Return the entry of a host, or why it is invalid."""
    return gateway.decode_json(raw, gateway.HostEntry).and_then(
        lambda entry: _check_id(entry, entry.host, host)
    )


def decode_record(
    digest: str, raw: bytes
) -> result.Result[gateway.SavedRecord, str]:
    """Return the saved quarantine record of a digest, or why it is invalid."""
    return gateway.decode_json(raw, gateway.SavedRecord).and_then(
        lambda entry: _check_id(entry, entry.record.digest, digest)
    )


def decode_zone(zone: str, raw: bytes) -> result.Result[core.ZoneId, str]:
    """Return the zone of an evacuation, or why its name is invalid.

    The value of the key isn't used.
    """
    return gateway.convert_value(zone, _Name).map(core.ZoneId)


def _check_id(
    entry: _Entry, own_id: str, key: str
) -> result.Result[_Entry, str]:
    """Return an entry, or an error if its id isn't the one in its key."""
    if own_id == key:
        return result.Ok(entry)
    return result.Err(gateway.shorten(f'is an entry of {own_id!r}'))


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
        if len(set(route.gather)) < len(route.gather):
            raise ValueError(f'route {route.name} names a shard twice')
        return gateway.Scatter(
            tuple(gateway.ServiceName(each) for each in route.gather),
            route.top_k,
            route.min_coverage,
        )
    if route.split:
        if not any(each.weight for each in route.split):
            raise ValueError(f'route {route.name} has no weight above 0')
        return gateway.Split(
            tuple(
                gateway.Share(gateway.ServiceName(each.service), each.weight)
                for each in route.split
            )
        )
    if route.service:
        return gateway.Single(
            gateway.ServiceName(gateway.check_name(route.service))
        )
    raise ValueError(f'route {route.name} has no service')
