"""Steps on requests that crash the upstreams which run them."""

import asyncio

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway

use_step_matcher('re')


@given(r'a request for "([^"]+)" crashes every upstream that runs it')
def make_lethal(context, target):
    for model in gateway_steps.get(context).upstreams.values():
        model.lethal = model.lethal | {target}


def list_crashes(context):
    """Return when upstreams have crashed."""
    models = gateway_steps.get(context).upstreams.values()
    return sorted(at for model in models for at in model.crashes)


@then(
    r'the (\d+) lines of "([^"]+)" have one digest and tell of (\d+) lost '
    r'attempts at least'
)
def check_lost_lines(context, count, target, least):
    lines = gateway_checks.list_lines(context, 'request')
    assert len(lines) == int(count), lines
    assert len({line['digest'] for line in lines}) == 1, lines
    assert all(len(line['digest']) == 32 for line in lines), lines
    assert all(line['lost'] >= int(least) for line in lines), lines


@then(r'its line has no digest')
def check_no_digest(context):
    found = [
        line
        for line in gateway_checks.list_lines(context, 'request')
        if line['request_id'] == context.request_id
    ]
    assert [line['digest'] for line in found] == [''], found


@given(
    r'(\d+) gateways in each of two zones before (\d+) shards? of (\d+) '
    r'upstreams'
)
def start_zones(context, count, shards, replicas):
    delegate.start_zones(
        context,
        int(count),
        int(shards),
        int(shards) // 2,
        replicas=int(replicas),
    )


@given(r'the route "([^"]+)" to one of the shards')
def add_single(context, prefix):
    bench = gateway_steps.get(context)
    bench.add_route(prefix, gateway.Single(context.shards[0]))
    bench.publish()
    run(context, asyncio.sleep(1.0))


async def ask_for(context, name, target):
    """Ask one gateway for a target under a new request id."""
    request_id = gateway_steps.next_id(context)
    raw = gateway_bench.make_raw(request_id, target, deadline_ms=1000)
    return request_id, await context.fleet.ask(name, raw)


@when(
    r'copies of "([^"]+)" come to all gateways in turn, ([\d.]+) a second for '
    r'([\d.]+) seconds'
)
def send_copies(context, target, rate, seconds):
    names = list(context.fleet.members)

    async def go():
        asked = []
        for number in range(round(float(rate) * float(seconds))):
            name = names[number % len(names)]
            asked.append(asyncio.create_task(ask_for(context, name, target)))
            await asyncio.sleep(1.0 / float(rate))
        return await asyncio.gather(*asked)

    context.copies = run(context, go())


def list_arrivals(context):
    """Return when and under which id requests have come to upstreams."""
    models = gateway_steps.get(context).upstreams.values()
    return sorted(each for model in models for each in model.timed_arrivals)


@then(
    r'it was sent in at most (\d+) retries later than ([\d.]+) seconds after '
    r'the third crash'
)
def check_retries(context, most, seconds):
    third = list_crashes(context)[2]
    copies = {request_id for request_id, _ in context.copies}
    late = {
        request_id
        for at, request_id in list_arrivals(context)
        if request_id in copies and at > third + float(seconds)
    }
    assert len(late) <= int(most), late


@then(r'at most (\d+) upstreams have crashed')
def check_crashes(context, most):
    crashes = list_crashes(context)
    assert len(crashes) <= int(most), crashes
