"""The platform's settings file: lines of `a.b=value`, lists by commas."""

import dataclasses
import math
import pathlib

import result

from rudderrock import core
from rudderrock import gateway
from rudderrock.platform import _headers as headers

# The platform names no address for metrics in the settings; the deploy
# file names this port.
METRICS_PORT = 9464
_BYTES_PER_MBIT = 125_000


@dataclasses.dataclass(frozen=True, slots=True)
class Boot:
    """What the file says: the store's address, and a gateway's settings."""

    store: tuple[str, int]
    settings: gateway.GatewaySettings


def read_boot(path: pathlib.Path) -> result.Result[Boot, str]:
    """Read the file; unknown fields are left alone."""
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
        return result.Ok(Boot(store, _make_settings(fields)))
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
        place=gateway.Place(
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
        peers=_get_peers(fields, callers[0]),
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
        warmup_slack=_get_bound(fields, 'bounds.warmup_slack', 0.0),
        stop_s=float(fields['bounds.grace_s']),
        cores=cores,
        link_bytes_s=link_mbps * _BYTES_PER_MBIT,
        capacity=cores * (link_mbps or 1.0),
    )


def _get_peers(fields: dict[str, str], ip: str) -> tuple[str, int]:
    """Return where this host serves its peers.

    Seeds are told by the address that the platform calls control; without
    one there are none, and any of the ports for our own use will do.
    """
    control = fields.get('listen.control')
    if control:
        return core.split_address(control)
    return ip, int(fields['internal_ports'].split(',')[0])


def _get_cores(fields: dict[str, str]) -> float:
    # `cores` says how fast the one core is, `cpu_share` how much of it the
    # process may use.
    share = _get_positive(fields, 'limits.cpu_share', 1.0)
    return share * _get_positive(fields, 'limits.cores', 1.0)


def _get_link_mbps(fields: dict[str, str]) -> float:
    """Return the speed of the link, 0 if it is not told."""
    return _get_positive(fields, 'limits.link_mbps', 0.0)


def _get_bound(fields: dict[str, str], name: str, default: float) -> float:
    """Return a number that is not below 0, or the default."""
    value = float(fields.get(name, default))
    if not 0 <= value < math.inf:
        raise ValueError(f'{name} must not be below 0, not {fields[name]}')
    return value


def _get_positive(fields: dict[str, str], name: str, default: float) -> float:
    """Return a number above 0, or the default where none is given."""
    if name not in fields:
        return default
    value = float(fields[name])
    if not 0 < value < math.inf:
        raise ValueError(f'{name} must be above 0, not {fields[name]}')
    return value
