"""Measures how fast this host runs, by its event loop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _host_load as host_load
from rudderrock.gateway.decisions import _loop_delay as loop_delay
from rudderrock.gateway.forwarding import _calls as calls


class LoopMonitor:
    """Samples the delay of the event loop, and times the work of queries.

    `sleep` and `call_soon` are those of the event loop. `counters` are those
    of the requests that this host sends.
    """

    def __init__(
        self,
        delay: loop_delay.LoopDelay,
        estimator: host_load.LoadEstimator,
        counters: calls.Counters,
        clock: core.Clock,
        events: log.EventLog,
    ):
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.call_soon = asyncio.get_running_loop().call_soon
        self._delay = delay
        self._estimator = estimator
        self._counters = counters
        self._clock = clock
        self._events = events
        self._was_slow = False

    async def run(self) -> None:
        """Sample the delay until cancelled."""
        while True:
            await self.sleep(self._delay.start_sample())
            self._delay.end_sample()
            self._log_change()

    def measure_sending(self, query_class: host_load.QueryClass) -> None:
        """Measure the sending of a query that starts now.

        All of its requests are sent before the event loop runs its next
        callback.
        """
        started_at = self._clock.now()
        sent_before = self._counters.first_attempts
        self.call_soon(self._record_sent, query_class, started_at, sent_before)

    def _record_sent(
        self,
        query_class: host_load.QueryClass,
        started_at: float,
        sent_before: int,
    ) -> None:
        requests = self._counters.first_attempts - sent_before
        taken_s = self._clock.now() - started_at
        self._estimator.record_send_time(query_class, requests, taken_s)
        self._log_change()

    def _log_change(self) -> None:
        slowness = self._estimator.get_slowness()
        is_slow = slowness > 1.0 or self._delay.is_late(self._was_slow)
        if is_slow != self._was_slow:
            self._was_slow = is_slow
            self._events.record(
                events.LogKind.HOST_SLOW,
                slow=is_slow,
                delay_ms=round(1000 * self._delay.get_s(), 1),
                slowness=round(slowness, 1),
            )
