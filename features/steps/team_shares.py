"""Steps for teams that compete for the room at the shards."""

import asyncio
import collections

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import teams as team_steps
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'
_PATH = '/all/1'


@given(r'(\d+) teams? "([^"]+)" with one key each')
def add_teams(context, count, name):
    for number in range(int(count)):
        team_steps.add_team(context, f'{name}-{number}', [f'{name}-{number}'])


@given(
    r'the team "([^"]+)" with the key "([^"]+)" and a quota of (\d+) a second'
)
def add_team_with_quota(context, name, key, rate):
    team_steps.add_team(
        context, name, [key], quota_per_s=float(rate), burst=float(rate)
    )


@given(r'the team "([^"]+)" with the key "([^"]+)" and the priority (\d+)')
def add_team_with_priority(context, name, key, priority):
    team_steps.add_team(context, name, [key], priority=int(priority))


async def _send(context, team, rate, seconds, repeats=0):
    """Send queries of a team at a constant rate; keep its replies.

    A refused query is repeated at once, up to `repeats` times.
    """
    _, (key, *_) = context.teams[team]
    loop = asyncio.get_running_loop()

    async def ask(number):
        for attempt in range(repeats + 1):
            request_id = f'{team}-{context.rounds}-{number}-{attempt}'
            raw = gateway_bench.make_raw(
                request_id, _PATH, extra=team_steps.format_key_header(key)
            )
            sent_at = loop.time()
            reply = await context.gateway.ask(raw)
            if attempt == 0 or reply.status == 200:
                context.answers[team].append((sent_at, request_id, reply))
            if reply.status != 503:
                return

    # The teams do not send at the same instants.
    await asyncio.sleep(list(context.rates).index(team) / 40.0)
    tasks = []
    for number in range(round(rate * seconds)):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)


def _send_all(context, seconds, rates, repeats=None):
    """Send queries of several teams at once, by their rates."""
    context.answers = collections.defaultdict(list)
    context.rounds = getattr(context, 'rounds', 0) + 1
    context.seconds = float(seconds)
    context.rates = rates
    repeats = repeats or {}

    async def send_all():
        context.began_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            *(
                _send(
                    context, team, rate, float(seconds), repeats.get(team, 0)
                )
                for team, rate in rates.items()
                if rate > 0
            )
        )

    run(context, send_all())


def _list_members(context, name):
    return [team for team in context.teams if team.startswith(f'{name}-')]


@when(
    rf'for {_SECONDS} "([^"]+)" sends (\d+) queries a second, and each '
    r'"([^"]+)" (\d+)'
)
def send_crowd(context, seconds, crowd, crowd_rate, name, rate):
    rates = {each: float(rate) for each in _list_members(context, name)}
    _send_all(context, seconds, {crowd: float(crowd_rate), **rates})


@when(
    rf'for {_SECONDS} "([^"]+)" sends (\d+) queries a second and repeats each '
    r'refused one (\d+) times at once, and each "([^"]+)" sends (\d+)'
)
def send_repeating(context, seconds, crowd, crowd_rate, times, name, rate):
    rates = {each: float(rate) for each in _list_members(context, name)}
    _send_all(
        context,
        seconds,
        {crowd: float(crowd_rate), **rates},
        {crowd: int(times)},
    )


@when(
    rf'for {_SECONDS} "([^"]+)" and "([^"]+)" send (\d+) queries a second each'
)
def send_two(context, seconds, first, second, rate):
    _send_all(context, seconds, {first: float(rate), second: float(rate)})


@when(
    rf'for {_SECONDS} "([^"]+)", "([^"]+)" and "([^"]+)" send (\d+), (\d+) '
    r'and (\d+) queries a second'
)
def send_three(context, seconds, first, second, third, *rates):
    names = (first, second, third)
    _send_all(
        context,
        seconds,
        {name: float(each) for name, each in zip(names, rates, strict=True)},
    )


def _is_answered(reply, within_s=1.0):
    return reply.status == 200 and reply.elapsed <= within_s


@then(
    rf'each "([^"]+)" gets at least ([\d.]+) of its answers within {_SECONDS}'
    r'(?: after the first (\d+) seconds?)?'
)
def check_share(context, name, fraction, within, skipped_s):
    from_s = context.began_at + float(skipped_s or 0)
    for team in _list_members(context, name):
        replies = [
            reply
            for sent_at, _, reply in context.answers[team]
            if sent_at >= from_s
        ]
        timely = sum(_is_answered(each, float(within)) for each in replies)
        asked = len(replies)
        assert timely >= float(fraction) * asked, (team, timely, asked)


@then(
    r'all teams together get at least (\d+) answers a second within '
    rf'{_SECONDS}'
)
def check_total(context, rate, within):
    timely = sum(
        _is_answered(reply, float(within))
        for answers in context.answers.values()
        for _, _, reply in answers
    )
    assert timely >= int(rate) * context.seconds, timely


@then(
    r'queries that were refused have not run and were refused within '
    rf'{_SECONDS}'
)
def check_refused(context, within):
    ran = {
        request_id
        for model in context.gateway.upstreams.values()
        for request_id in model.arrivals
    }
    refused = [
        (request_id, reply)
        for answers in context.answers.values()
        for _, request_id, reply in answers
        if reply.status == 503
    ]
    assert len(refused) > 100, len(refused)
    for request_id, reply in refused:
        assert request_id not in ran, request_id
        assert float(reply.headers['retry-after']) > 0
        assert reply.elapsed < float(within), reply


def _count_answered(context, team):
    return sum(_is_answered(reply) for _, _, reply in context.answers[team])


@then(r'"([^"]+)" gets between (\d+) and (\d+) times the answers of "([^"]+)"')
def compare_answers(context, team, least, most, other):
    counts = _count_answered(context, team), _count_answered(context, other)
    ratio = counts[0] / counts[1]
    assert int(least) <= ratio <= int(most), counts


@then(r'"([^"]+)" is served at least ([\d.]+) as often as all teams')
def check_not_starved(context, team, fraction):
    asked = {name: len(each) for name, each in context.answers.items()}
    answered = {name: _count_answered(context, name) for name in asked}
    own = answered[team] / asked[team]
    everyone = sum(answered.values()) / sum(asked.values())
    assert own >= float(fraction) * everyone, (asked, answered)


@then(r'a query of "([^"]+)" on "([^"]+)" has the rank (\d+)')
def check_rank(context, team, prefix, rank):
    table = context.gateway.make_table(1)
    (route,) = [
        each for each in table.routes.values() if each.prefix == prefix
    ]
    found = table.get_rank(route, table.teams.find(state.TeamId(team)))
    assert found == int(rank), found


@given(r'(\d+) of its queries were admitted within the last second')
def admit_queries(context, count):
    async def admit():
        clock = state.Clock(asyncio.get_running_loop())
        context.admission = gateway.Admission(clock)
        context.limit = context.admission.get_limit(('shard-0',))
        context.team, _ = context.teams['crowd']
        for _ in range(int(count)):
            await asyncio.sleep(1.0 / int(count))
            assert context.admission.try_acquire(
                context.limit, 0, context.team, 1
            )

    run(context, admit())


@when(r'(\d+) (?:more )?of its queries are refused at once')
def refuse_queries(context, count):
    context.limit.limit = float(context.limit.in_flight)
    context.waits = []
    for _ in range(int(count)):
        assert not context.admission.try_acquire(
            context.limit, 0, context.team, 1
        )
        context.waits.append(
            context.admission.get_retry_after_s(context.limit, context.team)
        )


@then(
    r'each may return later than the one before, ([\d.]+) to '
    rf'{_SECONDS} from now'
)
def check_return_order(context, first, last):
    waits = context.waits
    pairs = zip(waits, waits[1:], strict=False)
    assert all(before < after for before, after in pairs), waits
    assert float(first) <= waits[0] and waits[-1] <= float(last), waits


@then(rf'none is told to return after more than {_SECONDS}')
def check_longest_return(context, seconds):
    assert max(context.waits) <= float(seconds), context.waits
