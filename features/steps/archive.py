"""Steps on the quarantine records that hosts save in the source."""

import asyncio

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import result

from features.steps import gateway as gateway_steps
from features.steps import quarantine as quarantine_steps
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import standins
from rudderrock import state

use_step_matcher('re')


@given(r'a host that saves its records, with (\d+) recorded crash(?:es)?')
def start_saving_host(context, count):
    context.record_source = standins.MemorySource()
    _start_host(context)
    quarantine_steps.record_crashes_of(
        context, context.request_quarantine, int(count)
    )
    run(context, asyncio.sleep(1.0))


def _start_host(context):
    """Make a host's records, and save them until the scenario ends."""
    host = quarantine_steps.make_quarantine(context, 'h1')
    clock = state.Clock(context.loop)
    events = gateway.EventLog('h1', clock)
    archive = gateway.QuarantineArchive(
        context.record_source,
        host,
        clock,
        events,
        gateway.RejectedEntries(events),
    )

    context.archive = archive

    async def start():
        began = context.loop.time()
        await archive.load(is_starting=True)
        context.loading_s = context.loop.time() - began
        context.archive_task = asyncio.create_task(archive.run())
        context.stack.push_async_callback(core.end_task, context.archive_task)
        await asyncio.sleep(1.0)

    run(context, start())
    context.request_quarantine = host


@when(
    r'(\d+) more crashes of it are recorded before expired records are removed'
)
def record_before_removal(context, count):
    async def hold_back(written, removed):
        return result.Err(gateway.Unavailable('held back'))

    source = context.record_source
    source.save_records, save_records = hold_back, source.save_records
    run(context, core.end_task(context.archive_task))
    _start_host(context)
    quarantine_steps.record_crashes_of(
        context, context.request_quarantine, int(count)
    )
    source.save_records = save_records


@when(r'the host is replaced by one that loads the saved records')
def replace_host(context):
    run(context, core.end_task(context.archive_task))
    _start_host(context)


@when(r'the source takes ([\d.]+) seconds for the saved records')
def delay_records(context, seconds):
    original_list = context.record_source.list_saved_records

    async def list_late():
        await asyncio.sleep(float(seconds))
        return await original_list()

    context.record_source.list_saved_records = list_late


@when(r'the source (refuses to send the|sends the) saved records(?: again)?')
def switch_records(context, what):
    context.record_source.is_down = what.startswith('refuses')


@when(r'the records are loaded again')
def load_again(context):
    run(context, context.archive.load(is_starting=True))


@then(r'loading took at most ([\d.]+) seconds')
def check_loading(context, seconds):
    assert context.loading_s <= float(seconds) + 1e-6, context.loading_s


@then(r'the source has (\d+) saved records? after (\d+) writes?')
def check_saved(context, count, writes):
    run(context, asyncio.sleep(1.0))
    source = context.record_source
    assert len(source.saved_records) == int(count), source.saved_records
    assert source.record_writes == int(writes), source.record_writes


@given(r'the source is down from the first crash until (\d+) seconds later')
def break_source_at_crash(context, seconds):
    harness = gateway_steps.get(context)

    async def break_source():
        harness.source.is_down = True
        await asyncio.sleep(int(seconds))
        harness.source.is_down = False

    def on_crash():
        if len(quarantine_steps.list_crashes(context)) == 1:
            context.outage = asyncio.ensure_future(break_source())

    for model in harness.upstreams.values():
        model.on_crash = on_crash


@then(r'the hosts saved records in at most (\d+) writes')
def check_record_writes(context, maximum):
    writes = gateway_steps.get(context).source.record_writes
    assert writes <= int(maximum), writes


@then(r'each of the copies was answered')
def check_copies_answered(context):
    statuses = {reply.status for _, reply in context.copies}
    assert statuses == {200}, statuses


@given(r'a quarantine record is not JSON')
def write_invalid_record(context):
    context.store.put('rudderrock/quarantine/bad', b'{')


def _make_saved(number):
    record = gateway.QuarantineRecord(
        f'd{number}', ['first'], False, 1000, {'u1@1': 1000}
    )
    return gateway.SavedRecord(record, 100.0)


@when(r'the source saves the quarantine records of (\d+) requests')
def save_records(context, count):
    context.saved = [_make_saved(number) for number in range(int(count))]
    answer = run(context, context.source.save_records(context.saved, []))
    assert answer.is_ok(), answer


@when(r'the source removes the quarantine records of (\d+) of them')
def remove_records(context, count):
    removed = [each.record.digest for each in context.saved[: int(count)]]
    answer = run(context, context.source.save_records([], removed))
    assert answer.is_ok(), answer


@then(r'the source reads back the quarantine records of the other (\d+)')
def check_read_back(context, count):
    answer = run(context, context.source.list_saved_records())
    found = list(answer.ok_value.records)
    assert found == context.saved[-int(count) :], answer
