"""Latency as observed by this host: when it is late, and its mean."""

import math

from rudderrock.core import _clock

# Gain of one request on the late point, once settled and at first.
_LATE_GAIN = 0.02
_FIRST_GAIN = 3.0
_HIGHEST_GAIN = 0.5


class LatePoint:
    """The latency that a given part of requests exceeds.

    Found by stochastic approximation (Robbins and Monro, 1951) on its
    logarithm: each request that is late raises it a little, each that is
    not lowers it less. It needs only to know whether a request was late,
    so it is not misled by requests whose true latency is never learned
    because a hedge was faster. A histogram's high percentile is, and it
    needs thousands of samples to hold still.

    Parameters: `part` of the requests that shall be late, 0 to 1; `lowest`
    and `highest` bound the point, in seconds, and it starts at `start`.
    """

    def __init__(
        self, part: float, *, start: float, lowest: float, highest: float
    ):
        self._part = part
        self._lowest = lowest
        self._highest = highest
        self._point = start
        self._count = 0

    def get(self) -> float:
        """Return the point in seconds."""
        return self._point

    def note(self, late: bool) -> None:
        """Take note of whether one request was later than the point."""
        self._count += 1
        gain = _FIRST_GAIN / math.sqrt(self._count)
        gain = min(max(gain, _LATE_GAIN), _HIGHEST_GAIN)
        step = (1.0 - self._part) if late else -self._part
        point = self._point * math.exp(gain * step)
        self._point = min(max(point, self._lowest), self._highest)


class FadingMean:
    """An exponentially weighted mean that also fades with idle time.

    A replica that was slow is not asked, so it would be remembered as slow
    for ever; fading towards zero gives it another try (as Finagle's peak
    EWMA does).

    Parameters: `weight` of a new sample, 0 to 1; `fade_s` is the time in
    which an idle mean falls to 1/e.
    """

    def __init__(
        self, clock: _clock.Clock, weight: float = 0.15, fade_s: float = 5.0
    ):
        self._clock = clock
        self._weight = weight
        self._fade_s = fade_s
        self._mean = 0.0
        self._updated = clock.now()

    def record(self, value: float) -> None:
        """Add one sample."""
        self._mean += self._weight * (value - self._mean)
        self._updated = self._clock.now()

    def get(self) -> float:
        """Return the mean, faded by the time since the last sample."""
        idle = self._clock.now() - self._updated
        return self._mean * math.exp(-idle / self._fade_s)
