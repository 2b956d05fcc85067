"""Steps that send commands and check their runs and claims."""

import asyncio

from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import protocol

use_step_matcher('re')


@when(r'"([^"]+)" sends a command to host "([^"]+)"')
def send_command(context, team, host):
    context.key = context.bench.fleet.make_key()
    send_same_command(context, team, host)


@when(r'"([^"]+)" sends the same command to host "([^"]+)"')
def send_same_command(context, team, host):
    fleet = context.bench.fleet
    command = fleet.command(host, team, 'members', context.key)
    context.outcome = run(context, command)


@then(r'the command is refused as "([^"]+)"')
def check_command_refused(context, reason):
    assert isinstance(context.outcome, protocol.Refused), context.outcome
    assert context.outcome.reason.value == reason, context.outcome


def _list_writes(context):
    runs = context.bench.fleet.list_runs()
    return [run for run in runs if run.request.write]


@then('no command has run')
def check_no_command(context):
    assert not _list_writes(context)


@then('the command ran once')
def check_command_once(context):
    assert isinstance(context.outcome, protocol.Recorded), context.outcome
    assert len(_list_writes(context)) == 1


@then('the command ran once in total')
def check_once_in_total(context):
    assert len(_list_writes(context)) == 1


def _count_claims(context):
    return context.bench.fleet.kv.count_keys('rudderrock/claims/')


@then('claims are stored')
def check_claims_kept(context):
    assert _count_claims(context) > 0


@then('no claims are stored')
def check_no_claims(context):
    assert _count_claims(context) == 0


@when(
    r'"([^"]+)" sends (\d+) commands a second for (\d+) seconds to all hosts'
)
def send_commands(context, team, rate, seconds):
    fleet = context.bench.fleet
    hosts = list(fleet.hosts)

    async def send_all():
        started_at = fleet.clock.now()
        writes = fleet.kv.writes
        tasks = []
        for number in range(int(rate) * int(seconds)):
            host = hosts[number % len(hosts)]
            command = fleet.command(host, team, 'members', fleet.make_key())
            tasks.append(asyncio.create_task(command))
            await asyncio.sleep(1.0 / int(rate))
        context.outcomes = await asyncio.gather(*tasks)
        elapsed_s = fleet.clock.now() - started_at
        context.write_rate = (fleet.kv.writes - writes) / elapsed_s

    run(context, send_all())


@then(r'all (\d+) commands ran once')
def check_all_ran(context, count):
    recorded = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome, protocol.Recorded)
    ]
    assert len(recorded) == int(count), len(recorded)
    assert len(_list_writes(context)) == int(count)


@then(r'the key-value service received at most (\d+) writes a second')
def check_write_rate(context, limit):
    assert context.write_rate <= int(limit), context.write_rate
