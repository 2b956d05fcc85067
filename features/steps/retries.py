"""Steps on closed-loop callers of an upstream that rejects requests."""

import asyncio
import collections
import dataclasses

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway

use_step_matcher('re')

_UPSTREAM = 'only'
_SERVICE = 'passes'
_PATH = '/passes/'
_DEADLINE_S = 6.0
_GOAL_S = 0.673
_WORK_S = 0.08
_THINK_TIME_S = 0.1
# A caller sends a request twice, the second time this long after a refusal.
_TRIES = 2
_RETURN_S = 0.1
# Bounds of the platform on the extra requests to a service.
_RATIO = 0.2
_WINDOW_S = 10.0
_KINDS = {
    'first': gateway.RepeatKind.FIRST,
    'returned': gateway.RepeatKind.RETURNED,
    'other': gateway.RepeatKind.NONE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A request and its reply."""

    request_id: str
    started_at: float
    reply: gateway_bench.Reply


@given(
    r'(\d+) gateways, with a slack of (\d+) extra requests, in front of an '
    r'upstream that rejects (\d+) in 100 requests'
)
def start_gateways(context, count, slack, percent):
    harness = gateway_steps.get(context)
    harness.extra_slack = context.slack = float(slack)
    upstream = harness.add_upstream(_UPSTREAM, _SERVICE, work_s=_WORK_S)
    run(context, upstream)
    harness.upstreams[_UPSTREAM].shed_percent = int(percent)
    harness.add_route(
        _PATH,
        gateway.Single(gateway.ServiceName(_SERVICE)),
        repeat=gateway.Repeat.ONCE,
        goal_s=_GOAL_S,
        timeout_s=_DEADLINE_S,
        max_attempts=2,
    )
    harness.publish()
    context.fleet = gateway_bench.FleetHarness(harness, context.stack)
    run(context, context.fleet.start(['north-1'] * int(count)))
    # The hosts count one another, and share the slack.
    run(context, asyncio.sleep(6.0))


@when(
    r'(\d+) callers of each gateway send a request at a time for (\d+) seconds'
)
def send_in_closed_loops(context, count, seconds):
    context.passes = []
    names = [*context.fleet.members] * int(count)
    callers = [send_passes(context, name, float(seconds)) for name in names]

    async def send_all():
        await asyncio.gather(*callers)

    run(context, send_all())


async def send_passes(context, name, seconds):
    """Send requests one after the other, each again after a refusal."""
    end = context.loop.time() + seconds
    while context.loop.time() < end:
        sent = []
        context.passes.append(sent)
        path = f'{_PATH}{len(context.passes)}'
        for _ in range(_TRIES):
            request_id = gateway_steps.next_id(context)
            raw = gateway_bench.make_raw(
                request_id,
                path,
                method='POST',
                deadline_ms=round(1000 * _DEADLINE_S),
            )
            started_at = context.loop.time()
            reply = await context.fleet.ask(name, raw)
            sent.append(_Sent(request_id, started_at, reply))
            if reply.status not in gateway_checks.PROMISES:
                break
            await asyncio.sleep(_RETURN_S)
        await asyncio.sleep(_THINK_TIME_S)


def list_sent(context):
    """Return all requests."""
    return [each for sent in context.passes for each in sent]


@then(r'they have sent at least (\d+) requests')
def check_request_count(context, least):
    sent = list_sent(context)
    assert len(sent) >= int(least), len(sent)


@then(r'at least (\d+) in 100 of their passes were served')
def check_served(context, percent):
    served = sum(
        any(each.reply.status == 200 for each in sent)
        for sent in context.passes
    )
    total = len(context.passes)
    assert 100 * served >= int(percent) * total, (served, total)


@then(r'(\d+) in 100 of the replies took less than ([\d.]+) seconds?')
def check_quantile(context, percent, seconds):
    took = sorted(each.reply.elapsed for each in list_sent(context))
    found = took[int(percent) * len(took) // 100]
    assert found < float(seconds), (found, took[-1])


@then(r'no pass was issued twice, and none was refused and issued')
def check_runs(context):
    harness = gateway_steps.get(context)
    ran = collections.Counter(
        each.request_id for each in harness.upstreams[_UPSTREAM].runs
    )
    refused = {
        each.request_id
        for each in list_sent(context)
        if each.reply.status in gateway_checks.PROMISES
    }
    assert max(ran.values()) == 1, ran.most_common(1)
    assert not refused & set(ran), refused & set(ran)


@then(r'the extra requests stay within the bound in each window')
def check_windows(context):
    harness = gateway_steps.get(context)
    starts = [each.started_at for each in list_sent(context)]
    seen = set()
    extras = []
    for at, request_id in harness.upstreams[_UPSTREAM].timed_arrivals:
        if request_id in seen:
            extras.append(at)
        seen.add(request_id)
    for begin in extras:
        end = begin + _WINDOW_S
        count = sum(begin <= at < end for at in extras)
        sent = sum(begin <= at < end for at in starts)
        bound = _RATIO * sent + context.slack
        assert count <= bound, (begin, count, bound)


@when(
    r'a (first|returned|other) attempt was rejected ([\d.]+) seconds after '
    r'its request arrived, with a goal of ([\d.]+) seconds'
)
def reject_attempt(context, kind, elapsed_s, goal_s):
    limit_s = gateway.get_wait_limit_s(_KINDS[kind], float(goal_s), _RETURN_S)
    context.progress = {
        'failure': gateway.Failure.REJECTED,
        'candidates': gateway.Candidates.TRIED,
        'is_patient': True,
        'runs': 0,
        'max_attempts': 2,
        'unsent': 0,
        'pauses': 0,
        'left_s': _DEADLINE_S - float(elapsed_s),
        'max_budget_wait_s': None
        if limit_s is None
        else limit_s - float(elapsed_s),
    }


@when(r'the budget allows the next one in ([\d.]+) seconds')
def set_budget_wait(context, wait_s):
    context.progress['budget_wait_s'] = float(wait_s)


@then(r'the request is (sent in ([\d.]+) s|given up)')
def check_decision(context, decision, delay_s):
    progress = gateway.Progress(**context.progress)
    match gateway.plan_retry(progress):
        case gateway.SendLater(delay_s=found):
            assert abs(found - float(delay_s or 0)) < 1e-9, found
        case gateway.GiveUp():
            assert decision == 'given up'


@step(r'(first|returned) repeats ask for (\d+) extra requests?')
def spend_on_repeats(context, kind, count):
    context.allowed = sum(
        context.budget.try_spend(repeat=_KINDS[kind])
        for _ in range(int(count))
    )


@given(r'a memory of refused requests')
def make_memory(context):
    context.refused = gateway.RefusedRequests(core.Clock(context.loop))


@when(r'the request "(\w+)" is refused')
def refuse(context, digest):
    context.refused.add(digest)


@when(r'(\d+) requests are refused')
def refuse_many(context, count):
    for number in range(int(count)):
        context.refused.add(f'r{number}')


@then(r'"(\w+)" returns(?:, and "(\w+)" does not)?')
def check_returns(context, digest, other):
    assert context.refused.take(digest)
    if other:
        assert not context.refused.take(other)


@then(r'"(\w+)" does not return again')
def check_forgotten(context, digest):
    assert not context.refused.take(digest)
