"""Event loop of the servers; its clock includes suspended time."""

import asyncio
import time

# Connections that are accepted in one iteration of the loop.
_ACCEPTED_AT_ONCE = 8


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock also advances while the machine is suspended.

    The monotonic clock stops during a suspension. Ages, leases and
    deadlines would then be off by the suspended time, and the wall time
    derived from the clock would lag until the process ends. With
    CLOCK_BOOTTIME (clock_gettime(2), Linux), the loop's time advances during
    a suspension, as if only the process had been stopped. A timer that
    became due during a suspension runs at the next wake-up of the loop, by
    another timer or a socket event; in a gateway, which has a timer every
    0.25 s, it is at most that late.
    """

    def time(self) -> float:
        """Return the time since boot in seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def _accept_connection(
        self, protocol_factory, sock, sslcontext=None, server=None, *args
    ):
        """Accept a few of the connections that wait.

        asyncio accepts as many at a time as may wait, so a crowd would take
        all descriptors before the first of its connections is counted.
        """
        backlog, *timeouts = args or (_ACCEPTED_AT_ONCE,)
        super()._accept_connection(
            protocol_factory,
            sock,
            sslcontext,
            server,
            min(backlog, _ACCEPTED_AT_ONCE),
            *timeouts,
        )


def run_loop(main):
    """Run the coroutine `main` on a `SuspendAwareLoop`; return its result."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(main)
