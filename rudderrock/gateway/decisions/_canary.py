"""Which attempts of one call may be sent, by what became of the others.

As long as nothing speaks against a request all its attempts are sent at
once. Where upstreams have ended under it and none has answered, one attempt
is sent alone, a canary request (Dean and Barroso, "The Tail at Scale", 2013),
and all others once it has been answered. So a request that crashes its
upstreams costs one of them a trial, not one or two for each shard: of 20
shards of two upstreams 20 end under the first copy and one in the trial, not
40.

A canary goes to the service with the most live upstreams, and never to the
last one of a service once more than one upstream has ended: the first copy
leaves each of 20 shards one upstream of two, and if canaries take those of
two or three shards no query at all can be answered until they are back, for
some three seconds. Where no service has one to spare, the request fails at
once and may come back when there may be one.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from rudderrock import core
from rudderrock.gateway.knowledge import _quarantine as quarantine

# Over how long hosts spread their trials of what comes back when upstreams may
# be there again, in seconds: each waits for a part of it that chance has given
# it. A trial and the word of it take some 0.1 s, so two hosts that get a copy
# in the same moment seldom both try it, and four hardly ever do.
TRIAL_SPREAD_S = 2.0
# How long after the last upstream has ended under a request another copy waits
# for its canary, in seconds. Until then attempts of the copy that ended it may
# be under way at upstreams that live, among them one of the two that a service
# seems to have; they are over within a goal, some 0.1 to 0.5 s.
SETTLE_S = 0.5


class Advice(enum.Enum):
    """What an attempt shall do now."""

    SEND = 'send'
    WAIT = 'wait'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """An attempt that waits for what becomes of another.

    `resume` has it judged again, `send` sends it as a canary, `count_live`
    returns how many upstreams of its service live.
    """

    resume: Callable[[], None]
    send: Callable[[], None]
    count_live: Callable[[], int]


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
        self._ended: set[core.UpstreamLife] = set()
        self._began = 0.0
        self._was_suspect = False
        # What has ended in the present trial has been told before its end.
        self._is_noted = False
        # This call has sent an attempt, so what is under way is its own.
        self._has_sent = False
        # A canary of this call is under way.
        self._is_trying = False
        # No service had an upstream to spare for a trial.
        self._is_exhausted = False
        self._waiting: list[Waiter] = []

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
        if self.standing is quarantine.Standing.QUARANTINED:
            return Advice.STOP
        if not (self.is_suspect or self._has_lost()):
            return Advice.SEND
        if self._is_busy():
            return Advice.WAIT
        if self._is_part or self._is_exhausted:
            return Advice.STOP
        return Advice.WAIT

    def wait(self, waiter: Waiter) -> None:
        """Have an attempt sent, or judged otherwise, when its turn comes.

        That is at once if nothing is under way.
        """
        self._waiting.append(waiter)
        self._advance()

    def list_ended(self) -> list[core.UpstreamLife]:
        """Return the upstreams that have ended under the request."""
        if self._known.is_empty:
            return []
        return self._known.list_ended(self.digest)

    @property
    def is_stopped(self) -> bool:
        """Tell whether no attempt may be sent, whatever there is to ask."""
        is_kept = self.standing is quarantine.Standing.QUARANTINED
        return not self.is_answered and (self._is_exhausted or is_kept)

    def get_retry_after_s(self) -> float:
        """Return when an attempt may be sent again, in seconds.

        That is when the quarantine ends, or when a service may have an
        upstream to spare.
        """
        if self.standing is quarantine.Standing.QUARANTINED:
            return self._known.get_left_s(self.digest)
        return self._known.get_gone_s(self.digest) + TRIAL_SPREAD_S

    def note_sent(self) -> None:
        """Take note of an attempt that is sent."""
        if not self._is_busy():
            self._began = self._clock.now()
            self._was_suspect = self.is_suspect
        self._under_way += 1
        self._has_sent = True

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

    def note_checked(self, life: core.UpstreamLife, ended: bool) -> None:
        """Take note whether the upstream behind a lost one has ended."""
        self._checks -= 1
        if ended:
            self._ended.add(life)
        self._advance()

    def warn(self, ended: Iterable[core.UpstreamLife]) -> None:
        """Take note that another host suspects the request, and why.

        What it has lost is part of the trial that all first attempts are.
        """
        self._is_warned = True
        lives = tuple(ended)
        if lives and not self.is_answered:
            self._known.note_trial(self.digest, self._began, False, lives)

    def finish(self) -> None:
        """Take note that the call is over and waits for nothing more."""
        self._waiting.clear()
        self._under_way = 0
        self._advance()

    def _is_busy(self) -> bool:
        return self._under_way > 0 or self._checks > 0

    def _has_lost(self) -> bool:
        return self._checks > 0 or bool(self._ended)

    def _advance(self) -> None:
        """End the trial if nothing is open; then let what waits go on."""
        self._note_trial_if_over()
        self._end_canary_if_over()
        if not self._waiting:
            return
        if self.judge() is Advice.WAIT:
            self._send_one()
        else:
            self._resume_all()

    def _note_trial_if_over(self) -> None:
        """Hold against the request what has ended under it.

        Three upstreams that end while none answers are told at once, not when
        the last attempt is over: that may be 0.15 s later, or as late as a
        host that is frozen with a part, and a copy that comes to another host
        meanwhile ended an upstream of each shard again (14 more, once).
        """
        if not self._ended or self.is_answered:
            return
        is_enough = len(self._ended) >= quarantine.MOST_TRIALS
        if self._is_busy() and (self._is_noted or not is_enough):
            return
        self._is_noted = self._is_busy()
        ended, self._ended = self._ended, set()
        self._known.note_trial(
            self.digest, self._began, self._was_suspect, ended
        )

    def _end_canary_if_over(self) -> None:
        if self._is_trying and not self._is_busy():
            self._is_trying = False
            self._known.end_canary(self.digest)

    def _send_one(self) -> None:
        """Send the attempt whose service can best do without an upstream."""
        while self._waiting and not self._is_busy():
            best = max(self._waiting, key=lambda each: each.count_live())
            if not self._may_try(best.count_live()):
                self._is_exhausted = True
                self._resume_all()
                return
            self._waiting.remove(best)
            self._is_trying = True
            self._known.begin_canary(self.digest)
            best.send()
            # It may have found nobody to send to.
            self._end_canary_if_over()

    def _may_try(self, live: int) -> bool:
        """Tell whether a service with so many live upstreams may lose one."""
        if not self._known.has_spread(self.digest):
            return True
        if self._known.has_canary(self.digest):
            return False
        since_s = self._known.get_since_s(self.digest)
        return live > 1 and (self._has_sent or since_s >= SETTLE_S)

    def _resume_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.resume()
