"""One HTTP connection with one owner.

aiosonic's shared pool hands a cancelled request's answer to whoever takes
the connection next. So a connection here belongs to one task, carries one
exchange at a time, and is closed after any exchange that did not run to
its end. Only POST is used, because aiosonic repeats the other methods by
itself when a kept connection turns out closed.
"""

import asyncio
import dataclasses
import urllib.parse

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.exceptions
import aiosonic.pools
import aiosonic.timeout
import result

# What the library raises when the other side or the way there fails.
_FAILURES = (
    OSError,
    EOFError,
    ValueError,
    asyncio.LimitOverrunError,
    aiosonic.exceptions.AiosonicError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """A reply that was read to its end."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """An exchange did not run to its end, and the connection is closed."""

    detail: str


class OwnedConnection:
    """A kept HTTP/1.1 connection to one address, for one task at a time.

    Parameters: `address` is `IP:port`, `connect_timeout_s` in seconds,
    `headers` go with every request. The bound on an exchange is its
    caller's, by cancellation or `asyncio.timeout`.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        headers: dict[str, str] | None = None,
    ):
        self._base = f'http://{address}'
        self._connect_timeout_s = connect_timeout_s
        self._headers = {'content-type': 'application/json', **(headers or {})}
        self._client: aiosonic.HTTPClient | None = None
        self._socket: aiosonic.connection.Connection | None = None

    async def open(self) -> result.Result[None, ExchangeFailed]:
        """Connect now, so that the first exchange need not wait for it.

        Whoever is cancelled here is cancelled, in whichever turn of the loop,
        and no connection is left. The bound is not given to the library: it
        keeps bounds with `asyncio.wait_for`, which before Python 3.12 returns
        the result and drops a cancellation that comes once the connection is
        there and its waiter has not run yet. Lanes, links and hosts are ended
        by one cancellation, and lived on: up to 8 of 410 links, closed by
        turns of the loop while they connected.
        """
        client = self._make_client()
        url = urllib.parse.urlparse(self._base)
        opened = False
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await client.connector.acquire(
                    url, False, None, client.connector.timeouts, False
                )
            opened = True
        except TimeoutError:
            return result.Err(ExchangeFailed('connecting timed out'))
        except _FAILURES as exc:
            return result.Err(ExchangeFailed(repr(exc)))
        finally:
            if not opened:
                await self.close()
        # The pool keeps it under its destination until the first exchange.
        connection.keep_alive()
        connection.key = connection.temp_key
        connection.release()
        return result.Ok(None)

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection is open and nothing is left on it.

        Bytes that came without a request are the end of somebody else's
        reply, or a server's farewell; either way it is not to be used.
        """
        if not self._is_open:
            return False
        reader = self._socket.reader
        # StreamReader has no public way to ask this without reading.
        unread = bool(reader._buffer)
        return not (reader.at_eof() or unread)

    @property
    def _is_open(self) -> bool:
        socket = self._socket
        if socket is None or socket.writer is None:
            return False
        return not socket.writer.is_closing()

    async def post(
        self, path: str, body: bytes
    ) -> result.Result[RawReply, ExchangeFailed]:
        """Send one request and read its reply to the end.

        When this returns an error or is cancelled, the connection has been
        closed; the next call opens a new one.
        """
        if not self._is_open:
            opened = await self.open()
            if opened.is_err():
                return opened
        client = self._make_client()
        finished = False
        try:
            reply = await client.post(
                self._base + path, data=body, headers=self._headers
            )
            content = await reply.content()
            finished = True
            return result.Ok(RawReply(reply.status_code, content))
        except _FAILURES as exc:
            return result.Err(ExchangeFailed(repr(exc)))
        finally:
            if not finished:
                await self.close()

    async def close(self) -> None:
        """Close the connection; harmless if it is closed."""
        self._client = None
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

    def _make_client(self) -> aiosonic.HTTPClient:
        if self._client is not None:
            return self._client
        pool = aiosonic.pools.PoolConfig(
            size=1, max_conn_requests=None, max_conn_idle_ms=None
        )
        timeouts = aiosonic.timeout.Timeouts(
            sock_connect=None,
            sock_read=None,
            pool_acquire=None,
            request_timeout=None,
        )
        connector = aiosonic.connectors.TCPConnector(
            pool_configs={':default': pool},
            timeouts=timeouts,
            connection_cls=self._make_socket,
        )
        self._client = aiosonic.HTTPClient(connector)
        return self._client

    def _make_socket(
        self, pool: aiosonic.pools.BasePool
    ) -> aiosonic.connection.Connection:
        # The pool closes a connection only once it is released, so we keep
        # hold of the one there is, to close it in the middle of a reply.
        self._socket = aiosonic.connection.Connection(pool)
        return self._socket
