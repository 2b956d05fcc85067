"""Limit on the accepted connections of one listener."""

import asyncio
from collections.abc import Callable
import enum
from typing import Protocol

# Fraction of the limit beyond which a caller gets no more connections than the
# limit divided by the number of callers. Below it the state is normal again.
SHARED_FRACTION = 0.75
# Fraction of the limit that one caller never exceeds.
ONE_CALLER_FRACTION = 0.875
# Fraction of the limit that is closed at a time, so that a crowd does not make
# the host look through its connections at each arrival.
CLOSED_FRACTION = 1 / 16
# Connections beyond the limit, as a fraction of it, that are kept until their
# first request has been refused, and the time in seconds they may take.
EXCESS_FRACTION = 0.25
EXCESS_S = 1.0
# A new connection counts as idle after this time in seconds. Its request may
# have arrived and not been read yet.
MIN_IDLE_S = 0.05


class Link(Protocol):
    """An accepted connection.

    `idle_since` is the loop time in seconds since which it waits for a
    request, or of the first byte of the request that it reads.
    """

    idle_since: float

    @property
    def is_closable(self) -> bool:
        """Return whether nothing is being read, answered or written."""

    @property
    def unsent_bytes(self) -> int:
        """Return the size of what the caller has not taken."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, queued or answered."""

    @property
    def is_reading(self) -> bool:
        """Return whether a request has begun, and none is complete."""

    def close(self) -> None:
        """Close the connection."""

    def abort(self) -> None:
        """Close the connection at once."""

    def time_out(self) -> None:
        """Answer an incomplete request with status 408 and close."""


class Verdict(enum.Enum):
    """What happens to a new connection.

    The first request of an EXCESS connection is refused, and it is closed. A
    REJECTED one is closed at once.
    """

    ACCEPTED = 'accepted'
    EXCESS = 'excess'
    REJECTED = 'rejected'


class ConnectionLimit:
    """Keeps the connections of a listener below a limit.

    Room for a new connection is made at the caller with the most: its longest
    idle connections are closed, or else the request that has been incomplete
    for longest is timed out, or else the reply that has not been read for
    longest is cut. Callers are told apart by their IP address.
    `on_change` is called with True when the limit is reached, and with False
    when there is room again.
    """

    def __init__(
        self,
        limit: int,
        loop: asyncio.AbstractEventLoop,
        on_change: Callable[[bool], None] = lambda is_full: None,
    ):
        self.limit = limit
        self.count = 0
        self.closed = 0
        self.refused = 0
        self._loop = loop
        self._on_change = on_change
        self._callers: dict[str, dict[Link, None]] = {}
        self._addresses: dict[Link, str] = {}
        self._excess: set[Link] = set()
        self._is_full = False
        self._next_search_at = 0.0

    def add(self, link: Link, address: str) -> Verdict:
        """Count a new connection of the caller with an IP address."""
        if not self._has_room(address):
            self._set_full(True)
            self._make_room(address)
        if self._has_room(address):
            self._callers.setdefault(address, {})[link] = None
            self._addresses[link] = address
            self.count += 1
            return Verdict.ACCEPTED
        self.refused += 1
        if len(self._excess) >= max(1, int(self.limit * EXCESS_FRACTION)):
            return Verdict.REJECTED
        self._excess.add(link)
        self._loop.call_later(EXCESS_S, self._expire, link)
        return Verdict.EXCESS

    def discard(self, link: Link) -> None:
        """Remove a connection that is closed or closing."""
        self._excess.discard(link)
        address = self._addresses.pop(link, None)
        if address is None:
            return
        self.count -= 1
        links = self._callers[address]
        del links[link]
        if not links:
            del self._callers[address]
        if self.count < self.limit * SHARED_FRACTION:
            self._set_full(False)

    def _has_room(self, address: str) -> bool:
        own = len(self._callers.get(address, ()))
        if self.count >= self.limit or own >= self._get_one_caller_limit():
            return False
        if self.count < self.limit * SHARED_FRACTION:
            return True
        callers = len(self._callers) + (own == 0)
        return own < self.limit / callers

    def _get_one_caller_limit(self) -> int:
        return max(1, int(self.limit * ONE_CALLER_FRACTION))

    def _make_room(self, address: str) -> None:
        """Close connections of a caller that has more than this one."""
        now = self._loop.time()
        if now < self._next_search_at:
            return
        own = len(self._callers.get(address, ()))
        by_count = sorted(
            self._callers, key=lambda each: -len(self._callers[each])
        )
        for each in by_count:
            if each != address and len(self._callers[each]) <= own:
                continue
            if self._close_some(self._callers[each], now):
                return
        # Nothing can be closed until a request has been answered.
        self._next_search_at = now + MIN_IDLE_S / 2

    def _close_some(self, links: dict[Link, None], now: float) -> bool:
        """Close connections of one caller; return whether any was closed."""
        idle = [
            link
            for link in links
            if now - link.idle_since >= MIN_IDLE_S and link.is_closable
        ]
        idle.sort(key=lambda link: link.idle_since)
        victims = idle[: max(1, int(self.limit * CLOSED_FRACTION))]
        for link in victims:
            self.discard(link)
            link.close()
        if not victims:
            waiting = [
                link for link in links if link.is_reading or link.is_idle
            ]
            waiting.sort(
                key=lambda link: (link.unsent_bytes > 0, link.idle_since)
            )
            victims = [
                link
                for link in waiting[:1]
                if now - link.idle_since >= MIN_IDLE_S
            ]
            for link in victims:
                self._end(link)
        self.closed += len(victims)
        return bool(victims)

    def _end(self, link: Link) -> None:
        """End a connection whose caller has yet to send or to read."""
        self.discard(link)
        if link.unsent_bytes:
            # What is written now would wait behind a reply that is not read.
            link.abort()
        else:
            link.time_out()

    def _expire(self, link: Link) -> None:
        if link in self._excess:
            link.abort()

    def _set_full(self, is_full: bool) -> None:
        if is_full != self._is_full:
            self._is_full = is_full
            self._on_change(is_full)
