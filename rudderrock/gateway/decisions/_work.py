"""How much work wide queries are to this host, and if it has room for more.

A query over many shards is work for the processor, by the number of requests,
and for the link, by the bytes of their answers. Both are known before only
from the queries before it. A host without room says so before it begins, and
the query goes to another one, so that no queue forms in front of a link or a
processor while others idle.
"""

import dataclasses

from rudderrock import core
from rudderrock.gateway.knowledge import _routing as routing

# Processor time of one shard request, in seconds of one whole core: 45 us on
# kept connections, 139 us on new ones (benchmarks.gateway_request); one in ten
# was on a new one where two hosts a zone ran wide queries (12,853 of 127,121).
REQUEST_CPU_S = 60e-6
# Bytes of a part beside its records: 25 KB for 20 parts of 1,000 B were seen
# on the wire.
HEAD_BYTES = 250
# Part of the processor and of the link that wide queries may take for long.
# The mean wait at such use is 0.75 of the work of one query (M/D/1 queue);
# at 0.8 it is twice the work, and what callers and peers send needs room too.
SUSTAINED_PART = 0.6
# A query is taken while what is already begun delays it by less than this
# part of its goal, so the urgent are turned elsewhere first.
DELAY_PART = 0.1
# Weight of one query in the mean of its kind.
_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What queries of much the same work have in common."""

    route: routing.RouteName
    is_part: bool


@dataclasses.dataclass(slots=True)
class _Level:
    """Work that has been begun and not been done yet, in seconds.

    A leaky bucket: it empties at `SUSTAINED_PART` seconds a second.
    """

    left_s: float = 0.0
    at: float = 0.0

    def get(self, now: float) -> float:
        done_s = (now - self.at) * SUSTAINED_PART
        return max(0.0, self.left_s - done_s)

    def add(self, now: float, work_s: float) -> None:
        self.left_s = self.get(now) + work_s
        self.at = now


class WorkMeter:
    """Adds up the work of the wide queries that this host runs.

    Parameters: `cores` is the speed of the processor in whole cores and
    `link_bytes_s` that of the link, 0 where it is not known.
    """

    def __init__(self, clock: core.Clock, cores: float, link_bytes_s: float):
        self._clock = clock
        self._cores = cores
        self._link_bytes_s = link_bytes_s
        self._processor = _Level()
        self._link = _Level()
        self._seen: dict[Kind, tuple[float, float]] = {}

    def get_delay_s(self) -> float:
        """Return by how much the work that is begun delays a new query."""
        now = self._clock.now()
        return max(self._processor.get(now), self._link.get(now))

    def has_room(self, goal_s: float) -> bool:
        """Tell whether a query with such a goal should be begun here."""
        return self.get_delay_s() <= DELAY_PART * goal_s

    def note_begun(self, kind: Kind, shards: int) -> None:
        """Count a query that is begun, as its kind was so far.

        The first of its kind counts as if all its shards were asked from
        here for an answer without records.
        """
        requests, size = self._seen.get(kind, (shards, shards * HEAD_BYTES))
        now = self._clock.now()
        self._processor.add(now, requests * REQUEST_CPU_S / self._cores)
        if self._link_bytes_s > 0:
            self._link.add(now, size / self._link_bytes_s)

    def note_ended(self, kind: Kind, requests: int, size: int) -> None:
        """Take note of what a query has sent and received, in bytes."""
        found = (float(requests), float(size + requests * HEAD_BYTES))
        before = self._seen.get(kind, found)
        self._seen[kind] = (
            before[0] + _WEIGHT * (found[0] - before[0]),
            before[1] + _WEIGHT * (found[1] - before[1]),
        )
