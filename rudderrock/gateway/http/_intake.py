"""Connections of callers: requests in, replies out, one at a time each."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

from absl import logging
import httptools

from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _routing as routing

Handler = Callable[[messages.Request], Awaitable[messages.Reply]]

# Connections that may wait to be accepted. A full queue makes a caller's
# opening packet be sent again only after a second or more.
BACKLOG = 1024
# Requests that one connection may send ahead of their answers.
MOST_AHEAD = 16
_ERROR_STATUS = {'head': 431, 'body': 413, 'syntax': 400, 'slow': 408}


class CallerLink(asyncio.Protocol):
    """One connection of a caller, served by one task of its own."""

    def __init__(self, intake: 'Intake'):
        self._intake = intake
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ready: asyncio.Queue[messages.Request | str] = asyncio.Queue()
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unread: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._working = False
        self._closing = False
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is read, waiting or being answered."""
        busy = self._working or self._started or not self._ready.empty()
        return not busy

    def connection_made(self, transport) -> None:
        """Start the task of this connection."""
        self._transport = transport
        self._intake.links.add(self)
        self._task = self._loop.create_task(self._serve())
        self._set_timer(self._intake.limits.idle_timeout_s, self.close)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; what is not HTTP is answered and closed."""
        if self._closing:
            return
        if not self._started and not self._working:
            self._begin()
        self._head_bytes += 0 if self._head_done else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse('syntax')
        except httptools.HttpParserError:
            self._refuse(self._problem or 'syntax')
        limit = self._intake.limits.max_header_bytes
        if not self._head_done and self._head_bytes > limit + len(data):
            self._refuse('head')
        if self._ready.qsize() > MOST_AHEAD:
            self.close()

    def eof_received(self) -> bool:
        """Take the caller's end as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Answer no more until the caller has read; cut one that doesn't."""
        self._writable.clear()
        idle_s = self._intake.limits.idle_timeout_s
        self._unread = self._loop.call_later(idle_s, self._transport.abort)

    def resume_writing(self) -> None:
        """Go on, since the caller reads."""
        self._writable.set()
        self._cancel_unread()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all work for a caller that has left."""
        self._closing = True
        self._cancel_timer()
        self._cancel_unread()
        self._intake.links.discard(self)
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close after what has been written."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._started:
            self._begin()

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header."""
        self._header_size += len(name) + len(value) + 4
        if self._header_size > self._intake.limits.max_header_bytes:
            self._problem = 'head'
            raise ValueError('head too large')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the arrival of a whole head."""
        self._head_done = True
        self._set_timer(self._intake.limits.idle_timeout_s, self._time_out)
        if messages.find_header(self._headers, b'expect') is not None:
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self._body_size += len(data)
        if self._body_size > self._intake.limits.max_body_bytes:
            self._problem = 'body'
            raise ValueError('body too large')
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue a whole request for this connection's task."""
        self._cancel_timer()
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._began,
            self._parser.should_keep_alive(),
        )
        self._reset()
        self._ready.put_nowait(request)

    def _reset(self) -> None:
        self._started = False
        self._head_done = False
        self._head_bytes = 0
        self._header_size = 0
        self._body_size = 0
        self._target = b''
        self._problem = ''
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._began = 0.0

    def _begin(self) -> None:
        self._started = True
        self._began = self._loop.time()
        limits = self._intake.limits
        self._set_timer(limits.header_timeout_s, self._time_out)

    def _refuse(self, problem: str) -> None:
        """Queue an answer to what can't be read, and read no more."""
        if not self._closing:
            self._closing = True
            self._ready.put_nowait(problem)

    def _time_out(self) -> None:
        self._refuse('slow')

    async def _serve(self) -> None:
        """Answer one request after another until the caller leaves."""
        while True:
            await self._writable.wait()
            read = await self._ready.get()
            if isinstance(read, str):
                reply = messages.Reply(_ERROR_STATUS[read], [])
                self._intake.note_unreadable(read)
                self._write(reply, close=True, headless=False)
                return
            self._working = True
            reply = await self._answer(read)
            close = not read.keep_alive or self._intake.is_stopping
            self._write(reply, close, read.method == b'HEAD')
            self._working = False
            if close:
                return
            if self._ready.empty() and not self._started:
                idle_s = self._intake.limits.idle_timeout_s
                self._set_timer(idle_s, self.close)

    async def _answer(self, request: messages.Request) -> messages.Reply:
        try:
            return await self._intake.handle(request)
        except Exception:
            # A defect of ours must cost one request and not the caller's
            # connection; it is logged with its stack.
            logging.exception('a request failed on a defect')
            return messages.Reply(500, [])

    def _write(
        self, reply: messages.Reply, close: bool, headless: bool
    ) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(messages.render_reply(reply, close, headless))
        if close:
            self.close()

    def _set_timer(self, after_s: float, call: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(after_s, call)

    def _cancel_unread(self) -> None:
        if self._unread is not None:
            self._unread.cancel()
            self._unread = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Intake:
    """A listening address and the connections that came by it.

    Parameters: `handle` answers one request; `note_unreadable` is told why
    a request could not be read.
    """

    def __init__(
        self,
        handle: Handler,
        note_unreadable: Callable[[str], None] = lambda problem: None,
    ):
        self.handle = handle
        self.note_unreadable = note_unreadable
        self.limits = routing.IntakeLimits()
        self.links: set[CallerLink] = set()
        self.is_stopping = False
        self._server: asyncio.Server | None = None

    @property
    def busy(self) -> int:
        """Return how many connections have a request under way."""
        return sum(not link.is_idle for link in self.links)

    @contextlib.asynccontextmanager
    async def listen(self, host: str, port: int):
        """Accept connections while the context lasts."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerLink(self), host, port, backlog=BACKLOG
        )
        try:
            yield self
        finally:
            self.stop_accepting()
            for link in list(self.links):
                link.close()

    def stop_accepting(self) -> None:
        """Accept no more connections; those that are open go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections that have nothing under way."""
        for link in list(self.links):
            if link.is_idle:
                link.close()
