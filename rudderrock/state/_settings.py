"""Settings of the entry daemon, each with its unit, default and range."""

import dataclasses
import enum
import pathlib
import tomllib
from typing import Annotated

import pydantic
import result

from rudderrock.state import _constraints as constraints

# The platform names hosts by IP number only; a name would need a resolver.
_ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'

_Address = Annotated[str, pydantic.Field(pattern=_ADDRESS_PATTERN)]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
_Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
_Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9_.-]{0,62}$')]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Who this process is and where it listens.

    `callers` is the address that queries come to, `control` the one for
    peers and operators. `seed` fixes all random choices; 0 draws a seed
    from the operating system and logs it.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    id: _Name
    zone: _Name
    callers: _Address
    control: _Address
    seed: Annotated[int, pydantic.Field(ge=0, le=2**32 - 1)] = 0
    event_capacity: _Count = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's services are.

    `kv` is the key-value service, `host_list` the list of live and leaving
    hosts; `timeout_s` bounds one call to either, `watch_s` one waiting
    watch. The table is read anew when no host has confirmed it for
    `recheck_s`, since a watch may miss a change.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    kv: _Address
    host_list: _Address | None = None
    timeout_s: _Seconds = 1.0
    watch_s: _Seconds = 30.0
    recheck_s: _Seconds = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SecretSettings:
    """Where the secrets are read from; the secrets themselves are not here.

    Each is a file's path or, with `env:` before it, the name of an
    environment variable.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    peer: str = 'env:RUDDERROCK_PEER_SECRET'
    operator: str = 'env:RUDDERROCK_OPERATOR_SECRET'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntakeSettings:
    """Bounds on what a caller may send before it is known who it is."""

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    max_body_bytes: Annotated[int, pydantic.Field(ge=64, le=2**24)] = 65_536
    max_header_bytes: Annotated[int, pydantic.Field(ge=512, le=2**20)] = 16_384
    head_timeout_s: _Seconds = 5.0
    body_timeout_s: _Seconds = 5.0
    max_connections: _Count = 4096


class ReplicaChoice(enum.Enum):
    """How one of the free replicas is chosen."""

    BEST_OF_TWO = 'best_of_two'
    RANDOM = 'random'


class QueueOrder(enum.Enum):
    """In what order requests wait for a service."""

    FAIR = 'fair'
    FIFO = 'fifo'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """How a replica is chosen and how an upstream is treated.

    `choice` is `best_of_two` or, as a baseline to compare with, `random`.
    `adapt` lets the requests in flight to an upstream follow its latency.
    `max_lanes` bounds the connections of this host to one upstream, below
    its share of what the upstream allows. `eject_after` failures in a row
    take a replica out for `eject_s`, doubling up to `eject_max_s`.
    `warm_up_s` is how long a returning upstream is given less work.
    `exchange_grace_s` is how long after a deadline a reply is still read,
    so that the connection can be kept.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    choice: ReplicaChoice = ReplicaChoice.BEST_OF_TWO
    adapt: bool = True
    max_lanes: Annotated[int, pydantic.Field(ge=1, le=256)] = 6
    connection_reserve: _Fraction = 0.1
    eject_after: _Count = 3
    eject_s: _Seconds = 1.0
    eject_max_s: _Seconds = 30.0
    warm_up_s: _Seconds = 5.0
    connect_timeout_s: _Seconds = 1.0
    reconnect_max_s: _Seconds = 2.0
    exchange_grace_s: _Seconds = 0.05
    version_memory_s: _Seconds = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeSettings:
    """When a second request is sent for a shard that is late.

    A request is late after what `percentile` of a collection's requests
    take beyond their upstream's least latency, at least `min_delay_s`.
    `budget` is the hedges allowed for each first request,
    `burst` how many a service may save up and `host_burst` all of them
    together. Hedging of a service pauses while more than `pause_above` of
    its recent requests are late.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    enabled: bool = True
    percentile: Annotated[float, pydantic.Field(ge=50, le=99.99)] = 97.8
    min_delay_s: _Seconds = 0.002
    budget: _Fraction = 0.025
    burst: Annotated[float, pydantic.Field(ge=1, le=10_000)] = 12.0
    host_burst: Annotated[float, pydantic.Field(ge=1, le=10_000)] = 20.0
    pause_above: _Fraction = 0.15


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """When a shard is asked again after a failed attempt.

    `budget` is the retries allowed for each first request, kept apart for
    each team and each service; `burst` how many may be saved up.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    enabled: bool = True
    budget: _Fraction = 0.1
    burst: Annotated[float, pydantic.Field(ge=1, le=10_000)] = 20.0
    backoff_s: _Seconds = 0.01
    max_attempts: Annotated[int, pydantic.Field(ge=1, le=20)] = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """What is refused before it starts.

    `max_queued` bounds one team's queue at one service, in shard requests.
    `rate_burst_s` is how many seconds of its rate a team may use at once.
    `order` is `fair` between teams or, as a baseline, `fifo`; with
    `refuse_late` off nothing is refused for the time it would wait.
    `queue_fraction` is the part of the time to its deadline that a request
    may be expected to wait.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    max_queued: _Count = 256
    rate_burst_s: _Seconds = 0.5
    order: QueueOrder = QueueOrder.FAIR
    refuse_late: bool = True
    queue_fraction: _Fraction = 0.5
    max_shard_requests: _Count = 50_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """How hosts watch one another.

    Every `period_s` a host probes one peer and passes on news; no answer
    within `probe_timeout_s` asks `indirect` others to probe it, and a peer
    still unheard of after `suspect_s` is counted as failed.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    period_s: _Seconds = 0.5
    probe_timeout_s: _Seconds = 0.2
    indirect: Annotated[int, pydantic.Field(ge=0, le=10)] = 2
    suspect_s: _Seconds = 3.0
    forget_s: _Seconds = 30.0
    lease_s: _Seconds = 10.0
    lease_calls_per_s: _Seconds = 20.0
    isolation_s: _Seconds = 8.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareSettings:
    """How a team's limit is split between hosts.

    `floor` is the part split evenly, so that a host that sees the first
    request of a team can serve it; the rest follows observed demand,
    averaged over `demand_window_s`. A host's part falls at once, but grows
    by no more than `growth_per_s` of the limit a second, so that hosts
    hear of one another's demand before they use it.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    floor: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.2
    demand_window_s: _Seconds = 5.0
    growth_per_s: Annotated[float, pydantic.Field(gt=0, le=10)] = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """How non-idempotent requests are claimed before they run.

    Keys older than `retention_s` are refused. Claims are kept in
    `partitions` values for each `epoch_s` of key time. All hosts together
    make `writes_per_s` writes; what comes faster is written in groups.
    Outcomes are recorded with the next claims, after `record_delay_s` at
    the latest. Old claims are deleted every `clean_period_s`. A value is
    rewritten whole, so epochs are short: at 400 commands a second one has
    some 200 claims.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    partitions: Annotated[int, pydantic.Field(ge=1, le=4096)] = 2
    writes_per_s: Annotated[float, pydantic.Field(gt=0, le=100_000)] = 150.0
    record_delay_s: _Seconds = 0.1
    epoch_s: _Seconds = 1.0
    clean_period_s: _Seconds = 30.0
    retention_s: _Seconds = 1800.0
    max_skew_s: _Seconds = 30.0
    group_delay_s: _Seconds = 0.005


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainSettings:
    """How a planned stop proceeds.

    Readiness falls first and new work is still taken for `balancer_lag_s`;
    then what is in flight gets up to `bound_s` to end.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    balancer_lag_s: _Seconds = 2.0
    bound_s: _Seconds = 30.0


def _part(cls: type):
    return dataclasses.field(default_factory=cls)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of the entry daemon, as its TOML file lays them out."""

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    host: HostSettings
    platform: PlatformSettings
    secrets: SecretSettings = _part(SecretSettings)
    intake: IntakeSettings = _part(IntakeSettings)
    routing: RoutingSettings = _part(RoutingSettings)
    hedging: HedgeSettings = _part(HedgeSettings)
    retries: RetrySettings = _part(RetrySettings)
    admission: AdmissionSettings = _part(AdmissionSettings)
    membership: MembershipSettings = _part(MembershipSettings)
    shares: ShareSettings = _part(ShareSettings)
    claims: ClaimSettings = _part(ClaimSettings)
    drain: DrainSettings = _part(DrainSettings)


def read_toml(path: pathlib.Path) -> result.Result[dict, str]:
    """Parse a TOML file, or say in one line why it can't be."""
    try:
        return result.Ok(tomllib.loads(path.read_text()))
    except OSError as exc:
        return result.Err(f'{path}: {exc.strerror}')
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return result.Err(f'{path}: {exc}')


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file; the error lists every problem."""
    match read_toml(path):
        case result.Err(message):
            return result.Err(message)
        case result.Ok(raw):
            checked = constraints.make_checked(Settings, raw)
            return checked.map_err(
                lambda found: '\n'.join(f'{path}: {each}' for each in found)
            )
