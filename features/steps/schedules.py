"""Steps that run random fault schedules and disable safeguards."""

import collections
import dataclasses
from unittest import mock

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import coordination
from rudderrock import experiments
from rudderrock import transport

use_step_matcher('re')


@given('answers are accepted whosever they are')
def accept_any_reply(context):
    def accept(request, reply):
        return reply

    patch = mock.patch.object(transport, 'check_shard_reply', accept)
    context.stack.enter_context(patch)


@given('commands are run without a claim')
def grant_all_claims(context):
    async def claim(self, key, claim, until):
        return coordination.ClaimGranted()

    patch = mock.patch.object(coordination.ClaimStore, 'claim', claim)
    context.stack.enter_context(patch)


@given('coverage counts what was asked for')
def report_full_coverage(context):
    run = coordination.QueryRunner.run

    async def overstate(self, ticket, collection):
        answer = await run(self, ticket, collection)
        coverage = dataclasses.replace(
            answer.coverage, answered=answer.coverage.shards, missing={}
        )
        return dataclasses.replace(answer, coverage=coverage)

    patch = mock.patch.object(coordination.QueryRunner, 'run', overstate)
    context.stack.enter_context(patch)


@given('hosts sometimes revert to the first table that they applied')
def revert_tables(context):
    apply_table = coordination.Configuration.apply_table
    applied = collections.defaultdict(list)

    def apply_or_revert(self, table):
        applied[self].append(table)
        reverts = len(applied[self]) % 5 == 0
        apply_table(self, applied[self][0] if reverts else table)

    patch = mock.patch.object(
        coordination.Configuration, 'apply_table', apply_or_revert
    )
    context.stack.enter_context(patch)


@when(r'the table schedules of seeds (\d+) to (\d+) are run')
def run_table_schedules(context, first, last):
    seeds = range(int(first), int(last) + 1)
    run = experiments.run_table_schedule
    context.schedules = [run(seed) for seed in seeds]


@when(r'the schedules of seeds (\d+) to (\d+) are run')
def run_schedules(context, first, last):
    seeds = range(int(first), int(last) + 1)
    context.schedules = [experiments.run_schedule(seed) for seed in seeds]


@then('no invariant was violated')
def check_no_violation(context):
    broken = {each.seed: each.violations for each in context.schedules}
    broken = {seed: found for seed, found in broken.items() if found}
    assert not broken, broken


@then('some invariant was violated')
def check_violation(context):
    assert any(each.violations for each in context.schedules)


@then('answered, refused, recorded and unknown outcomes all occurred')
def check_all_kinds(context):
    outcomes = collections.Counter()
    for each in context.schedules:
        outcomes.update(each.outcomes)
    expected = {'Answered', 'Refused', 'Recorded', 'Unknown'}
    assert expected <= set(outcomes), outcomes
