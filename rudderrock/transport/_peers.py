"""HTTP clients of peers and of the platform's host list."""

import asyncio
from typing import Any

import result

from rudderrock import protocol
from rudderrock.transport import _http_connection as http_connection
from rudderrock.transport import _ports as ports

HOST_LIST_PATH = '/v1/hosts'


class HttpPeerPort:
    """Client of peers that opens a new connection for every message.

    A peer is probed too seldom for a kept-alive connection: each period, the
    probe goes to a different peer, so that with 580 hosts and the default
    period of 0.5 s a connection would be idle for 290 s.

    Parameters: `secret` is the shared secret that authenticates peers.
    """

    def __init__(self, secret: str):
        self._headers = {protocol.SECRET_HEADER: secret}

    async def probe(
        self, address: str, message: protocol.Probe, timeout_s: float
    ) -> result.Result[protocol.ProbeReply, ports.PeerUnreachable]:
        """Send a probe and return its reply."""
        return await self._send(
            address,
            protocol.PROBE_PATH,
            message,
            timeout_s,
            protocol.ProbeReply,
        )

    async def fetch_config(
        self,
        address: str,
        message: protocol.ConfigRequest,
        timeout_s: float,
    ) -> result.Result[protocol.ConfigReply, ports.PeerUnreachable]:
        """Return the table and layout of a peer.

        Each is None if its revision isn't higher than that in the message.
        """
        return await self._send(
            address,
            protocol.CONFIG_PATH,
            message,
            timeout_s,
            protocol.ConfigReply,
        )

    async def _send(
        self,
        address: str,
        path: str,
        message: Any,
        timeout_s: float,
        reply_cls: type,
    ) -> result.Result[Any, ports.PeerUnreachable]:
        return await post_once(
            address, path, message, timeout_s, reply_cls, self._headers
        )


class HttpHostListPort:
    """Client of the platform's list of live and leaving hosts.

    Parameters: `address` is `IP:port`; `timeout_s` is in seconds.
    """

    def __init__(self, address: str, timeout_s: float):
        self._address = address
        self._timeout_s = timeout_s

    async def list_hosts(
        self,
    ) -> result.Result[ports.HostListing, ports.PeerUnreachable]:
        """Return the live and leaving hosts that the platform lists.

        Invalid entries are left out.
        """
        listed = await post_once(
            self._address,
            HOST_LIST_PATH,
            {},
            self._timeout_s,
            protocol.RawEntries,
        )
        return listed.map(_read_listing)


def _read_listing(entries: protocol.RawEntries) -> ports.HostListing:
    hosts, problems = protocol.decode_each(ports.ListedHost, entries)
    return ports.HostListing(hosts, tuple(problems))


async def post_once(
    address: str,
    path: str,
    message: Any,
    timeout_s: float,
    reply_cls: Any,
    headers: dict[str, str] | None = None,
) -> result.Result[Any, ports.PeerUnreachable]:
    """Send one message over a new connection and return the decoded reply.

    `timeout_s` limits the whole exchange, including the connection, in
    seconds. A status other than 200 is returned as an error.
    """
    connection = http_connection.HttpConnection(
        address, connect_timeout_s=timeout_s, headers=headers
    )
    try:
        async with asyncio.timeout(timeout_s):
            raw = await connection.post(path, protocol.encode(message))
    except TimeoutError:
        return result.Err(ports.PeerUnreachable('timed out'))
    finally:
        await connection.close()
    match raw:
        case result.Err(failed):
            return result.Err(ports.PeerUnreachable(failed.detail))
        case result.Ok(http_connection.RawReply(status=200, body=body)):
            decoded = protocol.decode(reply_cls, body)
            return decoded.map_err(ports.PeerUnreachable)
        case result.Ok(reply):
            detail = f'status {reply.status}: {reply.body[:200]!r}'
            return result.Err(ports.PeerUnreachable(detail))
