"""Lifecycle of a gateway process: serving and graceful shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway import _memory_monitor as memory_monitor
from rudderrock.gateway import _quota_metrics as quota_metrics
from rudderrock.gateway import _settings as settings
from rudderrock.gateway.discovery import _archive as archive_module
from rudderrock.gateway.discovery import _broadcast as broadcast
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _peers as peers
from rudderrock.gateway.discovery import _quota_messages as quota_messages
from rudderrock.gateway.discovery import _registration as registration_module
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _synchronizer as synchronizer_module
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _gateway as gateway
from rudderrock.gateway.http import _listener as listener
from rudderrock.gateway.http import _messages as messages

# Fraction of `stop_s` during which new connections are still accepted. The
# load balancer probes once a second and acts on two results, so it takes about
# 2 to 3 seconds to stop sending requests.
ACCEPT_FRACTION = 0.55
# Fraction of `stop_s` after which the requests still in flight are cancelled,
# so that the process ends before it is killed.
DRAIN_FRACTION = 0.93
_POLL_INTERVAL_S = 0.05
# Delay in seconds before a background task that has failed is restarted.
RESTART_DELAY_S = 1.0


class ProcessState(enum.Enum):
    """Lifecycle state of a gateway process."""

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    ENDED = 'ended'


class GatewayProcess:
    """Serve callers, peers, readiness probes and metrics until stopped."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        served: gateway.Gateway,
        synchronizer: synchronizer_module.Synchronizer,
        registration: registration_module.Registration,
        change_feed: peers.ChangeFeed,
        broadcaster: broadcast.QuarantineBroadcaster,
        archive: archive_module.QuarantineArchive,
        dependencies: gateway.GatewayDependencies,
    ):
        self.state = ProcessState.STARTING
        self._config = config
        self.gateway = served
        self._synchronizer = synchronizer
        self._registration = registration
        self._dependencies = dependencies
        self._stop = asyncio.Event()
        self._caller_listener = listener.CallerListener(
            served.handle,
            self._record_unreadable,
            dependencies.byte_budget,
            served.find_owner,
        )
        self._readiness_listener = listener.CallerListener(
            self._answer_probe, budget=dependencies.byte_budget
        )
        self._metrics_listener = listener.CallerListener(
            self._answer_scrape, budget=dependencies.byte_budget
        )
        self.peers = listener.CallerListener(
            self._answer_peer, budget=dependencies.byte_budget
        )
        self.peers.limits = routing.IntakeLimits(
            max_header_bytes=delegate.PEER_HEADER_BYTES,
            max_body_bytes=delegate.PEER_BODY_BYTES,
            idle_timeout_s=delegate.PEER_IDLE_S,
        )
        self._changes = change_feed
        self._broadcaster = broadcaster
        self.quotas = dependencies.quotas
        self._archive = archive
        self._memory_monitor = memory_monitor.MemoryMonitor(
            config.memory_limit_bytes, dependencies.events
        )
        self._was_ready = False
        self._stop_started_at = 0.0
        dependencies.tables.add_listener(self._apply_table)

    @property
    def hosts(self) -> fleet.Fleet:
        """Return the hosts known to this one."""
        return self._dependencies.hosts

    @property
    def tables(self) -> sources.TableHolder:
        """Return the holder of the current routing table."""
        return self._dependencies.tables

    def stop(self, cause: str = '') -> None:
        """Start a graceful shutdown; a second call has no effect.

        `cause` is the name of the signal that asked for it, for the log.
        """
        if not self._stop.is_set():
            self._start_shutdown(cause)

    async def run(self) -> None:
        """Serve until `stop` is called; return after the shutdown."""
        record = self._dependencies.events.record
        config = self._config
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.gateway.selector.close)
            stack.callback(self.gateway.delegation.close)
            stack.push_async_callback(self.gateway.checker.close)
            stack.callback(self.quotas.client.close)
            for each_listener, address in (
                (self._caller_listener, config.callers),
                (self._readiness_listener, config.readiness),
                (self._metrics_listener, config.metrics),
                (self.peers, config.peers),
            ):
                await stack.enter_async_context(each_listener.listen(*address))
            for background_task in (
                self._synchronizer.run,
                self._broadcaster.run,
                self._broadcaster.pull,
                self.quotas.report,
                self.quotas.announce,
                self.quotas.check,
                self.quotas.learn,
                self._archive.run,
                self.gateway.sweep,
                self.gateway.warm_hedges,
                self.gateway.loop_monitor.run,
                self._memory_monitor.run,
            ):
                task = asyncio.create_task(_run_forever(background_task))
                stack.push_async_callback(core.end_task, task)
            self.state = ProcessState.SERVING
            record(
                events.LogKind.STARTED,
                place=config.place.zone,
                build=config.build_id,
            )
            async with registration_module.keep_registered(self._registration):
                await self._stop.wait()
            await self._drain()
        self.state = ProcessState.ENDED
        record(events.LogKind.STOPPED)

    def _start_shutdown(self, cause: str) -> None:
        self._stop_started_at = self._dependencies.clock.now()
        self.state = ProcessState.LEAVING
        self._caller_listener.is_stopping = True
        self.gateway.accepts_delegated = False
        self._dependencies.initial_sync.stop()
        self._dependencies.events.record(
            events.LogKind.STOPPING,
            busy=self._caller_listener.busy,
            cause=cause,
        )
        self._stop.set()

    async def _drain(self) -> None:
        """Keep accepting connections for a time, then wait for requests.

        Connections are accepted until `ACCEPT_FRACTION` of the shutdown is
        over. Returns when no request is in flight any more, or after
        `DRAIN_FRACTION`; the remaining requests are then cancelled.
        """
        loop = asyncio.get_running_loop()
        started_at = self._stop_started_at
        stop_s = self._config.stop_s
        accept_until = started_at + stop_s * ACCEPT_FRACTION
        await asyncio.sleep(max(0.0, accept_until - loop.time()))
        self._caller_listener.stop_accepting()
        # Retries until a later deadline would be cut when the process ends.
        self.gateway.late_requests.stop()
        end = started_at + stop_s * DRAIN_FRACTION
        while self._is_busy() and loop.time() < end:
            self._caller_listener.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _is_busy(self) -> bool:
        return (
            bool(self._caller_listener.links)
            or self.gateway.delegated_in_flight > 0
        )

    def _apply_table(self, table) -> None:
        self._caller_listener.limits = table.limits

    def _record_unreadable(self, problem: str) -> None:
        self._dependencies.metrics.record_unreadable(problem)
        self._dependencies.events.record(
            events.LogKind.UNREADABLE, problem=problem
        )

    async def _answer_peer(self, request: messages.Request) -> messages.Reply:
        if request.get_header(delegate.VERSION) is not None:
            return await self.gateway.handle_delegated(request)
        if request.target == broadcast.PATH:
            return self._broadcaster.handle(request)
        if request.target == quota_messages.REPORT_PATH:
            return self.quotas.handle_report(request)
        if request.target == quota_messages.NOTICE_PATH:
            return self.quotas.handle_notice(request)
        return await self._changes.answer(request)

    async def _answer_probe(self, request: messages.Request) -> messages.Reply:
        ready = self.gateway.is_ready and self.state is ProcessState.SERVING
        if ready != self._was_ready:
            self._was_ready = ready
            kind = events.LogKind.READY if ready else events.LogKind.NOT_READY
            self._dependencies.events.record(kind, state=self.state.value)
        return messages.Reply(200 if ready else 503, [])

    async def _answer_scrape(
        self, request: messages.Request
    ) -> messages.Reply:
        lines = self._dependencies.metrics.format_lines(self._list_gauges())
        lines += quota_metrics.format_lines(self.quotas)
        kind = (b'content-type', b'text/plain; version=0.0.4')
        return messages.Reply(200, [kind], '\n'.join(lines).encode() + b'\n')

    def _list_quota_gauges(self) -> dict[str, float]:
        if not self.quotas.is_in_use:
            return {}
        return {
            'quota_questions_total': self.quotas.asked,
            'quota_reports_total': self.quotas.client.reports_sent,
            'quota_notices_total': self.quotas.client.notices_sent,
            'quota_unreported_age_seconds': self.quotas.unreported_age_s,
            'quota_largest_excess': self.quotas.kept.largest_excess,
        }

    def _list_gauges(self) -> dict[str, float]:
        tables = self._dependencies.tables
        upstream_directory = self._dependencies.upstream_directory
        counters = self.gateway.counters
        return {
            'table_version': tables.version,
            'table_age_seconds': tables.age_s,
            'upstreams': len(upstream_directory.list_all()),
            'upstreams_age_seconds': upstream_directory.age_s,
            'source_era': self._dependencies.source_era.current,
            'source_returns_total': (
                self._dependencies.source_era.restore_count
            ),
            'evacuated_zones': len(self._dependencies.evacuations.zones),
            'cold_upstreams': upstream_directory.count_cold(),
            'cold_requests_total': self.gateway.cold_limits.sent,
            'cold_held_back_total': self.gateway.cold_limits.held_back,
            'hosts': self._dependencies.hosts.count(),
            'memory_peak_bytes': memory_monitor.get_peak_bytes(),
            'memory_limit_bytes': self._config.memory_limit_bytes,
            'held_bytes': self._dependencies.byte_budget.held_bytes,
            'held_limit_bytes': self._dependencies.byte_budget.limit_bytes,
            'evictions_total': self._dependencies.byte_budget.evictions,
            'caller_connections': len(self._caller_listener.links),
            'requests_under_way': self._caller_listener.busy,
            'upstream_requests_total': counters.first_attempts,
            'hedges_total': counters.hedges,
            'retries_total': counters.retries,
            'extras_denied_total': counters.extras_denied,
            'budget_waits_total': counters.budget_waits,
            'budget_wait_seconds_total': counters.budget_wait_s,
            'budget_refusals_total': counters.budget_refusals,
            'overloaded_total': self.gateway.admission.refused,
            'loop_delay_seconds': (
                self.gateway.load_estimator.get_loop_delay_s()
            ),
            'host_slowness': self.gateway.load_estimator.get_slowness(),
            'slow_refusals_total': self.gateway.slow_refusals,
            'queries_sent_elsewhere_total': (
                self.gateway.delegation.overflow.sent
            ),
            'requests_late': self.gateway.late_requests.count,
            'requests_kept': self.gateway.kept_requests,
            'requests_in_quarantine': (
                self._dependencies.quarantine.count_quarantined()
            ),
            **self._list_quota_gauges(),
            'reach_checks_total': self.gateway.checker.checks,
            'connections_opened_total': (
                self.gateway.selector.connections_opened
            ),
            'log_lines_dropped_total': self._dependencies.events.dropped,
        }


async def _run_forever(background_task: Callable[[], Awaitable[None]]) -> None:
    """Run a background task forever; log exceptions and restart it."""
    while True:
        try:
            await background_task()
        except Exception:
            log.load_absl_log().exception(
                '%s failed on a defect', background_task.__qualname__
            )
        await asyncio.sleep(RESTART_DELAY_S)
