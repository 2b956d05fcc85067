"""The first synchronization of a starting host with its seeds.

The load is hosts that all lose power and start together, with callers waiting
at each, while the source may be down too. A host that reads the source at its
start makes three calls, and then more until it knows the other hosts. So a
host reads the source itself only if no seed serves it soon.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import enum
import random

from rudderrock import core
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _initial_sync as initial_sync_module

# How long a starting host asks its seeds while no caller waits, in seconds.
# Hosts that start together begin to listen within about 0.3 s of each other.
SEED_SYNC_TIMEOUT_S = 1.5
# How long it goes on when a caller waits, in seconds, if a seed is reachable.
# A seed that has just started has data within 0.4 s.
CALLER_GRACE_S = 0.3
# Pause before all seeds are asked again, in seconds.
SEED_RETRY_PAUSE_S = 0.1
# Mean interval between readings of the source by a host that has no data yet,
# in seconds. Seeds that are reachable retry every 0.5 s and answer this host
# as soon as the source does. Without them the interval grows up to this.
MEAN_RETRY_S = 3.0
FIRST_RETRY_S = 0.5


class SeedAnswer(enum.Enum):
    """The outcome of asking one seed for the first data."""

    SYNCED = 'synced'
    NO_DATA = 'no_data'
    UNREACHABLE = 'unreachable'


AskSeed = Callable[[fleet.HostEntry], Awaitable[SeedAnswer]]


class SeedSync:
    """Asks the seeds in random order until one has fresh data.

    `supplier` is the seed that had it.
    """

    def __init__(
        self,
        seeds: Iterable[fleet.HostEntry],
        ask: AskSeed,
        initial_sync: initial_sync_module.InitialSync,
        rng: random.Random,
    ):
        self.supplier: fleet.HostEntry | None = None
        self._seeds = list(seeds)
        self._ask = ask
        self._initial_sync = initial_sync
        self._rng = rng
        self._are_unreachable = asyncio.Event()
        self._retry_s = FIRST_RETRY_S

    async def sync(self) -> bool:
        """Ask until there is data or a reading is due; return success.

        A reading is due at once if a caller waits and no seed is reachable.
        """
        return await self._ask_until(SEED_SYNC_TIMEOUT_S, self._wait_for_turn)

    async def sync_again(self) -> bool:
        """Ask until there is data or the source is due again."""
        if self._are_unreachable.is_set():
            mean_s = self._retry_s
            self._retry_s = min(MEAN_RETRY_S, 2 * self._retry_s)
        else:
            mean_s = MEAN_RETRY_S
        timeout_s = mean_s * self._rng.uniform(0.5, 1.5)
        return await self._ask_until(timeout_s, asyncio.Event().wait)

    async def _ask_until(
        self, timeout_s: float, wait: Callable[[], Awaitable[object]]
    ) -> bool:
        asking = asyncio.create_task(self._ask_all())
        waiter = asyncio.ensure_future(wait())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(core.end_task, asking)
            stack.push_async_callback(core.end_task, waiter)
            await asyncio.wait(
                {asking, waiter},
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return asking.done() and asking.result()

    async def _wait_for_turn(self) -> None:
        await self._initial_sync.wait_for_first_request()
        await core.wait_for_event(self._are_unreachable, CALLER_GRACE_S)

    async def _ask_all(self) -> bool:
        seeds = list(self._seeds)
        self._rng.shuffle(seeds)
        while True:
            is_any_up = False
            for entry in seeds:
                match await self._ask(entry):
                    case SeedAnswer.SYNCED:
                        self.supplier = entry
                        return True
                    case SeedAnswer.NO_DATA:
                        is_any_up = True
                        self._are_unreachable.clear()
            if not is_any_up:
                self._are_unreachable.set()
            await asyncio.sleep(SEED_RETRY_PAUSE_S)
