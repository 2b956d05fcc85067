"""A gateway over virtual connections, its upstreams and its callers."""

import asyncio
import collections
import contextlib
import dataclasses
import logging

from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import standins
from rudderrock import state

NAMES = gateway.HeaderNames()
HOST = 'members.example'
_GATEWAY_IP = '10.0.0.1'
_PORT = 8000
# What upstreams accept unless a scenario says otherwise.
_CONNECTIONS = 100
# Between the seeds of a host's processes.
_STARTS_APART = 1000


class LineHandler(logging.Handler):
    """Keeps the log lines of a scenario."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line."""
        self.lines.append(record.getMessage())


@dataclasses.dataclass(slots=True)
class Reply:
    """What a caller got; `status` 0 if the connection just ended."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed: float = 0.0
    closed: bool = False


class Caller:
    """One connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, raw: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(raw)
        await self.writer.drain()

    async def read(self) -> Reply:
        """Read one reply."""
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b'', closed=True)
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        status = int(first.split(' ')[1])
        headers = {}
        for line in lines:
            key, _, value = line.partition(':')
            headers[key.strip().lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        body = await self.reader.readexactly(length)
        return Reply(status, headers, body)

    def leave(self) -> None:
        """Close the connection."""
        self.writer.transport.abort()


def make_raw(
    request_id: str,
    path: str,
    *,
    method: str = 'GET',
    deadline_ms: int = 1000,
    body: bytes = b'',
    extra: str = '',
    host: str = HOST,
) -> bytes:
    """Return one request of a caller as bytes."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Rudderrock-Request-Id: {request_id}\r\n'
        f'Rudderrock-Deadline-Ms: {deadline_ms}\r\n{extra}'
    )
    if body:
        head += f'Content-Length: {len(body)}\r\n'
    return head.encode() + b'\r\n' + body


class GatewayBench:
    """One gateway and what is around it, on the scenario's loop."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.source = standins.MemorySource()
        self.upstreams: dict[str, standins.WireUpstream] = {}
        self.routes: list[gateway.Route] = []
        self.services: dict[gateway.ServiceName, gateway.Service] = {}
        self.limits = gateway.IntakeLimits()
        self.process: gateway.GatewayProcess | None = None
        self.task: asyncio.Task | None = None
        self.log = LineHandler()
        self.replies: list[Reply] = []
        self.version = 0
        self._stack = stack
        self._next = 0

    async def start(self, **settings) -> None:
        """Start the gateway; it is given a second to learn all."""
        loop = asyncio.get_running_loop()
        clock = state.Clock(loop)
        self.keep_log()
        fields = {
            'place': gateway.Topology(
                state.ZoneId('north-1'),
                {
                    state.ZoneId('north-1'): 'north',
                    state.ZoneId('south-1'): 'south',
                },
            ),
            'assumed_hosts': 1,
            **settings,
        }
        config = gateway.GatewaySettings(
            host='g1',
            callers=(_GATEWAY_IP, _PORT),
            readiness=(_GATEWAY_IP, _PORT + 1),
            metrics=(_GATEWAY_IP, _PORT + 2),
            peers=(_GATEWAY_IP, _PORT + 3),
            **fields,
        )
        events = gateway.EventLog('g1', clock)
        self.process = gateway_root.make_gateway(
            config, self.source, clock, 1, events
        )
        self.task = asyncio.create_task(self.process.run())
        self._stack.push_async_callback(core.end_task, self.task)
        await asyncio.sleep(1.5)

    def keep_log(self) -> None:
        """Keep the log lines of this scenario."""
        root_log = logging.getLogger()
        root_log.addHandler(self.log)
        self._stack.callback(root_log.removeHandler, self.log)
        logging.getLogger('absl').setLevel(logging.INFO)

    async def add_upstream(
        self,
        upstream: str,
        service: str,
        *,
        zone: str = 'north-1',
        address: tuple[str, int] | None = None,
        **shape,
    ) -> standins.WireUpstream:
        """Start an upstream and register it."""
        self._next += 1
        address = address or (f'10.1.0.{self._next}', 9000)
        model = standins.WireUpstream(upstream, NAMES, **shape)
        await model.start(*address)
        self._stack.push_async_callback(model.stop)
        self.upstreams[upstream] = model
        if service not in self.services:
            self.allow_connections(service, _CONNECTIONS)
        self.register(upstream, service, zone, address)
        return model

    def register(
        self,
        upstream: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        phase: gateway.Phase = gateway.Phase.READY,
    ) -> None:
        """Register an upstream, or change what is registered."""
        self.source.set_endpoint(
            gateway.Endpoint(
                upstream=state.UpstreamId(upstream),
                service=gateway.ServiceName(service),
                address=address,
                zone=state.ZoneId(zone),
                slots=2,
                phase=phase,
            )
        )

    def add_route(self, prefix: str, target: gateway.Target, **fields) -> None:
        """Add a route, or replace the one of this prefix."""
        shape = {
            'host': HOST,
            'repeat': gateway.Repeat.IDEMPOTENT,
            'timeout_s': 1.0,
            'goal_s': 0.2,
            'priority': 1,
            'max_attempts': 2,
            **fields,
        }
        self.routes = [each for each in self.routes if each.prefix != prefix]
        self.routes.append(
            gateway.Route(
                name=gateway.RouteName(f'r{prefix}'),
                prefix=prefix,
                target=target,
                **shape,
            )
        )

    def make_table(self, version: int) -> gateway.RoutingTable:
        """Return a table of the present routes."""
        return gateway.RoutingTable(
            gateway.TableVersion(version),
            self.routes,
            self.services,
            self.limits,
        )

    def publish(self) -> None:
        """Write the routes as the next version."""
        self.version += 1
        self.source.set_table(self.make_table(self.version))

    def allow_connections(self, service: str, count: int) -> None:
        """Say how many connections an upstream of a service accepts."""
        name = gateway.ServiceName(service)
        self.services[name] = gateway.Service(name=name, max_connections=count)

    async def connect(self, port: int = _PORT) -> Caller:
        """Open one connection of a caller."""
        return Caller(*await asyncio.open_connection(_GATEWAY_IP, port))

    async def ask(self, raw: bytes, port: int = _PORT) -> Reply:
        """Send one request on a new connection and keep its reply."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            caller = await self.connect(port)
        except ConnectionError:
            reply = Reply(0, {}, b'', closed=True)
        else:
            await caller.send(raw)
            reply = await caller.read()
            caller.leave()
        reply.elapsed = loop.time() - began
        self.replies.append(reply)
        return reply

    async def ask_at_rate(
        self, path: str, rate: float, seconds: float, **shape
    ) -> list[Reply]:
        """Send requests at a steady rate, whatever comes back."""
        tasks = []
        for number in range(round(rate * seconds)):
            raw = make_raw(f'load-{number}', path, **shape)
            tasks.append(asyncio.create_task(self.ask(raw)))
            await asyncio.sleep(1.0 / rate)
        return await asyncio.gather(*tasks)

    async def probe(self) -> int:
        """Return the status of the readiness address."""
        raw = make_raw('probe', '/readyz')
        return (await self.ask(raw, _PORT + 1)).status

    async def scrape(self) -> str:
        """Return the metrics as text."""
        raw = make_raw('scrape', '/metrics')
        return (await self.ask(raw, _PORT + 2)).body.decode()

    def list_runs(self, request_id: str) -> list[standins.WireRun]:
        """Return every run of one request, at any upstream."""
        return [
            run
            for model in self.upstreams.values()
            for run in model.runs
            if run.request_id == request_id
        ]


@dataclasses.dataclass(slots=True)
class Member:
    """One gateway of several."""

    address: str
    source: standins.HostSource
    process: gateway.GatewayProcess
    gateway: gateway.Gateway
    hosts: gateway.Fleet
    task: asyncio.Task
    silent: asyncio.Server | None = None

    def freeze_peers(self) -> None:
        """Answer peers no more, as one would that hangs in its work."""

        async def hang(request) -> None:
            await asyncio.sleep(3600.0)

        self.process.peers.handle = hang

    def deafen_peers(self) -> None:
        """Read nothing more on open connections of peers."""
        for link in self.process.peers.links:
            link.data_received = lambda data: None

    async def silence_peers(self) -> None:
        """Read nothing of peers any more, as a frozen process would."""
        peers = self.process.peers
        self.deafen_peers()
        peers.stop_accepting()
        await asyncio.sleep(0)
        self.silent = await asyncio.get_running_loop().create_server(
            asyncio.Protocol, self.address, _PORT + 3
        )

    def cut_peers(self) -> None:
        """End the connections of peers, as a killed process would."""
        for link in list(self.process.peers.links):
            link._transport.abort()


class FleetBench:
    """Several gateways over one source and the same upstreams."""

    def __init__(self, bench: GatewayBench, stack: contextlib.AsyncExitStack):
        self.members: dict[str, Member] = {}
        self._bench = bench
        self._stack = stack
        self._count = 0
        self._starts = collections.Counter()

    async def start(
        self,
        zones: list[str],
        capacities: list[float] | None = None,
        link_bytes_s: float = 0.0,
    ) -> None:
        """Start one gateway for each zone that is given."""
        self._bench.keep_log()
        capacities = capacities or [1.0] * len(zones)
        for zone, capacity in zip(zones, capacities, strict=True):
            await self.add(zone, capacity, link_bytes_s=link_bytes_s)
        await asyncio.sleep(1.0)

    async def add(
        self,
        zone: str,
        capacity: float = 1.0,
        seeds: tuple[tuple[str, int], ...] = (),
        is_refused: bool = False,
        link_bytes_s: float = 0.0,
        number: int | None = None,
    ) -> None:
        """Start one more gateway; the source may refuse it.

        With the `number` of an earlier one it takes that one's place.
        """
        if number is None:
            self._count += 1
            number = self._count
        name = f'g{number}'
        ip = f'10.0.1.{number}'
        clock = state.Clock(asyncio.get_running_loop())
        topology = gateway.Topology(
            state.ZoneId(zone),
            {'north-1': 'north', 'north-2': 'north', 'south-1': 'south'},
        )
        config = gateway.GatewaySettings(
            host=name,
            place=topology,
            callers=(ip, _PORT),
            readiness=(ip, _PORT + 1),
            metrics=(ip, _PORT + 2),
            peers=(ip, _PORT + 3),
            capacity=capacity,
            link_bytes_s=link_bytes_s,
            seeds=seeds,
        )
        source = standins.HostSource(self._bench.source)
        source.is_refused = is_refused
        events = gateway.EventLog(name, clock)
        # A host that starts again is another process, with another name.
        seed = number + _STARTS_APART * self._starts[number]
        self._starts[number] += 1
        process = gateway_root.make_gateway(
            config, source, clock, seed, events
        )
        task = asyncio.create_task(process.run())
        self._stack.push_async_callback(core.end_task, task)
        self.members[name] = Member(
            ip, source, process, process.gateway, process.hosts, task
        )

    def find_reader(self) -> str:
        """Return the gateway that reads the source for all."""
        hosts = next(iter(self.members.values())).hosts
        earlier = hosts.list_earlier_readers() or hosts.rank_readers()
        return earlier[0].host

    async def kill(self, name: str) -> None:
        """End a gateway at once."""
        await core.end_task(self.members.pop(name).task)

    async def ask(self, name: str, raw: bytes) -> Reply:
        """Send one request to one gateway."""
        caller = await self.connect(name)
        await caller.send(raw)
        reply = await caller.read()
        caller.leave()
        return reply

    async def connect(self, name: str) -> Caller:
        """Open a connection of a caller to one gateway."""
        address = self.members[name].address
        return Caller(*await asyncio.open_connection(address, _PORT))
