"""Connection pool of this host for one upstream."""

import asyncio
from collections.abc import Callable
import math

from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _link as link_module

# Opening a connection takes about 30 ms between regions. A lost SYN packet is
# sent again after one second, so a connection that takes longer depends on the
# repeated packet.
CONNECT_TIMEOUT_S = 1.0
# An idle connection is closed after this fraction of the upstream's keep-alive
# timeout, so that the two sides rarely close it at the same time.
KEEP_ALIVE_FRACTION = 0.75
# Keep-alive timeout for an upstream that does not announce one.
DEFAULT_KEEP_ALIVE_S = 10.0
# Idle time after which a connection is closed if this host has no share of the
# upstream's connections.
UNALLOCATED_IDLE_S = 0.5
# A request that must not run twice can't be sent again after a reset. It is
# sent on a new connection or on one that has been idle for at most this long.
RECENT_USE_S = 1.0
# If an exchange is aborted after it has waited for its reply for at least this
# long, the idle connections to the upstream are closed too. They may have
# failed without either side detecting it, and opening a new one is cheap.
UNRESPONSIVE_AFTER_S = 0.3


class Pool:
    """A pool of at most `cap` connections to one endpoint.

    If `is_unallocated` is true, this host has no share of the upstream's
    connections and closes each connection after a short idle time.
    `count_opened` is called each time that opening a connection starts, if
    `may_open` allows it; its argument is whether a request waits for it.
    """

    def __init__(
        self,
        endpoint: directory.Endpoint,
        loop: asyncio.AbstractEventLoop,
        names: header_names.HeaderNames,
        count_opened: Callable[[], None],
        cap: int = 1,
        keep_alive_s: float = DEFAULT_KEEP_ALIVE_S,
        may_open: Callable[[bool], bool] = lambda is_needed: True,
    ):
        self.endpoint = endpoint
        self.cap = cap
        self.is_unallocated = False
        # The shortest time in seconds in which the other side has accepted a
        # connection or sent an interim reply.
        self.round_trip_s: float | None = None
        self._loop = loop
        self._names = names
        self._count_opened = count_opened
        self._may_open = may_open
        self._keep_alive_s = keep_alive_s
        self._free: list[link_module.Link] = []
        self._links: set[link_module.Link] = set()
        self._connecting: set[asyncio.Task] = set()
        # A list, since an empty deque takes 0.7 KB and most pools, one for
        # each upstream, never have a queue.
        self._waiting: list[link_module.Exchange] = []
        self._retired = False

    @property
    def load(self) -> int:
        """Return the number of exchanges in flight or queued."""
        busy = len(self._links) - len(self._free)
        return busy + len(self._waiting)

    @property
    def is_open(self) -> bool:
        """Return whether a connection is open or being opened."""
        return bool(self._links or self._connecting)

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._links) + len(self._connecting)

    @property
    def is_idle(self) -> bool:
        """Return whether a connection is idle."""
        return bool(self._free)

    @property
    def is_full(self) -> bool:
        """Return whether there are two exchanges per allowed connection."""
        return self.load >= 2 * self.cap

    def get_oldest_age(self, now: float) -> float:
        """Return the time in seconds since the oldest exchange was sent.

        The age is infinite if the reply to an exchange is no longer needed,
        for example because a hedge was answered first.
        """
        oldest = 0.0
        for link in self._links:
            exchange = link.exchange
            if exchange is None:
                continue
            if exchange.abort_at is not None:
                return math.inf
            oldest = max(oldest, now - exchange.sent_at)
        return oldest

    def submit(self, exchange: link_module.Exchange) -> None:
        """Send the request of an exchange once a connection is free."""
        link = self._take_free(exchange)
        if link is not None:
            link.start(exchange)
            return
        self._waiting.append(exchange)
        self._open_if_needed()

    def withdraw(self, exchange: link_module.Exchange) -> bool:
        """Remove a queued exchange; return False if it was not queued."""
        if exchange.sent_at is not None:
            return False
        try:
            self._waiting.remove(exchange)
        except ValueError:
            return False
        exchange.on_done = None
        return True

    def cancel(self, exchange: link_module.Exchange) -> None:
        """Cancel an exchange and close its connection if it was sent."""
        exchange.on_done = None
        if not self.withdraw(exchange) and exchange.link is not None:
            self._abort_unanswered(exchange)

    def abandon(self, exchange: link_module.Exchange, grace_s: float) -> None:
        """Ignore the reply to an exchange, but wait for it.

        The connection can be reused once the reply has arrived. If it has
        not arrived after `grace_s` seconds, the connection is closed.
        """
        exchange.on_done = None
        if not self.withdraw(exchange):
            exchange.abort_at = self._loop.time() + grace_s

    def record_round_trip(self, elapsed_s: float) -> None:
        """Update the shortest measured round-trip time."""
        self.round_trip_s = min(elapsed_s, self.round_trip_s or elapsed_s)

    def warm(self, count: int = 1) -> None:
        """Open connections until there are `count`, before they are needed."""
        missing = count - len(self._links) - len(self._connecting)
        if not self._retired:
            for _ in range(missing):
                self._start_opening()

    def open_one(self) -> None:
        """Open another connection unless the limit is reached."""
        if len(self._links) + len(self._connecting) < self.cap:
            self._start_opening()

    def sweep(self) -> None:
        """Close connections that have expired.

        These are connections that have been idle for too long, and those
        whose abandoned exchange has not finished in time.
        """
        now = self._loop.time()
        for link in list(self._free):
            if now - link.idle_since > self._get_max_idle_s(link):
                self._free.remove(link)
                link.abort()
        for link in list(self._links):
            exchange = link.exchange
            if exchange is None or exchange.abort_at is None:
                continue
            if now >= exchange.abort_at:
                self._abort_unanswered(exchange)

    def _abort_unanswered(self, exchange: link_module.Exchange) -> None:
        """Close the connection of an unanswered exchange.

        The idle connections are closed too if the exchange has been waiting
        for at least `UNRESPONSIVE_AFTER_S`.
        """
        if self._loop.time() - exchange.sent_at >= UNRESPONSIVE_AFTER_S:
            self.drop_idle()
        exchange.link.abort()

    def _get_max_idle_s(self, link: link_module.Link) -> float:
        if self.is_unallocated:
            return UNALLOCATED_IDLE_S
        return (link.keep_alive_s or self._keep_alive_s) * KEEP_ALIVE_FRACTION

    def retire(self) -> None:
        """Fail the queued exchanges and let those in flight finish."""
        self._retired = True
        while self._waiting:
            exchange = self._waiting.pop(0)
            exchange.finish(
                link_module.ConnectionLost(False, 'upstream was removed')
            )
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close the idle connections."""
        while self._free:
            self._free.pop().abort()

    def list_idle_times(self) -> list[float]:
        """Return the loop times in seconds since which each idle one is."""
        return [link.idle_since for link in self._free]

    def drop_oldest(self) -> None:
        """Close the connection that has been idle for longest."""
        oldest = min(self._free, key=lambda link: link.idle_since)
        self._free.remove(oldest)
        oldest.abort()

    def close(self) -> None:
        """Close every connection at once, and stop opening new ones."""
        self.retire()
        for task in list(self._connecting):
            task.cancel()
        for link in list(self._links):
            link.abort()

    def _take_free(
        self, exchange: link_module.Exchange
    ) -> link_module.Link | None:
        now = self._loop.time()
        for link in reversed(list(self._free)):
            if link in exchange.used_links:
                continue
            self._free.remove(link)
            if not link.is_free:
                continue
            if (
                exchange.needs_recent_connection
                and now - link.idle_since > RECENT_USE_S
            ):
                link.abort()
                continue
            return link
        return None

    def _open_if_needed(self) -> None:
        open_now = len(self._links) + len(self._connecting)
        needed = len(self._waiting) - len(self._connecting)
        if needed <= 0 or self._retired:
            return
        if open_now < self.cap:
            self._start_opening()
        elif self._free:
            # Exchanges wait beside an idle connection only if it has carried
            # their requests before. Once it is closed, another is opened.
            self._free.pop(0).abort()

    def _start_opening(self) -> None:
        if not self._may_open(bool(self._waiting)):
            self._loop.call_soon(self._fail_unconnected)
            return
        self._count_opened()
        task = self._loop.create_task(self._connect())
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self) -> None:
        host, port = self.endpoint.address
        began = self._loop.time()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await self._loop.create_connection(
                    self._make_link, host, port
                )
        except (OSError, TimeoutError) as error:
            self._fail_waiting(str(error) or 'connect timed out')
            return
        self.record_round_trip(self._loop.time() - began)
        self._links.add(link)
        # The task is in `_connecting` until it ends, but its connection is
        # counted in `_links` from here on.
        self._connecting.discard(asyncio.current_task())
        self._on_free(link)

    def _fail_unconnected(self) -> None:
        if not self._connecting:
            self._fail_waiting('this host has too many')

    def _make_link(self) -> link_module.Link:
        return link_module.Link(
            self._loop, self._names, self._on_free, self._on_closed
        )

    def _fail_waiting(self, detail: str) -> None:
        """Fail the queued exchanges unless a connection is in use."""
        if any(link.exchange is not None for link in self._links):
            return
        while self._waiting:
            exchange = self._waiting.pop(0)
            exchange.finish(
                link_module.ConnectionLost(False, f'no connection: {detail}')
            )

    def _on_free(self, link: link_module.Link) -> None:
        exchange = self._take_waiting(link) if link.is_free else None
        if exchange is not None:
            link.start(exchange)
        elif self._retired or not link.is_free:
            link.abort()
        else:
            self._free.append(link)
            self._open_if_needed()

    def _take_waiting(
        self, link: link_module.Link
    ) -> link_module.Exchange | None:
        for exchange in self._waiting:
            if link not in exchange.used_links:
                self._waiting.remove(exchange)
                return exchange
        return None

    def _on_closed(self, link: link_module.Link) -> None:
        self._links.discard(link)
        if link in self._free:
            self._free.remove(link)
        self._open_if_needed()
