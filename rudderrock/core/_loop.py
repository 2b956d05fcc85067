"""The event loop of the programs, whose time goes on while a host sleeps."""

import asyncio
import time


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """A loop on the clock that counts time in which the host is suspended.

    The monotonic clock stands still then, so every age, lease and deadline
    would be taken for younger than it is by that time, and wall time derived
    from it would lag until the process ends. On CLOCK_BOOTTIME
    (clock_gettime(2), Linux) a suspension is to a process what a freeze is.
    A timer that falls due meanwhile runs when the next one or a socket wakes
    the loop; a gateway has a timer each 0.25 s.
    """

    def time(self) -> float:
        """Return seconds since the host booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_loop(main):
    """Run a coroutine to its end, as `asyncio.run` does, on such a loop."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(main)
