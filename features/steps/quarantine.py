"""Steps on requests that crash the upstreams which run them."""

import asyncio
import dataclasses
import itertools

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import hypothesis
from hypothesis import strategies

from features import gateway_bench
from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import standins
from rudderrock import state

use_step_matcher('re')


@given(r'a request for "([^"]+)" crashes every upstream that runs it')
def mark_lethal(context, target):
    for model in gateway_steps.get(context).upstreams.values():
        model.lethal = model.lethal | {target}


def list_crashes(context):
    """Return the times at which upstreams crashed, in order."""
    models = gateway_steps.get(context).upstreams.values()
    return sorted(at for model in models for at in model.crashes)


@then(
    r'the (\d+) log lines of "([^"]+)" have the same digest, and the first '
    r'has at least (\d+) lost attempts'
)
def check_lost_lines(context, count, target, minimum):
    lines = gateway_checks.list_lines(context, 'request')
    assert len(lines) == int(count), lines
    assert len({line['digest'] for line in lines}) == 1, lines
    assert all(len(line['digest']) == 32 for line in lines), lines
    assert lines[0]['lost'] >= int(minimum), lines


@then(r'its log line has no digest')
def check_no_digest(context):
    found = [
        line
        for line in gateway_checks.list_lines(context, 'request')
        if line['request_id'] == context.request_id
    ]
    assert [line['digest'] for line in found] == [''], found


@given(
    r'(\d+) gateways in each of two zones in front of (\d+) shards? of (\d+) '
    r'upstreams'
)
def start_zones(context, count, shards, replicas):
    delegate.start_zones(
        context,
        int(count),
        int(shards),
        int(shards) // 2,
        replicas=int(replicas),
    )


@given(r'the route "([^"]+)" to one of the shards')
def add_route_to_one_shard(context, prefix):
    harness = gateway_steps.get(context)
    harness.add_route(prefix, gateway.Single(context.shards[0]))
    harness.publish()
    run(context, asyncio.sleep(1.0))


async def send_request(context, name, target):
    """Send one gateway a request with a new id; return the id and reply."""
    request_id = gateway_steps.next_id(context)
    raw = gateway_bench.make_raw(request_id, target, deadline_ms=1000)
    return request_id, await context.fleet.ask(name, raw)


@when(
    r'copies of "([^"]+)" are sent to all gateways in turn, ([\d.]+) a second '
    r'for ([\d.]+) seconds'
)
def send_copies(context, target, rate, seconds):
    names = list(context.fleet.members)

    async def execute():
        tasks = []
        for number in range(round(float(rate) * float(seconds))):
            name = names[number % len(names)]
            tasks.append(
                asyncio.create_task(send_request(context, name, target))
            )
            await asyncio.sleep(1.0 / float(rate))
        return await asyncio.gather(*tasks)

    context.copies = run(context, execute())


def list_arrivals(context):
    """Return time and request id of each arrival at an upstream, in order."""
    models = gateway_steps.get(context).upstreams.values()
    return sorted(each for model in models for each in model.timed_arrivals)


@then(
    r'at most (\d+) copies reach upstreams later than ([\d.]+) seconds after '
    r'the third crash'
)
def check_late_copies(context, maximum, seconds):
    third = list_crashes(context)[2]
    copies = {request_id for request_id, _ in context.copies}
    late_ids = {
        request_id
        for at, request_id in list_arrivals(context)
        if request_id in copies and at > third + float(seconds)
    }
    assert len(late_ids) <= int(maximum), late_ids


@then(r'at most (\d+) upstreams have crashed')
def check_crashes(context, maximum):
    crashes = list_crashes(context)
    assert len(crashes) <= int(maximum), crashes


@then(r'(\d+) upstreams have crashed')
def check_crash_count(context, count):
    crashes = list_crashes(context)
    assert len(crashes) == int(count), crashes


@when(
    r'copies of "([^"]+)" are sent to all gateways in turn, ([\d.]+) a second '
    r'for ([\d.]+) seconds, along with (\d+) other queries a second'
)
def send_with_others(context, target, rate, seconds, others):
    async def execute():
        names = list(context.fleet.members)
        tasks = []
        for number in range(round(float(seconds) * int(others))):
            name = names[number % len(names)]
            other_target = f'/all/other-{number}'
            tasks.append(
                asyncio.create_task(send_request(context, name, other_target))
            )
            if number % (int(others) / float(rate)) == 0:
                copy = send_request(context, name, target)
                context.copies.append(asyncio.create_task(copy))
            await asyncio.sleep(1.0 / int(others))
        context.copies = await asyncio.gather(*context.copies)
        return await asyncio.gather(*tasks)

    context.copies = []
    context.others = run(context, execute())


@then(r'no shard was without an upstream at any time')
def check_always_live(context):
    models = gateway_steps.get(context).upstreams
    for shard in context.shards:
        replicas = [
            model
            for name, model in models.items()
            if name.rpartition('-')[0] == shard
        ]
        crash_times = sorted(at for each in replicas for at in each.crashes)
        for crash, next_crash in itertools.pairwise(crash_times):
            assert next_crash - crash >= standins.DOWN_S, (shard, crash_times)


@then(r'no other query was quarantined')
def check_others_not_quarantined(context):
    ids = {request_id for request_id, _ in context.others}
    quarantined = [
        each for each in list_quarantined(context) if each['request_id'] in ids
    ]
    assert not quarantined, quarantined


@then(r'at least a fraction of ([\d.]+) of the other queries was answered')
def check_others_answered(context, fraction):
    answered = [reply for _, reply in context.others if reply.status == 200]
    assert len(answered) >= float(fraction) * len(context.others), len(
        answered
    )


def list_quarantined(context):
    """Return the log lines of requests that were quarantined."""
    lines = gateway_checks.list_lines(context, 'request')
    return [line for line in lines if line['outcome'] == 'quarantined']


@then(r'no request was quarantined')
def check_none_quarantined(context):
    assert not list_quarantined(context), list_quarantined(context)


@then(r'no log line reports a suspect request')
def check_none_suspected(context):
    lines = gateway_checks.list_lines(context, 'quarantine_changed')
    assert not lines, lines


@when(r'one more gateway starts')
def start_one_more(context):
    run(context, context.fleet.add('north-1'))
    run(context, asyncio.sleep(3.0))


@when(r'the gateway that reads the source restarts')
def restart_reader(context):
    restart(context, [context.fleet.find_reader()])


@when(r'all gateways in the zone of the gateway that reads the source restart')
def restart_zone(context):
    members = context.fleet.members
    zone = members[context.fleet.find_reader()].hosts.own.zone
    restart(
        context,
        [
            name
            for name, each in members.items()
            if each.hosts.own.zone == zone
        ],
    )


def restart(context, names):
    """Kill gateways and start them again under the same names."""

    async def execute():
        zones = {
            name: context.fleet.members[name].hosts.own.zone for name in names
        }
        for name in names:
            await context.fleet.kill(name)
        for name, zone in zones.items():
            number = int(name.removeprefix('g'))
            await context.fleet.add(zone, number=number)
        await asyncio.sleep(4.0)

    run(context, execute())


@when(
    r'copies of "([^"]+)" are sent to all gateways in turn, ([\d.]+) a second '
    r'for ([\d.]+) seconds, and all gateways are killed every ([\d.]+) seconds'
)
def send_copies_during_kills(context, target, rate, seconds, every_s):
    fleet = context.fleet
    names = list(fleet.members)
    zones = [each.hosts.own.zone for each in fleet.members.values()]

    async def kill_repeatedly():
        while True:
            await asyncio.sleep(float(every_s))
            await asyncio.gather(*(fleet.kill(name) for name in names))
            for name, zone in zip(names, zones, strict=True):
                await fleet.add(zone, number=int(name.removeprefix('g')))

    async def send_if_listening(name):
        try:
            return await send_request(context, name, target)
        except (ConnectionError, KeyError):
            # The gateway is being restarted.
            return None

    async def execute():
        killing = asyncio.create_task(kill_repeatedly())
        tasks = []
        for number in range(round(float(rate) * float(seconds))):
            name = names[number % len(names)]
            tasks.append(asyncio.create_task(send_if_listening(name)))
            await asyncio.sleep(1.0 / float(rate))
        replies = await asyncio.gather(*tasks)
        await core.end_task(killing)
        return [each for each in replies if each is not None]

    context.copies = run(context, execute())


@then(r'none of the copies reached an upstream')
def check_none_arrived(context):
    copies = {request_id for request_id, _ in context.copies}
    found = [each for each in list_arrivals(context) if each[1] in copies]
    assert copies
    assert not found, found


@when(
    r'one gateway answers no request of its peers for ([\d.]+) seconds while '
    r'a copy of "([^"]+)" is sent to another gateway'
)
def block_peer_requests(context, seconds, target):
    first, *_, last = context.fleet.members
    process = context.fleet.members[last].process

    async def execute():
        original_handle = process.peers.handle
        process.peers.handle = hang
        await send_request(context, first, target)
        await asyncio.sleep(float(seconds))
        process.peers.handle = original_handle

    async def hang(request):
        await asyncio.sleep(float(seconds))
        return gateway.Reply(503, [])

    run(context, execute())


@when(
    r'"([^"]+)" and "([^"]+)" crash in turn every ([\d.]+) seconds while '
    r'(\d+) requests for "([^"]+)" are sent at (\d+) a second'
)
def crash_in_turn(context, first, second, every_s, count, target, rate):
    harness = gateway_steps.get(context)

    async def execute():
        load = asyncio.create_task(
            harness.ask_at_rate(target, int(rate), int(count) / int(rate))
        )
        turn = 0
        while not load.done():
            await asyncio.sleep(float(every_s))
            harness.upstreams[(first, second)[turn % 2]].crash(1.0)
            turn += 1
        await load

    run(context, execute())


_REQUEST = gateway.Request(
    b'GET',
    b'/notes/1',
    [
        (b'host', b'members.example'),
        (b'rudderrock-request-id', b'q1'),
        (b'rudderrock-team', b'front-desk'),
        (b'authorization', b'Bearer one'),
    ],
    b'parcel',
    0.0,
)


@given(r'a request')
def set_request(context):
    context.first_request = _REQUEST


@given(r'the same request with another ([\w -]+)')
def make_changed_request(context, part):
    names = {
        'team': b'rudderrock-team',
        'request id': b'rudderrock-request-id',
    }
    if part in ('method', 'target', 'body'):
        before = getattr(_REQUEST, part)
        context.other_request = dataclasses.replace(
            _REQUEST, **{part: before + b'X'}
        )
        return
    name = names.get(part, part.encode())
    headers = [
        (key, value + b'X' if key == name else value)
        for key, value in _REQUEST.headers
    ]
    assert headers != _REQUEST.headers
    context.other_request = dataclasses.replace(_REQUEST, headers=headers)


@then(r'their digests (differ|are the same)')
def check_digests(context, how):
    names = gateway.HeaderNames()
    digests = {
        gateway.digest_request(each, names)
        for each in (context.first_request, context.other_request)
    }
    assert len(digests) == (2 if how == 'differ' else 1)


def make_quarantine(context, name):
    """Return the empty quarantine of a host."""
    clock = state.Clock(context.loop)
    return gateway.Quarantine(name, clock, gateway.EventLog(name, clock))


DIGEST = 'd' * 32


@given(r'a host with (\d+) recorded crashes of a request')
def record_crashes(context, count):
    context.request_quarantine = make_quarantine(context, 'h1')
    record_crashes_of(context, context.request_quarantine, int(count))


def record_crashes_of(context, host, count):
    """Record the crashes of one request at a host, one after another."""
    for number in range(count):
        host.record_crash(DIGEST, context.loop.time(), number > 0)
        run(context, asyncio.sleep(0.0))


@given(r'a host with (\d+) simultaneous crashes of a request')
def record_simultaneous_crashes(context, count):
    context.request_quarantine = make_quarantine(context, 'h1')
    began = context.loop.time()
    run(context, asyncio.sleep(1.0))
    for number in range(int(count)):
        context.request_quarantine.record_crash(DIGEST, began, number > 0)


@when(r'one more crash of it is recorded')
def record_one_more_crash(context):
    context.request_quarantine.record_crash(DIGEST, context.loop.time(), True)


@when(r'an upstream answers it')
def answer_request(context):
    context.request_quarantine.record_answer(DIGEST)


@when(r'(\d+) other requests crash one upstream each')
def record_other_crashes(context, count):
    for number in range(int(count)):
        context.request_quarantine.record_crash(
            f'{number:032}', context.loop.time(), False
        )


@then(r'(\d+) requests have a record')
def check_record_count(context, count):
    assert len(context.request_quarantine.list_since(0)) == int(count)


@then(r'the request is in quarantine for (\d+) seconds')
def check_quarantine_left(context, seconds):
    assert (
        context.request_quarantine.get_state(DIGEST)
        is gateway.QuarantineState.QUARANTINED
    )
    left_s = context.request_quarantine.get_quarantine_left_s(DIGEST)
    assert round(left_s) == int(seconds), left_s


@then(r'the request is suspect')
def check_suspect(context):
    assert (
        context.request_quarantine.get_state(DIGEST)
        is gateway.QuarantineState.SUSPECT
    )


@then(r'the request is clear')
def check_clear(context):
    assert (
        context.request_quarantine.get_state(DIGEST)
        is gateway.QuarantineState.CLEAR
    )


_OUTCOMES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['a', 'b']), strategies.booleans()
    ),
    min_size=1,
    max_size=6,
)


@then(
    r'(\d+) series of crashes and answers, sent in any order and twice, give '
    r'two hosts the same state'
)
def check_merge_order(context, count):
    @hypothesis.settings(
        max_examples=int(count), derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(_OUTCOMES, strategies.randoms(use_true_random=False))
    def check(steps, rng):
        sender = make_quarantine(context, 'h1')
        sent_records = []
        for digest, is_answer in steps:
            run(context, asyncio.sleep(0.1))
            if is_answer:
                sender.record_answer(digest)
            else:
                sender.record_crash(
                    digest, context.loop.time(), bool(sent_records)
                )
            sent_records.append(sender.list_since(0))
        sent_records *= 2
        rng.shuffle(sent_records)
        receiver = make_quarantine(context, 'h2')
        for records in sent_records:
            receiver.merge(records, 'h1')
        for digest in 'ab':
            found = receiver.get_state(digest)
            assert found is sender.get_state(digest), (digest, steps)

    check()


@then(r'the reply has a Retry-After of (\d+) seconds')
def check_retry_after(context, seconds):
    assert round(float(context.reply.headers['retry-after'])) == int(seconds)


@when(r'a host with one recorded crash of it sends its record')
def send_record(context):
    clock = state.Clock(context.loop)
    entry = gateway.HostEntry(
        host=state.HostId('h1'), zone=state.ZoneId('z'), address='10.0.1.1:1'
    )
    fleet = gateway.Fleet(entry, 2, clock)
    receiver = gateway.QuarantineBroadcaster(
        context.request_quarantine, fleet, lambda: False
    )
    context.sender = make_quarantine(context, 'h2')
    context.sender.record_crash(DIGEST, context.loop.time(), False)
    sent_records = gateway.render_records(context.sender.list_since(0))
    request = gateway.Request(
        b'POST', b'/v1/quarantine', [], sent_records, 0.0
    )
    reply = receiver.handle(request)
    assert reply.status == 200, reply
    context.sender.merge(gateway.read_records(reply.body), 'h1')


@then(r'that host has the request in quarantine too')
def check_sender_quarantine(context):
    found = context.sender.get_state(DIGEST)
    assert found is gateway.QuarantineState.QUARANTINED, found
