"""Carrying one call to its services, until enough of them have answered."""

import asyncio
import dataclasses

from rudderrock import core
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _parts as parts
from rudderrock.gateway.forwarding import _pursuit as pursuit
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _place as place
from rudderrock.gateway.knowledge import _routing as routing

# The part of first attempts that shall be late, and so be hedged. Extra
# requests are bounded by their budget; this keeps hedges well within it.
LATE_PART = 0.05
# Where the late point starts and how far it moves, as parts of the goal.
LATE_START = 0.3
LATE_LOWEST = 0.12
LATE_HIGHEST = 0.4
# If more than this part of a query's shards is late at once, the cause is
# common (this host's link, or everything is slow) and hedges would add to
# it. The question is put again after this part of the goal.
COMMON_PART = 0.3
ASK_AGAIN = 0.08
# Hedges begin no later than at this part of the goal.
LAST_HEDGE = 0.6
# An answer leaves this long before the goal or the end, in seconds, for the
# way back to the caller, the way there that its own clock has counted, and a
# busy core. With 12 ms a third more answers were late, with 23 ms the shards
# that were given up outweighed the answers gained (docs/benchmarks.md, figures
# of thresholds).
MARGIN_S = 0.018


class LatePoints:
    """For each route the latency beyond which an attempt counts as late.

    A route whose goal changes begins anew, since the goal bounds the point.
    """

    def __init__(self) -> None:
        self._points: dict[
            tuple[routing.RouteName, float], core.LatePoint
        ] = {}

    def get(self, route: routing.Route) -> core.LatePoint:
        """Return a route's late point."""
        key = (route.name, route.goal_s)
        point = self._points.get(key)
        if point is None:
            point = core.LatePoint(
                LATE_PART,
                start=LATE_START * route.goal_s,
                lowest=LATE_LOWEST * route.goal_s,
                highest=LATE_HIGHEST * route.goal_s,
            )
            self._points[key] = point
        return point


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """All services of a query; `least` answers are enough at the goal."""

    total: int
    least: int


@dataclasses.dataclass(frozen=True, slots=True)
class Portion:
    """Some services of a query that another host has.

    `total` are all of the query. `least` answers are enough at the goal;
    with fewer, the others are still of use to that host.
    """

    total: int
    least: int


Extent = Whole | Portion


class Forwarder:
    """Sends one call to all its services and waits for the answers.

    One future is awaited; outcomes and timers complete it. With a
    `delegation`, services whose nearest upstreams are in another zone are
    asked by a host there, many with one message.
    """

    def __init__(
        self,
        tools: calls.Tools,
        call: calls.Call,
        services: tuple[routing.ServiceName, ...],
        point: core.LatePoint,
        extent: Extent,
        delegation: delegate.Delegation | None = None,
    ):
        self.pursuits = [
            pursuit.Pursuit(tools, call, service, self._on_settled)
            for service in services
        ]
        self.parts: list[parts.Part] = []
        self.timed_out = False
        # What was missing at the goal, if that was too much.
        self.waited_for = ''
        self._tools = tools
        self._call = call
        self._point = point
        self._extent = extent
        self._delegation = delegation
        self._open = len(services)
        self._failed = 0
        self._noted_late = False
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: list[asyncio.Task] = []
        self._finished: asyncio.Future[None] = tools.loop.create_future()

    async def run(self) -> None:
        """Return when the answer is there, or nothing better will come."""
        if not self.pursuits or self._lacks_too_many():
            return
        loop = self._tools.loop
        call = self._call
        self._timers = [
            loop.call_at(loop.time() + call.late_s, self._on_late),
            loop.call_at(min(call.goal_at, call.end), self._settle_for_enough),
            loop.call_at(call.end, self._time_out),
        ]
        try:
            self._start()
            await self._finished
        finally:
            for timer in self._timers:
                timer.cancel()
            for task in self._tasks:
                task.cancel()
            for each in self.pursuits:
                if not each.settled:
                    each.give_up()
            call.canary.finish()

    def count_answers(self) -> int:
        """Return how many services have answered."""
        return sum(each.has_answer for each in self.pursuits)

    def _start(self) -> None:
        """Ask for parts in other zones, and send the rest."""
        # A suspect is sent to one upstream alone; each part would send it too.
        if self._delegation is not None and not self._call.canary.is_suspect:
            self.parts = parts.plan_parts(
                self._tools.book, self._call, self.pursuits, self._delegation
            )
        for part in self.parts:
            part.begin()
            fetch = part.fetch(self._delegation, self._call)
            self._tasks.append(self._tools.loop.create_task(fetch))
        for each in self._order_starts():
            each.start()

    def _order_starts(self) -> list[pursuit.Pursuit]:
        """Return what to ask from here; a canary goes to the first."""
        here = [each for each in self.pursuits if not each.is_elsewhere]
        if self._call.canary.is_suspect:
            here.sort(key=lambda each: each.count_live(), reverse=True)
        return here

    def _lacks_too_many(self) -> bool:
        """Tell whether too few services have upstreams, and send nothing.

        Just after an outage of the registry some may not be back yet; work
        that has to be broken off at once would help nobody.
        """
        book = self._tools.book
        lacking = [
            each
            for each in self.pursuits
            if not book.has_ready(each.service, self._call.route.residency)
        ]
        if self._may_suffice(len(lacking)):
            return False
        for each in self.pursuits:
            each.skip('not asked')
        for each in lacking:
            each.skip(pursuit.NO_UPSTREAM)
        return True

    def _may_suffice(self, failed: int) -> bool:
        """Tell whether enough can still come when so many have failed.

        For another host anything is of use.
        """
        match self._extent:
            case Whole(least=least):
                return len(self.pursuits) - failed >= least
            case Portion():
                return True

    def _on_settled(self, settled: pursuit.Pursuit) -> None:
        self._open -= 1
        self._failed += not settled.has_answer
        if not settled.is_late and not settled.was_elsewhere:
            self._point.note(False)
        if self._open == 0 or not self._may_suffice(self._failed):
            self._finish()
        elif self._tools.loop.time() >= self._call.goal_at:
            self._settle_for_enough()

    def _settle_for_enough(self) -> None:
        if self.count_answers() >= self._extent.least:
            self._finish()
        elif not self.waited_for:
            self.waited_for = results.join_some(
                each.describe_wait()
                for each in self.pursuits
                if not each.has_answer
            )

    def _list_waiting(self) -> list[pursuit.Pursuit]:
        """Return what this host itself has sent and has no answer to."""
        return [
            each
            for each in self.pursuits
            if not each.settled and not each.is_elsewhere
        ]

    def _is_common(self, late: int) -> bool:
        """Tell whether so many are late that the cause must be common."""
        return late > max(1, COMMON_PART * self._extent.total)

    def _on_late(self) -> None:
        late = self._list_waiting()
        if not self._noted_late:
            self._noted_late = True
            for each in late:
                each.is_late = True
                self._point.note(True)
        if self._is_common(len(late)):
            self._look_again()
            return
        if self._lacks_evidence() and self._look_again():
            return
        # Each one is worth an extra request, also into another region: where
        # wide queries were spared one of them, 1,101 of 1,531 answers left
        # shards out, not some 500 of 1,540 (single runs with 62 hosts).
        for each in late:
            each.hedge()

    def _lacks_evidence(self) -> bool:
        """Tell whether nothing says that any upstream can answer the call.

        Hedges of all its shards at once took the last upstream of each one
        when the call crashed them: 36 of 56 upstreams in place of 28 (a
        scenario of 28 shards, 8 of them in a part). So they wait, until the
        last moment for hedges if need be: where the first upstreams of the
        part are all dark, its query took 0.28 s, not 0.16 s, of a goal of
        0.5 s. One hedge alone beforehand: 29 upstreams, and 0.2 s.
        """
        return len(self.pursuits) > 1 and not self._call.canary.is_answered

    def _look_again(self) -> bool:
        """Look for what is late once more soon, unless it is too late.

        Tells whether that will be.
        """
        loop = self._tools.loop
        call = self._call
        goal_s = call.route.goal_s
        again = loop.time() + ASK_AGAIN * goal_s
        if again >= call.request.arrived + LAST_HEDGE * goal_s:
            return False
        self._timers.append(loop.call_at(again, self._on_late))
        return True

    def _time_out(self) -> None:
        self.timed_out = True
        self._finish()

    def _finish(self) -> None:
        if not self._finished.done():
            self._finished.set_result(None)


async def forward_to_one(
    tools: calls.Tools,
    call: calls.Call,
    service: routing.ServiceName,
    point: core.LatePoint,
) -> results.Result:
    """Forward to one service and pass its answer on unchanged."""
    forwarder = Forwarder(tools, call, (service,), point, Whole(1, 1))
    await forwarder.run()
    only = forwarder.pursuits[0]
    late = int(only.is_late)
    if only.answer is not None:
        reply = messages.pass_on(only.answer)
        return results.Result(
            reply,
            results.Outcome.ANSWERED,
            answered=1,
            late=late,
            lost=only.lost,
            far=count_far([only]),
        )
    if only.failure is not None:
        reply = messages.pass_on(only.failure)
        return results.Result(
            reply,
            results.Outcome.UPSTREAM_FAILED,
            only.detail,
            late=late,
            lost=only.lost,
        )
    found = results.explain_failure(
        tools.names,
        call.request_id,
        may_have_run([only]),
        forwarder.timed_out,
        only.explain(),
        call.canary,
    )
    return dataclasses.replace(found, late=late, lost=only.lost)


def may_have_run(pursuits: list[pursuit.Pursuit]) -> bool:
    """Tell whether any upstream may have run a part of a call."""
    return any(
        each.has_answer or each.may_have_run or each.was_cut
        for each in pursuits
    )


def count_far(pursuits: list[pursuit.Pursuit]) -> int:
    """Return how many answers came from another region."""
    return sum(
        each.winner is not None and each.winner.distance == place.FARTHEST
        for each in pursuits
    )
