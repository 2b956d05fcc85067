"""Set up an event loop and an exit stack for each scenario.

The loop's time is virtual, except in scenarios tagged `sockets`, which use
real sockets.
"""

import asyncio
import contextlib
import gc
import logging
import sys
import warnings

import async_solipsism

from features import bench

# Limit on closing a scenario over real sockets, in real time, so that a
# scenario that hangs fails instead of blocking the run.
CLOSE_TIMEOUT_S = 60.0


def before_all(context):
    """Suppress uvicorn's errors on watches cut off when a scenario ends."""
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Create the event loop and the objects that the steps share."""
    warnings.simplefilter('ignore', async_solipsism.ResolutionWarning)
    if 'sockets' in scenario.effective_tags:
        context.loop = asyncio.new_event_loop()
    else:
        context.loop = async_solipsism.EventLoop()
    context.unhandled_errors = []
    context.loop.set_exception_handler(
        lambda _, error: context.unhandled_errors.append(error)
    )
    context.stack = contextlib.AsyncExitStack()
    context.bench = bench.Bench(context.stack)


def after_scenario(context, scenario):
    """Close all resources of the scenario and check for unhandled errors."""
    uses_sockets = 'sockets' in scenario.effective_tags
    timeout_s = CLOSE_TIMEOUT_S if uses_sockets else None
    context.loop.run_until_complete(_close(context.stack, timeout_s))
    context.loop.close()
    gc.collect()
    # An unhandled exception in a task fails the scenario even if all of its
    # steps passed.
    assert not context.unhandled_errors, context.unhandled_errors


async def _close(stack, timeout_s):
    """Close the exit stack; after a timeout, print the remaining tasks."""
    try:
        async with asyncio.timeout(timeout_s):
            await stack.aclose()
    except TimeoutError:
        for task in asyncio.all_tasks():
            print(f'still running, cancelled {task.cancelling()} times:')
            task.print_stack(file=sys.stdout)
        raise
