"""A client connection that carries one exchange at a time.

A reply is accepted for the current exchange only if it has the request id of
that exchange or no request id. A reply with another request id is read to its
end and discarded. A connection that has received unsolicited data is not used
again.

A retry has the request id of the attempt before it, and an upstream may send a
second copy of a reply late. So no connection carries a request twice: on any
connection, a request id identifies one exchange.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import httptools

from rudderrock import core
from rudderrock.gateway.http import _byte_budget as byte_budget
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages

# A reply with a larger body counts as invalid, and its connection is closed.
MAX_REPLY_BYTES = 8 * 1024 * 1024
# Maximum size of the header and trailer section of a reply, computed as for
# HTTP/2 (RFC 9113, 6.5.2), and of bytes in a row that are no part of a body.
# The part stamps of a query over 2,000 shards take a fifth of that.
MAX_HEAD_BYTES = 256 * 1024
_HEADER_OVERHEAD_BYTES = 32
# Maximum number of bytes that may arrive for one exchange: its reply, and a
# late one to an earlier exchange.
MAX_EXCHANGE_BYTES = 2 * (MAX_REPLY_BYTES + MAX_HEAD_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The outcome of an exchange without a complete reply.

    `sent` is whether the upstream may have received the request.
    """

    sent: bool
    detail: str


Outcome = messages.Reply | ConnectionLost


class Exchange:
    """A request to one upstream and the callbacks for its reply.

    `render` returns the bytes of the request. It is called when the request is
    written, so that the remaining time stated in the request is current.
    `on_done` is called once with the outcome, unless the exchange has been
    cancelled. `on_interim_reply` is called for each interim reply, which shows
    that the other side has read the request (RFC 9110, 15.2). If
    `is_head_request` is true, the reply has no body. If
    `needs_recent_connection` is true, the request must not be sent on a
    connection that has been idle for long. `used_links`, shared by all
    attempts of a request, holds the connections that have carried it, which
    must not carry it again. The reply is counted in `budget`, if any, for
    `owner`, and the exchange is lost if there is no room for it.

    `sent_at` is the loop time at which the request was written. `abort_at` is
    set when the reply is no longer needed: the loop time at which the
    connection is closed if the reply has not arrived. `link` is the connection
    that carries the exchange, if any.
    """

    __slots__ = (
        'request_id',
        'render',
        'is_head_request',
        'needs_recent_connection',
        'used_links',
        'on_done',
        'on_interim_reply',
        'budget',
        'owner',
        'sent_at',
        'abort_at',
        'link',
    )

    def __init__(
        self,
        request_id: bytes,
        render: Callable[[], bytes],
        on_done: Callable[['Exchange', Outcome], None] | None,
        *,
        is_head_request: bool = False,
        needs_recent_connection: bool = False,
        on_interim_reply: Callable[[], None] | None = None,
        used_links: set['Link'] | None = None,
        budget: byte_budget.ByteBudget | None = None,
        owner: str = '',
    ):
        self.request_id = request_id
        self.render = render
        self.is_head_request = is_head_request
        self.needs_recent_connection = needs_recent_connection
        self.used_links = set() if used_links is None else used_links
        self.on_done = on_done
        self.on_interim_reply = on_interim_reply
        self.budget = budget
        self.owner = owner
        self.sent_at: float | None = None
        self.abort_at: float | None = None
        self.link: 'Link | None' = None

    def finish(self, outcome: Outcome) -> None:
        """Pass the outcome to `on_done`; repeated calls have no effect."""
        on_done, self.on_done = self.on_done, None
        self.link = None
        if on_done is not None:
            on_done(self, outcome)


class Link(asyncio.Protocol):
    """A connection that carries one exchange at a time.

    `on_free` is called when the next exchange may start, and `on_closed`
    once when the connection has closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        names: header_names.HeaderNames,
        on_free: Callable[['Link'], None],
        on_closed: Callable[['Link'], None],
    ):
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.exchange: Exchange | None = None
        self._loop = loop
        self._names = names
        self._on_free = on_free
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        # None once the connection is closed. The parser holds what it has not
        # reported, and refers to the link, so both would otherwise live until
        # a collection of cycles.
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._unusable = False
        self._problem = 'invalid HTTP reply'
        self._is_evicted = False
        self._holding: byte_budget.Holding | None = None
        self._close_reported = False
        self._headers: messages.Headers = []
        self._head_size = 0
        self._body = bytearray()
        # Bytes since the exchange began, and since the last bytes of a body.
        self._received = 0
        self._received_outside_body = 0
        self._has_body_data = False
        self._in_message = False
        self._head_done = False
        self._keep_alive = False
        self._reply: messages.Reply | None = None

    @property
    def is_free(self) -> bool:
        """Return whether an exchange may start now."""
        return (
            self.exchange is None
            and self._transport is not None
            and not self._unusable
            and not self._transport.is_closing()
        )

    def start(self, exchange: Exchange) -> None:
        """Write the request of an exchange; the connection must be free."""
        self.exchange = exchange
        exchange.link = self
        exchange.used_links.add(self)
        exchange.sent_at = self._loop.time()
        self._received = 0
        self._received_outside_body = 0
        self._transport.write(exchange.render())

    def abort(self) -> None:
        """Close at once.

        The upstream sees the closed connection and can stop working on the
        request.
        """
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport) -> None:
        """Store the transport and start the idle time."""
        self._transport = transport
        self.idle_since = self._loop.time()

    def data_received(self, data: bytes) -> None:
        """Feed the parser and deliver the reply once it is complete."""
        if self.exchange is None or self._parser is None:
            self._abort_unusable()
            return
        self._has_body_data = False
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self._unusable = True
        self._check_size(len(data))
        if (
            self._received > byte_budget.SMALL_BYTES
            or len(self._headers) > byte_budget.SMALL_HEADERS
        ):
            self._count_held()
        if self._reply is not None:
            self._deliver()
        elif self._unusable:
            self._fail(self._problem)
            self.abort()

    def _count_held(self) -> None:
        """Count what is held for the reply; it may be evicted for that."""
        exchange = self.exchange
        if exchange.on_done is None:
            # Nobody waits for the reply, but its head tells whose it is.
            self._body.clear()
        if exchange.budget is None:
            return
        if self._holding is None:
            self._holding = exchange.budget.open(exchange.owner, self._evict)
        body = self._body if self._reply is None else self._reply.body
        self._holding.resize(
            byte_budget.compute_head_size(self._head_size, len(self._headers))
            + self._received_outside_body
            + len(body)
        )

    def _evict(self) -> None:
        """Drop what has been read, and close; the exchange is lost."""
        self._is_evicted = True
        self._problem = 'too many bytes held'
        self._reply = None
        self._drop_reply()
        self._parser = None
        self._abort_unusable()

    def _drop_reply(self) -> None:
        self._headers = []
        self._body = bytearray()
        self._holding = None

    def _check_size(self, size: int) -> None:
        """Count the received bytes; too many make the connection unusable."""
        self._received += size
        self._received_outside_body += size
        if self._has_body_data:
            self._received_outside_body = 0
        if (
            self._received > MAX_EXCHANGE_BYTES
            or self._received_outside_body > MAX_HEAD_BYTES
        ):
            self._unusable = True

    def eof_received(self) -> bool:
        """Deliver a reply whose body ends with the connection, if any."""
        if self._ends_with_connection():
            self._unusable = True
            self._complete()
            if self._reply is not None:
                self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current exchange, if any, and report the close once."""
        self._unusable = True
        if not self._is_evicted:
            self._problem = 'reset' if exc is not None else 'closed'
        self._fail(self._problem)
        self._drop_reply()
        self._parser = None
        if not self._close_reported:
            self._close_reported = True
            self._on_closed(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a reply; a second one makes the connection unusable."""
        if self._reply is not None:
            self._unusable = True
        self._headers = []
        self._head_size = 0
        self._in_message = True
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; raise ValueError if the section is too large."""
        self._head_size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if self._head_size > MAX_HEAD_BYTES:
            self._unusable = True
            raise ValueError('head too large')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Complete the reply if the request was a HEAD request."""
        self._head_done = True
        if self.exchange is not None and self.exchange.is_head_request:
            self._unusable = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body; raise ValueError if it is too large."""
        self._has_body_data = True
        if len(self._body) + len(data) > MAX_REPLY_BYTES:
            self._unusable = True
            raise ValueError('reply too large')
        self._body += data

    def on_message_complete(self) -> None:
        """Complete the reply unless another one is already pending."""
        if self._reply is None:
            self._complete()

    def _complete(self) -> None:
        self._in_message = False
        status = self._parser.get_status_code()
        if status < 200:
            if self.exchange.on_interim_reply is not None:
                self.exchange.on_interim_reply()
            return
        reply_id = messages.find_header(self._headers, self._names.request_id)
        self._keep_alive = self._parser.should_keep_alive()
        if reply_id is not None and reply_id != self.exchange.request_id:
            # A late reply to an earlier request.
            self._drop_reply()
            self._unusable = self._unusable or not self._keep_alive
            return
        self._reply = messages.Reply(status, self._headers, bytes(self._body))
        self._body = bytearray()

    def _ends_with_connection(self) -> bool:
        if not (self._in_message and self._head_done) or self._unusable:
            return False
        framing_headers = (b'content-length', b'transfer-encoding')
        return not any(name in framing_headers for name, _ in self._headers)

    def _deliver(self) -> None:
        reply, self._reply = self._reply, None
        exchange, self.exchange = self.exchange, None
        if self._holding is not None:
            holding, self._holding = self._holding, None
            holding.set_evict(None)
            reply = dataclasses.replace(reply, holding=holding)
        # The link must not keep what the reply refers to.
        self._headers = []
        self._record_keep_alive(reply)
        unsent = self._transport.get_write_buffer_size()
        reusable = self._keep_alive and not unsent
        if self._unusable or self._in_message or not reusable:
            self._abort_unusable()
        else:
            self.idle_since = self._loop.time()
        exchange.finish(reply)
        if self.is_free:
            self._on_free(self)

    def _record_keep_alive(self, reply: messages.Reply) -> None:
        header = reply.get_header(b'keep-alive') or b''
        for parameter in header.split(b','):
            key, _, value = parameter.strip().partition(b'=')
            seconds = core.parse_number(value)
            if key.lower() == b'timeout' and seconds is not None:
                self.keep_alive_s = float(seconds)

    def _abort_unusable(self) -> None:
        self._unusable = True
        self.abort()

    def _fail(self, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.finish(ConnectionLost(True, detail))
