"""Health of one upstream as observed by one host.

Latency, failures and rejections determine its concurrency limit, its cost
in the choice of an upstream, and its ejection.
"""

import dataclasses
import math

from rudderrock import protocol
from rudderrock import state

MIN_LIMIT = 1.0
# Cost added to a cold upstream, relative to its cost when warm; it decreases
# to 0 over the warm-up.
_COLD_PENALTY = 3.0
# Largest relative cost added for the queue that an upstream reports.
_QUEUE_PENALTY = 0.25
# Keeps the cost positive, so that attempts in flight count while no latency is
# known.
_LATENCY_OFFSET_S = 1e-4
# Factor on the concurrency limit when the upstream sheds an attempt.
_SHED_BACKOFF = 0.7
# The pause after shedding is multiplied by this for each answer.
_SHED_RECOVERY = 0.8
_MAX_SHED_PAUSE_S = 5.0
# The limit is lowered when more than this many requests are estimated to wait
# at the upstream and the mean latency is more than this many times the
# unloaded latency.
_QUEUEING_THRESHOLD = 2.0
# Growth of the unloaded latency per answer, so that it follows a lasting rise.
_UNLOADED_DRIFT = 1.0005
# Weight of one answer in the base latency, so that it follows a lasting rise.
_BASE_LATENCY_GAIN = 0.02
# Weight of one first attempt in the moving fraction of late ones.
_LATE_WEIGHT = 0.04
# Failures in a row lead to ejection only if they span this many seconds.
# Failures within one stall of this process or of the network are no evidence
# against the upstream.
_MIN_FAILURE_SPAN_S = 0.25
# Bounds the exponent of the ejection time.
_MAX_EJECTIONS = 10
# Expired entries are dropped once there are this many entries.
_MAX_MISSING_VERSIONS = 256


class UpstreamHealth:
    """Latency, failures, shedding and index versions of one upstream.

    `limit` is the number of attempts that may be in flight. `late_fraction` is
    the moving fraction of first attempts that were late. `base_latency_s` is
    the base latency in seconds: the lowest latency observed, 0 while unknown;
    it slowly follows a lasting rise.
    """

    def __init__(self, settings: state.RoutingSettings, clock: state.Clock):
        self.limit = MIN_LIMIT
        self.late_fraction = 0.0
        self.base_latency_s = 0.0
        self._settings = settings
        self._clock = clock
        self._latency = state.DecayingMean(clock)
        self._unloaded_latency = math.inf
        self._failures = 0
        self._ejections = 0
        self._ejected_until = -math.inf
        self._failing_since = math.inf
        self._shed_until = -math.inf
        self._shed_pause_s = 0.0
        self._cold_until = -math.inf
        self._reported_load = protocol.Load()
        self._missing_versions: dict[tuple[state.ShardId, int], float] = {}

    def is_available(self, now: float) -> bool:
        """Return whether no ejection or pause after shedding is in effect."""
        return now >= self._ejected_until and now >= self._shed_until

    def is_missing_version(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Return whether the upstream recently rejected this version."""
        return self._missing_versions.get((shard, version), -math.inf) > now

    def may_miss_version(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Return whether the upstream probably does not have this version.

        In addition to `is_missing_version`, the versions that the upstream
        reports with its load are taken as a hint.
        """
        reported = self._reported_load.versions
        return bool(
            reported and version not in reported
        ) or self.is_missing_version(shard, version, now)

    def get_cost(self, in_flight: int, slots: int, now: float) -> float:
        """Return the expected cost of one more attempt; lower is better.

        The cost is the mean latency times the attempts of this host in
        flight, the new one included; it is higher during the warm-up and if
        the upstream reports a queue. The queue has little weight, because the
        report may be outdated or wrong.
        """
        cost = (self._latency.get() + _LATENCY_OFFSET_S) * (in_flight + 1)
        if now < self._cold_until:
            cold_fraction = (self._cold_until - now) / self._settings.warm_up_s
            cost *= 1.0 + _COLD_PENALTY * cold_fraction
        queue_fraction = self._reported_load.queued / max(1, slots)
        return cost * (1.0 + _QUEUE_PENALTY * min(1.0, queue_fraction))

    def record_lateness(self, is_late: bool) -> None:
        """Record whether a first attempt was late."""
        self.late_fraction += _LATE_WEIGHT * (is_late - self.late_fraction)

    def mark_cold(self) -> None:
        """Start the warm-up of an upstream that was down."""
        self._cold_until = self._clock.now() + self._settings.warm_up_s
        self.limit = MIN_LIMIT

    def record_success(
        self, elapsed_s: float, load: protocol.Load, in_flight: int, lanes: int
    ) -> None:
        """Record an answer that arrived after `elapsed_s` seconds.

        `in_flight` and `lanes` are the attempts and connections of this
        host at the upstream.
        """
        self._failures = 0
        self._ejections = 0
        self._failing_since = math.inf
        self._latency.record(elapsed_s)
        raised_base_latency_s = self.base_latency_s + _BASE_LATENCY_GAIN * (
            elapsed_s - self.base_latency_s
        )
        self.base_latency_s = (
            min(elapsed_s, raised_base_latency_s)
            if self.base_latency_s
            else elapsed_s
        )
        self._reported_load = load
        self._shed_pause_s *= _SHED_RECOVERY
        if self._settings.adapt:
            self._adapt_limit(in_flight, lanes)

    def record_timeout(self, elapsed_s: float) -> float | None:
        """Record that no answer arrived in `elapsed_s` seconds.

        This counts as a failure, also for an attempt that was cancelled
        because its hedge was faster; the elapsed time is then a lower bound
        of its latency. Return the ejection time as `record_failure` does.
        """
        self._latency.record(max(elapsed_s, self._latency.get()))
        return self.record_failure()

    def record_shed(self, retry_after_s: float) -> None:
        """Record that the upstream shed an attempt because of overload.

        Lower the limit and pause sending. The pause doubles with each
        rejection, so that rejections become rare, and shrinks with each
        answer.
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
        """Record that the upstream lacks a version, and which ones it has."""
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
        """Record a failure; return the ejection time in seconds, or None.

        The upstream is ejected after `eject_after` failures in a row that
        span at least `_MIN_FAILURE_SPAN_S`.
        """
        now = self._clock.now()
        self._failures += 1
        self._failing_since = min(self._failing_since, now)
        too_few = self._failures < self._settings.eject_after
        if too_few or now - self._failing_since < _MIN_FAILURE_SPAN_S:
            return None
        ejection_s = self._settings.eject_s * 2**self._ejections
        ejection_s = min(ejection_s, self._settings.eject_max_s)
        self._ejected_until = now + ejection_s
        self._ejections = min(self._ejections + 1, _MAX_EJECTIONS)
        self._failures = 0
        return ejection_s

    def _adapt_limit(self, in_flight: int, lanes: int) -> None:
        """Raise the limit when it is reached, lower it when a queue forms.

        This is the rule of TCP Vegas (Brakmo and Peterson, 1995): the number
        of requests of this host that wait at the upstream is estimated as
        `limit * (1 - unloaded latency / mean latency)`.
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
