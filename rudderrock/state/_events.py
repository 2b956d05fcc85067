"""Events that a process records in a ring buffer, such as state changes.

`rudderrock-timeline` merges the events of several hosts into a time line.
Events are stamped by a hybrid logical clock (Kulkarni et al., "Logical
Physical Clocks", OPODIS 2014). A stamp is close to wall time and later than
the stamps of all messages accepted before. If the events of all processes
are merged in the order of their stamps, no effect precedes its cause.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum

from rudderrock import core

# Stamps that are further ahead of the local clock than this are ignored, so
# that a peer with a wrong clock doesn't advance the clocks of other hosts.
MAX_DRIFT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Timestamp of the hybrid logical clock.

    `wall` is in Unix seconds; `count` orders stamps with the same `wall`.
    """

    wall: float = 0.0
    count: int = 0


class HybridClock:
    """Hybrid logical clock of a process."""

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._last = Stamp()

    def tick(self) -> Stamp:
        """Return a stamp later than all stamps returned or accepted before."""
        wall = self._clock.wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.count + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to the stamp of a received message.

        A stamp more than `MAX_DRIFT_S` ahead of the wall time is ignored.
        """
        limit = self._clock.wall() + MAX_DRIFT_S
        if self._last < stamp and stamp.wall <= limit:
            self._last = stamp


class EventKind(enum.Enum):
    """Kind of an event.

    `TABLE_IN_FORCE` and `LAYOUT_IN_FORCE`: the host now uses a new revision.
    `TABLE_RESTORED`: it has written its table to the key-value service, which
    had lost edits. `HOSTS_REJECTED`: entries of the platform's host list are
    invalid and left out. `LEASE_LAPSED`: the lease of the host has ended.
    `VERSION_RESTART`: a query was restarted with another index version.
    `CLAIM`: the idempotency key of a command has been claimed. `ANSWERED`,
    `REFUSED` and `UNKNOWN`: the outcome of a request.
    """

    HOST_STATE = 'host_state'
    PEER_STATE = 'peer_state'
    TABLE_IN_FORCE = 'table_in_force'
    TABLE_REJECTED = 'table_rejected'
    TABLE_RESTORED = 'table_restored'
    LAYOUT_IN_FORCE = 'layout_in_force'
    LAYOUT_REJECTED = 'layout_rejected'
    KV_DOWN = 'kv_down'
    KV_UP = 'kv_up'
    HOSTS_REJECTED = 'hosts_rejected'
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
    """Event of one host."""

    stamp: Stamp
    host: core.HostId
    kind: EventKind
    team: core.TeamId | None = None
    query: core.QueryId | None = None
    upstream: core.UpstreamId | None = None
    detail: str = ''


class EventRing:
    """Ring buffer of the latest events of a process.

    Parameters: `host` identifies the process; `clock` provides the stamps;
    `capacity` is the number of events to keep; `sink` is called with each
    event, to write it to the log. An event takes about 300 bytes, so the
    default capacity takes about 1.2 MB.
    """

    def __init__(
        self,
        host: core.HostId,
        clock: HybridClock,
        capacity: int = 4096,
        sink: Callable[[Event], None] | None = None,
    ):
        self._host = host
        self._clock = clock
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
        """Add an event with the current stamp, and return it."""
        event = Event(
            stamp=self._clock.tick(),
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
        """Return the events in the buffer after a stamp, oldest first."""
        return [event for event in self._events if event.stamp > stamp]

    def count(self, kind: EventKind) -> int:
        """Return the number of events of a kind since the process started."""
        return self._counts[kind]
