"""Interface to the source, the store of configuration and registrations."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _position as position
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _saved_records as saved_records


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The source gave no usable answer."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The source no longer has the changes; a full read is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease of a registration has expired or was revoked."""


@dataclasses.dataclass(frozen=True, slots=True)
class SourceRestored:
    """The source was restored from a backup after it granted the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease of a registration, which expires unless it is renewed.

    The source may assign the same number to another owner in a later `era`.
    """

    era: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableReading:
    """The data that operators have written, at a position of the source.

    `table` is None if there is no usable table; `problem` gives the reason if
    a table exists but cannot be used. `raw` is the table as the source stores
    it. `evacuated` maps each evacuated zone to the revision at which it was
    evacuated; it is None if the reading does not include the evacuations.
    `rejected` describes the other keys that cannot be used.
    """

    table: routing.RoutingTable | None
    position: position.Position
    problem: str = ''
    raw: bytes = b''
    evacuated: Mapping[core.ZoneId, int] | None = None
    rejected: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReading:
    """All registered upstreams at a position of the source.

    `problems` describes the entries that cannot be used.
    """

    endpoints: tuple[directory.Endpoint, ...]
    position: position.Position
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HostReading:
    """All registered hosts.

    `problems` describes the entries that cannot be used.
    """

    hosts: tuple[fleet.HostEntry, ...]
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SavedReading:
    """All saved quarantine records.

    `problems` describes the entries that cannot be used.
    """

    records: tuple[saved_records.SavedRecord, ...]
    problems: tuple[str, ...] = ()


class SourcePort(Protocol):
    """The source, which stores the configuration and the registrations."""

    async def read_table(self) -> result.Result[TableReading, Unavailable]:
        """Return the newest table and the evacuated zones."""

    async def watch_table(
        self, after: position.Position, wait_s: float
    ) -> result.Result[TableReading | None, Unavailable | HistoryCompacted]:
        """Wait for operators to write something after a position.

        Return None if nothing was written within `wait_s` seconds. The reading
        holds the table, the evacuated zones or both.
        """

    def decode_table(
        self, raw: bytes, read: position.Position
    ) -> TableReading:
        """Return the reading for a raw table that a peer has sent."""

    async def list_upstreams(
        self,
    ) -> result.Result[UpstreamReading, Unavailable]:
        """Return all registered upstreams."""

    async def list_hosts(
        self,
    ) -> result.Result[HostReading, Unavailable]:
        """Return all registered hosts."""

    async def register(
        self, entry: fleet.HostEntry, ttl_s: float
    ) -> result.Result[Lease, Unavailable]:
        """Register a host under a new lease; return the lease."""

    async def find_lease(
        self, host: core.HostId
    ) -> result.Result[Lease | None, Unavailable]:
        """Return the lease of a host, or None if it is not registered."""

    async def renew(
        self, lease: Lease
    ) -> result.Result[None, Unavailable | LeaseEnded | SourceRestored]:
        """Extend a lease by its time to live."""

    async def withdraw(self, lease: Lease) -> result.Result[None, Unavailable]:
        """Revoke a lease, which removes its registration."""

    async def list_saved_records(
        self,
    ) -> result.Result[SavedReading, Unavailable]:
        """Return the quarantine records that hosts have saved."""

    async def save_records(
        self, written: list[saved_records.SavedRecord], removed: list[str]
    ) -> result.Result[None, Unavailable]:
        """Save quarantine records, and remove those with some digests.

        A record replaces the one with the same digest.
        """


class TableHolder:
    """The table in force, which is never replaced by an older version."""

    def __init__(self, clock: core.Clock, events: log.EventLog):
        self.current: routing.RoutingTable | None = None
        self.raw = b''
        self.position = position.NEVER_READ
        self._clock = clock
        self._events = events
        self._applied_at: float | None = None
        self._confirmed_at: float | None = None
        # Why the table that was read last is invalid, if it is.
        self._problem = ''
        self._listeners: list[Callable[[routing.RoutingTable], None]] = []

    @property
    def version(self) -> routing.TableVersion:
        """Return the version of the table in force."""
        if self.current is None:
            return routing.NO_VERSION
        return self.current.version

    @property
    def has_only_invalid(self) -> bool:
        """Return whether no table is in force and the source's is invalid."""
        return self.current is None and bool(self._problem)

    @property
    def age_s(self) -> float:
        """Return the seconds since the table came into force, or -1."""
        if self._applied_at is None:
            return -1.0
        return self._clock.now() - self._applied_at

    @property
    def confirmed_age_s(self) -> float:
        """Return the seconds since the source confirmed the table, or -1."""
        if self._confirmed_at is None:
            return -1.0
        return self._clock.now() - self._confirmed_at

    def confirm(self, age_s: float = 0.0) -> None:
        """Record that the table was the newest one `age_s` seconds ago."""
        at = self._clock.now() - age_s
        self._confirmed_at = max(at, self._confirmed_at or at)

    def add_listener(
        self, call: Callable[[routing.RoutingTable], None]
    ) -> None:
        """Register a callback for each table that comes into force."""
        self._listeners.append(call)

    def apply_reading(self, reading: TableReading, origin: str) -> None:
        """Put a table in force if it is newer than the current one."""
        if reading.problem:
            self._record_rejected(reading, origin)
            return
        if reading.table is not None:
            self._problem = ''
        table = reading.table
        if table is None or table.version <= self.version:
            return
        before, self.current = self.version, table
        self.raw = reading.raw
        self.position = reading.position
        self._applied_at = self._clock.now()
        self._events.record(
            events.LogKind.TABLE_IN_FORCE,
            version=table.version,
            before=before,
            era=reading.position.era,
            revision=reading.position.revision,
            routes=len(table.routes),
            origin=origin,
        )
        for call in self._listeners:
            call(table)

    def _record_rejected(self, reading: TableReading, origin: str) -> None:
        """Log an invalid table once for as long as it is read."""
        if reading.problem == self._problem:
            return
        self._problem = reading.problem
        self._events.record(
            events.LogKind.TABLE_REJECTED,
            problem=reading.problem,
            era=reading.position.era,
            revision=reading.position.revision,
            origin=origin,
        )
