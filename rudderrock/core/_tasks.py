"""Ending tasks, and waiting for events with a bound."""

import asyncio


async def end_task(task: asyncio.Task) -> None:
    """Cancel a task and wait for its end, however it ends."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def wait_for_event(event: asyncio.Event, seconds: float) -> None:
    """Wait until an event is set, for so many seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
