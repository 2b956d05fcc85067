"""Settings of the entry daemon, with their units, defaults and ranges."""

import dataclasses
import enum
import pathlib
import tomllib
from typing import Annotated

import pydantic
import result

from rudderrock import core
from rudderrock.state import _constraints as constraints

_MAX_FILE_BYTES = 2**20
# The platform identifies hosts by IP address only. Names aren't accepted,
# because they would require a resolver.
_ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'

_Address = Annotated[str, pydantic.Field(pattern=_ADDRESS_PATTERN)]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
_Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
_Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9_.-]{0,62}$')]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Identity and listening addresses of the process.

    `callers` is the address for callers, `control` the address for peers and
    operators. `seed` makes all random choices reproducible; if it is 0, a
    seed is drawn from the operating system and logged. `event_capacity` is
    the number of events that are kept for the time line.
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
    """Addresses and timeouts of the platform's services.

    `kv` is the address of the key-value service, `host_list` the address of
    the list of live and leaving hosts. `timeout_s` is the timeout of a call
    to either, and `watch_s` the maximum duration of a watch. The table is
    read again if no host has confirmed it for `recheck_s`, because a watch
    may miss a change.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    kv: _Address
    host_list: _Address | None = None
    timeout_s: _Seconds = 1.0
    watch_s: _Seconds = 30.0
    recheck_s: _Seconds = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SecretSettings:
    """Locations of the secrets, which aren't part of the settings.

    A location is the path of a file, or the name of an environment variable
    with the prefix `env:`.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    peer: str = 'env:RUDDERROCK_PEER_SECRET'
    operator: str = 'env:RUDDERROCK_OPERATOR_SECRET'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IntakeSettings:
    """Limits on connections and requests of callers."""

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    max_body_bytes: Annotated[int, pydantic.Field(ge=64, le=2**24)] = 65_536
    max_header_bytes: Annotated[int, pydantic.Field(ge=512, le=2**20)] = 16_384
    head_timeout_s: _Seconds = 5.0
    body_timeout_s: _Seconds = 5.0
    max_connections: _Count = 4096


class ReplicaChoice(enum.Enum):
    """Strategy for the choice among replicas with free capacity.

    `BEST_OF_TWO` draws two of them at random and takes the one with the
    lower cost, which depends on its latency and its requests in flight.
    """

    BEST_OF_TWO = 'best_of_two'
    RANDOM = 'random'


class QueueOrder(enum.Enum):
    """Order of the queue of a service, the replicas of one shard."""

    FAIR = 'fair'
    FIFO = 'fifo'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Choice of replicas, and connections to upstreams.

    `choice` is `best_of_two` or, as a baseline for comparisons, `random`.
    `adapt` adjusts the limit on requests in flight to an upstream by its
    latency. A host opens at most `max_lanes` connections to one upstream,
    and not more than its share of the connections that the upstream accepts,
    of which the fraction `connection_reserve` stays unused. After
    `eject_after` consecutive failures a replica is ejected for `eject_s`,
    which doubles up to `eject_max_s`. An upstream that has become available
    again receives reduced load for `warm_up_s`. Pauses between attempts to
    connect grow up to `reconnect_max_s`. A reply is still read until
    `exchange_grace_s` after the deadline, so that the connection can be
    reused. A rejection for an index version that the upstream doesn't have
    is remembered for `version_memory_s`.
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
    """Hedging: a second request for a shard that hasn't answered in time.

    The hedge threshold of an upstream is its minimum latency plus a margin.
    For each collection, the margin is the given `percentile` of the
    difference between a latency and the minimum latency of its upstream, and
    at least `min_delay_s`. `budget` is the allowed ratio of hedges to first
    attempts; unused budget accumulates up to `burst` for a service (the
    replicas of one shard) and up to `host_burst` for the host. A request
    isn't hedged while, at each of the other reachable replicas, more than the
    fraction `pause_above` of the recent first attempts exceeded the hedge
    threshold.
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
    """Retries of shard requests after a failed attempt.

    `budget` is the allowed ratio of retries to first attempts, counted
    separately for each team and each service (the replicas of one shard);
    unused budget accumulates up to `burst`. After `max_attempts` attempts,
    the first one and hedges included, a shard request isn't retried. When
    all replicas have been tried, the next retry waits `backoff_s` times 2 to
    the power of the number of attempts, reduced at random by up to half, or
    longer if an upstream has requested it.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    enabled: bool = True
    budget: _Fraction = 0.1
    burst: Annotated[float, pydantic.Field(ge=1, le=10_000)] = 20.0
    backoff_s: _Seconds = 0.01
    max_attempts: Annotated[int, pydantic.Field(ge=1, le=20)] = 6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Admission control, which refuses requests before they start.

    `max_queued` limits the queue of one team at one service, in shard
    requests; a service is the replicas of one shard. A team may exceed its
    rate by a burst of `rate_burst_s` times the rate. `order` is `fair`, by
    the weights of the teams, or, for comparisons, `fifo`. With
    `refuse_late`, a request is refused if its expected wait exceeds the
    fraction `queue_fraction` of the time to its deadline.
    `max_shard_requests` limits the shard requests in flight at the host.
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
    """Failure detection and leases of hosts.

    Every `period_s` a host probes one peer and exchanges membership updates.
    If the peer doesn't answer within `probe_timeout_s`, the host asks
    `indirect` other peers to probe it. A suspected peer that doesn't refute
    the suspicion within `suspect_s` is marked as failed. It is removed after
    another `forget_s` if it has no lease and isn't in the host list.
    Leases have a time to live of `lease_s`, or longer if all hosts together
    would otherwise renew more than `lease_calls_per_s` leases a second. A
    host is isolated if it has reached neither the key-value service nor a
    peer for `isolation_s`. A single host is never isolated.
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
    """Division of a team's limits among hosts.

    `floor` is the fraction that is divided evenly, so that each host can
    serve the first request of a team. The rest is divided by the observed
    demand, averaged over `demand_window_s`. The share of a host decreases
    immediately, but increases by at most the fraction `growth_per_s` of the
    limit per second, so that hosts receive the demand of other hosts before
    they use a larger share.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    floor: Annotated[float, pydantic.Field(gt=0, le=1)] = 0.2
    demand_window_s: _Seconds = 5.0
    growth_per_s: Annotated[float, pydantic.Field(gt=0, le=10)] = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimSettings:
    """Claims of idempotency keys.

    Before a command runs, the host claims its idempotency key by a write to
    the key-value service, so that no other host runs it too. A key contains
    the time of its creation. Keys older than `retention_s`, or more than
    `max_skew_s` in the future, are refused. The claims of all keys that were
    created in the same period of `epoch_s` are divided among `partitions`
    values of the key-value service. All hosts together make
    at most `writes_per_s` writes; at higher rates, claims are grouped. A
    group collects claims for `group_delay_s`. Outcomes are recorded together
    with the next claims, after at most `record_delay_s`. Expired claims are
    deleted every `clean_period_s`. Each write replaces the complete value,
    so `epoch_s` should be short: with the defaults, at 400 commands a second,
    a value has about 200 claims.
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
    """Draining of a host before a planned stop.

    The host first reports that it isn't ready, but accepts new requests for
    another `balancer_lag_s`. Requests in flight then have up to `bound_s` to
    complete.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    balancer_lag_s: _Seconds = 2.0
    bound_s: _Seconds = 30.0


def _make_section(cls: type):
    return dataclasses.field(default_factory=cls)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a host; each field is a section of the TOML file."""

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    host: HostSettings
    platform: PlatformSettings
    secrets: SecretSettings = _make_section(SecretSettings)
    intake: IntakeSettings = _make_section(IntakeSettings)
    routing: RoutingSettings = _make_section(RoutingSettings)
    hedging: HedgeSettings = _make_section(HedgeSettings)
    retries: RetrySettings = _make_section(RetrySettings)
    admission: AdmissionSettings = _make_section(AdmissionSettings)
    membership: MembershipSettings = _make_section(MembershipSettings)
    shares: ShareSettings = _make_section(ShareSettings)
    claims: ClaimSettings = _make_section(ClaimSettings)
    drain: DrainSettings = _make_section(DrainSettings)


def read_toml(path: pathlib.Path) -> result.Result[dict, str]:
    """Return the parsed TOML file, or an error message of one line."""
    try:
        raw = core.read_small_file(path, _MAX_FILE_BYTES)
        return result.Ok(tomllib.loads(raw.decode('utf-8-sig')))
    except OSError as exc:
        return result.Err(f'{path}: {exc.strerror}')
    except UnicodeDecodeError as exc:
        return result.Err(f'{path}: is not UTF-8, at byte {exc.start}')
    except RecursionError:
        return result.Err(f'{path}: a value is nested too deeply')
    # Besides TOMLDecodeError, numbers of too many digits raise ValueError.
    except ValueError as exc:
        return result.Err(f'{path}: {exc}')


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Return the validated settings, or a message with one problem a line."""
    match read_toml(path):
        case result.Err(message):
            return result.Err(message)
        case result.Ok(raw):
            checked = constraints.validate(Settings, raw)
            return checked.map_err(
                lambda problems: '\n'.join(
                    f'{path}: {problem}' for problem in problems
                )
            )
