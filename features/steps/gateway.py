"""Steps for a gateway over virtual connections."""

import asyncio
import re

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps.common import run
from rudderrock import gateway
from rudderrock import standins

use_step_matcher('re')

NORTH = 'north-1'
SOUTH = 'south-1'
_SECONDS = r'([\d.]+) seconds?'


def get(context) -> gateway_bench.GatewayHarness:
    """Return the scenario's gateway harness; the first call creates it."""
    if not hasattr(context, 'gateway'):
        context.gateway = gateway_bench.GatewayHarness(context.stack)
        context.count = 0
        context.reply = None
        context.request_id = ''
        context.shards = []
    return context.gateway


def next_id(context) -> str:
    """Return an unused request id, and store it for later steps."""
    context.count += 1
    context.request_id = f'q{context.count}'
    return context.request_id


@given(r'an upstream "([^"]+)" of "([^"]+)"')
def add_upstream(context, upstream, service):
    harness = get(context)
    run(context, harness.add_upstream(upstream, service, records=b'r' * 32))


@given(r'an upstream "([^"]+)" of "([^"]+)" in "([^"]+)"')
def add_upstream_in(context, upstream, service, zone):
    harness = get(context)
    run(
        context,
        harness.add_upstream(upstream, service, zone=zone, records=b'r' * 32),
    )


@given(r'an upstream "([^"]+)" of "([^"]+)" that works for ' + _SECONDS)
def add_slow_upstream(context, upstream, service, seconds):
    harness = get(context)
    run(
        context,
        harness.add_upstream(upstream, service, work_s=float(seconds)),
    )


def add_shards(context, count, replicas=1, first=0, **shape):
    """Add shards, and return their names.

    The first replica of each shard is in zone `NORTH`, which is near to the
    gateway, and the others are in `SOUTH`.
    """
    harness = get(context)
    names = []
    for number in range(first, first + count):
        name = f'shard-{number}'
        names.append(name)
        for replica in range(replicas):
            zone = SOUTH if replica else NORTH
            run(
                context,
                harness.add_upstream(
                    f'{name}-{replica}', name, zone=zone, **shape
                ),
            )
    return names


@given(r'(\d+) shards?')
def add_plain_shards(context, count):
    get(context)
    context.shards += add_shards(context, int(count))


@given(r'(\d+) shards? of (\d+) replicas')
def add_replicated_shards(context, count, replicas):
    get(context)
    context.shards += add_shards(context, int(count), int(replicas))


@given(r'(\d+) shards? that work for ' + _SECONDS)
def add_slow_shards(context, count, seconds):
    get(context)
    context.shards += add_shards(context, int(count), work_s=float(seconds))


@given(r'(\d+) shards? of (\d+) replicas that work for ' + _SECONDS)
def add_slow_replicated_shards(context, count, replicas, seconds):
    get(context)
    context.shards += add_shards(
        context, int(count), int(replicas), work_s=float(seconds)
    )


@given(r'(\d+) shards with (\d+) slots that work for ' + _SECONDS)
def add_shards_with_slots(context, count, slots, seconds):
    get(context)
    context.shard_rate = int(slots) / float(seconds)
    context.shards += add_shards(
        context, int(count), work_s=float(seconds), slots=int(slots)
    )


@given(r'the route "([^"]+)" to all shards with priority (\d+)')
def add_scatter_with_priority(context, prefix, priority):
    add_scatter(context, prefix, least=0.9, priority=int(priority))


@when(
    r'both routes get requests for (\d+) seconds, together (\d+) times the '
    r'capacity of the shards'
)
def send_overload(context, seconds, times):
    harness = get(context)
    rate = context.shard_rate * int(times) / 2
    context.seconds = float(seconds)

    async def send_requests(path):
        tasks = []
        for number in range(round(rate * context.seconds)):
            raw = gateway_bench.make_raw(f'{path[1]}{number}', path)
            tasks.append(asyncio.create_task(harness.ask(raw)))
            await asyncio.sleep(1.0 / rate)
        return await asyncio.gather(*tasks)

    async def send_both():
        return await asyncio.gather(
            send_requests('/urgent/1'), send_requests('/other/1')
        )

    context.urgent, context.other = run(context, send_both())


@then(
    r'replies with status 200 within 0.2 seconds reach at least ([\d.]+) of '
    r'the capacity of the shards'
)
def check_timely_replies(context, fraction):
    timely = [
        each
        for each in (*context.urgent, *context.other)
        if each.status == 200 and each.elapsed <= 0.2
    ]
    capacity = context.shard_rate * context.seconds
    assert len(timely) >= float(fraction) * capacity, (len(timely), capacity)


@then(r'urgent requests are answered more often than the others')
def check_priority(context):
    answered_counts = [
        sum(each.status == 200 for each in replies)
        for replies in (context.urgent, context.other)
    ]
    assert answered_counts[0] > 1.2 * answered_counts[1], answered_counts


@then(r'refused requests have not run and got a Retry-After header at once')
def check_refusals(context):
    harness = get(context)
    ran = {
        request_id
        for model in harness.upstreams.values()
        for request_id in model.arrivals
    }
    count = 0
    for letter, replies in (('u', context.urgent), ('o', context.other)):
        for number, reply in enumerate(replies):
            if reply.status == 503:
                count += 1
                assert f'{letter}{number}' not in ran, number
                assert float(reply.headers['retry-after']) > 0
                assert reply.elapsed < 0.01, reply
    assert count > 100, count


@given(r'1 shard that accepts (\d+) connections')
def add_shard_with_connections(context, count):
    harness = get(context)
    harness.allow_connections('shard-0', int(count))
    context.shards += add_shards(context, 1)


@given(r'shards with the records (.+)')
def add_shards_with_records(context, listed_records):
    get(context)
    words = re.findall(r'"([^"]+)"', listed_records)
    for number, word in enumerate(words):
        records = b''.join(letter.encode() * 16 for letter in word)
        context.shards += add_shards(context, 1, first=number, records=records)


@given(r'a shard that sends half a record')
def add_shard_with_partial_record(context):
    context.shards += add_shards(
        context, 1, first=len(context.shards), records=b'z' * 8
    )


@given(r'the route "([^"]+)" to "([^"]+)"')
def add_route(context, prefix, service):
    get(context).add_route(prefix, gateway.Single(service))


@given(r'the route "([^"]+)" to "([^"]+)" that runs once')
def add_once_route(context, prefix, service):
    get(context).add_route(
        prefix, gateway.Single(service), repeat=gateway.Repeat.ONCE
    )


@given(r'the route "([^"]+)" to "([^"]+)" with a timeout of ' + _SECONDS)
def add_route_with_timeout(context, prefix, service, seconds):
    get(context).add_route(
        prefix, gateway.Single(service), timeout_s=float(seconds)
    )


@given(
    r'the route "([^"]+)" to "([^"]+)" with a timeout of '
    + _SECONDS
    + ' that runs once'
)
def add_once_route_with_timeout(context, prefix, service, seconds):
    get(context).add_route(
        prefix,
        gateway.Single(service),
        timeout_s=float(seconds),
        repeat=gateway.Repeat.ONCE,
    )


@given(
    r'the route "([^"]+)" split (\d+) to (\d+) over "([^"]+)" and "([^"]+)"'
)
def add_split(context, prefix, left, right, first, second):
    shares = (
        gateway.Share(first, float(left)),
        gateway.Share(second, float(right)),
    )
    get(context).add_route(prefix, gateway.Split(shares))


def add_scatter(context, prefix, top_k=5, least=0.5, **fields):
    """Add a route to all shards of the scenario."""
    target = gateway.Scatter(tuple(context.shards), top_k, least)
    get(context).add_route(prefix, target, **fields)


@given(r'the route "([^"]+)" to all shards')
def add_scatter_plain(context, prefix):
    add_scatter(context, prefix)


@given(r'the route "([^"]+)" to all shards with a timeout of ' + _SECONDS)
def add_scatter_timed(context, prefix, seconds):
    add_scatter(context, prefix, timeout_s=float(seconds))


@given(r'the route "([^"]+)" to all shards for the greatest (\d+) records')
def add_scatter_top(context, prefix, top_k):
    add_scatter(context, prefix, top_k=int(top_k))


@given(r'the route "([^"]+)" to all shards, at least ([\d.]+) of them')
def add_scatter_least(context, prefix, least):
    add_scatter(context, prefix, least=float(least))


@given(
    r'callers may send (\d+) bytes of headers and (\d+) of body, '
    r'the headers within 1 second'
)
def set_limits(context, head, body):
    get(context).limits = gateway.IntakeLimits(
        max_header_bytes=int(head),
        max_body_bytes=int(body),
        header_timeout_s=1.0,
    )


@step(r'"([^"]+)" is (\w+(?: cut)?)')
def set_conduct(context, upstream, conduct):
    bench = get(context)
    if conduct == 'restarted':
        restart(context, upstream)
        return
    bench.upstreams[upstream].fault_mode = standins.FaultMode(conduct)


@given(r'"([^"]+)" replies to every request twice, the second time late')
def set_doubling(context, upstream):
    set_conduct(context, upstream, 'doubling')


@given(r'"([^"]+)" rejects every first attempt twice, the second time late')
def set_repeated_rejections(context, upstream):
    set_conduct(context, upstream, 'rejecting twice')


@given(
    r'"([^"]+)" rejects every second request twice with status (\d+), without '
    r'its id'
)
def set_anonymous_rejections(context, upstream, status):
    set_conduct(context, upstream, 'rejecting without an id')
    get(context).upstreams[upstream].rejection_status = int(status)


@given(r'"([^"]+)" runs every request and then fails with status (\d+)')
def set_failure_status(context, upstream, status):
    set_conduct(context, upstream, 'failing')
    get(context).upstreams[upstream].failure_status = int(status)


@given(r'every upstream of shard (\d+) is (\w+)')
def set_shard_conduct(context, number, conduct):
    for name, model in get(context).upstreams.items():
        if name.startswith(f'shard-{number}-'):
            model.fault_mode = standins.FaultMode(conduct)


@given(r'the near upstream of shard (\d+) is (\w+)')
def set_near_conduct(context, number, conduct):
    set_conduct(context, f'shard-{number}-0', conduct)


@given(r'every upstream is (\w+)')
def set_all_conduct(context, conduct):
    for model in get(context).upstreams.values():
        model.fault_mode = standins.FaultMode(conduct)


def restart(context, upstream):
    """Close all connections of an upstream and listen again."""
    harness = get(context)
    model = harness.upstreams[upstream]
    address = harness.source.endpoints[upstream].address

    async def stop_and_start():
        await model.stop()
        await model.start(*address)

    run(context, stop_and_start())


@given(r'a gateway')
def start_gateway(context):
    harness = get(context)
    if harness.routes:
        harness.publish()
    run(context, harness.start())


@given(r'a gateway with a slack of (\d+) extra requests')
def start_gateway_slack(context, slack):
    harness = get(context)
    harness.publish()
    run(context, harness.start(extra_slack=float(slack)))


@when(r'the route "([^"]+)" is moved to "([^"]+)"')
def move_route(context, prefix, service):
    harness = get(context)
    context.old_table = harness.source.table
    harness.add_route(prefix, gateway.Single(service))
    harness.publish()


@when(r'the source returns the previous table again')
def set_old_table(context):
    get(context).source.set_table(context.old_table)


@when(r'the source sends no events to its watches')
def drop_watch_events(context):
    get(context).source.drops_watch_events = True


@when(r'the source compacts its history and ends its watches')
def drop_history(context):
    source = get(context).source
    source.drop_history()
    source.drops_watch_events = False


@when(r'the source is (down|back)')
def switch_source(context, state):
    get(context).source.is_down = state == 'down'


@when(r'the entry of "([^"]+)" lapses')
def remove_entry(context, upstream):
    get(context).source.remove_endpoint(upstream)


@when(r'"([^"]+)" says that it drains')
def drain_upstream(context, upstream):
    harness = get(context)
    entry = harness.source.endpoints[upstream]
    harness.register(
        upstream,
        entry.service,
        entry.zone,
        entry.address,
        gateway.Phase.DRAINING,
    )


@when(r'the address of "([^"]+)" is taken over by "([^"]+)" of "([^"]+)"')
def take_over(context, upstream, other, service):
    harness = get(context)
    model = harness.upstreams[upstream]
    model.upstream = other
    model.cut_connections()


@when(r'"([^"]+)" drains and its entry is removed while it works on a request')
def drain_during_request(context, upstream):
    harness = get(context)
    raw = gateway_bench.make_raw(
        next_id(context), '/notes/1', method='POST', deadline_ms=9000
    )

    async def drain():
        request_task = asyncio.create_task(harness.ask(raw))
        await asyncio.sleep(0.2)
        drain_upstream(context, upstream)
        await asyncio.sleep(1.3)
        harness.source.remove_endpoint(upstream)
        return await request_task

    context.reply = run(context, drain())


@when(r'the gateway is asked to stop')
def request_stop(context):
    context.stopped_at = context.loop.time()
    get(context).process.stop()
    run(context, asyncio.sleep(0))


@when(r'the gateway is asked to stop during a POST "([^"]+)"')
def stop_during_request(context, path):
    harness = get(context)
    raw = gateway_bench.make_raw(
        next_id(context), path, method='POST', deadline_ms=9000
    )

    async def stop():
        request_task = asyncio.create_task(harness.ask(raw))
        await asyncio.sleep(0.1)
        context.stopped_at = context.loop.time()
        harness.process.stop()
        return await request_task

    context.reply = run(context, stop())


@when(r'the gateway is stopped while callers send on open connections')
def stop_under_load(context):
    harness = get(context)
    context.interrupted = []
    context.served = 0

    async def call(number):
        """Send requests on one connection until it ends, then open another.

        Returns when no connection can be opened.
        """
        while True:
            try:
                caller = await harness.connect()
            except ConnectionError:
                return
            while True:
                request_id = f'c{number}-{next_id(context)}'
                raw = gateway_bench.make_raw(request_id, '/notes/1')
                try:
                    await caller.send(raw)
                except ConnectionError:
                    break
                reply = await caller.read()
                if reply.status == 200:
                    context.served += 1
                elif harness.list_runs(request_id):
                    context.interrupted.append(request_id)
                if reply.closed or 'connection' in reply.headers:
                    break
                await asyncio.sleep(0.05)
            caller.leave()

    async def stop():
        callers = [asyncio.create_task(call(number)) for number in range(8)]
        await asyncio.sleep(0.5)
        context.stopped_at = context.loop.time()
        harness.process.stop()
        await asyncio.gather(*callers)

    run(context, stop())
