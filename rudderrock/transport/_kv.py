"""HTTP client of the key-value service."""

import asyncio
import contextlib
from typing import Any

import result

from rudderrock import protocol
from rudderrock.transport import _http_connection as http_connection
from rudderrock.transport import _ports as ports

# The service answers a watch when its timeout has passed. The margin allows
# for the transmission of that answer.
_WATCH_MARGIN_S = 2.0
_CONFLICT_STATUS = 409


class HttpKvPort:
    """Client of the key-value service, with a connection per call in flight.

    Parameters: `address` is `IP:port`; `timeout_s` is the timeout in seconds
    of all calls except watches.
    """

    def __init__(self, address: str, timeout_s: float):
        self._address = address
        self._timeout_s = timeout_s
        self._idle: list[http_connection.HttpConnection] = []

    async def get(
        self, key: str
    ) -> result.Result[protocol.KvEntry, ports.KvUnavailable]:
        """Return the value and version of a key."""
        request = protocol.GetRequest(key=key)
        raw = await self._call(protocol.GET_PATH, request, self._timeout_s)
        return raw.and_then(
            lambda reply: _decode_reply(protocol.KvEntry, reply)
        )

    async def swap(
        self, request: protocol.SwapRequest
    ) -> result.Result[
        int, ports.KvConflict | ports.KvUnavailable | ports.LeaseExpired
    ]:
        """Compare and swap one key, and return its new version."""
        raw = await self._call(protocol.SWAP_PATH, request, self._timeout_s)
        match raw:
            case result.Ok(http_connection.RawReply(status=409)):
                entry = _decode_reply(protocol.KvEntry, raw.ok_value)
                return entry.and_then(
                    lambda current: result.Err(ports.KvConflict(current))
                )
            case result.Ok(http_connection.RawReply(status=410)):
                return result.Err(ports.LeaseExpired())
            case result.Ok(reply):
                entry = _decode_reply(protocol.KvEntry, reply)
                return entry.map(lambda current: current.version)
        return raw

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[protocol.KvEntry, ports.KvUnavailable]:
        """Return the entry of a key as soon as its version exceeds `after`.

        Return the current entry after `timeout_s` seconds at the latest.
        """
        request = protocol.WatchRequest(
            key=key, after=after, timeout_s=timeout_s
        )
        total_timeout_s = timeout_s + _WATCH_MARGIN_S
        raw = await self._call(protocol.WATCH_PATH, request, total_timeout_s)
        return raw.and_then(
            lambda reply: _decode_reply(protocol.KvEntry, reply)
        )

    async def grant(
        self, ttl_s: float
    ) -> result.Result[str, ports.KvUnavailable]:
        """Request a lease and return its id."""
        request = protocol.GrantRequest(ttl_s=ttl_s)
        raw = await self._call(protocol.GRANT_PATH, request, self._timeout_s)
        lease = raw.and_then(
            lambda reply: _decode_reply(protocol.Lease, reply)
        )
        return lease.map(lambda granted: granted.lease)

    async def renew(
        self, lease: str
    ) -> result.Result[None, ports.LeaseExpired | ports.KvUnavailable]:
        """Renew a lease for its time to live."""
        return await self._call_lease(protocol.RENEW_PATH, lease)

    async def revoke(
        self, lease: str
    ) -> result.Result[None, ports.LeaseExpired | ports.KvUnavailable]:
        """Revoke a lease, which deletes the keys attached to it."""
        return await self._call_lease(protocol.REVOKE_PATH, lease)

    async def close(self) -> None:
        """Close the idle connections, but not those of calls in flight."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()

    async def _call_lease(
        self, path: str, lease: str
    ) -> result.Result[None, ports.LeaseExpired | ports.KvUnavailable]:
        request = protocol.Lease(lease=lease)
        raw = await self._call(path, request, self._timeout_s)
        match raw:
            case result.Ok(http_connection.RawReply(status=410)):
                return result.Err(ports.LeaseExpired())
            case result.Ok(reply):
                return _decode_reply(protocol.Lease, reply).map(lambda _: None)
        return raw

    async def _call(
        self, path: str, message: Any, total_timeout_s: float
    ) -> result.Result[http_connection.RawReply, ports.KvUnavailable]:
        async with contextlib.AsyncExitStack() as stack:
            connection = self._acquire_connection()
            stack.callback(self._idle.append, connection)
            try:
                async with asyncio.timeout(total_timeout_s):
                    raw = await connection.post(path, protocol.encode(message))
            except TimeoutError:
                return result.Err(ports.KvUnavailable(f'{path} timed out'))
        return raw.map_err(lambda err: ports.KvUnavailable(err.detail))

    def _acquire_connection(self) -> http_connection.HttpConnection:
        if self._idle:
            return self._idle.pop()
        return http_connection.HttpConnection(
            self._address, connect_timeout_s=self._timeout_s
        )


def _decode_reply(
    cls: type, reply: http_connection.RawReply
) -> result.Result[Any, ports.KvUnavailable]:
    if reply.status not in (200, _CONFLICT_STATUS):
        return result.Err(ports.KvUnavailable(f'status {reply.status}'))
    return protocol.decode(cls, reply.body).map_err(ports.KvUnavailable)
