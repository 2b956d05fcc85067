"""Drawing faults for a random schedule, and those that all schedules share."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from rudderrock import standins

_MIN_LENGTH_S = 0.05

# Brings a fault about in a fleet and mends it after so many seconds.
FaultInjector = Callable[
    [standins.MemoryFleet, float, random.Random], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrawnFault:
    """One fault of a schedule; `at` and `length_s` are in seconds."""

    kind: str
    at: float
    length_s: float
    seed: int
    injector: FaultInjector

    def __str__(self) -> str:
        return f'{self.kind} at {self.at:.2f} for {self.length_s:.2f} s'

    async def inject(self, fleet: standins.MemoryFleet) -> None:
        """Bring the fault about at its time, and mend it at its end."""
        await asyncio.sleep(self.at)
        await self.injector(fleet, self.length_s, random.Random(self.seed))


def draw_faults(
    rng: random.Random,
    injectors: dict[str, FaultInjector],
    *,
    max_count: int,
    within_s: float,
    length_s: float,
) -> list[DrawnFault]:
    """Draw one to `most` faults that begin within some seconds.

    Each lasts up to `length_s`. The same kind may come twice, also at the
    same time.
    """
    kinds = sorted(injectors)
    faults = []
    for _ in range(rng.randint(1, max_count)):
        kind = rng.choice(kinds)
        faults.append(
            DrawnFault(
                kind=kind,
                at=rng.uniform(0, within_s),
                length_s=rng.uniform(_MIN_LENGTH_S, length_s),
                seed=rng.getrandbits(64),
                injector=injectors[kind],
            )
        )
    return faults


async def inject_kv_outage(fleet, length_s, rng) -> None:
    """Let the key-value service be down."""
    await fleet.kv.set_down(True)
    await asyncio.sleep(length_s)
    await fleet.kv.set_down(False)


async def inject_kv_delay(fleet, length_s, rng) -> None:
    """Let the key-value service be slow."""
    fleet.kv.faults.delay_s = rng.uniform(0.01, 1.0)
    await asyncio.sleep(length_s)
    fleet.kv.faults.delay_s = 0.0


async def inject_lost_kv_replies(fleet, length_s, rng) -> None:
    """Let the next writes take effect without a reply."""
    fleet.kv.faults.lose_replies += rng.randint(1, 4)
