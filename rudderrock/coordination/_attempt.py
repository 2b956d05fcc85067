"""One request to one upstream, and the mailbox its reply goes to."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport


class AttemptKind(enum.Enum):
    """Why an attempt is made."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class Mailbox:
    """Replies on their way to one query's task.

    One task waits for many replies; this costs one future for each wait
    instead of one task for each shard.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._items: list[tuple['Attempt', protocol.ShardReply]] = []
        self._waiter: asyncio.Future | None = None

    def put(self, attempt: 'Attempt', reply: protocol.ShardReply) -> None:
        """Deliver a reply and wake the task."""
        self._items.append((attempt, reply))
        self._wake()

    async def take(
        self, until: float
    ) -> list[tuple['Attempt', protocol.ShardReply]]:
        """Return what has come, waiting at most up to loop time `until`."""
        if not self._items and until > self._loop.time():
            self._waiter = self._loop.create_future()
            timer = self._loop.call_at(until, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        items, self._items = self._items, []
        return items

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One shard request on its way through a service's queue to a lane.

    `deadline` is in loop time. `sent_at` is the loop time at which a lane
    took it, None while it waits; an attempt that was given up before that
    has certainly not run. `base_s` is the least latency of the upstream it
    went to, in seconds: distance and bare work, without chance.
    `note_late` tells that upstream's link whether the attempt was late.
    """

    request: protocol.ShardRequest
    row: state.TeamRow
    kind: AttemptKind
    deadline: float
    grace_s: float
    mailbox: Mailbox
    avoid: frozenset[state.UpstreamId] = frozenset()
    upstream: state.UpstreamId | None = None
    sent_at: float | None = None
    base_s: float = 0.0
    note_late: Callable[[bool], None] | None = None
    given_up: bool = False
    abort: transport.Abort | None = None

    @property
    def until(self) -> float:
        """Return the loop time at which reading the reply ends."""
        return self.deadline + self.grace_s

    def arm(self, abort: transport.Abort) -> None:
        """Take the means to give up the exchange that now begins."""
        self.abort = abort
        if self.given_up:
            abort.reschedule(0.0)

    def detach(self) -> None:
        """Lose interest in the reply, but let the exchange end by itself.

        The upstream knows the deadline and stops by it; closing all the
        connections of a slow upstream at once would only add to its load.
        """
        self.given_up = True

    def cancel(self) -> None:
        """Give up now: the connection is closed, which tells the upstream."""
        self.given_up = True
        if self.abort is not None:
            self.abort.reschedule(0.0)

    def deliver(self, reply: protocol.ShardReply) -> None:
        """Hand the reply over unless nobody waits for it any more."""
        if not self.given_up:
            self.mailbox.put(self, reply)
