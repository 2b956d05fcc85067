"""Gateways over virtual connections, with their upstreams and callers."""

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
# Connections that an upstream accepts unless a scenario sets another limit.
_MAX_CONNECTIONS = 100
# Difference between the random seeds of successive processes of a host.
_SEED_STEP = 1000


class LogCollector(logging.Handler):
    """Log handler that collects the lines of a scenario."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Append the message to `lines`."""
        self.lines.append(record.getMessage())


@dataclasses.dataclass(slots=True)
class Reply:
    """Reply to a caller.

    If the connection was closed without a reply, `status` is 0 and `closed` is
    true. `elapsed` is the time from the connection attempt to the reply, in
    seconds, and is set only by `GatewayHarness.ask`.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed: float = 0.0
    closed: bool = False


class Caller:
    """Connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, raw: bytes) -> None:
        """Send bytes without changing them."""
        self.writer.write(raw)
        await self.writer.drain()

    async def read(self) -> Reply:
        """Return the next reply.

        Its status is 0 if the connection was closed before the end of the
        headers.
        """
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b'', closed=True)
        status_line, *lines = head.decode('latin-1').strip().split('\r\n')
        status = int(status_line.split(' ')[1])
        headers = {}
        for line in lines:
            key, _, value = line.partition(':')
            headers[key.strip().lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        body = await self.reader.readexactly(length)
        return Reply(status, headers, body)

    def leave(self) -> None:
        """Abort the connection."""
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
    """Return the bytes of a request with a request id and a deadline."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Rudderrock-Request-Id: {request_id}\r\n'
        f'Rudderrock-Deadline-Ms: {deadline_ms}\r\n{extra}'
    )
    if body:
        head += f'Content-Length: {len(body)}\r\n'
    return head.encode() + b'\r\n' + body


class GatewayHarness:
    """One gateway with its source, upstreams and callers.

    All run on the event loop of the scenario.
    """

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.source = standins.MemorySource()
        self.upstreams: dict[str, standins.WireUpstream] = {}
        self.routes: list[gateway.Route] = []
        self.services: dict[gateway.ServiceName, gateway.Service] = {}
        self.limits = gateway.IntakeLimits()
        self.teams: gateway.TeamRegistry | None = None
        self.process: gateway.GatewayProcess | None = None
        self.task: asyncio.Task | None = None
        self.log = LogCollector()
        self.replies: list[Reply] = []
        self.version = 0
        # Slack of the extra requests of all hosts of a `FleetHarness`.
        self.extra_slack = 20.0
        self._stack = stack
        self._upstream_count = 0

    async def start(self, **settings) -> None:
        """Start the gateway and give it 1.5 seconds to read the source."""
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
        """Collect the log lines of this scenario."""
        root_log = logging.getLogger()
        root_log.addHandler(self.log)
        self._stack.callback(root_log.removeHandler, self.log)
        logging.getLogger(gateway.LOGGER_NAME).setLevel(logging.INFO)

    async def add_upstream(
        self,
        upstream: str,
        service: str,
        *,
        zone: str = 'north-1',
        address: tuple[str, int] | None = None,
        **shape,
    ) -> standins.WireUpstream:
        """Start and register an upstream, and return it."""
        self._upstream_count += 1
        address = address or (f'10.1.0.{self._upstream_count}', 9000)
        model = standins.WireUpstream(upstream, NAMES, **shape)
        await model.start(*address)
        self._stack.push_async_callback(model.stop)
        self.upstreams[upstream] = model
        if service not in self.services:
            self.allow_connections(service, _MAX_CONNECTIONS)
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
        """Register an upstream, or replace its entry."""
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
        """Add a route, or replace the route with this prefix."""
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
        """Return a routing table with the current routes."""
        return gateway.RoutingTable(
            gateway.TableVersion(version),
            self.routes,
            self.services,
            self.limits,
            self.teams,
        )

    def publish(self) -> None:
        """Write the current routes to the source as the next table version."""
        self.version += 1
        self.source.set_table(self.make_table(self.version))

    def allow_connections(self, service: str, count: int) -> None:
        """Set how many connections an upstream of a service accepts."""
        name = gateway.ServiceName(service)
        self.services[name] = gateway.Service(name=name, max_connections=count)

    async def connect(self, port: int = _PORT) -> Caller:
        """Open a connection of a caller."""
        return Caller(*await asyncio.open_connection(_GATEWAY_IP, port))

    async def ask(self, raw: bytes, port: int = _PORT) -> Reply:
        """Send a request on a new connection and return its reply.

        The reply is also appended to `replies`. Its status is 0 if the
        connection was refused.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            caller = await self.connect(port)
        except ConnectionError:
            reply = Reply(0, {}, b'', closed=True)
        else:
            await caller.send(raw)
            reply = await caller.read()
            caller.leave()
        reply.elapsed = loop.time() - started_at
        self.replies.append(reply)
        return reply

    async def ask_at_rate(
        self, path: str, rate: float, seconds: float, **shape
    ) -> list[Reply]:
        """Send requests at a constant rate, and return their replies.

        Requests are sent without waiting for earlier replies.
        """
        tasks = []
        for number in range(round(rate * seconds)):
            raw = make_raw(f'load-{number}', path, **shape)
            tasks.append(asyncio.create_task(self.ask(raw)))
            await asyncio.sleep(1.0 / rate)
        return await asyncio.gather(*tasks)

    async def probe(self) -> int:
        """Return the HTTP status of the readiness check."""
        raw = make_raw('probe', '/readyz')
        return (await self.ask(raw, _PORT + 1)).status

    async def scrape(self) -> str:
        """Return the metrics as text."""
        raw = make_raw('scrape', '/metrics')
        return (await self.ask(raw, _PORT + 2)).body.decode()

    def list_runs(self, request_id: str) -> list[standins.WireRun]:
        """Return the executions of a request at all upstreams."""
        return [
            run
            for model in self.upstreams.values()
            for run in model.runs
            if run.request_id == request_id
        ]


@dataclasses.dataclass(slots=True)
class Member:
    """One gateway of a `FleetHarness`.

    `hosts` is its list of the hosts of the deployment.
    """

    address: str
    source: standins.HostSource
    process: gateway.GatewayProcess
    gateway: gateway.Gateway
    hosts: gateway.Fleet
    task: asyncio.Task
    silent_server: asyncio.Server | None = None

    def hang_peer_requests(self) -> None:
        """Delay replies to peers by an hour, as if their handler hung."""

        async def hang(request) -> None:
            await asyncio.sleep(3600.0)

        self.process.peers.handle = hang

    def discard_peer_data(self) -> None:
        """Discard what peers send on their open connections."""
        for link in self.process.peers.links:
            link.data_received = lambda data: None

    async def simulate_freeze(self) -> None:
        """Accept connections of peers but send no replies.

        To peers, the gateway looks like a frozen process.
        """
        peers = self.process.peers
        self.discard_peer_data()
        peers.stop_accepting()
        await asyncio.sleep(0)
        self.silent_server = await asyncio.get_running_loop().create_server(
            asyncio.Protocol, self.address, _PORT + 3
        )

    async def simulate_wake(self, stack: contextlib.AsyncExitStack) -> None:
        """Reply to peers again after a freeze, until `stack` is closed."""
        self.abort_peer_connections()
        self.silent_server.close()
        self.silent_server = None
        await stack.enter_async_context(
            self.process.peers.listen(self.address, _PORT + 3)
        )

    def abort_peer_connections(self) -> None:
        """Abort the connections of peers, as if the process were killed."""
        for link in list(self.process.peers.links):
            link._transport.abort()


class FleetHarness:
    """Several gateways with the same source and upstreams."""

    def __init__(
        self, harness: GatewayHarness, stack: contextlib.AsyncExitStack
    ):
        self.members: dict[str, Member] = {}
        # Further settings of all gateways, by name.
        self.settings: dict[str, float] = {}
        self._harness = harness
        self._stack = stack
        self._member_count = 0
        self._start_counts = collections.Counter()

    async def start(
        self,
        zones: list[str],
        capacities: list[float] | None = None,
        link_bytes_s: float = 0.0,
        cores: float = 1.0,
    ) -> None:
        """Start one gateway for each element of `zones`."""
        self._harness.keep_log()
        capacities = capacities or [1.0] * len(zones)
        for zone, capacity in zip(zones, capacities, strict=True):
            await self.add(
                zone, capacity, link_bytes_s=link_bytes_s, cores=cores
            )
        await asyncio.sleep(1.0)

    async def add(
        self,
        zone: str,
        capacity: float = 1.0,
        seeds: tuple[tuple[str, int], ...] = (),
        is_refused: bool = False,
        link_bytes_s: float = 0.0,
        number: int | None = None,
        cores: float = 1.0,
    ) -> None:
        """Start another gateway.

        With `is_refused`, the source refuses its calls. With the `number` of
        an earlier gateway, it replaces that gateway.
        """
        if number is None:
            self._member_count += 1
            number = self._member_count
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
            cores=cores,
            seeds=seeds,
            extra_slack=self._harness.extra_slack,
            **self.settings,
        )
        source = standins.HostSource(self._harness.source)
        source.is_refused = is_refused
        events = gateway.EventLog(name, clock)
        # Each process of a host needs its own seed to get its own id.
        seed = number + _SEED_STEP * self._start_counts[number]
        self._start_counts[number] += 1
        process = gateway_root.make_gateway(
            config, source, clock, seed, events
        )
        task = asyncio.create_task(process.run())
        self._stack.push_async_callback(core.end_task, task)
        self.members[name] = Member(
            ip, source, process, process.gateway, process.hosts, task
        )

    def find_reader(self) -> str:
        """Return the name of the gateway that reads the source."""
        hosts = next(iter(self.members.values())).hosts
        readers = hosts.list_earlier_readers() or hosts.rank_readers()
        return readers[0].host

    async def kill(self, name: str) -> None:
        """Stop a gateway without draining it."""
        await core.end_task(self.members.pop(name).task)

    async def ask(self, name: str, raw: bytes) -> Reply:
        """Send a request to one gateway, and return its reply."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller = await self.connect(name)
        await caller.send(raw)
        reply = await caller.read()
        caller.leave()
        reply.elapsed = loop.time() - started_at
        return reply

    async def connect(self, name: str) -> Caller:
        """Open a connection of a caller to one gateway."""
        address = self.members[name].address
        return Caller(*await asyncio.open_connection(address, _PORT))
