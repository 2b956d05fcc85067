"""Getting one good answer from one service, with retries and a hedge."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import functools

from rudderrock import core
from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _link as link
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _verdicts as verdicts
from rudderrock.gateway.knowledge import _routing as routing

# A request is not sent with less time left than this, in seconds: the
# upstream could not answer in it.
LEAST_LEFT_S = 0.003
# How long an attempt that lost against a hedge may go on, in seconds.
# Closing its connection would cost the upstream a new handshake.
LOSER_PATIENCE_S = 0.3
# Attempts that never reached an upstream are not counted by the route's
# bound; this many are made at most.
MOST_UNSENT = 4
NO_UPSTREAM = 'no upstream is registered'
QUARANTINED = 'upstreams have ended under this request'
# Pause before the same upstream is tried again, in seconds.
SAME_AGAIN_S = 0.04


@dataclasses.dataclass(slots=True)
class Attempt:
    """One exchange with one replica, asked for at the loop time `began`."""

    replica: replicas.Replica
    exchange: link.Exchange
    began: float

    def describe(self, now: float) -> str:
        """Say who is asked, and for how long."""
        sent = '' if self.exchange.sent_at is not None else ', not sent'
        waited_ms = 1000 * (now - self.began)
        return f'{self.replica.endpoint.upstream} {waited_ms:.0f} ms{sent}'


class PartFate(enum.Enum):
    """Why a part that another host asks for has not brought an answer."""

    LACKING = 'lacking'
    # The other host has not asked all replicas, on suspicion of the request.
    HELD = 'held'
    LOST = 'lost'


class Pursuit:
    """One service's part of a call.

    After `start`, `on_settled` is called once: then either `answer` is
    set, or the answer is among a part that another host has brought and
    `in_part` is set, or the pursuit has failed and `failure`,
    `may_have_run` and `detail` say how.
    """

    def __init__(
        self,
        tools: calls.Tools,
        call: calls.Call,
        service: routing.ServiceName,
        on_settled: Callable[['Pursuit'], None],
    ):
        self.service = service
        self.answer: messages.Reply | None = None
        self.failure: messages.Reply | None = None
        self.may_have_run = call.is_again
        self.was_cut = False
        # Upstreams that had the call when it was given up.
        self.unanswered: tuple[core.UpstreamId, ...] = ()
        self.detail = ''
        self.sent = 0
        # Extra attempts made, and those that the budget did not allow.
        self.extras = 0
        self.denied = 0
        # Attempts that ended with the connection after they had been sent.
        self.lost = 0
        self.is_late = False
        self.in_part = False
        self.was_elsewhere = False
        self.settled = False
        self.winner: replicas.Replica | None = None
        self._tools = tools
        self._call = call
        self._on_settled = on_settled
        self._attempts: list[Attempt] = []
        self._elsewhere: replicas.Replica | None = None
        self._tried: tuple[core.UpstreamId, ...] = ()
        self._unsent = 0
        self._timer: asyncio.TimerHandle | None = None
        self._budget = tools.get_budget(service)
        self._repeatable = call.route.repeat is routing.Repeat.IDEMPOTENT

    @property
    def is_waiting(self) -> bool:
        """Tell whether an upstream may be at work on it."""
        return self.is_elsewhere or any(
            attempt.exchange.sent_at is not None for attempt in self._attempts
        )

    @property
    def has_answer(self) -> bool:
        """Tell whether there is an answer, of its own or in a part."""
        return self.answer is not None or self.in_part

    @property
    def is_elsewhere(self) -> bool:
        """Tell whether another host is asking and has not replied yet."""
        return self._elsewhere is not None

    def explain(self) -> str:
        """Say why there is no answer, and whose is still missing."""
        if not self.unanswered:
            return self.detail or 'no answer in time'
        late = f'no answer in time from {", ".join(self.unanswered)}'
        return f'{self.detail}; {late}' if self.detail else late

    def describe_wait(self) -> str:
        """Say which service is missing, and who has been asked."""
        now = self._tools.loop.time()
        if self._elsewhere is not None:
            return f'{self.service} in a part'
        asked = [each.describe(now) for each in self._attempts]
        return f'{self.service}: {", ".join(asked) or self.detail}'

    def start(self) -> None:
        """Send the first attempt, as soon as it may be sent."""
        self._proceed(self._send_first)

    def _proceed(self, step: Callable[[], None]) -> None:
        """Do what sends an attempt, unless too many upstreams have ended.

        Every first attempt and every retry goes through here. Where they
        went out by themselves, the copies of one request crashed 146 upstreams
        in a minute (a query over 20 shards, seven hosts, from their records).
        """
        if self.settled:
            return
        match self._call.canary.judge():
            case canary.Advice.SEND:
                step()
            case canary.Advice.WAIT:
                self._call.canary.wait(
                    canary.Waiter(
                        resume=functools.partial(self._proceed, step),
                        send=functools.partial(self._send_canary, step),
                        count_live=self.count_live,
                    )
                )
            case canary.Advice.STOP:
                self._fail(QUARANTINED)

    def _send_canary(self, step: Callable[[], None]) -> None:
        if not self.settled:
            step()

    def count_live(self) -> int:
        """Return how many upstreams of the service live, as far as known."""
        return self._tools.book.count_live(
            self.service, self._call.route.residency
        )

    def _send_first(self) -> None:
        replica = self._choose()
        if replica is None:
            self._fail(NO_UPSTREAM)
        elif not self._call.is_again:
            self._budget.note_request()
            self._tools.counters.firsts += 1
            self._send(replica)
        elif self._has_attempts_for_all() and self._may_send_again():
            self._tools.counters.retries += 1
            self._send(replica)
        else:
            self._fail('may not be asked again')

    def start_elsewhere(self, replica: replicas.Replica) -> None:
        """Take note that a host of a replica's zone asks for it.

        That host counts it as a request of its own, and hedges.
        """
        self.was_elsewhere = True
        self.sent = 1
        self._tried = (replica.endpoint.upstream,)
        self._elsewhere = replica

    def start_here(self) -> None:
        """Send the first attempt after all; nobody else has begun."""
        self._elsewhere = None
        self.was_elsewhere = False
        self.sent = 0
        self._tried = ()
        self.start()

    def take_from_part(self) -> None:
        """Settle: the part that another host has brought has the answer."""
        self.in_part = True
        self._call.canary.note_survived()
        self.winner, self._elsewhere = self._elsewhere, None
        self.winner.note_good()
        self._settle()

    def miss_elsewhere(self, detail: str, fate: PartFate) -> None:
        """Take note that the part lacks the answer, or is lost.

        A host that has asked and got none has tried what there is, unless it
        holds back on suspicion of the request. If the part is lost, so is the
        count of its attempts, also where no sign of it was seen: that may be
        late on a thin link. They were no more than there are replicas.
        """
        replica, self._elsewhere = self._elsewhere, None
        self.may_have_run = True
        self.detail = detail
        if fate is PartFate.LACKING:
            replica.note_bad()
            self._fail(detail)
            return
        if self._has_attempts_for_all():
            self._tried = ()
            again = functools.partial(self._try_again, verdicts.Verdict.LOST)
            self._proceed(again)
        else:
            self._fail(detail)

    def _has_attempts_for_all(self) -> bool:
        """Tell whether each replica of the service may be sent the call."""
        ready = self._tools.book.list_ready(
            self.service, self._call.route.residency
        )
        return len(ready) <= self._call.route.max_attempts

    def skip(self, detail: str) -> None:
        """Settle without having sent anything."""
        self.detail = detail
        self.settled = True

    def hedge(self) -> None:
        """Ask a second replica, since the first answer is late."""
        if self.settled or not self._attempts or not self._repeatable:
            return
        if self._call.canary.judge() is not canary.Advice.SEND:
            return
        now = self._tools.loop.time()
        slow = self._attempts[0]
        slow.replica.note_bad()
        other = self._choose()
        if other is None or other.is_suspect(now, self._call.late_s):
            return
        if slow.replica.links.withdraw(slow.exchange):
            self._attempts.remove(slow)
            self.sent -= 1
            self._send(other)
            self._call.canary.note_over()
        elif self._may_send_again():
            self._tools.counters.hedges += 1
            self._send(other)

    def give_up(self) -> None:
        """End what is under way, and tell its upstreams by closing."""
        self.settled = True
        self._cancel_timer()
        self.was_cut = self.is_waiting
        self.unanswered = tuple(
            attempt.replica.endpoint.upstream
            for attempt in self._attempts
            if attempt.exchange.sent_at is not None
        )
        for attempt in self._attempts:
            attempt.replica.links.drop(attempt.exchange)
        self._attempts.clear()

    def _choose(self) -> replicas.Replica | None:
        return self._tools.book.choose(
            self.service,
            self._call.route.residency,
            self._call.late_s,
            self._tried,
        )

    def _may_send_again(self) -> bool:
        if self.sent >= self._call.route.max_attempts:
            return False
        if self._budget.try_spend():
            self.extras += 1
            return True
        self.denied += 1
        self._tools.counters.denied += 1
        return False

    def _send(self, replica: replicas.Replica) -> None:
        call = self._call
        tools = self._tools
        upstream = replica.endpoint.upstream
        if upstream not in self._tried:
            self._tried = (*self._tried, upstream)
        exchange = link.Exchange(
            call.request_id,
            lambda: call.render(upstream, tools.names, tools.loop.time()),
            lambda done, outcome: self._on_outcome(attempt, outcome),
            headless=call.request.method == b'HEAD',
            fresh=not self._repeatable,
        )
        attempt = Attempt(replica, exchange, tools.loop.time())
        self._attempts.append(attempt)
        self.sent += 1
        call.canary.note_sent()
        tools.book.note_sent(replica.endpoint)
        replica.links.submit(exchange)

    def _on_outcome(self, attempt: Attempt, outcome: link.Outcome) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)
        verdict = verdicts.judge_outcome(outcome, self._tools.names)
        self._tell_canary(attempt, verdict, outcome)
        match verdict:
            case verdicts.Verdict.ANSWER:
                attempt.replica.note_good()
                self.answer = outcome
                self.winner = attempt.replica
                self._settle()
                return
            case verdicts.Verdict.FAILURE:
                self.may_have_run = True
                self.failure = outcome
                if outcome.status < 500:
                    self._settle()
                    return
                attempt.replica.note_bad()
            case verdicts.Verdict.REJECTED:
                attempt.replica.note_bad(replicas.SHED_AVOID_S)
            case verdicts.Verdict.MISDIRECTED:
                attempt.replica.note_gone()
            case verdicts.Verdict.SPOILT | verdicts.Verdict.LOST:
                self.may_have_run = True
                self.lost += verdict is verdicts.Verdict.LOST
                attempt.replica.note_bad()
            case verdicts.Verdict.UNSENT:
                attempt.replica.note_bad(replicas.UNREACHABLE_AVOID_S)
                self.sent -= 1
                self._unsent += 1
        self.detail = verdicts.describe_outcome(verdict, outcome)
        if not self._attempts:
            if self.may_have_run and not self._repeatable:
                self._fail(self.detail)
            else:
                self._proceed(functools.partial(self._try_again, verdict))

    def _tell_canary(
        self,
        attempt: Attempt,
        verdict: verdicts.Verdict,
        outcome: link.Outcome,
    ) -> None:
        """Say what the attempt tells of what the request does to upstreams."""
        probe = self._call.canary
        match verdict:
            case verdicts.Verdict.LOST if not probe.is_answered:
                probe.note_lost()
                endpoint = attempt.replica.endpoint
                self._tools.checker.check(
                    endpoint.address,
                    functools.partial(probe.note_checked, endpoint.life),
                )
            case verdicts.Verdict.ANSWER:
                probe.note_answered()
            case verdicts.Verdict.FAILURE if _is_signed(
                outcome, self._tools.names
            ):
                probe.note_answered()
            case _:
                probe.note_over()

    def _try_again(self, verdict: verdicts.Verdict) -> None:
        now = self._tools.loop.time()
        if self._call.end - now < LEAST_LEFT_S:
            self._fail(f'{self.detail}, and no time is left')
            return
        if verdict is verdicts.Verdict.UNSENT and self._unsent >= MOST_UNSENT:
            self._fail(self.detail)
            return
        other = self._choose()
        if other is not None:
            self._resend(other)
        elif verdict in verdicts.NOT_RUN:
            self._timer = self._tools.loop.call_later(
                SAME_AGAIN_S, self._try_anybody
            )
        else:
            self._fail(self.detail)

    def _try_anybody(self) -> None:
        """Try replicas again that never got or never ran the request."""
        self._timer = None
        self._proceed(self._send_anybody)

    def _send_anybody(self) -> None:
        self._tried = ()
        replica = self._choose()
        if replica is None:
            self._fail(self.detail)
        else:
            self._resend(replica)

    def _resend(self, replica: replicas.Replica) -> None:
        if self.sent == 0:
            # Nothing has arrived anywhere so far, so this is the first.
            self._send(replica)
        elif self._may_send_again():
            self._tools.counters.retries += 1
            self._send(replica)
        else:
            self._fail(self.detail)

    def _fail(self, detail: str) -> None:
        self.detail = detail
        self._settle()

    def _settle(self) -> None:
        self.settled = True
        self._cancel_timer()
        for attempt in self._attempts:
            links = attempt.replica.links
            links.leave(attempt.exchange, LOSER_PATIENCE_S)
        left = len(self._attempts)
        self._attempts.clear()
        for _ in range(left):
            self._call.canary.note_over()
        self._on_settled(self)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_signed(outcome: link.Outcome, names: dialect.HeaderNames) -> bool:
    """Tell whether a failure is the upstream's own."""
    match outcome:
        case messages.Reply() as reply:
            return reply.get_header(names.stamp) is not None
    return False
