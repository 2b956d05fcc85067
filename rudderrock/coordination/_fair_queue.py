"""A weighted fair queue between teams for the slots of one service.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) gives each team
with queued requests a share proportional to its weight. Priorities use
borrowed virtual time (Duda and Cheriton, SOSP 1999): a team of higher priority
is served earlier by a bounded amount of virtual time, which it pays back. The
long-term share of each team is unchanged.
"""

import collections
import dataclasses
from typing import Generic
from typing import TypeVar

from rudderrock import state

T = TypeVar('T')

# Virtual time by which one step of priority brings a team forward, in requests
# of a team of weight 1.
_LEAD_PER_STEP = 1.0
_LOWEST_PRIORITY = 9
_ONE_LINE = state.TeamId('')


@dataclasses.dataclass(slots=True)
class _Lane(Generic[T]):
    """Queued requests and virtual start time of one team."""

    weight: float
    priority: int
    start: float
    items: collections.deque[T] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def rank(self) -> float:
        steps = _LOWEST_PRIORITY - self.priority
        return self.start - steps * _LEAD_PER_STEP


class FairQueue(Generic[T]):
    """Queue of the requests for one service, served by weight of teams.

    Each request has a cost of 1, since each takes one slot.

    Parameters: with `order` `FIFO`, all teams share one first-in, first-out
    queue, which serves as a baseline for comparisons.
    """

    def __init__(self, order: state.QueueOrder = state.QueueOrder.FAIR):
        self._order = order
        self._lanes: dict[state.TeamId, _Lane[T]] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, row: state.TeamRow, item: T) -> None:
        """Add one request of a team."""
        team = self._get_line(row.team)
        lane = self._lanes.get(team)
        if lane is None:
            lane = _Lane(row.weight, row.priority, self._virtual)
            self._lanes[team] = lane
        # The row may have changed since the team's last request.
        lane.weight = row.weight
        lane.priority = row.priority
        if not lane.items:
            lane.start = max(lane.start, self._virtual)
        lane.items.append(item)
        self._length += 1

    def pop(self) -> T | None:
        """Remove and return the next request, or None if there is none."""
        waiting = [lane for lane in self._lanes.values() if lane.items]
        if not waiting:
            return None
        lane = min(waiting, key=lambda each: each.rank)
        self._virtual = max(self._virtual, lane.start)
        lane.start += 1.0 / lane.weight
        self._length -= 1
        item = lane.items.popleft()
        if not self._length:
            self._forget_idle()
        return item

    def count(self, team: state.TeamId) -> int:
        """Return how many requests of a team are queued."""
        lane = self._lanes.get(self._get_line(team))
        return len(lane.items) if lane else 0

    def get_share(self, row: state.TeamRow) -> float:
        """Return a team's fraction of the slots while others are queued."""
        others = sum(
            lane.weight
            for team, lane in self._lanes.items()
            if lane.items and team != self._get_line(row.team)
        )
        return row.weight / (row.weight + others)

    def _get_line(self, team: state.TeamId) -> state.TeamId:
        return team if self._order is state.QueueOrder.FAIR else _ONE_LINE

    def _forget_idle(self) -> None:
        """Remove teams whose virtual time does not lie ahead.

        Teams without requests then take no memory.
        """
        self._lanes = {
            team: lane
            for team, lane in self._lanes.items()
            if lane.start > self._virtual
        }
