"""Steps that check hedges of wide queries under load."""

from behave import given
from behave import then
from behave import use_step_matcher

from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import standins

use_step_matcher('re')

_PAUSE_S = 0.12
_PAUSE_PERIOD_S = 3.0
_SERVICE_TIME_S = 0.011
_LATENCY_GOAL_S = 0.085


def start_pausing_shards(
    context, gateways, shards, remote_replicas, connect_s
):
    """Start gateways and shards whose local replicas pause in turn."""
    harness = gateway_steps.get(context)
    for number in range(shards):
        name = f'shard-{number}'
        context.shards.append(name)
        phase_s = _PAUSE_PERIOD_S * number / shards
        pauses = standins.Pauses(_PAUSE_S, _PAUSE_PERIOD_S, phase_s)
        local_replica = harness.add_upstream(
            f'{name}-0',
            name,
            zone=gateway_steps.NORTH,
            work_s=_SERVICE_TIME_S,
            pauses=pauses,
        )
        run(context, local_replica)
        for replica in range(1, remote_replicas + 1):
            run(
                context,
                harness.add_upstream(
                    f'{name}-{replica}',
                    name,
                    zone=gateway_steps.SOUTH,
                    work_s=2 * _SERVICE_TIME_S,
                    connect_s=connect_s,
                ),
            )
    zones = [gateway_steps.NORTH] * gateways
    delegate.start_gateways(context, zones, goal_s=_LATENCY_GOAL_S)


@given(
    r'(\d+) gateways in front of (\d+) shards with a local replica that '
    r'pauses and a remote one that takes ([\d.]+) seconds to connect'
)
def start_one_remote(context, gateways, shards, seconds):
    start_pausing_shards(
        context, int(gateways), int(shards), 1, float(seconds)
    )


@given(
    r'(\d+) gateways in front of (\d+) shards with a local replica that '
    r'pauses and (\d+) remote ones that take ([\d.]+) seconds to connect'
)
def start_many_remote(context, gateways, shards, remote_replicas, seconds):
    start_pausing_shards(
        context,
        int(gateways),
        int(shards),
        int(remote_replicas),
        float(seconds),
    )


def list_missing_counts(context):
    """Return the number of missing shards that each answer reports."""
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
def check_missing(context, limit):
    missing = list_missing_counts(context)
    assert sum(missing) <= int(limit), (sum(missing), missing)


@then(r'every answer took less than ([\d.]+) seconds')
def check_latency(context, seconds):
    latencies_s = [reply.elapsed for _, _, reply in context.answers]
    assert max(latencies_s) < float(seconds), max(latencies_s)


@then(
    r'each gateway is connected to (\d+) remote replica of each shard, or to '
    r'2 for at most (\d+) shards'
)
def check_remote_connections(context, count, limit):
    upstreams = gateway_steps.get(context).upstreams
    hosts = len(context.fleet.members)
    open_connections = [
        sum(upstreams[f'{name}-{replica}'].open for replica in (1, 2))
        for name in context.shards
    ]
    assert min(open_connections) >= hosts * int(count), open_connections
    extra = sum(each - hosts * int(count) for each in open_connections)
    assert extra <= hosts * int(limit), open_connections
