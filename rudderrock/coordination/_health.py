"""What one host has observed of one upstream, and what follows from it."""

import dataclasses
import math

from rudderrock import protocol
from rudderrock import state

MIN_LIMIT = 1.0
_COLD_PENALTY = 3.0
_QUEUE_PENALTY = 0.25
_LATENCY_OFFSET_S = 1e-4
_SHED_BACKOFF = 0.7
_SHED_RECOVERY = 0.8
_MAX_SHED_PAUSE_S = 5.0
# Latency above this many times the unloaded one means a queue up there.
_QUEUEING_THRESHOLD = 2.0
_UNLOADED_DRIFT = 1.0005
# How fast the least latency follows a latency that has risen for good.
_BASE_LATENCY_GAIN = 0.02
# Weight of one request in the moving fraction of late ones.
_LATE_WEIGHT = 0.04
# Failures that all fall into one stall of this process, or of the network,
# say nothing of the upstream; a run of them must last at least this long.
_MIN_FAILURE_SPAN_S = 0.25
_MAX_EJECTIONS = 10
_MAX_MISSING_VERSIONS = 256


class UpstreamHealth:
    """Latency, failures, sheds and versions of one upstream.

    `limit` is how many attempts may be in flight, `late` the moving
    fraction of first attempts that were late, `base_s` the least latency
    in seconds, 0 while unknown.
    """

    def __init__(self, settings: state.RoutingSettings, clock: state.Clock):
        self.limit = MIN_LIMIT
        self.late = 0.0
        self.base_s = 0.0
        self._settings = settings
        self._clock = clock
        self._latency = state.FadingMean(clock)
        self._unloaded_latency = math.inf
        self._failures = 0
        self._ejections = 0
        self._ejected_until = -math.inf
        self._failing_since = math.inf
        self._shed_until = -math.inf
        self._shed_pause_s = 0.0
        self._warm_at = -math.inf
        self._reported_load = protocol.Load()
        self._missing_versions: dict[tuple[state.ShardId, int], float] = {}

    def is_favoured(self, now: float) -> bool:
        """Tell whether nothing speaks against it just now."""
        return now >= self._ejected_until and now >= self._shed_until

    def lacks(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell whether it lately said that it hasn't this version."""
        return self._missing_versions.get((shard, version), -math.inf) > now

    def seems_to_lack(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell the same, also by what it says of itself, as a hint."""
        reported = self._reported_load.versions
        return bool(reported and version not in reported) or self.lacks(
            shard, version, now
        )

    def get_cost(self, in_flight: int, slots: int, now: float) -> float:
        """Return the expected cost of sending it one more; less is better.

        Observed latency and our own work in flight count; what the
        upstream says of itself only tips the scales, since it may lag or
        mislead.
        """
        cost = (self._latency.get() + _LATENCY_OFFSET_S) * (in_flight + 1)
        if now < self._warm_at:
            cold_fraction = (self._warm_at - now) / self._settings.warm_up_s
            cost *= 1.0 + _COLD_PENALTY * cold_fraction
        queue_fraction = self._reported_load.queued / max(1, slots)
        return cost * (1.0 + _QUEUE_PENALTY * min(1.0, queue_fraction))

    def note_late(self, late: bool) -> None:
        """Take note of whether a first attempt was late."""
        self.late += _LATE_WEIGHT * (late - self.late)

    def mark_cold(self) -> None:
        """Take note that it was away, so that it starts cold."""
        self._warm_at = self._clock.now() + self._settings.warm_up_s
        self.limit = MIN_LIMIT

    def record_success(
        self, elapsed: float, load: protocol.Load, in_flight: int, lanes: int
    ) -> None:
        """Take note of an answer after `elapsed` seconds."""
        self._failures = 0
        self._ejections = 0
        self._failing_since = math.inf
        self._latency.record(elapsed)
        raised_base_s = self.base_s + _BASE_LATENCY_GAIN * (
            elapsed - self.base_s
        )
        self.base_s = min(elapsed, raised_base_s) if self.base_s else elapsed
        self._reported_load = load
        self._shed_pause_s *= _SHED_RECOVERY
        if self._settings.adapt:
            self._adapt_limit(in_flight, lanes)

    def record_timeout(self, elapsed: float) -> float | None:
        """Take note of no answer in `elapsed` seconds, as of a failure.

        Also when a hedge was faster and this one was cancelled: the time
        so far is a lower bound.
        """
        self._latency.record(max(elapsed, self._latency.get()))
        return self.record_failure()

    def record_shed(self, retry_after_s: float) -> None:
        """Take note that it was overloaded.

        The pause doubles until answers outnumber refusals, so that being
        refused never becomes the steady state.
        """
        self.limit = max(MIN_LIMIT, self.limit * _SHED_BACKOFF)
        pause_s = max(retry_after_s, 2 * self._shed_pause_s)
        self._shed_pause_s = min(pause_s, _MAX_SHED_PAUSE_S)
        self._shed_until = self._clock.now() + self._shed_pause_s

    def record_missing_version(
        self,
        shard: state.ShardId,
        version: state.IndexVersion,
        held_versions: tuple[state.IndexVersion, ...],
    ) -> None:
        """Take note that it hasn't a version, and which ones it has."""
        now = self._clock.now()
        if len(self._missing_versions) >= _MAX_MISSING_VERSIONS:
            self._missing_versions = {
                key: until
                for key, until in self._missing_versions.items()
                if until > now
            }
        until = now + self._settings.version_memory_s
        self._missing_versions[(shard, version)] = until
        self._reported_load = dataclasses.replace(
            self._reported_load, versions=held_versions
        )

    def record_failure(self) -> float | None:
        """Take note of a failure; return for how long it is ejected, if so.

        A run of failures counts only if it outlasts a stall.
        """
        now = self._clock.now()
        self._failures += 1
        self._failing_since = min(self._failing_since, now)
        is_short_run = self._failures < self._settings.eject_after
        if is_short_run or now - self._failing_since < _MIN_FAILURE_SPAN_S:
            return None
        ejection_s = self._settings.eject_s * 2**self._ejections
        ejection_s = min(ejection_s, self._settings.eject_max_s)
        self._ejected_until = now + ejection_s
        self._ejections = min(self._ejections + 1, _MAX_EJECTIONS)
        self._failures = 0
        return ejection_s

    def _adapt_limit(self, in_flight: int, lanes: int) -> None:
        """Grow while it helps, shrink while a queue stands up there.

        The rule of TCP Vegas (Brakmo and Peterson, 1995): latency against
        the unloaded latency tells how many of ours wait at the upstream.
        """
        mean_latency = self._latency.get()
        self._unloaded_latency = min(
            self._unloaded_latency * _UNLOADED_DRIFT, mean_latency
        )
        queued = self.limit * (
            1.0 - self._unloaded_latency / max(mean_latency, 1e-9)
        )
        if (
            queued > _QUEUEING_THRESHOLD
            and mean_latency > _QUEUEING_THRESHOLD * self._unloaded_latency
        ):
            self.limit -= 0.5 / self.limit
        elif in_flight + 1 >= self.limit:
            self.limit += 1.0 / self.limit
        self.limit = min(max(self.limit, MIN_LIMIT), max(1, lanes))
