"""Requests of a query for one shard, and the schedule of their checks."""

import dataclasses
import heapq
import itertools
import typing

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _dispatch as dispatch


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class ShardCall:
    """The requests for one shard within one pass of a query, and their result.

    The call is closed once it has an answer or a reason for having none.
    `failed` holds the replicas that failed since the last pause before a
    retry; `lacking_version` holds those that rejected the version.
    `attempt_count` is the number of attempts sent or queued. `found_late` is
    set once a hedge check has found an attempt late, so that lateness is
    recorded only once. `check_postponed` is set once a hedge check has been
    postponed because this process stalled.
    """

    service: dispatch.Service
    in_flight: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    failed: set[state.UpstreamId] = dataclasses.field(default_factory=set)
    lacking_version: set[state.UpstreamId] = dataclasses.field(
        default_factory=set
    )
    attempt_count: int = 0
    found_late: bool = False
    check_postponed: bool = False
    missing_reason: protocol.MissingReason | None = None
    answer: protocol.ShardAnswer | None = None

    @property
    def is_closed(self) -> bool:
        """Return whether the shard has an answer or is missing."""
        return self.answer is not None or self.missing_reason is not None

    @property
    def excluded(self) -> frozenset[state.UpstreamId]:
        """Return the replicas to exclude from the next attempt."""
        return frozenset(self.failed | self.lacking_version)

    def has_remaining_replica(self) -> bool:
        """Return whether some reachable replica is not excluded."""
        return any(
            link.is_reachable and link.upstream.upstream not in self.excluded
            for link in self.service.links
        )


class ScheduledCheck(typing.NamedTuple):
    """A scheduled check of a shard.

    `when` is in loop time; `order` breaks ties. `retry_reason` is the reason
    of the last failure if the check is to retry the shard, or None if the
    check is for lateness.
    """

    when: float
    order: int
    call: ShardCall
    retry_reason: protocol.MissingReason | None


class CheckSchedule:
    """Scheduled checks of one query, ordered by time."""

    def __init__(self, clock: state.Clock):
        self._clock = clock
        self._scheduled: list[ScheduledCheck] = []
        self._order = itertools.count()

    def add(
        self,
        call: ShardCall,
        when: float,
        retry_reason: protocol.MissingReason | None = None,
    ) -> None:
        """Schedule a check of a shard at loop time `when`."""
        heapq.heappush(
            self._scheduled,
            ScheduledCheck(when, next(self._order), call, retry_reason),
        )

    def get_next_time(self, end: float) -> float:
        """Return the loop time of the next check, at most `end`."""
        return min(end, self._scheduled[0].when) if self._scheduled else end

    def pop_due(self) -> typing.Iterator[ScheduledCheck]:
        """Remove and yield the due checks of shards that are not closed."""
        while self._scheduled and self._clock.has_reached(
            self._scheduled[0].when
        ):
            check = heapq.heappop(self._scheduled)
            if not check.call.is_closed:
                yield check
