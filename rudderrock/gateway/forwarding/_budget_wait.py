"""Waits of a service call until the budget allows a retry."""

import asyncio

from rudderrock.gateway.decisions import _budget as budget
from rudderrock.gateway.forwarding import _calls as calls


class BudgetWait:
    """Tells the budget while a call waits for it, and measures the time.

    `total_s` is the time in seconds that the call has waited in all.
    """

    # One is made for each shard of a query.
    __slots__ = ('total_s', '_loop', '_budget', '_counters', '_began_at')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        awaited: budget.ExtraRequestBudget,
        counters: calls.Counters,
    ):
        self.total_s = 0.0
        self._loop = loop
        self._budget = awaited
        self._counters = counters
        self._began_at: float | None = None

    def begin(self) -> None:
        """Start to wait; a call waits once at a time."""
        self._began_at = self._loop.time()
        self._budget.waiting += 1
        self._counters.budget_waits += 1

    def end(self) -> None:
        """Stop waiting, if the call waits."""
        if self._began_at is None:
            return
        waited_s = self._loop.time() - self._began_at
        self._began_at = None
        self._budget.waiting -= 1
        self.total_s += waited_s
        self._counters.budget_wait_s += waited_s
