"""Steps that send load during faults and check the answers."""

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import standins

use_step_matcher('re')

# Offset between the pauses of consecutive upstreams, as a fraction of the
# period. With the fractional part of the golden ratio, consecutive upstreams
# seldom pause at the same time.
_PHASE_STEP = 0.618


@given(
    r'(\d+) shards of (\d+) replicas that pause for ([\d.]+) seconds every '
    r'([\d.]+) seconds'
)
def add_pausing_shards(context, count, replicas, length_s, period_s):
    bench = gateway_steps.get(context)
    context.shards += gateway_steps.add_shards(
        context, int(count), int(replicas), work_s=0.02
    )
    for number, model in enumerate(bench.upstreams.values()):
        model.pauses = standins.Pauses(
            float(length_s),
            float(period_s),
            number * _PHASE_STEP * float(period_s),
        )


@when(r'callers ask for "([^"]+)" (\d+) times a second for (\d+) seconds')
def ask_at_rate(context, path, rate, seconds):
    bench = gateway_steps.get(context)
    context.load = run(
        context, bench.ask_at_rate(path, float(rate), float(seconds))
    )


@then(
    r'at least ([\d.]+) of the answers meet the latency goal of ([\d.]+) '
    r'seconds'
)
def check_latency_goal(context, fraction, goal_s):
    in_time = [
        each
        for each in context.load
        if each.status == 200 and each.elapsed <= float(goal_s)
    ]
    assert len(in_time) >= float(fraction) * len(context.load), (
        len(in_time),
        len(context.load),
    )


@then(r'at most ([\d.]+) of the shards are missing from the answers')
def check_missing_fraction(context, fraction):
    missing = sum(
        int(each.headers['rudderrock-missing-parts']) for each in context.load
    )
    shards = len(context.shards) * len(context.load)
    assert missing <= float(fraction) * shards, (missing, shards)


@then(
    r'no shard received more than ([\d.]+) extra requests per query plus (\d+)'
)
def check_extra_load(context, ratio, slack):
    bench = gateway_steps.get(context)
    queries = len(context.load)
    for shard in context.shards:
        arrivals = sum(
            len(model.arrivals)
            for name, model in bench.upstreams.items()
            if name.rpartition('-')[0] == shard
        )
        allowed = queries * (1 + float(ratio)) + int(slack)
        assert arrivals <= allowed, (shard, arrivals, queries)
