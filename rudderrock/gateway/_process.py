"""The life of a gateway process: serving, and a stop that cuts nothing."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum

from absl import logging

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _settings as settings
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _gateway as gateway
from rudderrock.gateway.http import _intake as intake
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _announcer as announcer_module
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _follow as follow
from rudderrock.gateway.knowledge import _peers as peers
from rudderrock.gateway.knowledge import _registration as registration_module
from rudderrock.gateway.knowledge import _routing as routing
from rudderrock.gateway.knowledge import _sources as sources

# Part of the time that a planned stop may take during which new
# connections are still accepted: the balancer asks once a second and goes
# by two answers, so it needs some 2 to 3 seconds.
ACCEPT_FRACTION = 0.55
# Part of it after which the process ends whatever is still under way.
END_FRACTION = 0.93
_POLL_S = 0.05
# Before work that failed on a defect begins anew, in seconds.
RESTART_S = 1.0


class ProcessState(enum.Enum):
    """Where a gateway process is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    ENDED = 'ended'


class GatewayProcess:
    """Serves callers, readiness and metrics until it is told to stop."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        served: gateway.Gateway,
        follower: follow.Follower,
        registration: registration_module.Registration,
        changes: peers.ChangeBook,
        announcer: announcer_module.Announcer,
        parts: gateway.Parts,
    ):
        self.state = ProcessState.STARTING
        self._config = config
        self.gateway = served
        self._follower = follower
        self._registration = registration
        self._parts = parts
        self._stop = asyncio.Event()
        self._callers = intake.Intake(served.handle, self._note_unreadable)
        self._probes = intake.Intake(self._answer_probe)
        self._scrapes = intake.Intake(self._answer_scrape)
        self.peers = intake.Intake(self._answer_peer)
        self.peers.limits = routing.IntakeLimits(
            max_header_bytes=delegate.PEER_HEADER_BYTES,
            max_body_bytes=delegate.PEER_BODY_BYTES,
            idle_timeout_s=delegate.PEER_IDLE_S,
        )
        self._changes = changes
        self._announcer = announcer
        self._was_ready = False
        self._stop_began = 0.0
        parts.tables.add_listener(self._on_table)

    @property
    def hosts(self) -> fleet.Fleet:
        """Return the hosts that this one knows."""
        return self._parts.hosts

    @property
    def tables(self) -> sources.TableHolder:
        """Return the holder of the table in force."""
        return self._parts.tables

    def stop(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if not self._stop.is_set():
            self._begin_stop()

    async def run(self) -> None:
        """Serve, then stop as planned; return when all has ended."""
        record = self._parts.events.record
        config = self._config
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.gateway.book.close)
            stack.callback(self.gateway.delegation.close)
            stack.push_async_callback(self.gateway.checker.close)
            for served, address in (
                (self._callers, config.callers),
                (self._probes, config.readiness),
                (self._scrapes, config.metrics),
                (self.peers, config.peers),
            ):
                await stack.enter_async_context(served.listen(*address))
            for work in (
                self._follower.run,
                self._announcer.run,
                self._announcer.ask,
                self.gateway.sweep,
                self.gateway.warm_hedges,
            ):
                task = asyncio.create_task(_keep_running(work))
                stack.push_async_callback(core.end_task, task)
            self.state = ProcessState.SERVING
            record(events.LogKind.STARTED, place=config.place.zone)
            async with registration_module.keep_registered(self._registration):
                await self._stop.wait()
            await self._drain()
        self.state = ProcessState.ENDED
        record(events.LogKind.STOPPED)

    def _begin_stop(self) -> None:
        self._stop_began = self._parts.clock.now()
        self.state = ProcessState.LEAVING
        self._callers.is_stopping = True
        self.gateway.takes_delegated = False
        self._parts.events.record(
            events.LogKind.STOPPING, busy=self._callers.busy
        )
        self._stop.set()

    async def _drain(self) -> None:
        """Take work until the balancer has noticed, then end it."""
        loop = asyncio.get_running_loop()
        began = self._stop_began
        stop_s = self._config.stop_s
        accept_until = began + stop_s * ACCEPT_FRACTION
        await asyncio.sleep(max(0.0, accept_until - loop.time()))
        self._callers.stop_accepting()
        end = began + stop_s * END_FRACTION
        while self._is_busy() and loop.time() < end:
            self._callers.close_idle()
            await asyncio.sleep(_POLL_S)

    def _is_busy(self) -> bool:
        return bool(self._callers.links) or self.gateway.delegated > 0

    def _on_table(self, table) -> None:
        self._callers.limits = table.limits

    def _note_unreadable(self, problem: str) -> None:
        self._parts.figures.note_unreadable(problem)
        self._parts.events.record(events.LogKind.UNREADABLE, problem=problem)

    async def _answer_peer(self, request: messages.Request) -> messages.Reply:
        if request.get_header(delegate.VERSION) is not None:
            return await self.gateway.handle_delegated(request)
        if request.target == announcer_module.PATH:
            return self._announcer.take(request)
        return await self._changes.answer(request)

    async def _answer_probe(self, request: messages.Request) -> messages.Reply:
        ready = self.gateway.is_ready and self.state is ProcessState.SERVING
        if ready != self._was_ready:
            self._was_ready = ready
            kind = events.LogKind.READY if ready else events.LogKind.NOT_READY
            self._parts.events.record(kind, state=self.state.value)
        return messages.Reply(200 if ready else 503, [])

    async def _answer_scrape(
        self, request: messages.Request
    ) -> messages.Reply:
        lines = self._parts.figures.list_lines(self._list_gauges())
        kind = (b'content-type', b'text/plain; version=0.0.4')
        return messages.Reply(200, [kind], '\n'.join(lines).encode() + b'\n')

    def _list_gauges(self) -> dict[str, float]:
        tables = self._parts.tables
        listing = self._parts.listing
        counters = self.gateway.counters
        return {
            'table_version': tables.version,
            'table_age_seconds': tables.age_s,
            'upstreams': len(listing.list_all()),
            'upstreams_age_seconds': listing.age_s,
            'source_era': self._parts.source_era.current,
            'source_returns_total': self._parts.source_era.returns,
            'evacuated_zones': len(self._parts.evacuations.zones),
            'cold_upstreams': listing.count_cold(),
            'cold_requests_total': self.gateway.cold_limits.sent,
            'cold_held_back_total': self.gateway.cold_limits.held_back,
            'hosts': self._parts.hosts.count(),
            'caller_connections': len(self._callers.links),
            'requests_under_way': self._callers.busy,
            'upstream_requests_total': counters.firsts,
            'hedges_total': counters.hedges,
            'retries_total': counters.retries,
            'extras_denied_total': counters.denied,
            'overloaded_total': self.gateway.admission.refused,
            'requests_in_quarantine': (
                self._parts.quarantine.count_quarantined()
            ),
            'reach_checks_total': self.gateway.checker.checks,
            'connections_opened_total': self.gateway.book.dials,
            'log_lines_dropped_total': self._parts.events.dropped,
        }


async def _keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run work for good; a defect in it is logged and it begins anew."""
    while True:
        try:
            await work()
        except Exception:
            logging.exception('%s failed on a defect', work.__qualname__)
        await asyncio.sleep(RESTART_S)
