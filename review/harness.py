"""Starts the gateways of a case and the stand-ins around them.

The gateways are separate processes, started with the command of the deploy
file from the build under `target/`. The stand-in of the store is in `store`;
servers, clients and the proxies to the store are below.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import socket
import tempfile
import time
import tomllib

import store as store_module

ROOT = pathlib.Path(__file__).resolve().parent.parent
_DEPS = ROOT / 'target' / 'deps'

# Exit codes of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2
# The bounds of the small deployments, in seconds.
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
STABLE_S = 4.0
_READY_TIMEOUT_S = 15.0
_HOST = 'members.example'
_ROUTE = {
    'host': _HOST,
    'kind': 'safe',
    'timeout_ms': 6000,
    'latency_goal_ms': 673,
    'priority': 2,
    'max_attempts': 2,
}
_SERVICE = {
    'health_path': '/healthz',
    'max_conns': 100,
    'protocol': 'h1',
    'tls': False,
}
_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
ZONES = {
    'quito-norte': 'sierra',
    'guayaquil-sur': 'costa',
    'cuenca-centro': 'austro',
}


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes `record.txt` with times relative to the start of the case."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the current time."""
        now_s = time.monotonic() - self._started_at
        self._file.write(f'{now_s:9.3f} s  {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server received, and whether the server ran it."""

    at: float
    request_id: str
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a client; `status` is 0 if the connection ended."""

    request_id: str
    gateway: str
    sent_at: float
    status: int
    stamp: str = ''


class StoreProxy:
    """Forwards one gateway's connections to the store.

    While `is_cut` is set, no bytes pass in either direction and no connection
    ends, as behind a partition. Bytes that were held back pass afterwards.
    `on_request` and `on_reply` are called with the bytes that pass.
    """

    def __init__(self, store: tuple[str, int]):
        self.port = 0
        self.on_request: Callable[[bytes], None] = lambda data: None
        self.on_reply: Callable[[bytes], None] = lambda data: None
        self._store = store
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._on_connection, '127.0.0.1', 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Partition the gateway from the store."""
        self._open.clear()

    def heal(self) -> None:
        """End the partition."""
        self._open.set()

    async def _on_connection(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            await self._open.wait()
            to_store = await asyncio.open_connection(*self._store)
            await self._relay_both(reader, writer, *to_store)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _relay_both(self, reader, writer, store_reader, store_writer):
        requests = asyncio.create_task(
            self._relay(reader, store_writer, lambda x: self.on_request(x))
        )
        replies = asyncio.create_task(
            self._relay(store_reader, writer, lambda x: self.on_reply(x))
        )
        try:
            await asyncio.wait(
                {requests, replies}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (requests, replies):
                task.cancel()
            await asyncio.gather(requests, replies, return_exceptions=True)
            store_writer.transport.abort()

    async def _relay(self, reader, writer, observe) -> None:
        while data := await reader.read(65536):
            await self._open.wait()
            observe(data)
            writer.write(data)
        await self._open.wait()


class Gateway:
    """One gateway process with its settings file."""

    def __init__(self, name: str, zone: str, ip: str, port: int):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.port = port
        self.proxy: StoreProxy | None = None
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def control(self) -> str:
        """Return the address for calls of other gateways."""
        return f'{self.ip}:{self.port + 2}'

    async def start(self, folder: pathlib.Path, seeds: list[str]) -> None:
        """Write the settings file and start the process."""
        path = folder / f'{self.name}.conf'
        path.write_text(self._make_settings(seeds), encoding='utf-8')
        with (ROOT / 'deploy' / 'system.toml').open('rb') as file:
            command = tomllib.load(file)['roles']['entry']['run']
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(_DEPS),
            'RUDDERROCK_CONFIG': str(path),
        }
        log = (folder / f'{self.name}.log').open('ab')
        with contextlib.closing(log):
            self._process = await asyncio.create_subprocess_exec(
                *shlex.split(command),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self) -> None:
        """Kill the process."""
        if self.is_up:
            self._process.kill()
            await self._process.wait()

    def _make_settings(self, seeds: list[str]) -> str:
        values = {
            'node_name': self.name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front,control',
            'ip': self.ip,
            'zone': self.zone,
            'region': ZONES[self.zone],
            **{f'zones.{zone}': ZONES[zone] for zone in ZONES},
            'listen.front': f'{self.ip}:{self.port}',
            'listen.ready': f'{self.ip}:{self.port + 1}',
            'listen.control': self.control,
            'internal_ports': f'{self.port + 3},{self.port + 9}',
            'seeds': ','.join(seeds),
            'bootstrap': 'true',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'heartbeat_ms': '1200',
            'bounds.stable_ms': '4000',
            'bounds.drain_ms': '3000',
            'bounds.grace_s': '6',
            'bounds.config_apply_ms': '3000',
            'bounds.retry_budget_ratio': '0.2',
            'bounds.retry_window_s': '10',
            'bounds.retry_slack': '54',
            'platform.address': f'127.0.0.1:{self.proxy.port}',
            'platform.form': 'kv',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.max_value_bytes': '1048576',
            'platform.min_ttl_ms': '1000',
        }
        return ''.join(f'{key}={value}\n' for key, value in values.items())


class Server:
    """A server that follows the protocol of the pages.

    It runs `slots` requests at once, each for `work_s` seconds, and drops a
    request when its connection closes. `reject` decides whether it rejects a
    request as full, and `repeat` whether it sends a second copy of a response
    late: on the same connection, at the point where the next response is
    expected. `runs` holds all requests that it received.
    """

    def __init__(self, name: str, record: Record, work_s: float, slots: int):
        self.name = name
        self.runs: list[Run] = []
        self.reject: Callable[[], bool] = lambda: False
        self.repeat: Callable[[], bool] = lambda: False
        self.port = 0
        self._record = record
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._on_connection, '127.0.0.1', 0
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_connection(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        late_id = ''
        late_copy = b''
        while True:
            headers = await read_head(reader)
            length = int(headers.get('content-length', '0'))
            await reader.readexactly(length)
            request_id = headers.get('x-request-id', '')
            run = Run(time.monotonic(), request_id, False)
            self.runs.append(run)
            if late_copy:
                text = f'{self.name} repeats its response to {late_id}'
                self._record.write(text)
                writer.write(late_copy)
                late_copy = b''
            response = await self._answer(run, headers, reader)
            if response is None:
                return
            writer.write(response)
            if self.repeat():
                late_id = request_id
                late_copy = response

    async def _answer(self, run: Run, headers, reader) -> bytes | None:
        """Return the response, or None if the connection was closed."""
        echo = f'X-Request-Id: {run.request_id}\r\n'
        expected = headers.get('x-expect-instance', self.name)
        if expected != self.name:
            return _make_response('421 Misdirected Request', echo, b'')
        if self.reject():
            self._record.write(f'{self.name} rejects {run.request_id}')
            extra = f'{echo}X-Not-Executed: 1\r\n'
            return _make_response('503 Service Unavailable', extra, b'')
        async with self._slots:
            run.ran = True
            self._record.write(f'{self.name} runs {run.request_id}')
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=self._work_s)
        if done:
            return None
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        extra = f'{echo}X-Server-Stamp: {self.name}.{run.request_id}\r\n'
        return _make_response('200 OK', extra, b'a pass\n')


def _make_response(status: str, headers: str, body: bytes) -> bytes:
    head = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    """Return the headers of a message; `:first` is its first line."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    headers = {':first': first}
    for line in lines:
        key, _, value = line.partition(':')
        headers[key.strip().lower()] = value.strip()
    return headers


class Client:
    """Sends requests to one gateway on a kept connection."""

    def __init__(self, gateway: Gateway, record: Record):
        self._gateway = gateway
        self._record = record
        self._connection = None
        self._rng = random.Random(gateway.name)

    async def send(
        self, method: str, path: str, deadline_ms: int, body: bytes = b''
    ) -> Reply:
        """Send one request and return its reply."""
        request_id = f'{random.getrandbits(64):016x}'
        gateway = self._gateway.name
        sent_at = time.monotonic()
        self._record.write(f'{gateway} gets {method} {path} {request_id}')
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                status, stamp = await self._exchange(
                    method, path, request_id, deadline_ms, body
                )
        except (OSError, EOFError, TimeoutError):
            self.close()
            status, stamp = 0, ''
        self._record.write(f'{gateway} answers {status} to {request_id}')
        return Reply(request_id, gateway, sent_at, status, stamp)

    async def _exchange(self, method, path, request_id, deadline_ms, body):
        if self._connection is None:
            self._connection = await asyncio.open_connection(
                self._gateway.ip, self._gateway.port
            )
        reader, writer = self._connection
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {_HOST}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        headers = await read_head(reader)
        length = int(headers.get('content-length', '0'))
        await reader.readexactly(length)
        if headers.get('connection', '') == 'close':
            self.close()
        status = int(headers[':first'].split(' ')[1])
        return status, headers.get('x-server-stamp', '')

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


class Case:
    """The gateways, the store and the servers of one case."""

    def __init__(self, record: Record, stack: contextlib.AsyncExitStack):
        self.record = record
        self.store = store_module.Store()
        self.gateways: list[Gateway] = []
        self.servers: dict[str, Server] = {}
        self._stack = stack
        self._folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._version = 0
        self._sequence = 0

    async def start_store(self) -> None:
        """Start the store on a free port."""
        await self.store.start()
        self._stack.push_async_callback(self.store.stop)

    async def add_server(
        self, name: str, service: str, zone: str, work_s: float, slots: int
    ) -> Server:
        """Start and register a server."""
        server = Server(name, self.record, work_s, slots)
        await server.start()
        self._stack.push_async_callback(server.stop)
        self.servers[name] = server
        self.register(name, service, zone, 'ready')
        return server

    def register(self, name: str, service: str, zone: str, state: str) -> None:
        """Write a server's entry, as its heartbeat does."""
        self._sequence += 1
        entry = {
            'service': service,
            'address': f'127.0.0.1:{self.servers[name].port}',
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': self._sequence,
        }
        self.store.put(f'servers/{name}', json.dumps(entry).encode())
        self.record.write(f'store acknowledged {name} as {state}')

    def unregister(self, name: str) -> None:
        """Remove a server's entry."""
        self.store.remove(f'servers/{name}')

    def write_config(self, routes: list[dict]) -> int:
        """Write the next version of the configuration; return it."""
        self._version += 3
        services = sorted({each['service'] for each in routes})
        config = {
            'version': self._version,
            'routes': [{**_ROUTE, **each} for each in routes],
            'services': [{**_SERVICE, 'name': each} for each in services],
            'limits': _LIMITS,
        }
        self.store.put('op/config', json.dumps(config).encode())
        self.record.write(f'store acknowledged config {self._version}')
        return self._version

    async def start_gateways(self, names: dict[str, str]) -> None:
        """Start gateways, given as names and zones, and wait for them."""
        net = 10 + os.getpid() % 200
        for number, (name, zone) in enumerate(names.items()):
            ip = f'127.{net}.1.{number + 1}'
            gateway = Gateway(name, zone, ip, _find_ports(ip, 10))
            gateway.proxy = StoreProxy(('127.0.0.1', self.store.port))
            await gateway.proxy.start()
            self._stack.push_async_callback(gateway.proxy.stop)
            self.gateways.append(gateway)
        seeds = [each.control for each in self.gateways[:3]]
        for gateway in self.gateways:
            await gateway.start(self._folder, seeds)
            self._stack.push_async_callback(gateway.stop)
        for gateway in self.gateways:
            await self._wait_until_ready(gateway)

    def read_log(self, gateway: Gateway) -> str:
        """Return what a gateway has logged."""
        path = self._folder / f'{gateway.name}.log'
        return path.read_text(encoding='utf-8')

    async def _wait_until_ready(self, gateway: Gateway) -> None:
        end = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end:
            if not gateway.is_up:
                break
            if await _is_ready(gateway):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{gateway.name} is not ready')


async def _is_ready(gateway: Gateway) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.port + 1
            )
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readline()
            writer.transport.abort()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line


def _find_ports(ip: str, count: int) -> int:
    """Return the first of `count` consecutive free ports of an address."""
    while True:
        with socket.socket() as probe:
            probe.bind((ip, 0))
            first = probe.getsockname()[1]
        try:
            with contextlib.ExitStack() as stack:
                for port in range(first, first + count):
                    each = stack.enter_context(socket.socket())
                    each.bind((ip, port))
        except (OSError, OverflowError):
            continue
        return first


def run_case(
    folder: pathlib.Path, play: Callable[[Case], Awaitable[bool]]
) -> int:
    """Play a case; return `BROKEN` if `play` found the rule broken."""

    async def run() -> bool:
        async with contextlib.AsyncExitStack() as stack:
            record = Record(folder / 'record.txt')
            stack.callback(record.close)
            case = Case(record, stack)
            await case.start_store()
            return await play(case)

    if not (_DEPS / 'rudderrock').is_dir():
        print('no build under target/: run the build of deploy/system.toml')
        return NOT_RUN
    try:
        return BROKEN if asyncio.run(run()) else HELD
    except (OSError, RuntimeError) as error:
        print(f'the case could not run: {error}')
        return NOT_RUN
