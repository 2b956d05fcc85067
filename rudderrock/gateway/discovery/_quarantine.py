"""Quarantine of requests that crash upstreams.

A request that crashes each upstream that runs it, a query of death, arrives
repeatedly under other ids and at other hosts. Hosts therefore identify it by
its digest, exchange records of it, and stop sending it after a few failed
rounds. See "Site Reliability Engineering" (Beyer et al., 2016), chapter 22.

The record of a request contains the set of its failed rounds (`trials`), in
which every upstream that received it crashed, the crashed upstreams (`ended`),
and whether any upstream has answered it. A round is a set of attempts that are
in flight together. Records of two hosts are merged by set union, so their
order and repetition don't matter.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import Annotated

import msgspec

from rudderrock import core
from rudderrock.gateway import _decoding as decoding
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log

# Number of failed rounds, without any answer, after which a request is
# quarantined. One may be a crash with another cause, which also affects
# unrelated requests, and so may two if they are the crashes of a shard's last
# replicas. Users count the upstreams that a request crashes only from the
# third on.
QUARANTINE_THRESHOLD = 3
# Threshold for a request that has crashed at least `QUARANTINE_THRESHOLD`
# upstreams, of one or several services. So many crashes in a first round are
# unlikely to have another cause, so one further failed round suffices. Of the
# later crashes, users again count only those from the third upstream on, so
# two canaries that two hosts send at the same moment do not count.
_REDUCED_QUARANTINE_THRESHOLD = 2
# How long a request is suspect after its last crash, in seconds. A suspect
# request is sent to a single upstream first, as a canary, so a copy crashes
# one upstream and not one of each shard. A request that is suspected wrongly
# is delayed until the canary is answered.
SUSPECT_DURATION_S = 300.0
# How long a quarantine lasts after the last crash, in seconds. The next copy
# after it is sent as a canary, since upstreams may be fixed and indexes
# change. If the request is still lethal, the canary crashes one upstream. Each
# failed canary doubles the duration, up to 16 times the first, so that 5
# upstreams crash in a day and not 24.
QUARANTINE_DURATION_S = 3600.0
_MAX_DOUBLINGS = 4
# How long the record of a quarantine is kept after the last crash, in seconds.
RECORD_RETENTION_S = 24 * 3600.0
# How long the record of an answered request is kept after the last crash, in
# seconds. Hosts that don't know of the answer yet may still send records of
# earlier crashes.
CLEARED_RETENTION_S = 30.0
# Maximum number of requests with a record. Each has crashed at least one
# upstream, so a team that fills the records does more harm by the crashes than
# by the eviction of other records. 256 records take some 100 KB.
MAX_RECORDS = 256
# How long a crashed upstream is assumed to be down, in seconds. Its
# registration lapses after three missed heartbeats of 1.2 s, and hosts learn
# of it with their next reading. An upstream that is registered after that is
# alive.
CRASH_EXCLUSION_S = 4.0
# Maximum number of crashed upstreams recorded for one request. Suffices for
# all replicas of 170 shards.
_MAX_ENDED_UPSTREAMS = 512
# Maximum number of failed rounds recorded for one request. At one in 16
# hours they suffice for a month.
_MAX_TRIAL_IDS = 64
# Common id of the failed rounds of all hosts that did not suspect the request
# before. Copies that are in flight at the same time at several hosts therefore
# count as one failed round, also if a failed shard, zone or link is the cause.
_INITIAL_TRIAL = 'first'
# Origin of the changes made by this host.
_OWN = 'own'


class QuarantineState(enum.Enum):
    """Whether a request is sent normally, as a canary first, or not at all."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Record(msgspec.Struct, frozen=True):
    """Record of one request, as hosts exchange it.

    `trials` are the ids of the failed rounds, `answered` is true if an
    upstream has answered the request, `age_ms` is the time since the last
    crash, and `ended` maps each crashed upstream to the time since its crash;
    both in milliseconds.
    """

    digest: Annotated[str, decoding.TOKEN]
    trials: list[Annotated[str, decoding.NAME]]
    answered: bool
    age_ms: decoding.Count
    ended: dict[
        Annotated[core.UpstreamIncarnation, decoding.NAME], decoding.Count
    ] = {}


class _RequestHistory:
    """Local record of one request.

    `last_crash_at` and the values of `ended` are loop times. `generation` is
    that of the last change, and `decisive_generation` that of the last one
    that can affect the state. `is_own` is whether this process has
    contributed to the record.
    """

    __slots__ = (
        'trials',
        'ended',
        'answered',
        'last_crash_at',
        'generation',
        'decisive_generation',
        'is_own',
    )

    def __init__(self) -> None:
        self.trials: frozenset[str] = frozenset()
        self.ended: dict[core.UpstreamIncarnation, float] = {}
        self.answered = False
        self.last_crash_at = -math.inf
        self.generation = 0
        self.decisive_generation = 0
        self.is_own = False

    def has_multiple_crashes(self) -> bool:
        return max(len(self.ended), len(self.trials)) > 1

    def get_state(self, now: float) -> QuarantineState:
        if self.answered:
            return QuarantineState.CLEAR
        if not self.has_reached_threshold():
            return QuarantineState.SUSPECT
        if now - self.last_crash_at < self.get_quarantine_duration_s():
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def has_reached_threshold(self) -> bool:
        """Return whether it has the failed rounds for a quarantine."""
        return len(self.trials) >= self.get_threshold()

    def get_threshold(self) -> int:
        if len(self.ended) >= QUARANTINE_THRESHOLD:
            return _REDUCED_QUARANTINE_THRESHOLD
        return QUARANTINE_THRESHOLD

    def get_quarantine_duration_s(self) -> float:
        extra_trials = max(0, len(self.trials) - self.get_threshold())
        return QUARANTINE_DURATION_S * 2 ** min(extra_trials, _MAX_DOUBLINGS)

    def get_retention_s(self) -> float:
        if self.answered:
            return CLEARED_RETENTION_S
        if not self.has_reached_threshold():
            return SUSPECT_DURATION_S
        return RECORD_RETENTION_S


class Quarantine:
    """Records of requests that have crashed upstreams.

    Parameters: `process` identifies this incarnation of the process, so that
    ids of its failed rounds are unique. `generation` is incremented with
    each change.
    """

    def __init__(self, process: str, clock: core.Clock, events: log.EventLog):
        self.generation = 0
        self._process = process
        self._clock = clock
        self._events = events
        self._histories: dict[str, _RequestHistory] = {}
        self._trial_count = 0
        self._canary_counts: collections.Counter[str] = collections.Counter()
        self._listeners: list[Callable[[], None]] = []
        self._local_listeners: list[Callable[[], None]] = []

    @property
    def is_empty(self) -> bool:
        """Return whether there are no records."""
        return not self._histories

    def add_listener(self, call: Callable[[], None]) -> None:
        """Register `call` to be called after each change."""
        self._listeners.append(call)

    def add_local_listener(self, call: Callable[[], None]) -> None:
        """Register `call` to be called after each change made by this host."""
        self._local_listeners.append(call)

    def count_quarantined(self) -> int:
        """Return the number of requests in quarantine."""
        now = self._clock.now()
        return sum(
            each.get_state(now) is QuarantineState.QUARANTINED
            for each in self._histories.values()
        )

    def get_state(self, digest: str) -> QuarantineState:
        """Return the state of a request, `CLEAR` if there is no record."""
        history = self._histories.get(digest)
        now = self._clock.now()
        if (
            history is None
            or now - history.last_crash_at >= history.get_retention_s()
        ):
            return QuarantineState.CLEAR
        return history.get_state(now)

    def get_quarantine_left_s(self, digest: str) -> float:
        """Return the remaining time of a quarantine, in seconds."""
        history = self._histories.get(digest)
        if history is None:
            return 0.0
        end = history.last_crash_at + history.get_quarantine_duration_s()
        return max(0.0, end - self._clock.now())

    def has_multiple_crashes(self, digest: str) -> bool:
        """Return whether a request has crashed more than one upstream.

        A single crash can be an ordinary one that affects unrelated requests,
        which may still be sent to any remaining upstream.
        """
        history = self._histories.get(digest)
        return history is not None and history.has_multiple_crashes()

    def list_crashed(self, digest: str) -> list[core.UpstreamIncarnation]:
        """Return the upstreams that a request has crashed."""
        history = self._histories.get(digest)
        return sorted(history.ended) if history is not None else []

    def has_crashed(
        self, incarnation: core.UpstreamIncarnation, lag_s: float = 0.0
    ) -> bool:
        """Return whether an upstream has crashed under any request recently.

        That is within the last `CRASH_EXCLUSION_S + lag_s` seconds. Each host
        uses a random `lag_s`, so that canaries are not sent at the same time.
        """
        oldest = self._clock.now() - CRASH_EXCLUSION_S - lag_s
        return any(
            each.ended.get(incarnation, -math.inf) > oldest
            for each in self._histories.values()
        )

    def get_crash_age_s(self, digest: str) -> float:
        """Return the time since the last crash, in seconds.

        It is infinite if there is no record.
        """
        history = self._histories.get(digest)
        if history is None:
            return math.inf
        return self._clock.now() - history.last_crash_at

    def get_exclusion_left_s(self, digest: str) -> float:
        """Return how long its crashed upstreams stay excluded, in seconds."""
        return max(0.0, CRASH_EXCLUSION_S - self.get_crash_age_s(digest))

    def has_canary(self, digest: str) -> bool:
        """Return whether a canary of a request is in flight at this host."""
        return self._canary_counts[digest] > 0

    def begin_canary(self, digest: str) -> None:
        """Record that a canary is being sent.

        `has_canary` then prevents that another copy is sent as a canary at the
        same time and counted as another failed round, as happened with two
        copies that arrived at one host within 10 ms.
        """
        self._canary_counts[digest] += 1

    def end_canary(self, digest: str) -> None:
        """Record that the outcome of a canary is known."""
        self._canary_counts[digest] -= 1
        if not self._canary_counts[digest]:
            del self._canary_counts[digest]

    def record_crash(
        self,
        digest: str,
        began: float,
        was_suspect: bool,
        ended: Iterable[core.UpstreamIncarnation] = (),
    ) -> None:
        """Record a failed round: every upstream that got the request crashed.

        `began` is the loop time at which the round began, and `was_suspect` is
        true if the request was suspect then. Rounds that overlap at this host
        count as one, since they may have had the same cause; all crashed
        upstreams are recorded.
        """
        now = self._clock.now()
        history = self._histories.get(digest)
        trial_ids = {_INITIAL_TRIAL}
        crash_times = dict.fromkeys(ended, now)
        if (
            was_suspect
            and history is not None
            and began < history.last_crash_at
        ):
            trial_ids = set()
        elif was_suspect:
            self._trial_count += 1
            trial_ids = {f'{self._process}/{self._trial_count}'}
        self._apply(digest, trial_ids, False, now, _OWN, crash_times)
        for call in self._local_listeners:
            call()

    def record_answer(self, digest: str) -> None:
        """Record that an upstream has answered, which clears the request."""
        history = self._histories.get(digest)
        if history is None or history.answered:
            return
        self._apply(digest, (), True, history.last_crash_at, _OWN, {})
        for call in self._local_listeners:
            call()

    def merge(self, records: Iterable[Record], origin: str) -> None:
        """Merge records of another host; `origin` is logged."""
        now = self._clock.now()
        for each in records:
            last_crash_at = now - max(0, each.age_ms) / 1000
            trials = each.trials[:_MAX_TRIAL_IDS]
            ended = {
                incarnation: now - max(0, age_ms) / 1000
                for incarnation, age_ms in each.ended.items()
            }
            self._apply(
                each.digest,
                trials,
                each.answered,
                last_crash_at,
                origin,
                ended,
            )

    def list_since(self, generation: int) -> list[Record]:
        """Return the records that have changed since a generation."""
        now = self._clock.now()
        return [
            _make_record(digest, each, now)
            for digest, each in self._histories.items()
            if each.generation > generation
        ]

    def list_own_since(self, generation: int) -> list[Record]:
        """Return the records of this process with a decisive change.

        These are records that it has contributed to. Requests that have
        crashed a single upstream are left out: most are harmless ones that
        were in flight when it crashed.
        """
        now = self._clock.now()
        return [
            _make_record(digest, each, now)
            for digest, each in self._histories.items()
            if each.decisive_generation > generation
            and each.is_own
            and each.has_multiple_crashes()
        ]

    def _apply(
        self,
        digest: str,
        trials: Iterable[str],
        answered: bool,
        last_crash_at: float,
        origin: str,
        ended: Mapping[core.UpstreamIncarnation, float],
    ) -> None:
        now = self._clock.now()
        self._drop_expired(now)
        history = self._histories.get(digest, _RequestHistory())
        merged_trials = frozenset(
            sorted(history.trials.union(trials))[:_MAX_TRIAL_IDS]
        )
        merged_ended = _merge_crash_times(history.ended, ended)
        is_answered = history.answered or answered
        is_unchanged = (
            merged_trials == history.trials
            and merged_ended.keys() == history.ended.keys()
        )
        if is_unchanged and is_answered == history.answered:
            # Nothing new. Repeated reports of a crash differ in age only.
            return
        before = (
            history.get_state(now) if history.trials else QuarantineState.CLEAR
        )
        is_decisive = (
            merged_trials != history.trials
            or is_answered != history.answered
            or len(history.ended) < QUARANTINE_THRESHOLD
        )
        history.trials = merged_trials
        history.ended = merged_ended
        history.answered = is_answered
        history.last_crash_at = max(history.last_crash_at, last_crash_at)
        history.is_own = history.is_own or origin == _OWN
        if now - history.last_crash_at >= history.get_retention_s():
            return
        self.generation += 1
        history.generation = self.generation
        if is_decisive:
            history.decisive_generation = self.generation
        self._histories[digest] = history
        self._record_change(digest, history, before, now, origin)
        self._evict(now)
        for call in self._listeners:
            call()

    def _record_change(
        self,
        digest: str,
        history: _RequestHistory,
        before: QuarantineState,
        now: float,
        origin: str,
    ) -> None:
        self._events.record(
            events.LogKind.QUARANTINE_CHANGED,
            digest=digest,
            before=before.value,
            standing=history.get_state(now).value,
            trials=len(history.trials),
            origin=origin,
        )

    def _drop_expired(self, now: float) -> None:
        """Remove expired records."""
        for digest, each in list(self._histories.items()):
            if now - each.last_crash_at >= each.get_retention_s():
                del self._histories[digest]

    def _evict(self, now: float) -> None:
        """Remove one record if there are more than `MAX_RECORDS`.

        Records that have reached the quarantine threshold are removed last.
        Otherwise answered requests are removed first, then the record with the
        oldest crash.
        """
        if len(self._histories) <= MAX_RECORDS:
            return
        least_needed = min(
            self._histories,
            key=lambda digest: (
                self._histories[digest].has_reached_threshold(),
                not self._histories[digest].answered,
                self._histories[digest].last_crash_at,
            ),
        )
        del self._histories[least_needed]


def _make_record(digest: str, history: _RequestHistory, now: float) -> Record:
    return Record(
        digest,
        sorted(history.trials),
        history.answered,
        round(1000 * (now - history.last_crash_at)),
        {
            incarnation: round(1000 * (now - ended_at))
            for incarnation, ended_at in history.ended.items()
        },
    )


def _merge_crash_times(
    one: Mapping[core.UpstreamIncarnation, float],
    other: Mapping[core.UpstreamIncarnation, float],
) -> dict[core.UpstreamIncarnation, float]:
    """Return the crashed upstreams with the time of each one's last crash."""
    merged = dict(one)
    for incarnation, ended_at in other.items():
        merged[incarnation] = max(ended_at, merged.get(incarnation, ended_at))
    return dict(sorted(merged.items())[:_MAX_ENDED_UPSTREAMS])
