"""Steps that end tasks while they open connections, over real sockets."""

import asyncio
import random

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from rudderrock import coordination
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _runtime as runtime

use_step_matcher('re')

# How long a task that was cancelled may take to end, in seconds of real
# time: it has nothing to wait for, so one that takes as long does not end.
_END_S = 5.0


class _Listener:
    """An upstream that keeps its connections and answers nothing."""

    def __init__(self):
        self.address = ''
        self.open = 0

    async def start(self, stack):
        """Listen until the stack is closed."""
        server = await asyncio.start_server(self._keep, '127.0.0.1', 0)
        stack.callback(server.close)
        ip, port = server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    async def _keep(self, reader, writer):
        self.open += 1
        try:
            await reader.read()
        except ConnectionError:
            # It was reset, which is how a client gives up.
            return
        finally:
            self.open -= 1
            writer.close()


@given('an upstream that keeps its connections')
def start_listener(context):
    context.listener = _Listener()
    run(context, context.listener.start(context.stack))


@when(
    r'tasks that open connections are cancelled after 0 to (\d+) turns, '
    r'(\d+) times'
)
def cancel_openings(context, turns, times):
    end_in_each_turn(context, _cancel_opening, int(turns), int(times))


@when(
    r'tasks that send over new connections are cancelled after 0 to (\d+) '
    r'turns, (\d+) times'
)
def cancel_sendings(context, turns, times):
    end_in_each_turn(context, _cancel_sending, int(turns), int(times))


@when(r'links are closed after 0 to (\d+) turns of connecting, (\d+) times')
def close_links(context, turns, times):
    end_in_each_turn(context, _close_link, int(turns), int(times))


def end_in_each_turn(context, begin_end, turns, times):
    """End something after each number of turns, and count what goes on."""

    async def end_all():
        address = context.listener.address
        tasks = [
            await begin_end(address, turn)
            for _ in range(times)
            for turn in range(turns + 1)
        ]
        context.unended = await _wait_for_end(tasks)

    run(context, end_all())


async def _cancel_opening(address, turn):
    return await _cancel_after(turn, _open_and_keep(address))


async def _cancel_sending(address, turn):
    return await _cancel_after(turn, _send_and_keep(address))


async def _cancel_after(turn, work):
    """Return a task that was cancelled so many turns of the loop later."""
    task = asyncio.create_task(work)
    await _pass_turns(turn)
    task.cancel()
    return task


async def _open_and_keep(address):
    connection = transport.HttpConnection(address)
    try:
        await connection.open()
        await asyncio.get_running_loop().create_future()
    finally:
        await connection.close()


async def _send_and_keep(address):
    connection = transport.HttpConnection(address)
    try:
        await connection.post('/', b'{}')
    finally:
        await connection.close()


async def _close_link(address, turn):
    """Return a task that closes a link which has just begun to connect."""
    clock = runtime.make_system_clock()
    link = coordination.UpstreamLink(
        state.Upstream(upstream='u', address=address, zone='z'),
        transport.HttpUpstreamPort(connect_timeout_s=5.0),
        state.RoutingSettings(),
        clock,
        random.Random(1),
        state.EventRing(state.HostId('h1'), state.HybridClock(clock)),
        lambda free: None,
    )
    link.start(lanes=2)
    await _pass_turns(turn)
    return asyncio.create_task(link.close())


async def _pass_turns(count):
    for _ in range(count):
        await asyncio.sleep(0)


async def _wait_for_end(tasks):
    """Return how many of these have not ended, and end them."""
    _, unended = await asyncio.wait(tasks, timeout=_END_S)
    while pending := [task for task in unended if not task.done()]:
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=0.01)
    return len(unended)


@then('every one of them has ended')
def check_ended(context):
    assert context.unended == 0, f'{context.unended} have not ended'


@then('the upstream has no connection left')
def check_none_open(context):
    async def wait_until_closed():
        async with asyncio.timeout(_END_S):
            while context.listener.open:
                await asyncio.sleep(0.01)

    run(context, wait_until_closed())
