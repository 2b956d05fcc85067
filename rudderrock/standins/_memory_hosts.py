"""In-memory peers, connections to the key-value service, and host list."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import result

from rudderrock import protocol
from rudderrock import transport
from rudderrock.standins import _pause as pauses

_HANG_S = 3600.0
_CUT_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class PeerFaults:
    """Active faults between hosts.

    `lose` is the probability that a message is lost. `cut` holds the pairs
    of addresses without a connection, `paused` the addresses of paused
    hosts.
    """

    lose: float = 0.0
    cut: set[frozenset[str]] = dataclasses.field(default_factory=set)
    paused: set[str] = dataclasses.field(default_factory=set)


Handler = Callable[[protocol.Probe], Awaitable[protocol.ProbeReply]]


class MemoryPeers:
    """The network between hosts in one process."""

    def __init__(self, latency_s: float, rng: random.Random):
        self.faults = PeerFaults()
        self.messages = 0
        self.bytes = 0
        self._hosts: dict[str, object] = {}
        self._latency_s = latency_s
        self._rng = rng

    def add(self, address: str, host: object) -> None:
        """Make a host reachable at an address."""
        self._hosts[address] = host

    def remove(self, address: str) -> None:
        """Make an address unreachable, as after a crash."""
        self._hosts.pop(address, None)

    def make_port(self, address: str) -> 'MemoryPeerPort':
        """Return the port of the host at an address."""
        return MemoryPeerPort(self, address)

    async def deliver(self, sender: str, receiver: str, message: object):
        """Wait for the latency and return the host that a message reaches.

        Return None if the message is lost.
        """
        self.messages += 1
        self.bytes += len(protocol.encode(message))
        await asyncio.sleep(self._latency_s)
        pair = frozenset({sender, receiver})
        paused = self.faults.paused & pair
        if paused or pair in self.faults.cut:
            return None
        if self._rng.random() < self.faults.lose:
            return None
        return self._hosts.get(receiver)


class MemoryPeerPort:
    """The peer port of one host."""

    def __init__(self, network: MemoryPeers, address: str):
        self._network = network
        self._address = address

    async def probe(
        self, address: str, message: protocol.Probe, timeout_s: float
    ) -> result.Result[protocol.ProbeReply, transport.PeerUnreachable]:
        """Send a probe to a peer and return its reply."""

        async def handle(host) -> protocol.ProbeReply:
            return await host.membership.answer_probe(message)

        return await self._call(address, message, timeout_s, handle)

    async def fetch_config(
        self,
        address: str,
        message: protocol.ConfigRequest,
        timeout_s: float,
    ) -> result.Result[protocol.ConfigReply, transport.PeerUnreachable]:
        """Return a peer's table and layout, if newer than in `message`."""

        async def handle(host) -> protocol.ConfigReply:
            return host.config.answer_config(message)

        return await self._call(address, message, timeout_s, handle)

    async def _call(self, address, message, timeout_s, handle):
        try:
            async with asyncio.timeout(timeout_s):
                host = await self._network.deliver(
                    self._address, address, message
                )
                if host is None:
                    await asyncio.sleep(_HANG_S)
                reply = await handle(host)
                delivered = await self._network.deliver(
                    address, self._address, reply
                )
                if delivered is None:
                    await asyncio.sleep(_HANG_S)
                return result.Ok(reply)
        except TimeoutError:
            return result.Err(transport.PeerUnreachable('timed out'))


class HostKv:
    """A host's connection to the key-value service, with faults.

    While `cut` is set, calls fail after `_CUT_TIMEOUT_S`, and calls in flight
    fail when the service replies. During a pause, replies of the service are
    held back, as for a paused process.
    """

    def __init__(self, kv: transport.KvPort):
        self.cut = False
        self.pause = pauses.Pause()
        self._kv = kv

    async def get(self, key: str):
        """Return the value and version of a key."""
        return await self._forward(self._kv.get, key)

    async def swap(self, request: protocol.SwapRequest):
        """Write a key if its version is as expected; return its version."""
        return await self._forward(self._kv.swap, request)

    async def watch(self, key: str, after: int, timeout_s: float):
        """Return the value and version of a key; see `MemoryKv.watch`."""
        return await self._forward(self._kv.watch, key, after, timeout_s)

    async def grant(self, ttl_s: float):
        """Request a lease and return its id."""
        return await self._forward(self._kv.grant, ttl_s)

    async def renew(self, lease: str):
        """Reset a lease to its full time to live."""
        return await self._forward(self._kv.renew, lease)

    async def revoke(self, lease: str):
        """Revoke a lease."""
        return await self._forward(self._kv.revoke, lease)

    async def _forward(self, call, *arguments):
        await self.pause.wait_until_over()
        if self.cut:
            await asyncio.sleep(_CUT_TIMEOUT_S)
            return result.Err(transport.KvUnavailable('cut off'))
        outcome = await call(*arguments)
        await self.pause.wait_until_over()
        if self.cut:
            return result.Err(transport.KvUnavailable('cut off'))
        return outcome


class MemoryHostList:
    """The platform's list of running and draining hosts.

    A scenario sets `hosts`, and `problems` for invalid entries; `down` makes
    reads of the list fail.
    """

    def __init__(self):
        self.hosts: list[transport.ListedHost] = []
        self.problems: tuple[str, ...] = ()
        self.down = False

    async def list_hosts(
        self,
    ) -> result.Result[transport.HostListing, transport.PeerUnreachable]:
        """Return the current host list."""
        if self.down:
            return result.Err(transport.PeerUnreachable('list is down'))
        return result.Ok(
            transport.HostListing(list(self.hosts), self.problems)
        )
