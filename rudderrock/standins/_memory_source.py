"""A source of routes and upstreams in memory, with outages."""

import asyncio
import dataclasses

import result

from rudderrock import core
from rudderrock import gateway


@dataclasses.dataclass(frozen=True, slots=True)
class SourceSnapshot:
    """All that a source held at one moment."""

    table: gateway.RoutingTable | None
    evacuated: dict[core.ZoneId, int]
    endpoints: dict[str, gateway.Endpoint]
    revision: int
    table_revision: int
    hosts: dict[int, gateway.HostEntry]
    leases: int


class MemorySource:
    """Implements `gateway.SourcePort` for scenarios and examples."""

    def __init__(self) -> None:
        self.table: gateway.RoutingTable | None = None
        # At which revision each evacuated zone was.
        self.evacuated: dict[core.ZoneId, int] = {}
        self.endpoints: dict[str, gateway.Endpoint] = {}
        self.revision = 1
        self.table_revision = 1
        self.is_down = False
        self.is_deaf = False
        self.is_history_compacted = False
        # Rises each time the source comes back from a copy.
        self.era = 0
        self.reads = 0
        self.table_reads = 0
        self.hosts: dict[int, gateway.HostEntry] = {}
        self._lease_count = 0
        self._reset_count = 0
        self._written: dict[bytes, gateway.RoutingTable] = {}
        self._changed = asyncio.Event()

    @property
    def position(self) -> gateway.Position:
        """Return where in its history the source is."""
        return gateway.Position(self.era, self.revision)

    def set_table(self, table: gateway.RoutingTable | None) -> None:
        """Write a table."""
        self.table = table
        if table is not None:
            self._written[b'%d' % table.version] = table
        self._change()
        self.table_revision = self.revision

    def evacuate(self, zone: core.ZoneId) -> None:
        """Evacuate a zone."""
        self._change()
        self.evacuated[zone] = self.revision
        self.table_revision = self.revision

    def give_back(self, zone: core.ZoneId) -> None:
        """Take an evacuation back."""
        self.evacuated.pop(zone, None)
        self._change()
        self.table_revision = self.revision

    def set_endpoint(self, endpoint: gateway.Endpoint) -> None:
        """Register an upstream, or change its registration."""
        self.endpoints[endpoint.upstream] = endpoint
        self._change()

    def drop_history(self) -> None:
        """Forget all changes so far and cut the watches."""
        self.is_history_compacted = True
        self._change()

    def make_copy(self) -> SourceSnapshot:
        """Return a copy of all that is held now."""
        return SourceSnapshot(
            self.table,
            dict(self.evacuated),
            dict(self.endpoints),
            self.revision,
            self.table_revision,
            dict(self.hosts),
            self._lease_count,
        )

    def note_other_change(self) -> None:
        """Count a change that is no business of hosts."""
        self._change()

    def come_back(self, snapshot: SourceSnapshot, cut: bool = True) -> None:
        """Hold what a copy held, and nothing that came after it.

        Revisions and leases are given out again from where the copy stands.
        Unless it cuts them, watches go on from where they began.
        """
        self.era += 1
        self.table = snapshot.table
        self.evacuated = dict(snapshot.evacuated)
        self.endpoints = dict(snapshot.endpoints)
        self.revision = snapshot.revision
        self.table_revision = snapshot.table_revision
        self.hosts = dict(snapshot.hosts)
        self._lease_count = snapshot.leases
        if not cut:
            return
        self._reset_count += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def remove_endpoint(self, upstream: str) -> None:
        """Remove a registration."""
        self.endpoints.pop(upstream, None)
        self._change()

    async def read_table(
        self,
    ) -> result.Result[gateway.TableReading, gateway.Unavailable]:
        """Return the table."""
        self.reads += 1
        self.table_reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(self._read())

    async def watch_table(
        self, after: gateway.Position, wait_s: float
    ) -> result.Result[
        gateway.TableReading | None,
        gateway.Unavailable | gateway.HistoryGone,
    ]:
        """Wait for a table."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        if self.is_history_compacted or after.revision > self.revision:
            self.is_history_compacted = False
            return result.Err(gateway.HistoryGone())
        reset_count = self._reset_count
        try:
            async with asyncio.timeout(wait_s):
                while not self.is_history_compacted and (
                    self.table_revision <= after.revision
                    or self.is_deaf
                    or self.is_down
                ):
                    changed = self._changed
                    await changed.wait()
                    if self._reset_count != reset_count:
                        return result.Err(gateway.Unavailable('reset'))
        except TimeoutError:
            if after.era != self.era:
                return result.Err(gateway.HistoryGone())
            return result.Ok(None)
        if self.is_history_compacted:
            self.is_history_compacted = False
            return result.Err(gateway.HistoryGone())
        return result.Ok(self._read())

    async def list_upstreams(
        self,
    ) -> result.Result[gateway.UpstreamReading, gateway.Unavailable]:
        """Return the upstreams."""
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
        """Return the table of a version that was written here."""
        return gateway.TableReading(self._written[raw], read, raw=raw)

    async def list_hosts(
        self,
    ) -> result.Result[list[gateway.HostEntry], gateway.Unavailable]:
        """Return the hosts."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(list(self.hosts.values()))

    async def register(
        self, entry: gateway.HostEntry, ttl_s: float
    ) -> result.Result[gateway.Lease, gateway.Unavailable]:
        """Register a host; leases don't end by themselves here."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        # Its entry hangs on the new lease alone.
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
        """Return the lease of a registration."""
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
        gateway.Unavailable | gateway.LeaseEnded | gateway.SourceReturned,
    ]:
        """Renew a registration."""
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        if lease.number not in self.hosts:
            return result.Err(gateway.LeaseEnded())
        if lease.era != self.era:
            return result.Err(gateway.SourceReturned())
        return result.Ok(None)

    async def withdraw(
        self, lease: gateway.Lease
    ) -> result.Result[None, gateway.Unavailable]:
        """End a registration."""
        self.hosts.pop(lease.number, None)
        return result.Ok(None)

    def _read(self) -> gateway.TableReading:
        raw = b'%d' % self.table.version if self.table is not None else b''
        return gateway.TableReading(
            self.table,
            self.position,
            raw=raw,
            evacuated=dict(self.evacuated),
        )

    def _change(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
