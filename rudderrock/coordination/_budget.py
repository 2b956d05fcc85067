"""Token buckets: limits on a rate, and budgets that grow with the work."""

from rudderrock import state


class RateLimit:
    """A token bucket that refills with time.

    Parameters: `rate` in tokens a second, `burst` the tokens it holds.
    A cost above the burst passes once the bucket is full and leaves it in
    debt, so a wide query is delayed but never impossible.
    """

    def __init__(self, clock: state.Clock, rate: float, burst: float):
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled = clock.now()

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the limit; tokens already held stay, up to the burst."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def get_wait_s(self, cost: float) -> float:
        """Return in how many seconds this cost may be taken, 0 if now."""
        self._refill()
        missing = min(cost, self._burst) - self._tokens
        return max(0.0, missing / self._rate)

    def take(self, cost: float) -> None:
        """Take tokens; `get_wait_s` must have returned 0."""
        self._tokens -= cost

    def _refill(self) -> None:
        now = self._clock.now()
        gained = (now - self._filled) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled = now


class Budget:
    """Tokens earned by first requests and spent on extra ones.

    Extra load can thus never exceed the given part of the work, as in
    Finagle's retry budgets.

    Parameters: `ratio` tokens are earned for each first request, at most
    `burst` are kept.
    """

    def __init__(self, ratio: float, burst: float):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self, count: int = 1) -> None:
        """Note first requests."""
        self._tokens = min(self._burst, self._tokens + self._ratio * count)

    def can_spend(self) -> bool:
        """Tell whether one extra request is allowed."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Pay for one extra request."""
        self._tokens -= 1.0


def spend_all(budgets: tuple[Budget, ...]) -> bool:
    """Pay for one extra request from every budget, or from none."""
    if not all(budget.can_spend() for budget in budgets):
        return False
    for budget in budgets:
        budget.spend()
    return True
