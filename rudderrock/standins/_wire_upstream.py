"""A stand-in of an HTTP upstream, with fault injection."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import random

from rudderrock import gateway
from rudderrock.standins import _wire_server as wire_server

# Time from a crash of an upstream until it listens again.
DOWN_S = 3.0
_PORTION_BYTES = 64 * 1024


class FaultMode(enum.Enum):
    """Modes in which an upstream responds to requests."""

    GOOD = 'good'
    FAILING = 'failing'
    SHEDDING = 'shedding'
    RESETTING = 'resetting'
    SILENT = 'silent'
    TRUNCATED = 'truncating'
    NO_CONTENT_LENGTH = 'unframed'
    NO_CONTENT_LENGTH_RESET = 'unframed cut'
    DUPLICATE_REPLY = 'doubling'
    MALFORMED = 'spoiling'
    CONTENT_ENCODED = 'encoding'
    MISSING_STAMP = 'unsigned'
    CLOSING = 'closing'
    # Lists its stamp and the request id in `Connection`.
    LISTED_STAMP = 'listing'
    EARLY_REPLY = 'early'
    MISDIRECTED = 'misdirected'
    # Sheds the first attempt of each request. Sends a second copy of that
    # rejection once it has read the next request on the connection.
    REPEATED_REJECTION = 'rejecting twice'
    # The same for every second request, and neither copy has the request id.
    ANONYMOUS_REJECTION = 'rejecting without an id'
    # Sends a body until the connection is closed.
    ENDLESS = 'endless'


@dataclasses.dataclass(frozen=True, slots=True)
class Pauses:
    """Periodic pauses: `length_s` seconds in every `every_s` seconds.

    `phase_s` shifts the pauses, so that upstreams do not pause at the same
    time.
    """

    length_s: float
    every_s: float
    phase_s: float = 0.0

    def get_remaining_s(self, now: float) -> float:
        """Return the remaining seconds of the current pause, or 0."""
        elapsed_s = (now + self.phase_s) % self.every_s
        return max(0.0, self.length_s - elapsed_s)


@dataclasses.dataclass(frozen=True, slots=True)
class WireRun:
    """One request that an upstream received.

    `at` is when its head was read, in seconds by the clock of the loop.
    """

    at: float
    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class WireUpstream(wire_server.WireServer):
    """An HTTP upstream that records the requests it processes in `runs`.

    `records` is the body of each reply, or a function that returns it for a
    request id. Processing a request takes `work_s` seconds, for up to `slots`
    requests at once; it ends early when the connection closes, but a request
    that waits for a slot waits on. If processing starts during one of the
    `pauses`, it takes longer by the rest of that pause. Nothing is read from a
    new connection for `connect_s` seconds. Connections beyond
    `max_connections` are closed. After running a request whose target is in
    `lethal`, the upstream crashes and listens again `DOWN_S` seconds later.
    """

    def __init__(
        self,
        upstream: str,
        names: gateway.HeaderNames,
        records: bytes | Callable[[str], bytes] = b'',
        work_s: float = 0.01,
        max_connections: int = 1000,
        slots: int = 1000,
        pauses: Pauses | None = None,
        connect_s: float = 0.0,
    ):
        super().__init__()
        self.upstream = upstream
        self.records = records
        self.work_s = work_s
        self.fault_mode = FaultMode.GOOD
        # Percentage of arrivals that are rejected although there is room.
        self.shed_percent = 0
        # Statuses of rejections and of failures after a run.
        self.rejection_status = 503
        self.failure_status = 500
        self.lethal: frozenset[str] = frozenset()
        # The time of each crash and the target of the request that caused it.
        self.crash_log: list[tuple[float, str]] = []
        # Called at each crash, so that a proxy can go down as well.
        self.on_crash: Callable[[], None] = lambda: None
        self.max_connections = max_connections
        self.runs: list[WireRun] = []
        # Number of requests whose processing was completed.
        self.finished = 0
        self.timed_arrivals: list[tuple[float, str]] = []
        # Numbers of open connections and of requests in progress, including
        # those that wait for a slot.
        self.open = 0
        self.working = 0
        self.peak_connections = 0
        self._names = names
        self.pauses = pauses
        self.connect_s = connect_s
        self._slots = asyncio.Semaphore(slots)
        self._late_copies: dict[asyncio.StreamWriter, bytes] = {}

    @property
    def arrivals(self) -> list[str]:
        """Return the ids of all received requests, in order of arrival."""
        return [request_id for _, request_id in self.timed_arrivals]

    def _make_body(self, request_id: str) -> bytes:
        if callable(self.records):
            return self.records(request_id)
        return self.records

    async def serve(self, reader, writer) -> None:
        """Serve one connection, or close it if there are too many."""
        self.open += 1
        self.peak_connections = max(self.peak_connections, self.open)
        try:
            if self.open <= self.max_connections:
                await self._serve(reader, writer)
        finally:
            self.open -= 1

    async def _serve(self, reader, writer) -> None:
        if self.connect_s:
            await asyncio.sleep(self.connect_s)
        while True:
            head = await wire_server.read_head(reader)
            await self.wait_if_silent()
            at = asyncio.get_running_loop().time()
            if self.fault_mode is FaultMode.EARLY_REPLY:
                writer.write(_render_reply(400, [], b''))
            body = await reader.readexactly(head.body_length)
            run = self._make_run(at, head, body)
            self.timed_arrivals.append((run.at, run.request_id))
            if self.fault_mode is FaultMode.EARLY_REPLY:
                continue
            if not await self._handle_request(run, reader, writer):
                return

    def _make_run(
        self, at: float, head: wire_server.Head, body: bytes
    ) -> WireRun:
        name = self._names.request_id.decode()
        return WireRun(
            at,
            head.headers.get(name, ''),
            head.method,
            head.target,
            head.headers,
            body,
        )

    @property
    def crashes(self) -> list[float]:
        """Return the times of all crashes."""
        return [at for at, _ in self.crash_log]

    async def _handle_request(self, run: WireRun, reader, writer) -> bool:
        """Answer one request; return whether the connection stays open."""
        echo = (self._names.request_id, run.request_id.encode())
        rejected = (self._names.not_run, b'1')
        expected = run.headers.get(self._names.expected_upstream.decode())
        if expected not in (None, self.upstream):
            writer.write(_render_reply(421, [echo], b''))
            return True
        writer.write(self._late_copies.pop(writer, b''))
        is_first = self.arrivals.count(run.request_id) == 1
        is_odd = len(set(self.arrivals)) % 2 == 1
        match self.fault_mode:
            case FaultMode.REPEATED_REJECTION if is_first:
                self._reject_twice(writer, [echo, rejected])
                return True
            case FaultMode.ANONYMOUS_REJECTION if is_first and is_odd:
                self._reject_twice(writer, [rejected])
                return True
            case FaultMode.GOOD if self._rejects_arrival():
                writer.write(_render_reply(503, [echo, rejected], b''))
                return True
            case FaultMode.SHEDDING:
                writer.write(_render_reply(503, [echo, rejected], b''))
                return True
            case FaultMode.MISDIRECTED:
                writer.write(_render_reply(421, [echo], b''))
                return True
        self.runs.append(run)
        if not await self._work(reader):
            return False
        if run.target in self.lethal:
            now = asyncio.get_running_loop().time()
            self.crash_log.append((now, run.target))
            self.crash(DOWN_S)
            self.on_crash()
            return False
        return await self._answer(run, writer)

    def _reject_twice(
        self, writer: asyncio.StreamWriter, headers: gateway.Headers
    ) -> None:
        """Send a rejection, and a copy once the next request is there."""
        rejection = _render_reply(self.rejection_status, headers, b'')
        writer.write(rejection)
        self._late_copies[writer] = rejection

    def _rejects_arrival(self) -> bool:
        """Return whether the latest arrival is one that is rejected."""
        rng = random.Random(f'{self.upstream}/{len(self.timed_arrivals)}')
        return 100 * rng.random() < self.shed_percent

    async def _work(self, reader) -> bool:
        """Process a request; return False if the connection is closed."""
        disconnected = asyncio.ensure_future(reader.read(1))
        self.working += 1
        try:
            async with self._slots:
                work_s = self.work_s + self._get_pause_s()
                done, _ = await asyncio.wait({disconnected}, timeout=work_s)
        finally:
            self.working -= 1
        if not done:
            disconnected.cancel()
            await asyncio.gather(disconnected, return_exceptions=True)
            self.finished += 1
            return True
        return False

    def _get_pause_s(self) -> float:
        if self.pauses is None:
            return 0.0
        return self.pauses.get_remaining_s(asyncio.get_running_loop().time())

    async def _answer(self, run: WireRun, writer) -> bool:
        names = self._names
        echo = (names.request_id, run.request_id.encode())
        stamp = (names.stamp, f'{self.upstream}.{run.request_id}'.encode())
        body = self._make_body(run.request_id)
        full_reply = _render_reply(200, [echo, stamp], body)
        match self.fault_mode:
            case (
                FaultMode.GOOD
                | FaultMode.REPEATED_REJECTION
                | FaultMode.ANONYMOUS_REJECTION
            ):
                writer.write(full_reply)
            case FaultMode.FAILING:
                status = self.failure_status
                writer.write(_render_reply(status, [echo, stamp], b'failed'))
            case FaultMode.RESETTING:
                return False
            case FaultMode.SILENT:
                await asyncio.sleep(3600.0)
            case FaultMode.TRUNCATED:
                writer.write(full_reply[:-1])
                await writer.drain()
                writer.close()
                await asyncio.sleep(1.0)
                return False
            case (
                FaultMode.NO_CONTENT_LENGTH | FaultMode.NO_CONTENT_LENGTH_RESET
            ):
                head, _, body = full_reply.partition(b'\r\n\r\n')
                lines = [
                    line
                    for line in head.split(b'\r\n')
                    if not line.startswith(b'content-length')
                ]
                writer.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
                await writer.drain()
                if self.fault_mode is FaultMode.NO_CONTENT_LENGTH_RESET:
                    await asyncio.sleep(0.01)
                    return False
                writer.close()
                await asyncio.sleep(1.0)
                return False
            case FaultMode.ENDLESS:
                await _write_without_end(writer)
            case FaultMode.DUPLICATE_REPLY:
                writer.write(full_reply)
                await asyncio.sleep(0.002)
                writer.write(_render_reply(200, [echo, stamp], b'e' * 16))
            case FaultMode.MALFORMED:
                writer.write(b'\x00\x01 no http \r\n\r\n')
            case FaultMode.CONTENT_ENCODED:
                coded = (b'content-encoding', b'gzip')
                writer.write(_render_reply(200, [echo, stamp, coded], body))
            case FaultMode.MISSING_STAMP:
                writer.write(_render_reply(200, [echo], body))
            case FaultMode.LISTED_STAMP:
                listed = b'%b, %b' % (names.stamp, names.request_id)
                headers = [echo, stamp, (b'connection', listed)]
                writer.write(_render_reply(200, headers, body))
            case FaultMode.CLOSING:
                close = (b'connection', b'close')
                writer.write(_render_reply(200, [echo, stamp, close], body))
                await writer.drain()
                writer.close()
                await asyncio.sleep(1.0)
                return False
        return True


async def _write_without_end(writer: asyncio.StreamWriter) -> None:
    """Write a body until the client closes the connection."""
    writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
    while True:
        writer.write(b'e' * _PORTION_BYTES)
        await writer.drain()


def _render_reply(status: int, headers: gateway.Headers, body: bytes) -> bytes:
    reply = gateway.Reply(status, headers, body)
    return gateway.render_reply(reply, close=False)
