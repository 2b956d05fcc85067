"""Steps on requests that are retried until they are answered."""

import asyncio
import random

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_callers
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'
# A route whose timeout is far from its latency goal.
_PATIENT = {'goal_s': 0.2, 'timeout_s': 2.0, 'max_attempts': 3}


@given(r'the patient route "([^"]+)" to all shards, at least ([\d.]+) of them')
def add_patient_scatter(context, prefix, least):
    gateway_steps.add_scatter(context, prefix, least=float(least), **_PATIENT)


@given(r'the patient route "([^"]+)" to "([^"]+)"( that runs once)?')
def add_patient_route(context, prefix, service, once):
    repeat = gateway.Repeat.ONCE if once else gateway.Repeat.IDEMPOTENT
    gateway_steps.get(context).add_route(
        prefix, gateway.Single(service), repeat=repeat, **_PATIENT
    )


@step(r'(\d+) in 100 upstreams reject (\d+) in 100 requests')
def set_rejecting(context, upstreams, percent):
    for name, model in gateway_steps.get(context).upstreams.items():
        if 100 * random.Random(name).random() < int(upstreams):
            model.shed_percent = int(percent)


@when(r'the upstreams stop to reject requests after ' + _SECONDS)
def end_rejecting(context, seconds):
    models = list(gateway_steps.get(context).upstreams.values())
    context.loop.call_later(float(seconds), accept_all, models)


def accept_all(models):
    """End the rejection of requests by some upstreams."""
    for model in models:
        model.shed_percent = 0


@when(
    r'(\d+) patient requests for "([^"]+)" are sent at (\d+) a second'
    r'( with one key|, each with a key of its own)?'
)
def send_patient(context, count, path, rate, keys):
    """Send requests; without `keys`, wait for their replies."""
    harness = gateway_steps.get(context)

    async def send_each():
        tasks = []
        for number in range(int(count)):
            request_id = gateway_steps.next_id(context)
            key = request_id if keys and 'own' in keys else 'one'
            raw = gateway_bench.make_raw(
                request_id,
                path,
                deadline_ms=2000,
                extra=f'Authorization: Bearer {key}\r\n',
            )
            tasks.append(asyncio.create_task(harness.ask(raw)))
            await asyncio.sleep(1.0 / int(rate))
        return tasks

    tasks = run(context, send_each())
    if keys:
        context.pending = [*getattr(context, 'pending', ()), *tasks]
    else:
        context.replies = run(context, gather(tasks))


async def gather(tasks):
    """Return the results of tasks."""
    return await asyncio.gather(*tasks)


@given(r'a gateway that starts while the source is down')
def start_without_source(context):
    harness = gateway_steps.get(context)
    harness.publish()
    harness.source.is_down = True
    run(context, harness.start())


@when(r'the source is back after ' + _SECONDS)
def restore_source(context, seconds):
    source = gateway_steps.get(context).source

    def restore():
        source.is_down = False

    context.loop.call_later(float(seconds), restore)


@then(
    r'(\d+) replies are 503 within ' + _SECONDS + r', with a Retry-After '
    r'between ([\d.]+) and ([\d.]+) seconds'
)
def check_refused(context, count, seconds, least, most):
    run(context, gather(context.pending))
    refused = [
        each
        for each in gateway_steps.get(context).replies
        if each.status == 503 and each.elapsed < float(seconds)
    ]
    assert len(refused) == int(count), len(refused)
    for each in refused:
        retry_after_s = float(each.headers['retry-after'])
        assert float(least) <= retry_after_s <= float(most), each


@then(r'every reply is 503 before its deadline')
def check_refused_in_time(context):
    for each in gateway_steps.get(context).replies:
        assert (each.status, each.elapsed < 2.0) == (503, True), each


@then(r'the last (\d+) of them were answered first')
def check_order(context, count):
    # Replies are listed in the order of their arrival.
    first = gateway_steps.get(context).replies[: int(count)]
    longest_s = max(each.elapsed for each in first)
    others = gateway_steps.get(context).replies[int(count) :]
    assert longest_s < min(each.elapsed for each in others), (first, others)


@when(r'a caller sends POST "([^"]+)" with a deadline of ' + _SECONDS)
def send_post(context, path, seconds):
    gateway_callers.send(
        context, path, method='POST', deadline_ms=round(1000 * float(seconds))
    )


@when(
    r'every upstream(?: of shard (\d+))? rejects all requests for ' + _SECONDS
)
def reject_for_a_time(context, number, seconds):
    prefix = '' if number is None else f'shard-{number}-'
    reject(context, (prefix,), seconds)


@given(r'all hosts together have a slack of (\d+) extra requests')
def set_slack(context, slack):
    gateway_steps.get(context).extra_slack = float(slack)


@when(
    r'the upstreams of (\d+) shards reject (\d+) in 100 requests for '
    + _SECONDS
)
def reject_at_shards(context, count, percent, seconds):
    prefixes = tuple(f'shard-{number}-' for number in range(int(count)))
    reject(context, prefixes, seconds, int(percent))


def reject(context, prefixes, seconds, percent=100):
    """Make upstreams whose names start so reject requests for a time."""
    models = [
        model
        for name, model in gateway_steps.get(context).upstreams.items()
        if name.startswith(prefixes)
    ]
    for model in models:
        model.shed_percent = percent
    context.loop.call_later(float(seconds), accept_all, models)


@when(r'a gateway with a slow link is asked for all shards')
def query_slow_gateway(context):
    delegate.query_gateways(context, list(context.fleet.members)[-1:])


@then(r'no gateway was skipped')
def check_not_skipped(context):
    lines = gateway_checks.list_lines(context, 'peer_skipped')
    assert not lines, lines


@then(
    r'at least (\d+) of (\d+) answers are 200 and took less than ' + _SECONDS
)
def check_answers(context, count, total, seconds):
    found = [
        (reply.status, round(reply.elapsed, 3))
        for _, _, reply in context.answers
    ]
    good = [
        status == 200 and elapsed < float(seconds) for status, elapsed in found
    ]
    assert len(found) == int(total), found
    assert sum(good) >= int(count), found


def list_replies(context, seconds):
    """Return the replies with status 200 within a time, all if None."""
    return [
        each
        for each in gateway_steps.get(context).replies
        if each.status == 200
        and (seconds is None or each.elapsed < float(seconds))
    ]


@then(
    r'at least (\d+) replies are 200(?: and took less than ' + _SECONDS + r')?'
)
def check_answered(context, count, seconds):
    replies = gateway_steps.get(context).replies
    found = list_replies(context, seconds)
    assert len(found) >= int(count), (
        len(found),
        [(each.status, round(each.elapsed, 3)) for each in replies],
    )


@then(
    r'every one of the last (\d+) replies is 200 and took less than '
    + _SECONDS
)
def check_last_answered(context, count, seconds):
    for reply in gateway_steps.get(context).replies[-int(count) :]:
        assert reply.status == 200, reply
        assert reply.elapsed < float(seconds), reply.elapsed


@then(r'at most (\d+) replies took more than ' + _SECONDS)
def check_late(context, count, seconds):
    replies = gateway_steps.get(context).replies
    late = [each for each in replies if each.elapsed > float(seconds)]
    assert 0 < len(late) <= int(count), len(late)


@then(r'"([^"]+)" ran it once')
def check_ran_once(context, upstream):
    runs = gateway_steps.get(context).list_runs(context.request_id)
    assert len(runs) == 1, runs


@then(r'every reply is a (\d+)')
def check_status(context, status):
    statuses = {each.status for each in gateway_steps.get(context).replies}
    assert statuses == {int(status)}, statuses


@when(r'a caller sends a request for "([^"]+)" that may take ' + _SECONDS)
def send_in_background(context, path, seconds):
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context),
        path,
        deadline_ms=round(1000 * float(seconds)),
    )
    load = gateway_steps.get(context).ask(raw)
    context.pending = [context.loop.create_task(load)]


@when(r'the gateway is told to stop')
def stop_gateway(context):
    context.stopped_at = context.loop.time()
    gateway_steps.get(context).process.stop()


@then(r'every reply is 503 within ' + _SECONDS)
def check_ended(context, seconds):
    replies = run(context, gather(context.pending))
    assert {each.status for each in replies} == {503}, replies
    elapsed_s = context.loop.time() - context.stopped_at
    assert elapsed_s < float(seconds), elapsed_s


@when(
    r'of (\d+) attempts that may run, (\d+) may have, and the last one was '
    r'([a-z ]+)'
)
def set_progress(context, most, runs, failure):
    context.progress = {
        'failure': gateway.Failure(failure),
        'runs': int(runs),
        'max_attempts': int(most),
        'unsent': 0,
        'pauses': 0,
    }


@when(
    r'(untried|tried|no) upstreams are left, and the budget allows an attempt '
    r'in ([\d.]+) seconds of ([\d.]+)'
)
def set_candidates(context, candidates, wait, left):
    name = 'none' if candidates == 'no' else candidates
    context.progress |= {
        'candidates': gateway.Candidates(name),
        'budget_wait_s': float(wait),
        'left_s': float(left),
    }


@then(r'a patient call is (.+) and another one is (.+)')
def check_decisions(context, patient, other):
    found = []
    for is_patient in (True, False):
        progress = gateway.Progress(is_patient=is_patient, **context.progress)
        match gateway.plan_retry(progress):
            case gateway.SendNow():
                found.append('sent now')
            case gateway.SendLater(delay_s=delay_s):
                found.append(f'sent in {delay_s:g} s')
            case gateway.GiveUp():
                found.append('given up')
    assert found == [patient, other], found


@given(r'a budget of (\d+) extra requests in (\d+) seconds')
def make_budget(context, slack, seconds):
    clock = state.Clock(context.loop)
    context.budget = gateway.ExtraRequestBudget(
        clock, 0.0, float(seconds), float(slack)
    )


@when(r'(late|other) calls ask for (\d+) extra requests')
def spend(context, kind, count):
    context.allowed = sum(
        context.budget.try_spend(kind == 'late') for _ in range(int(count))
    )


@then(r'(\d+) are allowed')
def check_allowed(context, count):
    assert context.allowed == int(count), context.allowed
