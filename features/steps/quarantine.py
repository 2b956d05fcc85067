"""Steps on requests that crash the upstreams which run them."""

from behave import given
from behave import then
from behave import use_step_matcher

from features.steps import gateway as gateway_steps
from features.steps import gateway_checks

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
