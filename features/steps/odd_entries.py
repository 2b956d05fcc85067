"""Steps for invalid entries in the store that gateway processes read."""

import asyncio
import collections
import json
import tracemalloc
import zlib

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import result

from features import odd_values
from features.steps import ends
from features.steps.common import run
from rudderrock import gateway
from rudderrock import platform
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_HOSTS = (1, 2, 3)
# Time in which background work that fails at each reading fails repeatedly.
_OBSERVATION_S = 5.0
_LEARN_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1
# Each configuration is in the store for this long, so that each is read.
_CONFIG_INTERVAL_S = 0.02


@given(r'two gateway processes over a store')
def start_two(context):
    processes = ends.get_processes(context)
    processes.store.put_config(_make_config(1))

    async def start():
        for number in (1, 2):
            await processes.start(number)
        for number in (1, 2):
            await processes.wait_until_ready(number)

    run(context, start())


@when(r'every kind of invalid entry is written under "([^"]+)"')
def write_entries(context, prefix):
    store = ends.get_processes(context).store

    async def write():
        if prefix == odd_values.CONFIG_KEY:
            for raw in odd_values.list_odd_configs():
                store.put_config(raw)
                await asyncio.sleep(_CONFIG_INTERVAL_S)
            return
        for key, raw in odd_values.list_odd_entries(prefix):
            store.put(key, raw)
        await asyncio.sleep(_OBSERVATION_S)

    run(context, write())


@given(r'three gateway processes that start over an invalid configuration')
def start_over_invalid(context):
    processes = ends.get_processes(context)
    write_invalid_config(context)

    async def start():
        for number in _HOSTS:
            await processes.start(number)
        await asyncio.sleep(_OBSERVATION_S)

    run(context, start())


@when(r'an invalid configuration is written')
def write_invalid_config(context):
    ends.get_processes(context).store.put_config(odd_values.NESTED)


@then(r'the third gateway process is ready')
def check_third_ready(context):
    run(context, ends.get_processes(context).wait_until_ready(3))


@when(r'a third gateway process is started')
def start_third(context):
    run(context, ends.get_processes(context).start(3))


@when(r'an upstream and an evacuated zone are added to the store')
def add_entries(context):
    processes = ends.get_processes(context)
    address = f'{processes.stand_in_ip}:9000'
    server = platform_standins.make_server(odd_values.SERVICE, address)
    processes.store.put_server('i-late', server)
    processes.store.evacuate('south-1')
    processes.store.put_config(_make_config(2))


@then(
    r'each gateway process learns of the three hosts, the upstream and the '
    r'zone'
)
def check_learned(context):
    processes = ends.get_processes(context)

    async def wait():
        async with asyncio.timeout(_LEARN_TIMEOUT_S):
            while missing := _list_missing(processes):
                await asyncio.sleep(_POLL_INTERVAL_S)
        return missing

    try:
        run(context, wait())
    except TimeoutError:
        raise AssertionError(_list_missing(processes)) from None


def _list_missing(processes):
    """Return what the processes have not learned yet."""
    missing = []
    for number in _HOSTS:
        hosts = processes.list_events(number, 'hosts_changed')
        names = hosts[-1]['hosts'] if hosts else []
        if not {'host-1', 'host-2', 'host-3'} <= set(names):
            missing.append((number, 'hosts', names))
        for kind, field, value in (
            ('upstreams_changed', 'added', 'i-late'),
            ('evacuations_changed', 'begun', 'south-1'),
        ):
            lines = processes.list_events(number, kind)
            if not any(value in line[field] for line in lines):
                missing.append((number, kind))
        tables = processes.list_events(number, 'table_in_force')
        if not any(line['version'] == 2 for line in tables):
            missing.append((number, 'table 2'))
    return missing


_OWN_KEY = 'rudderrock/hosts/host-1'


@when(r'the entry of host 1 is overwritten by one that is nested too deep')
def overwrite_entry(context):
    store = ends.get_processes(context).store

    async def write():
        # The host registers once it is ready.
        async with asyncio.timeout(_LEARN_TIMEOUT_S):
            while _OWN_KEY not in store.items:
                await asyncio.sleep(_POLL_INTERVAL_S)
        raw = json.dumps(odd_values.make_host('host-1')).encode()
        nested = raw[:-1] + b',"odd":' + odd_values.NESTED + b'}'
        store.put(_OWN_KEY, nested)

    run(context, write())


@then(r'the entry of host 1 is valid again within (\d+) seconds')
def check_registered(context, seconds):
    store = ends.get_processes(context).store

    async def wait():
        async with asyncio.timeout(float(seconds)):
            while platform.decode_host(
                'host-1', store.items[_OWN_KEY].value
            ).is_err():
                await asyncio.sleep(_POLL_INTERVAL_S)

    run(context, wait())


@then(r'no gateway process has ended or logged a traceback')
def check_no_traceback(context):
    processes = ends.get_processes(context)
    tracebacks = {
        number: processes.read_log(number).count('Traceback')
        for number in processes.running
    }
    assert not any(tracebacks.values()), (
        tracebacks,
        _find_traceback(processes),
    )
    ended = [each.returncode for each in processes.running.values()]
    assert set(ended) == {None}, ended


def _find_traceback(processes):
    for number in processes.running:
        _, found, rest = processes.read_log(number).partition('Traceback')
        if found:
            return rest[:4000]
    return ''


@then(
    r'each invalid entry under "([^"]+)" is logged at most once by a process'
)
def check_logged_once(context, prefix):
    processes = ends.get_processes(context)
    for number in _HOSTS:
        counts = collections.Counter(
            line['problem']
            for line in processes.list_events(number, 'entry_rejected')
        )
        repeated = {each: n for each, n in counts.items() if n > 1}
        assert not repeated, repeated
        assert all(len(each) < 600 for each in counts), counts
    if prefix == odd_values.CONFIG_KEY:
        return
    lines = [
        line['problem']
        for number in _HOSTS
        for line in processes.list_events(number, 'entry_rejected')
    ]
    assert any(prefix in line for line in lines), lines


def _make_config(version):
    route = platform_standins.make_route('/late/', odd_values.SERVICE)
    return platform_standins.make_config(version, [route])


@given(
    r'compressed changes of a peer with (\d+) (empty upstreams|names that '
    r'left)'
)
def make_compressed_changes(context, count, entries):
    listed = {'empty upstreams': b'', 'names that left': b''}
    entry = b'{}' if entries == 'empty upstreams' else b'""'
    listed[entries] = b','.join([entry] * int(count))
    body = (
        b'{"process":"p","generation":1,"whole":true,"upstreams":[%b],'
        b'"left":[%b],"revision":1,"origin":"p","number":1,"hops":0,'
        b'"age_ms":1,"table_age_ms":1,"hold_ms":0,"hosts_generation":1}'
    ) % (listed['empty upstreams'], listed['names that left'])
    deflated = (b'content-encoding', b'deflate')
    context.reply = gateway.Reply(200, [deflated], zlib.compress(body))


@then(r"they can't be decoded, and that takes at most (\d+) MB")
def check_undecodable(context, megabytes):
    tracemalloc.start()
    try:
        found = gateway.read_reply(context.reply, 0.0)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(found, result.Err), type(found)
    assert peak_bytes <= int(megabytes) * 10**6, peak_bytes
