"""Which attempts of one call may be sent, by what became of the others.

As long as nothing speaks against a request all its attempts are sent at
once. Where upstreams have ended under it and none has answered, one attempt
is sent alone, a canary request (Dean and Barroso, "The Tail at Scale", 2013),
and all others once it has been answered. So a request that crashes its
upstreams costs one of them a trial, not one or two for each shard: of 20
shards of two upstreams 22 end, not 40.
"""

import collections
from collections.abc import Callable
import enum

from rudderrock import core
from rudderrock.gateway.knowledge import _quarantine as quarantine


class Advice(enum.Enum):
    """What an attempt shall do now."""

    SEND = 'send'
    WAIT = 'wait'
    STOP = 'stop'


class Canary:
    """The attempts of one call, and whether more may be sent.

    Parameters: `get_digest` returns the digest of the request; it is called
    only if something may be held against it. With `is_part` another host has
    the whole call, and makes all trials itself: if each host that asks some
    shards made its own, the last upstreams of 4 of 20 shards crashed and not
    of 2, and no query was answered while they were down.
    """

    def __init__(
        self,
        known: quarantine.Quarantine,
        clock: core.Clock,
        get_digest: Callable[[], str],
        is_part: bool = False,
    ):
        self.is_answered = False
        # Another host has not asked its shards, or not all, on suspicion.
        self._is_warned = False
        self._is_part = is_part
        self._known = known
        self._clock = clock
        self._get_digest = get_digest
        self._digest: str | None = None
        self._under_way = 0
        # Connections whose upstreams are being looked after.
        self._checks = 0
        # Upstreams that have ended in the present trial.
        self._ended = 0
        self._began = 0.0
        self._was_suspect = False
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    @property
    def digest(self) -> str:
        """Return the digest of the request."""
        if self._digest is None:
            self._digest = self._get_digest()
        return self._digest

    @property
    def standing(self) -> quarantine.Standing:
        """Return what is held against the request."""
        if self._known.is_empty:
            return quarantine.Standing.CLEAR
        return self._known.get_standing(self.digest)

    @property
    def is_suspect(self) -> bool:
        """Tell whether attempts are sent one at a time."""
        standing = self.standing
        return standing is quarantine.Standing.SUSPECT or (
            standing is quarantine.Standing.CLEAR and self._is_warned
        )

    @property
    def is_held(self) -> bool:
        """Tell whether attempts are held back for want of an answer."""
        return not self.is_answered and (
            self._is_warned or self.standing is not quarantine.Standing.CLEAR
        )

    def judge(self) -> Advice:
        """Say whether an attempt may be sent now."""
        if self.is_answered:
            return Advice.SEND
        standing = self.standing
        if standing is quarantine.Standing.QUARANTINED:
            return Advice.STOP
        if not (self.is_suspect or self._has_lost()):
            return Advice.SEND
        if self._is_busy():
            return Advice.WAIT
        return Advice.STOP if self._is_part else Advice.SEND

    def wait(self, resume: Callable[[], None]) -> None:
        """Have `resume` called when it may be judged otherwise."""
        self._waiting.append(resume)

    def note_sent(self) -> None:
        """Take note of an attempt that is sent."""
        if not self._is_busy():
            self._began = self._clock.now()
            self._was_suspect = self.is_suspect
        self._under_way += 1

    def note_over(self) -> None:
        """Take note of an attempt that has ended and says nothing."""
        self._under_way -= 1
        self._advance()

    def note_answered(self) -> None:
        """Take note that an upstream has answered an attempt."""
        self._under_way -= 1
        self.note_survived()

    def note_survived(self) -> None:
        """Take note that an upstream has answered, whoever asked it."""
        if not self.is_answered:
            self.is_answered = True
            if not self._known.is_empty:
                self._known.note_answered(self.digest)
        self._advance()

    def note_lost(self) -> None:
        """Take note of a connection that has ended; it is looked after."""
        self._under_way -= 1
        self._checks += 1

    def note_checked(self, ended: bool) -> None:
        """Take note whether the upstream behind a lost one has ended."""
        self._checks -= 1
        self._ended += ended
        self._advance()

    def warn(self) -> None:
        """Take note that another host suspects the request."""
        self._is_warned = True

    def finish(self) -> None:
        """Take note that the call is over and waits for nothing more."""
        self._waiting.clear()
        self._under_way = 0
        self._advance()

    def _is_busy(self) -> bool:
        return self._under_way > 0 or self._checks > 0

    def _has_lost(self) -> bool:
        return self._checks > 0 or self._ended > 0

    def _advance(self) -> None:
        """End the trial if nothing is open, and let others be judged."""
        if self._ended and not self.is_answered and not self._is_busy():
            self._ended = 0
            self._known.note_trial(self.digest, self._began, self._was_suspect)
        if not self._waiting or (self._is_busy() and not self.is_answered):
            return
        waiting, self._waiting = self._waiting, collections.deque()
        for resume in waiting:
            resume()
