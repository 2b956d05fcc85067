"""Steps on the adapter and a stand-in of the platform's store."""

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


def write_file(context, text):
    """Write a settings file for the scenario."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.file = pathlib.Path(folder) / 'boot.conf'
    context.file.write_text(text, encoding='utf-8')


@given(r'a settings file with the field "([^"]+)" as "([^"]+)"')
def make_file(context, field, value):
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE, **{field: value}
    )
    write_file(context, text)


@given(
    r'a settings file that says cpu_share (\S+), cores (\S+) and link_mbps '
    r'(\S+)'
)
def make_strong_file(context, share, cores, link):
    fields = {
        'limits.cpu_share': share,
        'limits.cores': cores,
        'limits.link_mbps': link,
    }
    told = {name: value for name, value in fields.items() if value != 'none'}
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE, **told
    )
    write_file(context, text)


@then(
    r'the host has ([\d.]+) cores, a link of (\d+) bytes a second and the '
    r'capacity ([\d.]+)'
)
def check_strength(context, cores, link, capacity):
    settings = context.settings_file.ok_value.settings
    assert settings.cores == float(cores), settings
    assert settings.link_bytes_s == float(link), settings
    assert settings.capacity == float(capacity), settings


@given(r'a settings file without the field "([^"]+)"')
def make_short_file(context, field):
    text = platform_standins.make_settings_file(
        '10.0.0.1', 8104, '%s:%d' % _STORE
    )
    lines = text.splitlines(keepends=True)
    kept = [line for line in lines if not line.startswith(f'{field}=')]
    write_file(context, ''.join(kept))


@when(r'it is read')
def read_file(context):
    context.settings_file = platform.read_settings_file(context.file)


@when(r'a settings file that is not there is read')
def read_no_file(context):
    context.settings_file = platform.read_settings_file(
        pathlib.Path('no/such/boot.conf')
    )


@then(r'the problem names "([^"]+)"')
def check_problem(context, text):
    assert text in context.settings_file.err_value, context.settings_file


@then(r'the gateway\'s settings have host "([^"]+)" in "([^"]+)" of "([^"]+)"')
def check_place(context, host, zone, region):
    settings = context.settings_file.ok_value.settings
    assert settings.host == host
    assert settings.place.zone == zone
    assert settings.place.regions[zone] == region


@then(r'they listen at "([^"]+)" on (\d+), (\d+) and for peers on (\d+)')
def check_addresses(context, ip, front, ready, peers):
    settings = context.settings_file.ok_value.settings
    assert settings.callers == (ip, int(front))
    assert settings.readiness == (ip, int(ready))
    assert settings.peers == (ip, int(peers))


@then(r'they name no seeds')
def check_no_seeds(context):
    assert context.settings_file.ok_value.settings.seeds == ()


@then(r'they name the seeds "([^"]+)" and "([^"]+)" on (\d+)')
def check_seeds(context, first, second, port):
    wanted = ((first, int(port)), (second, int(port)))
    assert context.settings_file.ok_value.settings.seeds == wanted


@then(r'extra requests are bounded by ([\d.]+), (\d+) seconds and (\d+)')
def check_bounds(context, ratio, window, slack):
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
    """Write a configuration as the operator does."""
    context.store.put('op/config', raw)


@given(
    r'the operator writes version (\d+) with a gather, a split and an '
    r'unsafe route'
)
def write_three(context, version):
    raw = platform_standins.make_config(int(version), _ROUTES)
    write_config(context, raw)


@given(r'the operator writes a route of the kind "([^"]+)"')
def write_kind(context, kind):
    route = {'prefix': '/k/', 'service': 's', 'kind': kind}
    write_config(context, platform_standins.make_config(1, [route]))


@given(r'the operator writes what is not JSON')
def write_garbage(context):
    write_config(context, b'\xff\x00')


@given(r'the operator writes a route without a service')
def write_empty_route(context):
    route = {'prefix': '/k/', 'service': ''}
    write_config(context, platform_standins.make_config(1, [route]))


@given(r'the operator writes a configuration cut in two')
def write_half(context):
    raw = platform_standins.make_config(1, _ROUTES)
    write_config(context, raw[: len(raw) // 2])


@given(r'the store drops its history')
def drop_history(context):
    context.store.drop_history()


@step(r'the store is (busy|many|reset|silent)')
def set_refusal(context, how):
    context.store.refusal = platform_standins.Refusal(how)


@step(r'the store takes ([\d.]+) seconds for an answer')
def set_slow(context, seconds):
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
def register_garbage(context):
    context.store.put('servers/i-bad', b'{')


@given(r"a host's entry is not JSON")
def register_bad_host(context):
    context.store.put('rudderrock/hosts/bad', b'{')


def call(context, coroutine):
    """Await a call to the source and keep its answer and duration."""
    began = context.loop.time()
    context.answer = run(context, coroutine)
    context.took = context.loop.time() - began


@when(r'the source reads the table')
def read_table(context):
    call(context, context.source.read_table())


def get_position(store):
    """Return where in its history a store is."""
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
        write_three(context, version)
        return await watching

    call(context, watch())


@when(r'the source watches the table for 2 seconds')
def watch_nothing(context):
    call(context, context.source.watch_table(get_position(context.store), 2.0))


@when(r'the source watches the table from revision 1')
def watch_old(context):
    first = gateway.Position(context.store.era, 1)
    call(context, context.source.watch_table(first, 2.0))


@then(r'the table has version (\d+) and (\d+) routes')
def check_table(context, version, count):
    context.table_read = context.answer.ok_value.table
    assert context.table_read.version == int(version)
    assert len(context.table_read.routes) == int(count)


def get_target(context, prefix):
    """Return the target of a route of the table that was read."""
    return context.table_read.routes[('members.example', prefix)].target


@then(r'the gather has (\d+) shards, the greatest (\d+) and at least ([\d.]+)')
def check_gather(context, count, top_k, least):
    target = get_target(context, '/all/')
    assert len(target.shards) == int(count)
    assert target.top_k == int(top_k)
    assert target.min_coverage == float(least)


@then(r'the split is (\d+) to (\d+)')
def check_split(context, left, right):
    weights = [each.weight for each in get_target(context, '/split/').shares]
    assert weights == [float(left), float(right)]


@then(r'the unsafe route runs once and times out after (\d+) seconds')
def check_once(context, seconds):
    route = context.table_read.routes[('members.example', '/once/')]
    assert route.repeat is gateway.Repeat.ONCE
    assert route.timeout_s == float(seconds)


@then(r'its route runs once')
def check_kind_once(context):
    table = context.answer.ok_value.table
    route = table.routes[('members.example', '/k/')]
    assert route.repeat is gateway.Repeat.ONCE


@then(r'an upstream accepts (\d+) connections')
def check_accepts(context, count):
    services = context.table_read.services.values()
    assert {each.max_connections for each in services} == {int(count)}


@then(r'the reading has a problem and no table')
def check_bad_reading(context):
    reading = context.answer.ok_value
    assert reading.problem and reading.table is None, reading


@then(r'there is no table and no problem')
def check_no_table(context):
    reading = context.answer.ok_value
    assert not reading.problem and reading.table is None, reading


@then(r'the watch brings version (\d+) after ([\d.]+) seconds')
def check_watch(context, version, seconds):
    assert context.answer.ok_value.table.version == int(version)
    assert abs(context.took - float(seconds)) < 0.01, context.took


@then(r'the watch brings nothing')
def check_watch_nothing(context):
    assert context.answer.ok_value is None


@then(r'the watch says that the history is gone')
def check_gone(context):
    assert context.answer.err_value == gateway.HistoryCompacted()


@then(r'it finds (\d+) ready and (\d+) draining ones')
def check_found(context, ready, draining):
    phases = [each.phase for each in context.answer.ok_value.endpoints]
    assert phases.count(gateway.Phase.READY) == int(ready), phases
    assert phases.count(gateway.Phase.DRAINING) == int(draining), phases


@then(r'one problem is told')
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


@when(r'it withdraws')
def withdraw(context):
    call(context, context.source.withdraw(context.lease))


@then(r'the store names (\d+) hosts?')
def check_hosts(context, count):
    call(context, context.source.list_hosts())
    found = context.answer.ok_value
    assert len(found) == int(count), found
    if found:
        assert found == [context.entry], found


@then(r'a renewal says that the lease has ended')
def check_lease_ended(context):
    call(context, context.source.renew(context.lease))
    assert context.answer.err_value == gateway.LeaseEnded()


@given(r'the operator writes version (\d+) for a server that answers')
def write_served(context, version):
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
    write_file(context, text)
    settings_file = platform.read_settings_file(context.file).ok_value

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
def send_platform(context):
    raw = (
        b'GET /n/1 HTTP/1.1\r\nHost: members.example\r\n'
        b'X-Request-Id: 9c41\r\nX-Deadline-Ms: 900\r\n\r\n'
    )

    async def ask():
        pair = await asyncio.open_connection('10.0.0.1', 8104)
        caller = gateway_bench.Caller(*pair)
        await caller.send(raw)
        return await caller.read()

    context.reply = run(context, ask())


@then(r"it gets the server's answer with its stamp")
def check_platform_answer(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.headers['x-server-stamp'] == 'i-1.9c41'
    assert context.reply.body == b'r' * 16


@then(r'the server was sent its own id and the time left')
def check_platform_sent(context):
    headers = context.server.runs[-1].headers
    assert headers['x-expect-instance'] == 'i-1', headers
    assert 0 < int(headers['x-deadline-ms']) <= 900, headers


@when(r"the gateway's program is loaded by itself")
def load_program(context):
    code = (
        'import sys; import rudderrock.programs.gateway; '
        'print(*sorted(sys.modules))'
    )
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
    context.modules = set(done.stdout.split())


@then(r'it has not loaded (.+)')
def check_modules(context, listed):
    unwanted = set(re.findall(r'"([^"]+)"', listed))
    assert 'rudderrock.gateway' in context.modules
    assert not unwanted & context.modules, unwanted & context.modules
