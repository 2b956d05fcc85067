"""How many times slower than usual this host works.

A host that is slowed from outside still states the cores of its settings. It
notices by the time for which sending the requests of a wide query occupies its
event loop, compared with the same work in the past, before the queries that
it has accepted are late.
"""

from collections.abc import Hashable

from rudderrock import core

# Slowness from which on a host counts as slow. Queries that have to open
# their connections take up to three times as long (139 us a request on a new
# connection, 45 us on an open one).
MIN_SLOWNESS = 3.0
# Time in seconds in which half of a measured slowness is forgotten. A host
# that refuses queries measures nothing, so it has to try again.
HALF_LIFE_S = 2.0
# Minimum number of requests of a measurement. With fewer, the work that a
# query takes besides them dominates.
MIN_REQUESTS = 16
# Weights with which a faster and a slower query change the usual time. It
# follows a lasting change within some hundred queries.
_FASTER_WEIGHT = 0.2
_SLOWER_WEIGHT = 0.005


class Pace:
    """Compare the time that a request takes with the usual time of its kind.

    A single slow measurement, as by a garbage collection, has no effect: the
    slowness is the smaller one of the two latest.
    """

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._usual_s: dict[Hashable, float] = {}
        self._latest = 1.0
        self._slowness = 1.0
        self._measured_at = 0.0

    def record(self, kind: Hashable, requests: int, taken_s: float) -> None:
        """Record that sending some requests took `taken_s` seconds."""
        if requests < MIN_REQUESTS:
            return
        request_s = taken_s / requests
        usual_s = self._usual_s.get(kind, request_s)
        weight = _FASTER_WEIGHT if request_s < usual_s else _SLOWER_WEIGHT
        self._usual_s[kind] = usual_s + weight * (request_s - usual_s)
        found = max(1.0, request_s / usual_s) if usual_s > 0.0 else 1.0
        self._slowness = min(found, self._latest)
        self._latest = found
        self._measured_at = self._clock.now()

    def get_slowness(self) -> float:
        """Return how many times slower this host works, 1 if not slow."""
        age_s = self._clock.now() - self._measured_at
        remaining = 0.5 ** (age_s / HALF_LIFE_S)
        found = 1.0 + (self._slowness - 1.0) * remaining
        return found if found >= MIN_SLOWNESS else 1.0
