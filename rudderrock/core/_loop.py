"""The event loop of the programs, whose clock includes suspended time."""

import asyncio
import time


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock also advances while the machine is suspended.

    The monotonic clock stops during a suspension. Ages, leases and
    deadlines would then be off by the suspended time, and the wall time
    derived from the clock would lag until the process ends. With
    CLOCK_BOOTTIME (clock_gettime(2), Linux), a suspension has the same
    effect as a paused process. A timer that becomes due during a suspension
    runs when the next timer or socket event wakes the loop; a gateway has a
    timer every 0.25 s.
    """

    def time(self) -> float:
        """Return the time since boot in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_loop(main):
    """Run a coroutine like `asyncio.run`, on a `SuspendAwareLoop`."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(main)
