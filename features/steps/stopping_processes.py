"""Steps that stop gateway processes while callers send requests."""

import asyncio
import dataclasses
import signal

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_processes
from features.steps import ends
from features.steps.common import run
from rudderrock import platform
from rudderrock import standins
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'
_COUNT = 3
_PATH = '/notes/1'
_TIMEOUT_MS = 10_000
_MAX_CONNECTIONS = 100
# Connections that callers keep to each process.
_KEPT_CONNECTIONS = 60
# Time before the first process is stopped, and between two of them, and for
# how long requests are sent after the signal, in seconds.
_BEFORE_S = 8.0
_TURN_S = 2.0
_AFTER_S = 6.0
_PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Sent:
    """A request to a process and its reply; the status is 0 without one."""

    request_id: str
    number: int
    status: int = 0


@given(
    r'3 gateway processes in front of (\d+) servers with (\d+) slots that '
    r'work for ' + _SECONDS + r', for requests that run (once|again)'
)
def start_processes(context, count, slots, seconds, kind):
    processes = ends.get_processes(context)
    context.runs_once = kind == 'once'
    context.servers = [
        standins.WireUpstream(
            f'i-{number}',
            platform.NAMES,
            work_s=float(seconds),
            slots=int(slots),
        )
        for number in range(int(count))
    ]
    route = platform_standins.make_route(
        '/notes/', 'notes', once=context.runs_once
    )
    config = platform_standins.make_config(
        1,
        [{**route, 'timeout_ms': _TIMEOUT_MS}],
        max_conns=_MAX_CONNECTIONS,
    )

    async def start():
        for number, server in enumerate(context.servers):
            port = 9000 + number
            await server.start(processes.stand_in_ip, port)
            context.stack.push_async_callback(server.stop)
            entry = platform_standins.make_server(
                'notes', f'{processes.stand_in_ip}:{port}', slots=int(slots)
            )
            processes.store.put_server(server.upstream, entry)
        processes.store.put_config(config)
        for number in range(1, _COUNT + 1):
            await processes.start(number)
        for number in range(1, _COUNT + 1):
            await processes.wait_until_ready(number)

    run(context, start())


async def ask(processes, connection, idle, sent, method):
    """Send a request on a connection, and keep it unless it ends."""
    reader, writer = connection
    try:
        writer.write(
            gateway_processes.render_request(_PATH, sent.request_id, method)
        )
        status, headers, _ = await gateway_processes.read_reply(reader)
    except (OSError, EOFError):
        writer.transport.abort()
        return
    sent.status = status
    if headers.get('connection') == 'close':
        writer.transport.abort()
    else:
        idle.append(connection)


async def send_to(context, number, method, rate, seconds):
    """Send requests to a process at a constant rate on kept connections."""
    processes = ends.get_processes(context)
    idle = [await processes.connect(number) for _ in range(_KEPT_CONNECTIONS)]
    tasks = []
    for count in range(round(seconds * rate)):
        if not idle:
            break
        sent = Sent(f'{number}-{count}', number)
        context.sent.append(sent)
        sending = ask(processes, idle.pop(0), idle, sent, method)
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)
    for _, writer in idle:
        writer.transport.abort()


@when(
    r'callers send (GET|POST) requests at ([\d.]+) a second to each process '
    r'on kept connections, and each gets SIGTERM in turn'
)
def stop_in_turn(context, method, rate):
    processes = ends.get_processes(context)
    context.sent = []

    async def stop_after(number, seconds):
        await asyncio.sleep(seconds)
        processes.running[number].send_signal(signal.SIGTERM)

    async def send():
        async with asyncio.TaskGroup() as group:
            for number in range(1, _COUNT + 1):
                stop_s = _BEFORE_S + _TURN_S * number
                group.create_task(stop_after(number, stop_s))
                group.create_task(
                    send_to(
                        context,
                        number,
                        method,
                        float(rate),
                        stop_s + _AFTER_S,
                    )
                )

    run(context, send())


@then(r'each process ends with code 0 and leaves no request unanswered')
def check_ends(context):
    processes = ends.get_processes(context)

    async def wait():
        async with asyncio.timeout(ends.END_TIMEOUT_S):
            for number in range(1, _COUNT + 1):
                code = await processes.running[number].wait()
                assert code == 0, processes.read_log(number)

    run(context, wait())
    for number in range(1, _COUNT + 1):
        lines = processes.list_events(number, 'stopped')
        assert len(lines) == 1, processes.read_log(number)
        assert lines[0]['unanswered'] == 0, lines


def count_runs(context) -> dict[str, int]:
    """Return how many times each request has run."""
    runs: dict[str, int] = {}
    for server in context.servers:
        for each in server.runs:
            runs[each.request_id] = runs.get(each.request_id, 0) + 1
    return runs


@then(
    r'no request that ran is without a reply, and none that was refused has '
    r'run'
)
def check_replies(context):
    runs = count_runs(context)
    cut = [
        each
        for each in context.sent
        if each.status == 0 and each.request_id in runs
    ]
    false = [
        each
        for each in context.sent
        if each.status in _PROMISES and each.request_id in runs
    ]
    counts: dict[int, int] = {}
    for each in context.sent:
        counts[each.status] = counts.get(each.status, 0) + 1
    assert not cut, f'{len(cut)} cut, statuses {counts}'
    assert not false, f'{len(false)} refused though run, statuses {counts}'
    # The servers have room for all requests, and the hosts know their times.
    assert 504 not in counts, counts
    assert counts[200] > len(context.sent) / 2, counts


@then(r'each request that runs once ran at most once')
def check_runs(context):
    most = max(count_runs(context).values())
    assert most == 1 or not context.runs_once, most
