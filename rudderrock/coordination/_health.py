"""What one host has observed of one upstream, and what follows from it."""

import dataclasses
import math

from rudderrock import protocol
from rudderrock import state

MIN_LIMIT = 1.0
_COLD_PENALTY = 3.0
_HINT_PENALTY = 0.25
_LEAST_COST_S = 1e-4
_SHED_BACKOFF = 0.7
_SHED_RECOVERY = 0.8
_LONGEST_SHED_PAUSE_S = 5.0
# Latency above this many times the unloaded one means a queue up there.
_QUEUE_SIGN = 2.0
_UNLOADED_DRIFT = 1.0005
# How fast the least latency follows a latency that has risen for good.
_BASE_LEAK = 0.02
# Weight of one request in the moving fraction of late ones.
_LATE_WEIGHT = 0.04
# Failures that all fall into one stall of this process, or of the network,
# say nothing of the upstream; a run of them must last at least this long.
_MIN_FAILURE_SPAN_S = 0.25
_MOST_EJECTIONS = 10
_MOST_MISSING = 256


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
        self._unloaded = math.inf
        self._failures = 0
        self._ejections = 0
        self._ejected_until = -math.inf
        self._failing_since = math.inf
        self._shed_until = -math.inf
        self._shed_pause_s = 0.0
        self._warm_at = -math.inf
        self._hint = protocol.Load()
        self._missing: dict[tuple[state.ShardId, int], float] = {}

    def is_favoured(self, now: float) -> bool:
        """Tell whether nothing speaks against it just now."""
        return now >= self._ejected_until and now >= self._shed_until

    def lacks(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell whether it lately said that it hasn't this version."""
        return self._missing.get((shard, version), -math.inf) > now

    def seems_to_lack(
        self, shard: state.ShardId, version: state.IndexVersion, now: float
    ) -> bool:
        """Tell the same, also by what it says of itself, as a hint."""
        told = self._hint.versions
        return bool(told and version not in told) or self.lacks(
            shard, version, now
        )

    def get_cost(self, in_flight: int, slots: int, now: float) -> float:
        """Return the expected cost of sending it one more; less is better.

        Observed latency and our own work in flight count; what the
        upstream says of itself only tips the scales, since it may lag or
        mislead.
        """
        cost = (self._latency.get() + _LEAST_COST_S) * (in_flight + 1)
        if now < self._warm_at:
            left = (self._warm_at - now) / self._settings.warm_up_s
            cost *= 1.0 + _COLD_PENALTY * left
        waiting = self._hint.queued / max(1, slots)
        return cost * (1.0 + _HINT_PENALTY * min(1.0, waiting))

    def note_late(self, late: bool) -> None:
        """Take note of whether a first attempt was late."""
        self.late += _LATE_WEIGHT * (late - self.late)

    def note_cold(self) -> None:
        """Take note that it was away, so that it starts cold."""
        self._warm_at = self._clock.now() + self._settings.warm_up_s
        self.limit = MIN_LIMIT

    def note_success(
        self, elapsed: float, load: protocol.Load, in_flight: int, lanes: int
    ) -> None:
        """Take note of an answer after `elapsed` seconds."""
        self._failures = 0
        self._ejections = 0
        self._failing_since = math.inf
        self._latency.record(elapsed)
        leaked = self.base_s + _BASE_LEAK * (elapsed - self.base_s)
        self.base_s = min(elapsed, leaked) if self.base_s else elapsed
        self._hint = load
        self._shed_pause_s *= _SHED_RECOVERY
        if self._settings.adapt:
            self._adapt_limit(in_flight, lanes)

    def note_timeout(self, elapsed: float) -> float | None:
        """Take note of no answer in `elapsed` seconds, as of a failure.

        Also when a hedge was faster and this one was cancelled: the time
        so far is a lower bound.
        """
        self._latency.record(max(elapsed, self._latency.get()))
        return self.note_failure()

    def note_shed(self, retry_after_s: float) -> None:
        """Take note that it was overloaded.

        The pause doubles until answers outnumber refusals, so that being
        refused never becomes the steady state.
        """
        self.limit = max(MIN_LIMIT, self.limit * _SHED_BACKOFF)
        longer_s = max(retry_after_s, 2 * self._shed_pause_s)
        self._shed_pause_s = min(longer_s, _LONGEST_SHED_PAUSE_S)
        self._shed_until = self._clock.now() + self._shed_pause_s

    def note_missing(
        self,
        shard: state.ShardId,
        version: state.IndexVersion,
        held: tuple[state.IndexVersion, ...],
    ) -> None:
        """Take note that it hasn't a version, and which ones it has."""
        now = self._clock.now()
        if len(self._missing) >= _MOST_MISSING:
            self._missing = {
                key: until
                for key, until in self._missing.items()
                if until > now
            }
        until = now + self._settings.version_memory_s
        self._missing[(shard, version)] = until
        self._hint = dataclasses.replace(self._hint, versions=held)

    def note_failure(self) -> float | None:
        """Take note of a failure; return for how long it is ejected, if so.

        A run of failures counts only if it outlasts a stall.
        """
        now = self._clock.now()
        self._failures += 1
        self._failing_since = min(self._failing_since, now)
        few = self._failures < self._settings.eject_after
        if few or now - self._failing_since < _MIN_FAILURE_SPAN_S:
            return None
        out_s = self._settings.eject_s * 2**self._ejections
        out_s = min(out_s, self._settings.eject_max_s)
        self._ejected_until = now + out_s
        self._ejections = min(self._ejections + 1, _MOST_EJECTIONS)
        self._failures = 0
        return out_s

    def _adapt_limit(self, in_flight: int, lanes: int) -> None:
        """Grow while it helps, shrink while a queue stands up there.

        The rule of TCP Vegas (Brakmo and Peterson, 1995): latency against
        the unloaded latency tells how many of ours wait at the upstream.
        """
        mean = self._latency.get()
        self._unloaded = min(self._unloaded * _UNLOADED_DRIFT, mean)
        queued = self.limit * (1.0 - self._unloaded / max(mean, 1e-9))
        if queued > _QUEUE_SIGN and mean > _QUEUE_SIGN * self._unloaded:
            self.limit -= 0.5 / self.limit
        elif in_flight + 1 >= self.limit:
            self.limit += 1.0 / self.limit
        self.limit = min(max(self.limit, MIN_LIMIT), max(1, lanes))
