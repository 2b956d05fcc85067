"""Steps on regions, evacuated zones, cold upstreams and reborn ones."""

import asyncio
import dataclasses
import itertools
import json
import random

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_SERVICE = gateway.ServiceName('notes')


def narrow(context, prefix, region):
    """Let the requests of a route be handled in one region only."""
    bench = gateway_steps.get(context)
    within = gateway.Within(frozenset({gateway.RegionId(region)}))
    bench.routes = [
        dataclasses.replace(each, residency=within)
        if each.prefix == prefix
        else each
        for each in bench.routes
    ]


@given(r'the route "([^"]+)" to "([^"]+)" within "([^"]+)"')
def add_within(context, prefix, service, region):
    gateway_steps.add_route(context, prefix, service)
    narrow(context, prefix, region)


@given(r'the route "([^"]+)" to all shards within "([^"]+)"')
def add_scatter_within(context, prefix, region):
    gateway_steps.add_scatter_plain(context, prefix)
    narrow(context, prefix, region)


@when(r'the route "([^"]+)" is narrowed to "([^"]+)"')
def publish_narrowed(context, prefix, region):
    narrow(context, prefix, region)
    gateway_steps.get(context).publish()


@given(r'the route "([^"]+)" is narrowed to "([^"]+)" in the whole fleet')
def publish_to_fleet(context, prefix, region):
    publish_narrowed(context, prefix, region)
    run(context, asyncio.sleep(2.0))
    context.handed_over = []
    for name, member in context.fleet.members.items():
        note_handed_over(context, name, member.gateway)


def note_handed_over(context, name, served):
    """Keep the names of gateways that are sent queries by others."""
    handle = served.handle_delegated

    async def note(request):
        context.handed_over.append(name)
        return await handle(request)

    served.handle_delegated = note


@then(r'nothing has reached "([^"]+)"')
def check_untouched(context, upstream):
    model = gateway_steps.get(context).upstreams[upstream]
    assert not model.arrivals, model.arrivals


@then(r'nothing has reached an upstream of "([^"]+)"')
def check_zone_untouched(context, zone):
    bench = gateway_steps.get(context)
    for name, entry in bench.source.endpoints.items():
        if entry.zone == zone:
            check_untouched(context, name)


@then(r'no gateway was sent a query by another')
def check_not_handed_over(context):
    assert not context.handed_over, context.handed_over


@when(r'"([^"]+)" is evacuated')
def evacuate(context, zone):
    gateway_steps.get(context).source.evacuate(core.ZoneId(zone))


@when(r'"([^"]+)" is given back')
def give_back(context, zone):
    gateway_steps.get(context).source.end_evacuation(core.ZoneId(zone))


@then(r'the log names "([^"]+)" as unknown')
def check_unknown(context, zone):
    lines = map(json.loads, gateway_steps.get(context).log.lines)
    found = [each.get('unknown') for each in lines]
    assert [zone] in found, found


@given(r'an upstream of "([^"]+)" accepts (\d+) connections?')
def accept(context, service, count):
    gateway_steps.get(context).allow_connections(service, int(count))


@when(
    r'"([^"]+)" is evacuated while (\d+) requests for "([^"]+)" are under way'
)
def evacuate_under_way(context, zone, count, path):
    bench = gateway_steps.get(context)

    async def ask():
        asked = [
            asyncio.create_task(
                bench.ask(gateway_bench.make_raw(f'under-way-{number}', path))
            )
            for number in range(int(count))
        ]
        await asyncio.sleep(0.02)
        evacuate(context, zone)
        context.evacuated_at = asyncio.get_running_loop().time()
        await asyncio.gather(*asked)

    run(context, ask())


@then(r'nothing reached "([^"]+)" after the evacuation')
def check_after(context, upstream):
    model = gateway_steps.get(context).upstreams[upstream]
    late = [
        request_id
        for at, request_id in model.timed_arrivals
        if at > context.evacuated_at + 0.05
    ]
    assert model.timed_arrivals and not late, model.timed_arrivals


@then(r'"([^"]+)" ran at least (\d+) of them')
def check_ran(context, upstream, least):
    model = gateway_steps.get(context).upstreams[upstream]
    assert len(model.runs) >= int(least), model.runs


def change_entry(context, upstream, **fields):
    """Write an upstream's entry anew with some of its fields changed."""
    source = gateway_steps.get(context).source
    entry = source.endpoints[upstream]
    source.set_endpoint(dataclasses.replace(entry, **fields))


@when(r'"([^"]+)" starts again at another address')
def start_again(context, upstream):
    bench = gateway_steps.get(context)
    model = bench.upstreams[upstream]
    before = bench.source.endpoints[upstream]
    address = ('10.2.0.1', 9000)

    async def restart():
        await model.stop()
        await model.start(*address)

    run(context, restart())
    bench.source.set_endpoint(
        dataclasses.replace(
            before,
            address=address,
            born=before.born + 1000,
            sequence=1,
            phase=gateway.Phase.READY,
        )
    )


@when(r'"([^"]+)" (drains|is ready) as its sequence (\d+)')
def say(context, upstream, what, sequence):
    bench = gateway_steps.get(context)
    source = bench.source
    entry = source.endpoints.get(upstream) or context.entries[upstream]
    drains = what == 'drains'
    entry = dataclasses.replace(
        entry,
        phase=gateway.Phase.DRAINING if drains else gateway.Phase.READY,
        sequence=int(sequence),
    )
    context.entries = {**getattr(context, 'entries', {}), upstream: entry}
    source.set_endpoint(entry)


@given(
    r'an upstream of "([^"]+)" is cold for (\d+) seconds and stands (\d+) a '
    r'second'
)
def set_warmup(context, service, seconds, rate):
    bench = gateway_steps.get(context)
    name = gateway.ServiceName(service)
    bench.services[name] = dataclasses.replace(
        bench.services[name],
        warmup_s=float(seconds),
        warmup_per_s=float(rate),
    )
    bench.publish()


@when(r'"([^"]+)" has become cold for (\d+) seconds')
def become_cold(context, upstream, seconds):
    change_entry(context, upstream, warmup_left_s=float(seconds), sequence=2)


@when(
    r'every gateway is asked (\d+) times a second for "([^"]+)" for '
    r'(\d+) seconds?'
)
def ask_at_rate(context, rate, path, seconds):
    context.asked_at = context.loop.time()

    async def ask(name, number):
        raw = gateway_bench.make_raw(f'{name}-at-rate-{number}', path)
        return await context.fleet.ask(name, raw)

    async def load():
        asked = []
        for number in range(int(rate) * int(seconds)):
            for name in context.fleet.members:
                asked.append(asyncio.create_task(ask(name, number)))
            await asyncio.sleep(1.0 / float(rate))
        return await asyncio.gather(*asked)

    context.fleet_replies = run(context, load())


@then(r'every answer was 200')
def check_all_answered(context):
    statuses = {reply.status for reply in context.fleet_replies}
    assert statuses == {200}, statuses


def list_since(context, upstream):
    """Return when requests reached an upstream since the load began."""
    model = gateway_steps.get(context).upstreams[upstream]
    return [
        at - context.asked_at
        for at, _ in model.timed_arrivals
        if at >= context.asked_at
    ]


@then(
    r'"([^"]+)" got at most (\d+) requests in any second of the first '
    r'([\d.]+)'
)
def check_cold_rate(context, upstream, most, seconds):
    times = [at for at in list_since(context, upstream) if at < float(seconds)]
    for start in times:
        within = sum(start <= at < start + 1.0 for at in times)
        assert within <= int(most), (start, within, times)


@then(r'"([^"]+)" got at least (\d+) requests? in the first ([\d.]+) seconds')
def check_least(context, upstream, least, seconds):
    times = list_since(context, upstream)
    found = sum(at < float(seconds) for at in times)
    assert found >= int(least), times


@then(r'"([^"]+)" got most requests of the last 0.5 seconds')
def check_back(context, upstream):
    times = list_since(context, upstream)
    hosts = len(context.fleet.members)
    found = sum(at > 2.5 for at in times)
    assert found > 0.5 * hosts * 5, (found, hosts)


def make_entry(chance, upstream):
    """Return an entry that an upstream may have written at some time."""
    return gateway.Endpoint(
        upstream=core.UpstreamId(upstream),
        service=_SERVICE,
        address=('10.1.0.1', 9000),
        zone=core.ZoneId('north-1'),
        slots=2,
        phase=chance.choice(list(gateway.Phase)),
        born=chance.randrange(3),
        sequence=chance.randrange(6),
    )


@then(
    r'(\d+) runs of entries, in any order and with repeats, end in the same '
    r'upstreams'
)
def check_entries(context, runs):
    for seed in range(int(runs)):
        chance = random.Random(seed)
        written = {}
        for _ in range(6):
            entry = make_entry(chance, 'u1')
            written.setdefault(entry.incarnation_order, entry)
        wanted = written[max(written)]
        found = merge_entries(chance, list(written.values()))
        assert found == wanted, (seed, found, wanted)


def merge_entries(chance, entries):
    """Return what a directory holds after entries came in any order."""
    clock = state.Clock(asyncio.new_event_loop())
    directory = gateway.Directory(clock)
    came = entries + chance.choices(entries, k=4)
    chance.shuffle(came)
    for number, entry in enumerate(came, 1):
        stamp = gateway.ReadingStamp('p1', number, float(number))
        read = gateway.Position(0, number)
        directory.apply_reading([entry], read, stamp)
        if chance.random() < 0.3:
            directory.apply_changes([], [], read, stamp)
    return directory.get_endpoint(core.UpstreamId('u1'))


class NoLog:
    """Takes log lines and keeps none."""

    def record(self, kind, **fields):
        """Take one line."""


@then(
    r'(\d+) runs of snapshots of evacuations, in any order and with repeats, '
    r'end in the same zones'
)
def check_snapshots(context, runs):
    zones = [core.ZoneId(f'z{number}') for number in range(3)]
    for seed in range(int(runs)):
        chance = random.Random(seed)
        snapshots = [
            gateway.Evacuations(
                gateway.Position(0, revision),
                dict.fromkeys(
                    chance.sample(zones, chance.randrange(3)), revision
                ),
            )
            for revision in range(5)
        ]
        came = snapshots + chance.choices(snapshots, k=4)
        chance.shuffle(came)
        clock = state.Clock(context.loop)
        holder = gateway.EvacuationHolder(zones, clock, NoLog())
        told = []
        holder.add_listener(told.append)
        for each in came:
            holder.apply(each, 'test')
        assert holder.current == snapshots[-1], (seed, holder.current)
        positions = [each.position for each in told]
        assert positions == sorted(positions), positions
        assert all(
            one.zones != other.zones for one, other in itertools.pairwise(told)
        )
