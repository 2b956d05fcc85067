"""Cancellation of tasks, and waiting for events with a timeout."""

import asyncio


async def end_task(task: asyncio.Task) -> None:
    """Cancel a task and wait until it ends.

    Its result or exception is discarded.
    """
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, or until `seconds` have passed."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
