"""A source of routes and upstreams in memory, with outages."""

import asyncio

import result

from rudderrock import gateway


class MemorySource:
    """Implements `gateway.SourcePort` for scenarios and examples."""

    def __init__(self) -> None:
        self.table: gateway.RoutingTable | None = None
        self.endpoints: dict[str, gateway.Endpoint] = {}
        self.revision = 1
        self.is_down = False
        self.is_deaf = False
        self.history_gone = False
        self.reads = 0
        self._changed = asyncio.Event()

    def set_table(self, table: gateway.RoutingTable | None) -> None:
        """Write a table."""
        self.table = table
        self._change()

    def set_endpoint(self, endpoint: gateway.Endpoint) -> None:
        """Register an upstream, or change its registration."""
        self.endpoints[endpoint.upstream] = endpoint
        self._change()

    def remove_endpoint(self, upstream: str) -> None:
        """Remove a registration."""
        self.endpoints.pop(upstream, None)
        self._change()

    async def read_table(
        self,
    ) -> result.Result[gateway.TableReading, gateway.Unavailable]:
        """Return the table."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(gateway.TableReading(self.table, self.revision))

    async def watch_table(
        self, after: int, wait_s: float
    ) -> result.Result[
        gateway.TableReading | None,
        gateway.Unavailable | gateway.HistoryGone,
    ]:
        """Wait for a table."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        if self.history_gone:
            self.history_gone = False
            return result.Err(gateway.HistoryGone())
        seen = self.table
        try:
            async with asyncio.timeout(wait_s):
                while self.table is seen or self.is_deaf or self.is_down:
                    changed = self._changed
                    await changed.wait()
        except TimeoutError:
            return result.Ok(None)
        return result.Ok(gateway.TableReading(self.table, self.revision))

    async def list_upstreams(
        self,
    ) -> result.Result[gateway.UpstreamReading, gateway.Unavailable]:
        """Return the upstreams."""
        self.reads += 1
        if self.is_down:
            return result.Err(gateway.Unavailable('down'))
        return result.Ok(
            gateway.UpstreamReading(
                tuple(self.endpoints.values()), self.revision
            )
        )

    def _change(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
