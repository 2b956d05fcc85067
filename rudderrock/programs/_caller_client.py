"""HTTP client for callers, used by the query program and the demo."""

import contextlib

import result

from rudderrock import protocol
from rudderrock import transport


class CallerClient:
    """Client of one entry host with one connection per query in flight.

    Parameters: `address` is `IP:port`; `token` is the team's bearer token.
    """

    def __init__(self, address: str, token: str):
        self._address = address
        self._headers = {'authorization': f'Bearer {token}'}
        self._idle: list[transport.HttpConnection] = []

    async def query(
        self, query: protocol.Query
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        """Send a query and return the HTTP reply."""
        return await self._post(protocol.QUERY_PATH, query)

    async def command(
        self, command: protocol.Command, key: str
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        """Send a command with its idempotency key and return the HTTP reply.

        A command is not idempotent. Its connection is new and is closed after
        the reply.
        """
        headers = {**self._headers, protocol.IDEMPOTENCY_HEADER: key}
        connection = transport.HttpConnection(self._address, headers=headers)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(connection.close)
            body = protocol.encode(command)
            return await connection.post(protocol.COMMAND_PATH, body)

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            await connection.close()

    async def _post(
        self, path: str, message: object
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = transport.HttpConnection(
                self._address, headers=self._headers
            )
        try:
            return await connection.post(path, protocol.encode(message))
        finally:
            self._idle.append(connection)
