"""Calls to one service, with retries and a hedge."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import functools

from rudderrock import core
from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.decisions import _repeats as repeats
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.decisions import _retry_plan as retry_plan
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.forwarding import _budget_wait as budget_wait
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _records as records
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _link as link
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _verdicts as verdicts

# How long an attempt may continue after another attempt has answered. Closing
# its connection at once would cost the upstream a new handshake.
ABANDONED_TIMEOUT_S = 0.3
NO_UPSTREAM = 'no upstream is registered'
QUARANTINED = 'quarantined: upstreams crashed while handling it'
# Delay of a retry that is sent only if the query goes on after its goal.
AFTER_GOAL_S = 0.001
NOT_AFTER_GOAL = 'not retried after the latency goal'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One exchange with one replica, started at loop time `started_at`."""

    replica: replicas.Replica
    exchange: link.Exchange
    started_at: float

    def describe(self, now: float) -> str:
        """Return the upstream and the time in ms since the attempt started."""
        sent = '' if self.exchange.sent_at is not None else ', not sent'
        waited_ms = 1000 * (now - self.started_at)
        return f'{self.replica.endpoint.upstream} {waited_ms:.0f} ms{sent}'


class PartFailure(enum.Enum):
    """Why a part run by another host has no answer for a service."""

    NO_ANSWER = 'lacking'
    # No replica has run the request.
    NOT_RUN = 'not run'
    # The other host has not tried all replicas, because the request may crash
    # them.
    HELD_BACK = 'held'
    LOST = 'lost'


class ServiceCall:
    """The call to one service on behalf of a request.

    After `start`, `on_settled` is called once, unless the call is aborted.
    Before that, `on_wait` is called whenever a retry is put off. There are
    three cases when the call has settled:

    - `answer` is set.
    - `is_in_part` is set: another host was asked for a part of the query, and
      the answer is merged into that part.
    - The call has failed; `failure`, `may_have_run` and `detail` describe how.
    """

    def __init__(
        self,
        context: calls.ForwardingContext,
        call: calls.Call,
        service: routing.ServiceName,
        on_settled: Callable[['ServiceCall'], None],
        on_wait: Callable[[], None] = lambda: None,
    ):
        self.service = service
        self.answer: messages.Reply | None = None
        self.failure: messages.Reply | None = None
        self.may_have_run = call.may_have_run_elsewhere
        # Size of the body of the answer as it was received.
        self.received_bytes = 0
        self.was_cancelled = False
        # Upstreams that were processing the call when it was aborted.
        self.unanswered: tuple[core.UpstreamId, ...] = ()
        self.detail = ''
        self.sent = 0
        # Extra attempts that were sent, and those that the budget denied.
        self.extras = 0
        self.denied = 0
        # Attempts whose connection ended after they were sent.
        self.lost = 0
        self.is_late = False
        self.is_in_part = False
        # Whether the call was delegated to another host, also after that host
        # has returned its part. `is_delegated` ends when the part is returned.
        self.was_delegated = False
        self.settled = False
        self.winner: replicas.Replica | None = None
        self._context = context
        self._call = call
        self._on_settled = on_settled
        self._on_wait = on_wait
        self._attempts: list[Attempt] = []
        self._delegated_replica: replicas.Replica | None = None
        self._tried: tuple[core.UpstreamId, ...] = ()
        self._used_links: set[link.Link] = set()
        self._unsent_count = 0
        # Attempts that were rejected, and delays before retries.
        self._rejected_count = 0
        self._pause_count = 0
        # Failure that led to the latest delay before a retry.
        self._last_failure: retry_plan.Failure | None = None
        self._repeat = repeats.RepeatKind.NONE
        self._timer: asyncio.TimerHandle | None = None
        self._budget = context.get_budget(service)
        self._budget_wait = budget_wait.BudgetWait(
            context.loop, self._budget, context.counters
        )
        self._is_idempotent = call.route.repeat is routing.Repeat.IDEMPOTENT

    @property
    def is_in_flight(self) -> bool:
        """Return whether an upstream may be processing the call."""
        return self.is_delegated or any(
            attempt.exchange.sent_at is not None for attempt in self._attempts
        )

    @property
    def budget_wait_s(self) -> float:
        """Return for how long retries have waited for the budget."""
        return self._budget_wait.total_s

    @property
    def has_answer(self) -> bool:
        """Return whether there is an answer, directly or in a part."""
        return self.answer is not None or self.is_in_part

    @property
    def is_delegated(self) -> bool:
        """Return whether another host is still processing the call."""
        return self._delegated_replica is not None

    def explain(self) -> str:
        """Return why there is no answer, with the silent upstreams."""
        if not self.unanswered:
            return self.detail or 'no answer in time'
        late = f'no answer in time from {", ".join(self.unanswered)}'
        return f'{self.detail}; {late}' if self.detail else late

    def describe_wait(self) -> str:
        """Return the service and the upstreams that have not answered yet."""
        now = self._context.loop.time()
        if self._delegated_replica is not None:
            return f'{self.service}: delegated to another host'
        attempts = [each.describe(now) for each in self._attempts]
        return f'{self.service}: {", ".join(attempts) or self.detail}'

    def may_answer_by(self, time: float) -> bool:
        """Return whether an answer may come by a loop time.

        That is not expected of a retry that is put off, unless the attempt
        before it was rejected.
        """
        if self._timer is None:
            return not self.settled
        was_rejected = self._last_failure is retry_plan.Failure.REJECTED
        return was_rejected and self._timer.when() < time

    @property
    def _run_count(self) -> int:
        """Return how many attempts may have run."""
        return self.sent - self._rejected_count

    @property
    def _is_late(self) -> bool:
        """Return whether the call can't be answered in time any more."""
        call = self._call
        return call.is_patient and self._context.loop.time() >= call.goal_at

    def start(self) -> None:
        """Send the first attempt as soon as the canary allows it."""
        self._run_when_allowed(self._send_first)

    def _run_when_allowed(self, send_attempt: Callable[[], None]) -> None:
        """Send an attempt when the canary allows it, or fail the call.

        Every first attempt and every retry must use this method. Without this
        check, copies of a single request crashed 146 upstreams within a
        minute (a query over 20 shards on seven hosts).
        """
        if self.settled:
            return
        match self._call.canary.decide():
            case canary.SendDecision.SEND:
                send_attempt()
            case canary.SendDecision.WAIT:
                self._call.canary.wait(
                    canary.WaitingAttempt(
                        resume=functools.partial(
                            self._run_when_allowed, send_attempt
                        ),
                        send=functools.partial(
                            self._send_canary, send_attempt
                        ),
                        count_live=self.count_live,
                    )
                )
            case canary.SendDecision.STOP:
                self._fail(QUARANTINED)

    def _send_canary(self, send_attempt: Callable[[], None]) -> None:
        if not self.settled:
            send_attempt()

    def count_live(self) -> int:
        """Return the number of upstreams of the service known to be alive."""
        return self._context.selector.count_live(
            self.service, self._call.route.residency
        )

    def _send_first(self) -> None:
        replica = self._choose()
        if replica is None and self._call.may_have_run_elsewhere:
            self._fail(NO_UPSTREAM)
        elif replica is None:
            self.detail = NO_UPSTREAM
            if self._call.is_patient:
                self._budget.count_request()
            self._retry(retry_plan.Failure.UNREACHABLE)
        elif not self._call.may_have_run_elsewhere:
            self._budget.count_request()
            self._context.counters.first_attempts += 1
            self._send(replica)
        elif self._has_attempts_for_all() and self._try_spend_extra():
            self._context.counters.retries += 1
            self._send(replica)
        else:
            self._fail('retry denied by attempt limit or budget')

    def start_delegated(self, replica: replicas.Replica) -> None:
        """Mark the call as delegated to a host in a replica's zone.

        That host counts the request in its own budget and sends hedges.
        """
        self.was_delegated = True
        self.sent = 1
        self._tried = (replica.endpoint.upstream,)
        self._delegated_replica = replica

    def start_locally(self) -> None:
        """Send the first attempt from this host; no other host started it."""
        self._delegated_replica = None
        self.was_delegated = False
        self.sent = 0
        self._tried = ()
        self.start()

    def settle_from_part(self) -> None:
        """Settle the call with the answer in another host's part."""
        self.is_in_part = True
        self._call.canary.record_survival()
        self.winner, self._delegated_replica = self._delegated_replica, None
        self.winner.record_success()
        self._settle()

    def handle_part_failure(
        self, detail: str, part_failure: PartFailure
    ) -> None:
        """Fail or retry after a part without an answer for this service.

        With `NO_ANSWER` the other host has tried all replicas until the
        latency goal, so the call fails unless it is patient. Else it is
        retried if the route allows an attempt at each replica. With `NOT_RUN`
        a patient call is retried in any case. The number of
        attempts that the other host made for a lost part is unknown, but at
        most the number of replicas.
        A missing interim reply does not show that it made none, because the
        interim reply can be late on a slow link.
        """
        replica, self._delegated_replica = self._delegated_replica, None
        self.detail = detail
        if part_failure is PartFailure.NOT_RUN and self._call.is_patient:
            self._rejected_count += 1
            self._retry_after_part(retry_plan.Failure.REJECTED)
            return
        self.may_have_run = True
        if part_failure in (PartFailure.NO_ANSWER, PartFailure.NOT_RUN):
            replica.record_failure()
            if self._call.is_patient and self._has_attempts_for_all():
                self._retry_after_part(retry_plan.Failure.MAY_HAVE_RUN)
            else:
                self._fail(detail)
            return
        if self._has_attempts_for_all():
            self._tried = ()
            self._retry_when_allowed(retry_plan.Failure.MAY_HAVE_RUN)
        else:
            self._fail(detail)

    def _retry_after_part(self, failure: retry_plan.Failure) -> None:
        """Retry now if the upstreams have room and the time is enough.

        Else the retry waits until the latency goal has passed, and is sent if
        the query lacks answers then.
        """
        left_s = self._call.goal_at - self._context.loop.time()
        is_rejected = failure is retry_plan.Failure.REJECTED
        if left_s > 0 and not (
            is_rejected and left_s > self._call.late_after_s
        ):
            self._put_off(failure, left_s + AFTER_GOAL_S)
            return
        self._tried = ()
        self._retry_when_allowed(failure)

    def _has_attempts_for_all(self) -> bool:
        """Return whether the route allows an attempt at each ready replica."""
        ready = self._context.selector.list_ready(
            self.service, self._call.route.residency
        )
        return len(ready) <= self._call.route.max_attempts

    def skip(self, detail: str) -> None:
        """Settle the call without sending an attempt."""
        self.detail = detail
        self.settled = True

    def hedge(self) -> None:
        """Send a second attempt because the first one is late.

        This requires that the call is idempotent, that a healthy replica is
        left, and that the canary and the budget allow it. A first attempt
        that is still queued is moved to the other replica instead.
        """
        if self.settled or not self._attempts or not self._is_idempotent:
            return
        if self._call.canary.decide() is not canary.SendDecision.SEND:
            return
        now = self._context.loop.time()
        slow = self._attempts[0]
        slow.replica.record_failure()
        other = self._choose()
        if other is None or other.is_suspect(now, self._call.late_after_s):
            return
        if slow.replica.links.withdraw(slow.exchange):
            self._attempts.remove(slow)
            self.sent -= 1
            self._send(other)
            self._call.canary.record_inconclusive()
        elif self._try_spend_extra():
            self._context.counters.hedges += 1
            self._send(other)

    def detach(self) -> None:
        """Forget the callbacks; the call is over.

        Their owner refers to this call, whose answer may be large, so both
        would otherwise live until a collection of cycles.
        """
        self._on_settled = lambda settled: None
        self._on_wait = lambda: None

    def abort(self) -> None:
        """Cancel all attempts by closing their connections."""
        self.settled = True
        self._cancel_timer()
        self.was_cancelled = self.is_in_flight
        self.unanswered = tuple(
            attempt.replica.endpoint.upstream
            for attempt in self._attempts
            if attempt.exchange.sent_at is not None
        )
        for attempt in self._attempts:
            attempt.replica.links.cancel(attempt.exchange)
        self._attempts.clear()

    def _choose(self) -> replicas.Replica | None:
        return self._context.selector.choose(
            self.service,
            self._call.route.residency,
            self._call.late_after_s,
            self._tried,
        )

    def _try_spend_extra(self) -> bool:
        """Spend one extra request from the budget.

        Return False if the route or the budget does not allow it.
        """
        if not self._may_run_again():
            return False
        if self._budget.try_spend(self._is_late, self._repeat):
            self.extras += 1
            return True
        self._record_denied()
        return False

    def _may_run_again(self) -> bool:
        """Return whether the route allows another attempt.

        Rejected attempts of a call that is not patient count like others.
        """
        count = self._run_count if self._call.is_patient else self.sent
        return count < self._call.route.max_attempts

    def _record_denied(self) -> None:
        self.denied += 1
        self._context.counters.extras_denied += 1

    def _send(self, replica: replicas.Replica) -> None:
        call = self._call
        context = self._context
        upstream = replica.endpoint.upstream
        if upstream not in self._tried:
            self._tried = (*self._tried, upstream)
        exchange = link.Exchange(
            call.request_id,
            lambda: call.render(upstream, context.names, context.loop.time()),
            lambda done, outcome: self._on_outcome(attempt, outcome),
            is_head_request=call.request.method == b'HEAD',
            needs_recent_connection=not self._is_idempotent,
            used_links=self._used_links,
            budget=context.byte_budget,
            owner=call.team_id or self.service,
        )
        attempt = Attempt(replica, exchange, context.loop.time())
        self._attempts.append(attempt)
        self.sent += 1
        call.canary.record_sent()
        context.selector.record_sent(replica.endpoint)
        replica.links.submit(exchange)

    def _on_outcome(self, attempt: Attempt, outcome: link.Outcome) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)
        verdict = verdicts.classify_outcome(outcome, self._context.names)
        self._update_canary(attempt, verdict, outcome)
        match verdict:
            case verdicts.Verdict.ANSWER:
                attempt.replica.record_success()
                self.received_bytes = len(outcome.body)
                self.answer = self._trim(outcome)
                self.winner = attempt.replica
                self._settle()
                return
            case verdicts.Verdict.FAILURE:
                self.may_have_run = True
                self._keep_failure(outcome)
                if outcome.status < 500:
                    self._settle()
                    return
                attempt.replica.record_failure()
            case verdicts.Verdict.REJECTED:
                attempt.replica.record_failure(replicas.SHED_AVOID_S)
                self._rejected_count += 1
            case verdicts.Verdict.MISDIRECTED:
                attempt.replica.record_misdirected()
                self._rejected_count += 1
            case (
                verdicts.Verdict.UNIDENTIFIED
                | verdicts.Verdict.INVALID_REPLY
                | verdicts.Verdict.LOST
            ):
                self.may_have_run = True
                self.lost += verdict is verdicts.Verdict.LOST
                attempt.replica.record_failure()
            case verdicts.Verdict.UNSENT:
                attempt.replica.record_failure(replicas.UNREACHABLE_AVOID_S)
                self.sent -= 1
                self._unsent_count += 1
        self.detail = verdicts.describe_outcome(verdict, outcome)
        if not self._attempts:
            if self.may_have_run and not self._is_idempotent:
                self._fail(self.detail)
            else:
                self._retry_when_allowed(_classify_failure(verdict))

    def _trim(self, reply: messages.Reply) -> messages.Reply:
        """Return what a large answer adds to a query over shards.

        The answers of all shards are kept until the last one has come.
        """
        if reply.holding is None:
            return reply
        match self._call.route.target:
            case routing.Scatter(top_k=top_k):
                stamp = self._context.names.stamp
                return messages.Reply(
                    reply.status,
                    [(stamp, reply.get_header(stamp))],
                    records.keep_greatest(reply.body, top_k),
                )
        return reply

    def _keep_failure(self, reply: messages.Reply) -> None:
        """Keep a failure during retries, as long as there is room."""
        self.failure = reply
        if reply.holding is not None:
            reply.holding.set_evict(self._drop_failure)

    def _drop_failure(self) -> None:
        self.failure = None

    def _update_canary(
        self,
        attempt: Attempt,
        verdict: verdicts.Verdict,
        outcome: link.Outcome,
    ) -> None:
        """Report to the canary whether the upstream survived the attempt."""
        call_canary = self._call.canary
        match verdict:
            case verdicts.Verdict.LOST if not call_canary.is_answered:
                call_canary.record_lost()
                endpoint = attempt.replica.endpoint
                self._context.checker.check(
                    endpoint.address,
                    functools.partial(
                        call_canary.record_checked, endpoint.incarnation
                    ),
                )
            case verdicts.Verdict.ANSWER:
                call_canary.record_answer()
            case verdicts.Verdict.FAILURE if _is_signed(
                outcome, self._context.names
            ):
                call_canary.record_answer()
            case _:
                call_canary.record_inconclusive()

    def _retry_when_allowed(self, failure: retry_plan.Failure) -> None:
        self._run_when_allowed(functools.partial(self._retry, failure))

    def _retry(self, failure: retry_plan.Failure) -> None:
        """Send another attempt now or later, or fail the call."""
        other = self._choose()
        self._update_repeat(other)
        wait_s = 0.0
        if self.sent:
            wait_s = self._budget.get_wait_s(self._is_late, self._repeat)
        match self._plan_retry(failure, other, wait_s):
            case retry_plan.SendNow():
                self._resend(other)
            case retry_plan.SendLater(delay_s=delay_s):
                is_repeat = self._repeat is not repeats.RepeatKind.NONE
                if other is not None or (is_repeat and wait_s > 0):
                    self._budget_wait.begin()
                self._put_off(failure, delay_s)
            case retry_plan.GiveUp(reason=''):
                self._fail(self.detail)
            case retry_plan.GiveUp(reason=retry_plan.NO_BUDGET_SOON as reason):
                self._context.counters.budget_refusals += 1
                self._fail(f'{self.detail}, {reason}')
            case retry_plan.GiveUp(reason=reason):
                self._fail(f'{self.detail}, {reason}')

    def _update_repeat(self, other: replicas.Replica | None) -> None:
        """Record that attempts are repeats once no upstream is untried."""
        if (
            other is not None
            or not self._tried
            or self._repeat is not repeats.RepeatKind.NONE
        ):
            return
        match self._call.route.target:
            case routing.Scatter():
                return
        digest = self._call.get_digest(self._context.names)
        was_refused = self._context.refused_requests.take(digest)
        self._repeat = (
            repeats.RepeatKind.RETURNED
            if was_refused
            else repeats.RepeatKind.FIRST
        )

    def _get_max_budget_wait_s(self) -> float | None:
        """Return how long a wait for the budget is worth from now on."""
        call = self._call
        limit_s = repeats.get_wait_limit_s(
            self._repeat, call.route.goal_s, results.RETRY_AFTER_S
        )
        if limit_s is None:
            return None
        return call.request.arrived + limit_s - self._context.loop.time()

    def _plan_retry(
        self,
        failure: retry_plan.Failure,
        other: replicas.Replica | None,
        wait_s: float,
    ) -> retry_plan.Decision:
        """Return what follows; the budget allows an attempt in `wait_s`."""
        call = self._call
        candidates = retry_plan.Candidates.UNTRIED
        if other is None:
            candidates = (
                retry_plan.Candidates.TRIED
                if self._tried
                else retry_plan.Candidates.NONE
            )
        if wait_s and other is not None and self._may_run_again():
            self._record_denied()
        # A hash varies the delays without a source of randomness of its own.
        seed = call.request_id + self.service.encode()
        return retry_plan.plan_retry(
            retry_plan.Progress(
                failure,
                candidates,
                call.is_patient,
                runs=self._run_count if call.is_patient else self.sent,
                max_attempts=call.route.max_attempts,
                unsent=self._unsent_count,
                pauses=self._pause_count,
                left_s=call.get_retry_time_s(self._context.loop.time()),
                budget_wait_s=wait_s,
                max_budget_wait_s=self._get_max_budget_wait_s(),
                jitter=fleet.rank_name(seed) % 201 / 100 - 1,
            )
        )

    def _put_off(self, failure: retry_plan.Failure, delay_s: float) -> None:
        self._pause_count += 1
        self._last_failure = failure
        self._timer = self._context.loop.call_later(
            delay_s, self._retry_any, failure
        )
        self._on_wait()

    def _retry_any(self, failure: retry_plan.Failure) -> None:
        """Retry at any replica, including those tried before."""
        self._cancel_timer()
        self._tried = ()
        self._retry_when_allowed(failure)

    def _resend(self, replica: replicas.Replica) -> None:
        if self.sent == 0:
            # No upstream has received the request, so this is no extra one.
            self._send(replica)
        elif self._try_spend_extra():
            self._context.counters.retries += 1
            self._send(replica)
        else:
            self._fail(self.detail)

    def end_wait(self) -> None:
        """Fail the call if its next attempt was put off."""
        if self._timer is not None:
            self._fail(f'{self.detail}, {NOT_AFTER_GOAL}')

    def _fail(self, detail: str) -> None:
        self.detail = detail
        self._settle()

    def _settle(self) -> None:
        self.settled = True
        self._cancel_timer()
        for attempt in self._attempts:
            links = attempt.replica.links
            links.abandon(attempt.exchange, ABANDONED_TIMEOUT_S)
        left = len(self._attempts)
        self._attempts.clear()
        for _ in range(left):
            self._call.canary.record_inconclusive()
        self._on_settled(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._budget_wait.end()


def _classify_failure(verdict: verdicts.Verdict) -> retry_plan.Failure:
    match verdict:
        case verdicts.Verdict.UNSENT:
            return retry_plan.Failure.UNREACHABLE
        case verdicts.Verdict.REJECTED | verdicts.Verdict.MISDIRECTED:
            return retry_plan.Failure.REJECTED
    return retry_plan.Failure.MAY_HAVE_RUN


def _is_signed(outcome: link.Outcome, names: header_names.HeaderNames) -> bool:
    """Return whether a reply carries the stamp of the upstream."""
    match outcome:
        case messages.Reply() as reply:
            return reply.get_header(names.stamp) is not None
    return False
