"""Values that no writer should put into the platform's store."""

from collections.abc import Iterator
import json

from rudderrock.standins import platform as platform_standins

CONFIG_KEY = 'op/config'
# The service of the upstreams, so that their addresses are used.
SERVICE = 'late'
NESTED = b'[' * 5000 + b']' * 5000
_LONG_DIGITS = '9' * 5000
_BEYOND_64_BITS = '9' * 30
_BAD_ADDRESSES = (
    '10.1.0.99',
    '10.1.0.99:',
    '10.1.0.99:-1',
    '10.1.0.99:0',
    '10.1.0.99:65536',
    '10.1.0.99:99999',
    '10.1.0.99:+80',
    '10.1.0.99:8_0',
    '10.1.0.99:٨٠',
    '10.1.0.99:' + _LONG_DIGITS,
    '10.1.0.256:80',
    '10.1.99:80',
    '010.1.0.99:80',
    ':80',
    'host.example:80',
    'höst:80',
    '[::1]:80',
    '10.1.0.99:80\n',
    '',
)
_BAD_NAMES = ('', 'a\nb', 'a\x00', 'a\u2028b', 'x' * 1000)
# Bytes that are no JSON object.
_NO_OBJECTS = {
    'empty': b'',
    'null': b'null',
    'list': b'[]',
    'number': b'1e400',
    'digits': _LONG_DIGITS.encode(),
    'not-text': b'\xff\xfe{}',
    'half': b'{"service":',
    'nested': NESTED,
    'large': b'"' + b'a' * 1_000_000 + b'"',
}
_BAD_NUMBERS = ('-1', '1e400', 'NaN', '-Infinity', '"1"', 'null', 'true')
_BAD_COUNTS = (*_BAD_NUMBERS, '1.5', _BEYOND_64_BITS, _LONG_DIGITS)


def list_odd_entries(prefix: str) -> Iterator[tuple[str, bytes]]:
    """Return keys under a prefix with the invalid values to write there."""
    match prefix:
        case 'servers/':
            yield from _list_odd_servers()
        case 'rudderrock/hosts/':
            yield from _list_odd_hosts()
        case 'rudderrock/quarantine/':
            yield from _list_odd_records()
        case 'op/evacuate/':
            for name in ('', 'a\nb', 'a\u2028b'):
                yield f'{prefix}{name}', b''
        case _:
            raise AssertionError(prefix)


def make_server() -> dict:
    """Return the fields of a valid entry of an upstream."""
    return json.loads(platform_standins.make_server(SERVICE, '10.1.0.99:9000'))


def make_host(name: str) -> dict:
    """Return the fields of a valid entry of a host."""
    return {
        'host': name,
        'zone': 'north-1',
        'address': '10.1.0.99:9000',
        'capacity': 1.0,
    }


def make_record(digest: str) -> dict:
    """Return the fields of a valid saved quarantine record."""
    record = {
        'digest': digest,
        'trials': ['a'],
        'answered': False,
        'age_ms': 1,
        'ended': {'i-1/0': 1},
    }
    return {'record': record, 'saved_at': 1.0}


def replace_field(entry: dict, path: str, text: str) -> bytes:
    """Return an entry as JSON with the text of one field replaced."""
    entry = json.loads(json.dumps(entry))
    *parents, name = (
        int(each) if each.isdigit() else each for each in path.split('.')
    )
    inner = entry
    for each in parents:
        inner = inner[each]
    inner[name] = '@'
    return json.dumps(entry).replace('"@"', text).encode()


def _list_no_objects(prefix: str) -> Iterator[tuple[str, bytes]]:
    for name, raw in _NO_OBJECTS.items():
        yield f'{prefix}odd-{name}', raw


def _list_odd_servers() -> Iterator[tuple[str, bytes]]:
    prefix = 'servers/'
    yield from _list_no_objects(prefix)
    fields = {
        'address': [json.dumps(each) for each in (*_BAD_ADDRESSES, 7)],
        'service': [json.dumps(each) for each in _BAD_NAMES],
        'zone': [json.dumps(each) for each in _BAD_NAMES],
        'slots': _BAD_COUNTS,
        'sequence': _BAD_COUNTS,
        'born': _BAD_COUNTS,
        'warmup_left_ms': (*_BAD_NUMBERS, '1e300'),
        'state': ['"' + 's' * 100_000 + '"', '"\\ud800"'],
        'version': ['"\\ud800x"', '7'],
    }
    yield from _list_replaced(prefix, lambda name: make_server(), fields)
    raw = json.dumps(make_server()).encode()
    yield f'{prefix}', raw
    yield f'{prefix}höst', raw
    yield f'{prefix}a b\r\nx: y', raw


def _list_odd_hosts() -> Iterator[tuple[str, bytes]]:
    prefix = 'rudderrock/hosts/'
    yield from _list_no_objects(prefix)
    fields = {
        'address': [json.dumps(each) for each in (*_BAD_ADDRESSES, 7)],
        'host': [json.dumps(each) for each in (*_BAD_NAMES, 'host-1', 7)],
        'zone': [json.dumps(each) for each in _BAD_NAMES],
        'capacity': (*_BAD_NUMBERS, '1e300'),
    }
    yield from _list_replaced(prefix, make_host, fields)
    raw = json.dumps(make_host('')).encode()
    yield f'{prefix}', raw
    nested = json.dumps(make_host('odd-field')).encode()
    yield (
        f'{prefix}odd-field',
        nested[:-1] + b',"odd":' + NESTED + b'}',
    )


def _list_odd_records() -> Iterator[tuple[str, bytes]]:
    prefix = 'rudderrock/quarantine/'
    yield from _list_no_objects(prefix)
    long = json.dumps('d' * 100_000)
    fields = {
        'saved_at': (*_BAD_NUMBERS, '1e300'),
        'record.digest': ['""', '"another"', '7', long],
        'record.trials': ['null', '[7]', f'[{long}]'],
        'record.age_ms': _BAD_COUNTS,
        'record.ended': [
            '{"i-1": "a"}',
            '{"i-1": %s}' % _BEYOND_64_BITS,
            '{"i-1": -5}',
            '{%s: 1}' % long,
        ],
    }
    yield from _list_replaced(prefix, make_record, fields)


def _list_replaced(prefix, make_entry, fields) -> Iterator[tuple[str, bytes]]:
    for path, texts in fields.items():
        for number, text in enumerate(texts):
            name = f'odd-{path}-{number}'
            yield (
                f'{prefix}{name}',
                replace_field(make_entry(name), path, text),
            )


def list_odd_configs() -> Iterator[bytes]:
    """Return invalid configurations of version 1000 each."""
    yield from _NO_OBJECTS.values()
    for path, texts in _BAD_CONFIG_FIELDS.items():
        for text in texts:
            yield replace_field(make_config(), path, text)
    raw = json.dumps(make_config()).encode()
    yield raw[:-1] + b',"odd":' + NESTED + b'}'


def make_config() -> dict:
    """Return a valid configuration with a route of each kind, as a dict."""
    return json.loads(
        platform_standins.make_config(
            1000,
            [
                platform_standins.make_route('/one/', 'a'),
                {
                    'prefix': '/split/',
                    'split': [
                        {'service': 'a', 'weight': 1.0},
                        {'service': 'b', 'weight': 1.0},
                    ],
                },
                platform_standins.make_gather('/all/', ['a', 'b'], 5, 0.5),
            ],
        )
    )


_BAD_CONFIG_FIELDS = {
    'version': _BAD_COUNTS,
    'routes': ('null', '{}', '[null]'),
    'services': ('null', '{}', '[null]'),
    'limits': ('null', '{}'),
    'limits.max_header_bytes': (*_BAD_COUNTS, '0'),
    'limits.max_body_bytes': _BAD_COUNTS,
    'limits.header_timeout_ms': (*_BAD_NUMBERS, '0', '1e300'),
    'limits.idle_timeout_ms': (*_BAD_NUMBERS, '0', '1e300'),
    'routes.0.timeout_ms': (*_BAD_NUMBERS, '0', '1e300'),
    'routes.0.latency_goal_ms': ('-1', '1e400', 'NaN', '"1"', '1e300'),
    'routes.0.priority': ('1.5', _BEYOND_64_BITS, _LONG_DIGITS, 'null'),
    'routes.0.max_attempts': _BAD_COUNTS,
    'routes.0.service': (
        '""',
        'null',
        '"a\\nb"',
        '7',
        json.dumps('a' * 1000),
    ),
    'routes.1.split': (
        '[]',
        '[{"service": "a", "weight": 0}]',
        '[{"service": "a", "weight": 0}, {"service": "b", "weight": 0.0}]',
        '[{"service": "a", "weight": -1}, {"service": "b", "weight": 1}]',
        '[{"service": "a", "weight": NaN}]',
        '[{"service": "a", "weight": 1e400}]',
        '[{"service": "a", "weight": 1e308}, {"service": "b", "weight": 1}]',
        '[{"service": "", "weight": 1}]',
    ),
    'routes.2.gather': ('[]', '["a", "a"]', '["a", ""]', '"a"', '[7]'),
    'routes.2.top_k': _BAD_COUNTS,
    'routes.2.min_coverage': (*_BAD_NUMBERS, '1.1'),
    'routes.2.allowed_regions': ('["\\n"]', '"north"', '[""]'),
    'services.0.name': ('""', '7', '"a\\nb"'),
    'services.0.max_conns': _BAD_COUNTS,
    'services.0.warmup_s': (*_BAD_NUMBERS, '1e300'),
    'services.0.warmup_per_s': (*_BAD_NUMBERS, '1e300'),
    'tenants': ('{}', '[null]', '[{"name": "a", "priority": 1e400}]'),
}
