"""Sending one call to its services until enough of them have answered."""

import asyncio
import dataclasses

from rudderrock import core
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _topology as topology
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _parts as parts
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.forwarding import _service_call as service_call
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages

# Target fraction of first attempts that are late and therefore hedged. It
# keeps hedges well within the budget of extra requests.
HEDGE_FRACTION = 0.05
# Initial value and bounds of the hedge threshold, as fractions of the goal.
THRESHOLD_START_FRACTION = 0.3
THRESHOLD_MIN_FRACTION = 0.12
THRESHOLD_MAX_FRACTION = 0.4
# If more than this fraction of a query's shards is late at once, the cause is
# common (this host's link, or all upstreams are slow) and hedges would make it
# worse. The check is repeated after `RECHECK_FRACTION` of the goal.
COMMON_CAUSE_FRACTION = 0.3
RECHECK_FRACTION = 0.08
# A repeated check, and the hedges it sends, must start before this fraction of
# the goal.
HEDGE_CUTOFF_FRACTION = 0.6
# An answer is sent this long before the goal or the deadline. The margin
# covers the network time in both directions, which the caller's clock
# includes, and delays on a busy core. With 12 ms a third more answers were
# late. With 23 ms the loss from abandoned shards outweighed the additional
# answers in time (docs/benchmarks.md, figures of thresholds).
REPLY_MARGIN_S = 0.018


class HedgeThresholds:
    """Holds for each route the latency above which an attempt is late.

    If the goal of a route changes, its threshold starts again at the initial
    value, because the goal bounds the threshold.
    """

    def __init__(self) -> None:
        self._thresholds: dict[
            tuple[routing.RouteName, float], core.HedgeThreshold
        ] = {}

    def get(self, route: routing.Route) -> core.HedgeThreshold:
        """Return the hedge threshold of a route."""
        key = (route.name, route.goal_s)
        threshold = self._thresholds.get(key)
        if threshold is None:
            threshold = core.HedgeThreshold(
                HEDGE_FRACTION,
                initial_s=THRESHOLD_START_FRACTION * route.goal_s,
                min_s=THRESHOLD_MIN_FRACTION * route.goal_s,
                max_s=THRESHOLD_MAX_FRACTION * route.goal_s,
            )
            self._thresholds[key] = threshold
        return threshold


@dataclasses.dataclass(frozen=True, slots=True)
class WholeQuery:
    """Scope of a call to all services of a query; `total` is their number.

    Once the latency goal is reached, `min_answers` answers are enough.
    """

    total: int
    min_answers: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPart:
    """Scope of a call to some services of a query that another host runs.

    `total` counts all services of the query. Once the latency goal is
    reached, `min_answers` answers are enough. A part with fewer answers is
    sent later, because they are still useful to the other host.
    """

    total: int
    min_answers: int


QueryScope = WholeQuery | QueryPart


class Forwarder:
    """Sends one call to all its services and waits for the answers.

    `run` awaits a single future, which outcomes and timers complete. With a
    `delegation`, a host in another zone queries the services whose nearest
    upstreams are in that zone. One message to it covers many services.
    """

    def __init__(
        self,
        context: calls.ForwardingContext,
        call: calls.Call,
        services: tuple[routing.ServiceName, ...],
        threshold: core.HedgeThreshold,
        scope: QueryScope,
        delegation: delegate.Delegation | None = None,
    ):
        self.service_calls = [
            service_call.ServiceCall(
                context, call, service, self._on_settled, self._on_wait
            )
            for service in services
        ]
        self.parts: list[parts.Part] = []
        self.timed_out = False
        # Description of the missing services, if there were too many of them
        # when the latency goal was reached.
        self.waited_for = ''
        self._context = context
        self._call = call
        self._threshold = threshold
        self._scope = scope
        self._delegation = delegation
        self._open_count = len(services)
        self._failed_count = 0
        self._late_recorded = False
        # Whether the call is one of the host's late requests.
        self._is_late_request = False
        # Whether a retry was put off.
        self._has_waited = False
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: list[asyncio.Task] = []
        self._finished: asyncio.Future[None] = context.loop.create_future()

    async def run(self) -> None:
        """Run the call until it has enough answers, fails or expires."""
        if not self.service_calls or self._skip_if_unsatisfiable():
            return
        loop = self._context.loop
        call = self._call
        self._timers = [
            loop.call_at(loop.time() + call.late_after_s, self._on_late),
            loop.call_at(min(call.goal_at, call.expires_at), self._on_goal),
            loop.call_at(call.expires_at, self._time_out),
        ]
        try:
            self._start()
            await self._finished
        finally:
            for timer in self._timers:
                timer.cancel()
            for task in self._tasks:
                task.cancel()
            if self._is_late_request:
                self._context.late_requests.remove(self._end_waits)
            for each in self.service_calls:
                if not each.settled:
                    each.abort()
                each.detach()
            call.canary.finish()

    def count_answers(self) -> int:
        """Return how many services have answered."""
        return sum(each.has_answer for each in self.service_calls)

    def _start(self) -> None:
        """Request the parts in other zones and send the remaining calls."""
        # A suspect request is sent to a single upstream at a time. Each part
        # would send it to another one.
        if self._delegation is not None and not self._call.canary.is_suspect:
            self.parts = parts.plan_parts(
                self._context.selector,
                self._call,
                self.service_calls,
                self._delegation,
            )
        for part in self.parts:
            part.mark_delegated()
            fetch = part.fetch(self._delegation, self._call)
            self._tasks.append(self._context.loop.create_task(fetch))
        for each in self._order_first_attempts():
            each.start()

    def _order_first_attempts(self) -> list[service_call.ServiceCall]:
        """Return the service calls that this host sends itself, in order.

        If the request is suspect, because it may crash upstreams, the first
        call is sent alone as a test (canary). Services with the most live
        upstreams come first in that case.
        """
        local_calls = [
            each for each in self.service_calls if not each.is_delegated
        ]
        if self._call.canary.is_suspect:
            local_calls.sort(key=lambda each: each.count_live(), reverse=True)
        return local_calls

    def _skip_if_unsatisfiable(self) -> bool:
        """Skip all services and return True if too few have upstreams.

        Shortly after an outage of the source, upstreams may not have
        registered again. Sending requests that must be cancelled would waste
        work.
        """
        selector = self._context.selector
        without_upstream = [
            each
            for each in self.service_calls
            if not selector.has_ready(each.service, self._call.route.residency)
        ]
        if self._can_still_succeed(len(without_upstream)):
            return False
        for each in self.service_calls:
            each.skip('not sent: too few shards have upstreams')
        for each in without_upstream:
            each.skip(service_call.NO_UPSTREAM)
        return True

    def _can_still_succeed(self, failed: int) -> bool:
        """Return whether enough services can answer after some failed.

        For a part of another host's query, any answer is enough.
        """
        match self._scope:
            case WholeQuery(min_answers=min_answers):
                return len(self.service_calls) - failed >= min_answers
            case QueryPart():
                return True

    def _on_settled(self, settled: service_call.ServiceCall) -> None:
        self._open_count -= 1
        self._failed_count += not settled.has_answer
        if not settled.is_late and not settled.was_delegated:
            self._threshold.observe(False)
        if self._open_count == 0 or not self._can_still_succeed(
            self._failed_count
        ):
            self._finish()
        elif self._context.loop.time() >= self._call.goal_at:
            self._finish_if_sufficient()
        elif self._has_waited:
            self._on_wait()

    def _on_wait(self) -> None:
        """Finish if only late retries could add answers that are not needed.

        Retries must start as early as hedges, so that the answer is in time.
        """
        self._has_waited = True
        call = self._call
        cutoff_s = HEDGE_CUTOFF_FRACTION * call.route.goal_s
        retry_by = call.request.arrived + cutoff_s
        if (
            call.is_patient
            and self.count_answers() >= self._scope.min_answers
            and not any(
                each.may_answer_by(retry_by) for each in self.service_calls
            )
        ):
            self._finish()

    def _on_goal(self) -> None:
        """Finish, or decide whether failed attempts are still retried.

        Those of a part are not.
        """
        self._finish_if_sufficient()
        if self._finished.done() or not self._call.is_patient:
            return
        match self._scope:
            case WholeQuery():
                self._is_late_request = self._context.late_requests.try_add(
                    self._call.team_id, self._end_waits
                )
        if self._is_late_request:
            self._report_progress()
        else:
            self._end_waits()

    def _end_waits(self) -> None:
        """Fail the calls whose retries are put off, and retry no more."""
        self._call.is_patient = False
        for each in self.service_calls:
            each.end_wait()

    def _report_progress(self) -> None:
        """Tell the host that delegated the query why its answer is late."""
        request = self._call.request
        is_delegated = request.get_header(delegate.VERSION) is not None
        if is_delegated and request.send_progress is not None:
            request.send_progress()

    def _finish_if_sufficient(self) -> None:
        if self.count_answers() >= self._scope.min_answers:
            self._finish()
        elif not self.waited_for:
            self.waited_for = results.join_truncated(
                each.describe_wait()
                for each in self.service_calls
                if not each.has_answer
            )

    def _list_local_unsettled(self) -> list[service_call.ServiceCall]:
        """Return the unsettled service calls that no other host processes."""
        return [
            each
            for each in self.service_calls
            if not each.settled and not each.is_delegated
        ]

    def _has_common_cause(self, late: int) -> bool:
        """Return whether too many service calls are late at once.

        The cause is then common to them, and not one of the upstreams.
        """
        return late > max(1, COMMON_CAUSE_FRACTION * self._scope.total)

    def _on_late(self) -> None:
        late = self._list_local_unsettled()
        if not self._late_recorded:
            self._late_recorded = True
            for each in late:
                each.is_late = True
                self._threshold.observe(True)
        if self._has_common_cause(len(late)):
            self._schedule_late_check()
            return
        if self._has_no_answer_yet() and self._schedule_late_check():
            return
        # Every late shard is worth an extra request, even to another region.
        # With one hedge less per wide query, 1,101 of 1,531 answers lacked
        # shards instead of about 500 of 1,540 (single runs with 62 hosts).
        for each in late:
            each.hedge()

    def _has_no_answer_yet(self) -> bool:
        """Return whether a call to several services has no answer yet.

        Hedges then wait for a first answer, at most until
        `HEDGE_CUTOFF_FRACTION` of the goal. If the call crashes upstreams,
        hedging all shards at once also crashes the last upstream of each
        shard: 36 of 56 upstreams instead of 28, in a scenario of 28 shards
        with 8 of them in a part. The wait costs time if the first upstreams
        of the part are all unreachable: its query takes 0.28 s instead of
        0.16 s, of a goal of 0.5 s. Sending a single hedge beforehand crashed
        29 upstreams and took 0.2 s.
        """
        return (
            len(self.service_calls) > 1 and not self._call.canary.is_answered
        )

    def _schedule_late_check(self) -> bool:
        """Schedule another check for late attempts, unless it is too late.

        Return whether it was scheduled, which requires that it is due before
        `HEDGE_CUTOFF_FRACTION` of the goal.
        """
        loop = self._context.loop
        call = self._call
        goal_s = call.route.goal_s
        check_at = loop.time() + RECHECK_FRACTION * goal_s
        if check_at >= call.request.arrived + HEDGE_CUTOFF_FRACTION * goal_s:
            return False
        self._timers.append(loop.call_at(check_at, self._on_late))
        return True

    def _time_out(self) -> None:
        self.timed_out = True
        self._finish()

    def _finish(self) -> None:
        if not self._finished.done():
            self._finished.set_result(None)


async def forward_to_one(
    context: calls.ForwardingContext,
    call: calls.Call,
    service: routing.ServiceName,
    threshold: core.HedgeThreshold,
) -> results.Result:
    """Forward a call to one service and return its answer.

    Without an answer, the reply states the failure.
    """
    forwarder = Forwarder(
        context, call, (service,), threshold, WholeQuery(1, 1)
    )
    await forwarder.run()
    settled_call = forwarder.service_calls[0]
    late = int(settled_call.is_late)
    end_to_end = header_names.list_end_to_end(context.names)
    log_fields = make_wait_field([settled_call])
    if settled_call.answer is not None:
        reply = messages.make_forwardable(settled_call.answer, end_to_end)
        return results.Result(
            reply,
            results.Outcome.ANSWERED,
            answered=1,
            late=late,
            lost=settled_call.lost,
            far=count_cross_region([settled_call]),
            log_fields=log_fields,
        )
    if settled_call.failure is not None and not _is_false_promise(
        call, settled_call.failure
    ):
        reply = messages.make_forwardable(settled_call.failure, end_to_end)
        return results.Result(
            reply,
            results.Outcome.UPSTREAM_FAILED,
            settled_call.detail,
            late=late,
            lost=settled_call.lost,
            log_fields=log_fields,
        )
    failed = results.make_failure_result(
        context.names,
        call.request_id,
        may_have_run([settled_call]),
        forwarder.timed_out,
        settled_call.explain(),
        call.canary,
    )
    if failed.outcome is results.Outcome.NOT_RUN:
        context.refused_requests.add(call.get_digest(context.names))
    return dataclasses.replace(
        failed, late=late, lost=settled_call.lost, log_fields=log_fields
    )


def _is_false_promise(call: calls.Call, failure: messages.Reply) -> bool:
    """Return whether a failure must not reach the caller with its status.

    A caller repeats a request whose reply promises that it has not run, but
    only the rejections of upstreams mean that.
    """
    is_idempotent = call.route.repeat is routing.Repeat.IDEMPOTENT
    return not is_idempotent and failure.status in results.NOT_RUN_STATUSES


def make_wait_field(
    service_calls: list[service_call.ServiceCall],
) -> dict[str, int]:
    """Return the log field with the longest wait for the budget, if any."""
    waits_s = [each.budget_wait_s for each in service_calls]
    longest_s = max(waits_s, default=0.0)
    return {'budget_wait_ms': round(1000 * longest_s)} if longest_s else {}


def may_have_run(service_calls: list[service_call.ServiceCall]) -> bool:
    """Return whether any upstream may have run any of the service calls."""
    return any(
        each.has_answer or each.may_have_run or each.was_cancelled
        for each in service_calls
    )


def count_cross_region(service_calls: list[service_call.ServiceCall]) -> int:
    """Return the number of answers that came from another region."""
    return sum(
        each.winner is not None and each.winner.distance == topology.FARTHEST
        for each in service_calls
    )
