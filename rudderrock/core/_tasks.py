"""Ending tasks."""

import asyncio


async def end_task(task: asyncio.Task) -> None:
    """Cancel a task and wait for its end, however it ends."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
