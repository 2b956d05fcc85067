"""Decides which requests wait for a host that cannot answer them yet.

A host that has just started knows no routes while the source of its data is
away. A request whose deadline is later than the end of such an outage is
better kept than refused, because many callers try only once more. Requests are
kept within limits, and answered in the order of what is still useful.
"""

from collections.abc import Iterable
import dataclasses

from rudderrock.gateway.decisions import _retry_plan as retry_plan

# A request is kept if its deadline is at least this far, in seconds. An outage
# of the source that a host meets at its start usually lasts longer than that.
MIN_KEPT_S = 1.5
# A request is given up when this time is left until its deadline, in seconds.
# It covers a query over connections that have to be opened.
MIN_ANSWER_S = 0.15
# Limits of the requests that a host keeps.
MAX_KEPT = 256
MAX_KEPT_BYTES = 4 * 1024 * 1024
# Fraction of each limit that requests of one owner may use.
MAX_OWNER_FRACTION = 0.5
# Interval in seconds at which late requests are answered, unless the last of
# them would miss its deadline. All shards of a wide query are asked within it.
LATE_INTERVAL_S = 0.01
# Bounds of the time after which a refused caller may retry, in seconds.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False, kw_only=True)
class KeptRequest:
    """A request that may be kept.

    `arrived` and `expires_at` are loop times in seconds. `size` is in bytes.
    `owner` tells apart the senders of requests by a hash of their keys,
    because no key can be verified yet; it is None for requests without a key.
    """

    arrived: float
    expires_at: float
    size: int
    owner: int | None

    @property
    def give_up_at(self) -> float:
        """Return the loop time at which an answer is not possible any more."""
        return self.expires_at - MIN_ANSWER_S

    def may_be_in_time(self, now: float) -> bool:
        """Return whether the latency goal may not have passed yet.

        The goal is not known. It is estimated as a fraction of the deadline.
        """
        total_s = self.expires_at - self.arrived
        return now - self.arrived < total_s / retry_plan.PATIENT_GOALS


class KeptRequests:
    """The requests that a host keeps, within limits for each owner and all."""

    def __init__(self) -> None:
        self._kept: list[KeptRequest] = []

    @property
    def count(self) -> int:
        """Return the number of requests."""
        return len(self._kept)

    def try_add(self, request: KeptRequest) -> bool:
        """Keep a request if its deadline and the limits allow."""
        if request.expires_at - request.arrived < MIN_KEPT_S:
            return False
        same_owner = [
            each
            for each in self._kept
            if each.owner == request.owner is not None
        ]
        for kept, fraction in (
            (self._kept, 1.0),
            (same_owner, MAX_OWNER_FRACTION),
        ):
            size = sum(each.size for each in kept) + request.size
            if (
                len(kept) + 1 > fraction * MAX_KEPT
                or size > fraction * MAX_KEPT_BYTES
            ):
                return False
        self._kept.append(request)
        return True

    def remove(self, request: KeptRequest) -> None:
        """Remove a request."""
        self._kept.remove(request)


def plan_release(
    requests: Iterable[KeptRequest], now: float
) -> list[tuple[KeptRequest, float]]:
    """Return the requests with the delay in seconds before each is answered.

    Those that may be in time come first and at once, the others one by one;
    each kind by its deadlines.
    """
    ordered = sorted(
        requests,
        key=lambda each: (not each.may_be_in_time(now), each.expires_at),
    )
    late = [each for each in ordered if not each.may_be_in_time(now)]
    interval_s = min(
        [LATE_INTERVAL_S]
        + [
            max(each.give_up_at - now, 0.0) / number
            for number, each in enumerate(late, 1)
        ]
    )
    delays = dict.fromkeys(ordered, 0.0)
    delays.update(
        (each, number * interval_s) for number, each in enumerate(late, 1)
    )
    return list(delays.items())


def estimate_retry_after_s(missing_s: float, left_s: float | None) -> float:
    """Return when a refused caller may retry, in seconds.

    The data has been missing for `missing_s` seconds. An outage of unknown
    length lasts on average about as long again. With `left_s` seconds until
    its deadline the caller retries in the first half of them.
    """
    retry_after_s = min(missing_s, MAX_RETRY_AFTER_S)
    if left_s is not None:
        retry_after_s = min(retry_after_s, left_s / 2)
    return max(retry_after_s, MIN_RETRY_AFTER_S)
