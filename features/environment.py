"""Each scenario gets its own loop and its own exit stack.

The loop's time is virtual, but for scenarios over real sockets.
"""

import asyncio
import contextlib
import gc
import logging
import sys
import warnings

import async_solipsism

from features import bench

# How long a scenario over real sockets may take to close what it opened, in
# seconds of real time: one that hangs is a failure, not a run without an end.
CLOSE_S = 60.0


def before_all(context):
    """Leave out what uvicorn says of watches that a scenario's end cuts."""
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Make the loop and what the steps share."""
    warnings.simplefilter('ignore', async_solipsism.ResolutionWarning)
    if 'sockets' in scenario.effective_tags:
        context.loop = asyncio.new_event_loop()
    else:
        context.loop = async_solipsism.EventLoop()
    context.crashes = []
    context.loop.set_exception_handler(
        lambda _, found: context.crashes.append(found)
    )
    context.stack = contextlib.AsyncExitStack()
    context.bench = bench.Bench(context.stack)


def after_scenario(context, scenario):
    """Close what the scenario opened, whether it passed or not."""
    is_real = 'sockets' in scenario.effective_tags
    limit_s = CLOSE_S if is_real else None
    context.loop.run_until_complete(_close(context.stack, limit_s))
    context.loop.close()
    gc.collect()
    # A task that died of an exception that nobody expected is a failure,
    # whatever the steps saw.
    assert not context.crashes, context.crashes


async def _close(stack, limit_s):
    """Close what a scenario opened; if that hangs, say what is waited for."""
    try:
        async with asyncio.timeout(limit_s):
            await stack.aclose()
    except TimeoutError:
        for task in asyncio.all_tasks():
            print(f'still there, cancelled {task.cancelling()} times:')
            task.print_stack(file=sys.stdout)
        raise
