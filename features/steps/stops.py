"""Steps that stop gateways while callers send requests."""

import asyncio
import dataclasses

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'
# Connections that callers keep open; each carries one request at a time.
_KEPT_CONNECTIONS = 120
_DEADLINE_MS = 9_000
_LONG_DEADLINE_MS = 250_000
_HANG_S = 3600.0
_MAX_WAIT_S = 100.0
_BODY_BYTES = 400_000
_PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that was sent and its reply; the status is 0 without one."""

    request_id: str
    status: int
    is_last: bool = False


@given(
    r'(\d+) upstreams of "([^"]+)" with (\d+) slots that work for ' + _SECONDS
)
def add_upstreams(context, count, service, slots, seconds):
    for number in range(int(count)):
        run(
            context,
            gateway_steps.get(context).add_upstream(
                f'{service}-{number}',
                service,
                slots=int(slots),
                work_s=float(seconds),
            ),
        )


@given(r'"([^"]+)" accepts (\d+) connections from all hosts')
def limit_connections(context, service, count):
    gateway_steps.get(context).allow_connections(service, int(count))


@given(
    r'the route "([^"]+)" to "([^"]+)" with a timeout of '
    + _SECONDS
    + ' that runs again'
)
def add_idempotent_route(context, prefix, service, seconds):
    gateway_steps.add_route_with_timeout(context, prefix, service, seconds)


@given(r'a gateway with a grace time of ' + _SECONDS)
def start_with_grace(context, seconds):
    harness = gateway_steps.get(context)
    harness.publish()
    run(context, harness.start(stop_s=float(seconds)))


@given(r'a gateway that is asked to stop before it listens')
def stop_at_start(context):
    harness = gateway_steps.get(context)
    harness.publish()
    starting = context.loop.create_task(harness.start())
    run(context, asyncio.sleep(0))
    stop_gateway(context)
    run(context, finish(starting))


@then(r'the gateway does not become ready')
def check_never_ready(context):
    # It may end without having listened at all.
    status = run(context, gateway_steps.get(context).probe())
    assert status in (0, 503), status


async def finish(awaitable):
    """Wait for something that must not take longer than any grace time."""
    async with asyncio.timeout(_MAX_WAIT_S):
        return await awaitable


def stop_gateway(context):
    """Ask the gateway to stop, and record when it does and when it ends."""

    def record_end(_):
        context.ended_at = context.loop.time()

    harness = gateway_steps.get(context)
    context.stopped_at = context.loop.time()
    harness.process.stop()
    harness.task.add_done_callback(record_end)


async def send_on(harness, caller, request_id, method, deadline_ms) -> Sent:
    """Send a request on a connection and return what came of it."""
    raw = gateway_bench.make_raw(
        request_id, '/notes/1', method=method, deadline_ms=deadline_ms
    )
    try:
        await caller.send(raw)
    except ConnectionError:
        return Sent(request_id, 0, True)
    reply = await caller.read()
    is_last = reply.closed or 'connection' in reply.headers
    return Sent(request_id, reply.status, is_last)


async def send_at_rate(context, method, rate, seconds) -> list[Sent]:
    """Send requests on kept connections, a new one for each if all ended."""
    harness = gateway_steps.get(context)
    idle = [await harness.connect() for _ in range(_KEPT_CONNECTIONS)]

    async def ask(caller, request_id):
        sent = await send_on(harness, caller, request_id, method, _DEADLINE_MS)
        if sent.is_last:
            caller.leave()
        else:
            idle.append(caller)
        return sent

    tasks = []
    end = context.loop.time() + seconds
    while context.loop.time() < end and idle:
        request_id = gateway_steps.next_id(context)
        tasks.append(asyncio.create_task(ask(idle.pop(0), request_id)))
        await asyncio.sleep(1.0 / rate)
    found = await asyncio.gather(*tasks)
    for each in idle:
        each.leave()
    return found


@when(
    r'(GET|POST) requests are sent at ([\d.]+) a second for ' + _SECONDS,
)
def send_before(context, method, rate, seconds):
    run(context, send_at_rate(context, method, float(rate), float(seconds)))


@when(
    r'the gateway is stopped, and (GET|POST) requests are sent at ([\d.]+) a '
    r'second for ' + _SECONDS + ' on kept connections'
)
def stop_and_send(context, method, rate, seconds):
    context.loop.call_later(0.5 / float(rate), stop_gateway, context)
    context.sent = run(
        context, send_at_rate(context, method, float(rate), float(seconds))
    )


@when(
    r'(\d+) POST requests are in flight, and the gateway is stopped( twice)?'
)
def stop_in_flight(context, count, twice):
    harness = gateway_steps.get(context)

    async def stop():
        tasks = []
        for _ in range(int(count)):
            caller = await harness.connect()
            request_id = gateway_steps.next_id(context)
            sending = send_on(
                harness, caller, request_id, 'POST', _LONG_DEADLINE_MS
            )
            tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(0.1)
        stop_gateway(context)
        if twice:
            await asyncio.sleep(1.0)
            harness.process.stop()
        return await asyncio.gather(*tasks)

    context.sent = run(context, stop())


@when(r'a caller pipelines (\d+) POST requests and the gateway is stopped')
def stop_while_pipelining(context, count):
    harness = gateway_steps.get(context)
    ids = [gateway_steps.next_id(context) for _ in range(int(count))]

    async def stop():
        caller = await harness.connect()
        raw = [
            gateway_bench.make_raw(
                each, '/notes/1', method='POST', deadline_ms=_DEADLINE_MS
            )
            for each in ids
        ]
        await caller.send(b''.join(raw))
        await asyncio.sleep(0.1)
        stop_gateway(context)
        return [await caller.read() for _ in ids]

    replies = run(context, stop())
    context.sent = [
        Sent(request_id, reply.status, 'connection' in reply.headers)
        for request_id, reply in zip(ids, replies, strict=True)
    ]


@when(
    r'the gateway is stopped, and the rest of a POST request comes after '
    + _SECONDS
)
def stop_during_body(context, seconds):
    harness = gateway_steps.get(context)
    request_id = gateway_steps.next_id(context)
    raw = gateway_bench.make_raw(
        request_id,
        '/notes/1',
        method='POST',
        deadline_ms=_LONG_DEADLINE_MS,
        body=b'b' * 20,
    )

    async def stop():
        caller = await harness.connect()
        await caller.send(raw[:-10])
        await asyncio.sleep(0.1)
        stop_gateway(context)
        reading = asyncio.create_task(caller.read())
        await asyncio.wait({reading}, timeout=float(seconds))
        if not reading.done():
            await caller.send(raw[-10:])
        return await reading

    context.sent = [Sent(request_id, run(context, stop()).status)]


@when(r'the gateway is stopped, and the caller reads on after ' + _SECONDS)
def stop_and_read(context, seconds):
    async def stop():
        stop_gateway(context)
        await asyncio.sleep(float(seconds))
        context.caller.reader._transport.resume_reading()
        context.bodies = []
        try:
            for _ in range(context.pipelined_count):
                reply = await context.caller.read()
                context.bodies.append((reply.status, len(reply.body)))
        except asyncio.IncompleteReadError:
            context.bodies.append((0, 0))
        context.caller.leave()
        # The gateway's side of the connection closes in this time.
        await asyncio.sleep(1.0)

    run(context, stop())


@then(r'its replies are (complete|incomplete)')
def check_bodies(context, kind):
    whole = [(200, _BODY_BYTES)] * context.pipelined_count
    assert (context.bodies == whole) == (kind == 'complete'), context.bodies


@then(r'the line "stopped" has (no )?unread bytes')
def check_unread(context, none):
    line = read_stopped_line(context)
    assert (line['unsent_bytes'] == 0) == bool(none), line


@when(r'requests hang in the gateway')
def hang_requests(context):
    async def hang(request):
        await asyncio.sleep(_HANG_S)

    gateway_steps.get(context).process._caller_listener.handle = hang


@when(r'calls for the registration hang')
def hang_registration(context):
    async def hang(*arguments):
        await asyncio.sleep(_HANG_S)

    source = gateway_steps.get(context).source
    source.find_lease = source.withdraw = hang


def read_stopped_line(context):
    """Wait until the gateway has ended, and return its last line."""
    run(context, finish(gateway_steps.get(context).task))
    (line,) = gateway_checks.list_lines(context, 'stopped')
    return line


@then(r'no request that ran is without a reply')
def check_not_cut(context):
    harness = gateway_steps.get(context)
    cut = [
        each.request_id
        for each in context.sent
        if each.status == 0 and harness.list_runs(each.request_id)
    ]
    assert not cut, f'{len(cut)} of {len(context.sent)} cut: {cut}'
    print(
        'STATUSES',
        __import__('collections').Counter(e.status for e in context.sent),
    )


@then(r'no request that was refused has run')
def check_refusals(context):
    harness = gateway_steps.get(context)
    false = [
        each
        for each in context.sent
        if each.status in _PROMISES and harness.list_runs(each.request_id)
    ]
    assert not false, false


@then(r'the gateway ends within ' + _SECONDS + ' of the stop')
def check_end(context, seconds):
    async def wait():
        await gateway_steps.get(context).task

    run(context, finish(wait()))
    elapsed_s = context.ended_at - context.stopped_at
    assert elapsed_s < float(seconds), elapsed_s


@then(r'at least (\d+) of the requests after the stop are answered')
def check_served(context, count):
    served = sum(each.status == 200 for each in context.sent)
    assert served >= int(count), (served, context.sent)


@then(r'no request is answered by (\d+)')
def check_no_status(context, status):
    found = [each for each in context.sent if each.status == int(status)]
    assert not found, found


@then(r'(?:the|(\d+)) requests? (?:is|are) answered by (\d+)')
def check_statuses(context, count, status):
    found = sum(each.status == int(status) for each in context.sent)
    assert found == int(count or 1), context.sent


@then(r'(\d+) replies come on its connection, the last with Connection: close')
def check_pipelined(context, count):
    assert len(context.sent) == int(count)
    assert all(each.status for each in context.sent), context.sent
    closing = [each.is_last for each in context.sent]
    assert closing == [False] * (int(count) - 1) + [True], context.sent


@then(r'the line "stopped" has (\d+) unanswered')
def check_unanswered(context, count):
    line = read_stopped_line(context)
    assert line['unanswered'] == int(count), line


@when(
    r'the gateways with (a fast|a slow) link are stopped while they have '
    r'queries'
)
def stop_with_queries(context, which):
    members = context.fleet.members
    slow = [each for each in members if each not in context.fast]
    context.stopped = context.fast if which == 'a fast' else slow

    async def ask(name):
        request_id = gateway_steps.next_id(context)
        raw = gateway_bench.make_raw(
            request_id, '/all/1', deadline_ms=_LONG_DEADLINE_MS
        )
        caller = await context.fleet.connect(name)
        await caller.send(raw)
        return Sent(request_id, (await caller.read()).status)

    async def stop():
        tasks = [
            asyncio.create_task(ask(name)) for name in slow for _ in range(4)
        ]
        await asyncio.sleep(0.2)
        context.stopped_at = context.loop.time()
        for name in context.stopped:
            members[name].process.stop()
        return await asyncio.gather(*tasks)

    context.sent = run(context, stop())


@then(r'every query has a reply that promises nothing false')
def check_queries(context):
    assert all(each.status for each in context.sent), context.sent
    check_refusals(context)


@then(r'the stopped gateways have ended within ' + _SECONDS)
def check_all_ended(context, seconds):
    async def wait():
        for name in context.stopped:
            await context.fleet.members[name].task

    run(context, finish(wait()))
    elapsed_s = context.loop.time() - context.stopped_at
    assert elapsed_s <= float(seconds), elapsed_s


@when(
    r'a request comes '
    + _SECONDS
    + ' after the start of a stop of '
    + _SECONDS
)
def plan_stop(context, since, grace):
    context.departure = gateway.plan_departure(100.0, float(grace))
    context.now = 100.0 + float(since)


@when(
    r'its route runs (again|once), is expected to take ([\w.]+) seconds, with '
    r'a goal of ([\d.]+) and at most ([\d.]+)'
)
def decide(context, kind, expected, goal, limit):
    is_idempotent = kind == 'again'
    route = gateway.Route(
        name=gateway.RouteName('r'),
        host=gateway_bench.HOST,
        prefix='/notes/',
        target=gateway.Single(gateway.ServiceName('notes')),
        repeat=gateway.Repeat.IDEMPOTENT
        if is_idempotent
        else gateway.Repeat.ONCE,
        timeout_s=float(limit),
        goal_s=float(goal),
        priority=1,
        max_attempts=2,
    )
    context.is_taken = gateway.may_take(
        context.departure,
        context.now,
        route,
        None if expected == 'unknown' else float(expected),
        float(limit),
    )


@then(r'it is (taken|refused)')
def check_decision(context, decision):
    assert context.is_taken == (decision == 'taken')


@when(r'requests of a route have taken (.+) seconds')
def observe_times(context, text):
    context.times = gateway.RouteTimes()
    for part in text.split(', '):
        count, _, rest = part.rpartition(' x ')
        seconds, _, cut = rest.partition(' ')
        for _ in range(int(count or 1)):
            context.times.observe('r', float(seconds), not cut)


@then(r'its expected time is between ([\d.]+) and ([\d.]+) seconds')
def check_expected_time(context, least, most):
    found = context.times.get_s('r')
    assert float(least) <= found <= float(most), found
