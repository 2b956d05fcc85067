"""Steps on the table, the key-value service and the lifecycle of hosts."""

import asyncio
import dataclasses
import random

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import coordination
from rudderrock import protocol
from rudderrock import state

use_step_matcher('re')

_EDIT_TIMEOUT_S = 10.0
_POLL_S = 0.005


def _split_names(text):
    return [name.strip() for name in text.split(',')]


def _list_running(context):
    return [
        running
        for running in context.bench.fleet.hosts.values()
        if not running.task.done()
    ]


@when(r'an operator sets "([^"]+)" of "([^"]+)" to (\d+)')
def set_field(context, field, team, value):
    fleet = context.bench.fleet
    edit = fleet.set_row(team, **{field: int(value)})
    context.edit = run(context, edit)


@when('it is in force on every host')
def wait_in_force(context):
    fleet = context.bench.fleet
    run(context, fleet.wait_until_in_force(context.edit.revision))


@then(r'it is in force on every host within (\d+) seconds?')
def check_in_force(context, seconds):
    fleet = context.bench.fleet
    elapsed_s = run(context, fleet.wait_until_in_force(context.edit.revision))
    assert elapsed_s <= int(seconds), elapsed_s


@when(
    r'two operators set "([^"]+)" of "([^"]+)" to (\d+) and to (\d+) at once'
)
def edit_concurrently(context, field, team, one, other):
    editor = context.bench.fleet.editor

    async def edit(value):
        base = (await editor.read()).unwrap().rows[team]
        row = dataclasses.replace(base, **{field: float(value)})
        change = state.Change(
            edit_id=editor.make_edit_id(),
            author=f'operator {value}',
            team=team,
            base=base,
            row=row,
        )
        return await editor.edit(change, _EDIT_TIMEOUT_S)

    async def edit_both():
        return await asyncio.gather(edit(one), edit(other))

    context.outcomes = run(context, edit_both())


@then('one edit was accepted and the other was rejected with the accepted row')
def check_race(context):
    accepted = [
        each
        for each in context.outcomes
        if isinstance(each, coordination.EditAccepted)
    ]
    rejected = [
        each
        for each in context.outcomes
        if isinstance(each, coordination.EditLost)
    ]
    assert len(accepted) == len(rejected) == 1, context.outcomes
    assert rejected[0].current == accepted[0].edit.row, rejected
    context.edit = accepted[0].edit


@given(r'the next (\d+) replies of the key-value service to writes are lost')
def lose_replies(context, count):
    context.bench.fleet.kv.faults.lose_replies = int(count)


@then('the history contains the edit once')
def check_edit_once(context):
    table = run(context, context.bench.fleet.editor.read()).unwrap()
    same = [
        edit for edit in table.history if edit.edit_id == context.edit.edit_id
    ]
    assert len(same) == 1, table.history
    assert table.revision == context.edit.revision


@given(r'hosts "([^"]+)" are cut off from the key-value service')
def cut_off_from_kv(context, names):
    for name in _split_names(names):
        context.bench.fleet.hosts[name].kv.cut = True


@when(
    'the key-value service goes down as soon as the edit is in force on one '
    'host'
)
def stop_kv_after_first_host(context):
    async def wait():
        hosts = context.bench.fleet.hosts.values()
        while all(
            each.host.config.table_watcher.revision < context.edit.revision
            for each in hosts
        ):
            await asyncio.sleep(_POLL_S)
        await context.bench.fleet.kv.set_down(True)

    run(context, wait())


@when('the key-value service goes down')
def stop_kv(context):
    run(context, context.bench.fleet.kv.set_down(True))


@when('the key-value service is available again')
def resume_kv(context):
    run(context, context.bench.fleet.kv.set_down(False))


@when(r'host "([^"]+)" is started')
def start_host(context, name):
    async def start():
        fleet = context.bench.fleet
        fleet.start_host(name, fleet.deployment.network.list_zones()[0])

    run(context, start())


@when('the table in the key-value service is backed up')
def back_up_table(context):
    entry = run(context, context.bench.fleet.kv.get(coordination.TABLE_KEY))
    context.table_backup = entry.unwrap().value


@when('the table is restored from the backup')
def restore_table(context):
    table = protocol.decode(state.Table, context.table_backup).unwrap()
    kv = context.bench.fleet.kv
    run(context, kv.put_unless_down(coordination.TABLE_KEY, table))


@when(
    r'a snapshot of the key-value service is taken and (\d+) other keys are '
    r'written'
)
def snapshot_kv(context, count):
    kv = context.bench.fleet.kv
    context.kv_snapshot = kv.make_snapshot()
    for number in range(int(count)):
        run(context, kv.put_unless_down(f'other/{number}', state.Table()))


@when(
    r'the key-value service is restored from the snapshot after an outage of '
    r'(\d+) seconds?'
)
def restore_kv(context, seconds):
    kv = context.bench.fleet.kv
    run(context, kv.set_down(True))
    run(context, asyncio.sleep(float(seconds)))
    run(context, kv.restore(context.kv_snapshot))


@then(r'the key-value service stores "([^"]+)" of "([^"]+)" as (\d+)')
def check_stored_field(context, field, team, value):
    table = run(context, context.bench.fleet.editor.read()).unwrap()
    assert getattr(table.rows[team], field) == float(value), table


@then(r'exactly one host has recorded "([^"]+)"')
def check_recorded_once(context, kind):
    recorded = [
        each
        for running in _list_running(context)
        for each in _list_event_kinds(running)
        if each == kind
    ]
    assert len(recorded) == 1, recorded


@then(
    r'(\d+) random sequences of edits and restores of the table keep all '
    r'accepted edits'
)
def check_merges(context, count):
    for seed in range(int(count)):
        check_merge(random.Random(seed))


def check_merge(rng):
    """Check that two hosts restore the edits that their service loses."""
    service = state.Table()
    snapshots = [service]
    hosts = [service, service]
    accepted = []
    for number in range(8):
        accepted.append(f'edit-{number}')
        service = apply_random_edit(service, accepted[-1], rng)
        snapshots.append(service)
        if rng.random() < 0.3:
            # One host reads the edit before the service loses it, so that
            # it can be restored from that host.
            hosts[0] = apply_read_table(hosts[0], service)
            service = rng.choice(snapshots)
        for index in rng.sample([0, 1], rng.randrange(3)):
            hosts[index] = apply_read_table(hosts[index], service)
            merged = state.merge_lost_edits(hosts[index], service)
            if merged is not None:
                service = hosts[index] = merged
        hosts[0] = apply_read_table(hosts[0], service)
        merged = state.merge_lost_edits(hosts[0], service)
        if merged is not None:
            service = hosts[0] = merged
    edit_ids = [each.edit_id for each in service.history]
    assert sorted(edit_ids) == sorted(accepted), edit_ids
    assert state.merge_lost_edits(service, service) is None


def apply_read_table(table, read):
    """Return the table in force on a host after it has read another one."""
    return read if read.revision > table.revision else table


def apply_random_edit(table, edit_id, rng):
    """Return the table after a random edit of a row."""
    team = state.TeamId(rng.choice(['desk', 'kiosk']))
    base = table.rows.get(team)
    row = state.TeamRow(team=team, weight=rng.randrange(1, 9))
    change = state.Change(
        edit_id=state.EditId(edit_id),
        author='test',
        team=team,
        base=base,
        row=row,
    )
    return state.apply_change(table, change, 1.0).unwrap()


@when(
    r'a table with "([^"]+)" of "([^"]+)" at (\d+) is written directly to the '
    r'key-value service'
)
def write_invalid_table(context, field, team, value):
    fleet = context.bench.fleet
    table = run(context, fleet.editor.read()).unwrap()
    row = dataclasses.replace(table.rows[team], **{field: int(value)})
    invalid = dataclasses.replace(
        table, revision=table.revision + 1, rows={**table.rows, team: row}
    )
    run(context, fleet.kv.put_unless_down(coordination.TABLE_KEY, invalid))


@then(r'"([^"]+)" of "([^"]+)" is (\d+) on every host')
def check_field(context, field, team, value):
    for running in _list_running(context):
        row = running.host.config.rows[team]
        assert getattr(row, field) == int(value), row


def _list_event_kinds(running):
    events = running.host.event_ring.list_since(state.Stamp())
    return [event.kind.value for event in events]


@then(r'every host has recorded "([^"]+)"')
def check_all_recorded(context, kind):
    for running in _list_running(context):
        assert kind in _list_event_kinds(running), _list_event_kinds(running)


@then(r'host "([^"]+)" has recorded "([^"]+)"')
def check_recorded(context, name, kind):
    kinds = _list_event_kinds(context.bench.fleet.hosts[name])
    assert kind in kinds, kinds


@when(r'host "([^"]+)" is cut off from everything')
def cut_off(context, name):
    context.bench.fleet.set_isolated(name, True)


@when(r'host "([^"]+)" is cut off from its peers')
def cut_off_from_peers(context, name):
    context.bench.fleet.set_isolated(name, True)
    context.bench.fleet.hosts[name].kv.cut = False


@when(r'host "([^"]+)" is reconnected')
def reconnect(context, name):
    context.bench.fleet.set_isolated(name, False)


@when(r'host "([^"]+)" is paused')
def pause(context, name):
    context.bench.fleet.set_paused(name, True)


@when(r'host "([^"]+)" is resumed')
def resume(context, name):
    context.bench.fleet.set_paused(name, False)


@then(r'host "([^"]+)" does not hold its lease')
def check_no_lease(context, name):
    assert not context.bench.fleet.hosts[name].host.lease.is_held


@when(
    r'"([^"]+)" asks (\d+) times a second for (\d+) seconds through a load '
    r'balancer, in the background'
)
def ask_balanced(context, team, rate, seconds):
    """Send queries to the hosts that were ready one second ago."""
    bench = context.bench

    async def ask_all():
        tasks = []
        ready = list(bench.fleet.hosts)
        for number in range(int(rate) * int(seconds)):
            if number % int(rate) == 0:
                targets, ready = ready, _list_ready(context)
            host = targets[number % len(targets)]
            tasks.append(asyncio.create_task(bench.ask(team, host)))
            await asyncio.sleep(1.0 / int(rate))
        await asyncio.gather(*tasks)

    async def start():
        bench.add_load(asyncio.create_task(ask_all()))

    run(context, start())


def _list_ready(context):
    return [
        name
        for name, running in context.bench.fleet.hosts.items()
        if running.host.lifecycle.is_ready
    ]


@when(r'hosts "([^"]+)" are shut down gracefully')
def stop_hosts(context, names):
    fleet = context.bench.fleet

    async def stop_all():
        await asyncio.gather(
            *(fleet.stop_host(name) for name in _split_names(names))
        )

    run(context, stop_all())


@then(r'hosts "([^"]+)" have stopped')
def check_stopped(context, names):
    for name in _split_names(names):
        running = context.bench.fleet.hosts[name]
        assert running.task.done() and running.task.exception() is None
        stopped = coordination.HostState.STOPPED
        assert running.host.lifecycle.state is stopped


@when(r'host "([^"]+)" crashes')
def crash(context, name):
    run(context, context.bench.fleet.crash_host(name))


@when(r'host "([^"]+)" is removed from the host list')
def drop_from_list(context, name):
    context.bench.fleet.remove_from_list(name)


@then(r'the other hosts report "([^"]+)" as failed')
def check_failed(context, name):
    for running in _list_running(context):
        states = {
            member.host: member.state
            for member in running.host.membership.list_members()
        }
        assert states[name] is protocol.MemberState.FAILED, states


@then(r'the other hosts share limits among (\d+) hosts')
def check_sharing(context, count):
    for running in _list_running(context):
        sharing = running.host.membership.list_sharing_hosts()
        assert len(sharing) == int(count), sharing


@given(r'(\d+) percent of messages between hosts are lost')
def lose_messages(context, percent):
    context.bench.fleet.peers.faults.lose = int(percent) / 100


@then('no host has been reported as failed')
def check_none_failed(context):
    events = context.bench.list_events(state.EventKind.PEER_STATE)
    failed = [each for each in events if each.detail.endswith('failed')]
    assert events and not failed, failed


@when(r'"([^"]+)" asks (\d+) times a second for (\d+) seconds at "([^"]+)"')
def ask_hosts(context, team, rate, seconds, hosts):
    load = context.bench.ask_at_rate(
        team, float(rate), float(seconds), _split_names(hosts)
    )
    run(context, load)


def _get_admitted_percent(context, rate, seconds):
    shards = sum(
        each.outcome.coverage.shards for each in context.bench.list_answers()
    )
    return 100 * shards / (int(rate) * int(seconds))


@then(
    r'at most (\d+) percent of the rate (\d+) was admitted over (\d+) seconds'
)
def check_admitted_at_most(context, percent, rate, seconds):
    admitted = _get_admitted_percent(context, rate, seconds)
    assert admitted <= int(percent), admitted


@then(
    r'at least (\d+) percent of the rate (\d+) was admitted over (\d+) seconds'
)
def check_admitted_at_least(context, percent, rate, seconds):
    admitted = _get_admitted_percent(context, rate, seconds)
    assert admitted >= int(percent), admitted


@then('no upstream ever had more connections than it allows')
def check_connections(context):
    for model in context.bench.fleet.models.values():
        allowed = model.upstream.connections
        assert 0 < model.peak_connections <= allowed, model.peak_connections
        assert model.refused_connections == 0, model.refused_connections


@when(
    r'the task of host "([^"]+)" is cancelled, and cancelled again while it '
    r'closes'
)
def cancel_twice(context, name):
    async def cancel():
        task = context.bench.fleet.hosts[name].task
        for _ in range(2):
            task.cancel()
            await asyncio.sleep(0.1)
        assert task.done()

    run(context, cancel())


@then('no upstream has an open connection')
def check_none_open(context):
    models = context.bench.fleet.models.values()
    assert all(model.peak_connections for model in models)
    assert not any(model.open_connections for model in models)
