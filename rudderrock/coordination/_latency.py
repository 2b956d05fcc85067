"""Latency as observed by this host: percentiles and a fading average."""

import math

from hdrh import histogram

from rudderrock import state

_MICROS = 1_000_000
_LOWEST = 1
_HIGHEST = 60 * _MICROS
_DIGITS = 2
_MIN_SAMPLES = 50


class LatencyWindow:
    """Percentiles over the last one to two windows of time.

    Two histograms take turns, so that old samples leave without keeping
    each. Reading a percentile costs some 350 us, so it is read again only
    after `refresh_s`, and a request costs one `record` of 3 us.

    Parameters: `window_s` and `refresh_s` in seconds.
    """

    def __init__(
        self,
        clock: state.Clock,
        window_s: float = 30.0,
        refresh_s: float = 1.0,
    ):
        self._clock = clock
        self._window_s = window_s
        self._refresh_s = refresh_s
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._rotated = clock.now()
        self._cached: float | None = None
        self._cached_at = -math.inf

    def record(self, seconds: float) -> None:
        """Add one observed latency."""
        self._rotate()
        self._current.record_value(max(_LOWEST, round(seconds * _MICROS)))

    @property
    def is_filled(self) -> bool:
        """Tell whether percentiles are known, as of the last reading."""
        return self._cached is not None

    def get_percentile(self, percentile: float) -> float | None:
        """Return a percentile in seconds, or None with too few samples.

        One window serves one percentile; asking for another returns the
        one that is cached.
        """
        now = self._clock.now()
        if now - self._cached_at < self._refresh_s:
            return self._cached
        self._cached_at = now
        self._rotate()
        self._cached = self._read_percentile(percentile)
        return self._cached

    def _read_percentile(self, percentile: float) -> float | None:
        fuller = max(
            (self._previous, self._current),
            key=lambda each: each.get_total_count(),
        )
        if fuller.get_total_count() < _MIN_SAMPLES:
            return None
        return fuller.get_value_at_percentile(percentile) / _MICROS

    def _rotate(self) -> None:
        now = self._clock.now()
        if now - self._rotated < self._window_s:
            return
        self._rotated = now
        self._previous = self._current
        self._current = _make_histogram()


class FadingMean:
    """An exponentially weighted mean that also fades with idle time.

    A replica that was slow is not asked, so it would be remembered as slow
    for ever; fading towards zero gives it another try (as Finagle's peak
    EWMA does).

    Parameters: `weight` of a new sample, 0 to 1; `fade_s` is the time in
    which an idle mean falls to 1/e.
    """

    def __init__(
        self, clock: state.Clock, weight: float = 0.15, fade_s: float = 5.0
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


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)
