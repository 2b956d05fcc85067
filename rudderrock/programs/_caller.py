"""A caller's side of the tier, for the query program and the demo."""

import contextlib

import result

from rudderrock import protocol
from rudderrock import transport


class CallerClient:
    """Asks one entry host; one connection for each call under way.

    Parameters: `address` is `IP:port`, `token` the team's bearer token.
    """

    def __init__(self, address: str, token: str):
        self._address = address
        self._headers = {'authorization': f'Bearer {token}'}
        self._idle: list[transport.OwnedConnection] = []

    async def query(
        self, query: protocol.Query
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        """Send a query; the reply is an outcome as HTTP."""
        return await self._post(protocol.QUERY_PATH, query)

    async def command(
        self, command: protocol.Command, key: str
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        """Send a non-idempotent request under its idempotency key."""
        headers = {**self._headers, protocol.IDEMPOTENCY_HEADER: key}
        connection = transport.OwnedConnection(self._address, headers=headers)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(connection.close)
            body = protocol.encode(command)
            return await connection.post(protocol.COMMAND_PATH, body)

    async def close(self) -> None:
        """Close the kept connections."""
        for connection in self._idle:
            await connection.close()

    async def _post(
        self, path: str, message: object
    ) -> result.Result[transport.RawReply, transport.ExchangeFailed]:
        if self._idle:
            connection = self._idle.pop()
        else:
            connection = transport.OwnedConnection(
                self._address, headers=self._headers
            )
        try:
            return await connection.post(path, protocol.encode(message))
        finally:
            self._idle.append(connection)
