"""Steps on wide queries that hosts delegate to coordinators."""

import asyncio
import collections
import dataclasses

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway

use_step_matcher('re')

_FAST_CAPACITY = 200.0
_SLOW_CAPACITY = 10.0
_SECONDS = r'([\d.]+) seconds?'


def start(context, count, shards, fast, **shape):
    """Start shards, and gateways in one zone, `fast` with a fast link."""
    gateway_steps.get(context)
    context.shards += gateway_steps.add_shards(context, shards, **shape)
    capacities = [_FAST_CAPACITY] * fast + [_SLOW_CAPACITY] * (count - fast)
    start_gateways(context, ['north-1'] * count, capacities=capacities)
    context.fast = list(context.fleet.members)[:fast]
    context.answers = []


def start_gateways(context, zones, goal_s=0.5, **options):
    """Start gateways for the existing shards and wait for their discovery."""
    harness = gateway_steps.get(context)
    gateway_steps.add_scatter(
        context, '/all/', least=0.9, timeout_s=6.0, goal_s=goal_s
    )
    harness.publish()
    context.fleet = gateway_bench.FleetHarness(harness, context.stack)
    run(context, context.fleet.start(zones, **options))
    run(context, asyncio.sleep(6.0))


@given(
    r'(\d+) gateways in front of (\d+) shards, (\d+) of the gateways with a '
    r'fast link'
)
def start_plain(context, count, shards, fast):
    start(context, int(count), int(shards), int(fast))


@given(
    r'(\d+) gateways in front of (\d+) shards that take '
    + _SECONDS
    + r' per request, (\d+) of the gateways with a fast link'
)
def start_slow(context, count, shards, seconds, fast):
    start(context, int(count), int(shards), int(fast), work_s=float(seconds))


async def query_gateway(context, name):
    """Send one gateway a query; return its name, the request id and reply."""
    request_id = f'{name}-{gateway_steps.next_id(context)}'
    raw = gateway_bench.make_raw(request_id, '/all/1', deadline_ms=5000)
    return name, request_id, await context.fleet.ask(name, raw)


def query_gateways(context, names):
    """Send a query to each gateway at once."""
    context.asked_at = context.loop.time()

    async def gather():
        return await asyncio.gather(
            *(query_gateway(context, name) for name in names)
        )

    context.answers = run(context, gather())
    context.elapsed_s = context.loop.time() - context.asked_at


@when(r'every gateway is asked for all shards')
def query_every_gateway(context):
    query_gateways(context, list(context.fleet.members))


@when(r'every gateway is asked for all shards (\d+) times')
def query_repeatedly(context, times):
    found = []
    for _ in range(int(times)):
        query_every_gateway(context)
        found += context.answers
    context.answers = found


@then(r'some gateways have lost queries, none more than (\d+)')
def check_lost_limit(context, maximum):
    lost = collections.Counter(
        name for name, _, reply in context.answers if reply.status != 200
    )
    assert lost, 'no query was lost: the hanging gateway got none'
    assert max(lost.values()) <= int(maximum), lost


@when(r'every gateway but that one is asked for all shards')
def query_other_gateways(context):
    names = [
        each for each in context.fleet.members if each != context.outdated
    ]
    query_gateways(context, names)


@when(r'one gateway with a fast link is killed')
def kill_one(context):
    run(context, context.fleet.kill(context.fast[0]))


@when(r'both gateways with a fast link are killed')
def kill_both(context):
    for name in context.fast:
        run(context, context.fleet.kill(name))


@when(r'one gateway with a fast link stops answering its peers')
def hang_one(context):
    context.fleet.members[context.fast[0]].hang_peer_requests()


@when(
    r'one gateway with a fast link is stopped while it runs queries for others'
)
def stop_while_running(context):
    slow = [each for each in context.fleet.members if each not in context.fast]

    async def stop():
        tasks = []
        for round_number in range(20):
            tasks += [
                asyncio.create_task(query_gateway(context, name))
                for name in slow
            ]
            if round_number == 5:
                context.fleet.members[context.fast[0]].process.stop()
            await asyncio.sleep(0.05)
        return await asyncio.gather(*tasks)

    context.answers = run(context, stop())


@when(r'one gateway with a fast link keeps an older table')
def keep_outdated_table(context):
    context.outdated = context.fast[0]
    member = context.fleet.members[context.outdated]
    member.process.tables.apply_reading = lambda reading, origin: None


@when(r'the gateways of the other zone keep an older table')
def keep_outdated_tables_in_zone(context):
    for member in list(context.fleet.members.values())[3:]:
        member.process.tables.apply_reading = lambda reading, origin: None


@when(r'the timeout of "([^"]+)" changes')
def change_timeout(context, prefix):
    harness = gateway_steps.get(context)
    target = gateway.Single(gateway.ServiceName(context.shards[0]))
    harness.add_route(prefix, target, timeout_s=2.0)
    harness.publish()
    run(context, asyncio.sleep(0.5))


def publish_all_route(context, **fields):
    """Publish the route to all shards with some fields changed."""
    harness = gateway_steps.get(context)
    (route,) = (each for each in harness.routes if each.prefix == '/all/')
    harness.routes = [dataclasses.replace(route, **fields)]
    harness.publish()
    run(context, asyncio.sleep(0.5))


@when(r'the route "/all/" asks for the greatest (\d+)')
def raise_top_k(context, top_k):
    target = gateway.Scatter(tuple(context.shards), int(top_k), 0.9)
    publish_all_route(context, target=target)


@when(r'the route "/all/" may be handled in "([^"]+)"')
def restrict_all_route(context, region):
    within = gateway.Within(frozenset({gateway.RegionId(region)}))
    publish_all_route(context, residency=within)


@when(r'the route "/all/" allows (\d+) attempt')
def allow_attempts(context, count):
    publish_all_route(context, max_attempts=int(count))


@then(r'that gateway sent nothing to the shards')
def check_outdated_unused(context):
    sent = context.fleet.members[
        context.outdated
    ].gateway.counters.first_attempts
    assert sent == 0, sent


@when(r'the shards are replaced by (\d+) others')
def replace_shards(context, count):
    first = len(context.shards)
    context.shards = gateway_steps.add_shards(context, int(count), first=first)
    run(context, asyncio.sleep(2.5))
    gateway_steps.add_scatter(
        context, '/all/', least=0.9, timeout_s=6.0, goal_s=0.5
    )
    gateway_steps.get(context).publish()
    run(context, asyncio.sleep(0.5))


@when(r'a caller of a gateway with a slow link disconnects after ' + _SECONDS)
def disconnect_caller(context, seconds):
    name = list(context.fleet.members)[-1]
    raw = gateway_bench.make_raw('gone', '/all/1', deadline_ms=5000)

    async def execute():
        caller = await context.fleet.connect(name)
        await caller.send(raw)
        await asyncio.sleep(float(seconds))
        caller.leave()

    run(context, execute())


@when(
    r'a gateway with a slow link is sent (\d+) queries a second for (\d+) '
    r'seconds'
)
def send_queries(context, rate, seconds):
    name = list(context.fleet.members)[-1]
    query_in_turn(context, [name], int(rate), int(seconds))


def query_in_turn(context, names, rate, seconds):
    """Query gateways in turn at a steady rate, without waiting for replies."""

    async def execute():
        tasks = []
        for number in range(round(rate * seconds)):
            name = names[number % len(names)]
            tasks.append(asyncio.create_task(query_gateway(context, name)))
            await asyncio.sleep(1.0 / rate)
        return await asyncio.gather(*tasks)

    context.answers = run(context, execute())


@then(r'every answer is complete')
def check_complete(context):
    for name, request_id, reply in context.answers:
        assert reply.status == 200, (name, request_id, reply)
        stamps = reply.headers['rudderrock-part-stamps'].split(', ')
        expected = {f'{shard}-0.{request_id}' for shard in context.shards}
        assert set(stamps) == expected, (name, stamps)


@then(r'every answer covers the (\d+) new shards')
def check_new_shards(context, count):
    assert len(context.shards) == int(count)
    check_complete(context)


@then(r'only the (\d+) gateways with a fast link sent requests to the shards')
def check_fast_sent(context, count):
    sent = list_senders(context)
    assert sent == set(context.fast), sent
    assert len(sent) == int(count)


@then(r'(?:only|all) (\d+) gateways sent requests to the shards')
def check_sent(context, count):
    assert len(list_senders(context)) == int(count)


def list_senders(context):
    """Return the names of the gateways that sent requests to shards."""
    return {
        name
        for name, member in context.fleet.members.items()
        if member.gateway.counters.first_attempts
    }


@then(r'no shard got a request twice')
def check_no_repeat(context):
    for model in gateway_steps.get(context).upstreams.values():
        counts = collections.Counter(model.arrivals)
        assert max(counts.values()) == 1, counts


@then(r'shard (\d+) got at most ([\d.]+) extra requests per query plus (\d+)')
def check_extra(context, number, ratio, slack):
    model = gateway_steps.get(context).upstreams[f'shard-{number}-0']
    counts = collections.Counter(model.arrivals)
    extra = sum(count - 1 for count in counts.values())
    maximum = float(ratio) * len(context.answers) + int(slack)
    assert extra <= maximum, extra


@then(r'the log has two lines for each delegated query')
def check_two_lines(context):
    lines = gateway_checks.list_lines(context, 'request')
    by_id = collections.Counter(line['request_id'] for line in lines)
    for name, request_id, _ in context.answers:
        expected = 1 if name in context.fast else 2
        assert by_id[request_id] == expected, (name, by_id)
    delegated = [line for line in lines if line['detail'].startswith('by ')]
    assert len(delegated) == 4, delegated
    assert gateway.LogKind.REQUEST.value == delegated[0]['kind']


def start_zones(context, count, shards, others, zone='north-2', replicas=1):
    """Start `count` gateways in each of two zones, and shards.

    The first `others` shards are in `zone`, the rest in "north-1".
    """
    harness = gateway_steps.get(context)
    for number in range(shards):
        name = f'shard-{number}'
        context.shards.append(name)
        for replica in range(replicas):
            run(
                context,
                harness.add_upstream(
                    f'{name}-{replica}',
                    name,
                    zone=zone if number < others else 'north-1',
                    records=b'%016d' % (number * 7919 % 1000),
                ),
            )
    start_gateways(context, ['north-1'] * count + [zone] * count)


@given(
    r'(\d+) gateways in each of two zones of a region in front of (\d+) '
    r'shards, half of them in each zone'
)
def start_with_half_in_each_zone(context, count, shards):
    start_zones(context, int(count), int(shards), int(shards) // 2)


@given(
    r'(\d+) gateways in each of two zones of a region in front of (\d+) '
    r'shards, (\d+) of them in the other zone'
)
def start_with_some_in_other_zone(context, count, shards, others):
    start_zones(context, int(count), int(shards), int(others))


@when(r'the gateways of the other zone are killed')
def kill_zone(context):
    for name in list(context.fleet.members)[3:]:
        run(context, context.fleet.kill(name))


@when(r'every gateway of the first zone is asked for all shards')
def query_first_zone(context):
    query_gateways(context, list(context.fleet.members)[:3])


@then(r'every answer is complete and has the greatest records')
def check_merged(context):
    check_complete(context)
    upstreams = gateway_steps.get(context).upstreams.values()
    parts = [model.records for model in upstreams]
    expected = gateway.merge_records(parts, 5)
    for _, _, reply in context.answers:
        assert reply.body == expected, reply


@then(r'shards of each zone got requests only from gateways of their own zone')
def check_own_zone(context):
    check_own_zone_times(context, 6 * 30)


@then(
    r'shards of each zone got (\d+) requests, all from gateways of their own '
    r'zone'
)
def check_own_zone_times(context, times):
    members = list(context.fleet.members.values())
    first = sum(each.gateway.counters.first_attempts for each in members[:3])
    other = sum(each.gateway.counters.first_attempts for each in members[3:])
    assert first == other == int(times), (first, other)
    check_no_repeat(context)


@then(r'every answer reports 1 missing shard of (\d+)')
def check_one_missing(context, count):
    for _, _, reply in context.answers:
        assert reply.status == 200, reply
        assert reply.headers['rudderrock-missing-parts'] == '1', reply
        stamps = reply.headers['rudderrock-part-stamps'].split(', ')
        assert len(set(stamps)) == int(count) - 1, stamps


@then(r'no gateway of the other zone sent requests to the shards')
def check_other_zone_unused(context):
    for member in list(context.fleet.members.values())[3:]:
        assert not member.gateway.counters.first_attempts


@given(
    r'(\d+) (more )?shards? of the other zone and (\d+) of the first zone '
    r'reply after ' + _SECONDS
)
def slow_down_shards(context, others, from_end, first, seconds):
    upstreams = gateway_steps.get(context).upstreams
    half = len(context.shards) // 2
    # A second group is taken from the end, so that it does not overlap with
    # the first.
    start = half - int(others) if from_end else 0
    slow = list(range(start, start + int(others)))
    slow += range(half, half + int(first))
    for number in slow:
        upstreams[f'shard-{number}-0'].work_s = float(seconds)


@then(
    r'every answer takes at least ([\d.]+) seconds and covers at least a '
    r'fraction of ([\d.]+)'
)
def check_waited(context, seconds, minimum):
    for _, _, reply in context.answers:
        assert reply.status == 200, reply
        missing = int(reply.headers['rudderrock-missing-parts'])
        covered = 1 - missing / len(context.shards)
        assert covered >= float(minimum) - 1e-9, reply
    elapsed_s = context.loop.time() - context.asked_at
    assert elapsed_s >= float(seconds) - 0.001, elapsed_s


@then(r'it took less than ([\d.]+) seconds in total')
def check_elapsed(context, seconds):
    assert context.elapsed_s < float(seconds), context.elapsed_s


@given(
    r'(\d+) gateways in each of two regions in front of (\d+) shards, (\d+) '
    r'of them in the other region'
)
def start_regions(context, count, shards, others):
    start_zones(context, int(count), int(shards), int(others), zone='south-1')


@given(
    r'(\d+) gateways in each of two regions in front of (\d+) shards of (\d+) '
    r'replicas, (\d+) of them in the other region'
)
def start_replicated(context, count, shards, replicas, others):
    start_zones(
        context,
        int(count),
        int(shards),
        int(others),
        zone='south-1',
        replicas=int(replicas),
    )


def list_other_members(context):
    """Return the gateways of the second zone."""
    return list(context.fleet.members.values())[3:]


@when(r'the gateways of the other region are frozen')
def freeze_region(context):
    for member in list_other_members(context):
        run(context, member.simulate_freeze())


@when(r'one gateway with a fast link is frozen')
def freeze_one(context):
    run(context, context.fleet.members[context.fast[0]].simulate_freeze())


@when(
    r'the connections to the gateways of the other region are cut while the '
    r'first zone is asked for all shards'
)
def cut_region(context):
    async def cut():
        await asyncio.sleep(0.005)
        for member in list_other_members(context):
            member.abort_peer_connections()

    task = context.loop.create_task(cut())
    query_first_zone(context)
    run(context, task)


@then(r'the shards of the other region got requests only from its gateways')
def check_region_sent(context):
    members = list(context.fleet.members.values())
    first = sum(each.gateway.counters.first_attempts for each in members[:3])
    other = sum(each.gateway.counters.first_attempts for each in members[3:])
    assert (first, other) == (3 * 13, 3 * 7), (first, other)
    check_no_repeat(context)


@then(r'no shard got a request more than (\d+) times?')
def check_request_limit(context, maximum):
    for model in gateway_steps.get(context).upstreams.values():
        counts = collections.Counter(model.arrivals)
        assert max(counts.values(), default=0) <= int(maximum), counts


@then(r'every answer is (\d+)')
def check_status(context, status):
    for _, _, reply in context.answers:
        assert reply.status == int(status), reply


@when(r'the gateways of the other region stop reading from open connections')
def stop_reading_in_region(context):
    for member in list_other_members(context):
        member.discard_peer_data()


@given(
    r'(\d+) gateways in front of (\d+) shards of (\d+) replicas, (\d+) of the '
    r'gateways with a fast link'
)
def start_fast_replicated(context, count, shards, replicas, fast):
    start(context, int(count), int(shards), int(fast), replicas=int(replicas))


@when(
    r'a gateway with a slow link is asked for all shards until a query is '
    r'delegated to the frozen one'
)
def query_until_frozen(context):
    name = list(context.fleet.members)[-1]
    for _ in range(20):
        query_gateways(context, [name])
        if context.answers[0][2].status != 200:
            return


@then(r'that query is lost')
def check_lost(context):
    assert context.answers[0][2].status == 502, context.answers


@when(r'the round trip to the other region is measured as ' + _SECONDS)
def set_round_trip(context, seconds):
    for member in list(context.fleet.members.values())[:3]:
        for peer in member.gateway.delegation.list_clients():
            peer.round_trip_s = float(seconds)


@then(r'the gateways of the other region sent requests to the shards')
def check_other_region_used(context):
    assert any(
        each.gateway.counters.first_attempts
        for each in list_other_members(context)
    )


def send_raw_query(context, **shape):
    """Send the first gateway a query of the given shape and keep its body."""
    name = next(iter(context.fleet.members))
    raw = gateway_bench.make_raw('raw', '/all/1', deadline_ms=5000, **shape)
    reply = run(context, context.fleet.ask(name, raw))
    assert reply.status == 200, reply
    context.body = shape.get('body', b'')


@when(
    r'a gateway of the first zone is asked for all shards by POST with a '
    r'body of (\d+) bytes'
)
def query_with_body(context, size):
    harness = gateway_steps.get(context)
    harness.limits = gateway.IntakeLimits(max_body_bytes=int(size))
    harness.publish()
    run(context, asyncio.sleep(3.0))
    send_raw_query(context, method='POST', body=b'x' * int(size))


@when(
    r'a gateway of the first zone is asked for all shards with a head of '
    r'(\d+) bytes'
)
def query_with_head(context, size):
    send_raw_query(context, extra=f'X-Long: {"x" * (int(size) - 200)}\r\n')


@then(r'every shard ran it as (\w+) with the same body')
def check_bodies(context, method):
    for model in gateway_steps.get(context).upstreams.values():
        assert len(model.runs) == 1, (model.upstream, model.runs)
        found = model.runs[0]
        assert found.method == method, found.method
        assert found.body == context.body, len(found.body)


@then(
    r'a gateway with a (fast|slow) link may send ([\d.]+) extra requests to a '
    r'shard, of a slack of 20'
)
def check_extra_slack(context, link, count):
    fast = {'fast': True, 'slow': False}[link]
    found = [
        member.gateway.get_extra_slack(context.shards[0])
        for name, member in context.fleet.members.items()
        if (name in context.fast) is fast
    ]
    assert found
    assert set(found) == {float(count)}, found


@when(r'both gateways with a fast link are frozen')
def freeze_both(context):
    for name in context.fast:
        run(context, context.fleet.members[name].simulate_freeze())


@when(
    r'the gateways with a slow link are asked for all shards, and admit none'
)
def query_without_admission(context):
    table = context.gateway.make_table(1)
    slow = [each for each in context.fleet.members if each not in context.fast]
    for name in slow:
        member = context.fleet.members[name]
        for route in table.routes.values():
            limit = member.gateway.admission.get_limit(route.target.shards)
            limit.in_flight = limit.limit = 1
    query_gateways(context, slow)
