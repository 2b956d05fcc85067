"""Tracks whether a host can serve, and lets requests wait for missing data.

A host serves once it knows the routes, the upstreams and the evacuated zones.
"""

import asyncio

from rudderrock import core
from rudderrock.gateway.decisions import _waiting as waiting
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _sources as sources

# For this long after the start of the process, in seconds, requests wait for
# missing data, since a rejection would delay them for longer. Data that is
# missing later indicates a fault, and waiting does not help.
STARTUP_WAIT_PERIOD_S = 1.0
# How long a request waits during startup, in seconds. Reading 600 upstreams,
# 195 hosts and the routes takes 0.25 to 0.36 s over a link of 10 Mbit/s. After
# a wait of 0.2 s, all requests that arrived together were rejected.
STARTUP_WAIT_S = 0.5


class InitialSync:
    """Signals when routes, upstreams and evacuations are all known."""

    def __init__(
        self,
        tables: sources.TableHolder,
        upstream_directory: directory.Directory,
        evacuated: evacuations.EvacuationHolder,
        clock: core.Clock,
    ):
        self._tables = tables
        self._evacuated = evacuated
        self._directory = upstream_directory
        self._clock = clock
        self._started_at = clock.now()
        self.kept = waiting.KeptRequests()
        self._is_stopping = False
        self._released: dict[waiting.KeptRequest, asyncio.Event] = {}
        self._complete = asyncio.Event()
        self._has_waiter = asyncio.Event()
        tables.add_listener(lambda table: self._update())
        upstream_directory.add_reading_listener(self._update)
        evacuated.add_listener(lambda found: self._update())

    @property
    def is_complete(self) -> bool:
        """Return whether routes, upstreams and evacuations are known."""
        return self._complete.is_set()

    async def wait(self) -> None:
        """Wait until all is known, but only during startup.

        Also ends `wait_for_first_request`.
        """
        self._has_waiter.set()
        if self._clock.now() - self._started_at < STARTUP_WAIT_PERIOD_S:
            await self.wait_at_most(STARTUP_WAIT_S)

    async def keep(self, request: waiting.KeptRequest) -> None:
        """Keep a request until all is known and it is its turn.

        Returns earlier if the limits do not allow to keep it, or when it is
        too late for an answer. Also ends `wait_for_first_request`.
        """
        self._has_waiter.set()
        if self._is_stopping or not self.kept.try_add(request):
            await self.wait()
            return
        turn = self._released[request] = asyncio.Event()
        try:
            left_s = request.give_up_at - self._clock.now()
            await core.wait_for_event(turn, max(left_s, 0.0))
        finally:
            del self._released[request]
            self.kept.remove(request)

    def stop(self) -> None:
        """Keep requests no longer, because the host stops."""
        self._is_stopping = True
        for turn in self._released.values():
            turn.set()

    def estimate_retry_after_s(self, left_s: float | None) -> float:
        """Return when a refused caller may retry, in seconds.

        `left_s` is the time until its deadline, None if there is none.
        """
        missing_s = self._clock.now() - self._started_at
        return waiting.estimate_retry_after_s(missing_s, left_s)

    async def wait_at_most(self, seconds: float) -> None:
        """Wait until all is known, for at most this many seconds."""
        await core.wait_for_event(self._complete, seconds)

    async def wait_for_first_request(self) -> None:
        """Wait until a request has waited for the data."""
        await self._has_waiter.wait()

    def _update(self) -> None:
        known = self._tables.current is not None and self._evacuated.is_known
        if not known or self._directory.stamp is None or self.is_complete:
            return
        self._complete.set()
        loop = asyncio.get_running_loop()
        for request, delay_s in waiting.plan_release(
            self._released, self._clock.now()
        ):
            loop.call_later(delay_s, self._released[request].set)
