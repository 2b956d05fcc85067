"""Requests under which upstreams have ended, and which are kept from them.

A request that crashes each upstream that runs it, a query of death, comes
again under other ids and at other hosts. Hosts therefore remember it by its
digest, tell one another, and stop sending it after a few trials. See "Site
Reliability Engineering" (Beyer et al., 2016), chapter 22.

What is known of one request is a set of trials in which upstreams ended, which
upstreams these were, and whether any upstream has ever answered it. Two hosts'
knowledge is merged by taking the union of the sets, so order and repetition
don't matter.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math

import msgspec

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log

# Trials in which every upstream that had a request has ended, one after
# another and without any answer, before it is sent to nobody. One is an
# everyday crash, in which innocent requests are lost beside the guilty one;
# two can be the crash of a shard's last replicas. The users count from the
# third upstream on.
MOST_TRIALS = 3
# One that has ended as many upstreams in its first trial, under any number of
# services, is sent to nobody after one more trial: the first is no everyday
# crash then, and the users count what comes later from the third upstream on.
# Two such copies that two hosts try at the same moment are still within that.
_MOST_SPREAD_TRIALS = 2
# For how long a request is suspected after the last upstream that ended under
# it, in seconds: while it is, it costs one upstream a trial and not one for
# each shard. A request that is suspected wrongly is late by the one answer
# that is waited for.
SUSPECT_S = 300.0
# For how long a quarantine lasts after the last upstream that ended, in
# seconds. After it one more trial is made, at the cost of one upstream, since
# upstreams are mended and indexes change. Each such trial that is lost doubles
# it, up to 16 times: 5 upstreams end in a day, not 24.
QUARANTINE_S = 3600.0
_MOST_DOUBLED = 4
# For how long it is remembered that a quarantine has lapsed, in seconds.
REMEMBER_S = 24 * 3600.0
# For how long an answer clears a request of what was held against it before,
# in seconds: hosts that have not heard of it yet may still say so.
CLEARED_S = 30.0
# Requests that are remembered. Each has cost an upstream at least, so a team
# that fills this has done worse; 256 take some 100 KB.
MOST_RECORDS = 256
# For how long an upstream that has ended is taken to be gone, in seconds. Its
# registration lapses after three missed heartbeats of 1.2 s, and is read a
# little later; from then on what is registered lives.
GONE_S = 4.0
# Upstreams that are named of one request: all replicas of 170 shards.
_MOST_ENDED = 512
# Trials that are named of one request; at one in 16 hours they last a month.
_MOST_NAMED = 64
# What the trials of all hosts that had not suspected a request are called:
# copies that are under way together are one trial, and so are all that a
# shard, a zone or a link takes down at once.
_FIRST = 'first'


class Standing(enum.Enum):
    """What is held against a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class Record(msgspec.Struct, frozen=True):
    """What a host tells another of one request.

    `age_ms` is the time since an upstream last ended under it, `ended` names
    the upstreams that have and the time since, in milliseconds.
    """

    digest: str
    trials: list[str]
    answered: bool
    age_ms: int
    ended: dict[core.UpstreamLife, int] = {}


class _Known:
    """What is known of one request; loop times of losses."""

    __slots__ = ('trials', 'ended', 'answered', 'lost_at', 'generation')

    def __init__(self) -> None:
        self.trials: frozenset[str] = frozenset()
        self.ended: dict[core.UpstreamLife, float] = {}
        self.answered = False
        self.lost_at = -math.inf
        self.generation = 0

    def get_standing(self, now: float) -> Standing:
        if self.answered:
            return Standing.CLEAR
        if not self.has_failed_all():
            return Standing.SUSPECT
        if now - self.lost_at < self.get_quarantine_s():
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def has_failed_all(self) -> bool:
        """Tell whether all trials that it may have are lost."""
        return len(self.trials) >= self.get_most_trials()

    def get_most_trials(self) -> int:
        if len(self.ended) >= MOST_TRIALS:
            return _MOST_SPREAD_TRIALS
        return MOST_TRIALS

    def get_quarantine_s(self) -> float:
        more = max(0, len(self.trials) - self.get_most_trials())
        return QUARANTINE_S * 2 ** min(more, _MOST_DOUBLED)

    def get_lifetime_s(self) -> float:
        if self.answered:
            return CLEARED_S
        if not self.has_failed_all():
            return SUSPECT_S
        return REMEMBER_S


class Quarantine:
    """What this host knows of requests that upstreams have ended under.

    Parameters: `process` names this incarnation of the process, so that its
    trials are told from those of others. `generation` grows with each change.
    """

    def __init__(self, process: str, clock: core.Clock, events: log.EventLog):
        self.generation = 0
        self._process = process
        self._clock = clock
        self._events = events
        self._known: dict[str, _Known] = {}
        self._trials = 0
        self._canaries: collections.Counter[str] = collections.Counter()
        self._listeners: list[Callable[[], None]] = []
        self._own_listeners: list[Callable[[], None]] = []

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is held against any request."""
        return not self._known

    def add_listener(self, call: Callable[[], None]) -> None:
        """Have `call` called after each change."""
        self._listeners.append(call)

    def add_own_listener(self, call: Callable[[], None]) -> None:
        """Have `call` called after each change that this host has seen."""
        self._own_listeners.append(call)

    def count_quarantined(self) -> int:
        """Return how many requests are sent to nobody."""
        now = self._clock.now()
        return sum(
            each.get_standing(now) is Standing.QUARANTINED
            for each in self._known.values()
        )

    def get_standing(self, digest: str) -> Standing:
        """Return what is held against a request."""
        found = self._known.get(digest)
        now = self._clock.now()
        if found is None or now - found.lost_at >= found.get_lifetime_s():
            return Standing.CLEAR
        return found.get_standing(now)

    def get_left_s(self, digest: str) -> float:
        """Return for how long a request stays in quarantine, in seconds."""
        found = self._known.get(digest)
        if found is None:
            return 0.0
        end = found.lost_at + found.get_quarantine_s()
        return max(0.0, end - self._clock.now())

    def has_spread(self, digest: str) -> bool:
        """Tell whether a request has outlived more than one upstream.

        One is an everyday crash with innocent requests under it, which may be
        sent to whoever is left.
        """
        found = self._known.get(digest)
        return (
            found is not None and max(len(found.ended), len(found.trials)) > 1
        )

    def list_ended(self, digest: str) -> list[core.UpstreamLife]:
        """Return the upstreams that have ended under a request."""
        found = self._known.get(digest)
        return sorted(found.ended) if found is not None else []

    def has_ended(self, life: core.UpstreamLife, lag_s: float = 0.0) -> bool:
        """Tell whether an upstream has just ended under any request.

        It is taken to be gone for `lag_s` seconds longer.
        """
        oldest = self._clock.now() - GONE_S - lag_s
        return any(
            each.ended.get(life, -math.inf) > oldest
            for each in self._known.values()
        )

    def get_since_s(self, digest: str) -> float:
        """Return the time since an upstream last ended under a request."""
        found = self._known.get(digest)
        if found is None:
            return math.inf
        return self._clock.now() - found.lost_at

    def get_gone_s(self, digest: str) -> float:
        """Return how long upstreams that ended under it stay gone, seconds."""
        return max(0.0, GONE_S - self.get_since_s(digest))

    def has_canary(self, digest: str) -> bool:
        """Tell whether this host has a canary of a request under way."""
        return self._canaries[digest] > 0

    def begin_canary(self, digest: str) -> None:
        """Take note of a canary that is sent.

        Copies that come to one host together would otherwise each be tried,
        and count each: two within 10 ms were.
        """
        self._canaries[digest] += 1

    def end_canary(self, digest: str) -> None:
        """Take note that it is known what became of a canary."""
        self._canaries[digest] -= 1
        if not self._canaries[digest]:
            del self._canaries[digest]

    def note_trial(
        self,
        digest: str,
        began: float,
        was_suspect: bool,
        ended: Iterable[core.UpstreamLife] = (),
    ) -> None:
        """Take note that all upstreams that had a request have ended.

        Of trials that overlap at this host one counts: they may have had the
        same cause.
        """
        now = self._clock.now()
        found = self._known.get(digest)
        names = {_FIRST}
        lives = dict.fromkeys(ended, now)
        if was_suspect and found is not None and began < found.lost_at:
            names = set()
        elif was_suspect:
            self._trials += 1
            names = {f'{self._process}/{self._trials}'}
        self._take(digest, names, False, now, 'own', lives)
        for call in self._own_listeners:
            call()

    def note_answered(self, digest: str) -> None:
        """Take note that an upstream has answered, and so survived it."""
        found = self._known.get(digest)
        if found is None or found.answered:
            return
        self._take(digest, (), True, found.lost_at, 'own', {})
        for call in self._own_listeners:
            call()

    def merge(self, records: Iterable[Record], origin: str) -> None:
        """Take over what another host knows."""
        now = self._clock.now()
        for each in records:
            lost_at = now - max(0, each.age_ms) / 1000
            trials = each.trials[:_MOST_NAMED]
            ended = {
                life: now - max(0, age_ms) / 1000
                for life, age_ms in each.ended.items()
            }
            self._take(
                each.digest, trials, each.answered, lost_at, origin, ended
            )

    def list_since(self, generation: int) -> list[Record]:
        """Return what has changed since a generation."""
        now = self._clock.now()
        return [
            Record(
                digest,
                sorted(each.trials),
                each.answered,
                round(1000 * (now - each.lost_at)),
                {
                    life: round(1000 * (now - ended_at))
                    for life, ended_at in each.ended.items()
                },
            )
            for digest, each in self._known.items()
            if each.generation > generation
        ]

    def _take(
        self,
        digest: str,
        trials: Iterable[str],
        answered: bool,
        lost_at: float,
        origin: str,
        ended: Mapping[core.UpstreamLife, float],
    ) -> None:
        now = self._clock.now()
        self._forget(now)
        found = self._known.get(digest, _Known())
        merged = frozenset(sorted(found.trials.union(trials))[:_MOST_NAMED])
        gone = _merge_ended(found.ended, ended)
        cleared = found.answered or answered
        same = merged == found.trials and gone.keys() == found.ended.keys()
        if same and cleared == found.answered:
            # The same losses heard of again, a little older or younger.
            return
        before = found.get_standing(now) if found.trials else Standing.CLEAR
        found.trials = merged
        found.ended = gone
        found.answered = cleared
        found.lost_at = max(found.lost_at, lost_at)
        if now - found.lost_at >= found.get_lifetime_s():
            return
        self.generation += 1
        found.generation = self.generation
        self._known[digest] = found
        self._note_change(digest, found, before, now, origin)
        self._evict(now)
        for call in self._listeners:
            call()

    def _note_change(
        self,
        digest: str,
        found: _Known,
        before: Standing,
        now: float,
        origin: str,
    ) -> None:
        self._events.record(
            events.LogKind.QUARANTINE_CHANGED,
            digest=digest,
            before=before.value,
            standing=found.get_standing(now).value,
            trials=len(found.trials),
            origin=origin,
        )

    def _forget(self, now: float) -> None:
        """Drop what is too old to be of use."""
        for digest, each in list(self._known.items()):
            if now - each.lost_at >= each.get_lifetime_s():
                del self._known[digest]

    def _evict(self, now: float) -> None:
        """Drop what is least needed if there is too much."""
        if len(self._known) <= MOST_RECORDS:
            return
        worst = min(
            self._known,
            key=lambda digest: (
                self._known[digest].has_failed_all(),
                not self._known[digest].answered,
                self._known[digest].lost_at,
            ),
        )
        del self._known[worst]


def _merge_ended(
    one: Mapping[core.UpstreamLife, float],
    other: Mapping[core.UpstreamLife, float],
) -> dict[core.UpstreamLife, float]:
    """Return which upstreams have ended, and when each one last did."""
    merged = dict(one)
    for life, ended_at in other.items():
        merged[life] = max(ended_at, merged.get(life, ended_at))
    return dict(sorted(merged.items())[:_MOST_ENDED])
