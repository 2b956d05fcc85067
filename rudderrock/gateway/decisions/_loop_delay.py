"""How late this host's event loop runs.

The load that a host estimates from its own queries is based on the stated
speed of its processor. A host that is slowed from outside, or was frozen,
notices it only by the delay of its event loop: every query that it accepts
then waits for that long at least once. The host uses the delay to refuse wide
queries, so that other hosts need not lose any to find out.
"""

from rudderrock import core

# Interval of samples while this host runs wide queries, in seconds. It is
# shorter than the goals of most routes, so that several samples are taken
# within the time of one query.
ACTIVE_INTERVAL_S = 0.1
# Interval while it runs none. Samples then only show that it was frozen.
IDLE_INTERVAL_S = 1.0
# How long after the last wide query samples are taken at the short interval.
_ACTIVE_S = 1.0
# Weight of one sample. A single late sample, as from a garbage collection or
# from decoding a large table, counts for less than a third.
_SAMPLE_WEIGHT = 0.3
# Delays in seconds from which on the host reports that its event loop is late,
# and below which it reports that it no longer is.
_LATE_S = 0.02
_RECOVERED_S = 0.01


class LoopDelay:
    """Moving average of how late timers of this host's event loop run.

    `start_sample` and `end_sample` are called before and after each timer. A
    timer that is overdue counts even before it has run, since after a freeze
    the event loop handles new requests first.
    """

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._average_s = 0.0
        self._due_at: float | None = None
        self._active_until = 0.0

    def record_query(self) -> None:
        """Record that this host starts or refuses a wide query."""
        self._active_until = self._clock.now() + _ACTIVE_S

    def start_sample(self) -> float:
        """Start a sample and return how long its timer should run."""
        now = self._clock.now()
        is_active = now < self._active_until or self._average_s > _RECOVERED_S
        interval_s = ACTIVE_INTERVAL_S if is_active else IDLE_INTERVAL_S
        self._due_at = now + interval_s
        return interval_s

    def end_sample(self) -> None:
        """Include the delay of the timer that has just run."""
        self._average_s = self.get_s()
        self._due_at = None

    def get_s(self) -> float:
        """Return the average delay in seconds."""
        if self._due_at is None:
            return self._average_s
        late_s = self._clock.now() - self._due_at
        if late_s < 0.0:
            return self._average_s
        return self._average_s + _SAMPLE_WEIGHT * (late_s - self._average_s)

    def is_late(self, was_late: bool) -> bool:
        """Return whether to report the event loop as late."""
        return self.get_s() > (_RECOVERED_S if was_late else _LATE_S)
