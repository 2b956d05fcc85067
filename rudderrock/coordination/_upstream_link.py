"""Connections from a host to one upstream, and the state of the upstream.

A lane is a task that owns one connection and runs one exchange at a time.
Lanes connect before they are given an attempt, so the milliseconds needed
for a new connection do not add to the latency of a query.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import math
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _health as health

_INITIAL_RECONNECT_PAUSE_S = 0.02
# Interval at which idle lanes are checked for closed connections.
_IDLE_CHECK_PERIOD_S = 2.0


class UpstreamState(enum.Enum):
    """State of an upstream as seen by this host.

    `CONNECTING`: no connection was made yet. `UP`: connected and used.
    `EJECTED`: failed repeatedly and has not answered since. `DOWN`: no
    connection can be made. `LEAVING`: is about to stop and gets no new
    attempts. `CLOSED`: this host has closed its link.
    """

    CONNECTING = 'connecting'
    UP = 'up'
    EJECTED = 'ejected'
    DOWN = 'down'
    LEAVING = 'leaving'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _IdleLane:
    """A lane that waits for an attempt, and its open connection."""

    assignment: asyncio.Future[attempts.Attempt | None]
    connection: transport.UpstreamConnection


_REFUSING_STATES = frozenset({UpstreamState.LEAVING, UpstreamState.CLOSED})


class UpstreamLink:
    """Lanes to one upstream, with its state and health.

    Parameters: `upstream` is its description; `port` opens connections;
    `event_ring` records an event for each change of state; `on_free` is called
    when a lane becomes idle.

    `upstream.slots` is how many requests the upstream runs at once. The
    lanes are the connections of this host to it, `health.limit` is an
    adaptive limit of the attempts in flight, and `capacity` is the smaller
    of these two.
    """

    def __init__(
        self,
        upstream: state.Upstream,
        port: transport.UpstreamPort,
        settings: state.RoutingSettings,
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
        on_free: Callable[['UpstreamLink'], None],
    ):
        self.upstream = upstream
        self.state = UpstreamState.CONNECTING
        self.in_flight = 0
        self.health = health.UpstreamHealth(settings, clock)
        self._port = port
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._event_ring = event_ring
        self._on_free = on_free
        self._idle: list[_IdleLane] = []
        self._idle_check_task: asyncio.Task | None = None
        self._lanes: list[asyncio.Task[None]] = []
        self._lanes_to_retire = 0
        self._leaving_in_layout = False

    def set_lanes(self, count: int) -> None:
        """Change the number of lanes to `count`.

        Surplus lanes that are busy finish their exchange first.
        """
        while len(self._lanes) - self._lanes_to_retire < count:
            lane = asyncio.create_task(self._run_lane())
            self._lanes.append(lane)
            lane.add_done_callback(self._on_lane_done)
        surplus = len(self._lanes) - self._lanes_to_retire - count
        for _ in range(surplus):
            self._lanes_to_retire += 1
            if self._idle:
                self._idle.pop().assignment.set_result(None)
        limit = max(self.health.limit, health.MIN_LIMIT)
        self.health.limit = min(limit, max(count, 1))

    def start(self, lanes: int) -> None:
        """Start `lanes` lanes and set the concurrency limit to this number."""
        self.health.limit = float(lanes)
        self.set_lanes(lanes)
        self._idle_check_task = asyncio.create_task(self._check_idle_lanes())

    async def close(self) -> None:
        """Cancel all lanes."""
        self.state = UpstreamState.CLOSED
        tasks = list(self._lanes)
        if self._idle_check_task is not None:
            tasks.append(self._idle_check_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_free(self) -> bool:
        """Return whether one more attempt can start now."""
        return bool(self._idle) and self.in_flight < math.ceil(
            self.health.limit
        )

    @property
    def capacity(self) -> int:
        """Return how many attempts may be in flight at once."""
        return min(len(self._lanes), math.ceil(self.health.limit))

    @property
    def accepts_attempts(self) -> bool:
        """Return whether new attempts may be sent to the upstream."""
        return self.state not in _REFUSING_STATES

    @property
    def is_reachable(self) -> bool:
        """Return whether the upstream takes attempts or is expected to."""
        return self.accepts_attempts and self.state is not UpstreamState.DOWN

    def get_cost(self, now: float) -> float:
        """Return the expected cost of one more attempt; lower is better."""
        return self.health.get_cost(self.in_flight, self.upstream.slots, now)

    def send(self, attempt: attempts.Attempt) -> None:
        """Pass an attempt to an idle lane; `is_free` must be true."""
        attempt.upstream = self.upstream.upstream
        attempt.sent_at = self._clock.now()
        attempt.base_latency_s = self.health.base_latency_s
        attempt.record_lateness = self.health.record_lateness
        self.in_flight += 1
        self._idle.pop().assignment.set_result(attempt)

    def apply_layout(self, leaving: bool) -> None:
        """Set whether the layout marks the upstream as leaving."""
        if leaving:
            self._set_state(UpstreamState.LEAVING, 'marked in the layout')
        elif self._leaving_in_layout and self.state is UpstreamState.LEAVING:
            self._set_state(
                UpstreamState.UP, 'no longer leaving in the layout'
            )
        self._leaving_in_layout = leaving

    def _set_state(self, new_state: UpstreamState, detail: str) -> None:
        if new_state is self.state or self.state is UpstreamState.CLOSED:
            return
        self.state = new_state
        self._event_ring.record(
            state.EventKind.UPSTREAM_STATE,
            upstream=self.upstream.upstream,
            detail=f'{new_state.value}: {detail}',
        )

    async def _run_lane(self) -> None:
        """Connect, run exchanges, and connect again until retired."""
        retired = False
        while not retired:
            connection = await self._connect()
            try:
                retired = await self._run_exchanges(connection)
            finally:
                await connection.close()

    async def _connect(self) -> transport.UpstreamConnection:
        """Connect, with exponential backoff, until a connection is open."""
        pause_s = _INITIAL_RECONNECT_PAUSE_S
        while True:
            connected = await self._port.connect(self.upstream)
            match connected:
                case result.Ok(connection):
                    self._record_connected()
                    return connection
                case result.Err(failure):
                    self._record_unreachable(failure.detail)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, self._settings.reconnect_max_s)

    async def _run_exchanges(
        self, connection: transport.UpstreamConnection
    ) -> bool:
        """Run exchanges until the connection can no longer be used.

        Return whether the lane is to retire instead of connecting again.
        """
        while connection.is_usable:
            if self._lanes_to_retire > 0:
                self._lanes_to_retire -= 1
                return True
            attempt = await self._wait_for_attempt(connection)
            if attempt is None:
                continue
            if not connection.is_usable:
                await self._run_on_new_connection(attempt)
            elif not await self._exchange(connection, attempt):
                return False
        return False

    async def _wait_for_attempt(
        self, connection: transport.UpstreamConnection
    ) -> attempts.Attempt | None:
        """Wait for an attempt.

        Return None when the lane is woken because it is to retire or its
        connection was closed.
        """
        assignment = asyncio.get_running_loop().create_future()
        idle = _IdleLane(assignment, connection)
        self._idle.append(idle)
        self._on_free(self)
        try:
            return await assignment
        finally:
            if idle in self._idle:
                self._idle.remove(idle)

    async def _run_on_new_connection(self, attempt: attempts.Attempt) -> None:
        """Run an attempt over a new connection.

        Called when the upstream closed the lane's connection before the
        attempt was sent, so this is safe for non-idempotent requests too.
        """
        connected = await self._port.connect(self.upstream)
        match connected:
            case result.Ok(connection):
                try:
                    await self._exchange(connection, attempt)
                finally:
                    await connection.close()
            case result.Err(failure):
                self.in_flight -= 1
                attempt.deliver(protocol.ShardLost(False, failure.detail))

    async def _check_idle_lanes(self) -> None:
        """Wake idle lanes with a closed connection, so that they reconnect."""
        while True:
            await asyncio.sleep(_IDLE_CHECK_PERIOD_S)
            for idle in list(self._idle):
                if not idle.connection.is_usable:
                    self._idle.remove(idle)
                    idle.assignment.set_result(None)

    async def _exchange(
        self,
        connection: transport.UpstreamConnection,
        attempt: attempts.Attempt,
    ) -> bool:
        """Run one exchange; return whether the connection can be reused."""
        if attempt.abandoned or self._clock.now() >= attempt.deadline:
            # Nothing is sent for an abandoned attempt or after the deadline,
            # which may also have passed during a pause of the whole process.
            self.in_flight -= 1
            attempt.deliver(protocol.ShardLost(False, 'deadline passed'))
            return True
        reply: protocol.ShardReply = protocol.ShardLost(True, 'lane closed')
        try:
            reply = await connection.exchange(attempt.request, attempt)
        finally:
            attempt.abort = None
            self.in_flight -= 1
            self._record_reply(attempt, reply)
            attempt.deliver(reply)
        return not isinstance(
            reply, protocol.ShardLost | protocol.ShardTimeout
        )

    def _on_lane_done(self, lane: asyncio.Task[None]) -> None:
        self._lanes.remove(lane)
        if not lane.cancelled() and lane.exception() is not None:
            # A defect, which the event loop's exception handler logs.
            raise lane.exception()

    def _record_connected(self) -> None:
        if self.state is UpstreamState.DOWN:
            self.health.mark_cold()
        if self.state in (UpstreamState.DOWN, UpstreamState.CONNECTING):
            self._set_state(UpstreamState.UP, 'connected')

    def _record_unreachable(self, detail: str) -> None:
        """Record that no connection can be made.

        The state changes only if no other lane has a connection, and not
        while the layout marks the upstream as leaving.

        This also ends `LEAVING` for an upstream that reported it: the
        upstream has stopped, and is `UP` again after its restart.
        """
        if (
            self.in_flight == 0
            and not self._idle
            and not self._leaving_in_layout
        ):
            self._set_state(UpstreamState.DOWN, detail)

    def _record_reply(
        self, attempt: attempts.Attempt, reply: protocol.ShardReply
    ) -> None:
        elapsed_s = self._clock.now() - attempt.sent_at
        match reply:
            case protocol.ShardAnswer():
                self._record_success(elapsed_s, reply.load)
            case protocol.ShardRejected(kind=protocol.RejectionKind.SHED):
                self.health.record_shed(reply.retry_after_s)
            case protocol.ShardRejected(kind=protocol.RejectionKind.LEAVING):
                self._set_state(
                    UpstreamState.LEAVING,
                    'rejected an attempt because it is leaving',
                )
            case protocol.ShardRejected(kind=protocol.RejectionKind.VERSION):
                request = attempt.request
                self.health.record_missing_version(
                    request.shard, request.version, reply.versions
                )
            case protocol.ShardRejected():
                pass
            case protocol.ShardTimeout():
                self._record_ejection(self.health.record_timeout(elapsed_s))
            case protocol.ShardLost():
                self._record_ejection(self.health.record_failure())

    def _record_success(self, elapsed_s: float, load: protocol.Load) -> None:
        self.health.record_success(
            elapsed_s, load, self.in_flight, len(self._lanes)
        )
        if self.state is UpstreamState.EJECTED:
            self._set_state(UpstreamState.UP, 'answered again')
        if load.leaving:
            self._set_state(
                UpstreamState.LEAVING,
                'the upstream reported that it is leaving',
            )

    def _record_ejection(self, ejection_s: float | None) -> None:
        if ejection_s is not None and self.state is UpstreamState.UP:
            detail = f'for {ejection_s:.1f} s after repeated failures'
            self._set_state(UpstreamState.EJECTED, detail)
