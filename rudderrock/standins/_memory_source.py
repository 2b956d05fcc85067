"""An in-memory source of routes and upstreams, with fault injection."""

import asyncio
import dataclasses

import result

from rudderrock import core
from rudderrock import gateway


@dataclasses.dataclass(frozen=True, slots=True)
class SourceSnapshot:
    """A snapshot of the contents of a source."""

    table: gateway.RoutingTable | None
    evacuated: dict[core.ZoneId, int]
    endpoints: dict[str, gateway.Endpoint]
    revision: int
    table_revision: int
    hosts: dict[int, gateway.HostEntry]
    saved_records: dict[str, gateway.SavedRecord]
    lease_count: int


class MemorySource:
    """An in-memory implementation of `gateway.SourcePort`.

    `is_down` makes calls fail. With `drops_watch_events` watches receive no
    events. `is_history_compacted` makes one watch, a waiting one or the next,
    fail as if the revision that it starts from had been compacted.
    """

    def __init__(self) -> None:
        self.table: gateway.RoutingTable | None = None
        # The revision of each evacuation, by zone.
        self.evacuated: dict[core.ZoneId, int] = {}
        self.endpoints: dict[str, gateway.Endpoint] = {}
        self.revision = 1
        self.table_revision = 1
        self.is_down = False
        self.drops_watch_events = False
        self.is_history_compacted = False
        # Number of times that the source has been restored from a snapshot.
        self.era = 0
        self.reads = 0
        self.table_reads = 0
        # Registered hosts, by lease number.
        self.hosts: dict[int, gateway.HostEntry] = {}
        self.saved_records: dict[str, gateway.SavedRecord] = {}
        # Number of calls that wrote or removed saved records.
        self.record_writes = 0
        self._lease_count = 0
        self._reset_count = 0
        self._written: dict[bytes, gateway.RoutingTable] = {}
        self._changed = asyncio.Event()

    @property
    def position(self) -> gateway.Position:
        """Return the current era and revision."""
        return gateway.Position(self.era, self.revision)

    def set_table(self, table: gateway.RoutingTable | None) -> None:
        """Write a table, or remove it with None."""
        self.table = table
        if table is not None:
            self._written[b'%d' % table.version] = table
        self._advance_revision()
        self.table_revision = self.revision

    def evacuate(self, zone: core.ZoneId) -> None:
        """Mark a zone as evacuated."""
        self._advance_revision()
        self.evacuated[zone] = self.revision
        self.table_revision = self.revision

    def end_evacuation(self, zone: core.ZoneId) -> None:
        """End the evacuation of a zone."""
        self.evacuated.pop(zone, None)
        self._advance_revision()
        self.table_revision = self.revision

    def set_endpoint(self, endpoint: gateway.Endpoint) -> None:
        """Write the registration of an upstream."""
        self.endpoints[endpoint.upstream] = endpoint
        self._advance_revision()

    def drop_history(self) -> None:
        """Compact the history, which ends the waiting watches."""
        self.is_history_compacted = True
        self._advance_revision()

    def make_snapshot(self) -> SourceSnapshot:
        """Return a snapshot of the current contents."""
        return SourceSnapshot(
            self.table,
            dict(self.evacuated),
            dict(self.endpoints),
            self.revision,
            self.table_revision,
            dict(self.hosts),
            dict(self.saved_records),
            self._lease_count,
        )

    def add_unrelated_revision(self) -> None:
        """Advance the revision without a change that concerns hosts."""
        self._advance_revision()

    def restore(self, snapshot: SourceSnapshot, cut: bool = True) -> None:
        """Restore the contents of a snapshot and increment the era.

        Changes since the snapshot are lost, and new changes reuse their
        revisions and lease numbers. With `cut`, waiting watches fail; without
        it they continue to wait.
        """
        self.era += 1
        self.table = snapshot.table
        self.evacuated = dict(snapshot.evacuated)
        self.endpoints = dict(snapshot.endpoints)
        self.revision = snapshot.revision
        self.table_revision = snapshot.table_revision
        self.hosts = dict(snapshot.hosts)
        self.saved_records = dict(snapshot.saved_records)
        self._lease_count = snapshot.lease_count
        if not cut:
            return
        self._reset_count += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def remove_endpoint(self, upstream: str) -> None:
        """Remove the registration of an upstream."""
        self.endpoints.pop(upstream, None)
        self._advance_revision()

    async def read_table(
        self,
    ) -> result.Result[gateway.TableReading, gateway.Unavailable]:
        """Return a reading of the table."""
        self.reads += 1
        self.table_reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(self._read())

    async def watch_table(
        self, after: gateway.Position, wait_s: float
    ) -> result.Result[
        gateway.TableReading | None,
        gateway.Unavailable | gateway.HistoryCompacted,
    ]:
        """Return a reading of the table once it changes after a position.

        Return None if it has not changed within `wait_s` seconds.
        """
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        if self.is_history_compacted or after.revision > self.revision:
            self.is_history_compacted = False
            return result.Err(gateway.HistoryCompacted())
        reset_count = self._reset_count
        try:
            async with asyncio.timeout(wait_s):
                while not self.is_history_compacted and (
                    self.table_revision <= after.revision
                    or self.drops_watch_events
                    or self.is_down
                ):
                    changed = self._changed
                    await changed.wait()
                    if self._reset_count != reset_count:
                        return result.Err(gateway.Unavailable('reset'))
        except TimeoutError:
            # A watch that was not cut by a restore fails only at its end.
            if after.era != self.era:
                return result.Err(gateway.HistoryCompacted())
            return result.Ok(None)
        if self.is_history_compacted:
            self.is_history_compacted = False
            return result.Err(gateway.HistoryCompacted())
        return result.Ok(self._read())

    async def list_upstreams(
        self,
    ) -> result.Result[gateway.UpstreamReading, gateway.Unavailable]:
        """Return a reading of the registered upstreams."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(
            gateway.UpstreamReading(
                tuple(self.endpoints.values()), self.position
            )
        )

    def decode_table(
        self, raw: bytes, read: gateway.Position
    ) -> gateway.TableReading:
        """Return a reading of a table that was written to this source.

        `raw` stands for the encoded table: it is only the table's version in
        decimal digits. `read` is the position at which it was read.
        """
        return gateway.TableReading(self._written[raw], read, raw=raw)

    async def list_hosts(
        self,
    ) -> result.Result[gateway.HostReading, gateway.Unavailable]:
        """Return the registered hosts."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(gateway.HostReading(tuple(self.hosts.values())))

    async def register(
        self, entry: gateway.HostEntry, ttl_s: float
    ) -> result.Result[gateway.Lease, gateway.Unavailable]:
        """Register a host and return its lease, which never expires."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        # The new lease replaces all earlier leases of the host.
        self.hosts = {
            lease: each
            for lease, each in self.hosts.items()
            if each.host != entry.host
        }
        self._lease_count += 1
        self.hosts[self._lease_count] = entry
        return result.Ok(gateway.Lease(self.era, self._lease_count))

    async def find_lease(
        self, host: core.HostId
    ) -> result.Result[gateway.Lease | None, gateway.Unavailable]:
        """Return the lease of a host's registration, or None."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        for lease, entry in self.hosts.items():
            if entry.host == host:
                return result.Ok(gateway.Lease(self.era, lease))
        return result.Ok(None)

    async def renew(
        self, lease: gateway.Lease
    ) -> result.Result[
        None,
        gateway.Unavailable | gateway.LeaseEnded | gateway.SourceRestored,
    ]:
        """Renew the lease of a registration."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        if lease.number not in self.hosts:
            return result.Err(gateway.LeaseEnded())
        if lease.era != self.era:
            return result.Err(gateway.SourceRestored())
        return result.Ok(None)

    async def withdraw(
        self, lease: gateway.Lease
    ) -> result.Result[None, gateway.Unavailable]:
        """Remove the registration of a lease."""
        self.hosts.pop(lease.number, None)
        return result.Ok(None)

    async def list_saved_records(
        self,
    ) -> result.Result[gateway.SavedReading, gateway.Unavailable]:
        """Return the saved quarantine records."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(
            gateway.SavedReading(tuple(self.saved_records.values()))
        )

    async def save_records(
        self, written: list[gateway.SavedRecord], removed: list[str]
    ) -> result.Result[None, gateway.Unavailable]:
        """Save quarantine records, and remove those with some digests."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        self.record_writes += 1
        self.saved_records.update(
            {each.record.digest: each for each in written}
        )
        for digest in removed:
            self.saved_records.pop(digest, None)
        return result.Ok(None)

    def _read(self) -> gateway.TableReading:
        raw = b'%d' % self.table.version if self.table is not None else b''
        return gateway.TableReading(
            self.table,
            self.position,
            raw=raw,
            evacuated=dict(self.evacuated),
        )

    def _advance_revision(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
