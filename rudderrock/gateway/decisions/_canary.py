"""Limit how many upstreams a single crashing request can take down.

A request may crash every upstream that runs it. The attempts of a call are
sent together as long as no upstream has crashed under its request. Once
upstreams have crashed and none has answered, a single attempt is sent, a
canary request (Dean and Barroso, "The Tail at Scale", 2013), and the others
follow when it has been answered. Attempts that are in flight together form a
round. With 20 shards of two upstreams each, a crashing request therefore
crashes the 20 upstreams of the first round, and not all 40.

A canary is sent to the service with the most live upstreams. Once more than
one upstream has crashed, it is never sent to the last live upstream of a
service. In the example the first round leaves one upstream in each of the 20
shards. Canaries would otherwise crash the last upstream of two or three
shards, and no query could be answered until these upstreams had restarted,
about three seconds later. If no service has more than one live upstream, the
request fails at once with a time after which the caller may retry.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from rudderrock import core
from rudderrock.gateway.discovery import _quarantine as quarantine

# Each host treats crashed upstreams as down for a further random fraction of
# this time, in seconds. A canary and the message about its outcome take about
# 0.1 s. Two hosts that receive copies of a request at the same time therefore
# rarely both send a canary, and four almost never do.
CANARY_SPREAD_S = 2.0
# Time in seconds after a crash before another copy of the request sends its
# canary. Until then attempts of an earlier copy may still be in flight; they
# may crash one of two upstreams that this host still counts as live. They
# finish within the latency goal, about 0.1 to 0.5 s.
CANARY_DELAY_S = 0.5


class SendDecision(enum.Enum):
    """Whether an attempt is sent, held back or abandoned."""

    SEND = 'send'
    WAIT = 'wait'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingAttempt:
    """An attempt that is held back until the attempts in flight end.

    `resume` decides on the attempt again, `send` sends it as a canary, and
    `count_live` returns the number of live upstreams of its service.
    """

    resume: Callable[[], None]
    send: Callable[[], None]
    count_live: Callable[[], int]


class Canary:
    """Decide which attempts of one call may be sent.

    Parameters: `get_digest` returns the digest of the request and is called
    only if some request is suspect or in quarantine. `is_part` is set if
    another host coordinates the call; only that host sends canaries. If each
    host that queries some of the shards sent its own, more shards would lose
    their last upstream (4 of 20 instead of 2), and no query could be
    answered while these are down.
    """

    def __init__(
        self,
        known: quarantine.Quarantine,
        clock: core.Clock,
        get_digest: Callable[[], str],
        is_part: bool = False,
    ):
        self.is_answered = False
        # Another host suspects the request and left shards out.
        self._is_suspect_elsewhere = False
        self._is_part = is_part
        self._quarantine = known
        self._clock = clock
        self._get_digest = get_digest
        self._digest: str | None = None
        self._in_flight = 0
        # Lost connections whose upstreams are being checked.
        self._pending_checks = 0
        # Upstreams that crashed in the current round and that are not recorded
        # in the quarantine yet.
        self._crashed: set[core.UpstreamIncarnation] = set()
        self._round_started_at = 0.0
        self._was_suspect = False
        # Crashes of the current round were recorded before its end.
        self._is_reported = False
        # This call has sent an attempt, so attempts in flight may be its own.
        self._has_sent = False
        # A canary of this call is in flight.
        self._is_canary_in_flight = False
        # No waiting attempt could be sent as a canary.
        self._is_canary_refused = False
        self._waiting: list[WaitingAttempt] = []

    @property
    def digest(self) -> str:
        """Return the digest of the request."""
        if self._digest is None:
            self._digest = self._get_digest()
        return self._digest

    @property
    def state(self) -> quarantine.QuarantineState:
        """Return the quarantine state of the request."""
        if self._quarantine.is_empty:
            return quarantine.QuarantineState.CLEAR
        return self._quarantine.get_state(self.digest)

    @property
    def is_suspect(self) -> bool:
        """Return whether this or another host suspects the request.

        False if the request is in quarantine.
        """
        state = self.state
        return state is quarantine.QuarantineState.SUSPECT or (
            state is quarantine.QuarantineState.CLEAR
            and self._is_suspect_elsewhere
        )

    @property
    def is_held(self) -> bool:
        """Return whether attempts are restricted and none is answered yet.

        They are if this or another host suspects the request, and in
        quarantine.
        """
        return not self.is_answered and (
            self._is_suspect_elsewhere
            or self.state is not quarantine.QuarantineState.CLEAR
        )

    def decide(self) -> SendDecision:
        """Return whether an attempt is sent, held back or abandoned now."""
        if self.is_answered:
            return SendDecision.SEND
        if self.state is quarantine.QuarantineState.QUARANTINED:
            return SendDecision.STOP
        if not (self.is_suspect or self._may_have_crashes()):
            return SendDecision.SEND
        if self._is_round_open():
            return SendDecision.WAIT
        if self._is_part or self._is_canary_refused:
            return SendDecision.STOP
        return SendDecision.WAIT

    def wait(self, attempt: WaitingAttempt) -> None:
        """Hold an attempt back until it may be sent or is abandoned.

        If no attempt is in flight, `decide` is applied at once.
        """
        self._waiting.append(attempt)
        self._advance()

    def list_crashed(self) -> list[core.UpstreamIncarnation]:
        """Return the upstreams that crashed while running the request."""
        if self._quarantine.is_empty:
            return []
        return self._quarantine.list_crashed(self.digest)

    @property
    def is_stopped(self) -> bool:
        """Return whether a quarantine or a refused canary ends the call.

        It is false for a part that `decide` stops because only the
        coordinating host may send a canary.
        """
        is_quarantined = self.state is quarantine.QuarantineState.QUARANTINED
        return not self.is_answered and (
            self._is_canary_refused or is_quarantined
        )

    def get_retry_after_s(self) -> float:
        """Return the time until an attempt may be sent again, in seconds.

        This is when the quarantine ends or, without one, when crashed
        upstreams may have restarted.
        """
        if self.state is quarantine.QuarantineState.QUARANTINED:
            return self._quarantine.get_quarantine_left_s(self.digest)
        return (
            self._quarantine.get_exclusion_left_s(self.digest)
            + CANARY_SPREAD_S
        )

    def record_sent(self) -> None:
        """Record that an attempt is sent."""
        if not self._is_round_open():
            self._round_started_at = self._clock.now()
            self._was_suspect = self.is_suspect
        self._in_flight += 1
        self._has_sent = True

    def record_inconclusive(self) -> None:
        """Record that an attempt ended with neither crash nor answer."""
        self._in_flight -= 1
        self._advance()

    def record_answer(self) -> None:
        """Record that an upstream has answered an attempt."""
        self._in_flight -= 1
        self.record_survival()

    def record_survival(self) -> None:
        """Record that some upstream has answered, here or to another host.

        The request is therefore harmless. Unlike `record_answer`, this ends
        no attempt in flight.
        """
        if not self.is_answered:
            self.is_answered = True
            if not self._quarantine.is_empty:
                self._quarantine.record_answer(self.digest)
        self._advance()

    def record_lost(self) -> None:
        """Record a lost connection whose upstream is being checked."""
        self._in_flight -= 1
        self._pending_checks += 1

    def record_checked(
        self, incarnation: core.UpstreamIncarnation, crashed: bool
    ) -> None:
        """Record whether the upstream of a lost connection has crashed."""
        self._pending_checks -= 1
        if crashed:
            self._crashed.add(incarnation)
        self._advance()

    def mark_suspected(
        self, crashed: Iterable[core.UpstreamIncarnation]
    ) -> None:
        """Record that another host suspects the request.

        Upstreams that crashed there are recorded as crashed in the initial
        failed round, whose id all hosts share.
        """
        self._is_suspect_elsewhere = True
        incarnations = tuple(crashed)
        if incarnations and not self.is_answered:
            self._quarantine.record_crash(
                self.digest, self._round_started_at, False, incarnations
            )

    def finish(self) -> None:
        """End the call and discard all attempts that are held back."""
        self._waiting.clear()
        self._in_flight = 0
        self._advance()

    def _is_round_open(self) -> bool:
        return self._in_flight > 0 or self._pending_checks > 0

    def _may_have_crashes(self) -> bool:
        return self._pending_checks > 0 or bool(self._crashed)

    def _advance(self) -> None:
        """End the round if it is over, then proceed with waiting attempts."""
        self._report_crashes()
        self._end_finished_canary()
        if not self._waiting:
            return
        if self.decide() is SendDecision.WAIT:
            self._send_canary()
        else:
            self._resume_all()

    def _report_crashes(self) -> None:
        """Record the upstreams that crashed under the request.

        They are recorded when the round is over, or as soon as
        `QUARANTINE_THRESHOLD` have crashed and none has answered. Waiting for
        the end of the round would take 0.15 s more, or much longer if a host
        that runs part of the query is frozen. Meanwhile a copy at another host
        could crash one more upstream of each shard (14 in one run).
        """
        if not self._crashed or self.is_answered:
            return
        has_reached_limit = (
            len(self._crashed) >= quarantine.QUARANTINE_THRESHOLD
        )
        if self._is_round_open() and (
            self._is_reported or not has_reached_limit
        ):
            return
        self._is_reported = self._is_round_open()
        crashed, self._crashed = self._crashed, set()
        self._quarantine.record_crash(
            self.digest, self._round_started_at, self._was_suspect, crashed
        )

    def _end_finished_canary(self) -> None:
        if self._is_canary_in_flight and not self._is_round_open():
            self._is_canary_in_flight = False
            self._quarantine.end_canary(self.digest)

    def _send_canary(self) -> None:
        """Send one waiting attempt as a canary, or resume all if none may be.

        The attempt is the one whose service has the most live upstreams.
        """
        while self._waiting and not self._is_round_open():
            best = max(self._waiting, key=lambda each: each.count_live())
            if not self._may_send_canary(best.count_live()):
                self._is_canary_refused = True
                self._resume_all()
                return
            self._waiting.remove(best)
            self._is_canary_in_flight = True
            self._quarantine.begin_canary(self.digest)
            best.send()
            # `send` may have found no upstream.
            self._end_finished_canary()

    def _may_send_canary(self, live: int) -> bool:
        """Return whether a canary may be sent now.

        `live` is the number of live upstreams of the service that would get
        it.
        """
        if not self._quarantine.has_multiple_crashes(self.digest):
            return True
        if self._quarantine.has_canary(self.digest):
            return False
        since_s = self._quarantine.get_crash_age_s(self.digest)
        return live > 1 and (self._has_sent or since_s >= CANARY_DELAY_S)

    def _resume_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.resume()
