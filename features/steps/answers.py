"""Steps on requests that are retried until they are answered."""

import random

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_callers
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway

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


@when(r'(\d+) patient requests for "([^"]+)" are sent at (\d+) a second')
def send_patient(context, count, path, rate):
    harness = gateway_steps.get(context)
    load = harness.ask_at_rate(
        path, float(rate), int(count) / float(rate), deadline_ms=2000
    )
    context.replies = run(context, load)


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
