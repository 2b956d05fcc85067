"""Requests within quotas that this host has admitted, and reports of them."""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

from rudderrock import core
from rudderrock.gateway.decisions import _quota as quota
from rudderrock.gateway.decisions import _quota_vote as quota_vote
from rudderrock.gateway.discovery import _teams as teams


@dataclasses.dataclass(slots=True)
class _Recipient:
    """A host that is told of the requests, and what it doesn't know yet.

    `process` is the process that has answered last, or None.
    """

    unreported: set[int]
    process: quota.ProcessId | None = None


class TeamSpending:
    """The requests of one team that this host has admitted.

    They are kept for one window, so that a host that becomes a voter of the
    quota, or whose process starts again, can be told of them.
    """

    def __init__(self, bounds: quota.QuotaBounds):
        self.ask_first_until = -math.inf
        self._bounds = bounds
        self._admitted: dict[int, float] = {}
        self._given_back: dict[int, float] = {}
        self._recipients: dict[core.HostId, _Recipient] = {}

    def may_admit(
        self,
        team: teams.Team,
        voters: Collection[core.HostId],
        hosts: int,
        now: float,
    ) -> bool:
        """Return whether this host may admit a request without asking."""
        if now < self.ask_first_until:
            return False
        limit = self._bounds.get_unreported_limit(team, hosts)
        return self._count_unreported(voters) < limit

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
        """Remember a request that has to be reported to all voters."""
        self._prune(now)
        self._admitted[number] = now
        self._add_unreported(number)

    def give_back(self, number: int, now: float) -> None:
        """Withdraw a request that has not run."""
        self._admitted.pop(number, None)
        self._given_back[number] = now
        self._add_unreported(number)

    def list_unreported(
        self, host: core.HostId, now: float
    ) -> tuple[list[tuple[int, float]], list[int]]:
        """Return what to report to a host.

        That is the requests with their ages in seconds, and withdrawals.
        """
        self._prune(now)
        numbers = sorted(self._get_recipient(host).unreported)
        spent = [
            (each, now - self._admitted[each])
            for each in numbers
            if each in self._admitted
        ]
        return spent, [each for each in numbers if each in self._given_back]

    def confirm(
        self,
        host: core.HostId,
        process: quota.ProcessId,
        admitted: Iterable[int],
        given_back: Iterable[int],
    ) -> None:
        """Record that a process of a host has received a report.

        A process that has started again has to be told of all requests in the
        window. A request that was given back after the report was sent has to
        be reported again.
        """
        recipient = self._get_recipient(host)
        if recipient.process not in (None, process):
            recipient.unreported = {*self._admitted, *self._given_back}
        recipient.process = process
        recipient.unreported.difference_update(given_back)
        recipient.unreported.difference_update(
            each for each in admitted if each in self._admitted
        )

    def mark_known(self, host: core.HostId, number: int) -> None:
        """Record that a host has counted a request when it granted it."""
        if number in self._admitted:
            self._get_recipient(host).unreported.discard(number)

    def count(self, now: float) -> int:
        """Return the number of requests admitted in the last window."""
        self._prune(now)
        return len(self._admitted)

    def get_report_age_s(
        self, voters: Collection[core.HostId], now: float
    ) -> float:
        """Return the age of the oldest request that some voter lacks."""
        times = (
            self._admitted.get(number, now)
            for host in voters
            for number in self._get_recipient(host).unreported
        )
        return now - min(times, default=now)

    def has_unreported(self, host: core.HostId, now: float) -> bool:
        """Return whether there is something to report to a host."""
        self._prune(now)
        return bool(self._get_recipient(host).unreported)

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to remember."""
        self._prune(now)
        return now >= self.ask_first_until and not (
            self._admitted or self._given_back
        )

    def retain_recipients(self, hosts: Collection[core.HostId]) -> None:
        """Forget what was reported to any other hosts."""
        for host in self._recipients.keys() - hosts:
            del self._recipients[host]

    def _count_unreported(self, voters: Collection[core.HostId]) -> int:
        """Return how many requests a majority of the voters may lack."""
        counts = sorted(
            len(self._get_recipient(host).unreported) for host in voters
        )
        return counts[quota_vote.get_majority(len(counts)) - 1]

    def _add_unreported(self, number: int) -> None:
        for recipient in self._recipients.values():
            recipient.unreported.add(number)

    def _get_recipient(self, host: core.HostId) -> _Recipient:
        recipient = self._recipients.get(host)
        if recipient is None:
            recipient = _Recipient({*self._admitted, *self._given_back})
            self._recipients[host] = recipient
        return recipient

    def _prune(self, now: float) -> None:
        oldest = now - self._bounds.window_s
        for listed in (self._admitted, self._given_back):
            # Numbers are recorded in the order of time.
            while listed:
                number = next(iter(listed))
                if listed[number] > oldest:
                    break
                del listed[number]
                for recipient in self._recipients.values():
                    recipient.unreported.discard(number)
