"""What one host holds of one upstream: its lanes and its health.

A lane is a task that owns one connection and carries one exchange at a
time. Lanes connect before they are given work, so the milliseconds of a
new connection are not on the path of a query.
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
from rudderrock.coordination import _latency as latency

_COLD_PENALTY = 3.0
_HINT_PENALTY = 0.25
_SHED_BACKOFF = 0.7
_SHED_RECOVERY = 0.8
_LONGEST_SHED_PAUSE_S = 5.0
_MIN_LIMIT = 1.0
_FIRST_RECONNECT_S = 0.02
# Latency above this many times the unloaded one means a queue up there.
_QUEUE_SIGN = 2.0
_UNLOADED_DRIFT = 1.0005
# How fast the least latency follows a latency that has risen for good.
_BASE_LEAK = 0.02
# How often idle lanes are looked at, in seconds.
_TEND_PERIOD_S = 2.0
# Weight of one request in the moving fraction of late ones.
_LATE_WEIGHT = 0.04
# Failures that all fall into one stall of this process, or of the network,
# say nothing of the upstream; a run of them must last at least this long.
_MIN_FAILURE_SPAN_S = 0.25


class UpstreamState(enum.Enum):
    """How an upstream is being treated."""

    CONNECTING = 'connecting'
    UP = 'up'
    EJECTED = 'ejected'
    DOWN = 'down'
    LEAVING = 'leaving'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _IdleLane:
    """A lane that waits for work, and the connection it has ready."""

    slot: asyncio.Future[attempts.Attempt | None]
    connection: transport.UpstreamConnection


_NO_NEW_WORK = frozenset({UpstreamState.LEAVING, UpstreamState.CLOSED})


class UpstreamLink:
    """All that this host knows of one upstream, and its lanes to it.

    Parameters: `upstream` describes it; `port` makes connections; `ring`
    gets an event for each change of its state; `on_free` is called when a
    lane may take more work.
    """

    def __init__(
        self,
        upstream: state.Upstream,
        port: transport.UpstreamPort,
        settings: state.RoutingSettings,
        clock: state.Clock,
        source: random.Random,
        ring: state.EventRing,
        on_free: Callable[['UpstreamLink'], None],
    ):
        self.upstream = upstream
        self.state = UpstreamState.CONNECTING
        self.in_flight = 0
        self.sent = 0
        self.late = 0.0
        self._port = port
        self._settings = settings
        self._clock = clock
        self._source = source
        self._ring = ring
        self._on_free = on_free
        self._idle: list[_IdleLane] = []
        self._tending: asyncio.Task | None = None
        self._lanes: list[asyncio.Task[None]] = []
        self._retiring = 0
        self._latency = latency.FadingMean(clock)
        self._unloaded = math.inf
        self._base_s = 0.0
        self._limit = 1.0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = -math.inf
        self._failing_since = math.inf
        self._shed_until = -math.inf
        self._shed_pause_s = 0.0
        self._warm_at = -math.inf
        self._hint = protocol.Load()
        self._missing: dict[tuple[state.ShardId, int], float] = {}

    def set_lanes(self, count: int) -> None:
        """Grow or shrink to a number of lanes; busy lanes end their work."""
        while len(self._lanes) - self._retiring < count:
            lane = asyncio.create_task(self._run_lane())
            self._lanes.append(lane)
            lane.add_done_callback(self._forget_lane)
        surplus = len(self._lanes) - self._retiring - count
        for _ in range(surplus):
            self._retiring += 1
            if self._idle:
                self._idle.pop().slot.set_result(None)
        self._limit = min(max(self._limit, _MIN_LIMIT), max(count, 1))

    def start(self, lanes: int) -> None:
        """Open the first lanes, with room to use them all."""
        self._limit = float(lanes)
        self.set_lanes(lanes)
        self._tending = asyncio.create_task(self._tend())

    async def close(self) -> None:
        """End all lanes now."""
        self.state = UpstreamState.CLOSED
        tasks = list(self._lanes)
        if self._tending is not None:
            tasks.append(self._tending)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_free(self) -> bool:
        """Tell whether one more attempt can start now."""
        return bool(self._idle) and self.in_flight < math.ceil(self._limit)

    @property
    def capacity(self) -> int:
        """Return how many attempts may be in flight at once."""
        return min(len(self._lanes), math.ceil(self._limit))

    @property
    def takes_new_work(self) -> bool:
        """Tell whether new work may be sent at all."""
        return self.state not in _NO_NEW_WORK

    @property
    def is_reachable(self) -> bool:
        """Tell whether it can be expected to take work before long."""
        return self.takes_new_work and self.state is not UpstreamState.DOWN

    def is_favoured(self, now: float) -> bool:
        """Tell whether nothing speaks against it just now."""
        return now >= self._ejected_until and now >= self._shed_until

    def lacks(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell whether it lately said that it hasn't this version."""
        return self._missing.get((shard, version), -math.inf) > now

    def seems_to_lack(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell the same, also by what it says of itself, as a hint."""
        told = self._hint.versions
        return bool(told and version not in told) or self.lacks(
            shard, version, now
        )

    def get_score(self, now: float) -> float:
        """Return the expected cost of sending it one more; less is better.

        Observed latency and our own work in flight count; what the
        upstream says of itself only tips the scales, since it may lag or
        mislead.
        """
        score = (self._latency.get() + 1e-4) * (self.in_flight + 1)
        if now < self._warm_at:
            left = (self._warm_at - now) / self._settings.warm_up_s
            score *= 1.0 + _COLD_PENALTY * left
        waiting = self._hint.queued / max(1, self.upstream.slots)
        return score * (1.0 + _HINT_PENALTY * min(1.0, waiting))

    def note_late(self, late: bool) -> None:
        """Take note of whether a first attempt here was late."""
        self.late += _LATE_WEIGHT * (late - self.late)

    def get_latency_s(self) -> float:
        """Return the mean time of an exchange, in seconds."""
        return self._latency.get()

    def send(self, attempt: attempts.Attempt) -> None:
        """Give an attempt to an idle lane; `is_free` must hold."""
        attempt.upstream = self.upstream.upstream
        attempt.sent_at = self._clock.now()
        attempt.base_s = self._base_s
        attempt.note_late = self.note_late
        self.in_flight += 1
        self.sent += 1
        self._idle.pop().slot.set_result(attempt)

    def mark_leaving(self, leaving: bool, source: str) -> None:
        """Take note that the upstream leaves, or is back."""
        if leaving:
            self._set_state(UpstreamState.LEAVING, source)
        elif self.state is UpstreamState.LEAVING:
            self._set_state(UpstreamState.UP, source)

    def _set_state(self, new: UpstreamState, detail: str) -> None:
        if new is self.state or self.state is UpstreamState.CLOSED:
            return
        self.state = new
        self._ring.record(
            state.EventKind.UPSTREAM_STATE,
            upstream=self.upstream.upstream,
            detail=f'{new.value}: {detail}',
        )

    async def _run_lane(self) -> None:
        """Own one connection: connect, then carry one exchange at a time."""
        retired = False
        while not retired:
            connection = await self._connect()
            try:
                retired = await self._carry(connection)
            finally:
                await connection.close()

    async def _connect(self) -> transport.UpstreamConnection:
        """Try until there is a connection, ever less often."""
        pause_s = _FIRST_RECONNECT_S
        while True:
            connected = await self._port.connect(self.upstream)
            match connected:
                case result.Ok(connection):
                    self._note_connected()
                    return connection
                case result.Err(failed):
                    self._note_unreachable(failed.detail)
            await asyncio.sleep(pause_s * self._source.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, self._settings.reconnect_max_s)

    async def _carry(self, connection: transport.UpstreamConnection) -> bool:
        """Carry exchanges until one does not run to its end.

        Returns whether the lane is to retire instead of connecting again.
        """
        while connection.is_usable:
            if self._retiring > 0:
                self._retiring -= 1
                return True
            attempt = await self._take_attempt(connection)
            if attempt is None:
                continue
            if not connection.is_usable:
                await self._hand_back(attempt)
            elif not await self._exchange(connection, attempt):
                return False
        return False

    async def _take_attempt(
        self, connection: transport.UpstreamConnection
    ) -> attempts.Attempt | None:
        """Wait for work; None when woken to look at lane and connection."""
        slot = asyncio.get_running_loop().create_future()
        idle = _IdleLane(slot, connection)
        self._idle.append(idle)
        self._on_free(self)
        try:
            return await slot
        finally:
            if idle in self._idle:
                self._idle.remove(idle)

    async def _hand_back(self, attempt: attempts.Attempt) -> None:
        """Run an attempt over a new connection: this one was closed on us.

        Nothing of the attempt has been sent, so this is safe for any.
        """
        connected = await self._port.connect(self.upstream)
        match connected:
            case result.Ok(connection):
                try:
                    await self._exchange(connection, attempt)
                finally:
                    await connection.close()
            case result.Err(failed):
                self.in_flight -= 1
                attempt.deliver(protocol.ShardLost(False, failed.detail))

    async def _tend(self) -> None:
        """Let idle lanes renew connections that were closed on them."""
        while True:
            await asyncio.sleep(_TEND_PERIOD_S)
            for idle in list(self._idle):
                if not idle.connection.is_usable:
                    self._idle.remove(idle)
                    idle.slot.set_result(None)

    async def _exchange(
        self,
        connection: transport.UpstreamConnection,
        attempt: attempts.Attempt,
    ) -> bool:
        """Run one exchange; tell whether the connection can be kept."""
        if attempt.given_up or self._clock.now() >= attempt.deadline:
            # Also after a pause of the whole process: nothing runs late.
            self.in_flight -= 1
            attempt.deliver(protocol.ShardLost(False, 'deadline passed'))
            return True
        reply: protocol.ShardReply = protocol.ShardLost(True, 'lane closed')
        try:
            reply = await connection.exchange(attempt.request, attempt)
        finally:
            attempt.abort = None
            self.in_flight -= 1
            self._note_reply(attempt, reply)
            attempt.deliver(reply)
        return not isinstance(
            reply, protocol.ShardLost | protocol.ShardTimeout
        )

    def _forget_lane(self, lane: asyncio.Task[None]) -> None:
        self._lanes.remove(lane)
        if not lane.cancelled() and lane.exception() is not None:
            raise lane.exception()

    def _note_connected(self) -> None:
        if self.state is UpstreamState.DOWN:
            # It was away, so it starts cold.
            self._warm_at = self._clock.now() + self._settings.warm_up_s
            self._limit = _MIN_LIMIT
        if self.state in (UpstreamState.DOWN, UpstreamState.CONNECTING):
            self._set_state(UpstreamState.UP, 'connected')

    def _note_unreachable(self, detail: str) -> None:
        if self.in_flight == 0 and not self._idle:
            if self.state is not UpstreamState.LEAVING:
                self._set_state(UpstreamState.DOWN, detail)

    def _note_reply(
        self, attempt: attempts.Attempt, reply: protocol.ShardReply
    ) -> None:
        elapsed = self._clock.now() - attempt.sent_at
        match reply:
            case protocol.ShardAnswer():
                self._note_success(elapsed, reply.load)
            case protocol.ShardRejected(kind=protocol.RejectionKind.SHED):
                self._note_shed(reply.retry_after_s)
            case protocol.ShardRejected(kind=protocol.RejectionKind.LEAVING):
                self.mark_leaving(True, 'said so itself')
            case protocol.ShardRejected(kind=protocol.RejectionKind.VERSION):
                key = (attempt.request.shard, attempt.request.version)
                memory_s = self._settings.version_memory_s
                self._missing[key] = self._clock.now() + memory_s
                self._hint = dataclasses.replace(
                    self._hint, versions=reply.versions
                )
            case protocol.ShardRejected():
                pass
            case protocol.ShardTimeout():
                # Also when a hedge was faster and this one was cancelled:
                # the time so far is a lower bound.
                self._latency.record(max(elapsed, self._latency.get()))
                self._note_failure()
            case protocol.ShardLost():
                self._note_failure()

    def _note_success(self, elapsed: float, load: protocol.Load) -> None:
        self._failures = 0
        self._ejections = 0
        self._failing_since = math.inf
        self._latency.record(elapsed)
        leaked = self._base_s + _BASE_LEAK * (elapsed - self._base_s)
        self._base_s = min(elapsed, leaked) if self._base_s else elapsed
        self._hint = load
        self._shed_pause_s *= _SHED_RECOVERY
        if self.state is UpstreamState.EJECTED:
            self._set_state(UpstreamState.UP, 'answers again')
        if load.leaving:
            self.mark_leaving(True, 'reported by its load')
        self._adapt_limit()

    def _adapt_limit(self) -> None:
        """Grow while it helps, shrink while a queue stands up there.

        The rule of TCP Vegas (Brakmo and Peterson, 1995): latency against
        the unloaded latency tells how many of ours wait at the upstream.
        """
        if not self._settings.adapt:
            return
        mean = self._latency.get()
        self._unloaded = min(self._unloaded * _UNLOADED_DRIFT, mean)
        queued = self._limit * (1.0 - self._unloaded / max(mean, 1e-9))
        if queued > _QUEUE_SIGN and mean > _QUEUE_SIGN * self._unloaded:
            self._limit -= 0.5 / self._limit
        elif self.in_flight + 1 >= self._limit:
            self._limit += 1.0 / self._limit
        lanes = max(1, len(self._lanes))
        self._limit = min(max(self._limit, _MIN_LIMIT), lanes)

    def _note_shed(self, retry_after_s: float) -> None:
        self._limit = max(_MIN_LIMIT, self._limit * _SHED_BACKOFF)
        # Half of what it sheds must not become the steady state either, so
        # the pause grows until answers outnumber refusals.
        longer_s = max(retry_after_s, 2 * self._shed_pause_s)
        self._shed_pause_s = min(longer_s, _LONGEST_SHED_PAUSE_S)
        self._shed_until = self._clock.now() + self._shed_pause_s

    def _note_failure(self) -> None:
        now = self._clock.now()
        self._failures += 1
        self._failing_since = min(self._failing_since, now)
        few = self._failures < self._settings.eject_after
        if few or now - self._failing_since < _MIN_FAILURE_SPAN_S:
            return
        out_s = self._settings.eject_s * 2**self._ejections
        out_s = min(out_s, self._settings.eject_max_s)
        self._ejected_until = now + out_s
        self._ejections = min(self._ejections + 1, 10)
        self._failures = 0
        if self.state is UpstreamState.UP:
            detail = f'for {out_s:.1f} s after repeated failures'
            self._set_state(UpstreamState.EJECTED, detail)
