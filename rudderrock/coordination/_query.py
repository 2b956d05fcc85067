"""One query from its pinned index version to its answer.

A query pins one version and accepts answers of that version only, whoever
brings them. One task sees the query through: it sends a request for every
shard, hedges those that are late, retries what failed safely, and counts
coverage from the answers it accepted.
"""

import asyncio
import dataclasses
import heapq
import itertools
import random
import typing

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _latency as latency

_MAX_RESTARTS = 2
_UNKNOWN_PATIENCE_S = 0.05
_LONGEST_PATIENCE_S = 10.0
# A late request whose other replicas are all busy is looked at again.
_HEDGE_AGAIN_S = 0.002
# A request this many times later than late is paid for as a retry if the
# hedge budget is spent.
_LOST_AFTER = 10.0
_SERVABLE_MEMORY_S = 0.05
# No restart at another version with less than this part of the time left.
_RESTART_TIME_FRACTION = 0.2


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _ShardCall:
    """The state of one shard within one query."""

    service: dispatch.Service
    in_flight: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    failed: set[state.UpstreamId] = dataclasses.field(default_factory=set)
    lacking: set[state.UpstreamId] = dataclasses.field(default_factory=set)
    tries: int = 0
    hedged: bool = False
    miss: protocol.MissReason | None = None
    answer: protocol.ShardAnswer | None = None

    @property
    def is_over(self) -> bool:
        return self.answer is not None or self.miss is not None


class _Due(typing.NamedTuple):
    """A time at which a shard wants to be looked at again."""

    when: float
    order: int
    call: _ShardCall
    retry: protocol.MissReason | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryTicket:
    """An admitted query: who asks, what, and until when.

    `deadline` and `soft_deadline` are in loop time.
    """

    query_id: state.QueryId
    row: state.TeamRow
    query: protocol.Query
    deadline: float
    soft_deadline: float


@dataclasses.dataclass(slots=True)
class QueryCounters:
    """Counts over the life of a host, for its metrics.

    `first`, `hedges` and `retries` are requests sent to upstreams;
    `shards` is what was asked for. Extra load is what was sent beyond it.
    """

    shards: int = 0
    first: int = 0
    hedges: int = 0
    retries: int = 0
    hedge_wins: int = 0
    hedges_denied: int = 0
    hedges_waiting: int = 0
    retries_denied: int = 0
    restarts: int = 0

    @property
    def extra_load(self) -> float:
        """Return extra requests as a part of those asked for."""
        return (self.hedges + self.retries) / max(1, self.shards)


class TeamBudgets:
    """The retry budget of each team, beside that of each service."""

    def __init__(self, settings: state.RetrySettings):
        self._settings = settings
        self._budgets: dict[state.TeamId, budgets.Budget] = {}

    def find(self, team: state.TeamId) -> budgets.Budget:
        """Return a team's budget."""
        budget = self._budgets.get(team)
        if budget is None:
            budget = budgets.Budget(
                self._settings.budget, self._settings.burst
            )
            self._budgets[team] = budget
        return budget


class QueryRunner:
    """Runs admitted queries against the services of one host."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        settings: state.Settings,
        clock: state.Clock,
        source: random.Random,
        ring: state.EventRing,
    ):
        self.counters = QueryCounters()
        self._dispatcher = dispatcher
        self._settings = settings
        self._clock = clock
        self._source = source
        self._ring = ring
        self._teams = TeamBudgets(settings.retries)
        self._hedges = budgets.Budget(
            settings.hedging.budget, settings.hedging.host_burst
        )
        self._servable: dict[state.CollectionId, tuple[float, dict]] = {}
        self._late_points: dict[state.CollectionId, latency.LatePoint] = {}

    async def run(
        self, ticket: QueryTicket, collection: state.Collection
    ) -> protocol.Answered:
        """Ask every shard and return the result with its true coverage.

        When the pinned version turns out to be gone from a shard and
        another one is served, the query starts again there, from nothing.
        """
        given_up: set[state.IndexVersion] = set()
        placement = self.choose_placement(collection, given_up)
        for _ in range(_MAX_RESTARTS):
            gathering = _Gathering(self, ticket, placement)
            gone = await gathering.run(may_restart=True)
            if not gone:
                return gathering.make_answer()
            given_up.add(placement.version)
            # The layout may have moved on while the query ran.
            current = self._dispatcher.find_collection(collection.collection)
            if current is None or not self._has_time(ticket):
                return gathering.make_answer()
            better = self.choose_placement(current, given_up)
            if better is None:
                return gathering.make_answer()
            self._note_restart(ticket, placement, better)
            placement = better
        gathering = _Gathering(self, ticket, placement)
        await gathering.run(may_restart=False)
        return gathering.make_answer()

    def choose_placement(
        self,
        collection: state.Collection,
        given_up: set[state.IndexVersion],
    ) -> state.Placement | None:
        """Return the version that most shards can serve, newest of equals."""
        servable = self._count_servable(collection)
        candidates = [
            placement
            for placement in collection.placements
            if placement.version not in given_up
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda each: (servable[each.version], each.version),
        )

    def find_late_point(
        self, collection: state.CollectionId
    ) -> latency.LatePoint:
        """Return what latency above the least makes a request late.

        One point for all services of a collection, because one service
        alone gives a host few requests, while what makes them late is
        alike for all. The least latency is each upstream's own.
        """
        late_point = self._late_points.get(collection)
        if late_point is None:
            hedging = self._settings.hedging
            late_point = latency.LatePoint(
                1.0 - hedging.percentile / 100.0,
                start=max(_UNKNOWN_PATIENCE_S, hedging.min_delay_s),
                lowest=hedging.min_delay_s,
                highest=_LONGEST_PATIENCE_S,
            )
            self._late_points[collection] = late_point
        return late_point

    def _count_servable(
        self, collection: state.Collection
    ) -> dict[state.IndexVersion, float]:
        """Return the part of the shards that can serve each version."""
        now = self._clock.now()
        known = self._servable.get(collection.collection)
        if known is not None and known[0] > now:
            versions = {each.version for each in collection.placements}
            if versions == set(known[1]):
                return known[1]
        servable = {
            placement.version: self._measure(placement)
            for placement in collection.placements
        }
        fresh = (now + _SERVABLE_MEMORY_S, servable)
        self._servable[collection.collection] = fresh
        return servable

    def _measure(self, placement: state.Placement) -> float:
        able = sum(
            self._dispatcher.seems_to_serve(shard, placement.version)
            for shard in placement.shards
        )
        return able / max(1, len(placement.shards))

    def _has_time(self, ticket: QueryTicket) -> bool:
        left = ticket.deadline - self._clock.now()
        return left > _RESTART_TIME_FRACTION * ticket.row.deadline_s

    def _note_restart(
        self,
        ticket: QueryTicket,
        old: state.Placement,
        new: state.Placement,
    ) -> None:
        self.counters.restarts += 1
        self._servable.clear()
        self._ring.record(
            state.EventKind.VERSION_RESTART,
            team=state.TeamId(ticket.row.team),
            query=ticket.query_id,
            detail=f'{old.version} to {new.version}',
        )


class _Gathering:
    """One pass of one query over all shards of one version."""

    def __init__(
        self,
        runner: QueryRunner,
        ticket: QueryTicket,
        placement: state.Placement,
    ):
        self._runner = runner
        self._ticket = ticket
        self._placement = placement
        self._clock = runner._clock
        self._dispatcher = runner._dispatcher
        self._settings = runner._settings
        self._counters = runner.counters
        self._late_point = runner.find_late_point(ticket.query.collection)
        self._patience_s = self._late_point.get()
        self._mailbox = attempts.Mailbox(asyncio.get_running_loop())
        self._order = itertools.count()
        self._due: list[_Due] = []
        self._calls: dict[state.ShardId, _ShardCall] = {}
        self._open = 0
        self._gone = False
        self._wall_deadline = (
            self._clock.wall() + ticket.deadline - self._clock.now()
        )

    async def run(self, may_restart: bool) -> bool:
        """Gather until done; tell whether the version turned out gone."""
        try:
            self._start()
            while self._open and not (self._gone and may_restart):
                until = self._get_next_time()
                if self._clock.has_reached(self._get_end()):
                    break
                for attempt, reply in await self._mailbox.take(until):
                    self._handle(attempt, reply)
                self._look_at_due()
        except asyncio.CancelledError:
            self._cancel_all()
            raise
        if self._gone and may_restart:
            self._cancel_all()
            return True
        self._finish()
        return False

    def make_answer(self) -> protocol.Answered:
        """Merge what was accepted, and count coverage from just that."""
        accepted = [
            call.answer for call in self._calls.values() if call.answer
        ]
        missing = {
            shard: call.miss
            for shard, call in self._calls.items()
            if call.answer is None
        }
        hits = itertools.chain.from_iterable(
            answer.hits for answer in accepted
        )
        best = heapq.nsmallest(
            self._ticket.query.limit,
            hits,
            key=lambda hit: (-hit.score, hit.id),
        )
        return protocol.Answered(
            query=self._ticket.query_id,
            version=self._placement.version,
            coverage=protocol.Coverage(
                shards=len(self._calls),
                answered=len(accepted),
                missing=missing,
            ),
            hits=best,
        )

    def _start(self) -> None:
        team = self._runner._teams.find(self._ticket.row.team)
        for shard in self._placement.shards:
            service = self._dispatcher.find_service(shard)
            call = _ShardCall(service=service)
            self._calls[shard] = call
            self._open += 1
            self._counters.shards += 1
            service.hedges.earn()
            self._runner._hedges.earn()
            service.retries.earn()
            team.earn()
            self._send_first(call)

    def _send_first(self, call: _ShardCall) -> None:
        if self._miss_if_unservable(call):
            return
        attempt = self._make_attempt(call, attempts.AttemptKind.FIRST)
        self._counters.first += 1
        self._dispatcher.submit(call.service, attempt)
        if self._settings.hedging.enabled:
            self._look_later(call, self._patience_s)

    def _get_end(self) -> float:
        """Return the time at which the answer is given with what there is."""
        row = self._ticket.row
        if row.coverage_policy is state.CoveragePolicy.WAIT:
            return self._ticket.deadline
        done = sum(call.answer is not None for call in self._calls.values())
        if done >= row.coverage * len(self._calls):
            return self._ticket.soft_deadline
        return self._ticket.deadline

    def _get_next_time(self) -> float:
        end = self._get_end()
        return min(end, self._due[0].when) if self._due else end

    def _make_attempt(
        self,
        call: _ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId] = frozenset(),
    ) -> attempts.Attempt:
        number = next(self._order)
        request = protocol.ShardRequest(
            request_id=state.RequestId(f'{self._ticket.query_id}.{number}'),
            shard=call.service.shard,
            version=self._placement.version,
            body=self._ticket.query.body,
            limit=self._ticket.query.limit,
            deadline=self._wall_deadline,
        )
        attempt = attempts.Attempt(
            request=request,
            row=self._ticket.row,
            kind=kind,
            deadline=self._ticket.deadline,
            grace_s=self._settings.routing.exchange_grace_s,
            mailbox=self._mailbox,
            avoid=avoid,
        )
        call.in_flight.append(attempt)
        call.tries += 1
        return attempt

    def _look_later(
        self,
        call: _ShardCall,
        delay_s: float,
        retry: protocol.MissReason | None = None,
    ) -> None:
        self._look_at(call, self._clock.now() + delay_s, retry)

    def _look_at(
        self,
        call: _ShardCall,
        when: float,
        retry: protocol.MissReason | None = None,
    ) -> None:
        due = _Due(when, next(self._order), call, retry)
        heapq.heappush(self._due, due)

    def _look_at_due(self) -> None:
        while self._due and self._clock.has_reached(self._due[0].when):
            due = heapq.heappop(self._due)
            if due.call.is_over:
                continue
            if due.retry is not None:
                self._retry(due.call, due.retry)
            else:
                self._consider_hedge(due.call)

    def _consider_hedge(self, call: _ShardCall) -> None:
        """Send a second request if the first is late and it may help."""
        if len(call.in_flight) != 1:
            return
        first = call.in_flight[0]
        if first.sent_at is None:
            # It waits for a slot; a second request would only wait too.
            self._look_later(call, self._patience_s)
            return
        patience_s = self._patience_s
        if first.base_s <= 0.0:
            patience_s = max(patience_s, _UNKNOWN_PATIENCE_S)
        late_at = first.sent_at + first.base_s + patience_s
        if not self._clock.has_reached(late_at):
            self._look_at(call, late_at)
            return
        self._hedge(call, first)

    def _hedge(self, call: _ShardCall, first: attempts.Attempt) -> None:
        service = call.service
        if not call.hedged:
            self._note_late(first, True)
            call.hedged = True
        avoid = frozenset({first.upstream, *call.failed, *call.lacking})
        pause_above = self._settings.hedging.pause_above
        if not service.can_hedge(avoid, pause_above):
            self._counters.hedges_denied += 1
            self._look_later(call, self._patience_s)
            return
        hedges = (service.hedges, self._runner._hedges)
        if all(budget.can_spend() for budget in hedges):
            if self._try_now(call, attempts.AttemptKind.HEDGE, avoid):
                budgets.spend_all(hedges)
                self._counters.hedges += 1
            return
        self._counters.hedges_denied += 1
        # Silent for so long, it is no straggler but as good as lost.
        lost_at = first.sent_at + first.base_s + _LOST_AFTER * self._patience_s
        team = self._runner._teams.find(self._ticket.row.team)
        retries = (service.retries, team)
        if not self._clock.has_reached(lost_at) or not all(
            budget.can_spend() for budget in retries
        ):
            self._look_later(call, self._patience_s)
        elif self._try_now(call, attempts.AttemptKind.RETRY, avoid):
            budgets.spend_all(retries)
            self._counters.retries += 1

    def _try_now(
        self,
        call: _ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId],
    ) -> bool:
        """Send one more attempt if a lane is free, else look again soon."""
        attempt = self._make_attempt(call, kind, avoid)
        if self._dispatcher.try_now(call.service, attempt):
            events = {
                attempts.AttemptKind.HEDGE: state.EventKind.HEDGE,
                attempts.AttemptKind.RETRY: state.EventKind.RETRY,
            }
            self._record(events[kind], attempt)
            return True
        call.in_flight.remove(attempt)
        call.tries -= 1
        self._counters.hedges_waiting += 1
        self._look_later(call, _HEDGE_AGAIN_S)
        return False

    def _note_late(self, attempt: attempts.Attempt, late: bool) -> None:
        """Take note of whether a first attempt was late.

        Not where nothing is known of the upstream yet: what looks late is
        then only its distance.
        """
        if attempt.base_s > 0.0:
            self._late_point.note(late)
            attempt.note_late(late)

    def _handle(
        self, attempt: attempts.Attempt, reply: protocol.ShardReply
    ) -> None:
        call = self._calls[attempt.request.shard]
        if attempt in call.in_flight:
            call.in_flight.remove(attempt)
        if call.is_over:
            return
        match reply:
            case protocol.ShardAnswer():
                self._accept(call, attempt, reply)
            case protocol.ShardRejected():
                self._handle_rejection(call, attempt, reply)
            case protocol.ShardLost():
                call.failed.add(attempt.upstream)
                self._retry_unless_hedged(call, protocol.MissReason.LOST)
            case protocol.ShardTimeout():
                self._retry_unless_hedged(call, protocol.MissReason.TIMEOUT)

    def _accept(
        self,
        call: _ShardCall,
        attempt: attempts.Attempt,
        answer: protocol.ShardAnswer,
    ) -> None:
        elapsed = self._clock.now() - attempt.sent_at
        if attempt.kind is attempts.AttemptKind.HEDGE:
            self._counters.hedge_wins += bool(call.in_flight)
        elif not call.hedged:
            late = elapsed > attempt.base_s + self._patience_s
            call.service.note_answer(elapsed)
            self._note_late(attempt, late)
        call.answer = answer
        self._close(call)

    def _handle_rejection(
        self,
        call: _ShardCall,
        attempt: attempts.Attempt,
        rejected: protocol.ShardRejected,
    ) -> None:
        match rejected.kind:
            case protocol.RejectionKind.VERSION:
                call.lacking.add(attempt.upstream)
                self._retry_unless_hedged(call, protocol.MissReason.VERSION)
            case protocol.RejectionKind.LEAVING:
                call.failed.add(attempt.upstream)
                self._retry_unless_hedged(call, protocol.MissReason.LOST)
            case protocol.RejectionKind.SHED:
                call.failed.add(attempt.upstream)
                self._retry_unless_hedged(
                    call, protocol.MissReason.SHED, rejected.retry_after_s
                )
            case protocol.RejectionKind.EXPIRED:
                self._miss(call, protocol.MissReason.TIMEOUT)
            case protocol.RejectionKind.REFUSED:
                self._miss(call, protocol.MissReason.REFUSED)

    def _retry_unless_hedged(
        self,
        call: _ShardCall,
        reason: protocol.MissReason,
        retry_after_s: float = 0.0,
    ) -> None:
        """Try another replica now, or the same ones after a pause."""
        if call.in_flight:
            return
        if self._has_untried(call):
            self._retry(call, reason)
            return
        if len(call.lacking) == len(call.service.links):
            self._miss(call, protocol.MissReason.VERSION)
            return
        pause_s = max(retry_after_s, self._get_backoff_s(call))
        if self._clock.now() + pause_s >= self._ticket.deadline:
            self._miss(call, reason)
            return
        call.failed.clear()
        self._look_later(call, pause_s, reason)

    def _has_untried(self, call: _ShardCall) -> bool:
        tried = call.failed | call.lacking
        return any(
            link.upstream.upstream not in tried and link.is_reachable
            for link in call.service.links
        )

    def _get_backoff_s(self, call: _ShardCall) -> float:
        """Return a pause that doubles with each try, with full jitter."""
        longest = self._settings.retries.backoff_s * 2**call.tries
        return self._runner._source.uniform(0.5, 1.0) * longest

    def _retry(self, call: _ShardCall, reason: protocol.MissReason) -> None:
        team = self._runner._teams.find(self._ticket.row.team)
        retries = self._settings.retries
        if self._miss_if_unservable(call):
            return
        if not retries.enabled or call.tries >= retries.max_attempts:
            self._miss(call, reason)
            return
        if not budgets.spend_all((call.service.retries, team)):
            self._counters.retries_denied += 1
            self._miss(call, reason)
            return
        self._counters.retries += 1
        avoid = frozenset(call.failed | call.lacking)
        attempt = self._make_attempt(call, attempts.AttemptKind.RETRY, avoid)
        self._dispatcher.submit(call.service, attempt)
        self._record(state.EventKind.RETRY, attempt, reason.value)

    def _record(
        self,
        kind: state.EventKind,
        attempt: attempts.Attempt,
        detail: str = '',
    ) -> None:
        self._runner._ring.record(
            kind,
            team=state.TeamId(self._ticket.row.team),
            query=self._ticket.query_id,
            upstream=attempt.upstream,
            detail=f'{attempt.request.shard} {detail}'.rstrip(),
        )

    def _miss_if_unservable(self, call: _ShardCall) -> bool:
        """Give a shard up at once if no replica can serve the version."""
        if not call.service.is_reachable:
            self._miss(call, protocol.MissReason.LOST)
            return True
        now = self._clock.now()
        if not call.service.can_serve(self._placement.version, now):
            self._miss(call, protocol.MissReason.VERSION)
            return True
        return False

    def _miss(self, call: _ShardCall, reason: protocol.MissReason) -> None:
        call.miss = reason
        self._gone |= reason is protocol.MissReason.VERSION
        self._close(call)

    def _close(self, call: _ShardCall) -> None:
        self._open -= 1
        for attempt in call.in_flight:
            attempt.cancel()
        call.in_flight.clear()

    def _cancel_all(self) -> None:
        """Give up all that is under way, and tell the upstreams."""
        for call in self._calls.values():
            for attempt in call.in_flight:
                attempt.cancel()

    def _finish(self) -> None:
        """Give up what is still open, with its reason."""
        at_deadline = self._clock.has_reached(self._ticket.deadline)
        for call in self._calls.values():
            if call.is_over:
                continue
            if at_deadline:
                call.miss = protocol.MissReason.TIMEOUT
            else:
                call.miss = protocol.MissReason.EARLY
            for attempt in call.in_flight:
                # At the deadline the upstreams stop by themselves.
                if at_deadline:
                    attempt.detach()
                else:
                    attempt.cancel()
