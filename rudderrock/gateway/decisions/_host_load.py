"""Estimated load of wide queries on this host's processor and link.

A query over many shards loads the processor in proportion to its requests and
the link in proportion to the bytes of the answers. Both are estimated from
earlier queries of the same class. A host without room rejects a query before
it starts, and the query is sent to another host, so that no queue forms at one
processor or link while others are idle.
"""

import dataclasses
import enum

from rudderrock import core
from rudderrock.gateway.decisions import _loop_delay as loop_delay_module
from rudderrock.gateway.decisions import _pace as pace
from rudderrock.gateway.discovery import _routing as routing

# Mean processor time of one shard request, in seconds of one whole core, with
# a margin. A request takes 45 us on an open connection and 139 us on a new one
# (benchmarks.gateway_request). With two coordinators in each zone, one request
# in ten needed a new connection (12,853 of 127,121).
REQUEST_CPU_S = 60e-6
# Bytes of one shard's answer in addition to its records: 20 answers with
# records of 1,000 B took 25 KB on the wire.
ANSWER_OVERHEAD_BYTES = 250
# Fraction of the processor and of the link that wide queries may use over long
# periods. At this utilization the mean wait is 0.75 times the service time of
# one query (M/D/1 queue); at 0.8 it is twice the service time, and requests of
# callers and peers need capacity too.
SUSTAINED_FRACTION = 0.6
# A query is accepted while the queries in progress delay it by at most this
# fraction of its latency goal. Urgent queries have short goals, and are
# therefore sent to another host first.
MAX_DELAY_FRACTION = 0.1
# Weight of one query in the moving average of its class.
_QUERY_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class QueryClass:
    """Class of queries with about the same load.

    `is_part` is set for parts of queries that another host coordinates.
    """

    route: routing.RouteName
    is_part: bool


@dataclasses.dataclass(slots=True)
class _LeakyBucket:
    """Leaky bucket of work in progress, in seconds.

    It drains at `SUSTAINED_FRACTION` seconds per second.
    """

    level_s: float = 0.0
    updated_at: float = 0.0

    def get(self, now: float) -> float:
        done_s = (now - self.updated_at) * SUSTAINED_FRACTION
        return max(0.0, self.level_s - done_s)

    def add(self, now: float, work_s: float) -> None:
        self.level_s = self.get(now) + work_s
        self.updated_at = now


class Room(enum.Enum):
    """Whether this host has room for another wide query.

    With `FULL` the estimated work in progress is too much; it is done soon.
    With `SLOW` the host is measured to be slower than usual, or its event loop
    runs late.
    """

    FREE = 'free'
    FULL = 'full'
    SLOW = 'slow'


class LoadEstimator:
    """Estimate the load of the wide queries that this host runs.

    Parameters: `cores` is the speed of the processor in whole cores, and
    `link_bytes_s` the bandwidth of the link in bytes per second, 0 if unknown.
    `loop_delay` is the measured delay of the event loop, if it is measured.
    """

    def __init__(
        self,
        clock: core.Clock,
        cores: float,
        link_bytes_s: float,
        loop_delay: loop_delay_module.LoopDelay | None = None,
    ):
        self._loop_delay = loop_delay or loop_delay_module.LoopDelay(clock)
        self._clock = clock
        self._cores = cores
        self._link_bytes_s = link_bytes_s
        self._processor = _LeakyBucket()
        self._link = _LeakyBucket()
        self._averages: dict[QueryClass, tuple[float, float]] = {}
        self._pace = pace.Pace(clock)

    def get_slowness(self) -> float:
        """Return how many times slower than usual this host works."""
        return self._pace.get_slowness()

    def record_send_time(
        self, query_class: QueryClass, requests: int, taken_s: float
    ) -> None:
        """Record how long sending requests occupied the event loop."""
        self._pace.record(query_class, requests, taken_s)

    def get_delay_s(self) -> float:
        """Return the estimated work in progress that delays a new query.

        It is the processor or link time in seconds, whichever is longer.
        """
        now = self._clock.now()
        return max(self._processor.get(now), self._link.get(now))

    def get_loop_delay_s(self) -> float:
        """Return the measured delay of the event loop in seconds."""
        return self._loop_delay.get_s()

    def get_total_delay_s(self) -> float:
        """Return the longer one of the estimated and the measured delay."""
        return max(self.get_delay_s(), self.get_loop_delay_s())

    def find_room(self, goal_s: float) -> Room:
        """Return whether to run a query with this latency goal here."""
        self._loop_delay.record_query()
        max_delay_s = MAX_DELAY_FRACTION * goal_s
        if self._loop_delay.get_s() > max_delay_s:
            return Room.SLOW
        if self.get_delay_s() > max_delay_s:
            return Room.SLOW if self.get_slowness() > 1.0 else Room.FULL
        return Room.FREE

    def has_room(self, goal_s: float) -> bool:
        """Return whether there is room for a query with this goal."""
        return self.find_room(goal_s) is Room.FREE

    def record_start(self, query_class: QueryClass, shards: int) -> None:
        """Add the estimated load of a query that starts.

        The first query of its class counts as one request to each shard and
        answers without records.
        """
        requests, size = self._averages.get(
            query_class, (shards, shards * ANSWER_OVERHEAD_BYTES)
        )
        now = self._clock.now()
        work_s = requests * REQUEST_CPU_S / self._cores
        self._processor.add(now, work_s * self.get_slowness())
        if self._link_bytes_s > 0:
            self._link.add(now, size / self._link_bytes_s)

    def record_end(
        self, query_class: QueryClass, requests: int, size: int
    ) -> None:
        """Update the averages of a class; `size` is in bytes of records."""
        found = (
            float(requests),
            float(size + requests * ANSWER_OVERHEAD_BYTES),
        )
        before = self._averages.get(query_class, found)
        self._averages[query_class] = (
            before[0] + _QUERY_WEIGHT * (found[0] - before[0]),
            before[1] + _QUERY_WEIGHT * (found[1] - before[1]),
        )
