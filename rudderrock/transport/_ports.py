"""Ports: the shapes of everything outside the process.

The real clients, the stand-ins in memory and a caller's own test bench all
plug in here. No method raises on a failure outside; it returns it.
"""

import dataclasses
from typing import Protocol

import result

from rudderrock import protocol
from rudderrock import state


@dataclasses.dataclass(frozen=True, slots=True)
class KvConflict:
    """A swap did not take place: the key has another version."""

    current: protocol.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class KvUnavailable:
    """No answer from the service; a write may still have taken effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGone:
    """The lease has lapsed or was never granted."""


class KvPort(Protocol):
    """The platform's key-value service."""

    async def get(
        self, key: str
    ) -> result.Result[protocol.Entry, KvUnavailable]:
        """Read one key."""

    async def swap(
        self, request: protocol.SwapRequest
    ) -> result.Result[int, KvConflict | KvUnavailable | LeaseGone]:
        """Compare and swap one key; return its new version."""

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[protocol.Entry, KvUnavailable]:
        """Wait for a version later than `after`, or the time to be over.

        Returns the entry as it is in either case.
        """

    async def grant(self, ttl_s: float) -> result.Result[str, KvUnavailable]:
        """Ask for a lease; return its id."""

    async def renew(
        self, lease: str
    ) -> result.Result[None, LeaseGone | KvUnavailable]:
        """Prolong a lease by its time to live."""

    async def revoke(
        self, lease: str
    ) -> result.Result[None, LeaseGone | KvUnavailable]:
        """Give a lease back, and with it the keys that hang on it."""


class Abort(Protocol):
    """The means by which an exchange under way is given up.

    `asyncio.Timeout` has this shape: a connection makes one, hands it to
    `ExchangeTicket.arm`, and whoever gives up reschedules it to now.
    """

    def reschedule(self, when: float | None) -> None:
        """Move the time at which the exchange ends."""


class ExchangeTicket(Protocol):
    """What a connection needs to know of an exchange besides its request."""

    @property
    def until(self) -> float:
        """Return the loop time at which reading the reply ends."""

    def arm(self, abort: Abort) -> None:
        """Take the means to give up the exchange that now begins."""


class UpstreamConnection(Protocol):
    """One connection to one upstream, owned by one task."""

    @property
    def is_usable(self) -> bool:
        """Tell whether an exchange may start on it.

        Not if the other side has closed it, or has sent something that
        nobody asked for.
        """

    async def exchange(
        self, request: protocol.ShardRequest, ticket: ExchangeTicket
    ) -> protocol.ShardReply:
        """Send a request and read its whole reply.

        After `ShardLost` or `ShardTimeout` the connection must be closed.
        """

    async def close(self) -> None:
        """Close the connection; harmless if it is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection could be made, so nothing was sent."""

    detail: str


class UpstreamPort(Protocol):
    """How connections to upstreams are made."""

    async def connect(
        self, upstream: state.Upstream
    ) -> result.Result[UpstreamConnection, ConnectFailed]:
        """Open a connection that is ready for its first exchange."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A peer gave no usable reply."""

    detail: str


class PeerPort(Protocol):
    """How a host talks to its peers."""

    async def probe(
        self, address: str, message: protocol.Probe, timeout_s: float
    ) -> result.Result[protocol.ProbeReply, PeerUnreachable]:
        """Send a probe and wait for its reply."""

    async def fetch_config(
        self,
        address: str,
        message: protocol.ConfigRequest,
        timeout_s: float,
    ) -> result.Result[protocol.ConfigReply, PeerUnreachable]:
        """Ask a peer for a later table and layout."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedHost:
    """One line of the platform's host list, which lags."""

    host: state.HostId
    zone: state.ZoneId
    control: str
    leaving: bool = False


class HostListPort(Protocol):
    """The platform's list of live and leaving hosts."""

    async def list_hosts(
        self,
    ) -> result.Result[list[ListedHost], PeerUnreachable]:
        """Return the list as the platform has it now."""
