"""Times at which refused requests are told to return.

Requests that are refused together would return together and be refused again.
Each is therefore told a time of its own, and those refused earlier return
earlier.
"""

import collections

# Maximum number of refused requests that have a time of their own.
MAX_PROMISED = 256


class ReturnTimes:
    """The return times of the requests refused for one reason.

    >>> times = ReturnTimes()
    >>> [times.reserve(10.0, 0.5, 0.25, 0.75) for _ in range(3)]
    [0.5, 0.75, 0.75]
    """

    def __init__(self) -> None:
        self._promised: collections.deque[float] = collections.deque(
            maxlen=MAX_PROMISED
        )

    def reserve(
        self, now: float, first_s: float, interval_s: float, max_s: float
    ) -> float:
        """Return the seconds after which a request refused now may return.

        The first one is told `first_s`, and each further one `interval_s`
        more, up to `max_s`.
        """
        while self._promised and self._promised[0] <= now:
            self._promised.popleft()
        wait_s = first_s + len(self._promised) * interval_s
        wait_s = min(wait_s, max(first_s, max_s))
        self._promised.append(now + wait_s)
        return wait_s
