"""Budget of extra requests to one service, over a sliding window.

An extra request is any request to a service after the first one for the same
call: a retry, a hedge, or a request sent again after a rejection. The number
of extra requests is bounded for all hosts together: each host may send
`ratio` extra requests for each of its own requests, plus its share of a fixed
allowance, the slack. Hosts therefore need not coordinate.
"""

import collections

from rudderrock import core

# Number of buckets in a window; the window moves by one bucket at a time.
_BUCKETS_PER_WINDOW = 20
# Factor applied to `ratio`. The rest is a safety margin: a host and its
# upstreams may count the same request in different windows.
RATIO_MARGIN = 0.85


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
        self._bucket_s = window_s / _BUCKETS_PER_WINDOW
        # Each bucket holds its number, its requests and its extra requests.
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._extras = 0

    def count_request(self) -> None:
        """Count the first request of a call."""
        self._get_bucket()[1] += 1
        self._requests += 1

    def try_spend(self) -> bool:
        """Return whether an extra request is allowed; if so, count it."""
        bucket = self._get_bucket()
        allowed = self._ratio * self._requests + self.slack
        if self._extras + 1 > allowed:
            return False
        bucket[2] += 1
        self._extras += 1
        return True

    def _get_bucket(self) -> list[int]:
        number = int(self._clock.now() / self._bucket_s)
        while (
            self._buckets
            and self._buckets[0][0] < number - _BUCKETS_PER_WINDOW
        ):
            _, requests, extras = self._buckets.popleft()
            self._requests -= requests
            self._extras -= extras
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
