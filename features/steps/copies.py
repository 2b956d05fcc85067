"""Steps on a source that comes back from an older copy."""

import asyncio
import collections
import json
import urllib.parse

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import msgspec

from features.steps import adapter as adapter_steps
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')


@when(r'the source is copied')
def copy_source(context):
    context.copy = gateway_steps.get(context).source.make_snapshot()


@when(r'the routes are written again (\d+) times?')
def write_again(context, times):
    for _ in range(int(times)):
        gateway_steps.get(context).publish()


@when(r'the source comes back from the copy after ([\d.]+) seconds?')
def come_back(context, seconds):
    source = gateway_steps.get(context).source
    source.is_down = True
    run(context, asyncio.sleep(float(seconds)))
    source.is_down = False
    source.restore(context.copy)


@then(r'each gateway has told once that the source returned in era (\d+)')
def check_told(context, era):
    lines = map(json.loads, gateway_steps.get(context).log.lines)
    told = collections.Counter(
        (each['host'], each['era'])
        for each in lines
        if each['kind'] == gateway.LogKind.SOURCE_RETURNED.value
    )
    wanted = {(name, int(era)): 1 for name in context.fleet.members}
    assert told == wanted, told


@then(r'each gateway counts (\d+) return and era (\d+)')
def check_counted(context, returns, era):
    for member in context.fleet.members.values():
        figures = member.process._list_gauges()
        assert figures['source_returns_total'] == int(returns), figures
        assert figures['source_era'] == int(era), figures


@when(r'the store comes back from a copy of now')
def come_back_now(context):
    async def come_back():
        context.store.restore(context.store.make_snapshot())

    run(context, come_back())


@given(r'the store names its era as "([^"]+)"')
def spoil_era(context, text):
    context.store.era_text = text


@when(r'the store comes back from a copy after the first page of a listing')
def come_back_between(context):
    store = context.store
    copy = store.make_snapshot()

    async def list_pages():
        listing = asyncio.create_task(context.source.list_upstreams())
        while store.calls['GET /kv-range'] < 2:
            await asyncio.sleep(0.001)
        store.restore(copy)
        return await listing

    store.reply_delay_s = 0.05
    adapter_steps.call(context, list_pages())


@then(r'it was read in era (\d+)')
def check_era(context, era):
    assert context.answer.ok_value.position.era == int(era), context.answer


@then(r'the source is unavailable: "([^"]+)"')
def check_unavailable(context, detail):
    problem = context.answer.err_value
    assert isinstance(problem, gateway.Unavailable), context.answer
    assert detail in problem.detail, problem


@when(r'a peer asks that has version (none|\d+) of revision (\d+)')
def ask_as_peer(context, version, revision):
    known = {'table': revision, 'is_lost': 0}
    if version != 'none':
        known['table_version'] = version
    query = urllib.parse.urlencode(known)
    member = context.fleet.members[context.fleet.find_reader()]
    request = gateway.Request(
        b'GET', f'/v1/changes?{query}'.encode(), [], b'', context.loop.time()
    )
    reply = run(context, member.process.peers.handle(request))
    context.changes = gateway.read_changes(reply)


@then(r'it is sent (the|no) table')
def check_sent(context, which):
    assert (context.changes.table is not None) == (which == 'the')


@when(r'a peer asks again that knows era (none|\d+)')
def ask_again(context, era):
    member = context.fleet.members[context.fleet.find_reader()]
    changes = member.process._changes
    known = gateway.Known(
        process=changes.process,
        upstreams=changes.generation,
        era=None if era == 'none' else int(era),
    )
    context.changes = changes.list_changes(known)


@then(r'it is told (all|no more) upstreams')
def check_upstreams(context, which):
    count = 1 if which == 'all' else 0
    assert len(context.changes.upstreams) == count, context.changes
    assert context.changes.whole == (which == 'all'), context.changes


@when(r'a zone is evacuated and 5 other entries are written')
def write_after_return(context):
    context.store.evacuate('north-1')
    for number in range(5):
        context.store.put(f'other/{number}', b'{}')


@when(r'the source watches the operators from the era before')
def watch_before(context):
    store = context.store
    before = gateway.Position(store.era - 1, store.revision)
    adapter_steps.call(context, context.source.watch_table(before, 0.5))


@when(r'the source comes back from the copy and cuts no watch')
def come_back_quietly(context):
    source = gateway_steps.get(context).source
    source.restore(context.copy, cut=False)


@when(r'(\d+) other entries are written')
def write_others(context, count):
    for _ in range(int(count)):
        gateway_steps.get(context).source.add_unrelated_revision()


@when(r'"([^"]+)" registers again as it was')
def register_again(context, upstream):
    source = gateway_steps.get(context).source
    source.set_endpoint(context.copy.endpoints[upstream])


@when(
    r'"([^"]+)" registers again as it was, which a copy of just before lacks'
)
def register_after_copy(context, upstream):
    before = gateway_steps.get(context).source.make_snapshot()
    register_again(context, upstream)
    context.copy = before


@when(r'an eighth gateway starts')
def start_one_more(context):
    run(context, context.fleet.add(state.ZoneId('north-1')))


@when(r'the seventh gateway stops')
def stop_seventh(context):
    run(context, context.fleet.kill('g7'))


@then(r'no host has been registered twice')
def check_registered_once(context):
    leases = gateway_steps.get(context).source.hosts
    names = collections.Counter(each.host for each in leases.values())
    assert set(names.values()) == {1}, leases


@then(r'a renewal says that the source has returned')
def check_returned(context):
    adapter_steps.call(context, context.source.renew(context.lease))
    assert context.answer.err_value == gateway.SourceRestored(), context.answer


@then(r"the host's lease is found in the new era")
def check_found(context):
    host = context.entry.host
    adapter_steps.call(context, context.source.find_lease(host))
    wanted = gateway.Lease(context.store.era, context.lease.number)
    assert context.answer.ok_value == wanted, context.answer


@then(r'what the reader tells in era (\d+) is (not good|good) to the others')
def check_good(context, era, judged):
    reader = context.fleet.find_reader()
    known = gateway.Known()
    feed = context.fleet.members[reader].process._changes
    told = feed.list_changes(known)
    told = msgspec.structs.replace(told, era=int(era))
    others = [
        member
        for name, member in context.fleet.members.items()
        if name != reader
    ]
    for member in others:
        is_sufficient = member.process._synchronizer._is_sufficient(told)
        assert is_sufficient == (judged == 'good'), told
