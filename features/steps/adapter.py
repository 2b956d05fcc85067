"""Steps for the adapter and a stand-in for the platform's store."""

import asyncio
import pathlib
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import platform
from rudderrock import standins
from rudderrock import state
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_STORE = ('10.9.9.9', 8102)
_ROUTES = [
    {
        'prefix': '/all/',
        'gather': ['s1', 's2', 's3'],
        'top_k': 5,
        'min_coverage': 0.75,
    },
    {
        'prefix': '/split/',
        'split': [
            {'service': 'left', 'weight': 3},
            {'service': 'right', 'weight': 1},
        ],
    },
    {
        'prefix': '/once/',
        'service': 'notes',
        'kind': 'unsafe',
        'timeout_ms': 6000,
    },
]


def write_settings_file(context, text):
    """Write the settings file of the scenario."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.settings_path = pathlib.Path(folder) / 'boot.conf'
    context.settings_path.write_text(text, encoding='utf-8')


@given(r'a settings file with the field "([^"]+)" as "([^"]*)"')
def make_file_with_field(context, field, value):
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE, **{field: value}
    )
    write_settings_file(context, text)


@given(
    r'a settings file with cpu_share (\S+), cores (\S+) and link_mbps '
    r'(\S+)'
)
def make_file_with_capacity(context, share, cores, link):
    fields = {
        'limits.cpu_share': share,
        'limits.cores': cores,
        'limits.link_mbps': link,
    }
    present_fields = {
        name: value for name, value in fields.items() if value != 'none'
    }
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE, **present_fields
    )
    write_settings_file(context, text)


@then(
    r'the host has ([\d.]+) cores, a link of (\d+) bytes a second and the '
    r'capacity ([\d.]+)'
)
def check_capacity(context, cores, link, capacity):
    settings = context.settings_file.ok_value.settings
    assert settings.cores == float(cores), settings
    assert settings.link_bytes_s == float(link), settings
    assert settings.capacity == float(capacity), settings


@given(r'a settings file without the field "([^"]+)"')
def make_file_without_field(context, field):
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE
    )
    lines = text.splitlines(keepends=True)
    kept = [line for line in lines if not line.startswith(f'{field}=')]
    write_settings_file(context, ''.join(kept))


@when(r'the settings file is read')
def read_existing_file(context):
    context.settings_file = platform.read_settings_file(context.settings_path)


@when(r'a missing settings file is read')
def read_missing_file(context):
    context.settings_file = platform.read_settings_file(
        pathlib.Path('no/such/boot.conf')
    )


@then(r'the problem names "([^"]+)"')
def check_problem(context, text):
    assert text in context.settings_file.err_value, context.settings_file


@then(r'the gateway\'s settings have host "([^"]+)" in "([^"]+)" of "([^"]+)"')
def check_topology(context, host, zone, region):
    settings = context.settings_file.ok_value.settings
    assert settings.host == host
    assert settings.place.zone == zone
    assert settings.place.regions[zone] == region


@then(
    r'the gateway listens at "([^"]+)" on (\d+), (\d+) and for peers on (\d+)'
)
def check_addresses(context, ip, front, ready, peers):
    settings = context.settings_file.ok_value.settings
    assert settings.callers == (ip, int(front))
    assert settings.readiness == (ip, int(ready))
    assert settings.peers == (ip, int(peers))


@then(r'the settings name no seeds')
def check_no_seeds(context):
    assert context.settings_file.ok_value.settings.seeds == ()


@then(r'the settings name the seeds "([^"]+)" and "([^"]+)" on (\d+)')
def check_seeds(context, first, second, port):
    expected = ((first, int(port)), (second, int(port)))
    assert context.settings_file.ok_value.settings.seeds == expected


@then(
    r'extra requests have ratio ([\d.]+), window (\d+) seconds and slack (\d+)'
)
def check_extra_request_limits(context, ratio, window, slack):
    settings = context.settings_file.ok_value.settings
    assert settings.extra_ratio == float(ratio)
    assert settings.extra_window_s == float(window)
    assert settings.extra_slack == float(slack)


@then(r'the store is at "([^"]+)" on (\d+)')
def check_store(context, ip, port):
    assert context.settings_file.ok_value.store == (ip, int(port))


@given(r'a platform store(?: with pages of (\d+))?')
def start_store(context, page):
    context.store = platform_standins.PlatformStore(int(page or 500))
    run(context, context.store.start(*_STORE))
    context.stack.push_async_callback(context.store.stop)

    async def make():
        return platform.StoreSource(_STORE)

    context.source = run(context, make())
    context.stack.callback(context.source.close)


def write_config(context, raw):
    """Write a configuration to the key that the operator uses."""
    context.store.put('op/config', raw)


@given(
    r'the operator writes version (\d+) with a gather, a split and an '
    r'unsafe route'
)
def write_three_routes(context, version):
    raw = platform_standins.make_config(int(version), _ROUTES)
    write_config(context, raw)


@given(r'the operator writes a route of the kind "([^"]+)"')
def write_route_of_kind(context, kind):
    route = {'prefix': '/k/', 'service': 's', 'kind': kind}
    write_config(context, platform_standins.make_config(1, [route]))


@given(r'the operator writes what is not JSON')
def write_invalid_json(context):
    write_config(context, b'\xff\x00')


@given(r'the operator writes a route without a service')
def write_route_without_service(context):
    route = {'prefix': '/k/', 'service': ''}
    write_config(context, platform_standins.make_config(1, [route]))


@given(r'the operator writes a configuration cut in two')
def write_truncated_config(context):
    raw = platform_standins.make_config(1, _ROUTES)
    write_config(context, raw[: len(raw) // 2])


@given(r'the store compacts its history')
def drop_history(context):
    context.store.drop_history()


@step(r'the store is (busy|many|reset|silent)')
def set_refusal(context, refusal_name):
    context.store.refusal = platform_standins.Refusal(refusal_name)


@step(r'the store takes ([\d.]+) seconds for a reply')
def set_reply_delay(context, seconds):
    context.store.reply_delay_s = float(seconds)


@given(r'(\d+) servers are registered, (\d+) of them draining')
def register_servers(context, count, draining):
    for number in range(int(count)):
        phase = 'draining' if number < int(draining) else 'ready'
        raw = platform_standins.make_server(
            's', f'10.1.0.{number}:9000', state=phase
        )
        context.store.put(f'servers/i-{number:02d}', raw)


@given(r"a server's entry is not JSON")
def write_invalid_server_entry(context):
    context.store.put('servers/i-bad', b'{')


@given(r"a host's entry is not JSON")
def write_invalid_host_entry(context):
    context.store.put('rudderrock/hosts/bad', b'{')


def call(context, coroutine):
    """Await a call to the source, and store its answer and duration."""
    started_at = context.loop.time()
    context.answer = run(context, coroutine)
    context.took = context.loop.time() - started_at


@when(r'the source reads the table')
def read_table(context):
    call(context, context.source.read_table())


def get_position(store):
    """Return the current position of a store: its era and revision."""
    return gateway.Position(store.era, store.revision)


@when(r'the source lists the upstreams')
def list_upstreams(context):
    call(context, context.source.list_upstreams())


@when(
    r'the source watches the table and version (\d+) is written after '
    r'([\d.]+) seconds'
)
def watch_and_write(context, version, seconds):
    async def watch():
        watching = asyncio.create_task(
            context.source.watch_table(get_position(context.store), 2.0)
        )
        await asyncio.sleep(float(seconds))
        write_three_routes(context, version)
        return await watching

    call(context, watch())


@when(r'the source watches the table for 2 seconds')
def watch_without_change(context):
    call(context, context.source.watch_table(get_position(context.store), 2.0))


@when(r'the source watches the table from revision 1')
def watch_first_revision(context):
    first_position = gateway.Position(context.store.era, 1)
    call(context, context.source.watch_table(first_position, 2.0))


@then(r'the table has version (\d+) and (\d+) routes')
def check_table(context, version, count):
    context.table_read = context.answer.ok_value.table
    assert context.table_read.version == int(version)
    assert len(context.table_read.routes) == int(count)


def get_target(context, prefix):
    """Return the target of the route with this prefix."""
    return context.table_read.routes[('members.example', prefix)].target


@then(r'the gather has (\d+) shards, top_k (\d+) and min_coverage ([\d.]+)')
def check_gather(context, count, top_k, min_coverage):
    target = get_target(context, '/all/')
    assert len(target.shards) == int(count)
    assert target.top_k == int(top_k)
    assert target.min_coverage == float(min_coverage)


@then(r'the split is (\d+) to (\d+)')
def check_split(context, left, right):
    weights = [each.weight for each in get_target(context, '/split/').shares]
    assert weights == [float(left), float(right)]


@then(r'the unsafe route runs once and times out after (\d+) seconds')
def check_unsafe_route(context, seconds):
    route = context.table_read.routes[('members.example', '/once/')]
    assert route.repeat is gateway.Repeat.ONCE
    assert route.timeout_s == float(seconds)


@then(r'its route runs once')
def check_route_of_kind(context):
    table = context.answer.ok_value.table
    route = table.routes[('members.example', '/k/')]
    assert route.repeat is gateway.Repeat.ONCE


@then(r'an upstream accepts (\d+) connections')
def check_max_connections(context, count):
    services = context.table_read.services.values()
    assert {each.max_connections for each in services} == {int(count)}


@then(r'the reading has a problem and no table')
def check_reading_with_problem(context):
    reading = context.answer.ok_value
    assert reading.problem and reading.table is None, reading


@then(r'there is no table and no problem')
def check_no_table(context):
    reading = context.answer.ok_value
    assert not reading.problem and reading.table is None, reading


@then(r'the watch returns version (\d+) after ([\d.]+) seconds')
def check_watch(context, version, seconds):
    assert context.answer.ok_value.table.version == int(version)
    assert abs(context.took - float(seconds)) < 0.01, context.took


@then(r'the watch returns nothing')
def check_watch_nothing(context):
    assert context.answer.ok_value is None


@then(r'the watch reports that the history was compacted')
def check_history_compacted(context):
    assert context.answer.err_value == gateway.HistoryCompacted()


@then(r'it finds (\d+) ready and (\d+) draining ones')
def check_phases(context, ready, draining):
    phases = [each.phase for each in context.answer.ok_value.endpoints]
    assert phases.count(gateway.Phase.READY) == int(ready), phases
    assert phases.count(gateway.Phase.DRAINING) == int(draining), phases


@then(r'one problem is reported')
def check_one_problem(context):
    assert len(context.answer.ok_value.problems) == 1


@then(r'it is unavailable within ([\d.]+) seconds')
def check_unavailable(context, seconds):
    assert isinstance(context.answer.err_value, gateway.Unavailable)
    assert context.took <= float(seconds), context.took


@step(r'a host registers for (\d+) seconds')
def register(context, seconds):
    entry = gateway.HostEntry(
        host=state.HostId('front-1'),
        zone=state.ZoneId('north-1'),
        address='10.0.0.1:8107',
    )
    call(context, context.source.register(entry, float(seconds)))
    context.lease = context.answer.ok_value
    context.entry = entry


@when(r'the registration is renewed each second for (\d+) seconds')
def renew(context, seconds):
    for _ in range(int(seconds)):
        run(context, asyncio.sleep(1.0))
        call(context, context.source.renew(context.lease))
        assert context.answer.is_ok(), context.answer


@when(r'the host withdraws')
def withdraw(context):
    call(context, context.source.withdraw(context.lease))


@then(r'the store lists (\d+) hosts?')
def check_hosts(context, count):
    call(context, context.source.list_hosts())
    found = list(context.answer.ok_value.hosts)
    assert len(found) == int(count), found
    if found:
        assert found == [context.entry], found


@then(r'a renewal reports that the lease has ended')
def check_lease_ended(context):
    call(context, context.source.renew(context.lease))
    assert context.answer.err_value == gateway.LeaseEnded()


@given(r'the operator writes version (\d+) with a route to a running server')
def write_route_to_server(context, version):
    context.server = standins.WireUpstream(
        'i-1', platform.NAMES, records=b'r' * 16
    )
    run(context, context.server.start('10.1.0.1', 9000))
    context.stack.push_async_callback(context.server.stop)
    raw = platform_standins.make_server('s', '10.1.0.1:9000')
    context.store.put('servers/i-1', raw)
    route = {'prefix': '/n/', 'service': 's'}
    write_config(context, platform_standins.make_config(int(version), [route]))


@given(r'a gateway over the store')
def start_over_store(context):
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE
    )
    write_settings_file(context, text)
    settings_file = platform.read_settings_file(context.settings_path).ok_value

    async def start():
        clock = state.Clock(context.loop)
        events = gateway.EventLog('front-1', clock)
        process = gateway_root.make_gateway(
            settings_file.settings, context.source, clock, 1, events
        )
        task = asyncio.create_task(process.run())
        context.stack.push_async_callback(core.end_task, task)
        await asyncio.sleep(1.0)

    run(context, start())


@when(r"a caller sends the platform's request")
def send_platform_request(context):
    raw = (
        b'GET /n/1 HTTP/1.1\r\nHost: members.example\r\n'
        b'X-Request-Id: 9c41\r\nX-Deadline-Ms: 900\r\n\r\n'
    )

    async def ask():
        streams = await asyncio.open_connection('10.0.0.1', 8104)
        caller = gateway_bench.Caller(*streams)
        await caller.send(raw)
        return await caller.read()

    context.reply = run(context, ask())


@then(r"it gets the server's reply with its stamp")
def check_platform_reply(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.headers['x-server-stamp'] == 'i-1.9c41'
    assert context.reply.body == b'r' * 16


@then(r'the server was sent its own id and the remaining time')
def check_headers_sent_to_server(context):
    headers = context.server.runs[-1].headers
    assert headers['x-expect-instance'] == 'i-1', headers
    assert 0 < int(headers['x-deadline-ms']) <= 900, headers


@when(r"the gateway's program is imported by itself")
def import_program(context):
    code = (
        'import sys; import rudderrock.programs.gateway; '
        'import rudderrock.programs._gateway_daemon; '
        'print(*sorted(sys.modules))'
    )
    completed = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    assert completed.returncode == 0, completed.stderr
    context.modules = set(completed.stdout.split())


@then(r'it has not imported (.+)')
def check_modules_not_imported(context, listed):
    unwanted = set(re.findall(r'"([^"]+)"', listed))
    assert 'rudderrock.gateway' in context.modules
    assert not unwanted & context.modules, unwanted & context.modules
