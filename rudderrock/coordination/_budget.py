"""Token buckets: rate limits, and budgets earned by requests."""

from rudderrock import state


class RateLimit:
    """A token bucket that refills over time.

    Parameters: `rate` is in tokens per second; `burst` is the capacity in
    tokens.

    A cost above the burst may be taken when the bucket is full. The number of
    tokens then falls below 0, and later requests wait longer. Without this
    rule, such a cost would never be allowed.
    """

    def __init__(self, clock: state.Clock, rate: float, burst: float):
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.now()

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the limit; tokens above the new burst are discarded."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def get_wait_s(self, cost: float) -> float:
        """Return the seconds until this cost may be taken, 0 if now."""
        self._refill()
        deficit = min(cost, self._burst) - self._tokens
        return max(0.0, deficit / self._rate)

    def take(self, cost: float) -> None:
        """Take tokens; `get_wait_s` must have returned 0 for this cost."""
        self._tokens -= cost

    def _refill(self) -> None:
        now = self._clock.now()
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now


class Budget:
    """A token bucket that limits extra requests, which are hedges and retries.

    Each requested shard adds `ratio` tokens; each extra request takes one.
    Beyond the burst, extra requests therefore cannot exceed this fraction of
    the requested shards, as with the retry budgets of Finagle.

    Parameters: `ratio` is the number of tokens added for each requested shard;
    `burst` is the capacity in tokens.
    """

    def __init__(self, ratio: float, burst: float):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self, count: int = 1) -> None:
        """Add the tokens for `count` requested shards."""
        self._tokens = min(self._burst, self._tokens + self._ratio * count)

    def can_spend(self) -> bool:
        """Return whether one extra request is allowed."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take the token for one extra request."""
        self._tokens -= 1.0


def spend_all(budgets: tuple[Budget, ...]) -> bool:
    """Take one token from every budget, or from none if any is exhausted.

    Return whether the tokens were taken.
    """
    if not all(budget.can_spend() for budget in budgets):
        return False
    for budget in budgets:
        budget.spend()
    return True
