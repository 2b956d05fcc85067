"""Interfaces (ports) to the services outside the process.

They are implemented by the HTTP clients, and in memory for simulations and
tests. A method returns a failure of the outside service as a value and never
raises it.
"""

import dataclasses
from typing import Protocol

import result

from rudderrock import protocol
from rudderrock import state


@dataclasses.dataclass(frozen=True, slots=True)
class KvConflict:
    """Failure of a swap because the key has a different version."""

    current: protocol.KvEntry


@dataclasses.dataclass(frozen=True, slots=True)
class KvUnavailable:
    """Failure of a call to the key-value service: no reply or an unusable one.

    A write may have taken effect.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseExpired:
    """Failure of a call because its lease has ended or never existed."""


class KvPort(Protocol):
    """The platform's key-value service."""

    async def get(
        self, key: str
    ) -> result.Result[protocol.KvEntry, KvUnavailable]:
        """Return the value and version of a key."""

    async def swap(
        self, request: protocol.SwapRequest
    ) -> result.Result[int, KvConflict | KvUnavailable | LeaseExpired]:
        """Compare and swap one key, and return its new version."""

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[protocol.KvEntry, KvUnavailable]:
        """Return the entry of a key as soon as its version exceeds `after`.

        Return the current entry after `timeout_s` seconds at the latest.
        """

    async def grant(self, ttl_s: float) -> result.Result[str, KvUnavailable]:
        """Request a lease and return its id."""

    async def renew(
        self, lease: str
    ) -> result.Result[None, LeaseExpired | KvUnavailable]:
        """Renew a lease for its time to live."""

    async def revoke(
        self, lease: str
    ) -> result.Result[None, LeaseExpired | KvUnavailable]:
        """Revoke a lease, which deletes the keys attached to it."""


class AbortHandle(Protocol):
    """Handle to abort an exchange in flight.

    `asyncio.Timeout` implements it: a connection creates one and passes it to
    `ExchangeControl.set_abort`. Rescheduling it to the current time aborts the
    exchange.
    """

    def reschedule(self, when: float | None) -> None:
        """Set the loop time at which the exchange is aborted."""


class ExchangeControl(Protocol):
    """Deadline of an exchange, and the receiver of its abort handle."""

    @property
    def read_until(self) -> float:
        """Return the loop time until which the reply is read."""

    def set_abort(self, abort: AbortHandle) -> None:
        """Receive the abort handle of an exchange that is about to start."""


class UpstreamConnection(Protocol):
    """A connection to an upstream, owned by one task."""

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can be used for an exchange.

        It can't if the upstream has closed it or has sent unsolicited bytes.
        """

    async def exchange(
        self, request: protocol.ShardRequest, control: ExchangeControl
    ) -> protocol.ShardReply:
        """Send a request and return its complete reply.

        After `ShardLost` or `ShardTimeout` the caller must close the
        connection.
        """

    async def close(self) -> None:
        """Close the connection; does nothing if it is already closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """Failure to connect; nothing was sent."""

    detail: str


class UpstreamPort(Protocol):
    """Factory of connections to upstreams."""

    async def connect(
        self, upstream: state.Upstream
    ) -> result.Result[UpstreamConnection, ConnectFailed]:
        """Return an open connection that is ready for an exchange."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """Failure of a call to a peer or to the platform's host list.

    There was no reply or an unusable one.
    """

    detail: str


class PeerPort(Protocol):
    """Client of the peers of a host."""

    async def probe(
        self, address: str, message: protocol.Probe, timeout_s: float
    ) -> result.Result[protocol.ProbeReply, PeerUnreachable]:
        """Send a probe and return its reply."""

    async def fetch_config(
        self,
        address: str,
        message: protocol.ConfigRequest,
        timeout_s: float,
    ) -> result.Result[protocol.ConfigReply, PeerUnreachable]:
        """Return the table and layout of a peer.

        Each is None if its revision isn't higher than that in the message.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedHost:
    """Entry of the platform's host list, which may be outdated."""

    host: state.HostId
    zone: state.ZoneId
    control: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """The platform's host list.

    `problems` describes the entries that can't be used.
    """

    hosts: list[ListedHost]
    problems: tuple[str, ...] = ()


class HostListPort(Protocol):
    """The platform's list of live and leaving hosts."""

    async def list_hosts(
        self,
    ) -> result.Result[HostListing, PeerUnreachable]:
        """Return the live and leaving hosts that the platform lists."""
