"""One pass of a query over all shards of one index version.

A single task sends one request to each shard, hedges late requests, retries
failed ones where that is safe, and computes coverage from the accepted
answers.
"""

import asyncio
import dataclasses
import itertools
import random

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _extra as extras
from rudderrock.coordination import _merge as merge
from rudderrock.coordination import _shard_call as calls
from rudderrock.coordination import _ticket as tickets

# Delay before another hedge when all other replicas are busy.
_HEDGE_AGAIN_S = 0.002
# A check that runs this much later than planned, in seconds, shows that the
# process stalled: an event loop with spare capacity is less than 1 ms late.
_STALL_S = 0.005
# A request still unanswered after this many hedge delays is hedged from the
# retry budget if the hedge budget is exhausted.
_LOST_AFTER = 10.0
_EVENTS = {
    attempts.AttemptKind.HEDGE: state.EventKind.HEDGE,
    attempts.AttemptKind.RETRY: state.EventKind.RETRY,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatherParts:
    """Dependencies that all queries of a host share."""

    dispatcher: dispatch.Dispatcher
    extra: extras.ExtraRequests
    settings: state.Settings
    clock: state.Clock
    source: random.Random
    ring: state.EventRing


class Gathering:
    """One pass of one query over all shards of one version."""

    def __init__(
        self,
        parts: GatherParts,
        ticket: tickets.QueryTicket,
        placement: state.Placement,
    ):
        self._parts = parts
        self._ticket = ticket
        self._placement = placement
        self._team = state.TeamId(ticket.row.team)
        self._clock = parts.clock
        self._dispatcher = parts.dispatcher
        self._settings = parts.settings
        self._extra = parts.extra
        self._counters = parts.extra.counters
        self._late_point = parts.extra.find_late_point(ticket.query.collection)
        self._patience_s = self._late_point.get()
        self._mailbox = attempts.Mailbox(asyncio.get_running_loop())
        self._agenda = calls.Agenda(parts.clock)
        self._numbers = itertools.count()
        self._calls: dict[state.ShardId, calls.ShardCall] = {}
        self._open = 0
        self._answered = 0
        self._gone = False
        self._wall_deadline = (
            self._clock.wall() + ticket.deadline - self._clock.now()
        )

    async def run(self, may_restart: bool) -> bool:
        """Gather answers until all shards are closed or the time is up.

        With `may_restart`, stop and return True as soon as some shard can no
        longer serve the version. Return False otherwise.
        """
        try:
            self._start()
            while self._open and not (self._gone and may_restart):
                end = self._get_end()
                if self._clock.has_reached(end):
                    break
                until = self._agenda.get_next_time(end)
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
        """Return the answer merged from the accepted answers of shards."""
        return merge.make_answer(
            self._ticket.query_id,
            self._placement.version,
            self._calls,
            self._ticket.query.limit,
        )

    def _start(self) -> None:
        for shard in self._placement.shards:
            service = self._dispatcher.find_service(shard)
            call = calls.ShardCall(service=service)
            self._calls[shard] = call
            self._open += 1
            self._extra.earn(service, self._team)
            self._send_first(call)

    def _send_first(self, call: calls.ShardCall) -> None:
        if self._miss_if_unservable(call):
            return
        attempt = self._make_attempt(call, attempts.AttemptKind.FIRST)
        self._counters.first += 1
        self._dispatcher.submit(call.service, attempt)
        if self._settings.hedging.enabled:
            self._look_later(call, self._patience_s)

    def _get_end(self) -> float:
        """Return the loop time at which gathering ends, complete or not."""
        row = self._ticket.row
        if row.coverage_policy is state.CoveragePolicy.WAIT:
            return self._ticket.deadline
        if self._answered >= row.coverage * len(self._calls):
            return self._ticket.soft_deadline
        return self._ticket.deadline

    def _make_attempt(
        self,
        call: calls.ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId] = frozenset(),
    ) -> attempts.Attempt:
        number = next(self._numbers)
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
        call: calls.ShardCall,
        delay_s: float,
        retry: protocol.MissReason | None = None,
    ) -> None:
        self._agenda.add(call, self._clock.now() + delay_s, retry)

    def _look_at_due(self) -> None:
        for due in self._agenda.take_due():
            if due.retry is not None:
                self._retry(due.call, due.retry)
            elif self._has_stood_still(due):
                due.call.excused = True
                self._look_later(due.call, self._patience_s)
            else:
                self._consider_hedge(due.call)

    def _has_stood_still(self, due: calls.Due) -> bool:
        """Return whether this process, rather than the upstream, may be late.

        If the process stalled, the answer may have arrived without having been
        read, and a hedge would load another replica for nothing. With 26 busy
        processes on 8 cores, three hedges were sent 2 ms before the three
        answers were read, in 25 of 150 queries. The shard therefore gets the
        hedge delay a second time, but only once, so that a host that is always
        behind still hedges.
        """
        late_s = self._clock.now() - due.when
        return late_s > _STALL_S and not due.call.excused

    def _consider_hedge(self, call: calls.ShardCall) -> None:
        """Hedge the first attempt if it is late, else check again later."""
        if len(call.in_flight) != 1:
            return
        first = call.in_flight[0]
        if first.sent_at is None:
            # The attempt is still queued; a second one would be queued too.
            self._look_later(call, self._patience_s)
            return
        patience_s = self._patience_s
        if first.base_s <= 0.0:
            patience_s = max(patience_s, extras.UNKNOWN_PATIENCE_S)
        late_at = first.sent_at + first.base_s + patience_s
        if not self._clock.has_reached(late_at):
            self._agenda.add(call, late_at)
            return
        self._hedge(call, first)

    def _hedge(self, call: calls.ShardCall, first: attempts.Attempt) -> None:
        service = call.service
        if not call.hedged:
            self._note_late(first, True)
            call.hedged = True
        avoid = call.tried | {first.upstream}
        if not service.can_hedge(avoid, self._settings.hedging.pause_above):
            self._deny_hedge(call)
        elif self._extra.can_hedge(service):
            if self._try_now(call, attempts.AttemptKind.HEDGE, avoid):
                self._extra.pay_hedge(service)
        elif self._is_as_good_as_lost(first) and self._extra.can_retry(
            service, self._team
        ):
            if self._try_now(call, attempts.AttemptKind.RETRY, avoid):
                self._extra.pay_retry(service, self._team)
        else:
            self._deny_hedge(call)

    def _deny_hedge(self, call: calls.ShardCall) -> None:
        self._counters.hedges_denied += 1
        self._look_later(call, self._patience_s)

    def _is_as_good_as_lost(self, first: attempts.Attempt) -> bool:
        """Return whether the attempt is too late to be only a straggler."""
        patience_s = _LOST_AFTER * self._patience_s
        lost_at = first.sent_at + first.base_s + patience_s
        return self._clock.has_reached(lost_at)

    def _try_now(
        self,
        call: calls.ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId],
    ) -> bool:
        """Send one more attempt if a lane is free, else check again soon.

        Return whether it was sent.
        """
        attempt = self._make_attempt(call, kind, avoid)
        if self._dispatcher.try_now(call.service, attempt):
            self._record(attempt)
            return True
        call.in_flight.remove(attempt)
        call.tries -= 1
        self._counters.hedges_waiting += 1
        self._look_later(call, _HEDGE_AGAIN_S)
        return False

    def _note_late(self, attempt: attempts.Attempt, late: bool) -> None:
        """Record whether a first attempt was late.

        Nothing is recorded while the least latency of the upstream is unknown,
        because a long network distance would then count as lateness.
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
        call: calls.ShardCall,
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
        self._answered += 1
        self._close(call)

    def _handle_rejection(
        self,
        call: calls.ShardCall,
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
        call: calls.ShardCall,
        reason: protocol.MissReason,
        retry_after_s: float = 0.0,
    ) -> None:
        """Retry a shard unless another attempt for it is in flight.

        Another replica is tried at once. If none is left, the same replicas
        are tried again after a pause.
        """
        if call.in_flight:
            return
        if call.has_untried():
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

    def _get_backoff_s(self, call: calls.ShardCall) -> float:
        """Return a pause in seconds with jitter; it doubles per attempt.

        The pause is drawn uniformly from the upper half of the backoff.
        """
        longest = self._settings.retries.backoff_s * 2**call.tries
        return self._parts.source.uniform(0.5, 1.0) * longest

    def _retry(
        self, call: calls.ShardCall, reason: protocol.MissReason
    ) -> None:
        retries = self._settings.retries
        if self._miss_if_unservable(call):
            return
        if not retries.enabled or call.tries >= retries.max_attempts:
            self._miss(call, reason)
            return
        if not self._extra.can_retry(call.service, self._team):
            self._counters.retries_denied += 1
            self._miss(call, reason)
            return
        self._extra.pay_retry(call.service, self._team)
        attempt = self._make_attempt(
            call, attempts.AttemptKind.RETRY, call.tried
        )
        self._dispatcher.submit(call.service, attempt)
        self._record(attempt, reason.value)

    def _record(self, attempt: attempts.Attempt, detail: str = '') -> None:
        """Record the event of a hedge or a retry."""
        self._parts.ring.record(
            _EVENTS[attempt.kind],
            team=self._team,
            query=self._ticket.query_id,
            upstream=attempt.upstream,
            detail=f'{attempt.request.shard} {detail}'.rstrip(),
        )

    def _miss_if_unservable(self, call: calls.ShardCall) -> bool:
        """Close a shard as missing if no replica can serve the version.

        Return whether it was closed.
        """
        if not call.service.is_reachable:
            self._miss(call, protocol.MissReason.LOST)
            return True
        now = self._clock.now()
        if not call.service.can_serve(self._placement.version, now):
            self._miss(call, protocol.MissReason.VERSION)
            return True
        return False

    def _miss(
        self, call: calls.ShardCall, reason: protocol.MissReason
    ) -> None:
        call.miss = reason
        self._gone |= reason is protocol.MissReason.VERSION
        self._close(call)

    def _close(self, call: calls.ShardCall) -> None:
        self._open -= 1
        for attempt in call.in_flight:
            attempt.cancel()
        call.in_flight.clear()

    def _cancel_all(self) -> None:
        """Abort all attempts in flight by closing their connections."""
        for call in self._calls.values():
            for attempt in call.in_flight:
                attempt.cancel()

    def _finish(self) -> None:
        """Mark the shards that are still open as missing."""
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
