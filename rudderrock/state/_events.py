"""The time line's events, kept by every process in a bounded ring.

Stamps are of a hybrid logical clock (Kulkarni et al., "Logical Physical
Clocks", OPODIS 2014): close to wall time, and never earlier than the stamp
of anything the process has heard of, so merging the rings of all processes
by stamp shows no effect before its cause.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum

from rudderrock import core

# A peer whose clock is further ahead than this does not drag ours along.
MAX_DRIFT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A time of the hybrid logical clock.

    `wall` is in Unix seconds; `count` orders events of one wall time.
    """

    wall: float = 0.0
    count: int = 0


class HybridClock:
    """The hybrid logical clock of one process."""

    def __init__(self, source: core.Clock):
        self._source = source
        self._last = Stamp()

    def tick(self) -> Stamp:
        """Return a stamp later than all given or heard of so far."""
        wall = self._source.wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.count + 1)
        return self._last

    def hear(self, stamp: Stamp) -> None:
        """Take note of a stamp that came with a message."""
        limit = self._source.wall() + MAX_DRIFT_S
        if self._last < stamp and stamp.wall <= limit:
            self._last = stamp


class EventKind(enum.Enum):
    """What happened."""

    HOST_STATE = 'host_state'
    PEER_STATE = 'peer_state'
    TABLE_IN_FORCE = 'table_in_force'
    TABLE_REJECTED = 'table_rejected'
    TABLE_RESTORED = 'table_restored'
    LAYOUT_IN_FORCE = 'layout_in_force'
    LAYOUT_REJECTED = 'layout_rejected'
    KV_DOWN = 'kv_down'
    KV_UP = 'kv_up'
    LEASE_LAPSED = 'lease_lapsed'
    UPSTREAM_STATE = 'upstream_state'
    HEDGE = 'hedge'
    RETRY = 'retry'
    VERSION_RESTART = 'version_restart'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CLAIM = 'claim'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One entry of the time line."""

    stamp: Stamp
    host: core.HostId
    kind: EventKind
    team: core.TeamId | None = None
    query: core.QueryId | None = None
    upstream: core.UpstreamId | None = None
    detail: str = ''


class EventRing:
    """The latest events of one process; older ones are dropped.

    Parameters: `host` names the process, `capacity` is in events, `sink`
    is given each event too, for the log. An event takes about 300 bytes,
    so the default ring stays near 1.2 MB.
    """

    def __init__(
        self,
        host: core.HostId,
        source: HybridClock,
        capacity: int = 4096,
        sink: Callable[[Event], None] | None = None,
    ):
        self._host = host
        self._source = source
        self._sink = sink
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )
        self._counts: collections.Counter[EventKind] = collections.Counter()

    def record(
        self,
        kind: EventKind,
        *,
        team: core.TeamId | None = None,
        query: core.QueryId | None = None,
        upstream: core.UpstreamId | None = None,
        detail: str = '',
    ) -> Event:
        """Stamp an event and keep it; return it for the log."""
        event = Event(
            stamp=self._source.tick(),
            host=self._host,
            kind=kind,
            team=team,
            query=query,
            upstream=upstream,
            detail=detail,
        )
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)
        self._counts[kind] += 1
        return event

    def list_since(self, stamp: Stamp) -> list[Event]:
        """Return the kept events later than a stamp, oldest first."""
        return [event for event in self._events if event.stamp > stamp]

    def count(self, kind: EventKind) -> int:
        """Return how many events of a kind there have ever been."""
        return self._counts[kind]
