"""Steps on hedges of wide queries under load."""

from behave import given
from behave import then
from behave import use_step_matcher

from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import standins

use_step_matcher('re')

_PAUSE_S = 0.12
_PAUSE_EVERY_S = 3.0
_WORK_S = 0.011
_GOAL_S = 0.085


def start(context, gateways, shards, far, connect_s):
    """Start gateways before shards whose near replicas pause one by one."""
    bench = gateway_steps.get(context)
    for number in range(shards):
        name = f'shard-{number}'
        context.shards.append(name)
        phase_s = _PAUSE_EVERY_S * number / shards
        pauses = standins.Pauses(_PAUSE_S, _PAUSE_EVERY_S, phase_s)
        near = bench.add_upstream(
            f'{name}-0',
            name,
            zone=gateway_steps.NORTH,
            work_s=_WORK_S,
            pauses=pauses,
        )
        run(context, near)
        for replica in range(1, far + 1):
            run(
                context,
                bench.add_upstream(
                    f'{name}-{replica}',
                    name,
                    zone=gateway_steps.SOUTH,
                    work_s=2 * _WORK_S,
                    connect_s=connect_s,
                ),
            )
    zones = [gateway_steps.NORTH] * gateways
    delegate.start_gateways(context, zones, goal_s=_GOAL_S)


@given(
    r'(\d+) gateways in front of (\d+) shards with a local replica that '
    r'pauses and a remote one that takes ([\d.]+) seconds to connect'
)
def start_one_far(context, gateways, shards, seconds):
    start(context, int(gateways), int(shards), 1, float(seconds))


@given(
    r'(\d+) gateways in front of (\d+) shards with a local replica that '
    r'pauses and (\d+) remote ones that take ([\d.]+) seconds to connect'
)
def start_more_far(context, gateways, shards, far, seconds):
    start(context, int(gateways), int(shards), int(far), float(seconds))


def list_missing(context):
    """Return how many shards each answer says that it lacks."""
    return [
        int(reply.headers['rudderrock-missing-parts'])
        for _, _, reply in context.answers
    ]


@then('every answer is complete or reports its missing shards')
def check_coverage(context):
    for _, _, reply in context.answers:
        assert reply.status == 200, reply
        stamps = reply.headers['rudderrock-part-stamps'].split(', ')
        missing = int(reply.headers['rudderrock-missing-parts'])
        assert len(set(stamps)) + missing == len(context.shards), reply


@then(r'at most (\d+) shards are missing from all answers together')
def check_missing(context, most):
    missing = list_missing(context)
    assert sum(missing) <= int(most), (sum(missing), missing)


@then(r'every answer took less than ([\d.]+) seconds')
def check_took(context, seconds):
    took = [reply.elapsed for _, _, reply in context.answers]
    assert max(took) < float(seconds), max(took)


@then(
    r'each gateway is connected to (\d+) remote replica of each shard, or to '
    r'2 for at most (\d+) shards'
)
def check_far(context, count, most):
    upstreams = gateway_steps.get(context).upstreams
    hosts = len(context.fleet.members)
    open_far = [
        sum(upstreams[f'{name}-{replica}'].open for replica in (1, 2))
        for name in context.shards
    ]
    assert min(open_far) >= hosts * int(count), open_far
    more = sum(each - hosts * int(count) for each in open_far)
    assert more <= hosts * int(most), open_far
