"""Steps for invalid values that are decoded without a gateway process."""

import json
import logging

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import hypothesis
from hypothesis import strategies
import msgspec
import result

from features import odd_values
from features.steps import adapter
from features.steps import entries
from rudderrock import core
from rudderrock import gateway
from rudderrock import platform
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_PREFIXES = {
    'servers/': (platform.decode_upstream, odd_values.make_server),
    'rudderrock/hosts/': (
        platform.decode_host,
        lambda: odd_values.make_host('i'),
    ),
    'rudderrock/quarantine/': (
        platform.decode_record,
        lambda: odd_values.make_record('i'),
    ),
    odd_values.CONFIG_KEY: (
        lambda name, raw: platform.decode_table(raw),
        odd_values.make_config,
    ),
}
_MAX_REASON = 500


@then(
    r'each invalid value under "([^"]+)" is rejected and the valid one is not'
)
def check_rejected(context, prefix):
    decode, make = _PREFIXES[prefix]
    valid = decode('i', json.dumps(make()).encode())
    assert valid.is_ok(), valid
    if prefix == odd_values.CONFIG_KEY:
        found = ((prefix, raw) for raw in odd_values.list_odd_configs())
    else:
        found = odd_values.list_odd_entries(prefix)
    for key, raw in found:
        outcome = decode(key.removeprefix(prefix), raw)
        assert outcome.is_err(), (key, raw[:300])
        problem = outcome.err_value
        assert 0 < len(problem) < _MAX_REASON, (key, problem)
        assert problem.isprintable(), (key, problem)


@then(r'(\d+) values of any kind under "([^"]+)" are decoded or rejected')
def check_any_value(context, count, prefix):
    decode, make = _PREFIXES[prefix]
    valid = make()
    paths = _list_paths(valid)

    @hypothesis.settings(
        max_examples=int(count), derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        strategies.sampled_from(paths),
        entries.VALUES,
        strategies.text(max_size=8),
    )
    def check(path, value, name):
        raw = odd_values.replace_field(valid, path, json.dumps(value))
        match decode(name, raw):
            case result.Ok(found):
                # Hosts relay what they accept.
                if not isinstance(found, gateway.RoutingTable):
                    msgspec.json.encode(found)
            case result.Err(problem):
                assert len(problem) < _MAX_REASON, problem

    check()


def _list_paths(value, path=''):
    """Return the paths of all fields of nested objects and lists."""
    match value:
        case dict():
            inner = value.items()
        case list():
            inner = enumerate(value)
        case _:
            return [path]
    paths = [path] if path else []
    for name, each in inner:
        if '/' not in str(name):
            paths += _list_paths(each, f'{path}.{name}'.strip('.'))
    return paths


@then(r'(\d+) tables with odd weights are rejected or have a share above 0')
def check_weights(context, count):
    weights = strategies.lists(
        strategies.floats() | strategies.integers(), max_size=4
    )

    @hypothesis.settings(
        max_examples=int(count), derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(weights)
    def check(found):
        split = [{'service': 'a', 'weight': each} for each in found]
        raw = odd_values.replace_field(
            odd_values.make_config(), 'routes.1.split', json.dumps(split)
        )
        match platform.decode_table(raw):
            case result.Ok(table):
                route = table.find_route('members.example', '/split/1')
                shares = route.target.shares
                assert any(each.weight > 0 for each in shares), shares
                assert sum(each.weight for each in shares) < float('inf')

    check()


@given(
    r'a configuration whose route with a (split|gather) has a service of (.+)'
)
def make_config(context, kind, text):
    number = {'split': 1, 'gather': 2}[kind]
    context.raw = odd_values.replace_field(
        odd_values.make_config(), f'routes.{number}.service', text
    )


@then(r'the configuration is decoded')
def check_config(context):
    outcome = platform.decode_table(context.raw)
    assert outcome.is_ok(), outcome


@given(
    r'changes of a peer(?: with an invalid and a valid entry of each kind)?'
)
def make_changes(context):
    host = odd_values.make_host('h-good')
    record = odd_values.make_record('d-good')['record']
    decoded = platform.decode_upstream(
        'i-good', json.dumps(odd_values.make_server()).encode()
    )
    endpoint = msgspec.to_builtins(decoded.ok_value)
    context.fields = {
        'process': 'p',
        'generation': 1,
        'whole': False,
        'upstreams': [
            {**endpoint, 'upstream': 'i-bad', 'address': ['10.1.0.9', 99999]},
            endpoint,
        ],
        'left': ['i-gone'],
        'revision': 7,
        'origin': 'p',
        'number': 1,
        'hops': 0,
        'age_ms': 5,
        'table_age_ms': 5,
        'hold_ms': 0,
        'hosts_generation': 1,
        'hosts': [{**host, 'host': 'h-bad', 'address': '10.1.0.9'}, host],
        'suspects': [{**record, 'age_ms': 10**30}, record],
    }
    context.body = json.dumps(context.fields).encode()


@given(r'their "([^"]+)" is (\S+)')
def replace_number(context, field, text):
    base, _, exponent = text.partition('**')
    value = int(base) ** int(exponent) if exponent else int(base)
    context.body = json.dumps({**context.fields, field: value}).encode()


@given(r'changes of a peer that are nested too deep')
def make_nested_changes(context):
    context.body = b'{"upstreams":' + odd_values.NESTED + b'}'


@when(r'a host reads the changes')
def read_changes(context):
    reply = gateway.Reply(200, [], context.body)
    context.received = gateway.read_reply(reply, 0.0).ok_value


@then(r'it has the valid entries')
def check_valid(context):
    changes = context.received.changes
    assert [each.upstream for each in changes.upstreams] == ['i-good']
    assert [each.host for each in changes.hosts] == ['h-good']
    assert [each.digest for each in changes.suspects] == ['d-good']


@then(r'the upstream with the invalid entry counts as removed')
def check_removed(context):
    assert context.received.changes.left == ['i-gone', 'i-bad']


@then(r'(\d+) problems name what was left out')
def check_problems(context, count):
    problems = context.received.problems
    assert len(problems) == int(count), problems
    for name in ('i-bad', 'h-bad', 'd-good'):
        assert any(name in each for each in problems), problems


@then(r"the changes can't be decoded")
def check_unreadable(context):
    reply = gateway.Reply(200, [], context.body)
    assert gateway.read_reply(reply, 0.0).is_err()


@given(
    r'a host "([^"]+)" in "([^"]+)" whose name is registered in "([^"]+)" as '
    r'well'
)
def make_fleet(context, name, zone, other):
    own, impostor = (
        gateway.HostEntry(
            host=core.HostId(name), zone=core.ZoneId(each), address=address
        )
        for each, address in ((zone, '10.0.0.1:1'), (other, '10.0.0.2:1'))
    )
    context.fleet = gateway.Fleet(own, 3, core.Clock(context.loop))
    context.fleet.apply_listing([impostor])


@then(r'the host ranks itself first in "([^"]+)" and no host in "([^"]+)"')
def check_ranks(context, zone, other):
    hosts = context.fleet
    assert hosts.rank_zone(core.ZoneId(zone)) == [hosts.own]
    assert hosts.rank_zone(core.ZoneId(other)) == []
    assert hosts.list_earlier_readers() == []
    assert hosts.list_hosts_of_other_zones() == []


@then(r'the host counts (\d+) host and is not listed')
def check_counted(context, count):
    assert context.fleet.count() == int(count), context.fleet.count()
    assert not context.fleet.is_listed


@given(r'a log of rejected entries')
def make_log(context):
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    logger = logging.getLogger(gateway.LOGGER_NAME)
    logger.addHandler(handler)
    context.stack.callback(logger.removeHandler, handler)
    logger.setLevel(logging.INFO)
    context.rejected = gateway.RejectedEntries(
        gateway.EventLog('h1', core.Clock(context.loop))
    )


@when(r'(\d+) invalid entries are read (\d+) times')
def record_problems(context, count, times):
    context.problems = [f'servers/{n}: empty' for n in range(int(count))]
    for _ in range(int(times)):
        context.rejected.record('upstreams', context.problems)


@when(r'one more invalid entry is read with them')
def record_one_more(context):
    context.rejected.record('upstreams', [*context.problems, 'servers/x: y'])


@then(r'(\d+) lines are logged')
def check_line_count(context, count):
    assert len(context.lines) == int(count), context.lines


@given(r'a directory over a store with a valid entry of an upstream')
def start_store(context):
    adapter.start_store(context, None)
    restore_entry(context)


@when(r'the entry is valid again')
def restore_entry(context):
    raw = platform_standins.make_server('s', '10.1.0.9:80')
    context.store.put_server('i-1', raw)


@when(r'the entry is replaced by an invalid one')
def replace_entry(context):
    raw = platform_standins.make_server('s', '10.1.0.9:0')
    context.store.put_server('i-1', raw)


@then(r'the reading (lacks|has) the upstream and (?:has )?(no|\d+) problem')
def check_reading(context, verb, count):
    adapter.call(context, context.source.list_upstreams())
    reading = context.answer.ok_value
    names = [each.upstream for each in reading.endpoints]
    assert names == (['i-1'] if verb == 'has' else []), names
    assert len(reading.problems) == (0 if count == 'no' else int(count))
