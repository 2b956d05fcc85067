"""A weighted fair queue between teams for the slots of one service.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) gives each team
with queued requests a share proportional to its weight. Priorities use
borrowed virtual time (Duda and Cheriton, SOSP 1999): a team of higher priority
gets a constant lead in virtual time. Its virtual time advances as for any
other team, so its long-term share is unchanged.
"""

import collections
import dataclasses
from typing import Generic
from typing import TypeVar

from rudderrock import state

T = TypeVar('T')

# Lead in virtual time for each step of priority. One unit is one request of a
# team of weight 1.
_LEAD_PER_PRIORITY = 1.0
# Priorities run from 0 (first) to 9 (last).
_LOWEST_PRIORITY = 9
_SHARED_QUEUE = state.TeamId('')


@dataclasses.dataclass(slots=True)
class _TeamQueue(Generic[T]):
    """Queued requests and virtual start time of one team."""

    weight: float
    priority: int
    virtual_start: float
    items: collections.deque[T] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def rank(self) -> float:
        """Return the sort key; the team with the smallest is served next."""
        steps = _LOWEST_PRIORITY - self.priority
        return self.virtual_start - steps * _LEAD_PER_PRIORITY


class FairQueue(Generic[T]):
    """Queue of the requests for one service, served by weight of teams.

    Each request has a cost of 1, since each takes one slot.

    Parameters: `order` is `FAIR`, or `FIFO` for a single first-in, first-out
    queue of all teams, as a baseline for comparisons.
    """

    def __init__(self, order: state.QueueOrder = state.QueueOrder.FAIR):
        self._order = order
        self._queues: dict[state.TeamId, _TeamQueue[T]] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, row: state.TeamRow, item: T) -> None:
        """Add one request of a team."""
        team = self._get_queue_id(row.team)
        queue = self._queues.get(team)
        if queue is None:
            queue = _TeamQueue(row.weight, row.priority, self._virtual_time)
            self._queues[team] = queue
        # The row may have changed since the team's last request.
        queue.weight = row.weight
        queue.priority = row.priority
        if not queue.items:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
        queue.items.append(item)
        self._length += 1

    def pop(self) -> T | None:
        """Remove and return the next request, or None if there is none."""
        nonempty = [queue for queue in self._queues.values() if queue.items]
        if not nonempty:
            return None
        queue = min(nonempty, key=lambda each: each.rank)
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += 1.0 / queue.weight
        self._length -= 1
        item = queue.items.popleft()
        if not self._length:
            self._remove_idle()
        return item

    def count(self, team: state.TeamId) -> int:
        """Return how many requests of a team are queued."""
        queue = self._queues.get(self._get_queue_id(team))
        return len(queue.items) if queue else 0

    def get_share(self, row: state.TeamRow) -> float:
        """Return a team's fraction of the slots while others are queued."""
        others = sum(
            queue.weight
            for team, queue in self._queues.items()
            if queue.items and team != self._get_queue_id(row.team)
        )
        return row.weight / (row.weight + others)

    def _get_queue_id(self, team: state.TeamId) -> state.TeamId:
        return team if self._order is state.QueueOrder.FAIR else _SHARED_QUEUE

    def _remove_idle(self) -> None:
        """Remove the teams whose virtual start has been reached.

        They would start anew with the same value. This frees the memory of
        teams that stay idle.
        """
        self._queues = {
            team: queue
            for team, queue in self._queues.items()
            if queue.virtual_start > self._virtual_time
        }
