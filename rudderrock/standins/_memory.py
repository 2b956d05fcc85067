"""In-memory connections to upstream models, for scenarios in virtual time."""

import asyncio
import dataclasses
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.standins import _deployment as deployments
from rudderrock.standins import _pause as pauses
from rudderrock.standins import _upstream as upstreams

_HANG_S = 3600.0


@dataclasses.dataclass(slots=True, kw_only=True)
class LinkFaults:
    """Active faults of the connections to upstreams.

    `lose` is the probability that a connection is lost during an exchange;
    half of it applies before the upstream runs the request, half after.
    `cross` is the probability that a reply is swapped with that of another
    exchange. `delay_s` is added to each reply, in seconds.
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
        """Return whether an exchange may start on this connection."""
        return self._open and not self._model.faults.lost

    async def exchange(
        self,
        request: protocol.ShardRequest,
        control: transport.ExchangeControl,
    ) -> protocol.ShardReply:
        """Send a request and return its reply.

        Return `ShardTimeout` if there is none by `control.read_until`.
        """
        try:
            async with asyncio.timeout_at(control.read_until) as abort:
                control.set_abort(abort)
                return await self._exchange(request)
        except TimeoutError:
            return protocol.ShardTimeout()

    async def close(self) -> None:
        """Close the connection, unless it is closed already."""
        if self._open:
            self._open = False
            self._model.disconnect()

    async def _exchange(
        self, request: protocol.ShardRequest
    ) -> protocol.ShardReply:
        faults = self._port.faults
        await self._port.pause.wait_until_over()
        await asyncio.sleep(self._latency_s)
        if self._port.draw_fraction() < faults.lose / 2:
            return protocol.ShardLost(True, 'lost on the way there')
        if self._model.faults.lost:
            return protocol.ShardLost(True, 'connection reset')
        reply = await self._model.handle(request)
        if self._model.faults.hung:
            await asyncio.sleep(_HANG_S)
        await asyncio.sleep(self._latency_s + faults.delay_s)
        await self._port.pause.wait_until_over()
        if self._port.draw_fraction() < faults.lose / 2:
            return protocol.ShardLost(True, 'lost on the way back')
        if self._port.draw_fraction() < faults.cross:
            reply = self._port.swap_reply(reply)
        return transport.check_shard_reply(request, reply)


class MemoryUpstreamPort:
    """Connects one host to upstream models in the same process.

    `zone` is the zone of the host, and `network` has the latency between it
    and the zone of an upstream. `rng` draws the faults.
    """

    def __init__(
        self,
        zone: state.ZoneId,
        models: dict[state.UpstreamId, upstreams.UpstreamModel],
        network: deployments.Network,
        rng: random.Random,
    ):
        self.faults = LinkFaults()
        self._zone = zone
        self._models = models
        self._network = network
        self._rng = rng
        self.pause = pauses.Pause()
        self._held_reply: protocol.ShardReply | None = None

    async def connect(
        self, upstream: state.Upstream
    ) -> result.Result[MemoryConnection, transport.ConnectFailed]:
        """Return a new connection after the model's `connect_s`.

        Return `ConnectFailed` if it is refused.
        """
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

    def draw_fraction(self) -> float:
        """Return a random number in [0, 1) that decides on a fault."""
        return self._rng.random()

    def swap_reply(self, reply: protocol.ShardReply) -> protocol.ShardReply:
        """Keep a reply and return the one that the last call kept.

        The first call returns its own reply, which the second call returns
        again.
        """
        held, self._held_reply = self._held_reply, reply
        return held or reply
