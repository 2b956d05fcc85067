"""Monitoring of the size of the process.

The operating system ends a process that exceeds its memory limit without
letting it write a log line. The lines written while it grows tell the reason.
"""

import asyncio
import resource

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log

# Interval between samples of the peak, in seconds.
SAMPLE_INTERVAL_S = 0.25
# Fractions of the limit that are logged when the peak passes them.
LOGGED_FRACTIONS = (0.5, 0.7, 0.85, 0.95)
_BYTES_PER_KIB = 1024
_BYTES_PER_MB = 1_000_000


class MemoryMonitor:
    """Samples the largest size of the process, and logs its growth.

    `limit_bytes` is the size at which the process is killed from outside, 0
    if unknown.
    """

    def __init__(self, limit_bytes: int, events: log.EventLog):
        self._limit_bytes = limit_bytes
        self._events = events
        self._logged_count = 0

    async def run(self) -> None:
        """Sample the peak until cancelled."""
        while True:
            self.check(get_peak_bytes())
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def check(self, peak_bytes: int) -> None:
        """Log a peak that has passed further logged fractions."""
        passed = sum(
            peak_bytes >= fraction * self._limit_bytes
            for fraction in LOGGED_FRACTIONS
        )
        if self._limit_bytes == 0 or passed <= self._logged_count:
            return
        self._logged_count = passed
        self._events.record(
            events.LogKind.MEMORY_HIGH,
            peak_mb=round(peak_bytes / _BYTES_PER_MB, 1),
            limit_mb=round(self._limit_bytes / _BYTES_PER_MB, 1),
        )


def get_peak_bytes() -> int:
    """Return the largest resident size of the process so far, in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    # Linux reports KiB (getrusage(2)).
    return usage.ru_maxrss * _BYTES_PER_KIB
