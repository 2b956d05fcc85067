"""Time and randomness, the only two sources a process may use.

Both are made once by the composition root and handed down, so that a
scenario on a virtual-time loop with a given seed replays exactly.
"""

import asyncio
import random

import xxhash

# A loop wakes timers that are due within its resolution, so a time this
# close counts as reached; waiting for the rest of it would never end.
_RESOLUTION_S = 2e-6


class Clock:
    """The loop's steady time, and a wall time derived from it.

    Parameters: `loop` supplies the monotonic time in seconds; `wall_offset`
    in seconds is what must be added to it to give Unix time. The offset is
    read once, at start, so wall time never steps backwards in a process.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, wall_offset: float = 0.0
    ):
        self._loop = loop
        self._wall_offset = wall_offset

    def now(self) -> float:
        """Return monotonic seconds; only differences have a meaning."""
        return self._loop.time()

    def has_reached(self, when: float) -> bool:
        """Tell whether a loop time has come, as the loop's timers see it."""
        return self._loop.time() + _RESOLUTION_S >= when

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return self._loop.time() + self._wall_offset


def make_random(seed: int, name: str) -> random.Random:
    """Make the stream of randomness that belongs to one named part.

    Streams of one seed are independent, so a part that draws one number
    more does not shift the numbers that another part sees.

    >>> make_random(1, 'router').random() == make_random(1, 'router').random()
    True
    """
    mixed = xxhash.xxh64_intdigest(name.encode(), seed & 0xFFFFFFFF)
    return random.Random(mixed)
