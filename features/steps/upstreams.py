"""Steps that inject faults into upstreams and check what they received."""

import asyncio

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import state

use_step_matcher('re')

_RESTART_S = 5.0


def _list_replicas(context, shard):
    return [
        model
        for upstream, model in context.bench.fleet.models.items()
        if upstream.rpartition('-')[0] == shard
    ]


@given(r'all replicas of shard "([^"]+)" are lost')
def set_shard_lost(context, shard):
    for model in _list_replicas(context, shard):
        set_lost(context, model)


@given(r'the upstream "([^"]+)" is lost')
def set_upstream_lost(context, upstream):
    set_lost(context, context.bench.fleet.models[upstream])


def set_lost(context, model):
    """Make an upstream refuse connections and send no replies."""
    model.faults.lost = True


@given(r'(\d+) percent of requests take (\d+) times as long')
def set_stragglers(context, percent, factor):
    for model in context.bench.fleet.models.values():
        model.faults.straggle = int(percent) / 100
        model.faults.straggle_factor = float(factor)


@given(r'the upstreams of shard "([^"]+)" are (\d+) times slower')
def slow_shard(context, shard, factor):
    for model in _list_replicas(context, shard):
        model.faults.slow_factor = float(factor)


@given(r'the upstream "([^"]+)" says that it leaves')
def set_upstream_leaving(context, upstream):
    context.bench.fleet.models[upstream].faults.leaving = True


@when(r'the upstream "([^"]+)" is restarted')
def restart(context, upstream):
    """Make an upstream unreachable for `_RESTART_S` seconds.

    Afterwards it is no longer leaving.
    """
    faults = context.bench.fleet.models[upstream].faults

    async def stop_for_restart():
        faults.lost = True
        await asyncio.sleep(_RESTART_S)
        faults.lost = False
        faults.leaving = False

    run(context, stop_for_restart())


@when(r'the layout says that upstream "([^"]+)" leaves')
def set_leaving_in_layout(context, upstream):
    leaving = context.bench.fleet.layout.leaving | {upstream}
    run(context, context.bench.fleet.change_layout(leaving=leaving))


@when(r'the record of upstream "([^"]+)" is noted')
def record_received(context, upstream):
    received = context.bench.fleet.models[upstream].received
    context.bench.notes[upstream] = received


@when(
    r'the collection is repartitioned from 4 to (\d+) shards '
    r'over (\d+) seconds'
)
def repartition(context, shards, seconds):
    """Replace the shards of version 1 by shards of version 2.

    Each upstream first loads version 2 in addition to version 1, and all
    then drop version 1 one after the other.
    """
    fleet = context.bench.fleet
    models = list(fleet.models.values())
    names = list(fleet.models)
    old = fleet.layout.collections['members'].placements[0]
    new = state.Placement(
        version=state.IndexVersion(2),
        shards={
            state.ShardId(f'part-{number}'): (
                names[number % len(names)],
                names[(number + 3) % len(names)],
            )
            for number in range(int(shards))
        },
    )

    async def publish(*placements):
        collection = state.Collection(
            collection='members', placements=placements
        )
        await fleet.change_layout(collections={'members': collection})

    async def replace_shards():
        await publish(old, new)
        step_s = int(seconds) / len(models) / 2
        for model in models:
            model.versions = {old.version, new.version}
            await asyncio.sleep(step_s)
        for model in models:
            model.versions = {new.version}
            await asyncio.sleep(step_s)
        await publish(new)

    run(context, replace_shards())


@then(
    r'answers had (\d+) shards at version 1 and (\d+) at version 2, '
    r'and no others'
)
def check_partitions(context, before, after):
    seen = {
        (each.outcome.version, each.outcome.coverage.shards)
        for each in context.bench.list_answers()
    }
    assert seen == {(1, int(before)), (2, int(after))}, seen


@then(r'upstream "([^"]+)" has received work since')
def check_received_requests(context, upstream):
    received = context.bench.fleet.models[upstream].received
    assert received > context.bench.notes[upstream], received


@then(r'upstream "([^"]+)" has received nothing since')
def check_received_nothing(context, upstream):
    received = context.bench.fleet.models[upstream].received
    assert received == context.bench.notes[upstream], received
    assert received > 0, 'it never received any request'


@when(
    r'"([^"]+)" asks (\d+) times more, and the host stands still for '
    r'([\d.]+) seconds under each'
)
def ask_during_pauses(context, team, count, seconds):
    fleet = context.bench.fleet
    counters = fleet.hosts['h1'].host.runner.counters

    async def ask_repeatedly():
        hedges_before = counters.hedges
        for _ in range(int(count)):
            request_task = asyncio.create_task(context.bench.ask(team))
            await asyncio.sleep(0.001)
            # Virtual time advances without running the event loop.
            context.loop._selector.clock.advance(float(seconds))
            await request_task
            await asyncio.sleep(0.05)
        context.hedged = counters.hedges - hedges_before

    run(context, ask_repeatedly())


@then(r'no more than (\d+) requests? (?:was|were) hedged')
def check_hedged(context, limit):
    assert context.hedged <= int(limit), context.hedged
