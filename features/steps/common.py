"""Steps that start a fleet, advance time, send queries and check outcomes."""

import asyncio
import json

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import protocol

use_step_matcher('re')

_DURATION_TOLERANCE_S = 0.02


def run(context, coroutine):
    """Run a coroutine on the scenario's event loop and return its result."""
    return context.loop.run_until_complete(coroutine)


@given(r'(\d+) hosts? in front of (\d+) services?')
def start_fleet(context, hosts, services):
    run(context, context.bench.start(int(hosts), int(services)))


@given(r'(\d+) hosts? in front of (\d+) services? with settings')
def start_fleet_with_settings(context, hosts, services):
    settings: dict[str, dict] = {}
    for row in context.table:
        section, _, key = row['setting'].partition('.')
        settings.setdefault(section, {})[key] = json.loads(row['value'])
    bench = context.bench
    run(context, bench.start(int(hosts), int(services), settings=settings))


@given(r'the team "([^"]+)"')
def add_team(context, team):
    run(context, context.bench.set_row(team))


@given(r'the team "([^"]+)" with')
def add_team_with_fields(context, team):
    fields = {row['field']: json.loads(row['value']) for row in context.table}
    run(context, context.bench.set_row(team, **fields))


@when(r'([\d.]+) seconds? pass(?:es)?')
def pass_time(context, seconds):
    run(context, asyncio.sleep(float(seconds)))


@when(r'"([^"]+)" asks host "([^"]+)"')
def ask_host(context, team, host):
    run(context, context.bench.ask(team, host))


@when(r'"([^"]+)" asks ([\d.]+) times a second for ([\d.]+) seconds')
def ask_at_rate(context, team, rate, seconds):
    bench = context.bench
    hosts = list(bench.fleet.hosts)
    load = bench.ask_at_rate(team, float(rate), float(seconds), hosts)
    run(context, load)


@when(
    r'"([^"]+)" asks ([\d.]+) times a second for ([\d.]+) seconds, in the '
    r'background'
)
def ask_in_background(context, team, rate, seconds):
    async def start():
        hosts = list(context.bench.fleet.hosts)
        context.bench.start_load(team, float(rate), float(seconds), hosts)

    run(context, start())


@when('the load ends')
def end_load(context):
    run(context, context.bench.end_load())


@then(r'the answer covers (\d+) of (\d+) shards')
def check_coverage(context, answered, shards):
    outcome = context.bench.completed[-1].outcome
    assert isinstance(outcome, protocol.Answered), outcome
    coverage = outcome.coverage
    assert coverage.shards == int(shards), coverage
    assert coverage.answered == int(answered), coverage
    assert len(coverage.missing) == int(shards) - int(answered), coverage


@then(r'shard "([^"]+)" is missing because "([^"]+)"')
def check_missing(context, shard, reason):
    missing = context.bench.completed[-1].outcome.coverage.missing
    assert missing[shard] is protocol.MissingReason(reason), missing


@then('every answer covers all shards')
def check_full_coverage(context):
    answers = context.bench.list_answers()
    assert len(answers) == len(context.bench.completed) > 0, [
        query.outcome
        for query in context.bench.completed
        if not isinstance(query.outcome, protocol.Answered)
    ][:3]
    for query in answers:
        assert query.outcome.coverage.fraction == 1.0, query


@then(r'the request is refused as "([^"]+)"')
def check_refused(context, reason):
    outcome = context.bench.completed[-1].outcome
    assert isinstance(outcome, protocol.Refused), outcome
    assert outcome.reason is protocol.RefusalReason(reason), outcome


@then('no upstream has run a request')
def check_nothing_ran(context):
    if context.bench.fleet is not None:
        assert context.bench.fleet.list_runs() == []
        return
    runs = [model.runs for model in context.models.values()]
    assert not any(runs), runs


@then("the upstreams' records match the reported outcomes")
def check_records(context):
    """Check that the answered shards ran at the reported version."""
    finished = {
        (run.request.request_id.rpartition('.')[0], run.request.shard)
        for run in context.bench.fleet.list_runs()
        if run.finished
    }
    versions = {
        run.request.request_id.rpartition('.')[0]: run.request.version
        for run in context.bench.fleet.list_runs()
    }
    for query in context.bench.list_answers():
        outcome = query.outcome
        assert versions[outcome.query] == outcome.version
        answered_shards = [
            pair for pair in finished if pair[0] == outcome.query
        ]
        assert len(answered_shards) >= outcome.coverage.answered


@then(r'the (\d+)th percentile of "([^"]+)" is under (\d+) ms')
def check_percentile(context, percentile, team, limit_ms):
    latency_s = context.bench.get_percentile(float(percentile), team)
    assert latency_s < int(limit_ms) / 1000, latency_s


@then(r'extra upstream load is at most ([\d.]+) percent')
def check_extra_load(context, percent):
    extra_load = context.bench.get_extra_load()
    assert extra_load <= float(percent) / 100, extra_load


@then(r'the query took about (\d+) ms')
def check_duration(context, expected_ms):
    query = context.bench.completed[-1]
    elapsed_s = query.ended_at - query.started_at
    assert abs(elapsed_s - int(expected_ms) / 1000) < _DURATION_TOLERANCE_S, (
        elapsed_s
    )
