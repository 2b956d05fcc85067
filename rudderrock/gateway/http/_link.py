"""One connection to an upstream, with one exchange at a time on it.

An answer belongs to the exchange under way only if it names that exchange's
request or names none. An answer that names another request is read to its
end and dropped; it never becomes anybody's. A connection that has carried
anything unasked for is not used again.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import httptools

from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages

# A reply larger than this is treated as spoilt; bytes.
MAX_REPLY_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """An exchange that ended without a whole reply.

    `sent` tells whether the upstream may have received the request.
    """

    sent: bool
    detail: str


Outcome = messages.Reply | Lost


class Exchange:
    """One request on its way to one upstream.

    `render` is called when the request is written, so that the time left
    which it states is that of the moment. `on_done` is called once, unless
    the exchange was dropped before, and `on_sign` with each interim reply,
    which shows that the other side has read the request (RFC 9110, 15.2).
    """

    __slots__ = (
        'request_id',
        'render',
        'headless',
        'fresh',
        'on_done',
        'on_sign',
        'sent_at',
        'give_up_at',
        'link',
    )

    def __init__(
        self,
        request_id: bytes,
        render: Callable[[], bytes],
        on_done: Callable[['Exchange', Outcome], None] | None,
        *,
        headless: bool = False,
        fresh: bool = False,
        on_sign: Callable[[], None] | None = None,
    ):
        self.request_id = request_id
        self.render = render
        self.headless = headless
        self.fresh = fresh
        self.on_done = on_done
        self.on_sign = on_sign
        self.sent_at: float | None = None
        self.give_up_at: float | None = None
        self.link: 'Link | None' = None

    def finish(self, outcome: Outcome) -> None:
        """Hand the outcome over; nothing happens a second time."""
        call, self.on_done = self.on_done, None
        self.link = None
        if call is not None:
            call(self, outcome)


class Link(asyncio.Protocol):
    """The connection; `on_free` and `on_closed` tell its owner."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        names: dialect.HeaderNames,
        on_free: Callable[['Link'], None],
        on_closed: Callable[['Link'], None],
    ):
        self.idle_since = 0.0
        self.keep_s: float | None = None
        self.exchange: Exchange | None = None
        self._loop = loop
        self._names = names
        self._on_free = on_free
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._spoilt = False
        self._ended = False
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._size = 0
        self._in_message = False
        self._head_done = False
        self._keeps = False
        self._reply: messages.Reply | None = None

    @property
    def is_free(self) -> bool:
        """Tell whether an exchange may start now."""
        return (
            self.exchange is None
            and self._transport is not None
            and not self._spoilt
            and not self._transport.is_closing()
        )

    def start(self, exchange: Exchange) -> None:
        """Write a request; the link must be free."""
        self.exchange = exchange
        exchange.link = self
        exchange.sent_at = self._loop.time()
        self._transport.write(exchange.render())

    def abort(self) -> None:
        """Close at once, which tells the upstream to stop working."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport) -> None:
        """Take the connection into use."""
        self._transport = transport
        self.idle_since = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Feed the parser and hand over a reply that is whole."""
        if self.exchange is None:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self._spoilt = True
        if self._reply is not None:
            self._hand_over()
        elif self._spoilt:
            self._lose('not a whole HTTP reply')
            self.abort()

    def eof_received(self) -> bool:
        """Note a clean end, which ends a reply without a length."""
        if self._ends_with_connection():
            self._spoilt = True
            self._complete()
            if self._reply is not None:
                self._hand_over()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange under way, if any."""
        self._spoilt = True
        self._lose('reset' if exc is not None else 'closed')
        if not self._ended:
            self._ended = True
            self._on_closed(self)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start a reply; one too many spoils the connection."""
        if self._reply is not None:
            self._spoilt = True
        self._headers = []
        self._body = []
        self._size = 0
        self._in_message = True
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self._head_done = True
        if self.exchange is not None and self.exchange.headless:
            self._spoilt = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Keep one piece of the body."""
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            self._spoilt = True
            raise ValueError('reply too large')
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Note a whole reply."""
        if self._reply is None:
            self._complete()

    def _complete(self) -> None:
        self._in_message = False
        status = self._parser.get_status_code()
        if status < 200:
            if self.exchange.on_sign is not None:
                self.exchange.on_sign()
            return
        named = messages.find_header(self._headers, self._names.request_id)
        self._keeps = self._parser.should_keep_alive()
        if named is not None and named != self.exchange.request_id:
            # The late answer to an earlier request.
            self._spoilt = self._spoilt or not self._keeps
            return
        self._reply = messages.Reply(
            status, self._headers, b''.join(self._body)
        )

    def _ends_with_connection(self) -> bool:
        if not (self._in_message and self._head_done) or self._spoilt:
            return False
        framed = (b'content-length', b'transfer-encoding')
        return not any(name in framed for name, _ in self._headers)

    def _hand_over(self) -> None:
        reply, self._reply = self._reply, None
        exchange, self.exchange = self.exchange, None
        self._note_keep_alive(reply)
        unsent = self._transport.get_write_buffer_size()
        keeps = self._keeps and not unsent
        if self._spoilt or self._in_message or not keeps:
            self._spoil()
        else:
            self.idle_since = self._loop.time()
        exchange.finish(reply)
        if self.is_free:
            self._on_free(self)

    def _note_keep_alive(self, reply: messages.Reply) -> None:
        told = reply.get_header(b'keep-alive') or b''
        for word in told.split(b','):
            key, _, value = word.strip().partition(b'=')
            if key.lower() == b'timeout' and value.isdigit():
                self.keep_s = float(value)

    def _spoil(self) -> None:
        self._spoilt = True
        self.abort()

    def _lose(self, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(Lost(True, detail))
