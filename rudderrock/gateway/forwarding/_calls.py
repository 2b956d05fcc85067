"""State of one request in flight, and state shared by all requests."""

import asyncio
from collections.abc import Callable
import dataclasses

from rudderrock import core
from rudderrock.gateway.decisions import _budget as budget
from rudderrock.gateway.decisions import _canary as canary
from rudderrock.gateway.decisions import _repeats as repeats
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.decisions import _retry_plan as retry_plan
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _teams as teams
from rudderrock.gateway.http import _byte_budget as byte_budget
from rudderrock.gateway.http import _digest as digest
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _reach as reach


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of the attempts that this host has sent to upstreams.

    `extras_denied` counts extra attempts that the budget did not allow.
    `budget_waits` counts the waits for the budget, which took `budget_wait_s`
    seconds in all, and `budget_refusals` the calls that were refused because a
    wait would not be worth it.
    """

    first_attempts: int = 0
    hedges: int = 0
    retries: int = 0
    extras_denied: int = 0
    budget_waits: int = 0
    budget_wait_s: float = 0.0
    budget_refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Objects that all service calls of one host share."""

    loop: asyncio.AbstractEventLoop
    names: header_names.HeaderNames
    selector: replicas.ReplicaSelector
    get_budget: Callable[[routing.ServiceName], budget.ExtraRequestBudget]
    counters: Counters
    checker: reach.ReachChecker
    late_requests: retry_plan.LateRequests
    refused_requests: repeats.RefusedRequests
    byte_budget: byte_budget.ByteBudget


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a caller, with the data that its service calls share.

    `expires_at` is the loop time at which the request is abandoned, and
    `goal_at` the loop time by which its answer should be sent. An attempt
    counts as late after `late_after_s` seconds. Up to `max_missing` services
    may be missing from the answer. If `may_have_run_elsewhere` is true,
    another host may have started the request, so each attempt of this host
    counts against the budget of extra requests. `canary` decides which
    attempts may be sent. `team` is None if the request needs no key. If
    `is_patient` is true, failed attempts are retried until the deadline, or
    until `retry_until` if that is not None.
    """

    request: messages.Request
    request_id: bytes
    route: routing.Route
    expires_at: float
    goal_at: float
    late_after_s: float
    forwarded_headers: messages.Headers
    canary: canary.Canary
    team: teams.Team | None = None
    max_missing: int = 0
    may_have_run_elsewhere: bool = False
    is_patient: bool = False
    retry_until: float | None = None

    def get_retry_time_s(self, now: float) -> float:
        """Return for how many seconds failed attempts may be retried."""
        if self.is_patient and self.retry_until is not None:
            return min(self.expires_at, self.retry_until) - now
        return self.expires_at - now

    def get_digest(self, names: header_names.HeaderNames) -> str:
        """Return a digest that copies of the request have too."""
        return digest.digest_request(self.request, names)

    @property
    def team_id(self) -> core.TeamId | None:
        """Return the team's id, None if the request needs no key."""
        return None if self.team is None else self.team.team

    def format_remaining_ms(self, now: float) -> bytes:
        """Return the remaining time in ms as a header value, at least 1."""
        return b'%d' % max(1, int((self.expires_at - now) * 1000))

    def render(
        self,
        upstream: core.UpstreamId,
        names: header_names.HeaderNames,
        now: float,
    ) -> bytes:
        """Return the request to one upstream, with the remaining time."""
        headers = [
            *self.forwarded_headers,
            (names.deadline_ms, self.format_remaining_ms(now)),
            (names.expected_upstream, upstream.encode('ascii')),
        ]
        request = self.request
        request.was_sent = True
        return messages.render_request(
            request.method, request.target, headers, request.body
        )
