"""The gateway of one host, which answers the requests of callers."""

import asyncio
import collections
import dataclasses
import functools
import random

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway import _metrics as metrics_module
from rudderrock.gateway import _settings as settings
from rudderrock.gateway.decisions import _admission as admission
from rudderrock.gateway.decisions import _budget as budget
from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.decisions import _cold as cold
from rudderrock.gateway.decisions import _departure as departure
from rudderrock.gateway.decisions import _host_load as host_load
from rudderrock.gateway.decisions import _identity as identity_module
from rudderrock.gateway.decisions import _loop_delay as loop_delay
from rudderrock.gateway.decisions import _overflow as overflow
from rudderrock.gateway.decisions import _repeats as repeats
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.decisions import _retry_plan as retry_plan
from rudderrock.gateway.decisions import _waiting as waiting
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _era as era
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _initial_sync as initial_sync
from rudderrock.gateway.discovery import _peers as peers
from rudderrock.gateway.discovery import _quarantine as quarantine
from rudderrock.gateway.discovery import _quota_exchange as quota_exchange
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _teams as teams
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _connections as connections
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _forward as forward
from rudderrock.gateway.forwarding import _gather as gather
from rudderrock.gateway.forwarding import _loop_monitor as loop_monitor
from rudderrock.gateway.forwarding import _request_limits as request_limits
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.forwarding import _service_call as service_call
from rudderrock.gateway.forwarding import _zones as zones
from rudderrock.gateway.http import _byte_budget as byte_budget
from rudderrock.gateway.http import _digest as digest
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _reach as reach

# Value of retry-after while a host does not know all routes, upstreams and
# evacuations yet.
NOT_READY_RETRY_AFTER_S = 0.3
# Interval between searches for connections that are no longer needed.
SWEEP_INTERVAL_S = 0.25
# Interval at which connections for hedges are renewed. An idle connection is
# closed after 7.5 s and renewed at most 1 s later, so one is missing for at
# most a seventh of the time.
WARM_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayDependencies:
    """Dependencies of a gateway, created by the composition root."""

    tables: sources.TableHolder
    evacuations: evacuations.EvacuationHolder
    upstream_directory: directory.Directory
    hosts: fleet.Fleet
    initial_sync: initial_sync.InitialSync
    source_era: era.SourceEra
    quarantine: quarantine.Quarantine
    quotas: quota_exchange.QuotaExchange
    events: log.EventLog
    metrics: metrics_module.GatewayMetrics
    byte_budget: byte_budget.ByteBudget
    clock: core.Clock
    rng: random.Random


class Gateway:
    """Routes, forwards and answers the requests of callers."""

    def __init__(
        self,
        config: settings.GatewaySettings,
        dependencies: GatewayDependencies,
    ):
        self.delegation = delegate.Delegation(
            dependencies.hosts,
            config.names,
            dependencies.clock,
            dependencies.events,
            lambda: dependencies.tables.version,
            config.place,
        )
        self._connections = connections.ConnectionPlanner(
            dependencies.tables,
            dependencies.upstream_directory,
            dependencies.hosts,
            config.place,
            self.delegation,
        )
        self.cold_limits = cold.ColdLimits(
            dependencies.upstream_directory,
            dependencies.clock,
            dependencies.hosts.own.host,
            config.warmup_overage,
            config.warmup_slack,
            self._connections.list_senders,
            self._connections.find_service,
        )
        self.selector = replicas.ReplicaSelector(
            dependencies.upstream_directory,
            config.place,
            config.names,
            dependencies.clock,
            dependencies.rng,
            self._connections,
            self.cold_limits,
            dependencies.hosts.own.host,
            # A random delay keeps hosts from sending canaries at once.
            functools.partial(
                dependencies.quarantine.has_crashed,
                lag_s=dependencies.rng.uniform(0.0, canary.CANARY_SPREAD_S),
            ),
        )
        self.counters = calls.Counters()
        self.late_requests = retry_plan.LateRequests()
        self.admission = admission.Admission(dependencies.clock)
        delay = loop_delay.LoopDelay(dependencies.clock)
        self.load_estimator = host_load.LoadEstimator(
            dependencies.clock, config.cores, config.link_bytes_s, delay
        )
        self.loop_monitor = loop_monitor.LoopMonitor(
            delay,
            self.load_estimator,
            self.counters,
            dependencies.clock,
            dependencies.events,
        )
        self.slow_refusals = 0
        self.delegated_in_flight = 0
        self.request_limits = request_limits.RequestLimits(
            asyncio.get_running_loop()
        )
        self._route_times = departure.RouteTimes()
        self._config = config
        self._dependencies = dependencies
        self._thresholds = forward.HedgeThresholds()
        self._budgets: dict[
            routing.ServiceName, budget.ExtraRequestBudget
        ] = {}
        self._split_counts: dict[
            routing.RouteName, collections.Counter[routing.ServiceName]
        ] = {}
        self.checker = reach.ReachChecker(asyncio.get_running_loop())
        self._context = calls.ForwardingContext(
            asyncio.get_running_loop(),
            config.names,
            self.selector,
            self._get_budget,
            self.counters,
            self.checker,
            self.late_requests,
            repeats.RefusedRequests(dependencies.clock),
            dependencies.byte_budget,
        )
        dependencies.tables.add_listener(self._on_table_change)
        dependencies.hosts.add_listener(self._on_hosts_change)
        zone_policy = zones.ZonePolicy(
            dependencies.upstream_directory,
            config.place,
            self._connections.find_service,
            dependencies.events,
        )
        dependencies.tables.add_listener(zone_policy.check_table)
        dependencies.evacuations.add_listener(zone_policy.apply_evacuations)

    @property
    def is_ready(self) -> bool:
        """Return whether routes, upstreams and evacuations are known."""
        return self._dependencies.initial_sync.is_complete

    @property
    def kept_requests(self) -> int:
        """Return the number of requests that wait for the initial data."""
        return self._dependencies.initial_sync.kept.count

    def find_owner(self, target: bytes, headers: messages.Headers) -> str:
        """Return the team that a key identifies, else the route's name."""
        table = self._dependencies.tables.current
        request = messages.Request(b'', target, headers, b'', 0.0)
        route = self._find_route(table, request)
        if route is None:
            return ''
        match identity_module.identify_caller(table, route, request):
            case identity_module.Identified(team=team):
                return team.team
        return route.name

    def _on_hosts_change(self) -> None:
        """Redistribute budgets and connections among the hosts."""
        self._share_slack()
        self.selector.set_caps()
        self._connections.warm(self.selector)

    def _share_slack(self) -> None:
        for service, each in self._budgets.items():
            each.slack = self.get_extra_slack(service)

    async def sweep(self) -> None:
        """Close connections that are no longer needed, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.selector.sweep()

    async def warm_hedges(self) -> None:
        """Keep connections open for hedges, until cancelled."""
        while True:
            await asyncio.sleep(WARM_INTERVAL_S)
            for service in self._connections.list_required_services(
                self.selector
            ):
                self.selector.warm_hedge(service)

    async def handle_delegated(
        self, request: messages.Request
    ) -> messages.Reply:
        """Answer a wide query that another host has delegated.

        The query is refused if this host is stopping or full, has no table,
        or has a table that defines the route differently than the delegating
        host's table. A query without a list of shards is accepted in spite of
        that if this host's table is newer.
        """
        version = core.parse_number(request.get_header(delegate.VERSION))
        min_answers = _read_min_answers(request)
        names = self._config.names
        table = self._dependencies.tables.current
        if self.request_limits.departure is not None:
            return delegate.make_refusal(
                names, delegate.RefusalReason.STOPPING
            )
        if table is None or version is None or min_answers is None:
            return delegate.make_refusal(names, delegate.RefusalReason.TABLE)
        listed = request.get_header(delegate.SHARDS)
        # A list of shards refers to the table of the delegating host.
        has_newer_table = listed is None and table.version > version
        if not (
            has_newer_table or self._has_same_meaning(table, request, version)
        ):
            return delegate.make_refusal(names, delegate.RefusalReason.TABLE)
        refusal = self._check_room(table, request)
        if refusal is not None:
            return refusal
        elapsed_ms = core.parse_number(request.get_header(delegate.ELAPSED))
        request.arrived -= (elapsed_ms or 0) / 1000
        self.delegated_in_flight += 1
        try:
            return await self.handle(
                request,
                is_delegated=True,
                shards=delegate.parse_service_names(listed or b''),
            )
        finally:
            self.delegated_in_flight -= 1

    def _has_same_meaning(
        self,
        table: routing.RoutingTable,
        request: messages.Request,
        version: int,
    ) -> bool:
        """Return whether two tables define the query's route in the same way.

        These are the tables of this host and of the delegating host. Most
        table versions leave a given route unchanged, so a comparison of
        versions only would refuse many queries needlessly: with three new
        versions per second, 49 queries and parts were refused within 4 s, and
        their shards were queried from another region. With the comparison of
        routes, the fraction of requests answered in time rose from 0.91 to
        0.92 (60 hosts, one run each).
        """
        if table.version == version:
            return True
        route = self._find_route(table, request)
        digest = request.get_header(delegate.ROUTE)
        return route is not None and route.digest == digest

    def _check_room(
        self, table: routing.RoutingTable, request: messages.Request
    ) -> messages.Reply | None:
        """Return a refusal if there is no room for a delegated query."""
        if request.get_header(delegate.MUST_RUN) is not None:
            return None
        route = self._find_route(table, request)
        if route is None:
            return None
        names = self._config.names
        load = self.load_estimator
        is_elsewhere = request.get_header(delegate.ELSEWHERE) is not None
        place = self._config.place
        if is_elsewhere and not place.allows(route.residency, place.zone):
            # The table of the other host may allow more regions.
            return delegate.make_refusal(names, delegate.RefusalReason.TABLE)
        share = overflow.ROOM_FRACTION if is_elsewhere else 1.0
        match load.find_room(share * route.goal_s):
            case host_load.Room.FULL:
                return delegate.make_refusal(
                    names,
                    delegate.RefusalReason.FULL,
                    f'{1000 * load.get_delay_s():.0f} ms',
                )
            case host_load.Room.SLOW:
                self.slow_refusals += 1
                delay_s = load.get_total_delay_s()
                return delegate.make_refusal(
                    names,
                    delegate.RefusalReason.SLOW,
                    f'{1000 * delay_s:.0f} ms',
                )
        return None

    async def handle(
        self,
        request: messages.Request,
        is_delegated: bool = False,
        shards: tuple[routing.ServiceName, ...] = (),
    ) -> messages.Reply:
        """Answer one request, and log and count its outcome.

        During startup it first waits for the initial data, depending on its
        deadline. `is_delegated` is true if another host sends the request. If
        `shards` is not empty, only these shards are queried.
        """
        table = None
        route = None
        # Recorded if `_answer` does not return, usually because the caller has
        # left and this task is cancelled.
        result = results.Result(
            messages.Reply(503, []),
            results.Outcome.CALLER_LEFT,
            'the caller closed its connection',
        )
        try:
            async with self.request_limits.limit() as timeout:
                if not self.is_ready:
                    await self._wait_until_ready(request, is_delegated)
                started_at = self._dependencies.clock.now()
                table = self._dependencies.tables.current
                route = self._find_route(table, request)
                result = await self._answer(
                    table, route, request, is_delegated, shards
                )
        except TimeoutError:
            if not timeout.expired():
                raise
            self.request_limits.ended += 1
            result = results.make_stopped_result(self._config.names, request)
        finally:
            self._record(table, route, request, result)
        if route is not None and not is_delegated:
            self._observe_time(route, started_at, result)
        return result.reply

    def _observe_time(
        self,
        route: routing.Route,
        started_at: float,
        result: results.Result,
    ) -> None:
        """Record how long a request took that upstreams have worked on."""
        elapsed_s = self._dependencies.clock.now() - started_at
        match result.outcome:
            case (
                results.Outcome.ANSWERED
                | results.Outcome.PARTIAL
                | results.Outcome.UPSTREAM_FAILED
            ):
                self._route_times.observe(route.name, elapsed_s, True)
            case results.Outcome.TIMED_OUT:
                self._route_times.observe(route.name, elapsed_s, False)

    async def _wait_until_ready(
        self, request: messages.Request, is_delegated: bool
    ) -> None:
        """Wait for the initial data as long as the request has the time.

        Another host that has delegated a request asks elsewhere instead.
        """
        deadline_s = self._get_deadline_s(request)
        if is_delegated or deadline_s is None:
            await self._dependencies.initial_sync.wait()
            return
        key = request.get_header(b'authorization')
        kept = waiting.KeptRequest(
            arrived=request.arrived,
            expires_at=request.arrived + deadline_s,
            size=len(request.body)
            + sum(len(name) + len(value) for name, value in request.headers),
            owner=None if key is None else hash(key),
        )
        await self._dependencies.initial_sync.keep(kept)

    def _get_deadline_s(self, request: messages.Request) -> float | None:
        return _read_deadline(
            request.get_header(self._config.names.deadline_ms)
        )

    def _estimate_ready_s(self, request: messages.Request) -> float:
        """Return the retry-after of a request that came too early."""
        left_s = self._get_deadline_s(request)
        if left_s is not None:
            left_s -= self._dependencies.clock.now() - request.arrived
        return self._dependencies.initial_sync.estimate_retry_after_s(left_s)

    async def _answer(
        self,
        table: routing.RoutingTable | None,
        route: routing.Route | None,
        request: messages.Request,
        is_delegated: bool,
        shards: tuple[routing.ServiceName, ...],
    ) -> results.Result:
        names = self._config.names
        request_id = request.get_header(names.request_id)
        if request_id is None:
            return _reject(400, results.Outcome.INVALID, 'no request id')
        if table is None or not self.is_ready:
            return results.make_refusal_result(
                names,
                request_id,
                self._estimate_ready_s(request),
                results.Outcome.NOT_READY,
            )
        if route is None:
            return _reject(404, results.Outcome.UNROUTED, 'no such route')
        match self._identify(table, route, request, is_delegated):
            case identity_module.Unidentified(detail=detail):
                return self._refuse_unidentified(request_id, detail)
            case identity_module.Identified(team=team):
                request.team = team.team
            case identity_module.Anonymous():
                team = None
        if not is_delegated and not self._may_take(route, request):
            self.request_limits.refused += 1
            return results.make_refusal_result(
                names,
                request_id,
                results.RETRY_AFTER_S,
                results.Outcome.LEAVING,
                'this host stops too early for an answer',
            )
        permit = None
        if team is not None and not is_delegated:
            permit = await self._dependencies.quotas.admit(team)
        if isinstance(permit, quota_exchange.Refusal):
            return results.make_over_quota_result(
                names,
                request_id,
                permit.denied.retry_after_s,
                f'{permit.denied.count} requests, limit '
                f'{permit.denied.limit:g}',
                {
                    'quota_by': permit.decided_by,
                    'quota_limit': permit.denied.limit,
                    'quota_age_ms': round(permit.age_s * 1000),
                },
            )
        result = None
        try:
            result = await self._forward(
                table, route, request, request_id, team, is_delegated, shards
            )
        finally:
            if permit is not None and _has_not_run(request, result):
                self._dependencies.quotas.give_back(permit)
        return result

    def _may_take(
        self, route: routing.Route, request: messages.Request
    ) -> bool:
        """Return whether a request can be answered before this host ends."""
        planned = self.request_limits.departure
        if planned is None:
            return True
        now = self._dependencies.clock.now()
        deadline_s = self._get_deadline_s(request)
        limit_s = route.timeout_s
        if deadline_s is not None:
            limit_s = min(limit_s, deadline_s)
        return departure.may_take(
            planned,
            now,
            route,
            self._route_times.get_s(route.name),
            request.arrived + limit_s - now,
        )

    async def _forward(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        request: messages.Request,
        request_id: bytes,
        team: teams.Team | None,
        is_delegated: bool,
        shards: tuple[routing.ServiceName, ...],
    ) -> results.Result:
        """Answer a request that is allowed."""
        deadline_s = self._get_deadline_s(request)
        if deadline_s is None:
            deadline_s = route.timeout_s
        call_canary = self._make_canary(request, is_part=bool(shards))
        if call_canary.state is quarantine.QuarantineState.QUARANTINED:
            return self._refuse_quarantined(request_id, call_canary, shards)
        call = self._make_call(
            request, request_id, route, deadline_s, call_canary, team
        )
        if is_delegated:
            call.is_patient = request.get_header(delegate.PATIENT) is not None
        elif call.expires_at <= self._dependencies.clock.now():
            # It was kept for longer than its route's timeout.
            return results.make_refusal_result(
                self._config.names,
                request_id,
                NOT_READY_RETRY_AFTER_S,
                results.Outcome.NOT_RUN,
                'its time had passed when routes were known',
            )
        threshold = self._thresholds.get(route)
        match route.target:
            case routing.Single(service=service):
                return await forward.forward_to_one(
                    self._context, call, service, threshold
                )
            case routing.Split():
                service = self._choose_share(route, route.target)
                return await forward.forward_to_one(
                    self._context, call, service, threshold
                )
            case routing.Scatter() if shards:
                query_class = host_load.QueryClass(route.name, is_part=True)
                self.load_estimator.record_start(query_class, len(shards))
                self.loop_monitor.measure_sending(query_class)
                result = await gather.answer_part(
                    self._context,
                    call,
                    route.target,
                    threshold,
                    shards,
                    _read_min_answers(request),
                )
                self.load_estimator.record_end(
                    query_class, result.requests_sent, result.bytes_received
                )
                return result
            case routing.Scatter():
                rank = table.get_rank(route, team)
                if not is_delegated and self._is_delegable(route):
                    return await self._run_wide(
                        call, route.target, threshold, rank
                    )
                return await self._run_admitted(
                    call, route.target, threshold, rank
                )

    def _identify(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        request: messages.Request,
        is_delegated: bool,
    ) -> identity_module.Identity:
        """Return the team of a request, and set it in the headers."""
        names = self._config.names
        if is_delegated:
            return identity_module.identify_delegated(table, request, names)
        identity = identity_module.identify_caller(table, route, request)
        if table.teams is not None:
            identity_module.replace_credentials(request, identity, names)
        return identity

    def _refuse_unidentified(
        self, request_id: bytes, detail: str
    ) -> results.Result:
        """Refuse a request without a known key.

        A host whose table may be outdated can't tell whether the key is
        unknown, so the caller should ask again.
        """
        age_s = self._dependencies.tables.confirmed_age_s
        if not 0 <= age_s <= peers.MAX_TABLE_AGE_S:
            return results.make_refusal_result(
                self._config.names,
                request_id,
                NOT_READY_RETRY_AFTER_S,
                results.Outcome.NOT_READY,
                f'{detail}, table confirmed {age_s:.1f} s ago',
            )
        headers = [
            (self._config.names.request_id, request_id),
            (b'www-authenticate', b'Bearer'),
        ]
        return results.Result(
            messages.Reply(401, headers),
            results.Outcome.UNAUTHORIZED,
            detail,
        )

    def _is_delegable(self, route: routing.Route) -> bool:
        """Return whether another host of this zone may run a query.

        In a zone outside the route's data residency, only the host that the
        caller has chosen may process the query.
        """
        topology = self._config.place
        return self._connections.is_wide(
            route.target.shards
        ) and topology.allows(route.residency, topology.zone)

    async def _run_wide(
        self,
        call: calls.Call,
        scatter: routing.Scatter,
        threshold: core.HedgeThreshold,
        rank: int,
    ) -> results.Result:
        """Delegate a wide query to a host with capacity, or run it here."""
        is_last = False
        tried: tuple[core.HostId, ...] = ()
        while not is_last:
            load = self.load_estimator
            own_delay_s = None
            if not load.has_room(call.route.goal_s):
                own_delay_s = load.get_total_delay_s()
            candidate = self.delegation.choose(call, own_delay_s, tried)
            if candidate is None:
                break
            match await self.delegation.run(candidate, call):
                case delegate.NotConfirmed(sent=True):
                    call = dataclasses.replace(
                        call, may_have_run_elsewhere=True
                    )
                    break
                case delegate.NotConfirmed():
                    tried = (*tried, candidate.entry.host)
                case result:
                    return result
            is_last = candidate.is_last
        return await self._run_admitted(call, scatter, threshold, rank)

    async def _run_admitted(
        self,
        call: calls.Call,
        scatter: routing.Scatter,
        threshold: core.HedgeThreshold,
        rank: int,
    ) -> results.Result:
        """Run a query over shards if admission control allows it."""
        concurrency = self.admission.get_limit(scatter.shards)
        if not self.admission.try_acquire(
            concurrency, rank, call.team, len(scatter.shards)
        ):
            detail = self.admission.describe(concurrency, rank, call.team)
            if call.may_have_run_elsewhere:
                return results.make_lost_result(
                    self._config.names, call.request_id, False, detail
                )
            if call.request.get_header(delegate.ELSEWHERE) is not None:
                # The zone of the caller still has to run the query.
                refusal = delegate.make_refusal(
                    self._config.names, delegate.RefusalReason.FULL
                )
                return results.Result(
                    refusal, results.Outcome.OVERLOADED, detail
                )
            return results.make_refusal_result(
                self._config.names,
                call.request_id,
                self.admission.get_retry_after_s(concurrency, call.team),
                results.Outcome.OVERLOADED,
                detail,
            )
        congested = None
        query_class = host_load.QueryClass(call.route.name, is_part=False)
        self.load_estimator.record_start(query_class, len(scatter.shards))
        self.loop_monitor.measure_sending(query_class)
        try:
            result = await gather.forward_to_all(
                self._context, call, scatter, threshold, self.delegation
            )
            self.load_estimator.record_end(
                query_class, result.requests_sent, result.bytes_received
            )
            elapsed_s = self._dependencies.clock.now() - call.request.arrived
            congested = admission.is_congested(
                result.late, result.shards, elapsed_s, call.route.goal_s
            )
            return result
        finally:
            self.admission.release(concurrency, congested)

    def _make_call(
        self,
        request: messages.Request,
        request_id: bytes,
        route: routing.Route,
        deadline_s: float,
        call_canary: canary.Canary,
        team: teams.Team | None,
    ) -> calls.Call:
        names = self._config.names
        time_limit_s = min(deadline_s, route.timeout_s)
        excluded_headers = {names.deadline_ms, names.expected_upstream}
        excluded_headers |= delegate.DELEGATION_HEADERS
        return calls.Call(
            request=request,
            request_id=request_id,
            route=route,
            expires_at=self.request_limits.shorten(
                request.arrived + time_limit_s
            )
            - forward.REPLY_MARGIN_S,
            goal_at=request.arrived + route.goal_s - forward.REPLY_MARGIN_S,
            late_after_s=self._thresholds.get(route).get(),
            forwarded_headers=[
                pair
                for pair in messages.remove_hop_by_hop_headers(
                    request.headers, header_names.list_end_to_end(names)
                )
                if pair[0] not in excluded_headers
            ],
            canary=call_canary,
            team=team,
            is_patient=retry_plan.is_patient(time_limit_s, route.goal_s),
        )

    def _make_canary(
        self, request: messages.Request, is_part: bool
    ) -> canary.Canary:
        return canary.Canary(
            self._dependencies.quarantine,
            self._dependencies.clock,
            lambda: digest.digest_request(request, self._config.names),
            is_part,
        )

    def _refuse_quarantined(
        self,
        request_id: bytes,
        call_canary: canary.Canary,
        shards: tuple[routing.ServiceName, ...],
    ) -> results.Result:
        """Refuse a request that is quarantined for crashing upstreams."""
        names = self._config.names
        if shards:
            return gather.make_empty_part(
                names, request_id, shards, call_canary.list_crashed()
            )
        return results.make_refusal_result(
            names,
            request_id,
            call_canary.get_retry_after_s(),
            results.Outcome.QUARANTINED,
            service_call.QUARANTINED,
        )

    def _get_logged_digest(
        self, request: messages.Request, result: results.Result
    ) -> str:
        """Return the digest of a request for its log line, or ''.

        It is logged if the request lost attempts or is quarantined. Copies of
        the request have the same digest.
        """
        is_quarantined = result.outcome is results.Outcome.QUARANTINED
        if not (result.lost or is_quarantined):
            return ''
        return digest.digest_request(request, self._config.names)

    def _find_route(
        self, table: routing.RoutingTable | None, request: messages.Request
    ) -> routing.Route | None:
        if table is None:
            return None
        host = request.get_header(b'host') or b''
        path = request.target.partition(b'?')[0]
        return table.find_route(host.decode('latin-1'), path.decode('latin-1'))

    def _choose_share(
        self, route: routing.Route, split: routing.Split
    ) -> routing.ServiceName:
        """Return the service with the fewest requests for its weight."""
        counts = self._split_counts.setdefault(
            route.name, collections.Counter()
        )
        chosen = min(
            (share for share in split.shares if share.weight > 0),
            key=lambda share: (counts[share.service] + 1) / share.weight,
        )
        counts[chosen.service] += 1
        return chosen.service

    def _on_table_change(self, table: routing.RoutingTable) -> None:
        self._split_counts.clear()
        self._route_times.keep_only(
            {each.name for each in table.routes.values()}
        )
        self._connections.update_table(table)
        self._share_slack()
        self.selector.set_caps()
        self._connections.warm(self.selector)

    def get_extra_slack(self, service: routing.ServiceName) -> float:
        """Return this host's share of the extra slack for a service.

        It is the number of extra requests that this host may send within
        `extra_window_s` regardless of the number of its first requests.
        """
        return self._connections.share_slack(service, self._config.extra_slack)

    def _get_budget(
        self, service: routing.ServiceName
    ) -> budget.ExtraRequestBudget:
        extra_budget = self._budgets.get(service)
        if extra_budget is None:
            extra_budget = budget.ExtraRequestBudget(
                self._dependencies.clock,
                self._config.extra_ratio,
                self._config.extra_window_s,
                self.get_extra_slack(service),
            )
            self._budgets[service] = extra_budget
        return extra_budget

    def _record(
        self,
        table: routing.RoutingTable | None,
        route: routing.Route | None,
        request: messages.Request,
        result: results.Result,
    ) -> None:
        elapsed_s = self._dependencies.clock.now() - request.arrived
        name = route.name if route is not None else None
        self._dependencies.metrics.record_result(name, result, elapsed_s)
        request_id = request.get_header(self._config.names.request_id) or b''
        upstream_directory = self._dependencies.upstream_directory
        team_field = {'team': request.team} if request.team else {}
        self._dependencies.events.record_request(
            result.outcome is results.Outcome.ANSWERED,
            request_id=request_id.decode('latin-1'),
            route=name,
            table_version=table.version if table is not None else None,
            upstreams_revision=upstream_directory.position.revision,
            outcome=result.outcome.value,
            status=result.reply.status,
            detail=result.detail,
            shards=result.shards,
            answered=result.answered,
            late=result.late,
            far=result.far,
            extras=result.extras,
            denied=result.denied,
            lost=result.lost,
            digest=self._get_logged_digest(request, result),
            waited_for=result.waited_for,
            upstreams_age_ms=round(upstream_directory.age_s * 1000),
            elapsed_ms=round(elapsed_s * 1000, 1),
            **team_field,
            **result.log_fields,
        )


def _reject(
    status: int, outcome: results.Outcome, detail: str
) -> results.Result:
    return results.Result(messages.Reply(status, []), outcome, detail)


def _read_deadline(value: bytes | None) -> float | None:
    """Return the deadline in seconds, or None if missing or malformed."""
    deadline_ms = core.parse_number(value)
    return None if deadline_ms is None else deadline_ms / 1000


def _read_min_answers(request: messages.Request) -> int | None:
    """Return how many answers a part needs, or None if malformed."""
    value = request.get_header(delegate.MIN_ANSWERS)
    return 1 if value is None else core.parse_number(value)


def _has_not_run(
    request: messages.Request, result: results.Result | None
) -> bool:
    """Return whether a request has not run; there is no result if cancelled.

    Replies of upstreams are not among these outcomes.
    """
    if result is None:
        return not request.was_sent
    return result.outcome in results.NOT_RUN_OUTCOMES
