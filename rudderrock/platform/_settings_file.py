"""Reader for the platform's settings file.

The file has lines of the form `a.b=value`; commas separate the items of lists.
"""

import dataclasses
import pathlib

import result

from rudderrock import core
from rudderrock import gateway
from rudderrock.platform import _fields as fields_module
from rudderrock.platform import _headers as headers

# The settings file has no address for metrics. The platform's deployment file
# specifies this port.
METRICS_PORT = 9464
_MAX_FILE_BYTES = 2**20
_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000
# Descriptors of `limits.max_fds` that are reserved for files.
_FILE_DESCRIPTORS = 200
_ZONES_PREFIX = 'zones.'
_parse_address = fields_module.parse_address
_parse_positive = fields_module.parse_positive
_parse_non_negative = fields_module.parse_non_negative


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFile:
    """The content of the file: the store address and gateway settings.

    `ignored` names the first fields that could not be used, of
    `ignored_count` in all. Their defaults hold.
    """

    store: tuple[str, int]
    settings: gateway.GatewaySettings
    ignored: tuple[str, ...] = ()
    ignored_count: int = 0


def read_settings_file(path: pathlib.Path) -> result.Result[SettingsFile, str]:
    """Return the content of the file; unknown fields are ignored.

    The error is a line that names a field which the gateway needs.
    """
    try:
        fields = fields_module.Fields(
            core.read_small_file(path, _MAX_FILE_BYTES)
        )
        store = fields.read('platform.address', _parse_address)
        settings = _make_settings(fields)
    except OSError as error:
        return result.Err(f'{path}: {error.strerror}')
    except fields_module.FieldError as error:
        return result.Err(f'{path}: {error}')
    return result.Ok(
        SettingsFile(
            store, settings, tuple(fields.problems), fields.ignored_count
        )
    )


def _make_settings(fields: fields_module.Fields) -> gateway.GatewaySettings:
    callers = fields.read('listen.front', _parse_address)
    cores = _get_cores(fields)
    link_mbps = _get_link_mbps(fields)
    return gateway.GatewaySettings(
        host=fields.read('node_name', str),
        # The platform's zone is an availability zone.
        place=gateway.Topology(
            core.ZoneId(fields.read('zone', str)), _get_regions(fields)
        ),
        callers=callers,
        readiness=fields.read('listen.ready', _parse_address),
        metrics=(callers[0], METRICS_PORT),
        peers=_get_peer_address(fields, callers[0]),
        seeds=_get_seeds(fields),
        names=headers.NAMES,
        extra_ratio=fields.read(
            'bounds.retry_budget_ratio', _parse_non_negative
        ),
        extra_window_s=fields.read('bounds.retry_window_s', _parse_positive),
        extra_slack=fields.read('bounds.retry_slack', _parse_non_negative),
        warmup_overage=fields.find(
            'bounds.warmup_overage', _parse_positive, 1.0
        ),
        warmup_slack=fields.find(
            'bounds.warmup_slack', _parse_non_negative, 0.0
        ),
        quota_window_s=fields.find(
            'bounds.quota_window_s', _parse_positive, 1.0
        ),
        quota_overage=fields.find(
            'bounds.quota_overage', _parse_non_negative, 0.0
        ),
        quota_slack=fields.find(
            'bounds.quota_slack', _parse_non_negative, 0.0
        ),
        stop_s=fields.read('bounds.grace_s', _parse_positive),
        cores=cores,
        link_bytes_s=link_mbps * _BYTES_PER_MBIT,
        capacity=cores * (link_mbps or 1.0),
        memory_limit_bytes=round(
            fields.find('limits.memory_mb', _parse_positive, 0.0)
            * _BYTES_PER_MB
        ),
        socket_limit=_get_socket_limit(fields),
    )


def _get_regions(
    fields: fields_module.Fields,
) -> dict[core.ZoneId, gateway.RegionId]:
    """Return the region of each zone that has one."""
    regions = {}
    for name in fields.list_names(_ZONES_PREFIX):
        region = fields.find(name, str, '')
        if region:
            zone = core.ZoneId(name.removeprefix(_ZONES_PREFIX))
            regions[zone] = gateway.RegionId(region)
    return regions


def _get_seeds(fields: fields_module.Fields) -> tuple[tuple[str, int], ...]:
    """Return the seeds that are addresses."""
    seeds = []
    for item in fields.find('seeds', str, '').split(','):
        seed = item.strip()
        try:
            if seed:
                seeds.append(_parse_address(seed))
        except ValueError as error:
            fields.ignore(f'seeds {error}')
    return tuple(seeds)


def _get_peer_address(
    fields: fields_module.Fields, ip: str
) -> tuple[str, int]:
    """Return the address at which this host serves its peers.

    The seeds of other hosts contain the address in `listen.control`. If it is
    not set, there are no seeds, and the first of the `internal_ports` is used.
    """
    control = fields.find('listen.control', _parse_address, None)
    if control is not None:
        return control
    return ip, fields.read('internal_ports', _parse_first_port)


def _parse_first_port(text: str) -> int:
    return fields_module.parse_port(text.split(',')[0])


def _get_cores(fields: fields_module.Fields) -> float:
    # `cores` is the relative speed of the only core, and `cpu_share` the
    # fraction of it that the process may use.
    share = fields.find('limits.cpu_share', _parse_positive, 1.0)
    return share * fields.find('limits.cores', _parse_positive, 1.0)


def _get_link_mbps(fields: fields_module.Fields) -> float:
    """Return the speed of the link in Mbit/s, or 0 if it is not given."""
    return fields.find('limits.link_mbps', _parse_positive, 0.0)


def _get_socket_limit(fields: fields_module.Fields) -> int:
    """Return the number of sockets of the process, or 0 if not given."""
    descriptors = fields.find('limits.max_fds', _parse_descriptors, 0)
    return max(0, descriptors - _FILE_DESCRIPTORS)


def _parse_descriptors(text: str) -> int:
    count = int(_parse_positive(text))
    if count <= _FILE_DESCRIPTORS:
        raise ValueError(
            f'must be above {_FILE_DESCRIPTORS}, not '
            f'{fields_module.quote(text)}'
        )
    return count
