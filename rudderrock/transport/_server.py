"""An HTTP server in the running event loop, with limits for slow clients."""

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
_START_POLL_INTERVAL_S = 0.005
_KEEP_ALIVE_TIMEOUT_S = 75
_HEAD_TOO_LARGE_REPLY = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)
_HEAD_TIMEOUT_REPLY = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'content-length: 0\r\nconnection: close\r\n\r\n'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadLimits:
    """Limits on the head of a request: request line and header fields.

    `timeout_s` is the time in seconds from the first byte to the end of the
    head; `max_bytes` is the maximum size of the head.
    """

    timeout_s: float = 5.0
    max_bytes: int = 16_384


def _make_protocol(limits: HeadLimits) -> type[asyncio.Protocol]:
    """Return a subclass of uvicorn's HTTP protocol that limits heads.

    uvicorn limits the idle time between requests, but neither the duration
    nor the size of a head. A Slowloris attack exploits this.
    """

    class BoundedProtocol(httptools_impl.HttpToolsProtocol):
        """HTTP connection that is closed if a head exceeds the limits."""

        _idle_timer: asyncio.TimerHandle
        _has_received_data = False
        _head_timer: asyncio.TimerHandle | None = None
        _head_bytes = 0

        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            # A connection that has had no request yet may be idle as long as
            # one between two requests. uvicorn limits only the latter.
            self._idle_timer = self.loop.call_later(
                _KEEP_ALIVE_TIMEOUT_S, self._close_idle
            )

        def connection_lost(self, exc: Exception | None) -> None:
            self._idle_timer.cancel()
            self._cancel_head_timer()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            self._idle_timer.cancel()
            # The first head is timed from the first byte, later ones from
            # `on_message_begin`.
            if not self._has_received_data:
                self._has_received_data = True
                self._start_head_timer()
            if self._head_timer is not None:
                self._head_bytes += len(data)
            super().data_received(data)
            if self._head_timer is None:
                return
            if self._head_bytes > limits.max_bytes:
                self._reject(_HEAD_TOO_LARGE_REPLY)

        def on_message_begin(self) -> None:
            super().on_message_begin()
            if self._head_timer is None:
                self._start_head_timer()

        def on_headers_complete(self) -> None:
            self._cancel_head_timer()
            super().on_headers_complete()

        def _start_head_timer(self) -> None:
            self._head_bytes = 0
            self._head_timer = self.loop.call_later(
                limits.timeout_s, self._reject, _HEAD_TIMEOUT_REPLY
            )

        def _cancel_head_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _close_idle(self) -> None:
            if not self._has_received_data:
                self.transport.close()

        def _reject(self, reply: bytes) -> None:
            self._cancel_head_timer()
            if not self.transport.is_closing():
                self.transport.write(reply)
                self.transport.close()

    return BoundedProtocol


class _EmbeddedServer(uvicorn.Server):
    """uvicorn's server without signal handlers, which the program installs."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


def bind(address: str) -> result.Result[socket.socket, str]:
    """Return a TCP socket that is bound to `IP:port`.

    Port 0 selects a free port.
    """
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
    """Return the address of a bound socket as `IP:port`."""
    ip, port = listener.getsockname()
    return f'{ip}:{port}'


class HttpServer:
    """Server of an ASGI application on a bound socket.

    Parameters: `limits` are the limits on heads; `max_connections` is the
    number of open connections from which on requests are answered with
    status 503; `stop_timeout_s` is how long requests in flight may take to
    complete after `close` is called, in seconds.
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
            timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=max(1, round(stop_timeout_s)),
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task | None = None

    async def open(self) -> None:
        """Start the server.

        Returns when it accepts connections or has failed to start.
        """
        serving = self._server.serve(sockets=[self._listener])
        self._task = asyncio.create_task(serving)
        while not self._server.started and not self._task.done():
            await asyncio.sleep(_START_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
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
    """Serve an ASGI application until the context exits.

    Yields the address as `IP:port`.
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
    """Wait until the client of a completely read request disconnects."""
    while (await request.receive())['type'] != 'http.disconnect':
        pass
