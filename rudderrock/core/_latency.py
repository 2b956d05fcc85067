"""Estimators of the latency that this host observes."""

import math

from rudderrock.core import _clock

# The gain of the n-th request is `_INITIAL_GAIN / sqrt(n)`, but at least
# `_MIN_GAIN` and at most `_MAX_GAIN`. It scales the steps, which are taken on
# the logarithm of the threshold.
_MIN_GAIN = 0.02
_INITIAL_GAIN = 3.0
_MAX_GAIN = 0.5


class HedgeThreshold:
    """Latency quantile that serves as the hedge threshold.

    The quantile is estimated by stochastic approximation (Robbins and
    Monro, 1951) on its logarithm: a request above the threshold raises it,
    a request below it lowers it by a smaller step. The estimator only needs
    to know whether a request exceeded the threshold, so it isn't biased by
    requests whose full latency is never observed because a hedge returned
    first. A high percentile of a histogram is biased by them, and takes
    thousands of samples to become stable.

    Parameters: `late_fraction` is the fraction of requests that shall exceed
    the threshold, 0 to 1; `initial_s` is its initial value, `min_s` and
    `max_s` are its bounds, all in seconds.
    """

    def __init__(
        self,
        late_fraction: float,
        *,
        initial_s: float,
        min_s: float,
        max_s: float,
    ):
        self._late_fraction = late_fraction
        self._min_s = min_s
        self._max_s = max_s
        self._threshold_s = initial_s
        self._count = 0

    def get(self) -> float:
        """Return the threshold in seconds."""
        return self._threshold_s

    def observe(self, is_late: bool) -> None:
        """Update the threshold by whether one request exceeded it."""
        self._count += 1
        gain = _INITIAL_GAIN / math.sqrt(self._count)
        gain = min(max(gain, _MIN_GAIN), _MAX_GAIN)
        step = (1.0 - self._late_fraction) if is_late else -self._late_fraction
        threshold_s = self._threshold_s * math.exp(gain * step)
        self._threshold_s = min(max(threshold_s, self._min_s), self._max_s)


class DecayingMean:
    """Exponentially weighted mean that decays to zero without new samples.

    A slow replica is no longer selected, so it gets no new samples and its
    mean would stay high for ever. With the decay it is selected again after
    a time, as with the peak EWMA of Finagle.

    Parameters: `weight` is the weight of a new sample, 0 to 1;
    `decay_time_s` is the time constant of the decay in seconds, after which
    an idle mean has fallen to 1/e.
    """

    def __init__(
        self,
        clock: _clock.Clock,
        weight: float = 0.15,
        decay_time_s: float = 5.0,
    ):
        self._clock = clock
        self._weight = weight
        self._decay_time_s = decay_time_s
        self._mean = 0.0
        self._updated_at = clock.now()

    def record(self, value: float) -> None:
        """Add one sample to the mean as it was before the decay."""
        self._mean += self._weight * (value - self._mean)
        self._updated_at = self._clock.now()

    def get(self) -> float:
        """Return the mean, decayed by the time since the last sample."""
        idle_s = self._clock.now() - self._updated_at
        return self._mean * math.exp(-idle_s / self._decay_time_s)
