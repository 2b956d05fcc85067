"""Steps for entries that operators and upstreams write to the store."""

import asyncio
import json

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import hypothesis
from hypothesis import strategies
import result

from features.steps import adapter
from features.steps import gateway as gateway_steps
from rudderrock import core
from rudderrock import gateway
from rudderrock import platform
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_SERVICE = 's'
_ADDRESS = '10.1.0.99:9000'
_NESTING_DEPTH = 100_000


def put_entry(context, raw):
    """Write bytes as the entry of a server."""
    context.store.put_server('i-odd', raw)


@given(r"a server's entry has no (\w+)")
def put_entry_without_field(context, field):
    fields = {'service': _SERVICE, 'address': _ADDRESS}
    entry = json.loads(platform_standins.make_server(**fields))
    del entry[field]
    put_entry(context, json.dumps(entry).encode())


@given(r"a server's entry has (\{.+\}) in place")
def put_entry_with_fields(context, fields):
    entry = json.loads(platform_standins.make_server(_SERVICE, _ADDRESS))
    text = json.dumps({**entry, **json.loads(fields)})
    put_entry(context, text.replace('Infinity', '1e400').encode())


@given(r"a server's entry has an unknown field nested too deep")
def put_nested_entry(context):
    raw = platform_standins.make_server(_SERVICE, _ADDRESS)
    nested = b'[' * _NESTING_DEPTH + b']' * _NESTING_DEPTH
    put_entry(context, raw[:-1] + b',"more":' + nested + b'}')


@given(r"a server's entry has bytes that are not text")
def put_entry_with_invalid_text(context):
    raw = platform_standins.make_server(_SERVICE, _ADDRESS)
    put_entry(context, raw.replace(b'"s"', b'"\xff\xfe"'))


@given(r"a server's entry has a value that is not base64")
def put_entry_with_invalid_base64(context):
    put_entry(context, b'')
    context.store.corrupt_keys.add('servers/i-odd')


@then(
    r'the upstream was born at (\d+), has sequence (\d+) and is cold for '
    r'([\d.]+) seconds'
)
def check_entry(context, born, sequence, seconds):
    (found,) = context.answer.ok_value.endpoints
    assert found.incarnation_order == (int(born), int(sequence)), found
    assert found.warmup_left_s == float(seconds), found


_FIELDS = [
    'service',
    'address',
    'zone',
    'version',
    'slots',
    'state',
    'warmup_left_ms',
    'sequence',
    'born',
]
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.sampled_from(['ready', 'draining', '10.0.0.1:1', 'z'])
    | strategies.text(max_size=8)
)
VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
    ),
    max_leaves=4,
)
_ENTRIES = strategies.dictionaries(strategies.sampled_from(_FIELDS), VALUES)


@then(r'(\d+) entries of any kind are decoded to an upstream or a problem')
def check_any_entry(context, count):
    valid = json.loads(platform_standins.make_server(_SERVICE, _ADDRESS))

    @hypothesis.settings(
        max_examples=int(count), derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(_ENTRIES, strategies.binary(max_size=24))
    def check(fields, raw):
        text = json.dumps({**valid, **fields}).encode()
        for each in (text, raw):
            check_decoded(platform.decode_upstream('i-1', each))

    check()


def check_decoded(found):
    """Check that an entry was decoded to an upstream or a problem."""
    match found:
        case result.Ok(gateway.Endpoint() as entry):
            assert isinstance(entry.born, int)
            assert isinstance(entry.sequence, int)
            assert entry.slots >= 1
            assert entry.warmup_left_s >= 0.0
        case result.Err(str()):
            pass
        case _:
            raise AssertionError(found)


@given(r'a gateway over the store with a recorded log')
def start_with_recorded_log(context):
    harness = gateway_steps.get(context)
    harness.keep_log()
    context.log = harness.log
    adapter.start_over_store(context)


@then(r'the log has (\d+) lines? of the kind "([^"]+)"')
def check_line_count(context, count, kind):
    lines = map(json.loads, context.log.lines)
    found = [each for each in lines if each['kind'] == kind]
    assert len(found) == int(count), found


@given(
    r'the operator writes a route within "([^"]+)" and "([^"]+)" whose '
    r'cold upstreams accept ([\d.]+) requests a second for (\d+) seconds'
)
def write_route_within_regions(context, first, second, rate, seconds):
    route = {
        'prefix': '/k/',
        'service': _SERVICE,
        'allowed_regions': [first, second],
    }
    warmup = {'warmup_s': float(seconds), 'warmup_per_s': float(rate)}
    write_table(context, route, warmup)


def write_table(context, route, service):
    """Write a configuration with one route and these fields of its service."""
    config = json.loads(platform_standins.make_config(1, [route]))
    config['services'] = [{**each, **service} for each in config['services']]
    text = json.dumps(config).replace('Infinity', '1e999')
    context.store.put_config(text.encode())


@given(r'the operator writes a service with (\w+) of (\S+)')
def write_service_with_warmup(context, figure, value):
    route = {'prefix': '/k/', 'service': _SERVICE}
    write_table(context, route, {figure: float(value)})


@then(r'the route is within "([^"]+)" and "([^"]+)"')
def check_within(context, first, second):
    (route,) = context.answer.ok_value.table.routes.values()
    regions = frozenset({first, second})
    assert route.residency == gateway.Within(regions), route


@then(
    r"its service's upstreams are cold for (\d+) seconds and accept "
    r'([\d.]+) requests a second'
)
def check_service(context, seconds, rate):
    (service,) = context.answer.ok_value.table.services.values()
    assert service.warmup_s == float(seconds), service
    assert service.warmup_per_s == float(rate), service


@given(r'the operator evacuates "([^"]+)"')
def evacuate(context, zone):
    context.store.evacuate(zone)


@then(r'the evacuated zones are "([^"]*)"')
def check_evacuated(context, zones):
    expected = frozenset(
        core.ZoneId(each) for each in zones.split(',') if each
    )
    reading = context.answer.ok_value
    assert frozenset(reading.evacuated) == expected, reading.evacuated


def watch_during(context, write):
    """Call `write` while the source watches the table."""

    async def watch_and_write():
        context.position = (
            await context.source.read_table()
        ).ok_value.position
        watching = asyncio.create_task(
            context.source.watch_table(context.position, 2.0)
        )
        await asyncio.sleep(0.1)
        write()
        return await watching

    adapter.call(context, watch_and_write())


@when(
    r'the operator (evacuates|gives) "([^"]+)"(?: back)? while the source '
    r'watches'
)
def watch_evacuation(context, operation, zone):
    store = context.store
    change = store.end_evacuation if operation == 'gives' else store.evacuate
    watch_during(context, lambda: change(zone))


@when(r'the operator writes "([^"]+)" while the source watches')
def watch_other_key(context, key):
    watch_during(context, lambda: context.store.put(key, b'{}'))


@then(r'the watch returns no table and a position after the write')
def check_other_key(context):
    reading = context.answer.ok_value
    assert reading.table is None and not reading.problem, reading
    assert reading.evacuated is None, reading
    assert reading.position > context.position, reading
