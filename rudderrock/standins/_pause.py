"""A pause of one host, as if its process were stopped."""

import asyncio


class Pause:
    """A flag for which tasks wait while a host is paused."""

    def __init__(self):
        self._running = asyncio.Event()
        self._running.set()

    def begin(self) -> None:
        """Start the pause."""
        self._running.clear()

    def end(self) -> None:
        """End the pause and wake all waiting tasks."""
        self._running.set()

    async def wait_until_over(self) -> None:
        """Wait until no pause is active."""
        await self._running.wait()
