"""A pause of one host, as by a stopped process."""

import asyncio


class Pause:
    """A pause of a host: what it is told arrives only after it."""

    def __init__(self):
        self._running = asyncio.Event()
        self._running.set()

    def begin(self) -> None:
        """Let everything wait."""
        self._running.clear()

    def end(self) -> None:
        """Let everything go on."""
        self._running.set()

    async def wait_until_over(self) -> None:
        """Wait until the host runs."""
        await self._running.wait()
