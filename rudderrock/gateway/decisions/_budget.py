"""Budget of extra requests to one service, over a sliding window.

An extra request is any arrival at a service beyond the first one of a
caller's request: a retry, a hedge, or a request sent again after a rejection.
The bound holds for all hosts together. Each host spends only what its own
requests earn and its share of the slack, so that hosts need not coordinate.
"""

import collections

from rudderrock import core

# Number of slots in a window; the window moves by one slot at a time.
_SLOTS_PER_WINDOW = 20
# Fraction of the ratio that is spent. The margin covers requests that a host
# counts in another window than its upstreams do.
RATIO_MARGIN = 0.85


class ExtraRequestBudget:
    """Extra requests that this host may send to one service.

    Parameters: each request of the last `window_s` seconds earns `ratio`
    extra requests, and `slack` more are always allowed in the window.
    """

    def __init__(
        self, clock: core.Clock, ratio: float, window_s: float, slack: float
    ):
        self.slack = slack
        self._clock = clock
        self._ratio = ratio * RATIO_MARGIN
        self._slot_s = window_s / _SLOTS_PER_WINDOW
        self._slots: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._extras = 0

    def count_request(self) -> None:
        """Count the first request of a call."""
        self._get_slot()[1] += 1
        self._requests += 1

    def try_spend(self) -> bool:
        """Return whether the budget allows an extra request, and spend it."""
        slot = self._get_slot()
        allowed = self._ratio * self._requests + self.slack
        if self._extras + 1 > allowed:
            return False
        slot[2] += 1
        self._extras += 1
        return True

    def _get_slot(self) -> list[int]:
        number = int(self._clock.now() / self._slot_s)
        while self._slots and self._slots[0][0] < number - _SLOTS_PER_WINDOW:
            _, requests, extras = self._slots.popleft()
            self._requests -= requests
            self._extras -= extras
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append([number, 0, 0])
        return self._slots[-1]
