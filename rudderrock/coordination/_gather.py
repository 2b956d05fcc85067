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
from rudderrock.coordination import _admitted as admitted_queries
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _extra_requests as extras
from rudderrock.coordination import _merge as merge
from rudderrock.coordination import _shard_call as calls

# Delay before a hedge is tried again when all other replicas are busy.
_HEDGE_RECHECK_S = 0.002
# A check that runs this much later than planned, in seconds, shows that the
# process stalled: an event loop with spare capacity is less than 1 ms late.
_STALL_THRESHOLD_S = 0.005
# A request still unanswered after this many hedge delays is presumed lost. It
# is then sent again as a retry if the hedge budget is exhausted.
_LOST_FACTOR = 10.0
_EVENT_KINDS = {
    attempts.AttemptKind.HEDGE: state.EventKind.HEDGE,
    attempts.AttemptKind.RETRY: state.EventKind.RETRY,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatherDependencies:
    """Dependencies that all queries of a host share."""

    dispatcher: dispatch.Dispatcher
    extra_requests: extras.ExtraRequestBudgets
    settings: state.Settings
    clock: state.Clock
    rng: random.Random
    event_ring: state.EventRing


class GatherPass:
    """One pass of one query over all shards of one version."""

    def __init__(
        self,
        dependencies: GatherDependencies,
        admitted: admitted_queries.AdmittedQuery,
        placement: state.Placement,
    ):
        self._dependencies = dependencies
        self._admitted = admitted
        self._placement = placement
        self._team = state.TeamId(admitted.row.team)
        self._clock = dependencies.clock
        self._dispatcher = dependencies.dispatcher
        self._settings = dependencies.settings
        self._extra_requests = dependencies.extra_requests
        self._counters = dependencies.extra_requests.counters
        self._hedge_threshold = (
            dependencies.extra_requests.get_hedge_threshold(
                admitted.query.collection
            )
        )
        self._hedge_delay_s = self._hedge_threshold.get()
        self._reply_queue = attempts.ReplyQueue(asyncio.get_running_loop())
        self._checks = calls.CheckSchedule(dependencies.clock)
        self._attempt_numbers = itertools.count()
        self._calls: dict[state.ShardId, calls.ShardCall] = {}
        self._open_count = 0
        self._answer_count = 0
        self._version_unavailable = False
        self._wall_deadline = (
            self._clock.wall() + admitted.deadline - self._clock.now()
        )

    async def run(self, may_restart: bool) -> bool:
        """Gather answers until the time is up or no shard is left to wait for.

        A shard is closed once it has an answer or is counted as missing.

        With `may_restart`, stop and return True as soon as no replica of some
        shard can serve the version. Return False otherwise.
        """
        try:
            self._send_all()
            while self._open_count and not (
                self._version_unavailable and may_restart
            ):
                end = self._get_end_time()
                if self._clock.has_reached(end):
                    break
                until = self._checks.get_next_time(end)
                for attempt, reply in await self._reply_queue.take(until):
                    self._handle_reply(attempt, reply)
                self._run_due_checks()
        except asyncio.CancelledError:
            self._cancel_all()
            raise
        if self._version_unavailable and may_restart:
            self._cancel_all()
            return True
        self._close_remaining()
        return False

    def make_answer(self) -> protocol.Answered:
        """Return the answer merged from the accepted answers of shards."""
        return merge.make_answer(
            self._admitted.query_id,
            self._placement.version,
            self._calls,
            self._admitted.query.limit,
        )

    def _send_all(self) -> None:
        for shard in self._placement.shards:
            service = self._dispatcher.find_service(shard)
            call = calls.ShardCall(service=service)
            self._calls[shard] = call
            self._open_count += 1
            self._extra_requests.count_shard(service, self._team)
            self._send_first(call)

    def _send_first(self, call: calls.ShardCall) -> None:
        if self._close_if_unservable(call):
            return
        attempt = self._make_attempt(call, attempts.AttemptKind.FIRST)
        self._counters.first += 1
        self._dispatcher.submit(call.service, attempt)
        if self._settings.hedging.enabled:
            self._check_later(call, self._hedge_delay_s)

    def _get_end_time(self) -> float:
        """Return the loop time at which gathering ends, complete or not."""
        row = self._admitted.row
        if row.coverage_policy is state.CoveragePolicy.WAIT:
            return self._admitted.deadline
        if self._answer_count >= row.coverage * len(self._calls):
            return self._admitted.soft_deadline
        return self._admitted.deadline

    def _make_attempt(
        self,
        call: calls.ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId] = frozenset(),
    ) -> attempts.Attempt:
        number = next(self._attempt_numbers)
        request = protocol.ShardRequest(
            request_id=state.RequestId(f'{self._admitted.query_id}.{number}'),
            shard=call.service.shard,
            version=self._placement.version,
            body=self._admitted.query.body,
            limit=self._admitted.query.limit,
            deadline=self._wall_deadline,
        )
        attempt = attempts.Attempt(
            request=request,
            row=self._admitted.row,
            kind=kind,
            deadline=self._admitted.deadline,
            grace_s=self._settings.routing.exchange_grace_s,
            reply_queue=self._reply_queue,
            avoid=avoid,
        )
        call.in_flight.append(attempt)
        call.attempt_count += 1
        return attempt

    def _check_later(
        self,
        call: calls.ShardCall,
        delay_s: float,
        retry_reason: protocol.MissingReason | None = None,
    ) -> None:
        self._checks.add(call, self._clock.now() + delay_s, retry_reason)

    def _run_due_checks(self) -> None:
        for check in self._checks.pop_due():
            if check.retry_reason is not None:
                self._retry(check.call, check.retry_reason)
            elif self._should_postpone(check):
                check.call.check_postponed = True
                self._check_later(check.call, self._hedge_delay_s)
            else:
                self._hedge_if_late(check.call)

    def _should_postpone(self, check: calls.ScheduledCheck) -> bool:
        """Return whether to postpone a check because this process ran it late.

        If the process stalled, the answer may have arrived without having been
        read, and a hedge would load another replica for nothing. For example,
        three hedges were sent 2 ms before the three answers were read in 25 of
        150 queries, with 26 busy processes on 8 cores. The shard therefore
        gets the hedge delay a second time, but only once, so that a host that
        is always behind still hedges.
        """
        overdue_s = self._clock.now() - check.when
        return (
            overdue_s > _STALL_THRESHOLD_S and not check.call.check_postponed
        )

    def _hedge_if_late(self, call: calls.ShardCall) -> None:
        """Hedge the first attempt if it is late, else check again later."""
        if len(call.in_flight) != 1:
            return
        first = call.in_flight[0]
        if first.sent_at is None:
            # The attempt is still queued; a second one would be queued too.
            self._check_later(call, self._hedge_delay_s)
            return
        hedge_delay_s = self._hedge_delay_s
        if first.base_latency_s <= 0.0:
            hedge_delay_s = max(hedge_delay_s, extras.DEFAULT_HEDGE_DELAY_S)
        late_at = first.sent_at + first.base_latency_s + hedge_delay_s
        if not self._clock.has_reached(late_at):
            self._checks.add(call, late_at)
            return
        self._hedge(call, first)

    def _hedge(self, call: calls.ShardCall, first: attempts.Attempt) -> None:
        service = call.service
        if not call.found_late:
            self._record_lateness(first, True)
            call.found_late = True
        avoid = call.excluded | {first.upstream}
        if not service.has_fast_replica(
            avoid, self._settings.hedging.pause_above
        ):
            self._deny_hedge(call)
        elif self._extra_requests.can_hedge(service):
            if self._try_send(call, attempts.AttemptKind.HEDGE, avoid):
                self._extra_requests.charge_hedge(service)
        elif self._is_presumed_lost(first) and self._extra_requests.can_retry(
            service, self._team
        ):
            if self._try_send(call, attempts.AttemptKind.RETRY, avoid):
                self._extra_requests.charge_retry(service, self._team)
        else:
            self._deny_hedge(call)

    def _deny_hedge(self, call: calls.ShardCall) -> None:
        """Count a hedge that is not allowed now, and check again later."""
        self._counters.hedges_denied += 1
        self._check_later(call, self._hedge_delay_s)

    def _is_presumed_lost(self, first: attempts.Attempt) -> bool:
        """Return whether the attempt is too late to be merely slow."""
        lost_delay_s = _LOST_FACTOR * self._hedge_delay_s
        lost_at = first.sent_at + first.base_latency_s + lost_delay_s
        return self._clock.has_reached(lost_at)

    def _try_send(
        self,
        call: calls.ShardCall,
        kind: attempts.AttemptKind,
        avoid: frozenset[state.UpstreamId],
    ) -> bool:
        """Send one more attempt if a lane is free, else check again soon.

        Return whether it was sent.
        """
        attempt = self._make_attempt(call, kind, avoid)
        if self._dispatcher.try_send(call.service, attempt):
            self._record_event(attempt)
            return True
        call.in_flight.remove(attempt)
        call.attempt_count -= 1
        self._counters.sends_postponed += 1
        self._check_later(call, _HEDGE_RECHECK_S)
        return False

    def _record_lateness(
        self, attempt: attempts.Attempt, is_late: bool
    ) -> None:
        """Record whether a first attempt was late.

        Nothing is recorded while the base latency of the upstream is unknown,
        because a long network distance would then count as lateness.
        """
        if attempt.base_latency_s > 0.0:
            self._hedge_threshold.observe(is_late)
            attempt.record_lateness(is_late)

    def _handle_reply(
        self, attempt: attempts.Attempt, reply: protocol.ShardReply
    ) -> None:
        call = self._calls[attempt.request.shard]
        if attempt in call.in_flight:
            call.in_flight.remove(attempt)
        if call.is_closed:
            return
        match reply:
            case protocol.ShardAnswer():
                self._accept_answer(call, attempt, reply)
            case protocol.ShardRejected():
                self._handle_rejection(call, attempt, reply)
            case protocol.ShardLost():
                call.failed.add(attempt.upstream)
                self._retry_unless_in_flight(call, protocol.MissingReason.LOST)
            case protocol.ShardTimeout():
                self._retry_unless_in_flight(
                    call, protocol.MissingReason.TIMEOUT
                )

    def _accept_answer(
        self,
        call: calls.ShardCall,
        attempt: attempts.Attempt,
        answer: protocol.ShardAnswer,
    ) -> None:
        elapsed = self._clock.now() - attempt.sent_at
        if attempt.kind is attempts.AttemptKind.HEDGE:
            # The hedge wins if the attempt that it hedges is still unanswered.
            self._counters.hedge_wins += bool(call.in_flight)
        elif not call.found_late:
            is_late = elapsed > attempt.base_latency_s + self._hedge_delay_s
            call.service.record_answer(elapsed)
            self._record_lateness(attempt, is_late)
        call.answer = answer
        self._answer_count += 1
        self._close_call(call)

    def _handle_rejection(
        self,
        call: calls.ShardCall,
        attempt: attempts.Attempt,
        rejected: protocol.ShardRejected,
    ) -> None:
        match rejected.kind:
            case protocol.RejectionKind.VERSION:
                call.lacking_version.add(attempt.upstream)
                self._retry_unless_in_flight(
                    call, protocol.MissingReason.VERSION
                )
            case protocol.RejectionKind.LEAVING:
                call.failed.add(attempt.upstream)
                self._retry_unless_in_flight(call, protocol.MissingReason.LOST)
            case protocol.RejectionKind.SHED:
                call.failed.add(attempt.upstream)
                self._retry_unless_in_flight(
                    call, protocol.MissingReason.SHED, rejected.retry_after_s
                )
            case protocol.RejectionKind.EXPIRED:
                self._close_as_missing(call, protocol.MissingReason.TIMEOUT)
            case protocol.RejectionKind.REFUSED:
                self._close_as_missing(call, protocol.MissingReason.REFUSED)

    def _retry_unless_in_flight(
        self,
        call: calls.ShardCall,
        reason: protocol.MissingReason,
        retry_after_s: float = 0.0,
    ) -> None:
        """Retry a shard, or close it, unless an attempt for it is in flight.

        A reachable replica that has not failed is tried at once; if there is
        none, the failed ones are tried again after a pause. The shard is
        closed as missing if no retry is possible or allowed.
        """
        if call.in_flight:
            return
        if call.has_remaining_replica():
            self._retry(call, reason)
            return
        if len(call.lacking_version) == len(call.service.links):
            self._close_as_missing(call, protocol.MissingReason.VERSION)
            return
        pause_s = max(retry_after_s, self._get_backoff_s(call))
        if self._clock.now() + pause_s >= self._admitted.deadline:
            self._close_as_missing(call, reason)
            return
        call.failed.clear()
        self._check_later(call, pause_s, reason)

    def _get_backoff_s(self, call: calls.ShardCall) -> float:
        """Return the jittered pause before a retry, in seconds.

        The upper bound doubles with each attempt. The pause is drawn uniformly
        between half the bound and the bound.
        """
        max_pause_s = self._settings.retries.backoff_s * 2**call.attempt_count
        return self._dependencies.rng.uniform(0.5, 1.0) * max_pause_s

    def _retry(
        self, call: calls.ShardCall, reason: protocol.MissingReason
    ) -> None:
        retries = self._settings.retries
        if self._close_if_unservable(call):
            return
        if not retries.enabled or call.attempt_count >= retries.max_attempts:
            self._close_as_missing(call, reason)
            return
        if not self._extra_requests.can_retry(call.service, self._team):
            self._counters.retries_denied += 1
            self._close_as_missing(call, reason)
            return
        self._extra_requests.charge_retry(call.service, self._team)
        attempt = self._make_attempt(
            call, attempts.AttemptKind.RETRY, call.excluded
        )
        self._dispatcher.submit(call.service, attempt)
        self._record_event(attempt, reason.value)

    def _record_event(
        self, attempt: attempts.Attempt, detail: str = ''
    ) -> None:
        """Record the event of a hedge or a retry."""
        self._dependencies.event_ring.record(
            _EVENT_KINDS[attempt.kind],
            team=self._team,
            query=self._admitted.query_id,
            upstream=attempt.upstream,
            detail=f'{attempt.request.shard} {detail}'.rstrip(),
        )

    def _close_if_unservable(self, call: calls.ShardCall) -> bool:
        """Close a shard as missing if no replica can serve the version.

        Return whether it was closed.
        """
        if not call.service.is_reachable:
            self._close_as_missing(call, protocol.MissingReason.LOST)
            return True
        now = self._clock.now()
        if not call.service.may_hold_version(self._placement.version, now):
            self._close_as_missing(call, protocol.MissingReason.VERSION)
            return True
        return False

    def _close_as_missing(
        self, call: calls.ShardCall, reason: protocol.MissingReason
    ) -> None:
        call.missing_reason = reason
        self._version_unavailable |= reason is protocol.MissingReason.VERSION
        self._close_call(call)

    def _close_call(self, call: calls.ShardCall) -> None:
        self._open_count -= 1
        for attempt in call.in_flight:
            attempt.cancel()
        call.in_flight.clear()

    def _cancel_all(self) -> None:
        """Cancel all attempts, queued or sent."""
        for call in self._calls.values():
            for attempt in call.in_flight:
                attempt.cancel()

    def _close_remaining(self) -> None:
        """Close the shards that have no answer yet as missing."""
        at_deadline = self._clock.has_reached(self._admitted.deadline)
        for call in self._calls.values():
            if call.is_closed:
                continue
            if at_deadline:
                call.missing_reason = protocol.MissingReason.TIMEOUT
            else:
                call.missing_reason = protocol.MissingReason.EARLY
            for attempt in call.in_flight:
                # Upstreams stop at the deadline by themselves, so the
                # connection stays open.
                if at_deadline:
                    attempt.detach()
                else:
                    attempt.cancel()
