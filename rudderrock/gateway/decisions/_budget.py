"""Budget of extra requests to one service, over a sliding window.

An extra request is any request to a service after the first one for the same
call: a retry, a hedge, or a request sent again after a rejection. The number
of extra requests is bounded for all hosts together: each host may send
`ratio` extra requests for each of its own requests, plus its share of a fixed
allowance, the slack. Hosts therefore need not coordinate.

Extra requests for calls after their latency goal come after the others: they
leave a part of the allowance unused, but have a small part for themselves, so
that they are not starved. Once the allowance is nearly used up, repeats at
upstreams that have all rejected the request keep a pace, so that they do not
use it up in a burst each time that it is renewed.
"""

import collections
import math

from rudderrock import core
from rudderrock.gateway.decisions import _repeats as repeats

# Shortest wait, in seconds. A timer for less might fire before the clock has
# moved on.
_MIN_WAIT_S = 1e-4
# Number of buckets in a window; the window moves by one bucket at a time.
_BUCKETS_PER_WINDOW = 20
# Factor applied to `ratio`. The rest is a safety margin: a host and its
# upstreams may count the same request in different windows.
RATIO_MARGIN = 0.85
# Fraction of the allowance that late calls leave for others.
LATE_UNUSED_FRACTION = 0.5
# Fraction of the allowance that is left for late calls, for this time in
# seconds after one was denied.
LATE_SHARE = 0.1
LATE_DEMAND_S = 1.0
# Fraction of the allowance from which on repeats keep a pace, until a window
# has passed without such use.
PACED_FRACTION = 0.9


class ExtraRequestBudget:
    """Extra requests that this host may send to one service.

    Parameters: each request of the last `window_s` seconds allows `ratio`
    extra requests, and `slack` more are always allowed in the window.
    """

    def __init__(
        self, clock: core.Clock, ratio: float, window_s: float, slack: float
    ):
        self.slack = slack
        self._clock = clock
        self._ratio = ratio * RATIO_MARGIN
        self._window_s = window_s
        self._bucket_s = window_s / _BUCKETS_PER_WINDOW
        self._repeat_pace = repeats.RepeatPace()
        self._paced_until = -math.inf
        # Each bucket holds its number, its requests, its extra requests, and
        # those of them for late calls.
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._extras = 0
        self._late_extras = 0
        self._late_denied_at = -math.inf
        # Calls that wait until an extra request is allowed.
        self.waiting = 0

    def count_request(self) -> None:
        """Count the first request of a call."""
        self._get_bucket()[1] += 1
        self._requests += 1

    def try_spend(
        self,
        is_late: bool = False,
        repeat: repeats.RepeatKind = repeats.RepeatKind.NONE,
    ) -> bool:
        """Return whether an extra request is allowed; if so, count it.

        It is for a late call if `is_late`. `repeat` is its kind.
        """
        bucket = self._get_bucket()
        allowed = self._get_allowed()
        now = self._clock.now()
        pace_wait_s = self._check_pace(repeat)
        if self._extras + 1 > self._get_usable(allowed, is_late):
            if is_late:
                self._late_denied_at = now
            return False
        if pace_wait_s > 0:
            return False
        if repeat is not repeats.RepeatKind.NONE and now < self._paced_until:
            interval_s = repeats.get_interval_s(self._window_s, allowed)
            self._repeat_pace.record(now, interval_s)
        bucket[2] += 1
        self._extras += 1
        bucket[3] += is_late
        self._late_extras += is_late
        return True

    def get_wait_s(
        self,
        is_late: bool = False,
        repeat: repeats.RepeatKind = repeats.RepeatKind.NONE,
    ) -> float:
        """Return when an extra request will be allowed, in seconds from now.

        The estimate is 0 if it is allowed now. Else it supposes that the calls
        that wait go first, and that first requests go on arriving at the rate
        of the window.
        """
        self._get_bucket()
        allowed = self._get_allowed()
        excess = self._extras + 1 - self._get_usable(allowed, is_late)
        pace_wait_s = self._check_pace(repeat)
        if excess <= 0:
            return pace_wait_s
        if is_late:
            self._late_denied_at = self._clock.now()
        return max(pace_wait_s, self._get_window_wait_s(excess, allowed))

    def _get_window_wait_s(self, excess: float, allowed: float) -> float:
        """Return when the window allows `excess` extra requests more."""
        now = self._clock.now()
        excess += self.waiting
        expired = 0
        for number, _, extras, _ in self._buckets:
            expired += extras
            if expired >= excess:
                left_at = (number + _BUCKETS_PER_WINDOW + 1) * self._bucket_s
                return max(left_at - now, _MIN_WAIT_S)
        rate = self._ratio * self._requests / self._window_s
        return excess / rate if rate else math.inf

    def _check_pace(self, repeat: repeats.RepeatKind) -> float:
        """Return in how many seconds the pace allows a repeat.

        It is kept from when the allowance is nearly used up. Those that wait
        go first.
        """
        if repeat is repeats.RepeatKind.NONE:
            return 0.0
        allowed = self._get_allowed()
        now = self._clock.now()
        if self._extras >= PACED_FRACTION * allowed:
            self._paced_until = now + self._window_s
        if now >= self._paced_until:
            return 0.0
        interval_s = repeats.get_interval_s(self._window_s, allowed)
        wait_s = self._repeat_pace.get_wait_s(now, interval_s, repeat)
        if wait_s < _MIN_WAIT_S:
            return 0.0
        return wait_s + self.waiting * interval_s

    def _get_allowed(self) -> float:
        return self._ratio * self._requests + self.slack

    def _get_usable(self, allowed: float, is_late: bool) -> float:
        """Return how many of the `allowed` extra requests a call may use."""
        late_share = int(LATE_SHARE * allowed)
        late_left = max(0, late_share - self._late_extras)
        if is_late:
            if late_left:
                return allowed
            return (1 - LATE_UNUSED_FRACTION) * allowed
        if self._clock.now() - self._late_denied_at < LATE_DEMAND_S:
            return allowed - late_left
        return allowed

    def _get_bucket(self) -> list[int]:
        number = int(self._clock.now() / self._bucket_s)
        while (
            self._buckets
            and self._buckets[0][0] < number - _BUCKETS_PER_WINDOW
        ):
            _, requests, extras, late_extras = self._buckets.popleft()
            self._requests -= requests
            self._extras -= extras
            self._late_extras -= late_extras
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0, 0])
        return self._buckets[-1]
