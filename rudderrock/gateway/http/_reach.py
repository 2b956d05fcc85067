"""Whether an upstream that has closed a connection has ended."""

import asyncio
from collections.abc import Callable

from rudderrock import core

# How long a new connection may take, in seconds: four ways there and back
# between regions. Where nothing answers in that time the link may be cut.
CHECK_TIMEOUT_S = 0.1


class ReachChecker:
    """Opens a connection to an address to learn whether anybody listens.

    A connection that is lost says little: a server that lives closes some,
    links reset them. One that listens no more has ended.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.checks = 0
        self._loop = loop
        self._asked: dict[
            tuple[str, int], tuple[asyncio.Task, list[Callable[[bool], None]]]
        ] = {}

    def check(
        self, address: tuple[str, int], on_known: Callable[[bool], None]
    ) -> None:
        """Have `on_known` told whether connections are refused there.

        Those who ask while one check is under way share its outcome.
        """
        if address in self._asked:
            self._asked[address][1].append(on_known)
            return
        self.checks += 1
        task = self._loop.create_task(self._check(address))
        self._asked[address] = (task, [on_known])

    async def close(self) -> None:
        """End the checks that are under way."""
        for task, _ in list(self._asked.values()):
            await core.end_task(task)

    async def _check(self, address: tuple[str, int]) -> None:
        refused = await self._is_refused(address)
        _, waiting = self._asked.pop(address)
        for on_known in waiting:
            on_known(refused)

    async def _is_refused(self, address: tuple[str, int]) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    asyncio.Protocol, *address
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # It can't be told; that is not held against a request.
            return False
        transport.abort()
        return False
