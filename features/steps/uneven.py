"""Steps on hosts and upstreams that differ in speed."""

import asyncio
import collections

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import slow_processor
from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_FAST_CAPACITY = 200.0
_SLOW_CAPACITY = 10.0
# Processor time that a shard request is assumed to take, in seconds.
_REQUEST_CPU_S = 60e-6


@given(
    r'(\d+) gateways with a goal of ([\d.]+) seconds in front of (\d+) '
    r'shards, (\d+) of them coordinators that take ([\d.]+) seconds per query'
)
def start_hosts(context, count, goal_s, shards, fast, query_s):
    gateway_steps.get(context)
    context.shards += gateway_steps.add_shards(
        context, int(shards), work_s=0.02
    )
    capacities = [_FAST_CAPACITY] * int(fast)
    capacities += [_SLOW_CAPACITY] * (int(count) - int(fast))
    delegate.start_gateways(
        context,
        ['north-1'] * int(count),
        goal_s=float(goal_s),
        capacities=capacities,
        # The stated speed is that at which a query takes `query_s`.
        cores=int(shards) * _REQUEST_CPU_S / float(query_s),
    )
    context.fast = list(context.fleet.members)[: int(fast)]
    context.query_s = float(query_s)

    install_processors(context, context.fast)


def install_processors(context, names):
    """Give each of these gateways a processor whose work takes time."""

    async def install():
        return [
            slow_processor.SlowProcessor(
                context.fleet.members[name], context.query_s
            )
            for name in names
        ]

    context.processors = run(context, install())


@given(
    r'(\d+) gateways in each of two zones with a goal of ([\d.]+) seconds in '
    r'front of (\d+) shards with a replica in each zone, that take ([\d.]+) '
    r'seconds per query'
)
def start_two_zones(context, count, goal_s, shards, query_s):
    harness = gateway_steps.get(context)
    context.zones = ['north-1'] * int(count) + ['north-2'] * int(count)
    for number in range(int(shards)):
        name = f'shard-{number}'
        context.shards.append(name)
        for zone in ('north-1', 'north-2'):
            run(
                context,
                harness.add_upstream(
                    f'{name}-{zone}',
                    name,
                    zone=zone,
                    records=b'r' * 32,
                    work_s=0.02,
                ),
            )
    delegate.start_gateways(
        context,
        context.zones,
        goal_s=float(goal_s),
        cores=int(shards) * _REQUEST_CPU_S / float(query_s),
    )
    context.query_s = float(query_s)
    install_processors(context, list(context.fleet.members))


def list_zone(context, first):
    """Return the gateways of the first or of the second zone."""
    names = list(context.fleet.members)
    half = len(names) // 2
    return names[:half] if first else names[half:]


def count_elsewhere(context, names):
    """Return how many queries of these gateways other zones have run."""
    return sum(
        context.fleet.members[name].gateway.delegation.overflow.sent
        for name in names
    )


@when(
    r'each zone in turn is asked (\d+) times a second for (\d+) seconds? '
    r'while the other is asked (\d+) times a second, (\d+) times'
)
def swing(context, high, seconds, low, times):
    async def play():
        found = []
        context.sent_by_quiet = 0
        for number in range(int(times)):
            busy = list_zone(context, number % 2 == 0)
            quiet = list_zone(context, number % 2 == 1)
            before = count_elsewhere(context, quiet)
            for each in await asyncio.gather(
                query_timed(context, busy, int(high), int(seconds)),
                query_timed(context, quiet, int(low), int(seconds)),
            ):
                found += each
            context.sent_by_quiet += count_elsewhere(context, quiet) - before
        return found

    context.timed = run(context, play())


@when(r'both zones are asked (\d+) times a second for (\d+) seconds')
def query_both(context, rate, seconds):
    context.sent_before = count_elsewhere(context, context.fleet.members)
    names = list(context.fleet.members)
    load = query_timed(context, names, 2 * int(rate), int(seconds))
    context.timed = run(context, load)


@then(r'the zone with less load sent at most (\d+) queries to the other one')
def check_quiet(context, maximum):
    assert context.sent_by_quiet <= int(maximum), context.sent_by_quiet


@then(r'each zone has run its own queries')
def check_own(context):
    sent = count_elsewhere(context, context.fleet.members)
    assert sent == context.sent_before, (sent, context.sent_before)


@when(r'one coordinator turns (\d+) times slower')
def slow_down(context, factor):
    context.processors[0].query_s = int(factor) * context.query_s


@when(r'the slow coordinator turns as fast as before')
def restore_speed(context):
    context.processors[0].query_s = context.query_s


@when(
    r'the other gateways are asked for all shards (\d+) times a second for '
    r'(\d+) seconds'
)
def query_others(context, rate, seconds):
    names = [
        each for each in context.fleet.members if each not in context.fast
    ]
    context.timed = run(
        context, query_timed(context, names, int(rate), int(seconds))
    )


async def query_timed(context, names, rate, seconds):
    """Query gateways in turn; return start, duration and reply of each."""

    async def query(name):
        started_at = context.loop.time()
        _, _, reply = await delegate.query_gateway(context, name)
        return started_at, context.loop.time() - started_at, reply

    tasks = []
    for number in range(rate * seconds):
        name = names[number % len(names)]
        tasks.append(asyncio.create_task(query(name)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


@then(
    r'at least ([\d.]+) of the answers (?:of the last \d+ seconds )?take at '
    r'most ([\d.]+) seconds'
)
def check_in_time(context, fraction, goal_s):
    in_time = sum(
        reply.status == 200 and elapsed_s <= float(goal_s)
        for _, elapsed_s, reply in context.timed
    )
    assert in_time >= float(fraction) * len(context.timed), (
        in_time,
        len(context.timed),
    )


def count_started(context, seconds):
    """Return the queries that the slow host started of late, and all."""
    since = context.timed[-1][0] - float(seconds)
    started = sum(at >= since for at in context.processors[0].started)
    return started, sum(at >= since for at, _, _ in context.timed)


@then(
    r'the slow coordinator started at (most|least) ([\d.]+) of the queries of '
    r'the last (\d+) seconds'
)
def check_share(context, bound, fraction, seconds):
    started, total = count_started(context, seconds)
    limit = float(fraction) * total
    is_met = started <= limit if bound == 'most' else started >= limit
    assert is_met, (started, total)


@then(r'no query was lost')
def check_none_lost(context):
    lost = [reply for _, _, reply in context.timed if reply.status != 200]
    assert not lost, lost


@then(r'at most ([\d.]+) of the requests to shards were extra ones')
def check_extra_requests(context, fraction):
    extra = total = 0
    for model in gateway_steps.get(context).upstreams.values():
        counts = collections.Counter(model.arrivals)
        extra += sum(count - 1 for count in counts.values())
        total += len(model.arrivals)
    assert extra <= float(fraction) * total, (extra, total)


@then(r'the log reports that the slow coordinator has noticed it')
def check_loop_log(context):
    lines = gateway_checks.list_lines(context, 'host_slow')
    assert lines
    assert {line['host'] for line in lines} == {context.fast[0]}, lines


_QUERY_CLASS = gateway.QueryClass(gateway.RouteName('all'), is_part=False)


@given(r'a host that samples the delay of its event loop')
def make_estimator(context):
    clock = state.Clock(context.loop)
    context.delay = gateway.LoopDelay(clock)
    context.estimator = gateway.LoadEstimator(clock, 1.0, 0.0, context.delay)


@given(r'a host that has sent (\d+) requests in (\d+) ms (\d+) times')
def send_usual(context, requests, taken_ms, times):
    make_estimator(context)
    for _ in range(int(times)):
        send_requests(context, requests, taken_ms)


@when(r'it sends (\d+) requests in ([\d.]+) ms')
def send_requests(context, requests, taken_ms):
    context.estimator.record_send_time(
        _QUERY_CLASS, int(requests), float(taken_ms) / 1000
    )


@then(r'the host is (not )?slow')
def check_slow(context, is_not):
    slowness = context.estimator.get_slowness()
    assert (slowness > 1.0) is not bool(is_not), slowness


@when(r'it is frozen for ([\d.]+) seconds? during a sample')
def freeze(context, seconds):
    wait_s = context.delay.start_sample() + float(seconds)
    run(context, asyncio.sleep(wait_s))


@when(r'(\d+) samples are on time')
def sample(context, count):
    context.delay.end_sample()
    for _ in range(int(count)):
        run(context, asyncio.sleep(context.delay.start_sample()))
        context.delay.end_sample()
