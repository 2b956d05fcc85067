"""Decides whether a failed attempt at a service is followed by another one.

Some requests are worth an answer long after their latency goal. Such a patient
request is retried until its deadline, in three kinds of load:

- Upstreams reject requests while others have room. A rejected attempt has not
  run, so it does not count towards the route's limit on attempts.
- All upstreams of a service are full, or cannot be reached, for a moment. They
  are tried again with exponential backoff.
- The budget of extra requests is spent. The call waits until the budget allows
  another attempt, if that is before its deadline and the wait is worth more
  than the caller's return.

Other requests are retried at upstreams that were not tried yet, and once more
at all of them after a rejection.
"""

from collections.abc import Callable
import dataclasses
import enum

from rudderrock import core

# A request is patient if its deadline is at least this multiple of its latency
# goal. With less, the time after the goal is not worth more load.
PATIENT_GOALS = 6.0
# With less time left, a request is not retried, because the upstream could not
# answer in time.
MIN_TIME_LEFT_S = 0.003
# Maximum number of attempts of a request that is not patient that do not reach
# an upstream. They do not count towards the route's limit on attempts.
MAX_UNSENT = 4
# Delay before the first retry at upstreams that were tried before. The delay
# doubles with each further one, up to MAX_BACKOFF_S.
BACKOFF_S = 0.04
MAX_BACKOFF_S = 0.32
# Each delay varies by this fraction, so that retries do not arrive together.
BACKOFF_JITTER = 0.25
# Maximum number of requests of a host that are retried after their goal, and
# the fraction of them that one team may have. Such a request holds some 100 kB
# of answers.
MAX_LATE_REQUESTS = 32
MAX_TEAM_FRACTION = 0.5
NO_BUDGET_SOON = 'the budget allows no retry soon enough'


class Failure(enum.Enum):
    """How an attempt failed.

    After REJECTED or UNREACHABLE the request has not run, after MAY_HAVE_RUN
    it may have.
    """

    REJECTED = 'rejected'
    UNREACHABLE = 'unreachable'
    MAY_HAVE_RUN = 'may have run'


class Candidates(enum.Enum):
    """Which upstreams a retry may use."""

    UNTRIED = 'untried'
    TRIED = 'tried'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class SendNow:
    """Send another attempt at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class SendLater:
    """Decide again after `delay_s` seconds; any upstream may be used then."""

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Send no other attempt, for a `reason` if the failure is not enough."""

    reason: str = ''


Decision = SendNow | SendLater | GiveUp


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """State of a call to one service after a failed attempt.

    `runs` attempts may have run of the `max_attempts` that may. `unsent`
    attempts did not reach an upstream, and `pauses` is the number of delays so
    far. There are `left_s` seconds left for retries, and the budget allows
    an attempt in `budget_wait_s` seconds. A wait for the budget may
    take `max_budget_wait_s` seconds, any time if that is None. `jitter` is
    between -1 and 1.
    """

    failure: Failure
    candidates: Candidates
    is_patient: bool
    runs: int
    max_attempts: int
    unsent: int
    pauses: int
    left_s: float
    budget_wait_s: float
    max_budget_wait_s: float | None = None
    jitter: float = 0.0


def plan_retry(progress: Progress) -> Decision:
    """Return when to send another attempt, if at all."""
    if progress.left_s < MIN_TIME_LEFT_S:
        return GiveUp('no time left for a retry')
    if progress.is_patient:
        return _plan_patient(progress)
    is_unreachable = progress.failure is Failure.UNREACHABLE
    if is_unreachable and progress.unsent >= MAX_UNSENT:
        return GiveUp()
    match progress.candidates:
        case Candidates.UNTRIED:
            is_denied = (
                progress.budget_wait_s > 0
                or progress.runs >= progress.max_attempts
            )
            return GiveUp() if is_denied else SendNow()
        case Candidates.TRIED if progress.failure is not Failure.MAY_HAVE_RUN:
            return SendLater(BACKOFF_S)
    return GiveUp()


def _plan_patient(progress: Progress) -> Decision:
    if progress.runs >= progress.max_attempts:
        return GiveUp('attempt limit reached')
    delay_s = progress.budget_wait_s
    if progress.candidates is not Candidates.UNTRIED:
        delay_s = max(delay_s, _get_backoff_s(progress))
    if delay_s <= 0:
        return SendNow()
    if (
        progress.budget_wait_s > 0
        and progress.max_budget_wait_s is not None
        and delay_s > progress.max_budget_wait_s
    ):
        return GiveUp(NO_BUDGET_SOON)
    if delay_s > progress.left_s - MIN_TIME_LEFT_S:
        return GiveUp('no retry before the deadline')
    return SendLater(delay_s)


def _get_backoff_s(progress: Progress) -> float:
    backoff_s = min(BACKOFF_S * 2**progress.pauses, MAX_BACKOFF_S)
    return backoff_s * (1 + BACKOFF_JITTER * progress.jitter)


def is_patient(deadline_s: float, goal_s: float) -> bool:
    """Return whether a request is retried until its deadline.

    Both times are in seconds since its arrival.
    """
    return deadline_s >= PATIENT_GOALS * goal_s


class LateRequests:
    """The requests of a host that are retried after their latency goal.

    Their number is bounded, so that they do not hold memory and places that
    requests need which can still be in time.
    """

    def __init__(self) -> None:
        self._teams: dict[Callable[[], None], core.TeamId | None] = {}
        self._is_stopping = False

    @property
    def count(self) -> int:
        """Return the number of requests."""
        return len(self._teams)

    def try_add(
        self, team: core.TeamId | None, end: Callable[[], None]
    ) -> bool:
        """Add a request of a team, None without one, if there is room.

        `end` ends the request unless one of its attempts is in flight.
        """
        team_count = sum(each == team for each in self._teams.values())
        team_limit = MAX_LATE_REQUESTS
        if team is not None:
            team_limit *= MAX_TEAM_FRACTION
        if (
            self._is_stopping
            or self.count >= MAX_LATE_REQUESTS
            or team_count >= team_limit
        ):
            return False
        self._teams[end] = team
        return True

    def remove(self, end: Callable[[], None]) -> None:
        """Remove a request."""
        del self._teams[end]

    def stop(self) -> None:
        """End all requests, and add no more, because the host stops."""
        self._is_stopping = True
        for end in list(self._teams):
            end()
