"""One shard within one query, and when to look at it again."""

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
    """The state of one shard within one query.

    It is over when it has an answer or a reason why there is none.
    `failed` are replicas that failed since the last pause, `lacking` those
    that said they have not the version. It is `excused` once it has been given
    more time since this process stood still.
    """

    service: dispatch.Service
    in_flight: list[attempts.Attempt] = dataclasses.field(default_factory=list)
    failed: set[state.UpstreamId] = dataclasses.field(default_factory=set)
    lacking: set[state.UpstreamId] = dataclasses.field(default_factory=set)
    tries: int = 0
    hedged: bool = False
    excused: bool = False
    miss: protocol.MissReason | None = None
    answer: protocol.ShardAnswer | None = None

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more is to come."""
        return self.answer is not None or self.miss is not None

    @property
    def tried(self) -> frozenset[state.UpstreamId]:
        """Return the replicas that are of no use just now."""
        return frozenset(self.failed | self.lacking)

    def has_untried(self) -> bool:
        """Tell whether some replica that can be reached is left to try."""
        return any(
            link.is_reachable and link.upstream.upstream not in self.tried
            for link in self.service.links
        )


class Due(typing.NamedTuple):
    """A time at which a shard wants to be looked at again.

    `retry` is the reason of the last failure if it is to be tried again
    then, None if it may be late.
    """

    when: float
    order: int
    call: ShardCall
    retry: protocol.MissReason | None


class Agenda:
    """What a query has to look at again, the earliest first."""

    def __init__(self, clock: state.Clock):
        self._clock = clock
        self._due: list[Due] = []
        self._order = itertools.count()

    def add(
        self,
        call: ShardCall,
        when: float,
        retry: protocol.MissReason | None = None,
    ) -> None:
        """Look at a shard again at loop time `when`."""
        heapq.heappush(self._due, Due(when, next(self._order), call, retry))

    def get_next_time(self, end: float) -> float:
        """Return the loop time to wait for, `end` at the latest."""
        return min(end, self._due[0].when) if self._due else end

    def take_due(self) -> typing.Iterator[Due]:
        """Yield, and forget, what is due now and not yet over."""
        while self._due and self._clock.has_reached(self._due[0].when):
            due = heapq.heappop(self._due)
            if not due.call.is_over:
                yield due
