"""Builders for the values that operators, upstreams and the platform write."""

from typing import Any

import msgspec

_MAX_DEPTH = 5000
_NESTED = b'[' * _MAX_DEPTH + b']' * _MAX_DEPTH
_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def make_config(
    version: int,
    routes: list[dict[str, Any]],
    max_conns: int = 26,
    timeout_s: float = 1.0,
    **limits: int,
) -> bytes:
    """Return a configuration with the services that its routes use.

    `timeout_s` applies to routes without `timeout_ms`.
    """
    defaults = {
        'host': 'members.example',
        'kind': 'safe',
        'timeout_ms': round(timeout_s * 1000),
        'latency_goal_ms': 200,
        'priority': 1,
        'max_attempts': 2,
    }
    routes = [{**defaults, **route} for route in routes]
    for route in routes:
        route.setdefault('name', 'r' + route['prefix'])
    services = sorted(
        {name for route in routes for name in _list_services(route)}
    )
    return msgspec.json.encode(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'health_path': '/healthz',
                    'max_conns': max_conns,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {**_LIMITS, **limits},
        }
    )


def make_server(
    service: str,
    address: str,
    zone: str = 'north-1',
    state: str = 'ready',
    sequence: int = 1,
    **fields: Any,
) -> bytes:
    """Return an upstream's entry in the registry.

    `fields` are added to the default fields or replace them. Fields that are
    None are left out.
    """
    entry = {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': 2,
        'state': state,
        'warmup_left_ms': 0,
        'sequence': sequence,
        **fields,
    }
    return msgspec.json.encode(
        {name: value for name, value in entry.items() if value is not None}
    )


def make_odd_entry(number: int, ip: str) -> tuple[str, bytes]:
    """Return the key and the value of an entry that no program should write.

    `number` selects one of them, and `ip` is an address of the deployment.
    """
    name = f'odd-{number}'
    host = b'{"host":"%b","zone":"north-1","address":"%b","capacity":%b%b}'
    entry = name.encode(), ip.encode()
    values = [
        (f'servers/{name}', make_server('once', f'{ip}:99999')),
        (f'servers/{name}', make_server('once', f'{ip}:-1')),
        (f'servers/{name}', make_server('once', 'upstream.example:80')),
        (f'servers/{name}', make_server('once', f'{ip}:9', slots=10**18)),
        (f'servers/{name}', _NESTED),
        (f'servers/{name}', b'\xff\xfe'),
        (f'rudderrock/hosts/{name}', host % (*entry, b'1', b'')),
        (f'rudderrock/hosts/{name}', host % (*entry, b'1e999', b'')),
        (f'rudderrock/hosts/{name}', host % (entry[0], b'a:1', b'-1', b'')),
        (
            f'rudderrock/hosts/{name}',
            host % (entry[0], entry[1] + b':9', b'1', b',"odd":' + _NESTED),
        ),
        (f'rudderrock/hosts/{name}', b''),
        (f'rudderrock/quarantine/{name}', _NESTED),
        (f'rudderrock/quarantine/{name}', b'{"record":1,"saved_at":1e999}'),
        (f'op/evacuate/{name}', _NESTED),
        (f'op/{name}', b'\x00'),
    ]
    return values[number % len(values)]


def make_route(prefix: str, service: str, *, once: bool = False) -> dict:
    """Return a route to one service.

    With `once`, its requests run at most once.
    """
    kind = 'unsafe' if once else 'safe'
    return {'prefix': prefix, 'service': service, 'kind': kind}


def make_gather(
    prefix: str, shards: list[str], top_k: int, min_coverage: float
) -> dict:
    """Return a route that queries all shards and merges their records.

    A reply has the `top_k` greatest records. `min_coverage` is the fraction
    of the shards that must answer.
    """
    return {
        'prefix': prefix,
        'gather': shards,
        'top_k': top_k,
        'min_coverage': min_coverage,
    }


def make_settings_file(
    ip: str,
    port: int,
    store: str,
    name: str = 'front-1',
    *,
    stop_s: float = 6.0,
    slack: float = 54.0,
    **fields: str,
) -> str:
    """Return the text of a settings file.

    `store` is the address of the platform's store. `stop_s` is the maximum
    duration of a planned stop in seconds, and `slack` the number of extra
    requests that are allowed in each window of 10 s in addition to the ratio.
    `fields` replace or add settings.
    """
    values = {
        'node_name': name,
        'role': 'entry',
        'ip': ip,
        'zone': 'north-1',
        'region': 'north',
        'zones.north-1': 'north',
        'zones.south-1': 'south',
        'listen.front': f'{ip}:{port}',
        'listen.ready': f'{ip}:{port + 1}',
        'internal_ports': f'{port + 3},{port + 9}',
        'bounds.grace_s': f'{stop_s:g}',
        'bounds.retry_budget_ratio': '0.2',
        'bounds.retry_window_s': '10',
        'bounds.retry_slack': f'{slack:g}',
        'platform.address': store,
        'platform.min_ttl_ms': '1000',
        **fields,
    }
    return ''.join(f'{key}={value}\n' for key, value in values.items())


def _list_services(route: dict[str, Any]) -> list[str]:
    if 'gather' in route:
        return route['gather']
    if 'split' in route:
        return [each['service'] for each in route['split']]
    return [route['service']]
