"""Carrying one request of a caller to its end: to one service or to all."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import math

from rudderrock import core
from rudderrock.gateway import _dialect as dialect
from rudderrock.gateway import _messages as messages
from rudderrock.gateway import _place as place
from rudderrock.gateway import _pursuit as pursuit
from rudderrock.gateway import _records as records
from rudderrock.gateway import _routing as routing

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
# The part of a wide query's shards that is not worth an extra request to
# another region: one of 67.
SPARED_PART = 0.015
# An answer leaves this long before the goal or the end, in seconds, for
# the way back to the caller.
MARGIN_S = 0.012


class Outcome(enum.Enum):
    """How a request ended, for logs and metrics."""

    ANSWERED = 'answered'
    PARTIAL = 'partial'
    UPSTREAM_FAILED = 'upstream_failed'
    LOST = 'lost'
    TIMED_OUT = 'timed_out'
    NOT_RUN = 'not_run'
    OVERLOADED = 'overloaded'
    UNROUTED = 'unrouted'
    INVALID = 'invalid'
    NOT_READY = 'not_ready'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass(slots=True)
class Result:
    """The reply to a caller and how it came about."""

    reply: messages.Reply
    outcome: Outcome
    detail: str = ''
    shards: int = 1
    answered: int = 0
    late: int = 0
    far: int = 0


class LatePoints:
    """For each route the latency beyond which an attempt counts as late."""

    def __init__(self) -> None:
        self._points: dict[routing.RouteName, core.LatePoint] = {}

    def get(self, route: routing.Route) -> core.LatePoint:
        """Return a route's late point."""
        point = self._points.get(route.name)
        if point is None:
            point = core.LatePoint(
                LATE_PART,
                start=LATE_START * route.goal_s,
                lowest=LATE_LOWEST * route.goal_s,
                highest=LATE_HIGHEST * route.goal_s,
            )
            self._points[route.name] = point
        return point


class Need:
    """How many answers are enough, which may change on the way.

    While another host asks some shards of the same query, what it brings
    decides how many are needed here. Until that is known `count` are
    enough, and fewer than `floor` can't be whatever it brings.
    """

    def __init__(self, count: int, floor: int | None = None):
        self.count = count
        self.floor = count if floor is None else floor
        self._on_change: Callable[[], None] | None = None

    def watch(self, call: Callable[[], None]) -> None:
        """Have `call` called after each change."""
        self._on_change = call

    def change(self, count: int) -> None:
        """Set how many answers are enough from now on."""
        self.count = count
        self.floor = count
        if self._on_change is not None:
            self._on_change()


class Forwarder:
    """Sends one call to all its services and waits for the answers.

    One future is awaited; outcomes and timers complete it.
    """

    def __init__(
        self,
        tools: pursuit.Tools,
        call: pursuit.Call,
        services: tuple[routing.ServiceName, ...],
        point: core.LatePoint,
        need: Need,
    ):
        self._tools = tools
        self._call = call
        self._point = point
        self._need = need
        self._goal = call.request.arrived + call.route.goal_s - MARGIN_S
        need.watch(self._end_early)
        self._open = len(services)
        self._failed = 0
        self._noted_late = False
        self._timers: list[asyncio.TimerHandle] = []
        self._finished: asyncio.Future[None] = tools.loop.create_future()
        self.pursuits = [
            pursuit.Pursuit(tools, call, service, self._on_settled)
            for service in services
        ]

    async def run(self) -> None:
        """Return when the answer is there, or nothing better will come."""
        if not self.pursuits or self._lacks_too_many():
            return
        loop = self._tools.loop
        call = self._call
        self._timers = [
            loop.call_at(loop.time() + call.late_s, self._hedge_late),
            loop.call_at(min(self._goal, call.end), self._settle_for_enough),
            loop.call_at(call.end, self._finish),
        ]
        try:
            for each in self.pursuits:
                each.start()
            await self._finished
        finally:
            for timer in self._timers:
                timer.cancel()
            for each in self.pursuits:
                if not each.settled:
                    each.give_up()

    def _lacks_too_many(self) -> bool:
        """Tell whether too few services have upstreams, and send nothing.

        Just after an outage of the registry some may not be back yet; work
        that has to be broken off at once would help nobody.
        """
        book = self._tools.book
        lacking = [
            each for each in self.pursuits if not book.has_ready(each.service)
        ]
        if len(self.pursuits) - len(lacking) >= self._need.floor:
            return False
        for each in self.pursuits:
            each.skip('not asked')
        for each in lacking:
            each.skip(pursuit.NO_UPSTREAM)
        return True

    def count_answers(self) -> int:
        """Return how many services have answered."""
        return sum(each.answer is not None for each in self.pursuits)

    def _on_settled(self, settled: pursuit.Pursuit) -> None:
        self._open -= 1
        self._failed += settled.answer is None
        if not settled.is_late:
            self._point.note(False)
        if self._open == 0:
            self._finish()
        else:
            self._end_early()

    def _end_early(self) -> None:
        """End early if too little can come, or enough is there in time."""
        if len(self.pursuits) - self._failed < self._need.floor:
            self._finish()
        elif self._is_past_goal():
            self._settle_for_enough()

    def _is_past_goal(self) -> bool:
        return self._tools.loop.time() >= self._goal

    def _settle_for_enough(self) -> None:
        if self.count_answers() >= self._need.count:
            self._finish()

    def _hedge_late(self) -> None:
        late = [each for each in self.pursuits if not each.settled]
        if not self._noted_late:
            self._noted_late = True
            for each in late:
                each.is_late = True
                self._point.note(True)
        if len(late) > max(1, COMMON_PART * len(self.pursuits)):
            self._ask_again()
            return
        spared = int(SPARED_PART * len(self.pursuits))
        for each in late:
            if each.hedge(may_go_far=spared <= 0):
                continue
            spared -= 1

    def _ask_again(self) -> None:
        loop = self._tools.loop
        call = self._call
        goal_s = call.route.goal_s
        again = loop.time() + ASK_AGAIN * goal_s
        if again < call.request.arrived + LAST_HEDGE * goal_s:
            self._timers.append(loop.call_at(again, self._hedge_late))

    def _finish(self) -> None:
        if not self._finished.done():
            self._finished.set_result(None)


async def forward_to_one(
    tools: pursuit.Tools,
    call: pursuit.Call,
    service: routing.ServiceName,
    point: core.LatePoint,
) -> Result:
    """Forward to one service and pass its answer on unchanged."""
    forwarder = Forwarder(tools, call, (service,), point, Need(1))
    await forwarder.run()
    only = forwarder.pursuits[0]
    late = int(only.is_late)
    if only.answer is not None:
        reply = messages.pass_on(only.answer)
        return Result(
            reply,
            Outcome.ANSWERED,
            answered=1,
            late=late,
            far=_count_far([only]),
        )
    if only.failure is not None:
        reply = messages.pass_on(only.failure)
        return Result(reply, Outcome.UPSTREAM_FAILED, only.detail, late=late)
    reached = _may_have_run([only])
    return _explain_failure(reached, only.detail, late, call, tools)


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered:
    """What some shards have answered, before it is merged.

    `stamps` sign the parts that are in, `bodies` hold their records, one
    body or more for them all. `may_have_run` tells whether any upstream
    may have worked for it.
    """

    stamps: list[bytes]
    bodies: list[bytes]
    shards: int
    late: int
    far: int
    detail: str
    may_have_run: bool


def count_least(shards: int, min_coverage: float) -> int:
    """Return how many of some shards an answer must contain."""
    return max(1, math.ceil(shards * min_coverage - 1e-9))


async def gather(
    tools: pursuit.Tools,
    call: pursuit.Call,
    shards: tuple[routing.ServiceName, ...],
    need: Need,
    point: core.LatePoint,
) -> Gathered:
    """Ask one upstream of each shard, until enough have answered."""
    forwarder = Forwarder(tools, call, shards, point, need)
    await forwarder.run()
    answers = [
        each.answer for each in forwarder.pursuits if each.answer is not None
    ]
    missing = [each for each in forwarder.pursuits if each.answer is None]
    return Gathered(
        stamps=[each.get_header(tools.names.stamp) for each in answers],
        bodies=[each.body for each in answers],
        shards=len(shards),
        late=sum(each.is_late for each in forwarder.pursuits),
        far=_count_far(forwarder.pursuits),
        detail=_list_missing(missing),
        may_have_run=_may_have_run(forwarder.pursuits),
    )


def merge_gathered(
    tools: pursuit.Tools,
    call: pursuit.Call,
    scatter: routing.Scatter,
    parts: list[Gathered],
) -> Result:
    """Make one answer of what groups of shards have answered."""
    total = sum(each.shards for each in parts)
    stamps = [stamp for each in parts for stamp in each.stamps]
    late = sum(each.late for each in parts)
    detail = '; '.join(each.detail for each in parts if each.detail)
    if len(stamps) < count_least(total, scatter.min_coverage):
        reached = any(each.may_have_run for each in parts)
        failed = _explain_failure(reached, detail, late, call, tools)
        return dataclasses.replace(failed, shards=total, answered=len(stamps))
    missing = total - len(stamps)
    headers = [
        (tools.names.request_id, call.request_id),
        (tools.names.part_stamps, b', '.join(stamps)),
        (tools.names.missing_parts, b'%d' % missing),
    ]
    bodies = (body for each in parts for body in each.bodies)
    body = records.merge_records(bodies, scatter.top_k)
    return Result(
        messages.Reply(200, headers, body),
        Outcome.PARTIAL if missing else Outcome.ANSWERED,
        detail,
        shards=total,
        answered=len(stamps),
        late=late,
        far=sum(each.far for each in parts),
    )


async def forward_to_all(
    tools: pursuit.Tools,
    call: pursuit.Call,
    scatter: routing.Scatter,
    point: core.LatePoint,
) -> Result:
    """Forward to every shard and merge the records of the answers."""
    need = Need(count_least(len(scatter.shards), scatter.min_coverage))
    part = await gather(tools, call, scatter.shards, need, point)
    return merge_gathered(tools, call, scatter, [part])


def refuse(
    names: dialect.HeaderNames,
    request_id: bytes,
    retry_after_s: float,
    outcome: Outcome,
    detail: str = '',
) -> Result:
    """Say that a request has not run and when to come back."""
    headers = [
        (names.request_id, request_id),
        (b'retry-after', b'%.2f' % retry_after_s),
    ]
    return Result(messages.Reply(503, headers), outcome, detail)


# How soon a caller may come back after a request that did not run, in
# seconds: long enough for a passing shortage, well inside a deadline.
RETRY_AFTER_S = 0.1


def _may_have_run(pursuits: list[pursuit.Pursuit]) -> bool:
    return any(
        each.answer is not None or each.may_have_run or each.was_cut
        for each in pursuits
    )


def _explain_failure(
    reached: bool,
    detail: str,
    late: int,
    call: pursuit.Call,
    tools: pursuit.Tools,
) -> Result:
    """Answer for what failed: 503 only if no upstream may have run it."""
    if not reached:
        result = refuse(
            tools.names,
            call.request_id,
            RETRY_AFTER_S,
            Outcome.NOT_RUN,
            detail,
        )
    else:
        timed_out = tools.loop.time() >= call.end
        result = fail(tools.names, call.request_id, timed_out, detail)
    result.late = late
    return result


def fail(
    names: dialect.HeaderNames,
    request_id: bytes,
    timed_out: bool,
    detail: str,
) -> Result:
    """Answer for a request that may have run and has no answer."""
    outcome = Outcome.TIMED_OUT if timed_out else Outcome.LOST
    headers = [(names.request_id, request_id)]
    reply = messages.Reply(504 if timed_out else 502, headers)
    return Result(reply, outcome, detail)


def _count_far(pursuits: list[pursuit.Pursuit]) -> int:
    """Return how many answers came from another region."""
    return sum(
        each.winner is not None and each.winner.distance == place.FARTHEST
        for each in pursuits
    )


def _list_missing(missing: list[pursuit.Pursuit]) -> str:
    reasons = collections.Counter(
        each.detail or 'no answer in time' for each in missing
    )
    return '; '.join(
        f'{count} x {reason}' for reason, count in reasons.most_common(3)
    )
