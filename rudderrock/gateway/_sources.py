"""Where a gateway learns its routes and upstreams: a port, and its use."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

import result

from rudderrock import state
from rudderrock.gateway import _directory as directory
from rudderrock.gateway import _log as log
from rudderrock.gateway import _routing as routing

# Between two readings of the upstreams, in seconds. A leaving upstream must
# get no new work some seconds after it said so, and each reading is paid.
READ_EVERY_S = 1.0
# Between tries while the source does not answer, in seconds, and the part
# by which chance varies it so that hosts don't ask in step.
RETRY_S = 0.5
_SPREAD = 0.3
# How long one watch waits at the source, in seconds. A watch that a cut
# silenced is thus replaced soon even if nothing else shows the cut.
WATCH_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The source gave no usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The source can't tell what has changed; the whole must be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableReading:
    """The routing table at a revision of the source.

    `table` is None if there is none, and `problem` says why one that is
    there can't be used.
    """

    table: routing.RoutingTable | None
    revision: int
    problem: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReading:
    """All registered upstreams at a revision of the source."""

    endpoints: tuple[directory.Endpoint, ...]
    revision: int
    problems: tuple[str, ...] = ()


class SourcePort(Protocol):
    """What a gateway asks of the service that keeps its configuration."""

    async def read_table(self) -> result.Result[TableReading, Unavailable]:
        """Return the newest table."""

    async def watch_table(
        self, after: int, wait_s: float
    ) -> result.Result[TableReading | None, Unavailable | HistoryGone]:
        """Wait for a table later than a revision; None if none came."""

    async def list_upstreams(
        self,
    ) -> result.Result[UpstreamReading, Unavailable]:
        """Return all registered upstreams."""


class TableHolder:
    """The table in force, which never goes back to an older version."""

    def __init__(self, clock: state.Clock, events: log.EventLog):
        self.current: routing.RoutingTable | None = None
        self.confirmed_at: float | None = None
        self._clock = clock
        self._events = events
        self._listeners: list[Callable[[routing.RoutingTable], None]] = []

    @property
    def version(self) -> routing.TableVersion:
        """Return the version in force."""
        if self.current is None:
            return routing.NO_VERSION
        return self.current.version

    def add_listener(
        self, call: Callable[[routing.RoutingTable], None]
    ) -> None:
        """Have `call` called with each table that comes into force."""
        self._listeners.append(call)

    def apply_reading(self, reading: TableReading, origin: str) -> None:
        """Put a table in force if it is newer than the present one."""
        self.confirmed_at = self._clock.now()
        if reading.problem:
            self._events.record(
                log.LogKind.TABLE_REJECTED,
                problem=reading.problem,
                revision=reading.revision,
            )
            return
        table = reading.table
        if table is None or table.version <= self.version:
            return
        before, self.current = self.version, table
        self._events.record(
            log.LogKind.TABLE_IN_FORCE,
            version=table.version,
            before=before,
            revision=reading.revision,
            routes=len(table.routes),
            origin=origin,
        )
        for call in self._listeners:
            call(table)


class SourceFollower:
    """Keeps table and directory in step with the source.

    Two tasks: one waits for tables, one reads the upstreams at an
    interval. When the source answers again after it did not, the watch is
    made anew, since the old one may have been cut without a sign.
    """

    def __init__(
        self,
        source: SourcePort,
        tables: TableHolder,
        listing: directory.Directory,
        clock: state.Clock,
        chance: random.Random,
        events: log.EventLog,
    ):
        self.lost_at: float | None = None
        self._source = source
        self._tables = tables
        self._listing = listing
        self._clock = clock
        self._chance = chance
        self._events = events
        self._watch: asyncio.Task | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_table())
            group.create_task(self._follow_upstreams())

    async def _follow_table(self) -> None:
        while True:
            match await self._source.read_table():
                case result.Ok(reading):
                    self._tables.apply_reading(reading, 'read')
                    await self._watch_from(reading.revision)
                case result.Err(problem):
                    self._note_lost('table', problem.detail)
                    await self._pause(RETRY_S)

    async def _watch_from(self, revision: int) -> None:
        """Watch until the table has to be read anew."""
        while True:
            self._watch = asyncio.ensure_future(
                self._source.watch_table(revision, WATCH_S)
            )
            try:
                found = await self._watch
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                return
            finally:
                self._watch = None
            match found:
                case result.Ok(None):
                    # Confirmed by reading: a watch may have been deaf.
                    return
                case result.Ok(reading):
                    self._tables.apply_reading(reading, 'watch')
                    revision = reading.revision
                case result.Err(HistoryGone()):
                    return
                case result.Err(problem):
                    self._note_lost('watch', problem.detail)
                    return

    async def _follow_upstreams(self) -> None:
        while True:
            match await self._source.list_upstreams():
                case result.Ok(reading):
                    self._note_back()
                    self._apply(reading)
                    await self._pause(READ_EVERY_S)
                case result.Err(problem):
                    self._note_lost('upstreams', problem.detail)
                    await self._pause(RETRY_S)

    def _apply(self, reading: UpstreamReading) -> None:
        for problem in reading.problems:
            self._events.record(log.LogKind.TABLE_REJECTED, problem=problem)
        change = self._listing.apply_reading(
            reading.endpoints, reading.revision
        )
        if change is not None:
            self._events.record(
                log.LogKind.UPSTREAMS_CHANGED,
                revision=reading.revision,
                added=change.added,
                left=change.left,
                held=change.held,
            )

    def _note_lost(self, call: str, detail: str) -> None:
        if self.lost_at is not None:
            return
        self.lost_at = self._clock.now()
        self._events.record(
            log.LogKind.DEPENDENCY_LOST,
            dependency='source',
            call=call,
            detail=detail,
        )

    def _note_back(self) -> None:
        if self.lost_at is None:
            return
        away_s = self._clock.now() - self.lost_at
        self.lost_at = None
        self._listing.note_outage()
        if self._watch is not None:
            self._watch.cancel()
        self._events.record(
            log.LogKind.DEPENDENCY_BACK,
            dependency='source',
            away_s=round(away_s, 3),
        )

    async def _pause(self, mean_s: float) -> None:
        spread = 1.0 + _SPREAD * (2 * self._chance.random() - 1.0)
        await asyncio.sleep(mean_s * spread)
