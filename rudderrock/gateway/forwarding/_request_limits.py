"""Ends the requests of a host before its process ends."""

import asyncio
import contextlib

from rudderrock.gateway.decisions import _departure as departure_module


class RequestLimits:
    """Limits the time of requests once a stop has been planned.

    `departure` is None while the host serves. `refused` counts the requests
    that were not taken because of it, `ended` those that were ended by it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.departure: departure_module.Departure | None = None
        self.refused = 0
        self.ended = 0
        self._loop = loop
        self._timeouts: set[asyncio.Timeout] = set()

    def start(self, departure: departure_module.Departure) -> None:
        """Limit the requests in flight and all later ones."""
        self.departure = departure
        self._loop.call_at(departure.answer_by, self._end_requests)

    def shorten(self, expires_at: float) -> float:
        """Return the loop time at which a request is given up."""
        if self.departure is None:
            return expires_at
        return min(expires_at, self.departure.answer_by)

    def _end_requests(self) -> None:
        for each in self._timeouts:
            each.reschedule(self._loop.time())

    @contextlib.asynccontextmanager
    async def limit(self):
        """Cancel the block when each request needs its reply.

        Raises `TimeoutError` then. `expired` of the value tells it from
        others. The block is not cancelled if it starts later.
        """
        async with asyncio.timeout(None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)
