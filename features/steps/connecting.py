"""Steps that cancel tasks while they open connections, over real sockets."""

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

# Time within which a cancelled task must end, in seconds of real time. Such a
# task waits for nothing, so one that takes longer is assumed never to end.
_END_TIMEOUT_S = 5.0


class _IdleUpstream:
    """Upstream that keeps connections open and sends no replies."""

    def __init__(self):
        self.address = ''
        self.open_count = 0

    async def start(self, stack):
        """Accept connections until the stack is closed."""
        server = await asyncio.start_server(self._hold_open, '127.0.0.1', 0)
        stack.callback(server.close)
        ip, port = server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    async def _hold_open(self, reader, writer):
        self.open_count += 1
        try:
            await reader.read()
        except ConnectionError:
            # A client resets the connection when it abandons a request.
            return
        finally:
            self.open_count -= 1
            writer.close()


@given('an upstream that keeps its connections')
def start_listener(context):
    context.idle_upstream = _IdleUpstream()
    run(context, context.idle_upstream.start(context.stack))


@when(
    r'tasks that open connections are cancelled after 0 to (\d+) turns, '
    r'(\d+) times'
)
def cancel_open_calls(context, max_iterations, times):
    end_after_iterations(
        context, _cancel_open, int(max_iterations), int(times)
    )


@when(
    r'tasks that send over new connections are cancelled after 0 to (\d+) '
    r'turns, (\d+) times'
)
def cancel_post_calls(context, max_iterations, times):
    end_after_iterations(
        context, _cancel_post, int(max_iterations), int(times)
    )


@when(r'links are closed after 0 to (\d+) turns of connecting, (\d+) times')
def close_links(context, max_iterations, times):
    end_after_iterations(context, _close_link, int(max_iterations), int(times))


def end_after_iterations(context, start_and_end, max_iterations, times):
    """Start tasks and end each after 0 to `max_iterations` loop iterations.

    Stores how many of them do not end. `start_and_end` is awaited with the
    address and the number of iterations, and returns a task that must end.
    """

    async def start_and_end_all():
        address = context.idle_upstream.address
        tasks = [
            await start_and_end(address, iterations)
            for _ in range(times)
            for iterations in range(max_iterations + 1)
        ]
        context.not_ended = await _wait_for_end(tasks)

    run(context, start_and_end_all())


async def _cancel_open(address, iterations):
    return await _cancel_after(iterations, _open_and_wait(address))


async def _cancel_post(address, iterations):
    return await _cancel_after(iterations, _post_and_close(address))


async def _cancel_after(iterations, coroutine):
    """Return a task that was cancelled after `iterations` loop iterations."""
    task = asyncio.create_task(coroutine)
    await _pass_iterations(iterations)
    task.cancel()
    return task


async def _open_and_wait(address):
    connection = transport.HttpConnection(address)
    try:
        await connection.open()
        await asyncio.get_running_loop().create_future()
    finally:
        await connection.close()


async def _post_and_close(address):
    connection = transport.HttpConnection(address)
    try:
        await connection.post('/', b'{}')
    finally:
        await connection.close()


async def _close_link(address, iterations):
    """Start a link, and return a task that closes it `iterations` later."""
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
    await _pass_iterations(iterations)
    return asyncio.create_task(link.close())


async def _pass_iterations(count):
    for _ in range(count):
        await asyncio.sleep(0)


async def _wait_for_end(tasks):
    """Return how many tasks did not end in time, and cancel them."""
    _, not_ended = await asyncio.wait(tasks, timeout=_END_TIMEOUT_S)
    while pending := [task for task in not_ended if not task.done()]:
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=0.01)
    return len(not_ended)


@then('every one of them has ended')
def check_ended(context):
    assert context.not_ended == 0, f'{context.not_ended} have not ended'


@then('the upstream has no connection left')
def check_no_connections(context):
    async def wait_until_closed():
        async with asyncio.timeout(_END_TIMEOUT_S):
            while context.idle_upstream.open_count:
                await asyncio.sleep(0.01)

    run(context, wait_until_closed())
