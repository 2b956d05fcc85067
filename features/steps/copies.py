"""Steps on a source that is restored from an older snapshot."""

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


@when(r'a snapshot of the source is made')
def make_snapshot(context):
    context.snapshot = gateway_steps.get(context).source.make_snapshot()


@when(r'the routes are written again (\d+) times?')
def publish_again(context, times):
    for _ in range(int(times)):
        gateway_steps.get(context).publish()


@when(
    r'the source is restored from the snapshot after an outage of ([\d.]+) '
    r'seconds?'
)
def restore_source(context, seconds):
    source = gateway_steps.get(context).source
    source.is_down = True
    run(context, asyncio.sleep(float(seconds)))
    source.is_down = False
    source.restore(context.snapshot)


@then(
    r'each gateway has logged once that the source was restored in era (\d+)'
)
def check_restore_logged(context, era):
    lines = map(json.loads, gateway_steps.get(context).log.lines)
    logged = collections.Counter(
        (each['host'], each['era'])
        for each in lines
        if each['kind'] == gateway.LogKind.SOURCE_RETURNED.value
    )
    expected = {(name, int(era)): 1 for name in context.fleet.members}
    assert logged == expected, logged


@then(r'the metrics of each gateway show (\d+) restore and era (\d+)')
def check_restore_metrics(context, restores, era):
    for member in context.fleet.members.values():
        metrics = member.process._list_gauges()
        assert metrics['source_returns_total'] == int(restores), metrics
        assert metrics['source_era'] == int(era), metrics


@when(r'the store is restored from a snapshot of its present state')
def restore_store(context):
    async def restore():
        context.store.restore(context.store.make_snapshot())

    run(context, restore())


@given(r'the store sends "([^"]+)" as its era')
def set_era_text(context, text):
    context.store.era_text = text


@when(
    r'the store is restored from a snapshot after the first page of a listing'
)
def restore_between_pages(context):
    store = context.store
    snapshot = store.make_snapshot()

    async def list_pages():
        listing = asyncio.create_task(context.source.list_upstreams())
        while store.calls['GET /kv-range'] < 2:
            await asyncio.sleep(0.001)
        store.restore(snapshot)
        return await listing

    store.reply_delay_s = 0.05
    adapter_steps.call(context, list_pages())


@then(r'the listing was read in era (\d+)')
def check_era(context, era):
    assert context.answer.ok_value.position.era == int(era), context.answer


@then(r'the source is unavailable: "([^"]+)"')
def check_unavailable(context, detail):
    problem = context.answer.err_value
    assert isinstance(problem, gateway.Unavailable), context.answer
    assert detail in problem.detail, problem


@when(
    r'a peer with table version (none|\d+) of revision (\d+) asks for changes'
)
def ask_as_peer_with_table(context, version, revision):
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


@when(
    r'a peer that has applied all changes and knows era (none|\d+) asks for '
    r'changes'
)
def ask_again(context, era):
    member = context.fleet.members[context.fleet.find_reader()]
    changes = member.process._changes
    known = gateway.Known(
        process=changes.process,
        upstreams=changes.generation,
        era=None if era == 'none' else int(era),
    )
    context.changes = changes.list_changes(known)


@then(r'it is sent (all|no more) upstreams')
def check_upstreams(context, which):
    count = 1 if which == 'all' else 0
    assert len(context.changes.upstreams) == count, context.changes
    assert context.changes.whole == (which == 'all'), context.changes


@when(r'a zone is evacuated and 5 unrelated entries are written')
def evacuate_and_write(context):
    context.store.evacuate('north-1')
    for number in range(5):
        context.store.put(f'other/{number}', b'{}')


@when(
    r'the source watches the routing table from a position in the previous era'
)
def watch_from_previous_era(context):
    store = context.store
    position = gateway.Position(store.era - 1, store.revision)
    adapter_steps.call(context, context.source.watch_table(position, 0.5))


@when(r'the source is restored from the snapshot without ending the watches')
def restore_without_ending_watches(context):
    source = gateway_steps.get(context).source
    source.restore(context.snapshot, cut=False)


@when(r'(\d+) unrelated entries are written')
def write_unrelated(context, count):
    for _ in range(int(count)):
        gateway_steps.get(context).source.add_unrelated_revision()


@when(r'"([^"]+)" registers again with the same entry')
def register_again(context, upstream):
    source = gateway_steps.get(context).source
    source.set_endpoint(context.snapshot.endpoints[upstream])


@when(
    r'"([^"]+)" registers again with the same entry just after a new snapshot'
)
def register_after_snapshot(context, upstream):
    earlier = gateway_steps.get(context).source.make_snapshot()
    register_again(context, upstream)
    context.snapshot = earlier


@when(r'an eighth gateway starts')
def start_eighth(context):
    run(context, context.fleet.add(state.ZoneId('north-1')))


@when(r'the seventh gateway stops without draining')
def stop_seventh(context):
    run(context, context.fleet.kill('g7'))


@then(r'no host is registered twice')
def check_registered_once(context):
    leases = gateway_steps.get(context).source.hosts
    names = collections.Counter(each.host for each in leases.values())
    assert set(names.values()) == {1}, leases


@then(r'a renewal reports that the source was restored')
def check_restore_reported(context):
    adapter_steps.call(context, context.source.renew(context.lease))
    assert context.answer.err_value == gateway.SourceRestored(), context.answer


@then(r"the host's lease is found in the new era")
def check_lease_found(context):
    host = context.entry.host
    adapter_steps.call(context, context.source.find_lease(host))
    expected = gateway.Lease(context.store.era, context.lease.number)
    assert context.answer.ok_value == expected, context.answer


@then(
    r'changes that the reader sends in era (\d+) are (not good|good) enough '
    r'to replace readings by the others'
)
def check_changes_sufficient(context, era, judgement):
    reader = context.fleet.find_reader()
    known = gateway.Known()
    feed = context.fleet.members[reader].process._changes
    changes = feed.list_changes(known)
    changes = msgspec.structs.replace(changes, era=int(era))
    others = [
        member
        for name, member in context.fleet.members.items()
        if name != reader
    ]
    for member in others:
        is_sufficient = member.process._synchronizer._is_sufficient(changes)
        assert is_sufficient == (judgement == 'good'), changes
