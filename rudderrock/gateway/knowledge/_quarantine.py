"""Requests under which upstreams have ended, and which are kept from them.

A request that crashes each upstream that runs it, a query of death, comes
again under other ids and at other hosts. Hosts therefore remember it by its
digest, tell one another, and stop sending it after a few trials. See "Site
Reliability Engineering" (Beyer et al., 2016), chapter 22.

What is known of one request is a set of trials in which upstreams ended, and
whether any upstream has ever answered it. Two hosts' knowledge is merged by
taking the union of the sets, so order and repetition don't matter.
"""

from collections.abc import Callable
from collections.abc import Iterable
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

    `age_ms` is the time since an upstream last ended under it.
    """

    digest: str
    trials: list[str]
    answered: bool
    age_ms: int


class _Known:
    """What is known of one request; `lost_at` is a loop time."""

    __slots__ = ('trials', 'answered', 'lost_at', 'generation')

    def __init__(self) -> None:
        self.trials: frozenset[str] = frozenset()
        self.answered = False
        self.lost_at = -math.inf
        self.generation = 0

    def get_standing(self, now: float) -> Standing:
        if self.answered:
            return Standing.CLEAR
        if len(self.trials) < MOST_TRIALS:
            return Standing.SUSPECT
        if now - self.lost_at < self.get_quarantine_s():
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def get_quarantine_s(self) -> float:
        doubled = min(len(self.trials) - MOST_TRIALS, _MOST_DOUBLED)
        return QUARANTINE_S * 2**doubled

    def get_lifetime_s(self) -> float:
        if self.answered:
            return CLEARED_S
        if len(self.trials) < MOST_TRIALS:
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

    def note_trial(self, digest: str, began: float, was_suspect: bool) -> None:
        """Take note that all upstreams that had a request have ended.

        Of trials that overlap at this host one counts: they may have had the
        same cause.
        """
        now = self._clock.now()
        found = self._known.get(digest)
        if not was_suspect:
            name = _FIRST
        elif found is not None and began < found.lost_at:
            return
        else:
            self._trials += 1
            name = f'{self._process}/{self._trials}'
        self._take(digest, {name}, False, now, 'own')
        for call in self._own_listeners:
            call()

    def note_answered(self, digest: str) -> None:
        """Take note that an upstream has answered, and so survived it."""
        found = self._known.get(digest)
        if found is None or found.answered:
            return
        self._take(digest, (), True, found.lost_at, 'own')
        for call in self._own_listeners:
            call()

    def merge(self, records: Iterable[Record], origin: str) -> None:
        """Take over what another host knows."""
        now = self._clock.now()
        for each in records:
            lost_at = now - max(0, each.age_ms) / 1000
            trials = each.trials[:_MOST_NAMED]
            self._take(each.digest, trials, each.answered, lost_at, origin)

    def list_since(self, generation: int) -> list[Record]:
        """Return what has changed since a generation."""
        now = self._clock.now()
        return [
            Record(
                digest,
                sorted(each.trials),
                each.answered,
                round(1000 * (now - each.lost_at)),
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
    ) -> None:
        now = self._clock.now()
        self._forget(now)
        found = self._known.get(digest, _Known())
        merged = frozenset(sorted(found.trials.union(trials))[:_MOST_NAMED])
        cleared = found.answered or answered
        if merged == found.trials and cleared == found.answered:
            # The same losses heard of again, a little older or younger.
            return
        before = found.get_standing(now) if found.trials else Standing.CLEAR
        found.trials = merged
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
                len(self._known[digest].trials) >= MOST_TRIALS,
                not self._known[digest].answered,
                self._known[digest].lost_at,
            ),
        )
        del self._known[worst]
