"""Decision about a request from the answers of the voters of a quota.

A request may run if a majority of the voters grants it (D. K. Gifford,
"Weighted Voting for Replicated Data", 1979). Any two majorities share a
voter, so one voter that has missed what the others counted, because it was
killed, stood still or was cut off, can't admit anything by itself.

The voters are asked in the order of their ranks, and one that is informed
and denies the request ends the poll. So the first voter that answers decides
which of several requests take the last room, and the others need not have
counted those that it denies.
"""

import dataclasses

from rudderrock import core
from rudderrock.gateway.decisions import _quota as quota

# Number of hosts that keep the quota of a team.
VOTER_COUNT = 3


def get_majority(voters: int) -> int:
    """Return the smallest number of voters that is a majority.

    >>> [get_majority(count) for count in (1, 2, 3)]
    [1, 2, 2]
    """
    return voters // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The verdict of one voter.

    `is_informed` is whether it knows all requests that have been reported,
    since it has kept the quota for a whole window or has copied what another
    voter has counted.
    """

    voter: core.HostId
    verdict: quota.Verdict
    is_informed: bool


class Poll:
    """The votes on one request.

    Parameters: `voters` is the number of voters, whether or not they answer.
    `granted_by` are the voters that have counted the request.
    """

    def __init__(self, voters: int):
        self.granted_by: list[core.HostId] = []
        self._majority = get_majority(voters)
        self._grant: Vote | None = None
        self._denial: Vote | None = None

    def add(self, vote: Vote) -> None:
        """Add the vote of the next voter."""
        match vote.verdict:
            case quota.Granted():
                self.granted_by.append(vote.voter)
                self._grant = _prefer_informed(self._grant, vote)
            case quota.Denied():
                self._denial = _prefer_informed(self._denial, vote)

    def decide_early(self) -> Vote | None:
        """Return the deciding vote if no other one is needed."""
        if self._denial is not None and self._denial.is_informed:
            return self._denial
        if self._has_majority and self._grant.is_informed:
            return self._grant
        return None

    def decide(self) -> Vote | None:
        """Return the deciding vote if no more votes come; None if undecided.

        Voters that aren't informed may grant what is beyond the quota, so
        they decide only if no informed one has answered.
        """
        if (early := self.decide_early()) is not None:
            return early
        return self._grant if self._has_majority else self._denial

    @property
    def _has_majority(self) -> bool:
        return len(self.granted_by) >= self._majority


def _prefer_informed(found: Vote | None, vote: Vote) -> Vote:
    """Return an informed vote if one of two is, and the earlier one if not."""
    if found is None or (vote.is_informed and not found.is_informed):
        return vote
    return found
