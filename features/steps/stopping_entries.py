"""Steps that stop entry hosts while they have requests."""

import asyncio

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import protocol

use_step_matcher('re')

_SECONDS = r'([\d.]+) s'
_BEFORE_S = 0.2


@given(
    r'2 entry hosts with a lag of '
    + _SECONDS
    + ' and a bound of '
    + _SECONDS
    + ', whose upstreams take '
    + _SECONDS
)
def start_entries(context, lag, bound, service):
    drain = {'balancer_lag_s': float(lag), 'bound_s': float(bound)}
    run(
        context,
        context.bench.start(
            2, 4, settings={'drain': drain}, service_s=float(service)
        ),
    )


async def set_deadline(context, deadline):
    await context.bench.set_row(
        'desk',
        may_write=True,
        deadline_s=deadline,
        soft_deadline_s=deadline,
    )


def start_stop(context):
    """Start to stop a host; `ended_at` is set when it has ended."""
    fleet = context.bench.fleet
    context.stopped_at = context.loop.time()

    async def stop():
        await fleet.stop_host('h1')
        context.ended_at = context.loop.time()

    context.stop = asyncio.create_task(stop())


def send_both(context):
    """Send a command and a query; return what collects their outcomes."""
    fleet = context.bench.fleet
    return asyncio.gather(
        fleet.command('h1', 'desk', 'members', fleet.make_key()),
        fleet.query('h1', 'desk', 'members'),
        return_exceptions=True,
    )


@when(
    r'host "h1" is stopped, and is sent a command and a query with a deadline '
    r'of ' + _SECONDS
)
def stop_and_send(context, deadline):
    async def send():
        await set_deadline(context, float(deadline))
        start_stop(context)
        await asyncio.sleep(_BEFORE_S)
        context.outcomes = await send_both(context)
        await context.stop

    run(context, send())


@when(
    r'host "h1" is sent a command and a query with a deadline of '
    + _SECONDS
    + ', and is stopped'
)
def send_and_stop(context, deadline):
    async def send():
        await set_deadline(context, float(deadline))
        sending = send_both(context)
        await asyncio.sleep(_BEFORE_S)
        start_stop(context)
        context.outcomes = await sending
        await context.stop

    run(context, send())


@then(
    r'the command is (recorded|unknown|refused as draining) and ran '
    r'(\d+) times'
)
def check_command(context, kind, runs):
    command = context.outcomes[0]
    assert describe(command) == kind, command
    records = context.bench.fleet.list_runs()
    found = sum(each.request.write for each in records)
    assert found == int(runs), found


@then(r'the query is (unknown|answered)(, with no shards)?')
def check_query(context, kind, is_empty):
    query = context.outcomes[1]
    assert describe(query) == kind, query
    if kind == 'answered':
        assert (query.coverage.answered == 0) == bool(is_empty), query


def describe(outcome) -> str:
    """Return the kind of an outcome, or its exception."""
    match outcome:
        case protocol.Recorded():
            return 'recorded'
        case protocol.Answered():
            return 'answered'
        case protocol.Unknown():
            return 'unknown'
        case protocol.Refused(reason=reason):
            return f'refused as {reason.value}'
    return repr(outcome)


@then(r'the host has ended within ' + _SECONDS)
def check_entry_end(context, seconds):
    elapsed_s = context.ended_at - context.stopped_at
    assert elapsed_s <= float(seconds), elapsed_s
