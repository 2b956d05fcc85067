"""One request of a caller on its way, and what all requests share."""

import asyncio
from collections.abc import Callable
import dataclasses

from rudderrock import core
from rudderrock.gateway.decisions import _budget as budget
from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _reach as reach
from rudderrock.gateway.knowledge import _routing as routing


@dataclasses.dataclass(slots=True)
class Counters:
    """What all requests of this host have cost its upstreams."""

    firsts: int = 0
    hedges: int = 0
    retries: int = 0
    denied: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What pursuits share in one host."""

    loop: asyncio.AbstractEventLoop
    names: dialect.HeaderNames
    book: replicas.ReplicaBook
    get_budget: Callable[[routing.ServiceName], budget.ExtraBudget]
    counters: Counters
    checker: reach.ReachChecker


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller, as its pursuits see it.

    `end` is the loop time at which it is given up, `goal_at` that at which
    its answer should leave, `late_s` the time in
    seconds after which an attempt counts as late. `spared` of its services
    may be missing. `is_again` tells that another host has been sent the
    request and may have begun on it, so that each attempt is an extra one.
    `canary` says which attempts may be sent.
    """

    request: messages.Request
    request_id: bytes
    route: routing.Route
    end: float
    goal_at: float
    late_s: float
    head: messages.Headers
    canary: canary.Canary
    spared: int = 0
    is_again: bool = False

    def get_left_ms(self, now: float) -> bytes:
        """Return the time that is left as a header says it, 1 at least."""
        return b'%d' % max(1, int((self.end - now) * 1000))

    def render(
        self,
        upstream: core.UpstreamId,
        names: dialect.HeaderNames,
        now: float,
    ) -> bytes:
        """Write the request to one upstream, with the time that is left."""
        headers = [
            *self.head,
            (names.deadline_ms, self.get_left_ms(now)),
            (names.expected_upstream, upstream.encode('ascii')),
        ]
        request = self.request
        return messages.render_request(
            request.method, request.target, headers, request.body
        )
