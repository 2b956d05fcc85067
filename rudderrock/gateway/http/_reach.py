"""Checks whether an address still accepts connections."""

import asyncio
from collections.abc import Callable

from rudderrock import core

# Four round trips between regions. If a connection takes longer, the network
# link may have failed.
CHECK_TIMEOUT_S = 0.1


class ReachChecker:
    """Opens connections to check whether a process listens at an address.

    A lost connection does not show that the upstream has ended: a running
    server closes connections, and the network can reset them. If connections
    are refused, no process listens at the address any more.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.checks = 0
        self._loop = loop
        self._pending: dict[
            tuple[str, int], tuple[asyncio.Task, list[Callable[[bool], None]]]
        ] = {}

    def check(
        self, address: tuple[str, int], on_result: Callable[[bool], None]
    ) -> None:
        """Call `on_result` with True if the address refuses connections.

        This shows that the process has ended. In all other cases, also if
        the result is unknown, the argument is False.

        Calls for the same address during a check share its result.
        """
        if address in self._pending:
            self._pending[address][1].append(on_result)
            return
        self.checks += 1
        task = self._loop.create_task(self._check(address))
        self._pending[address] = (task, [on_result])

    async def close(self) -> None:
        """Cancel the checks in progress."""
        for task, _ in list(self._pending.values()):
            await core.end_task(task)

    async def _check(self, address: tuple[str, int]) -> None:
        refused = await self._is_refused(address)
        _, callbacks = self._pending.pop(address)
        for on_result in callbacks:
            on_result(refused)

    async def _is_refused(self, address: tuple[str, int]) -> bool:
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    asyncio.Protocol, *address
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # Unknown, so the upstream does not count as crashed.
            return False
        transport.abort()
        return False
