"""A processor whose work takes virtual time, for one gateway of a fleet."""

import asyncio
import functools

_ROUNDING_S = 1e-9


class _SlowLinks(set):
    """Connections whose data is read when the processor is free."""

    def __init__(self, processor: 'SlowProcessor'):
        super().__init__()
        self._processor = processor

    def add(self, link) -> None:
        """Add a connection and delay the data that it receives."""
        received = link.data_received
        link.data_received = lambda data: self._processor.call(received, data)
        super().add(link)


class SlowProcessor:
    """One first-in first-out processor that runs a gateway's event loop.

    Each wide query or part takes `query_s` seconds when it starts. Data of
    peers, timers of the loop monitor, requests and replies wait until the
    work before them is done.
    """

    def __init__(self, member, query_s: float):
        self.query_s = query_s
        self.started: list[float] = []
        self._loop = asyncio.get_running_loop()
        self._free_at = 0.0
        links = _SlowLinks(self)
        for link in member.process.peers.links:
            links.add(link)
        member.process.peers.links = links
        estimator = member.gateway.load_estimator
        self._record_start = estimator.record_start
        estimator.record_start = self._start_query
        for listener in (
            member.process.peers,
            member.process._caller_listener,
        ):
            listener.handle = functools.partial(self._answer, listener.handle)
        member.gateway.loop_monitor.sleep = self._sleep
        member.gateway.loop_monitor.call_soon = self.call

    def call(self, function, *args) -> None:
        """Call a function as soon as the work before it is done."""
        if self._free_at <= self._loop.time() + _ROUNDING_S:
            function(*args)
        else:
            self._loop.call_at(self._free_at, self.call, function, *args)

    def _start_query(self, query_class, shards: int) -> None:
        now = self._loop.time()
        self.started.append(now)
        self._free_at = max(now, self._free_at) + self.query_s
        self._record_start(query_class, shards)

    async def _answer(self, handle, request):
        await self._wait()
        reply = await handle(request)
        await self._wait()
        return reply

    async def _sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._wait()

    async def _wait(self) -> None:
        while (left_s := self._free_at - self._loop.time()) > _ROUNDING_S:
            await asyncio.sleep(left_s)
