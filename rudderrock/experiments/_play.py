"""Drawing faults for a random schedule, and those that all schedules share."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

from rudderrock import standins

_SHORTEST_S = 0.05

# Brings a fault about in a fleet and mends it after so many seconds.
Player = Callable[
    [standins.MemoryFleet, float, random.Random], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrawnFault:
    """One fault of a schedule; `at` and `length_s` are in seconds."""

    kind: str
    at: float
    length_s: float
    seed: int
    player: Player

    def __str__(self) -> str:
        return f'{self.kind} at {self.at:.2f} for {self.length_s:.2f} s'

    async def play(self, fleet: standins.MemoryFleet) -> None:
        """Bring the fault about at its time, and mend it at its end."""
        await asyncio.sleep(self.at)
        await self.player(fleet, self.length_s, random.Random(self.seed))


def draw_faults(
    source: random.Random,
    players: dict[str, Player],
    *,
    most: int,
    within_s: float,
    length_s: float,
) -> list[DrawnFault]:
    """Draw one to `most` faults that begin within some seconds.

    Each lasts up to `length_s`. The same kind may come twice, also at the
    same time.
    """
    kinds = sorted(players)
    faults = []
    for _ in range(source.randint(1, most)):
        kind = source.choice(kinds)
        faults.append(
            DrawnFault(
                kind=kind,
                at=source.uniform(0, within_s),
                length_s=source.uniform(_SHORTEST_S, length_s),
                seed=source.getrandbits(64),
                player=players[kind],
            )
        )
    return faults


async def take_kv_down(fleet, length_s, draw) -> None:
    """Let the key-value service be down."""
    await fleet.kv.set_down(True)
    await asyncio.sleep(length_s)
    await fleet.kv.set_down(False)


async def slow_kv_down(fleet, length_s, draw) -> None:
    """Let the key-value service be slow."""
    fleet.kv.faults.delay_s = draw.uniform(0.01, 1.0)
    await asyncio.sleep(length_s)
    fleet.kv.faults.delay_s = 0.0


async def lose_kv_replies(fleet, length_s, draw) -> None:
    """Let the next writes take effect without a reply."""
    fleet.kv.faults.lose_replies += draw.randint(1, 4)
