"""Attempts, each a single request to an upstream, and their replies."""

import asyncio
from collections.abc import Callable
import dataclasses
import enum

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport


class AttemptKind(enum.Enum):
    """Reason for which an attempt is made."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class ReplyQueue:
    """Queue of the replies to the attempts of one query.

    The task of the query awaits one future for all outstanding replies, which
    is cheaper than one task for each shard.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        self._replies: list[tuple['Attempt', protocol.ShardReply]] = []
        self._waiter: asyncio.Future | None = None

    def put(self, attempt: 'Attempt', reply: protocol.ShardReply) -> None:
        """Add a reply and wake the waiting task."""
        self._replies.append((attempt, reply))
        self._wake()

    async def take(
        self, until: float
    ) -> list[tuple['Attempt', protocol.ShardReply]]:
        """Return the replies received since the last call.

        If there are none, wait for the first until loop time `until`.
        """
        if not self._replies and until > self._loop.time():
            self._waiter = self._loop.create_future()
            timer = self._loop.call_at(until, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        replies, self._replies = self._replies, []
        return replies

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One shard request on its way through a service's queue to a lane.

    `deadline` is in loop time. `grace_s` is how long after it the reply is
    still read, in seconds. `sent_at` is the loop time at which a lane took the
    attempt, or None while the attempt is queued; an attempt abandoned while
    queued is certain not to have run. `base_latency_s` is the base latency of
    the upstream in seconds: network and processing time without random delays.
    `record_lateness` records at the link to the upstream whether the attempt
    was late.
    """

    request: protocol.ShardRequest
    row: state.TeamRow
    kind: AttemptKind
    deadline: float
    grace_s: float
    reply_queue: ReplyQueue
    avoid: frozenset[state.UpstreamId] = frozenset()
    upstream: state.UpstreamId | None = None
    sent_at: float | None = None
    base_latency_s: float = 0.0
    record_lateness: Callable[[bool], None] | None = None
    abandoned: bool = False
    abort: transport.AbortHandle | None = None

    @property
    def read_until(self) -> float:
        """Return the loop time until which the reply is read."""
        return self.deadline + self.grace_s

    def set_abort(self, abort: transport.AbortHandle) -> None:
        """Set the handle that aborts the exchange, which is about to start.

        The exchange is aborted at once if the attempt is already abandoned.
        """
        self.abort = abort
        if self.abandoned:
            abort.reschedule(0.0)

    def detach(self) -> None:
        """Ignore the reply, but let the exchange run to its end.

        The upstream knows the deadline and stops at it. Closing all
        connections to a slow upstream at once would add to its load.
        """
        self.abandoned = True

    def cancel(self) -> None:
        """Abort the exchange by closing its connection.

        The closed connection lets the upstream stop its work.
        """
        self.abandoned = True
        if self.abort is not None:
            self.abort.reschedule(0.0)

    def deliver(self, reply: protocol.ShardReply) -> None:
        """Add the reply to the queue unless the attempt is abandoned."""
        if not self.abandoned:
            self.reply_queue.put(self, reply)
