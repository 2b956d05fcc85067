"""HTTP server for callers, health probes, metrics and peer hosts.

Each connection handles one request at a time.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import httptools

from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.http import _byte_budget as byte_budget
from rudderrock.gateway.http import _connection_limit as connection_limit
from rudderrock.gateway.http import _messages as messages

Handler = Callable[[messages.Request], Awaitable[messages.Reply]]
# Returns who is charged for a request, by its target and headers.
OwnerFinder = Callable[[bytes, messages.Headers], str]

# Connections that may wait to be accepted. If the queue is full, the caller's
# SYN packet is dropped and sent again only after a second or more.
LISTEN_BACKLOG = 1024
# Requests that one connection may send before it has received their replies.
MAX_PIPELINED_REQUESTS = 16
# Bytes of a request for each byte of its body: a chunk of one byte takes six.
_MAX_FRAMING_FACTOR = 6
# A larger body is written in pieces of this size, so that a caller that does
# not read makes no copy of it necessary.
_PIECE_BYTES = 64 * 1024
# Value of retry-after for a request that there is no room for, in seconds.
_NO_ROOM_RETRY_AFTER = b'0.5'
# A request is kept in the write buffer of an upstream too, until it is read.
_REQUEST_COPIES = 2
_NO_ROOM = 'no room'
_STATUS_BY_PROBLEM = {
    'head': 431,
    'body': 413,
    'syntax': 400,
    'slow': 408,
    _NO_ROOM: 503,
}


class CallerConnection(asyncio.Protocol):
    """A connection accepted by a listener, served by its own task."""

    def __init__(self, listener: 'CallerListener'):
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: asyncio.Queue[messages.Request | str] = asyncio.Queue()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._answering = False
        self._closing = False
        self._current: messages.Request | None = None
        self._is_excess = False
        self.idle_since = self._loop.time()
        self._writing_pieces = False
        self._was_refused = False
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or answered."""
        busy = self._answering or self._in_message or not self._pending.empty()
        return not busy

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what the caller has not taken."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def is_closable(self) -> bool:
        """Return whether nothing is being read, answered or written."""
        unsent = self._transport.get_write_buffer_size()
        return self.is_idle and not self._closing and unsent == 0

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun, and none is complete."""
        busy = self._answering or not self._pending.empty()
        return self._in_message and not busy and not self._closing

    def connection_made(self, transport) -> None:
        """Register the connection and start its task."""
        self._transport = transport
        if not self._count():
            self.abort()
            return
        self._listener.links.add(self)
        self._task = self._loop.create_task(self._serve())
        self._set_timer(self._listener.limits.idle_timeout_s, self.close)

    def _count(self) -> bool:
        """Return whether the limit allows the connection."""
        limit = self._listener.connection_limit
        if limit is None:
            return True
        peer = self._transport.get_extra_info('peername') or ('',)
        verdict = limit.add(self, peer[0])
        self._is_excess = verdict is connection_limit.Verdict.EXCESS
        return verdict is not connection_limit.Verdict.REJECTED

    def data_received(self, data: bytes) -> None:
        """Feed the parser; answer invalid HTTP with an error and close."""
        if self._closing:
            return
        if not self._in_message and not self._answering:
            self._start_message()
        self._received += len(data)
        self._received_outside_body += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserError:
            self._reject(self._problem or 'syntax')
        self._check_size(len(data))
        if not self._closing and self._is_large():
            self._count_held()
        if self._pending.qsize() > MAX_PIPELINED_REQUESTS:
            self.close()

    def _feed(self, data: bytes) -> None:
        """Feed the parser, so that it ignores offers of an upgrade.

        The parser ends a request that offers another protocol at its head, and
        raises an exception with the number of bytes that it has read. The
        offer need not be accepted (RFC 9110, 7.8), so the head is parsed again
        without it, and what follows is a body or the next request.
        """
        while data and not self._closing:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                read = upgrade.args[0]
                if not self._closing:
                    data = self._take_head_without_upgrade() + data[read:]

    def _take_head_without_upgrade(self) -> bytes:
        """Return the head that was read, to be parsed by a new parser."""
        line = b'%b %b HTTP/%b\r\n' % (
            self._parser.get_method(),
            self._target,
            self._parser.get_http_version().encode(),
        )
        headers = [
            b'%b: %b\r\n' % pair
            for pair in self._headers
            if pair[0] != b'upgrade'
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._headers = []
        self._header_size = 0
        return b''.join([line, *headers, b'\r\n'])

    def _check_size(self, size: int) -> None:
        """Reject a request of which too much has been read.

        This limits what came before the last `size` bytes, since these may
        hold the end of the head or of the request. The headers that have been
        parsed are limited in `on_header`, and the body in `on_body`.
        """
        limits = self._listener.limits
        if self._received_outside_body > limits.max_header_bytes + size:
            self._reject('head')
        total = limits.max_header_bytes
        total += _MAX_FRAMING_FACTOR * limits.max_body_bytes
        if self._received > total + size:
            self._reject('body')

    def _is_large(self) -> bool:
        """Return whether the request being read is counted."""
        return (
            self._received > byte_budget.SMALL_BYTES
            or len(self._body) > byte_budget.SMALL_BYTES
            or len(self._headers) > byte_budget.SMALL_HEADERS
        )

    def _count_held(self, copies: int = 1) -> None:
        """Count what is held for a request; it may be refused for that."""
        budget = self._listener.budget
        if budget is None:
            return
        if self._holding is None:
            owner = self._listener.find_owner(self._target, self._headers)
            self._holding = budget.open(owner, self._refuse)
        headers = len(self._headers)
        size = byte_budget.compute_head_size(self._header_size, headers)
        size += self._received_outside_body + len(self._target)
        self._holding.resize(size + copies * len(self._body))

    def _refuse(self) -> None:
        """Refuse the request that is being read, and drop it."""
        self._reject(_NO_ROOM)
        self._reset()
        self._was_refused = True

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its side.

        It is kept open while a reply is written in pieces.
        """
        self._closing = self._closing or self._writing_pieces
        return self._writing_pieces

    def pause_writing(self) -> None:
        """Stop replying until the caller reads; abort if it does not."""
        self._writable.clear()
        idle_s = self._listener.limits.idle_timeout_s
        self._stall_timer = self._loop.call_later(
            idle_s, self._transport.abort
        )

    def resume_writing(self) -> None:
        """Resume replying."""
        self._writable.set()
        self._cancel_stall_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task and the timers of the connection."""
        self._closing = True
        self._cancel_timer()
        self._cancel_stall_timer()
        self._listener.links.discard(self)
        if self._listener.connection_limit is not None:
            self._listener.connection_limit.discard(self)
        # The parser and the task refer to this object, so these would
        # otherwise live until a collection of cycles.
        self._reset()
        self._pending = asyncio.Queue()
        self._parser = None
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def close(self) -> None:
        """Close after the buffered data has been sent."""
        self._closing = True
        if self._transport is not None and not self._writing_pieces:
            self._transport.close()

    def finish(
        self, make_reply: Callable[[messages.Request | None], messages.Reply]
    ) -> int:
        """Answer what has been read, and close.

        Returns the number of requests that lacked a reply. `make_reply` gets
        None for a request that has not been read to its end. A reply of which
        a part has been written is not followed by others.
        """
        if self._writing_pieces:
            return self._pending.qsize()
        left: list[messages.Request | None] = []
        if self._current is not None:
            left.append(self._current)
        while not self._pending.empty():
            item = self._pending.get_nowait()
            left.append(None if isinstance(item, str) else item)
        if self._in_message and not self._closing:
            left.append(None)
        if self._task is not None:
            self._task.cancel()
        for number, request in enumerate(left, 1):
            is_head_request = request is not None and request.method == b'HEAD'
            reply = make_reply(request)
            self._write(reply, number == len(left), is_head_request)
        self.close()
        return len(left)

    def abort(self) -> None:
        """Close at once."""
        self._closing = True
        self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request unless `data_received` has done so."""
        if not self._in_message:
            self._start_message()

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; raise ValueError if the head is too large."""
        if self._was_refused:
            raise ValueError('refused')
        self._header_size += len(name) + len(value) + 4
        if self._header_size > self._listener.limits.max_header_bytes:
            self._problem = 'head'
            raise ValueError('head too large')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Start the timeout for the body.

        If the request has an `expect` header, 100 Continue is sent. CONNECT is
        rejected, since what follows it is not HTTP.
        """
        if self._parser.get_method() == b'CONNECT':
            self._reject('syntax')
        if self._parser.should_upgrade():
            return
        self._received_outside_body = 0
        self._set_timer(self._listener.limits.idle_timeout_s, self.time_out)
        if messages.find_header(self._headers, b'expect') is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Store a chunk of the body; raise ValueError if it is too large."""
        if self._was_refused:
            raise ValueError('refused')
        self._received_outside_body = 0
        if len(self._body) + len(data) > self._listener.limits.max_body_bytes:
            self._problem = 'body'
            raise ValueError('body too large')
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request for the task of this connection."""
        if self._parser.should_upgrade():
            return
        self._cancel_timer()
        if self._is_large() or not self._pending.empty():
            self._count_held(_REQUEST_COPIES)
        if not self._was_refused and self._holding is not None:
            if not self._holding.try_pin():
                self._refuse()
        if self._was_refused:
            return
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._started_at,
            self._parser.should_keep_alive(),
            holding=self._holding,
        )
        if request.get_header(b'expect') is not None:
            request.send_progress = self._send_progress
        self._reset()
        self._pending.put_nowait(request)

    def _send_progress(self) -> None:
        self._transport.write(b'HTTP/1.1 102 Processing\r\n\r\n')

    def _reset(self) -> None:
        self._in_message = False
        # Bytes since the request began, and since its head or body went on.
        self._received = 0
        self._received_outside_body = 0
        self._header_size = 0
        self._target = b''
        self._problem = ''
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._holding: byte_budget.Holding | None = None
        self._started_at = 0.0

    def _start_message(self) -> None:
        self._in_message = True
        self._started_at = self._loop.time()
        self.idle_since = self._started_at
        limits = self._listener.limits
        self._set_timer(limits.header_timeout_s, self.time_out)

    def _reject(self, problem: str) -> None:
        """Queue an error reply for an invalid request and stop reading."""
        if not self._closing:
            self._closing = True
            self._pending.put_nowait(problem)

    def time_out(self) -> None:
        """Answer an incomplete request with status 408 and close."""
        self._reject('slow')

    async def _serve(self) -> None:
        """Answer queued requests in order until the connection closes."""
        while True:
            await self._writable.wait()
            item = await self._pending.get()
            if isinstance(item, str):
                self._write_problem(item)
                return
            self._answering = True
            self._current = item
            reply = await self._answer(item)
            self._current = None
            # What has been read is answered before a stop ends the connection.
            is_last = self._pending.empty() and not self._in_message
            is_stopping = self._listener.is_stopping and is_last
            close = not item.keep_alive or is_stopping or self._is_excess
            is_head_request = item.method == b'HEAD'
            if len(reply.body) > _PIECE_BYTES and not is_head_request:
                await self._write_in_pieces(reply, close, item.team)
            else:
                self._write(reply, close, is_head_request)
            # An idle connection must not keep them.
            del reply, item
            self._answering = False
            self.idle_since = self._loop.time()
            if close:
                return
            if self._pending.empty() and not self._in_message:
                idle_s = self._listener.limits.idle_timeout_s
                self._set_timer(idle_s, self.close)

    async def _answer(self, request: messages.Request) -> messages.Reply:
        refuse = self._listener.refuse
        if self._is_excess and refuse is not None:
            return refuse(request)
        try:
            return await self._listener.handle(request)
        except Exception:
            # A defect in the gateway fails this request only and leaves the
            # caller's connection open. The traceback is logged.
            log.load_absl_log().exception('a request failed on a defect')
            return messages.Reply(500, [])

    def _write_problem(self, problem: str) -> None:
        """Answer a request that could not be read, and close."""
        headers = []
        if problem == _NO_ROOM:
            headers.append((b'retry-after', _NO_ROOM_RETRY_AFTER))
        else:
            self._listener.record_unreadable(problem)
        reply = messages.Reply(_STATUS_BY_PROBLEM[problem], headers)
        self._write(reply, close=True, is_head_request=False)

    async def _write_in_pieces(
        self, reply: messages.Reply, close: bool, team: str
    ) -> None:
        """Write a large reply as the caller reads it.

        The connection is closed if there is no room for the rest any more.
        """
        holding = reply.holding
        if holding is None and self._listener.budget is not None:
            holding = self._listener.budget.open(team)
        if holding is not None:
            holding.set_evict(self._transport.abort)
            holding.resize(len(reply.body))
        self._writing_pieces = True
        head = messages.render_reply(reply, close, with_body=False)
        self._write_bytes(head)
        body = memoryview(reply.body)
        for start in range(0, len(body), _PIECE_BYTES):
            await self._writable.wait()
            self._write_bytes(body[start : start + _PIECE_BYTES])
        self._writing_pieces = False
        if holding is not None:
            holding.set_evict(None)
        if close or self._closing:
            self.close()

    def _write_bytes(self, data: bytes | memoryview) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def _write(
        self, reply: messages.Reply, close: bool, is_head_request: bool
    ) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(
            messages.render_reply(reply, close, is_head_request)
        )
        if close:
            self.close()

    def _set_timer(self, after_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(after_s, callback)

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class CallerListener:
    """A listening address and its accepted connections.

    `handle` returns the reply to a request. `record_unreadable` is called with
    the reason if a request could not be read: 'head' or 'body' if that part
    is too large, 'syntax' or 'slow'. `connection_limit` bounds the number of
    connections. `refuse` returns the reply to the first request of one beyond
    it; if it is None, that request is handled, and its connection closed.
    Large requests and replies are counted in `budget` for the owner that
    `find_owner` returns.
    """

    def __init__(
        self,
        handle: Handler,
        record_unreadable: Callable[[str], None] = lambda problem: None,
        budget: byte_budget.ByteBudget | None = None,
        find_owner: OwnerFinder = lambda target, headers: '',
    ):
        self.handle = handle
        self.record_unreadable = record_unreadable
        self.budget = budget
        self.find_owner = find_owner
        self.limits = routing.IntakeLimits()
        self.connection_limit: connection_limit.ConnectionLimit | None = None
        self.refuse: Callable[[messages.Request], messages.Reply] | None = None
        self.links: set[CallerConnection] = set()
        self.is_stopping = False
        self._server: asyncio.Server | None = None

    @property
    def busy(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(not link.is_idle for link in self.links)

    @contextlib.asynccontextmanager
    async def listen(self, host: str, port: int):
        """Accept connections inside the context; close them all on exit."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        try:
            yield self
        finally:
            self.stop_accepting()
            for link in list(self.links):
                link.close()

    def stop_accepting(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def finish(
        self, make_reply: Callable[[messages.Request | None], messages.Reply]
    ) -> int:
        """Answer what has been read, and close all connections.

        Returns the number of requests that lacked a reply.
        """
        return sum(link.finish(make_reply) for link in list(self.links))

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the replies that callers have not taken."""
        return sum(link.unsent_bytes for link in self.links)

    def close_idle(self) -> None:
        """Close the connections that have no request in flight."""
        for link in list(self.links):
            if link.is_idle:
                link.close()
