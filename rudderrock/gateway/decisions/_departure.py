"""Decides which requests a host takes while it stops, and until when.

The process is killed at the end of its grace time. A request that is cut then
may have run, and its caller learns nothing. So a host that stops takes a
request only if it can be answered before, and refuses others at once: their
callers still have the time to ask another host.
"""

from collections.abc import Collection
import dataclasses

from rudderrock.gateway.discovery import _routing as routing

# Fraction of the grace time during which new connections are accepted. The
# load balancer probes once a second and acts on two results, so it takes about
# 2 to 3 seconds to stop sending requests.
ACCEPT_FRACTION = 0.55
# Fraction of the grace time after which the connections are closed, so that
# the process ends before it is killed.
DRAIN_FRACTION = 0.93
# Time in seconds before the end by which each request has a reply, so that the
# reply reaches its caller. With a short grace time it is a fraction of it.
FLUSH_S = 0.15
FLUSH_FRACTION = 0.1
# A route without an observed time is assumed to meet its latency goal for this
# long after the start of the stop, in seconds, if it may repeat requests. The
# load balancer sends most of the new requests until then. A wrong assumption
# costs an attempt. A request that runs once would be lost, so its
# route is assumed to take as long as it may, and so is any route later.
EARLY_S = 3.0
# Weights of an observation in the estimates of the mean time and of its mean
# deviation, how many deviations are added to the mean, and the least time that
# is added, in seconds, for delays on a busy core (RFC 6298, 2).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4.0
_MIN_MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Loop times of a planned stop, in seconds.

    New connections are accepted until `accept_until`, each request has a reply
    by `answer_by`, and connections are closed at `end`.
    """

    started_at: float
    accept_until: float
    answer_by: float
    end: float


def plan_departure(started_at: float, grace_s: float) -> Departure:
    """Return the times of a stop; the process is killed after `grace_s`."""
    end = started_at + DRAIN_FRACTION * grace_s
    return Departure(
        started_at=started_at,
        accept_until=started_at + ACCEPT_FRACTION * grace_s,
        answer_by=end - min(FLUSH_S, FLUSH_FRACTION * grace_s),
        end=end,
    )


def may_take(
    departure: Departure,
    now: float,
    route: routing.Route,
    expected_s: float | None,
    limit_s: float,
) -> bool:
    """Return whether a request can be answered before the process ends.

    `expected_s` is the time that its route takes, None if unknown. The request
    is given up after `limit_s`.
    """
    if expected_s is None:
        is_early = now < departure.started_at + EARLY_S
        is_idempotent = route.repeat is routing.Repeat.IDEMPOTENT
        expected_s = route.goal_s if is_early and is_idempotent else limit_s
    return now + min(expected_s, limit_s) <= departure.answer_by


@dataclasses.dataclass(slots=True)
class _Estimate:
    """Mean of the times of a route, and their mean deviation, in seconds."""

    mean_s: float
    deviation_s: float


class RouteTimes:
    """Estimates of the time within which the requests of a route end.

    The estimate is the one of retransmission timers: it covers most of the
    requests, also of a route whose times vary, and needs two numbers.
    """

    def __init__(self) -> None:
        self._estimates: dict[routing.RouteName, _Estimate] = {}

    def observe(
        self, route: routing.RouteName, seconds: float, is_complete: bool
    ) -> None:
        """Record how long a request took.

        One that is not complete would have taken longer, so it only raises
        the estimate.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            self._estimates[route] = _Estimate(seconds, seconds / 2)
            return
        error_s = seconds - estimate.mean_s
        if error_s < 0 and not is_complete:
            return
        estimate.deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - estimate.deviation_s
        )
        estimate.mean_s += _MEAN_WEIGHT * error_s

    def get_s(self, route: routing.RouteName) -> float | None:
        """Return the time that a request takes, None if unknown."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return None
        margin_s = max(_DEVIATIONS * estimate.deviation_s, _MIN_MARGIN_S)
        return estimate.mean_s + margin_s

    def keep_only(self, routes: Collection[routing.RouteName]) -> None:
        """Forget the routes that are not in `routes`."""
        for name in self._estimates.keys() - set(routes):
            del self._estimates[name]
