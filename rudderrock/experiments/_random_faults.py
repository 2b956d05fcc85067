"""Random faults for fuzz runs, and the faults used by both kinds of runs."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from rudderrock import standins

_MIN_LENGTH_S = 0.05

# Injects a fault into a fleet; most are cleared after the given seconds.
FaultInjector = Callable[
    [standins.MemoryFleet, float, random.Random], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrawnFault:
    """One fault of a schedule: `length_s` seconds, starting at `at`."""

    kind: str
    at: float
    length_s: float
    seed: int
    injector: FaultInjector

    def __str__(self) -> str:
        return f'{self.kind} at {self.at:.2f} for {self.length_s:.2f} s'

    async def inject(self, fleet: standins.MemoryFleet) -> None:
        """Inject the fault at its start; most are cleared at their end."""
        await asyncio.sleep(self.at)
        await self.injector(fleet, self.length_s, random.Random(self.seed))


def draw_faults(
    rng: random.Random,
    injectors: dict[str, FaultInjector],
    *,
    max_count: int,
    within_s: float,
    max_length_s: float,
) -> list[DrawnFault]:
    """Return one to `max_count` faults that start within `within_s` seconds.

    Each lasts at most `max_length_s` seconds. Faults of the same kind may
    repeat and overlap.
    """
    kinds = sorted(injectors)
    faults = []
    for _ in range(rng.randint(1, max_count)):
        kind = rng.choice(kinds)
        faults.append(
            DrawnFault(
                kind=kind,
                at=rng.uniform(0, within_s),
                length_s=rng.uniform(_MIN_LENGTH_S, max_length_s),
                seed=rng.getrandbits(64),
                injector=injectors[kind],
            )
        )
    return faults


async def inject_kv_outage(fleet, length_s, rng) -> None:
    """Take the key-value service down for `length_s` seconds."""
    await fleet.kv.set_down(True)
    await asyncio.sleep(length_s)
    await fleet.kv.set_down(False)


async def inject_kv_delay(fleet, length_s, rng) -> None:
    """Delay calls to the key-value service by 0.01 to 1 s.

    The delay is removed after `length_s` seconds.
    """
    fleet.kv.faults.delay_s = rng.uniform(0.01, 1.0)
    await asyncio.sleep(length_s)
    fleet.kv.faults.delay_s = 0.0


async def inject_lost_kv_replies(fleet, length_s, rng) -> None:
    """Apply the next 1 to 4 writes but lose their replies."""
    fleet.kv.faults.lose_replies += rng.randint(1, 4)
