"""An upstream that speaks plain HTTP, with faults to be switched on."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum

from rudderrock import gateway


class Conduct(enum.Enum):
    """How an upstream treats the requests that it gets."""

    GOOD = 'good'
    FAILING = 'failing'
    SHEDDING = 'shedding'
    RESETTING = 'resetting'
    SILENT = 'silent'
    TRUNCATING = 'truncating'
    UNFRAMED = 'unframed'
    UNFRAMED_CUT = 'unframed cut'
    DOUBLING = 'doubling'
    SPOILING = 'spoiling'
    ENCODING = 'encoding'
    UNSIGNED = 'unsigned'
    CLOSING = 'closing'
    EARLY = 'early'
    SAYING_421 = 'misdirected'


@dataclasses.dataclass(frozen=True, slots=True)
class WireRun:
    """One request that an upstream began to work on; time in seconds."""

    at: float
    request_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class WireUpstream:
    """Serves one address; `runs` is what it has worked on.

    Parameters: `records` is the body of each answer, or makes it from the
    request's id; `work_s` is how long it works on a request, `slots` of
    them at once. It stops working when the connection closes.
    """

    def __init__(
        self,
        upstream: str,
        names: gateway.HeaderNames,
        records: bytes | Callable[[str], bytes] = b'',
        work_s: float = 0.01,
        most_connections: int = 1000,
        slots: int = 1000,
    ):
        self.upstream = upstream
        self.records = records
        self.work_s = work_s
        self.conduct = Conduct.GOOD
        self.most_connections = most_connections
        self.runs: list[WireRun] = []
        self.finished = 0
        self.timed_arrivals: list[tuple[float, str]] = []
        self.open = 0
        self.working = 0
        self.most_open = 0
        self._names = names
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def arrivals(self) -> list[str]:
        """Return the ids of all requests that arrived, in order."""
        return [request_id for _, request_id in self.timed_arrivals]

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(
            self._on_connection, host, port
        )

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _make_body(self, request_id: str) -> bytes:
        if callable(self.records):
            return self.records(request_id)
        return self.records

    def cut_connections(self) -> None:
        """Cut every connection and go on listening."""
        for task in list(self._tasks):
            task.cancel()

    async def _on_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            if self.open <= self.most_connections:
                await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            # The other side has left; the stand-in has nothing to tell it.
            return
        except asyncio.CancelledError:
            return
        finally:
            self.open -= 1
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            run = _read_head(head, asyncio.get_running_loop().time())
            if self.conduct is Conduct.EARLY:
                writer.write(_make(400, [], b''))
            length = int(run.headers.get('content-length', '0'))
            body = await reader.readexactly(length)
            run = dataclasses.replace(run, body=body)
            run = self._take(run)
            self.timed_arrivals.append((run.at, run.request_id))
            if self.conduct is Conduct.EARLY:
                continue
            if not await self._treat(run, reader, writer):
                return

    def _take(self, run: WireRun) -> WireRun:
        name = self._names.request_id.decode()
        return dataclasses.replace(run, request_id=run.headers.get(name, ''))

    async def _treat(self, run: WireRun, reader, writer) -> bool:
        """Answer one request; tell whether the connection goes on."""
        wanted = run.headers.get(self._names.expected_upstream.decode())
        if wanted not in (None, self.upstream):
            writer.write(_make(421, [], b''))
            return True
        match self.conduct:
            case Conduct.SHEDDING:
                writer.write(_make(503, [(self._names.not_run, b'1')], b''))
                return True
            case Conduct.SAYING_421:
                writer.write(_make(421, [], b''))
                return True
        self.runs.append(run)
        if not await self._work(reader):
            return False
        return await self._answer(run, writer)

    async def _work(self, reader) -> bool:
        """Work until done; stop when the connection is closed."""
        gone = asyncio.ensure_future(reader.read(1))
        self.working += 1
        try:
            async with self._slots:
                done, _ = await asyncio.wait({gone}, timeout=self.work_s)
        finally:
            self.working -= 1
        if not done:
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            self.finished += 1
            return True
        return False

    async def _answer(self, run: WireRun, writer) -> bool:
        names = self._names
        echo = (names.request_id, run.request_id.encode())
        stamp = (names.stamp, f'{self.upstream}.{run.request_id}'.encode())
        body = self._make_body(run.request_id)
        whole = _make(200, [echo, stamp], body)
        match self.conduct:
            case Conduct.GOOD:
                writer.write(whole)
            case Conduct.FAILING:
                writer.write(_make(500, [echo, stamp], b'failed'))
            case Conduct.RESETTING:
                return False
            case Conduct.SILENT:
                await asyncio.sleep(3600.0)
            case Conduct.TRUNCATING:
                writer.write(whole[:-1])
                await writer.drain()
                writer.close()
                await asyncio.sleep(1.0)
                return False
            case Conduct.UNFRAMED | Conduct.UNFRAMED_CUT:
                head, _, body = whole.partition(b'\r\n\r\n')
                lines = [
                    line
                    for line in head.split(b'\r\n')
                    if not line.startswith(b'content-length')
                ]
                writer.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
                await writer.drain()
                if self.conduct is Conduct.UNFRAMED_CUT:
                    await asyncio.sleep(0.01)
                    return False
                writer.close()
                await asyncio.sleep(1.0)
                return False
            case Conduct.DOUBLING:
                writer.write(whole)
                await asyncio.sleep(0.002)
                writer.write(_make(200, [echo, stamp], b'e' * 16))
            case Conduct.SPOILING:
                writer.write(b'\x00\x01 no http \r\n\r\n')
            case Conduct.ENCODING:
                coded = (b'content-encoding', b'gzip')
                writer.write(_make(200, [echo, stamp, coded], body))
            case Conduct.UNSIGNED:
                writer.write(_make(200, [echo], body))
            case Conduct.CLOSING:
                close = (b'connection', b'close')
                writer.write(_make(200, [echo, stamp, close], body))
                await writer.drain()
                writer.close()
                await asyncio.sleep(1.0)
                return False
        return True


def _read_head(head: bytes, at: float) -> WireRun:
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        key, _, value = line.partition(':')
        headers[key.strip().lower()] = value.strip()
    return WireRun(at, '', method, target, headers, b'')


def _make(status: int, headers: gateway.Headers, body: bytes) -> bytes:
    reply = gateway.Reply(status, headers, body)
    return gateway.render_reply(reply, close=False)
