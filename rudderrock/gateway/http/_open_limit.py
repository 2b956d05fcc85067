"""Limit on the connections to all upstreams together."""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Protocol

# Fraction of the limit that is closed at a time, so that a host at its limit
# does not look through its connections for each new one.
CLOSED_FRACTION = 1 / 16


class Pool(Protocol):
    """The connections to one upstream."""

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""

    def list_idle_times(self) -> list[float]:
        """Return the loop times in seconds since which each idle one is."""

    def drop_oldest(self) -> None:
        """Close the connection that has been idle for longest."""


class OpenLimit:
    """Decides whether another connection may be opened.

    At the limit, the longest idle connections make way for one that a request
    waits for, but not for one that is opened in advance.
    """

    def __init__(self, list_pools: Callable[[], Iterable[Pool]]):
        self.limit: float = math.inf
        self.denied = 0
        self._list_pools = list_pools
        self._openings = 0
        # The limit can't be reached before this number of openings.
        self._count_at = 0

    def may_open(self, is_needed: bool) -> bool:
        """Return whether a connection may be opened, and count it."""
        if self.limit == math.inf:
            return True
        if self._openings >= self._count_at:
            room = self._make_room(is_needed)
            if room <= 0:
                self.denied += 1
                return False
            self._count_at = self._openings + room
        self._openings += 1
        return True

    def _make_room(self, is_needed: bool) -> int:
        """Return how many connections may be opened."""
        pools = list(self._list_pools())
        room = int(self.limit) - sum(pool.open_count for pool in pools)
        if room > 0 or not is_needed:
            return room
        idle = [
            (since, index)
            for index, pool in enumerate(pools)
            for since in pool.list_idle_times()
        ]
        count = max(1, int(self.limit * CLOSED_FRACTION)) - room
        for _, index in sorted(idle)[:count]:
            pools[index].drop_oldest()
            room += 1
        return room
