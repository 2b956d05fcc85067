"""Lifecycle of a gateway process: serving and graceful shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum
import functools

from rudderrock import core
from rudderrock.gateway import _addresses as addresses
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway import _memory_monitor as memory_monitor
from rudderrock.gateway import _quota_metrics as quota_metrics
from rudderrock.gateway import _settings as settings
from rudderrock.gateway import _sockets as sockets
from rudderrock.gateway.decisions import _departure as departure
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
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _connection_limit as connection_limit
from rudderrock.gateway.http import _listener as listener
from rudderrock.gateway.http import _messages as messages

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
        shares: sockets.SocketShares,
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
        self._limit_connections(shares)
        self._changes = change_feed
        self._broadcaster = broadcaster
        self.quotas = dependencies.quotas
        self._archive = archive
        self._memory_monitor = memory_monitor.MemoryMonitor(
            config.memory_limit_bytes, dependencies.events
        )
        self._was_ready = False
        # Requests that lacked a reply when their connections were closed.
        self._unanswered = 0
        self._unsent_bytes = 0
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
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.gateway.selector.close)
            stack.callback(self.gateway.delegation.close)
            stack.push_async_callback(self.gateway.checker.close)
            stack.callback(self.quotas.client.close)
            if not await self._listen(stack):
                # No caller has been accepted, so there is nothing to drain.
                self._record_stopped()
                return
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
                task = asyncio.create_task(
                    _run_forever(background_task, record)
                )
                stack.push_async_callback(core.end_task, task)
            self._start_serving()
            registered = asyncio.create_task(self._stay_registered())
            stack.push_async_callback(core.end_task, registered)
            await self._stop.wait()
            await self._drain()
        self._record_stopped()

    async def _listen(self, stack: contextlib.AsyncExitStack) -> bool:
        """Listen at all addresses; return whether callers are accepted."""
        config = self._config
        binder = addresses.AddressBinder(
            stack,
            self._stop,
            self._dependencies.events,
            self._dependencies.clock,
        )
        purpose = addresses.Purpose
        await binder.bind_or_retry(
            purpose.METRICS, self._metrics_listener, config.metrics
        )
        await binder.bind(
            purpose.READINESS, self._readiness_listener, config.readiness
        )
        await binder.bind(purpose.PEERS, self.peers, config.peers)
        return await binder.bind(
            purpose.CALLERS, self._caller_listener, config.callers
        )

    def _start_serving(self) -> None:
        if self._stop.is_set():
            return
        self.state = ProcessState.SERVING
        self._dependencies.events.record(
            events.LogKind.STARTED,
            place=self._config.place.zone,
            build=self._config.build_id,
        )

    def _record_stopped(self) -> None:
        self.state = ProcessState.ENDED
        self._dependencies.events.record(
            events.LogKind.STOPPED,
            refused=self.gateway.request_limits.refused,
            unfinished=self.gateway.request_limits.ended,
            unanswered=self._unanswered,
            unsent_bytes=self._unsent_bytes,
        )

    async def _stay_registered(self) -> None:
        """Withdraw the registration when the shutdown starts.

        A source that does not answer then must not delay the shutdown.
        """
        async with registration_module.keep_registered(self._registration):
            await self._stop.wait()

    def _limit_connections(self, shares: sockets.SocketShares) -> None:
        self._caller_listener.refuse = self._refuse
        self.gateway.selector.open_limit.limit = shares.upstreams
        for name, limited, limit in (
            ('callers', self._caller_listener, shares.callers),
            ('readiness', self._readiness_listener, shares.probes),
            ('metrics', self._metrics_listener, shares.scrapes),
            ('peers', self.peers, shares.peers),
        ):
            limited.connection_limit = connection_limit.ConnectionLimit(
                limit,
                asyncio.get_running_loop(),
                functools.partial(self._record_limited, name, limited),
            )

    def _record_limited(
        self, name: str, limited: listener.CallerListener, is_full: bool
    ) -> None:
        self._dependencies.events.record(
            events.LogKind.CONNECTIONS_LIMITED,
            listener=name,
            state='full' if is_full else 'normal',
            limit=limited.connection_limit.limit,
            closed=limited.connection_limit.closed,
            refused=limited.connection_limit.refused,
        )

    def _refuse(self, request: messages.Request) -> messages.Reply:
        """Return the reply to a request on a connection beyond the limit."""
        names = self._config.names
        request_id = request.get_header(names.request_id) or b''
        return results.make_refusal_result(
            names,
            request_id,
            results.RETRY_AFTER_S,
            results.Outcome.OVERLOADED,
        ).reply

    def _start_shutdown(self, cause: str) -> None:
        self.state = ProcessState.LEAVING
        self._caller_listener.is_stopping = True
        self.gateway.request_limits.start(
            departure.plan_departure(
                self._dependencies.clock.now(), self._config.stop_s
            )
        )
        self._dependencies.initial_sync.stop()
        self._dependencies.events.record(
            events.LogKind.STOPPING,
            busy=self._caller_listener.busy,
            cause=cause,
        )
        self._stop.set()

    async def _drain(self) -> None:
        """Keep accepting connections for a time, then wait for requests.

        Returns when no request is in flight any more, or at the end of the
        planned time. What has been read by then has a reply.
        """
        loop = asyncio.get_running_loop()
        planned = self.gateway.request_limits.departure
        await asyncio.sleep(max(0.0, planned.accept_until - loop.time()))
        self._caller_listener.stop_accepting()
        # Retries until a later deadline would be cut when the process ends.
        self.gateway.late_requests.stop()
        while self._is_busy() and loop.time() < planned.end:
            self._caller_listener.close_idle()
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._unanswered = self._caller_listener.finish(self._make_last_reply)
        if self.gateway.delegated_in_flight:
            self._unanswered += self.peers.finish(self._make_last_reply)
        self._unsent_bytes = self._caller_listener.unsent_bytes

    def _make_last_reply(
        self, request: messages.Request | None
    ) -> messages.Reply:
        """Return the reply to a request that has none at the end."""
        if request is None:
            retry_after = b'%.2f' % results.RETRY_AFTER_S
            return messages.Reply(503, [(b'retry-after', retry_after)])
        return results.make_stopped_result(self._config.names, request).reply

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
            'connection_limit': self._caller_listener.connection_limit.limit,
            'connections_closed_total': (
                self._caller_listener.connection_limit.closed
            ),
            'connections_refused_total': (
                self._caller_listener.connection_limit.refused
            ),
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
            'upstream_connection_limit': (
                self.gateway.selector.open_limit.limit
            ),
            'connections_denied_total': (
                self.gateway.selector.open_limit.denied
            ),
            'connections_opened_total': (
                self.gateway.selector.connections_opened
            ),
            'log_lines_dropped_total': self._dependencies.events.dropped,
            'log_lines_unwritten_total': self._dependencies.events.unwritten,
        }


async def _run_forever(
    background_task: Callable[[], Awaitable[None]],
    record: Callable[..., None],
) -> None:
    """Run a background task forever; log exceptions and restart it."""
    while True:
        try:
            await background_task()
        except Exception as error:
            name = background_task.__qualname__
            problem = log.describe_error(error)
            record(events.LogKind.DEFECT, where=name, problem=problem)
            log.load_absl_log().exception('%s failed on a defect', name)
        await asyncio.sleep(RESTART_DELAY_S)
