"""HTTP client for operators, used by the table and time line programs."""

import asyncio
from typing import Any

import result

from rudderrock import frontend
from rudderrock import state
from rudderrock import transport

_TIMEOUT_S = 2.0


class OperatorClient:
    """Client of the control addresses of hosts.

    Parameters: `secret` is the operators' bearer secret.
    """

    def __init__(self, secret: str):
        self._headers = {'authorization': f'Bearer {secret}'}

    async def get_status(
        self, address: str
    ) -> result.Result[frontend.HostStatus, transport.PeerUnreachable]:
        """Return the status that a host reports."""
        return await self._post(
            address, frontend.STATUS_PATH, {}, frontend.HostStatus
        )

    async def list_events(
        self, address: str, since: state.Stamp
    ) -> result.Result[list[state.Event], transport.PeerUnreachable]:
        """Return the events of a host that are later than a stamp."""
        request = frontend.EventsRequest(since=since)
        return await self._post(
            address, frontend.EVENTS_PATH, request, list[state.Event]
        )

    async def find_hosts(self, address: str) -> dict[str, str]:
        """Return control addresses by host id, as listed by one host.

        If that host is unreachable, the only entry maps its address to
        itself.
        """
        status = await self.get_status(address)
        if status.is_err():
            return {address: address}
        return {
            member.host: member.control for member in status.unwrap().members
        }

    async def get_all_status(
        self, addresses: list[str]
    ) -> dict[str, frontend.HostStatus | None]:
        """Return the status by address, None for an unreachable host."""
        replies = await asyncio.gather(
            *(self.get_status(address) for address in addresses)
        )
        return {
            address: reply.ok()
            for address, reply in zip(addresses, replies, strict=True)
        }

    async def _post(
        self, address: str, path: str, message: Any, cls: Any
    ) -> result.Result[Any, transport.PeerUnreachable]:
        return await transport.post_once(
            address, path, message, _TIMEOUT_S, cls, self._headers
        )
