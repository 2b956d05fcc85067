"""Steps on regions, evacuated zones, and cold or restarted upstreams."""

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


def restrict_route(context, prefix, region):
    """Restrict a route to one region, without publishing it."""
    harness = gateway_steps.get(context)
    within = gateway.Within(frozenset({gateway.RegionId(region)}))
    harness.routes = [
        dataclasses.replace(each, residency=within)
        if each.prefix == prefix
        else each
        for each in harness.routes
    ]


@given(r'the route "([^"]+)" to "([^"]+)" within "([^"]+)"')
def add_within(context, prefix, service, region):
    gateway_steps.add_route(context, prefix, service)
    restrict_route(context, prefix, region)


@given(r'the route "([^"]+)" to all shards within "([^"]+)"')
def add_scatter_within(context, prefix, region):
    gateway_steps.add_scatter_plain(context, prefix)
    restrict_route(context, prefix, region)


@when(r'the route "([^"]+)" is restricted to "([^"]+)"')
def publish_restricted(context, prefix, region):
    restrict_route(context, prefix, region)
    gateway_steps.get(context).publish()


@given(r'the route "([^"]+)" is restricted to "([^"]+)" on all gateways')
def publish_to_fleet(context, prefix, region):
    publish_restricted(context, prefix, region)
    run(context, asyncio.sleep(2.0))
    context.delegated_to = []
    for name, member in context.fleet.members.items():
        record_delegations(context, name, member.gateway)


def record_delegations(context, name, target_gateway):
    """Record the name of a gateway for each query delegated to it."""
    handle = target_gateway.handle_delegated

    async def record(request):
        context.delegated_to.append(name)
        return await handle(request)

    target_gateway.handle_delegated = record


@then(r'nothing has reached "([^"]+)"')
def check_untouched(context, upstream):
    model = gateway_steps.get(context).upstreams[upstream]
    assert not model.arrivals, model.arrivals


@then(r'nothing has reached an upstream of "([^"]+)"')
def check_zone_untouched(context, zone):
    harness = gateway_steps.get(context)
    for name, entry in harness.source.endpoints.items():
        if entry.zone == zone:
            check_untouched(context, name)


@then(r'no gateway delegated a query to another')
def check_none_delegated(context):
    assert not context.delegated_to, context.delegated_to


@when(r'"([^"]+)" is evacuated')
def evacuate(context, zone):
    gateway_steps.get(context).source.evacuate(core.ZoneId(zone))


@when(r'the evacuation of "([^"]+)" ends')
def end_evacuation(context, zone):
    gateway_steps.get(context).source.end_evacuation(core.ZoneId(zone))


@then(r'the log reports "([^"]+)" as unknown')
def check_unknown(context, zone):
    lines = map(json.loads, gateway_steps.get(context).log.lines)
    found = [each.get('unknown') for each in lines]
    assert [zone] in found, found


@given(r'an upstream of "([^"]+)" accepts (\d+) connections?')
def set_connection_limit(context, service, count):
    gateway_steps.get(context).allow_connections(service, int(count))


@when(
    r'"([^"]+)" is evacuated while (\d+) requests for "([^"]+)" are in flight'
)
def evacuate_with_requests_in_flight(context, zone, count, path):
    harness = gateway_steps.get(context)

    async def ask():
        tasks = [
            asyncio.create_task(
                harness.ask(
                    gateway_bench.make_raw(f'under-way-{number}', path)
                )
            )
            for number in range(int(count))
        ]
        await asyncio.sleep(0.02)
        evacuate(context, zone)
        context.evacuated_at = asyncio.get_running_loop().time()
        await asyncio.gather(*tasks)

    run(context, ask())


@then(r'nothing reached "([^"]+)" after the evacuation')
def check_after(context, upstream):
    model = gateway_steps.get(context).upstreams[upstream]
    late_ids = [
        request_id
        for at, request_id in model.timed_arrivals
        if at > context.evacuated_at + 0.05
    ]
    assert model.timed_arrivals and not late_ids, model.timed_arrivals


@then(r'"([^"]+)" ran at least (\d+) of them')
def check_ran(context, upstream, minimum):
    model = gateway_steps.get(context).upstreams[upstream]
    assert len(model.runs) >= int(minimum), model.runs


def change_entry(context, upstream, **fields):
    """Write an upstream's entry with some fields changed."""
    source = gateway_steps.get(context).source
    entry = source.endpoints[upstream]
    source.set_endpoint(dataclasses.replace(entry, **fields))


@when(r'"([^"]+)" restarts at another address')
def restart_upstream(context, upstream):
    harness = gateway_steps.get(context)
    model = harness.upstreams[upstream]
    before = harness.source.endpoints[upstream]
    address = ('10.2.0.1', 9000)

    async def restart():
        await model.stop()
        await model.start(*address)

    run(context, restart())
    harness.source.set_endpoint(
        dataclasses.replace(
            before,
            address=address,
            born=before.born + 1000,
            sequence=1,
            phase=gateway.Phase.READY,
        )
    )


@when(r'"([^"]+)" (drains|is ready) with sequence (\d+)')
def write_phase(context, upstream, what, sequence):
    harness = gateway_steps.get(context)
    source = harness.source
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
    r'a cold upstream of "([^"]+)" warms up in (\d+) seconds and accepts '
    r'(\d+) requests a second'
)
def set_warmup(context, service, seconds, rate):
    harness = gateway_steps.get(context)
    name = gateway.ServiceName(service)
    harness.services[name] = dataclasses.replace(
        harness.services[name],
        warmup_s=float(seconds),
        warmup_per_s=float(rate),
    )
    harness.publish()


@when(r'"([^"]+)" becomes cold for (\d+) seconds')
def become_cold(context, upstream, seconds):
    change_entry(context, upstream, warmup_left_s=float(seconds), sequence=2)


@when(
    r'every gateway is sent (\d+) requests a second for "([^"]+)" for (\d+) '
    r'seconds?'
)
def ask_at_rate(context, rate, path, seconds):
    context.asked_at = context.loop.time()

    async def ask(name, number):
        raw = gateway_bench.make_raw(f'{name}-at-rate-{number}', path)
        return await context.fleet.ask(name, raw)

    async def load():
        tasks = []
        for number in range(int(rate) * int(seconds)):
            for name in context.fleet.members:
                tasks.append(asyncio.create_task(ask(name, number)))
            await asyncio.sleep(1.0 / float(rate))
        return await asyncio.gather(*tasks)

    context.fleet_replies = run(context, load())


@then(r'every answer was 200')
def check_all_answered(context):
    statuses = {reply.status for reply in context.fleet_replies}
    assert statuses == {200}, statuses


def list_arrival_times(context, upstream):
    """Return when requests reached an upstream, in s since the load began."""
    model = gateway_steps.get(context).upstreams[upstream]
    return [
        at - context.asked_at
        for at, _ in model.timed_arrivals
        if at >= context.asked_at
    ]


@then(
    r'"([^"]+)" got at most (\d+) requests in any second of the first '
    r'([\d.]+) seconds'
)
def check_cold_rate(context, upstream, maximum, seconds):
    times = [
        at
        for at in list_arrival_times(context, upstream)
        if at < float(seconds)
    ]
    for start in times:
        within = sum(start <= at < start + 1.0 for at in times)
        assert within <= int(maximum), (start, within, times)


@then(r'"([^"]+)" got at least (\d+) requests? in the first ([\d.]+) seconds')
def check_arrival_count(context, upstream, minimum, seconds):
    times = list_arrival_times(context, upstream)
    found = sum(at < float(seconds) for at in times)
    assert found >= int(minimum), times


@then(r'"([^"]+)" got most requests of the last 0.5 seconds')
def check_recovered(context, upstream):
    times = list_arrival_times(context, upstream)
    hosts = len(context.fleet.members)
    found = sum(at > 2.5 for at in times)
    assert found > 0.5 * hosts * 5, (found, hosts)


def make_random_entry(rng, upstream):
    """Return a random entry of an upstream."""
    return gateway.Endpoint(
        upstream=core.UpstreamId(upstream),
        service=_SERVICE,
        address=('10.1.0.1', 9000),
        zone=core.ZoneId('north-1'),
        slots=2,
        phase=rng.choice(list(gateway.Phase)),
        born=rng.randrange(3),
        sequence=rng.randrange(6),
    )


@then(
    r'(\d+) random sequences of entries, applied in any order and with '
    r'repeats, give the same upstreams'
)
def check_entries(context, runs):
    for seed in range(int(runs)):
        rng = random.Random(seed)
        written = {}
        for _ in range(6):
            entry = make_random_entry(rng, 'u1')
            written.setdefault(entry.incarnation_order, entry)
        expected = written[max(written)]
        found = merge_entries(rng, list(written.values()))
        assert found == expected, (seed, found, expected)


def merge_entries(rng, entries):
    """Return the entry in a directory after applying entries in any order.

    Some entries are applied repeatedly, and empty changes in between.
    """
    clock = state.Clock(asyncio.new_event_loop())
    directory = gateway.Directory(clock)
    applied = entries + rng.choices(entries, k=4)
    rng.shuffle(applied)
    for number, entry in enumerate(applied, 1):
        stamp = gateway.ReadingStamp('p1', number, float(number))
        read = gateway.Position(0, number)
        directory.apply_reading([entry], read, stamp)
        if rng.random() < 0.3:
            directory.apply_changes([], [], read, stamp)
    return directory.get_endpoint(core.UpstreamId('u1'))


class NullLog:
    """An event log that discards all lines."""

    def record(self, kind, **fields):
        """Discard one line."""


@then(
    r'(\d+) random sequences of snapshots of evacuations, applied in any '
    r'order and with repeats, give the same zones'
)
def check_snapshots(context, runs):
    zones = [core.ZoneId(f'z{number}') for number in range(3)]
    for seed in range(int(runs)):
        rng = random.Random(seed)
        snapshots = [
            gateway.Evacuations(
                gateway.Position(0, revision),
                dict.fromkeys(rng.sample(zones, rng.randrange(3)), revision),
            )
            for revision in range(5)
        ]
        applied = snapshots + rng.choices(snapshots, k=4)
        rng.shuffle(applied)
        clock = state.Clock(context.loop)
        holder = gateway.EvacuationHolder(zones, clock, NullLog())
        notified = []
        holder.add_listener(notified.append)
        for each in applied:
            holder.apply(each, 'test')
        assert holder.current == snapshots[-1], (seed, holder.current)
        positions = [each.position for each in notified]
        assert positions == sorted(positions), positions
        assert all(
            earlier.zones != later.zones
            for earlier, later in itertools.pairwise(notified)
        )
