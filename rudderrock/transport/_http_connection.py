"""An HTTP connection that is used by one task at a time.

With the shared pool of aiosonic, the reply to a cancelled request is
returned to the next user of the connection. Here, a connection is used by
one task at a time for one exchange, and is closed after an exchange that
wasn't completed. Only POST is used, because aiosonic automatically repeats a
request of any other method if the kept-alive connection turns out to be
closed.
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

# Maximum number of bytes that may arrive for one exchange. Values of the
# key-value service have up to a megabyte.
MAX_EXCHANGE_BYTES = 16 * 1024 * 1024
# Maximum number of bytes that may arrive before the end of a reply's head.
MAX_HEAD_BYTES = 64 * 1024
_HEAD_END = b'\r\n\r\n'

# Exceptions that aiosonic raises if the server or the network fails.
_CONNECTION_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    asyncio.LimitOverrunError,
    aiosonic.exceptions.AiosonicError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RawReply:
    """Status and body of a reply that was read completely."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """Failure to connect or to complete an exchange.

    The connection has been closed.
    """

    detail: str


class _BoundedConnection(aiosonic.connection.Connection):
    """A connection that fails once too much has arrived in one exchange.

    aiosonic reads heads and bodies of any size, and assigns `reader` when it
    has connected.
    """

    def __init__(self, pool: aiosonic.pools.BasePool):
        self._bounded_reader: asyncio.StreamReader | None = None
        self.start_exchange()
        super().__init__(pool)

    @property
    def reader(self) -> asyncio.StreamReader | None:
        """Return the reader of the open connection."""
        return self._bounded_reader

    @reader.setter
    def reader(self, reader: asyncio.StreamReader | None) -> None:
        self._bounded_reader = reader
        if reader is None:
            return
        feed_data = reader.feed_data

        def feed_bounded(data: bytes) -> None:
            if self._fits(data):
                feed_data(data)
            else:
                reader.set_exception(ValueError('reply too large'))

        reader.feed_data = feed_bounded

    def start_exchange(self) -> None:
        """Count anew, for the reply to the request that is sent next."""
        self._received = 0
        self._has_head = False
        self._head_tail = b''

    def _fits(self, data: bytes) -> bool:
        """Count received bytes; return whether they are within the limits."""
        self._received += len(data)
        if self._has_head:
            return self._received <= MAX_EXCHANGE_BYTES
        recent = self._head_tail + data
        self._has_head = _HEAD_END in recent
        self._head_tail = recent[1 - len(_HEAD_END) :]
        return self._has_head or self._received <= MAX_HEAD_BYTES


class HttpConnection:
    """A kept-alive HTTP/1.1 connection, used by one task at a time.

    Parameters: `address` is `IP:port`; `connect_timeout_s` is in seconds;
    `headers` are sent with every request. Exchanges have no timeout of their
    own: the caller limits them by cancellation or `asyncio.timeout`. An
    exchange fails if more than `MAX_EXCHANGE_BYTES` arrive.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        headers: dict[str, str] | None = None,
    ):
        self._base_url = f'http://{address}'
        self._connect_timeout_s = connect_timeout_s
        self._headers = {'content-type': 'application/json', **(headers or {})}
        self._client: aiosonic.HTTPClient | None = None
        self._socket: _BoundedConnection | None = None

    async def open(self) -> result.Result[None, ExchangeFailed]:
        """Connect, so that the first exchange doesn't have to.

        A cancellation always takes effect, and leaves no connection open.
        For this, the timeout is applied by `asyncio.timeout` and not passed
        to aiosonic, which uses `asyncio.wait_for`. Before Python 3.12, that
        discards a cancellation which arrives after the connection is made
        but before the waiting task runs. The callers cancel a task only
        once, so it would keep running: this was seen for up to 8 of 410
        upstream links that were closed at varying moments while they
        connected.
        """
        client = self._get_client()
        opened = False
        try:
            url = urllib.parse.urlparse(self._base_url)
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await client.connector.acquire(
                    url, False, None, client.connector.timeouts, False
                )
            opened = True
        except TimeoutError:
            return result.Err(ExchangeFailed('connecting timed out'))
        except _CONNECTION_ERRORS as exc:
            return result.Err(ExchangeFailed(repr(exc)))
        finally:
            if not opened:
                await self.close()
        # Mark the connection as reusable and return it to the pool, where
        # the first exchange finds it by the key of its destination.
        connection.keep_alive()
        connection.key = connection.temp_key
        connection.release()
        return result.Ok(None)

    @property
    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        Unread bytes are the rest of a reply to an earlier request, or a
        final message of a server that closes the connection. The connection
        can't be used again in either case.
        """
        if not self._is_open:
            return False
        reader = self._socket.reader
        # StreamReader has no public method to check for unread bytes.
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
        """Send one request and return its complete reply.

        Connects first if the connection isn't open. The connection is closed
        if an error is returned or the call is cancelled.
        """
        if not self._is_open:
            opened = await self.open()
            if opened.is_err():
                return opened
        client = self._get_client()
        self._socket.start_exchange()
        finished = False
        try:
            reply = await client.post(
                self._base_url + path, data=body, headers=self._headers
            )
            content = await reply.content()
            finished = True
            return result.Ok(RawReply(reply.status_code, content))
        except _CONNECTION_ERRORS as exc:
            return result.Err(ExchangeFailed(repr(exc)))
        finally:
            if not finished:
                await self.close()

    async def close(self) -> None:
        """Close the connection; does nothing if it is already closed."""
        self._client = None
        socket, self._socket = self._socket, None
        if socket is not None:
            socket.close()

    def _get_client(self) -> aiosonic.HTTPClient:
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
            connection_cls=self._make_connection,
        )
        self._client = aiosonic.HTTPClient(connector)
        return self._client

    def _make_connection(
        self, pool: aiosonic.pools.BasePool
    ) -> aiosonic.connection.Connection:
        # The pool closes a connection only after its release. The reference
        # is kept to be able to close it in the middle of a reply.
        self._socket = _BoundedConnection(pool)
        return self._socket
