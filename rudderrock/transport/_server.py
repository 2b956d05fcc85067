"""An HTTP server inside our own loop, hardened against slow callers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import socket

import result
from starlette import requests
from starlette import types as asgi
import uvicorn
from uvicorn.protocols.http import httptools_impl

_BACKLOG = 1024
_START_POLL_S = 0.005
_KEEP_ALIVE_S = 75
_TOO_LARGE_HEAD = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)
_SLOW_HEAD = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadLimits:
    """Bounds on the head of a request, before any code of ours sees it.

    `timeout_s` counts in seconds from the first byte; `max_bytes` is the
    size of the head.
    """

    timeout_s: float = 5.0
    max_bytes: int = 16_384


def _make_protocol(limits: HeadLimits) -> type[asyncio.Protocol]:
    """Make uvicorn's HTTP protocol, with bounds on a request's head.

    uvicorn bounds idle time between requests, but not how slowly or at
    what length one head may come (the attack known as Slowloris).
    """

    class BoundedProtocol(httptools_impl.HttpToolsProtocol):
        """HTTP over one connection, closed if its head is slow or long."""

        _idle_timer: asyncio.TimerHandle
        _is_started = False
        _head_timer: asyncio.TimerHandle | None = None
        _head_bytes = 0

        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            # A connection made ahead of need may stay idle as long as one
            # kept after use; uvicorn itself bounds only the latter.
            self._idle_timer = self.loop.call_later(
                _KEEP_ALIVE_S, self._close_idle
            )

        def connection_lost(self, exc: Exception | None) -> None:
            self._idle_timer.cancel()
            self._end_head()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            self._idle_timer.cancel()
            if not self._is_started:
                self._is_started = True
                self._start_head()
            if self._head_timer is not None:
                self._head_bytes += len(data)
            super().data_received(data)
            if self._head_timer is None:
                return
            if self._head_bytes > limits.max_bytes:
                self._refuse(_TOO_LARGE_HEAD)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            if self._head_timer is None:
                self._start_head()

        def on_headers_complete(self) -> None:
            self._end_head()
            super().on_headers_complete()

        def _start_head(self) -> None:
            self._head_bytes = 0
            self._head_timer = self.loop.call_later(
                limits.timeout_s, self._refuse, _SLOW_HEAD
            )

        def _end_head(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _close_idle(self) -> None:
            if not self._is_started:
                self.transport.close()

        def _refuse(self, reply: bytes) -> None:
            self._end_head()
            if not self.transport.is_closing():
                self.transport.write(reply)
                self.transport.close()

    return BoundedProtocol


class _Server(uvicorn.Server):
    """uvicorn's server without its signal handlers, which are the root's."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def bind(address: str) -> result.Result[socket.socket, str]:
    """Bind a listening TCP socket to `IP:port`; port 0 takes a free one."""
    ip, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((ip, int(port)))
    except OSError as exc:
        listener.close()
        return result.Err(f'{address}: {exc.strerror}')
    return result.Ok(listener)


def get_address(listener: socket.socket) -> str:
    """Return the `IP:port` that a socket is bound to."""
    ip, port = listener.getsockname()
    return f'{ip}:{port}'


class HttpServer:
    """An ASGI application served on a bound socket.

    Parameters: `limits` bound heads, `max_connections` the connections
    open at once; `stop_timeout_s` is how long requests under way may take
    to end when it is closed, in seconds.
    """

    def __init__(
        self,
        app: asgi.ASGIApp,
        listener: socket.socket,
        *,
        limits: HeadLimits = HeadLimits(),
        max_connections: int | None = None,
        stop_timeout_s: float = 5.0,
    ):
        self.address = get_address(listener)
        self._listener = listener
        config = uvicorn.Config(
            app,
            http=_make_protocol(limits),
            ws='none',
            loop='asyncio',
            lifespan='off',
            log_config=None,
            access_log=False,
            server_header=False,
            backlog=_BACKLOG,
            limit_concurrency=max_connections,
            timeout_keep_alive=_KEEP_ALIVE_S,
            timeout_graceful_shutdown=max(1, round(stop_timeout_s)),
        )
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Start serving; returns when connections are taken."""
        serving = self._server.serve(sockets=[self._listener])
        self._task = asyncio.create_task(serving)
        while not self._server.started and not self._task.done():
            await asyncio.sleep(_START_POLL_S)

    async def close(self) -> None:
        """Stop taking connections and let requests under way end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        self._listener.close()


@contextlib.asynccontextmanager
async def serve(
    app: asgi.ASGIApp,
    listener: socket.socket,
    *,
    limits: HeadLimits = HeadLimits(),
    max_connections: int | None = None,
) -> AsyncIterator[str]:
    """Serve an ASGI application while the context lasts.

    Yields the address, `IP:port`.
    """
    server = HttpServer(
        app, listener, limits=limits, max_connections=max_connections
    )
    await server.open()
    try:
        yield server.address
    finally:
        await server.close()


async def wait_for_disconnect(request: requests.Request) -> None:
    """Wait until whoever sent a request, read to its end, has gone."""
    while (await request.receive())['type'] != 'http.disconnect':
        pass
