"""Requests within quotas that this host has admitted, and reports of them."""

from collections.abc import Iterable
import math

from rudderrock.gateway.decisions import _quota as quota
from rudderrock.gateway.discovery import _teams as teams


class TeamSpending:
    """The requests of one team that this host has admitted.

    They are kept for one window, so that a new owner can be told of them.
    """

    def __init__(self, bounds: quota.QuotaBounds):
        self.ask_first_until = -math.inf
        self._bounds = bounds
        self._admitted: dict[int, float] = {}
        self._given_back: dict[int, float] = {}
        self._unreported: set[int] = set()
        self._owner: quota.ProcessId | None = None

    def may_admit(self, team: teams.Team, hosts: int, now: float) -> bool:
        """Return whether this host may admit a request without asking."""
        return now >= self.ask_first_until and len(
            self._unreported
        ) < self._bounds.get_unreported_limit(team, hosts)

    def may_admit_isolated(
        self, team: teams.Team, hosts: int, now: float
    ) -> bool:
        """Return whether this host may admit a request if nobody answers."""
        self._prune(now)
        limit = self._bounds.get_isolated_limit(team, hosts)
        return len(self._admitted) + 1 <= limit

    def get_next_room_s(self, now: float) -> float:
        """Return when the oldest admitted request leaves the window."""
        oldest = min(self._admitted.values(), default=now)
        return max(
            oldest + self._bounds.window_s - now, quota.MIN_RETRY_AFTER_S
        )

    def record(self, number: int, now: float) -> None:
        """Remember a request that its owner does not know of yet."""
        self._prune(now)
        self._admitted[number] = now
        self._unreported.add(number)

    def record_granted(
        self, number: int, now: float, owner: quota.ProcessId
    ) -> None:
        """Remember a request that an owner has admitted."""
        self.record(number, now)
        self.confirm(owner, [number], [])

    def give_back(self, number: int, now: float) -> None:
        """Withdraw a request that has not run."""
        self._admitted.pop(number, None)
        self._given_back[number] = now
        self._unreported.add(number)

    def list_unreported(
        self, now: float
    ) -> tuple[list[tuple[int, float]], list[int]]:
        """Return the requests to report, with their ages, and withdrawals."""
        self._prune(now)
        numbers = sorted(self._unreported)
        spent = [
            (each, now - self._admitted[each])
            for each in numbers
            if each in self._admitted
        ]
        return spent, [each for each in numbers if each in self._given_back]

    def confirm(
        self,
        owner: quota.ProcessId,
        admitted: Iterable[int],
        given_back: Iterable[int],
    ) -> None:
        """Record that an owner has received a report.

        A new owner, or one that has started again, has to be told of all
        requests in the window, not only of the latest. A request that was
        given back after the report was sent has to be reported again.
        """
        if self._owner not in (None, owner):
            self._unreported = {*self._admitted, *self._given_back}
        self._owner = owner
        self._unreported.difference_update(given_back)
        self._unreported.difference_update(
            each for each in admitted if each in self._admitted
        )

    def count(self, now: float) -> int:
        """Return the number of requests admitted in the last window."""
        self._prune(now)
        return len(self._admitted)

    def get_report_age_s(self, now: float) -> float:
        """Return the age of the oldest admitted request not yet reported."""
        times = (self._admitted.get(each, now) for each in self._unreported)
        return now - min(times, default=now)

    def has_unreported(self, now: float) -> bool:
        """Return whether there is something to report."""
        self._prune(now)
        return bool(self._unreported)

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to remember."""
        self._prune(now)
        return now >= self.ask_first_until and not (
            self._admitted or self._given_back
        )

    def expect_owner(self) -> None:
        """Prepare to report all requests of the window to a new owner."""
        self._owner = None
        self._unreported = {*self._admitted, *self._given_back}

    def _prune(self, now: float) -> None:
        oldest = now - self._bounds.window_s
        for listed in (self._admitted, self._given_back):
            # Numbers are recorded in the order of time.
            while listed:
                number = next(iter(listed))
                if listed[number] > oldest:
                    break
                del listed[number]
                self._unreported.discard(number)
