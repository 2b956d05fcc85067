"""The budget of extra requests to one service, over a sliding window.

An extra request is any arrival at a service beyond the first of a caller's
request: a retry, a hedge, or a request sent again after a rejection. The
bound holds for all hosts together. Each host spends only what its own
requests earn, and its part of the slack, so the sum needs no agreement.
"""

import collections

from rudderrock import core

# Slots that a window is cut into; the window moves in steps of one.
_SLOTS = 20
# Part of the ratio that is spent, so that what a host counts a little
# earlier or later than its upstreams does no harm.
RATIO_MARGIN = 0.85


class ExtraBudget:
    """Extra requests allowed to one service from this host.

    Parameters: `ratio` extra requests are earned by each request of the
    last `window_s` seconds, and `slack` more are always allowed in it.
    """

    def __init__(
        self, clock: core.Clock, ratio: float, window_s: float, slack: float
    ):
        self.slack = slack
        self._clock = clock
        self._ratio = ratio * RATIO_MARGIN
        self._slot_s = window_s / _SLOTS
        self._slots: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._extras = 0

    def note_request(self) -> None:
        """Count one request of a caller."""
        self._get_slot()[1] += 1
        self._requests += 1

    def try_spend(self) -> bool:
        """Take one extra request if the budget has it."""
        slot = self._get_slot()
        allowed = self._ratio * self._requests + self.slack
        if self._extras + 1 > allowed:
            return False
        slot[2] += 1
        self._extras += 1
        return True

    def _get_slot(self) -> list[int]:
        number = int(self._clock.now() / self._slot_s)
        while self._slots and self._slots[0][0] < number - _SLOTS:
            _, requests, extras = self._slots.popleft()
            self._requests -= requests
            self._extras -= extras
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append([number, 0, 0])
        return self._slots[-1]
