"""The connections of this host to one upstream, and what waits for them."""

import asyncio
import collections
from collections.abc import Callable
import math

from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _link as link_module
from rudderrock.gateway.knowledge import _directory as directory

# How long opening a connection may take, in seconds. Between regions it
# takes some 30 ms; a lost opening packet is sent again after a second.
CONNECT_TIMEOUT_S = 1.0
# An idle connection is closed after this part of the time that the
# upstream says it keeps one, so that both sides seldom close at once.
KEEP_FRACTION = 0.75
# Idle time in seconds where the upstream doesn't say.
DEFAULT_KEEP_S = 10.0
# Idle time of a connection that this host has no claim to keep, in seconds.
SPARE_IDLE_S = 0.5
# A request that must not run twice can't be sent again after a reset, so
# it takes a connection that was used this recently, or a new one; seconds.
FRESH_S = 1.0
# A connection on which a request had no answer for so long, in seconds, may
# have fallen silent, and the others with it, with no sign of it on either
# side. Idle ones are closed then, since a new one costs little.
SILENT_S = 0.3


class Pool:
    """At most `cap` connections to one endpoint.

    `is_spare` tells that this host has no claim to keep a connection there,
    and closes each one soon. `count_dial` is called for each connection
    that is opened.
    """

    def __init__(
        self,
        endpoint: directory.Endpoint,
        loop: asyncio.AbstractEventLoop,
        names: dialect.HeaderNames,
        count_dial: Callable[[], None],
        cap: int = 1,
        keep_s: float = DEFAULT_KEEP_S,
    ):
        self.endpoint = endpoint
        self.cap = cap
        self.is_spare = False
        # The shortest time in seconds in which the other side has shown a
        # sign: opened a connection, or said that it has read a request.
        self.round_trip_s: float | None = None
        self._loop = loop
        self._names = names
        self._count_dial = count_dial
        self._keep_s = keep_s
        self._free: list[link_module.Link] = []
        self._links: set[link_module.Link] = set()
        self._dials: set[asyncio.Task] = set()
        self._waiting: collections.deque[link_module.Exchange] = (
            collections.deque()
        )
        self._retired = False

    @property
    def load(self) -> int:
        """Return how many exchanges are under way or waiting."""
        busy = len(self._links) - len(self._free)
        return busy + len(self._waiting)

    @property
    def is_open(self) -> bool:
        """Tell whether a connection is there or being opened."""
        return bool(self._links or self._dials)

    @property
    def is_idle(self) -> bool:
        """Tell whether a connection waits for an exchange."""
        return bool(self._free)

    @property
    def is_full(self) -> bool:
        """Tell whether one more exchange would wait for more than one."""
        return self.load >= 2 * self.cap

    def get_oldest_age(self, now: float) -> float:
        """Return for how long the oldest exchange has been under way.

        One that a hedge has overtaken is as old as can be.
        """
        oldest = 0.0
        for link in self._links:
            exchange = link.exchange
            if exchange is None:
                continue
            if exchange.give_up_at is not None:
                return math.inf
            oldest = max(oldest, now - exchange.sent_at)
        return oldest

    def submit(self, exchange: link_module.Exchange) -> None:
        """Send as soon as a connection is free."""
        link = self._take_free(exchange.fresh)
        if link is not None:
            link.start(exchange)
            return
        self._waiting.append(exchange)
        self._dial_if_needed()

    def withdraw(self, exchange: link_module.Exchange) -> bool:
        """Take back an exchange that has not been sent; tell if it was."""
        if exchange.sent_at is not None:
            return False
        try:
            self._waiting.remove(exchange)
        except ValueError:
            return False
        exchange.on_done = None
        return True

    def drop(self, exchange: link_module.Exchange) -> None:
        """Give an exchange up; its upstream is told by a closed link."""
        exchange.on_done = None
        if not self.withdraw(exchange) and exchange.link is not None:
            self._abort_unanswered(exchange)

    def leave(self, exchange: link_module.Exchange, patience_s: float) -> None:
        """Let an exchange that nobody waits for come to its end.

        It keeps the connection whole; after `patience_s` it is dropped.
        """
        exchange.on_done = None
        if not self.withdraw(exchange):
            exchange.give_up_at = self._loop.time() + patience_s

    def note_round_trip(self, took_s: float) -> None:
        """Take note of how long the other side took to show a sign."""
        self.round_trip_s = min(took_s, self.round_trip_s or took_s)

    def warm(self, count: int = 1) -> None:
        """Open the first connections before anybody needs them."""
        missing = count - len(self._links) - len(self._dials)
        if not self._retired:
            for _ in range(missing):
                self._dial()

    def open_more(self) -> None:
        """Open one more connection, within the bound."""
        if len(self._links) + len(self._dials) < self.cap:
            self._dial()

    def sweep(self) -> None:
        """Close what has idled too long or was left to end and didn't."""
        now = self._loop.time()
        for link in list(self._free):
            if now - link.idle_since > self._get_idle_s(link):
                self._free.remove(link)
                link.abort()
        for link in list(self._links):
            exchange = link.exchange
            if exchange is None or exchange.give_up_at is None:
                continue
            if now >= exchange.give_up_at:
                self._abort_unanswered(exchange)

    def _abort_unanswered(self, exchange: link_module.Exchange) -> None:
        """Close a connection that owes an answer, and doubt idle ones."""
        if self._loop.time() - exchange.sent_at >= SILENT_S:
            self.drop_idle()
        exchange.link.abort()

    def _get_idle_s(self, link: link_module.Link) -> float:
        if self.is_spare:
            return SPARE_IDLE_S
        return (link.keep_s or self._keep_s) * KEEP_FRACTION

    def retire(self) -> None:
        """Send no more; what is under way may end."""
        self._retired = True
        while self._waiting:
            exchange = self._waiting.popleft()
            exchange.finish(link_module.Lost(False, 'upstream left'))
        self.drop_idle()

    def drop_idle(self) -> None:
        """Close the connections that have nothing under way."""
        while self._free:
            self._free.pop().abort()

    def close(self) -> None:
        """Close every connection at once."""
        self.retire()
        for dial in list(self._dials):
            dial.cancel()
        for link in list(self._links):
            link.abort()

    def _take_free(self, fresh: bool) -> link_module.Link | None:
        now = self._loop.time()
        while self._free:
            link = self._free.pop()
            if not link.is_free:
                continue
            if fresh and now - link.idle_since > FRESH_S:
                link.abort()
                continue
            return link
        return None

    def _dial_if_needed(self) -> None:
        open_now = len(self._links) + len(self._dials)
        wanted = len(self._waiting) - len(self._dials)
        if wanted > 0 and open_now < self.cap and not self._retired:
            self._dial()

    def _dial(self) -> None:
        self._count_dial()
        task = self._loop.create_task(self._connect())
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

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
        self.note_round_trip(self._loop.time() - began)
        self._links.add(link)
        # The task still counts as a dial while it runs.
        self._dials.discard(asyncio.current_task())
        self._on_free(link)

    def _make_link(self) -> link_module.Link:
        return link_module.Link(
            self._loop, self._names, self._on_free, self._on_closed
        )

    def _fail_waiting(self, detail: str) -> None:
        """Fail what waits, unless a connection may still become free."""
        if any(link.exchange is not None for link in self._links):
            return
        while self._waiting:
            exchange = self._waiting.popleft()
            exchange.finish(
                link_module.Lost(False, f'no connection: {detail}')
            )

    def _on_free(self, link: link_module.Link) -> None:
        if self._waiting and link.is_free:
            link.start(self._waiting.popleft())
        elif self._retired or not link.is_free:
            link.abort()
        else:
            self._free.append(link)

    def _on_closed(self, link: link_module.Link) -> None:
        self._links.discard(link)
        if link in self._free:
            self._free.remove(link)
        self._dial_if_needed()
