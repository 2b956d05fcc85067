"""Stand-ins at the ports, in memory, for scenarios on virtual time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.standins import _deployment as deployments
from rudderrock.standins import _upstream as upstreams

_SILENCE_S = 3600.0
_CUT_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class LinkFaults:
    """What is wrong with the way to upstreams just now, as parts of 1.

    `lose` drops a connection in the middle of an exchange, `cross` swaps
    the replies of two exchanges, `delay_s` adds seconds to each reply.
    """

    lose: float = 0.0
    cross: float = 0.0
    delay_s: float = 0.0


class MemoryConnection:
    """A connection to an upstream model in the same process."""

    def __init__(self, port: 'MemoryUpstreamPort', model, latency_s: float):
        self._port = port
        self._model = model
        self._latency_s = latency_s
        self._open = True

    @property
    def is_usable(self) -> bool:
        """Tell whether an exchange may start on it."""
        return self._open and not self._model.faults.lost

    async def exchange(
        self,
        request: protocol.ShardRequest,
        ticket: transport.ExchangeTicket,
    ) -> protocol.ShardReply:
        """Send a request and read its whole reply."""
        try:
            async with asyncio.timeout_at(ticket.until) as abort:
                ticket.arm(abort)
                return await self._exchange(request)
        except TimeoutError:
            return protocol.ShardTimeout()

    async def close(self) -> None:
        """Close the connection; harmless if it is closed."""
        if self._open:
            self._open = False
            self._model.disconnect()

    async def _exchange(
        self, request: protocol.ShardRequest
    ) -> protocol.ShardReply:
        faults = self._port.faults
        await self._port.wait_while_frozen()
        await asyncio.sleep(self._latency_s)
        if self._port.draw() < faults.lose / 2:
            return protocol.ShardLost(True, 'lost on the way there')
        if self._model.faults.lost:
            return protocol.ShardLost(True, 'connection reset')
        reply = await self._model.handle(request)
        if self._model.faults.hung:
            await asyncio.sleep(_SILENCE_S)
        await asyncio.sleep(self._latency_s + faults.delay_s)
        await self._port.wait_while_frozen()
        if self._port.draw() < faults.lose / 2:
            return protocol.ShardLost(True, 'lost on the way back')
        if self._port.draw() < faults.cross:
            reply = self._port.cross(reply)
        return transport.check_shard_reply(request, reply)


class MemoryUpstreamPort:
    """Connects one host to upstream models in the same process.

    Parameters: `zone` is the host's own; `network` gives latencies.
    """

    def __init__(
        self,
        zone: state.ZoneId,
        models: dict[state.UpstreamId, upstreams.UpstreamModel],
        network: deployments.Network,
        source: random.Random,
    ):
        self.faults = LinkFaults()
        self._zone = zone
        self._models = models
        self._network = network
        self._source = source
        self._held: protocol.ShardReply | None = None
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self, frozen: bool) -> None:
        """Let replies that come wait, as for a process that is paused."""
        if frozen:
            self._running.clear()
        else:
            self._running.set()

    async def wait_while_frozen(self) -> None:
        """Wait until the host runs."""
        await self._running.wait()

    async def connect(
        self, upstream: state.Upstream
    ) -> result.Result[MemoryConnection, transport.ConnectFailed]:
        """Open a connection, which takes what the model says."""
        model = self._models.get(upstream.upstream)
        if model is None or not model.connect():
            await asyncio.sleep(self._network.between_zones_s)
            return result.Err(transport.ConnectFailed('refused'))
        try:
            await asyncio.sleep(model.connect_s)
        except asyncio.CancelledError:
            model.disconnect()
            raise
        latency_s = self._network.get_latency_s(self._zone, upstream.zone)
        return result.Ok(MemoryConnection(self, model, latency_s))

    def draw(self) -> float:
        """Draw a number from 0 to 1 for a fault."""
        return self._source.random()

    def cross(self, reply: protocol.ShardReply) -> protocol.ShardReply:
        """Keep a reply and give the one kept before in its place."""
        held, self._held = self._held, reply
        return held or reply


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerFaults:
    """What is wrong between hosts: cut pairs, and the part lost."""

    lose: float = 0.0
    cut: set[frozenset[str]] = dataclasses.field(default_factory=set)
    paused: set[str] = dataclasses.field(default_factory=set)


Handler = Callable[[protocol.Probe], Awaitable[protocol.ProbeReply]]


class MemoryPeers:
    """The network between hosts in one process."""

    def __init__(self, latency_s: float, source: random.Random):
        self.faults = PeerFaults()
        self.messages = 0
        self.bytes = 0
        self._hosts: dict[str, object] = {}
        self._latency_s = latency_s
        self._source = source

    def add(self, address: str, host: object) -> None:
        """Let a host be reached at an address."""
        self._hosts[address] = host

    def remove(self, address: str) -> None:
        """Let a host be gone, as by a crash."""
        self._hosts.pop(address, None)

    def make_port(self, address: str) -> 'MemoryPeerPort':
        """Return the port of the host at an address."""
        return MemoryPeerPort(self, address)

    async def carry(self, sender: str, receiver: str, message: object):
        """Carry one message; return the host reached, or None."""
        self.messages += 1
        self.bytes += len(protocol.encode(message))
        await asyncio.sleep(self._latency_s)
        pair = frozenset({sender, receiver})
        silent = self.faults.paused & pair
        if silent or pair in self.faults.cut:
            return None
        if self._source.random() < self.faults.lose:
            return None
        return self._hosts.get(receiver)


class MemoryPeerPort:
    """One host's way to its peers."""

    def __init__(self, network: MemoryPeers, address: str):
        self._network = network
        self._address = address

    async def probe(
        self, address: str, message: protocol.Probe, timeout_s: float
    ) -> result.Result[protocol.ProbeReply, transport.PeerUnreachable]:
        """Send a probe and wait for its reply."""

        async def ask(host) -> protocol.ProbeReply:
            return await host.membership.answer_probe(message)

        return await self._call(address, message, timeout_s, ask)

    async def fetch_config(
        self,
        address: str,
        message: protocol.ConfigRequest,
        timeout_s: float,
    ) -> result.Result[protocol.ConfigReply, transport.PeerUnreachable]:
        """Ask a peer for a later table and layout."""

        async def ask(host) -> protocol.ConfigReply:
            return host.config.answer_config(message)

        return await self._call(address, message, timeout_s, ask)

    async def _call(self, address, message, timeout_s, ask):
        try:
            async with asyncio.timeout(timeout_s):
                host = await self._network.carry(
                    self._address, address, message
                )
                if host is None:
                    await asyncio.sleep(_SILENCE_S)
                reply = await ask(host)
                back = await self._network.carry(address, self._address, reply)
                if back is None:
                    await asyncio.sleep(_SILENCE_S)
                return result.Ok(reply)
        except TimeoutError:
            return result.Err(transport.PeerUnreachable('timed out'))


class HostKv:
    """One host's way to the key-value service, which can be cut or frozen.

    While it is frozen, what the service has answered does not arrive, as
    with a process that is paused.
    """

    def __init__(self, kv: transport.KvPort):
        self.cut = False
        self._kv = kv
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self, frozen: bool) -> None:
        """Start or end a freeze."""
        if frozen:
            self._running.clear()
        else:
            self._running.set()

    async def get(self, key: str):
        """Read one key."""
        return await self._pass(self._kv.get, key)

    async def swap(self, request: protocol.SwapRequest):
        """Compare and swap one key; return its new version."""
        return await self._pass(self._kv.swap, request)

    async def watch(self, key: str, after: int, timeout_s: float):
        """Wait for a version later than `after`, or the time to be over."""
        return await self._pass(self._kv.watch, key, after, timeout_s)

    async def grant(self, ttl_s: float):
        """Ask for a lease; return its id."""
        return await self._pass(self._kv.grant, ttl_s)

    async def renew(self, lease: str):
        """Prolong a lease by its time to live."""
        return await self._pass(self._kv.renew, lease)

    async def revoke(self, lease: str):
        """Give a lease back."""
        return await self._pass(self._kv.revoke, lease)

    async def _pass(self, call, *arguments):
        await self._running.wait()
        if self.cut:
            await asyncio.sleep(_CUT_TIMEOUT_S)
            return result.Err(transport.KvUnavailable('cut off'))
        outcome = await call(*arguments)
        await self._running.wait()
        if self.cut:
            return result.Err(transport.KvUnavailable('cut off'))
        return outcome


class MemoryHostList:
    """The platform's list of live and leaving hosts; set it by hand."""

    def __init__(self):
        self.hosts: list[transport.ListedHost] = []
        self.down = False

    async def list_hosts(
        self,
    ) -> result.Result[list[transport.ListedHost], transport.PeerUnreachable]:
        """Return the list as the platform has it now."""
        if self.down:
            return result.Err(transport.PeerUnreachable('list is down'))
        return result.Ok(list(self.hosts))
