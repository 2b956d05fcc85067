"""HTTP connections to upstreams."""

import asyncio

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock.transport import _http_connection as http_connection
from rudderrock.transport import _ports as ports

_REJECTION_STATUSES = frozenset(protocol.REJECTION_STATUS.values())


class HttpUpstreamConnection:
    """A kept-alive HTTP connection to an upstream, owned by one task."""

    def __init__(self, connection: http_connection.HttpConnection):
        self._connection = connection

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can be used for an exchange."""
        return self._connection.is_usable

    async def exchange(
        self, request: protocol.ShardRequest, control: ports.ExchangeControl
    ) -> protocol.ShardReply:
        """Send a request and return its complete reply.

        Return `ShardLost` after a failure, and `ShardTimeout` after the
        deadline or an abort. The owner of `control` may abort the exchange
        at any time. This closes the connection, by which the upstream
        detects the abort.
        """
        body = protocol.encode(request)
        try:
            async with asyncio.timeout_at(control.read_until) as abort:
                control.set_abort(abort)
                raw = await self._connection.post(protocol.SHARD_PATH, body)
        except TimeoutError:
            return protocol.ShardTimeout()
        match raw:
            case result.Err(failed):
                return protocol.ShardLost(True, failed.detail)
            case result.Ok(reply):
                return read_shard_reply(request, reply)

    async def close(self) -> None:
        """Close the connection; does nothing if it is already closed."""
        await self._connection.close()


def read_shard_reply(
    request: protocol.ShardRequest, raw: http_connection.RawReply
) -> protocol.ShardReply:
    """Return the decoded reply, or `ShardLost` if it can't be used.

    This is the case if its status is unexpected, it can't be decoded, or it
    belongs to another request: an answer must echo the id, shard and version
    of its request, a rejection the id.
    """
    if raw.status == 200:
        decoded = protocol.decode(protocol.ShardAnswer, raw.body)
    elif raw.status in _REJECTION_STATUSES:
        decoded = protocol.decode(protocol.ShardRejected, raw.body)
    else:
        return protocol.ShardLost(True, f'unexpected status {raw.status}')
    match decoded:
        case result.Err(detail):
            return protocol.ShardLost(True, f'unreadable reply: {detail}')
        case result.Ok(reply):
            return check_shard_reply(request, reply)


def check_shard_reply(
    request: protocol.ShardRequest, reply: protocol.ShardReply
) -> protocol.ShardReply:
    """Return the reply if it belongs to the request, else `ShardLost`."""
    match reply:
        case protocol.ShardAnswer():
            expected = (request.request_id, request.shard, request.version)
            if (reply.request_id, reply.shard, reply.version) != expected:
                return protocol.ShardLost(True, 'reply to another request')
        case protocol.ShardRejected():
            if reply.request_id != request.request_id:
                return protocol.ShardLost(True, 'reply to another request')
    return reply


class HttpUpstreamPort:
    """Factory of HTTP connections to upstreams.

    Parameters: `connect_timeout_s` is in seconds.
    """

    def __init__(self, connect_timeout_s: float):
        self._connect_timeout_s = connect_timeout_s

    async def connect(
        self, upstream: state.Upstream
    ) -> result.Result[HttpUpstreamConnection, ports.ConnectFailed]:
        """Return an open connection that is ready for an exchange."""
        connection = http_connection.HttpConnection(
            upstream.address, connect_timeout_s=self._connect_timeout_s
        )
        opened = await connection.open()
        match opened:
            case result.Err(failed):
                return result.Err(ports.ConnectFailed(failed.detail))
            case result.Ok(_):
                return result.Ok(HttpUpstreamConnection(connection))
