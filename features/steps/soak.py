"""Steps that run soaks and that alter the records of a soak."""

import asyncio
import dataclasses
import pathlib
import random
import signal
import socket
import sys
import tempfile

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import gateway
from rudderrock import platform
from rudderrock import soak
from rudderrock import standins
from rudderrock.soak import _checks as checks
from rudderrock.soak import _environment as environment

use_step_matcher('re')


@when(
    r'the soak plays seed (\d+) for (\d+) seconds with (\d+) hosts'
    r'(?: and (\d+) returns)?(?: and (\d+) odd faults of each kind)?'
)
def play_seed(context, seed, length, hosts, returns, odd):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.report = run(
        context,
        soak.run_seed(
            int(seed),
            float(length),
            int(hosts),
            pathlib.Path(folder),
            returns=int(returns or 0),
            odd=int(odd or 0),
        ),
    )


@then('it found no violated invariant')
def check_soak(context):
    assert not context.report.violations, context.report.violations
    assert context.report.statuses[200] > 50, context.report


def make_run(request_id, method='GET', target='/moved/1', body=b''):
    """Return a record of a request that an upstream ran."""
    return standins.WireRun(1.0, request_id, method, target, {}, body)


def make_sent(request_id, target, at, **fields):
    """Return a record of a request that upstream i-1 answered."""
    sent = checks.Sent(
        request_id=request_id,
        method='GET',
        target=target,
        body=b'',
        host=0,
        incarnation=1,
        at=at,
        status=200,
        headers={'x-server-stamp': f'i-1.{request_id}'},
        reply=checks.make_records('i-1', request_id),
        ended=at + 0.1,
        calm=True,
    )
    return dataclasses.replace(sent, **fields)


@given('the records of a soak without violations')
def make_valid_records(context):
    shards = {f's-{number}': f'shard-{number}' for number in range(4)}
    services = {
        'i-1': 'moved-0',
        'i-2': 'moved-0',
        'i-3': 'moved-0',
        'j-1': 'moved-1',
        'o-1': 'once',
        'o-2': 'once',
        't-0': 'new-0',
        **shards,
    }
    stamps = ', '.join(f'{name}.q3' for name in shards)
    records = (checks.make_records(name, 'q3') for name in shards)
    gathered = make_sent(
        'q3',
        '/all/3',
        3.0,
        headers={'x-part-stamps': stamps, 'x-missing-parts': '0'},
        reply=gateway.merge_records(records, checks.TOP_K),
    )
    sent_once = make_sent(
        'q2',
        '/once/2',
        2.0,
        method='POST',
        body=b'note',
        headers={'x-server-stamp': 'o-1.q2'},
        reply=checks.make_records('o-1', 'q2'),
    )
    runs = [('i-1', make_run('q1', target='/moved/1'))]
    runs.append(('o-1', make_run('q2', 'POST', '/once/2', b'note')))
    runs += [(name, make_run('q3', target='/all/3')) for name in shards]
    context.records = checks.Records(
        sent=[make_sent('q1', '/moved/1', 1.0), sent_once, gathered],
        runs=runs,
        arrivals={'moved-0': [(1.0, 'q1')], 'once': [(2.0, 'q2')]},
        shard_sets=[
            frozenset(shards.values()),
            frozenset({'new-0', 'new-1', 'new-2', 'new-3'}),
        ],
        services=services,
        moves=['moved-0', 'moved-1'],
        ratio=0.2,
        slack=30.0,
        window_s=10.0,
    )


@when(r'a request that may run once ran twice')
def run_twice(context):
    second_run = make_run('q2', 'POST', '/once/2', b'note')
    context.records.runs.append(('o-2', second_run))


@when(r'a refused request ran')
def run_refused(context):
    context.records.sent[1].status = 503


@when(r'a request ran twice at one upstream and once at another')
def run_at_two_upstreams(context):
    for name in ('i-1', 'i-2'):
        context.records.runs.append((name, make_run('q1')))


@when(r'a request ran at three upstreams')
def run_at_three_upstreams(context):
    for name in ('i-2', 'i-3'):
        context.records.runs.append((name, make_run('q1')))


@when(r'(\d+) copies of a lethal request come late')
def send_lethal_late(context, count):
    late = 1.0 + checks.LETHAL_KNOWN_S
    for number in range(int(count)):
        name = f'c{number}'
        copy = make_sent(name, '/moved/lethal', late, status=502)
        context.records.sent.append(copy)
        context.records.arrivals['moved-0'].append((late + 0.1, name))
    context.records = dataclasses.replace(
        context.records, crashes={'/moved/lethal': [0.8, 0.9, 1.0]}
    )


@when(r"an answer is another request's")
def swap_answer(context):
    sent = context.records.sent[0]
    sent.headers['x-server-stamp'] = 'i-1.q0'
    sent.reply = checks.make_records('i-1', 'q0')


@when(r'an answer is cut short')
def truncate_answer(context):
    sent = context.records.sent[0]
    sent.reply = sent.reply[:-1]


@when(r'a gather hides a missing shard')
def hide_shard(context):
    sent = context.records.sent[2]
    stamps = sent.headers['x-part-stamps'].split(', ')
    sent.headers['x-part-stamps'] = ', '.join(stamps[:3])


@when(r'a gather mixes two versions')
def mix_versions(context):
    sent = context.records.sent[2]
    stamps = sent.headers['x-part-stamps'].split(', ')
    sent.headers['x-part-stamps'] = ', '.join([*stamps[:3], 't-0.q3'])


@when(r'a gather leaves out a great record')
def drop_record(context):
    sent = context.records.sent[2]
    sent.reply = sent.reply[16:] + sent.reply[-16:]


@when(r'an upstream ran what nobody sent')
def run_unsent(context):
    context.records.runs.append(('i-1', make_run('q9')))


@when(r'a body was changed on the way')
def change_body(context):
    context.records.runs[1] = (
        'o-1',
        make_run('q2', 'POST', '/once/2', b'other'),
    )


@when(r'(\d+) extra requests reach one service')
def add_extras(context, count):
    arrivals = context.records.arrivals['moved-0']
    arrivals += [(1.0 + number / 50, 'q1') for number in range(int(count))]


@when(r'a host serves by an older version')
def serve_older_version(context):
    newer = make_sent(
        'q4',
        '/moved/4',
        4.0,
        headers={'x-server-stamp': 'j-1.q4'},
        reply=checks.make_records('j-1', 'q4'),
    )
    older = make_sent('q5', '/moved/5', 5.0)
    context.records.sent.extend([newer, older])
    context.records.runs.append(('j-1', make_run('q4', target='/moved/4')))
    context.records.runs.append(('i-1', make_run('q5', target='/moved/5')))


@when(r'a version is in force at a host 4 seconds late')
def apply_late(context):
    records = context.records
    records.moved_at.extend([0.0, 1.0])
    records.sent.append(make_sent('q6', '/moved/6', 5.0))
    reply = checks.make_records('i-1', 'q6')
    assert records.sent[-1].reply == reply
    records.runs.append(('i-1', make_run('q6', target='/moved/6')))


@when(r'an upstream runs what came 4 seconds after it drained')
def run_after_drain(context):
    records = context.records
    records.drained_at['i-1'] = 1.0
    records.sent.append(make_sent('q7', '/moved/7', 5.0))
    records.runs.append(('i-1', make_run('q7', target='/moved/7')))


@when(r'a request is cut in a calm moment')
def cut_off_request(context):
    context.records.sent[0].status = 0


@then(r'the checks report only "([^"]+)"')
def check_violation(context, promise):
    found = {each.guarantee for each in checks.check_records(context.records)}
    assert found == {promise}, found


@then('the checks report nothing')
def check_no_violation(context):
    assert not checks.check_records(context.records)


@then(
    r'plans of (\d+) seeds with (\d+) lethal requests have all faults of '
    r'plans with 1, plus (\d+) lethal requests'
)
def check_plans(context, seeds, lethal, extra):
    for seed in range(int(seeds)):
        one = soak.make_plan(seed, 12.0, 4).faults
        many = soak.make_plan(seed, 12.0, 4, int(lethal)).faults
        added = [fault for fault in many if fault not in one]
        assert len(many) == len(one) + int(extra), seed
        assert set(one) <= set(many), seed
        kinds = {fault.kind.value for fault in added}
        assert kinds == {'lethal_request'}, (seed, kinds)


@given(r'a proxy of a soak')
def start_proxy(context):
    async def ignore(reader, writer):
        writer.transport.abort()

    async def start():
        server = await asyncio.start_server(ignore, '127.0.0.1', 0)
        context.stack.callback(server.close)
        context.proxy = soak.Proxy(server.sockets[0].getsockname())
        await context.proxy.start()
        context.stack.push_async_callback(context.proxy.stop)

    run(context, start())
    context.proxy_address = ('127.0.0.1', context.proxy.port)


@when(r'it refuses connections for ([\d.]+) seconds')
def refuse_connections(context, seconds):
    async def refuse():
        context.proxy.refuse_connections(float(seconds))
        await asyncio.sleep(0.01)

    run(context, refuse())


@then(r'no other program can listen on its port, and connections are refused')
def check_port_kept(context):
    with socket.socket() as other:
        try:
            other.bind(context.proxy_address)
        except OSError:
            pass
        else:
            raise AssertionError('the port was free')
    with socket.socket() as caller:
        assert caller.connect_ex(context.proxy_address) != 0


@when(r'([\d.]+) seconds of real time pass')
def wait(context, seconds):
    run(context, asyncio.sleep(float(seconds)))


@then(r'it accepts connections on the same port')
def check_accepts(context):
    with socket.socket() as caller:
        assert caller.connect_ex(context.proxy_address) == 0
    # The proxy closes its connection before the event loop is closed.
    run(context, asyncio.sleep(0.05))


@given(
    r'the network that a soak would use, with another program on its metrics '
    r'port'
)
def occupy_network(context):
    port = platform.METRICS_PORT
    context.network = soak.find_network(port, random.Random(1))
    other = context.stack.enter_context(socket.socket())
    other.bind((f'{context.network}.1', port))


@then(r'the soak uses another network')
def check_other_network(context):
    found = soak.find_network(platform.METRICS_PORT, random.Random(1))
    assert found != context.network, found


@given(r'the environment of a soak with (\d+) host')
def open_environment(context, hosts):
    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    log = context.stack.enter_context((folder / 'log').open('wb'))
    context.environment = environment.Environment(folder, log)
    opened = context.environment.open(int(hosts))
    run(context, context.stack.enter_async_context(opened))


@when(
    r'its host (ends by itself(?:, and starts again)?|is killed by the soak|'
    r'logs a traceback|has grown beyond its memory)'
)
def change_host(context, what):
    context.soak_log = ''
    host = context.environment.hosts[0]
    match what:
        case 'is killed by the soak':
            host.send(signal.SIGKILL)
            run(context, host.wait(5.0))
        case 'logs a traceback':
            context.soak_log = 'Traceback (most recent call last):'
        case 'has grown beyond its memory':
            host.peak_bytes = environment.MEMORY_LIMIT_BYTES + 1
        case _:
            host.send(signal.SIGABRT)
            run(context, host.wait(5.0))
            if what.endswith('again'):
                run(context, host.start())


@then(r'the soak reports "([^"]+)"')
def check_reported(context, promise):
    played = soak.Run(soak.make_plan(1, 1.0, 1), context.environment)
    played.check_processes(context.soak_log)
    found = [each.guarantee for each in played.violations]
    assert found == ([] if promise == 'nothing' else [promise]), found


@then(
    r'plans of (\d+) seeds with odd data have all faults of plans without it'
)
def check_odd_plans(context, count):
    for seed in range(int(count)):
        usual = soak.make_plan(seed, 12.0, 4)
        odd = soak.make_plan(seed, 12.0, 4, odd=2)
        more = [each for each in odd.faults if each not in usual.faults]
        assert [each for each in odd.faults if each in usual.faults] == list(
            usual.faults
        )
        assert len(more) == 6, more


@then(r'its store, upstreams and proxies listen in the network of the host')
def check_network(context):
    found = context.environment
    network, _, _ = found.hosts[0].ip.rpartition('.')
    addresses = [
        *found.list_stand_in_addresses(),
        *(each.proxy.address for each in found.hosts),
        *(each.address for each in found.proxies.values()),
    ]
    assert len(addresses) > len(found.hosts) + 2 * len(found.proxies)
    for ip, _ in addresses:
        assert ip.rpartition('.')[0] == network, (ip, network)


@given(r'a soak that runs with (\d+) hosts')
def start_soak(context, hosts):
    async def start():
        context.soak = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'rudderrock.programs.soak'),
            *('run', '--hosts', hosts, '--length', '60'),
            stdout=asyncio.subprocess.DEVNULL,
        )
        children = pathlib.Path(
            f'/proc/{context.soak.pid}/task/{context.soak.pid}/children'
        )
        context.soak_hosts = []
        while len(context.soak_hosts) < int(hosts):
            await asyncio.sleep(0.1)
            context.soak_hosts = children.read_text().split()

    run(context, start())


@when(r'it receives SIGTERM')
def terminate_soak(context):
    context.soak.terminate()


@then(r'it ends, and so do its hosts')
def check_hosts_ended(context):
    assert run(context, context.soak.wait()) != 0
    left = [
        pid
        for pid in context.soak_hosts
        if pathlib.Path('/proc', pid).exists()
    ]
    assert not left, left
