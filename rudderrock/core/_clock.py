"""Clocks and seeded random number generators.

Components read time and random numbers only from these. Programs make the
`Clock` and the composition root the random number generators, and both are
passed down as arguments, so that a scenario that runs on a virtual-time loop
with a given seed is reproducible.
"""

import asyncio
import random

import xxhash

# A time at most this far in the future counts as reached. An event loop may
# run a timer that is due within its clock resolution before the clock has
# reached its time; a caller that then set a timer for the rest would do so
# without end.
_TIMER_RESOLUTION_S = 2e-6


class Clock:
    """Monotonic time of an event loop, and wall time derived from it.

    Parameters: `loop` provides the monotonic time in seconds; `wall_offset`
    is added to it to get Unix time, in seconds. The offset is determined
    once, at start, so wall time never steps backwards within a process.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, wall_offset: float = 0.0
    ):
        self._loop = loop
        self._wall_offset = wall_offset

    def now(self) -> float:
        """Return the monotonic time in seconds, from an arbitrary origin."""
        return self._loop.time()

    def has_reached(self, when: float) -> bool:
        """Return whether a timer for the loop time `when` would be due."""
        return self._loop.time() + _TIMER_RESOLUTION_S >= when

    def wall(self) -> float:
        """Return the wall time in seconds since the Unix epoch."""
        return self._loop.time() + self._wall_offset


def make_random(seed: int, name: str) -> random.Random:
    """Return the random number generator of one named component.

    Generators with the same seed and different names are independent: an
    additional draw in one component doesn't change the numbers of another.

    >>> make_random(1, 'router').random() == make_random(1, 'router').random()
    True
    """
    stream_seed = xxhash.xxh64_intdigest(name.encode(), seed & 0xFFFFFFFF)
    return random.Random(stream_seed)
