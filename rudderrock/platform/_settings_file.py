"""Reader for the platform's settings file.

The file has lines of the form `a.b=value`; commas separate the items of lists.
"""

import dataclasses
import math
import pathlib

import result

from rudderrock import core
from rudderrock import gateway
from rudderrock.platform import _headers as headers

# The settings file has no address for metrics. The platform's deployment file
# specifies this port.
METRICS_PORT = 9464
_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFile:
    """The content of the file: the store address and gateway settings."""

    store: tuple[str, int]
    settings: gateway.GatewaySettings


def read_settings_file(path: pathlib.Path) -> result.Result[SettingsFile, str]:
    """Return the content of the file; unknown fields are ignored."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return result.Err(f'{path}: {error.strerror}')
    fields = {}
    for line in text.splitlines():
        key, equals, value = line.partition('=')
        if equals:
            fields[key.strip()] = value.strip()
    try:
        store = core.split_address(fields['platform.address'])
        return result.Ok(SettingsFile(store, _make_settings(fields)))
    except KeyError as error:
        return result.Err(f'{path}: {error.args[0]} is required')
    except ValueError as error:
        return result.Err(f'{path}: {error}')


def _make_settings(fields: dict[str, str]) -> gateway.GatewaySettings:
    callers = core.split_address(fields['listen.front'])
    cores = _get_cores(fields)
    link_mbps = _get_link_mbps(fields)
    prefix = 'zones.'
    return gateway.GatewaySettings(
        host=fields['node_name'],
        # The platform's zone is an availability zone.
        place=gateway.Topology(
            core.ZoneId(fields['zone']),
            {
                core.ZoneId(key.removeprefix(prefix)): region
                for key, region in fields.items()
                if key.startswith(prefix)
            },
        ),
        callers=callers,
        readiness=core.split_address(fields['listen.ready']),
        metrics=(callers[0], METRICS_PORT),
        peers=_get_peer_address(fields, callers[0]),
        seeds=tuple(
            core.split_address(seed)
            for seed in fields.get('seeds', '').split(',')
            if seed
        ),
        names=headers.NAMES,
        extra_ratio=float(fields['bounds.retry_budget_ratio']),
        extra_window_s=float(fields['bounds.retry_window_s']),
        extra_slack=float(fields['bounds.retry_slack']),
        warmup_overage=_get_positive(fields, 'bounds.warmup_overage', 1.0),
        warmup_slack=_get_non_negative(fields, 'bounds.warmup_slack', 0.0),
        quota_window_s=_get_positive(fields, 'bounds.quota_window_s', 1.0),
        quota_overage=_get_non_negative(fields, 'bounds.quota_overage', 0.0),
        quota_slack=_get_non_negative(fields, 'bounds.quota_slack', 0.0),
        stop_s=float(fields['bounds.grace_s']),
        cores=cores,
        link_bytes_s=link_mbps * _BYTES_PER_MBIT,
        capacity=cores * (link_mbps or 1.0),
        memory_limit_bytes=round(
            _get_positive(fields, 'limits.memory_mb', 0.0) * _BYTES_PER_MB
        ),
    )


def _get_peer_address(fields: dict[str, str], ip: str) -> tuple[str, int]:
    """Return the address at which this host serves its peers.

    The seeds of other hosts contain the address in `listen.control`. If it is
    not set, there are no seeds, and the first of the `internal_ports` is used.
    """
    control = fields.get('listen.control')
    if control:
        return core.split_address(control)
    return ip, int(fields['internal_ports'].split(',')[0])


def _get_cores(fields: dict[str, str]) -> float:
    # `cores` is the relative speed of the only core, and `cpu_share` the
    # fraction of it that the process may use.
    share = _get_positive(fields, 'limits.cpu_share', 1.0)
    return share * _get_positive(fields, 'limits.cores', 1.0)


def _get_link_mbps(fields: dict[str, str]) -> float:
    """Return the speed of the link in Mbit/s, or 0 if it is not given."""
    return _get_positive(fields, 'limits.link_mbps', 0.0)


def _get_non_negative(
    fields: dict[str, str], name: str, default: float
) -> float:
    """Return a finite number of at least 0, or the default if not given."""
    value = float(fields.get(name, default))
    if not 0 <= value < math.inf:
        raise ValueError(
            f'{name} must be finite and at least 0, not {fields[name]}'
        )
    return value


def _get_positive(fields: dict[str, str], name: str, default: float) -> float:
    """Return a finite number above 0, or the default if not given."""
    if name not in fields:
        return default
    value = float(fields[name])
    if not 0 < value < math.inf:
        raise ValueError(f'{name} must be above 0, not {fields[name]}')
    return value
