"""A stand-in of an upstream, with a request queue and fault injection.

`UpstreamModel` is the server itself. `make_upstream_app` serves it over HTTP,
and `MemoryUpstreamPort` connects to it in memory. The model records the
requests that it ran, so that a scenario can check every outcome against them.
"""

import asyncio
import dataclasses
import random

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport

DEFAULT_MAX_QUEUE = 64
_HITS_PER_SHARD = 3
_HANG_S = 3600.0


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Active faults of an upstream.

    `straggle` is the probability that a request takes `straggle_factor` times
    as long. `slow_factor` multiplies the time of all requests. `shed` is the
    probability that a request is shed. A `lost` upstream drops its connections
    and accepts none. A `hung` upstream accepts connections and processes
    requests but sends no replies. A `leaving` upstream rejects all requests.
    `false_load` is reported in place of the actual load. Requests that start
    before the time `cold_until` of the model's clock take `cold_factor` times
    as long.
    """

    straggle: float = 0.0
    straggle_factor: float = 15.0
    slow_factor: float = 1.0
    shed: float = 0.0
    lost: bool = False
    hung: bool = False
    leaving: bool = False
    false_load: protocol.Load | None = None
    cold_until: float = 0.0
    cold_factor: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that an upstream started to process.

    `started` is the time in seconds, by the model's clock. `finished` is False
    if the request was cancelled.
    """

    request: protocol.ShardRequest
    started: float
    finished: bool


class UpstreamModel:
    """A server of shards.

    `upstream` is its entry in the layout and `versions` are the index
    versions that it holds. The time to process a request is log-normal with
    median `service_s`, in seconds; `spread` is the standard deviation of its
    logarithm. `connect_s` is the time to open a connection, in seconds.
    `max_queue` is the number of requests that may wait for a slot.
    """

    def __init__(
        self,
        upstream: state.Upstream,
        clock: state.Clock,
        rng: random.Random,
        *,
        versions: set[state.IndexVersion],
        service_s: float = 0.004,
        connect_s: float = 0.0,
        spread: float = 0.25,
        max_queue: int = DEFAULT_MAX_QUEUE,
    ):
        self.upstream = upstream
        self.faults = UpstreamFaults()
        self.versions = versions
        self.connect_s = connect_s
        self.runs: list[Run] = []
        self.received = 0
        self.open_connections = 0
        self.peak_connections = 0
        self.refused_connections = 0
        self._clock = clock
        self._rng = rng
        self._service_s = service_s
        self._spread = spread
        self._max_queue = max_queue
        self._slots = asyncio.Semaphore(upstream.slots)
        self._queued = 0
        self._in_flight = 0

    async def handle(
        self, request: protocol.ShardRequest
    ) -> protocol.ShardAnswer | protocol.ShardRejected:
        """Process a request and return the answer or a rejection.

        If the call is cancelled while the request is being processed, its run
        is recorded with `finished` False.
        """
        self.received += 1
        rejection = self._reject(request)
        if rejection is not None:
            return rejection
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            return await self._work(request)
        finally:
            self._slots.release()

    def report_load(self) -> protocol.Load:
        """Return the load, or `false_load` if that fault is set."""
        if self.faults.false_load is not None:
            return self.faults.false_load
        return protocol.Load(
            in_flight=self._in_flight,
            queued=self._queued,
            leaving=self.faults.leaving,
            versions=tuple(sorted(self.versions)),
        )

    def connect(self) -> bool:
        """Accept a connection; return False if it is refused.

        It is refused if the upstream is lost or all of its `connections` are
        open; only the latter counts in `refused_connections`.
        """
        if self.faults.lost:
            return False
        if self.open_connections >= self.upstream.connections:
            self.refused_connections += 1
            return False
        self.open_connections += 1
        self.peak_connections = max(
            self.peak_connections, self.open_connections
        )
        return True

    def disconnect(self) -> None:
        """Record that a connection is closed."""
        self.open_connections -= 1

    def _reject(
        self, request: protocol.ShardRequest
    ) -> protocol.ShardRejected | None:
        kinds = protocol.RejectionKind
        if self.faults.leaving:
            return _rejected(request, kinds.LEAVING)
        if request.version not in self.versions:
            return protocol.ShardRejected(
                request_id=request.request_id,
                kind=kinds.VERSION,
                versions=tuple(sorted(self.versions)),
            )
        if self._clock.wall() >= request.deadline:
            return _rejected(request, kinds.EXPIRED)
        full = self._queued >= self._max_queue
        if full or self._rng.random() < self.faults.shed:
            return _rejected(request, kinds.SHED, retry_after_s=0.05)
        return None

    async def _work(
        self, request: protocol.ShardRequest
    ) -> protocol.ShardAnswer | protocol.ShardRejected:
        if self._clock.wall() >= request.deadline:
            return _rejected(request, protocol.RejectionKind.EXPIRED)
        started = self._clock.now()
        finished = False
        self._in_flight += 1
        try:
            await asyncio.sleep(self._draw_service_s())
            finished = True
        finally:
            self._in_flight -= 1
            self.runs.append(Run(request, started, finished))
        return self._answer(request)

    def _draw_service_s(self) -> float:
        faults = self.faults
        service_s = self._service_s * faults.slow_factor
        service_s *= self._rng.lognormvariate(0.0, self._spread)
        if self._rng.random() < faults.straggle:
            service_s *= faults.straggle_factor
        if self._clock.now() < faults.cold_until:
            service_s *= faults.cold_factor
        return service_s

    def _answer(self, request: protocol.ShardRequest) -> protocol.ShardAnswer:
        hits = [
            protocol.Hit(
                id=f'{request.shard}-{request.version}-{number}',
                score=round(self._rng.random(), 6),
                document=msgspec.Raw(
                    b'{"shard":"%s","echo":%s}'
                    % (request.shard.encode(), bytes(request.body))
                ),
            )
            for number in range(_HITS_PER_SHARD)
        ]
        return protocol.ShardAnswer(
            request_id=request.request_id,
            shard=request.shard,
            version=request.version,
            hits=hits,
            load=self.report_load(),
        )


def _rejected(
    request: protocol.ShardRequest,
    kind: protocol.RejectionKind,
    retry_after_s: float = 0.0,
) -> protocol.ShardRejected:
    return protocol.ShardRejected(
        request_id=request.request_id, kind=kind, retry_after_s=retry_after_s
    )


def make_upstream_app(model: UpstreamModel) -> applications.Starlette:
    """Return an application that serves an upstream over HTTP.

    A request is cancelled when its connection is closed.
    """

    async def shard(request: requests.Request) -> responses.Response:
        decoded = protocol.decode(protocol.ShardRequest, await request.body())
        if decoded.is_err():
            return responses.PlainTextResponse(decoded.unwrap_err(), 400)
        work = asyncio.create_task(model.handle(decoded.unwrap()))
        disconnected = asyncio.create_task(
            transport.wait_for_disconnect(request)
        )
        await asyncio.wait((work, disconnected), return_when='FIRST_COMPLETED')
        disconnected.cancel()
        if not work.done():
            work.cancel()
            return responses.Response(status_code=499)
        if model.faults.hung:
            await asyncio.sleep(_HANG_S)
        return _make_response(work.result())

    async def load(request: requests.Request) -> responses.Response:
        return responses.Response(
            protocol.encode(model.report_load()), media_type='application/json'
        )

    return applications.Starlette(
        routes=[
            routing.Route(protocol.SHARD_PATH, shard, methods=['POST']),
            routing.Route(protocol.LOAD_PATH, load, methods=['POST']),
        ]
    )


def _make_response(
    reply: protocol.ShardAnswer | protocol.ShardRejected,
) -> responses.Response:
    status = 200
    if isinstance(reply, protocol.ShardRejected):
        status = protocol.REJECTION_STATUS[reply.kind]
    return responses.Response(
        protocol.encode(reply), status, media_type='application/json'
    )
