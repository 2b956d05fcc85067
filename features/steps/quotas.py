"""Steps for quotas of teams over several gateways."""

import asyncio
import bisect
import collections
import dataclasses
import json
import math
import types

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps import teams as teams_steps
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_WINDOW_S = 5.0
_OVERAGE = 0.1
_SLACK = 20.0
_BOUNDS = {
    'quota_window_s': _WINDOW_S,
    'quota_overage': _OVERAGE,
    'quota_slack': _SLACK,
}
# Time that a message between hosts of two regions takes, with its processing.
_MESSAGE_DELAY_S = 0.03
_ZONES = ['north-1', 'north-2', 'south-1']
_ROUTE = '/desk/'
_UPSTREAM = 'u1'
_SERVICE = 'desk'


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request of a team and its reply."""

    request_id: str
    at: float
    reply: gateway_bench.Reply


@given(r'(\d+) gateways( that allow no overshoot)? with the teams')
def start_gateways(context, count, is_strict):
    for row in context.table:
        _set_team(context, row['team'], row['rate'], row['burst'])
    bounds = {**_BOUNDS}
    if is_strict:
        bounds.update(quota_overage=0.0, quota_slack=0.0)
    _start(context, int(count), bounds)


def _start(context, count, bounds):
    """Start gateways in three zones, in front of one upstream."""
    harness = gateway_steps.get(context)
    run(context, harness.add_upstream(_UPSTREAM, _SERVICE))
    harness.add_route(
        _ROUTE, gateway.Single(gateway.ServiceName(_SERVICE)), timeout_s=2.0
    )
    harness.publish()
    context.fleet = gateway_bench.FleetHarness(harness, context.stack)
    context.fleet.settings = bounds
    zones = [_ZONES[number % len(_ZONES)] for number in range(count)]
    run(context, context.fleet.start(zones))
    for member in context.fleet.members.values():
        _delay_messages(member)
    run(context, asyncio.sleep(6.0))
    context.asked = collections.defaultdict(list)


def _set_team(context, team, rate, burst):
    """List a team whose only key is its name."""
    teams_steps.add_team(
        context, team, [team], quota_per_s=float(rate), burst=float(burst)
    )


@when(r'the quota of "([^"]+)" becomes (\S+) and (\S+)')
def set_quota(context, team, rate, burst):
    _set_team(context, team, rate, burst)
    context.gateway.publish()


@when(r'the owner of "([^"]+)" does not get new tables')
def hold_table(context, team):
    owned = context.fleet.members[_get_owner(context, team)].process.quotas
    context.held_tables = owned.kept._tables
    owned.kept._tables = types.SimpleNamespace(
        current=context.held_tables.current
    )


@when(r'the owner of "([^"]+)" gets the table')
def release_table(context, team):
    owner = context.fleet.members[_get_owner(context, team)]
    owner.process.quotas.kept._tables = context.held_tables


@when(r'the team "([^"]+)" leaves the table')
def remove_team(context, team):
    del context.teams[team]
    teams_steps.publish_teams(context)
    context.gateway.publish()


async def _ask(context, team, host):
    request_id = gateway_steps.next_id(context)
    raw = gateway_bench.make_raw(
        request_id,
        f'{_ROUTE}{request_id}',
        deadline_ms=2000,
        extra=teams_steps.format_key_header(team),
    )
    at = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(3.0):
            reply = await context.fleet.ask(host, raw)
    except (ConnectionError, TimeoutError):
        return
    context.asked[team].append(Asked(request_id, at, reply))


async def _send_load(context, team, rate, seconds):
    """Send requests of a team to one gateway after another."""
    tasks = []
    for number in range(round(rate * seconds)):
        hosts = [
            name
            for name, member in context.fleet.members.items()
            if member.silent_server is None
        ]
        host = hosts[number % len(hosts)]
        tasks.append(asyncio.create_task(_ask(context, team, host)))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)


@when(r'these teams send for ([\d.]+) seconds')
def send_loads(context, seconds):
    async def send():
        await asyncio.gather(
            *(
                _send_load(
                    context, row['team'], float(row['rate']), float(seconds)
                )
                for row in context.table
            )
        )

    context.asked_before = {
        team: len(asked) for team, asked in context.asked.items()
    }
    run(context, send())


@when(r'the team "([^"]+)" sends 1 request to "([^"]+)"')
def send_one(context, team, host):
    run(context, _ask(context, team, host))


def _list_ranked(context, team):
    """Return the hosts by rank, the owner first."""
    member = next(iter(context.fleet.members.values()))
    ranked = gateway.rank_hosts(team, member.hosts.list_hosts())
    return [each.host for each in ranked]


def _get_owner(context, team):
    return _list_ranked(context, team)[0]


@when(r'the owner of "([^"]+)" is killed')
def kill_owner(context, team):
    context.killed = _get_owner(context, team)
    context.killed_zone = context.fleet.members[context.killed].hosts.own.zone
    run(context, context.fleet.kill(context.killed))


@when(r'the killed gateway starts again')
def restart_killed(context):
    number = int(context.killed.removeprefix('g'))
    run(context, context.fleet.add(context.killed_zone, number=number))
    _delay_messages(context.fleet.members[context.killed])


@when(
    r'each voter of "([^"]+)" is killed, back after ([\d.]+) seconds, and '
    r'the next one ([\d.]+) seconds later, with this load'
)
def restart_voters(context, team, away_s, apart_s):
    for host in _list_ranked(context, team)[: gateway.VOTER_COUNT]:
        context.killed = host
        context.killed_zone = context.fleet.members[host].hosts.own.zone
        run(context, context.fleet.kill(host))
        send_loads(context, away_s)
        restart_killed(context)
        send_loads(context, apart_s)


@when(r'the owner of "([^"]+)" is frozen')
def freeze_owner(context, team):
    _freeze(context, _list_ranked(context, team)[:1])


@when(r'two voters of "([^"]+)" are frozen')
def freeze_two(context, team):
    _freeze(context, _list_ranked(context, team)[:2])


def _freeze(context, hosts):
    context.frozen = [context.fleet.members[host] for host in hosts]
    for each in context.frozen:
        run(context, each.simulate_freeze())


@when(r'the frozen gateways? wakes?')
def wake_frozen(context):
    for each in context.frozen:
        run(context, each.simulate_wake(context.stack))


@when(r'the source is down for (\d+) seconds and loses all hosts')
def lose_all_hosts(context, seconds):
    source = context.gateway.source
    source.is_down = int(seconds) > 0
    source.hosts.clear()
    run(context, asyncio.sleep(float(seconds)))
    source.is_down = False


def _get_sender(request):
    """Return the host that sent a report about quotas, or None."""
    if request.target != b'/v1/quota/report':
        return None
    return json.loads(request.body)[1]


def _drop_answers(member, is_dropped):
    """Handle reports, but send no answers to some hosts."""
    peers = member.process.peers
    handle = peers.handle

    async def handle_and_drop(request):
        reply = await handle(request)
        sender = _get_sender(request)
        if sender is not None and is_dropped(sender):
            await asyncio.sleep(3600.0)
        return reply

    peers.handle = handle_and_drop


def _delay_messages(member):
    """Let messages of peers arrive later, as from another region."""
    peers = member.process.peers
    handle = peers.handle

    async def handle_later(request):
        await asyncio.sleep(_MESSAGE_DELAY_S)
        return await handle(request)

    peers.handle = handle_later


@when(
    r'the clocks of all hosts but the owner of "([^"]+)" fall back by (\d+) s'
)
def set_clocks_back(context, team, seconds):
    peers = context.fleet.members[_get_owner(context, team)].process.peers
    handle = peers.handle

    async def handle_earlier(request):
        if _get_sender(request) is not None:
            report = json.loads(request.body)
            report[2] -= 1000 * int(seconds)
            request = dataclasses.replace(
                request, body=json.dumps(report).encode()
            )
        return await handle(request)

    peers.handle = handle_earlier


@when(r'the answers of the first (\d+) voters? of "([^"]+)" are lost')
def lose_answers(context, count, team):
    context.unanswered = set(context.fleet.members)
    for host in _list_ranked(context, team)[: int(count)]:
        voter = context.fleet.members[host]
        _drop_answers(voter, context.unanswered.__contains__)


@when(r'all voters answer again')
def answer_again(context):
    context.unanswered.clear()


@when(r'the team "([^"]+)" sends 1 request to the last host in rank')
def send_to_last(context, team):
    run(context, _ask(context, team, _list_ranked(context, team)[-1]))


@when(r'the zone "([^"]+)" gets no answers from the other zones')
def cut_zone_one_way(context, zone):
    members = context.fleet.members
    inside = {
        name for name, each in members.items() if each.hosts.own.zone == zone
    }
    assert inside
    for name in members.keys() - inside:
        _drop_answers(members[name], inside.__contains__)


@when(r'the gateway "([^"]+)" is cut off from its peers and the source')
def cut_off(context, name):
    members = context.fleet.members
    members[name].source.is_silent = True
    for other, member in members.items():
        if other != name:
            _drop_answers(member, name.__eq__)
    members[name].hang_peer_requests()


@when(r'the owner of "([^"]+)" is cut off from its peers and the source')
def cut_owner_off(context, team):
    cut_off(context, _get_owner(context, team))


@when(r'all gateways are killed and start again')
def restart_all(context):
    async def restart():
        zones = {
            name: each.hosts.own.zone
            for name, each in context.fleet.members.items()
        }
        for name in zones:
            await context.fleet.kill(name)
        await asyncio.sleep(1.0)
        await asyncio.gather(
            *(
                context.fleet.add(zone, number=int(name.removeprefix('g')))
                for name, zone in zones.items()
            )
        )
        for member in context.fleet.members.values():
            _delay_messages(member)
        await asyncio.sleep(0.5)

    run(context, restart())


@when(r'another gateway starts')
def start_another(context):
    async def start():
        await context.fleet.add(_ZONES[0])
        await asyncio.sleep(1.5)

    run(context, start())


@when(r'the upstream leaves')
def remove_upstream(context):
    context.gateway.source.remove_endpoint(_UPSTREAM)
    run(context, asyncio.sleep(4.0))


@when(r'the upstream returns')
def return_upstream(context):
    address = ('10.1.0.1', 9000)
    context.gateway.register(_UPSTREAM, _SERVICE, 'north-1', address)
    run(context, asyncio.sleep(3.0))


@when(r'the upstream accepts connections but does not finish them')
def hold_connections(context):
    run(context, context.gateway.upstreams[_UPSTREAM].stop())


@when(r'(\d+) callers of "([^"]+)" leave after ([\d.]+) seconds')
def leave_early(context, count, team, seconds):
    async def leave():
        (name,) = context.fleet.members
        for _ in range(int(count)):
            caller = await context.fleet.connect(name)
            await caller.send(
                gateway_bench.make_raw(
                    gateway_steps.next_id(context),
                    _ROUTE,
                    extra=teams_steps.format_key_header(team),
                )
            )
            await asyncio.sleep(float(seconds))
            caller.leave()
            await asyncio.sleep(0.1)

    run(context, leave())


def _list_run_times(context, team):
    """Return when requests of a team ran at upstreams."""
    return sorted(
        each.at
        for model in context.gateway.upstreams.values()
        for each in model.runs
        if each.headers.get('rudderrock-team') == team
    )


def _count_most(times):
    """Return the largest number of times within one window."""
    return max(
        (
            bisect.bisect_left(times, start + _WINDOW_S) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


def _get_limit(context, team):
    found, _ = context.teams[team]
    return found.quota_per_s * _WINDOW_S + found.burst


@then(r'the quota of "([^"]+)" is never exceeded by more than the allowance')
def check_quota(context, team):
    most = _count_most(_list_run_times(context, team))
    allowed = _get_limit(context, team) * (1 + _OVERAGE) + _SLACK
    print(
        'MOST',
        team,
        most,
        allowed,
        {k: dict(_list_statuses(context, k)) for k in context.asked},
    )
    assert most <= allowed, (most, allowed)


@then(r'at most (\d+) requests of "([^"]+)" have run in any 5 seconds')
def check_most(context, count, team):
    most = _count_most(_list_run_times(context, team))
    assert 0 < most <= int(count), most


@then(r'at most (\d+) requests of "([^"]+)" have run in the last 5 seconds')
def check_recent(context, count, team):
    now = context.loop.time()
    times = _list_run_times(context, team)
    recent = sum(now - at <= _WINDOW_S for at in times)
    assert 0 < recent <= int(count), recent


@then(r'"([^"]+)" has run at least ([\d.]+) times its quota')
def check_used(context, team, share):
    times = _list_run_times(context, team)
    found, _ = context.teams[team]
    due = found.burst + found.quota_per_s * (times[-1] - times[0])
    assert len(times) >= float(share) * due, (len(times), due)


def _list_statuses(context, team):
    return collections.Counter(
        each.reply.status for each in context.asked[team]
    )


@then(r'no request of "([^"]+)" is refused')
def check_none_refused(context, team):
    statuses = _list_statuses(context, team)
    # Status 0 is a connection to a host that was killed.
    assert statuses[200] and not statuses.keys() - {0, 200}, statuses


@then(r'no request of "([^"]+)" is refused with 429')
def check_no_429(context, team):
    statuses = _list_statuses(context, team)
    assert statuses[200] and not statuses[429], statuses


@then(r'none of the last (\d+) requests of "([^"]+)" is refused')
def check_last_served(context, count, team):
    last = context.asked[team][-int(count) :]
    assert all(each.reply.status == 200 for each in last), [
        each.reply.status for each in last
    ]


@then(r'each request of "([^"]+)" was refused with 503')
def check_all_503(context, team):
    statuses = _list_statuses(context, team)
    assert statuses.keys() == {503}, statuses


@then(
    r'the requests of "([^"]+)" were refused with 429 and a Retry-After of '
    r'(\d+) seconds at most'
)
def check_retry_after(context, team, seconds):
    refused = [
        each for each in context.asked[team] if each.reply.status != 200
    ]
    assert refused
    for each in refused:
        assert each.reply.status == 429, each
        retry_after_s = float(each.reply.headers['retry-after'])
        assert 0 < retry_after_s <= float(seconds), each


@then(r'a refusal of "([^"]+)" names "([^"]+)" as the host that decided')
def check_decided_by(context, team, host):
    lines = [json.loads(line) for line in context.gateway.log.lines]
    assert any(
        line.get('team') == team
        and line.get('outcome') == 'over_quota'
        and line['quota_by'] == host
        and line['quota_age_ms'] >= 0
        for line in lines
    )


@then(r'no gateway has asked an owner first')
def check_not_asked(context):
    for name, member in context.fleet.members.items():
        owns = member.process.quotas.kept.list_use()
        assert owns or not member.process.quotas.asked, name


@then(r'no gateway has sent a message about quotas')
def check_no_messages(context):
    for member in context.fleet.members.values():
        quotas = member.process.quotas
        assert (
            not quotas.client.reports_sent and not quotas.client.notices_sent
        )


@then(r'no gateway has timers or metrics of quotas')
def check_no_timers(context):
    calls = []

    async def record_report():
        calls.append('report')

    for name, member in context.fleet.members.items():
        quotas = member.process.quotas
        quotas.kept.check = lambda: calls.append('check')
        quotas._report_once = record_report
        metrics = run(context, _scrape(context, name))
        assert not [key for key in metrics if 'quota' in key], metrics
    # Also when a host joins.
    run(context, context.fleet.add(_ZONES[0]))
    run(context, asyncio.sleep(3.0))
    assert not calls, calls


@then(r'no gateway keeps anything about "([^"]+)"')
def check_forgotten(context, team):
    for member in context.fleet.members.values():
        assert team not in member.process.quotas.list_teams()


@then(r'the owner of "([^"]+)" counts (\d+) requests')
def check_counted(context, team, count):
    run(context, asyncio.sleep(0.2))
    owner = context.fleet.members[_get_owner(context, team)]
    uses = {
        each.team: each.count for each in owner.process.quotas.kept.list_use()
    }
    assert uses.get(team, 0) == int(count), uses


@when(
    r'another process sends the report of request (\d+)'
    r'(?:, which is held up for (\d+) seconds)?'
)
def send_report(context, number, delay_s):
    (member,) = context.fleet.members.values()
    sent_ms = round(context.loop.time() * 1000)
    teams = [['any', [[int(number), 0]], [], None]]
    body = json.dumps(['p1', 'g9', sent_ms, teams]).encode()
    request = gateway.Request(b'POST', b'/v1/quota/report', [], body, 0.0)
    run(context, asyncio.sleep(float(delay_s or 0)))
    assert member.process.quotas.handle_report(request).status == 200


@when(
    r'a host of another zone asks the first fallback for "([^"]+)" '
    r'(\d+) times in (\d+) seconds'
)
def ask_fallback(context, team, count, seconds):
    members = context.fleet.members
    fallback = members[_list_ranked(context, team)[gateway.VOTER_COUNT]]
    sender = next(
        name
        for name, each in members.items()
        if each.hosts.own.zone != fallback.hosts.own.zone
    )
    context.granted = 0
    for number in range(int(count)):
        sent_ms = round(context.loop.time() * 1000)
        teams = [[team, [], [], number]]
        body = json.dumps(['p1', sender, sent_ms, teams]).encode()
        request = gateway.Request(b'POST', b'/v1/quota/report', [], body, 0.0)
        reply = fallback.process.quotas.handle_report(request)
        retry_after_ms = json.loads(reply.body)[1][0][2]
        context.granted += retry_after_ms is None
        run(context, asyncio.sleep(float(seconds) / int(count)))


@then(r'it admits (\d+) requests, which need no knowledge of others')
def check_granted(context, count):
    assert context.granted == int(count), context.granted


@given(r'a ledger of a team with the quota (\d+) and (\d+)')
def make_ledger(context, rate, burst):
    context.team = gateway.Team(
        team=state.TeamId('any'), quota_per_s=float(rate), burst=float(burst)
    )
    bounds = gateway.QuotaBounds(
        window_s=_WINDOW_S, overage=_OVERAGE, slack=_SLACK
    )
    context.now = 100.0
    context.ledger = gateway.TeamLedger(bounds)
    context.number = 0
    context.verdicts = []


def _read_numbers(text):
    return [int(each) for each in text.split(',') if each != 'none']


@given(r'a host that has admitted the requests ([\d, ]+)')
def make_spending(context, numbers):
    bounds = gateway.QuotaBounds(
        window_s=_WINDOW_S, overage=_OVERAGE, slack=_SLACK
    )
    context.spending = gateway.TeamSpending(bounds)
    for number in _read_numbers(numbers):
        context.spending.record(number, 100.0)


@when(
    r'it reports them, and gives back the request (\d+) before the owner '
    r'"([^"]+)" has confirmed'
)
def give_back_under_way(context, number, owner):
    reported, _ = context.spending.list_unreported('g1', 100.0)
    context.spending.give_back(int(number), 100.0)
    context.spending.confirm('g1', owner, [each for each, _ in reported], [])


@when(r'the owner "([^"]+)" answers')
def answer_as_new_owner(context, owner):
    context.spending.confirm('g1', owner, [], [])


@then(
    r'it has to report (none|[\d, ]+) as admitted, and ([\d, ]+) as given back'
)
def check_unreported(context, admitted, given_back):
    spent, returned = context.spending.list_unreported('g1', 100.0)
    assert [each for each, _ in spent] == _read_numbers(admitted), spent
    assert returned == _read_numbers(given_back), returned


@when(
    r'the process "([^"]+)" reports the requests ([\d, ]+)'
    r'(?: that are (\d+) seconds old)?'
)
def report(context, process, numbers, age_s):
    at = context.now - float(age_s or 0)
    for number in _read_numbers(numbers):
        context.ledger.record(process, number, at, context.now)


@when(r'the process "([^"]+)" gives back the request (\d+)')
def give_back(context, process, number):
    context.ledger.give_back(process, int(number), context.now)


@then(r'(\d+) requests are counted')
def check_ledger(context, count):
    found = context.ledger.count(context.now)
    assert found == int(count), found


def _decide(context):
    context.number += 1
    return context.ledger.decide(
        context.team, 'p', context.number, context.now, gateway.Standing()
    )


@when(r'(\d+) requests are asked for, ([\d.]+) seconds apart')
def ask_ledger(context, count, apart):
    context.verdicts = []
    for _ in range(int(count)):
        context.verdicts.append((context.now, _decide(context)))
        context.now += float(apart)


@then(r'(\d+) requests are admitted')
def check_admitted(context, count):
    admitted = [
        isinstance(each, gateway.Granted) for _, each in context.verdicts
    ]
    assert sum(admitted) == int(count), context.verdicts


@then(r'the first (\d+) of them are admitted')
def check_first_admitted(context, count):
    admitted = [
        isinstance(each, gateway.Granted) for _, each in context.verdicts
    ]
    assert admitted == sorted(admitted, reverse=True), context.verdicts
    assert sum(admitted) == int(count), context.verdicts


@then(r'the others are refused, and each returns later than the one before')
def check_spread(context):
    context.return_at = [
        at + each.retry_after_s
        for at, each in context.verdicts
        if isinstance(each, gateway.Denied)
    ]
    times = context.return_at
    assert times == sorted(set(times)), times
    assert times[-1] <= context.now + _WINDOW_S, times


@when(r'each of them returns when it was told to')
def return_later(context):
    context.verdicts = []
    for context.now in context.return_at:
        context.verdicts.append((context.now, _decide(context)))


@then(r'the log of the owner of "([^"]+)" says that hosts ask it first')
def check_state_lines(context, team):
    lines = [json.loads(line) for line in context.gateway.log.lines]
    changes = [
        line
        for line in lines
        if line['kind'] == 'quota_changed' and line['team'] == team
    ]
    voters = {each['host'] for each in changes}
    assert len(voters) == gateway.VOTER_COUNT, changes
    assert _get_owner(context, team) in voters, changes
    assert changes[0]['standing'] == 'ask_first', changes
    assert changes[0]['limit'] == _get_limit(context, team), changes


@then(
    r'the log says from whom a voter of "([^"]+)" has learned what is counted'
)
def check_learned(context, team):
    lines = [json.loads(line) for line in context.gateway.log.lines]
    learned = [line for line in lines if line['kind'] == 'quota_learned']
    assert learned
    voters = _list_ranked(context, team)[: gateway.VOTER_COUNT]
    for line in learned:
        assert line['team'] == team, line
        assert line['origin'] in voters, line
        assert line['origin'] != line['host'], line
        assert line['count'] >= line['copied'] > 0, line


async def _scrape(context, name):
    """Return the values of a gateway's metrics, by their names and labels."""
    address = context.fleet.members[name].address
    caller = gateway_bench.Caller(
        *await asyncio.open_connection(address, 8002)
    )
    await caller.send(gateway_bench.make_raw('scrape', '/metrics'))
    body = (await caller.read()).body.decode()
    caller.leave()
    return {
        key: float(value)
        for key, _, value in (
            line.rpartition(' ')
            for line in body.splitlines()
            if not line.startswith('#')
        )
    }


@then(
    r'the metrics of all gateways name "([^"]+)" with what it was admitted '
    r'and refused'
)
def check_metrics(context, team):
    counts = collections.Counter()
    for name in context.fleet.members:
        counts.update(run(context, _scrape(context, name)))
    statuses = _list_statuses(context, team)
    label = f'{{team="{team}"}}'
    admitted = counts[f'rudderrock_quota_admitted_total{label}']
    refused = counts[f'rudderrock_quota_refused_total{label}']
    assert (admitted, refused) == (statuses[200], statuses[429])
    assert counts[f'rudderrock_quota_limit{label}'] == _get_limit(
        context, team
    )


@given(r'1 gateways with 12 teams of a quota')
def start_with_many_teams(context):
    for number in range(12):
        _set_team(context, f't{number:02}', 9, 12)
    _start(context, 1, _BOUNDS)


@when(r'each team sends one request more than the one before')
def send_rising(context):
    for number in range(12):
        for _ in range(number + 1):
            run(context, _ask(context, f't{number:02}', 'g1'))


@then(
    r'the metrics name (\d+) teams, the last ones, and count (\d+) requests '
    r'of others'
)
def check_cardinality(context, count, others):
    prefix = 'rudderrock_quota_admitted_total{team="'
    found = {
        key.removeprefix(prefix).rstrip('"}'): value
        for key, value in run(context, _scrape(context, 'g1')).items()
        if key.startswith(prefix)
    }
    named = {f't{number:02}' for number in range(12 - int(count), 12)}
    assert found.keys() == {*named, 'others'}, found
    assert found['others'] == int(others), found


@given(r'a voter of a quota that other hosts send messages to')
def make_contact_monitor(context):
    context.contact = gateway.ContactMonitor(core.Clock(context.loop))
    context.contact.record_message(True)


@when(r'it stands still for (\d+) seconds')
def stand_still(context, seconds):
    context.expects_messages = False
    run(context, asyncio.sleep(float(seconds)))


@when(r'it (gets|expects) no messages for (\d+) seconds')
def run_without_messages(context, word, seconds):
    context.expects_messages = word == 'gets'

    async def check_often():
        for _ in range(2 * int(seconds)):
            await asyncio.sleep(0.5)
            context.contact.check(context.expects_messages)

    run(context, check_often())


@then(r'it (finds|does not find) a pause with the next message')
def check_pause(context, word):
    context.contact.record_message(context.expects_messages)
    found = context.contact.missed_at > -math.inf
    assert found == (word == 'finds'), context.contact.missed_at
