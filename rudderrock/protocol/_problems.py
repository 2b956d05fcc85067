"""HTTP responses for outcomes, with problem details (RFC 9457)."""

import dataclasses
import enum
import math

from rudderrock import state
from rudderrock.protocol import _caller as caller
from rudderrock.protocol import _codec as codec

JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
_TYPE_PREFIX = 'urn:rudderrock:problem:'
_UNKNOWN_STATUS = 504

_REFUSAL_STATUS = {
    caller.RefusalReason.UNAUTHENTICATED: 401,
    caller.RefusalReason.FORBIDDEN: 403,
    caller.RefusalReason.MALFORMED: 400,
    caller.RefusalReason.TOO_LARGE: 413,
    caller.RefusalReason.TOO_SLOW: 408,
    caller.RefusalReason.UNKNOWN_COLLECTION: 404,
    caller.RefusalReason.RATE: 429,
    caller.RefusalReason.CONCURRENCY: 429,
    caller.RefusalReason.OVERLOAD: 503,
    caller.RefusalReason.DEADLINE: 503,
    caller.RefusalReason.DRAINING: 503,
    caller.RefusalReason.NOT_READY: 503,
    caller.RefusalReason.ISOLATED: 503,
    caller.RefusalReason.KV_UNAVAILABLE: 503,
    caller.RefusalReason.KEY_EXPIRED: 409,
    caller.RefusalReason.KEY_REUSED: 422,
    caller.RefusalReason.UPSTREAM: 503,
}


class ExecutionStatus(enum.Enum):
    """Whether a request without a result was run."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProblemDetails:
    """Problem details of RFC 9457, the body of a response without a result.

    `outcome` states whether the request ran; `instance` is a URN with the id
    of the request; `retry_after_s` is in seconds.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: ExecutionStatus
    instance: str | None = None
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


def make_http_reply(outcome: caller.Outcome) -> HttpReply:
    """Return the HTTP response for an outcome."""
    match outcome:
        case caller.Answered() | caller.Recorded():
            return HttpReply(
                status=200,
                headers={'content-type': JSON_TYPE},
                body=codec.encode(outcome),
            )
        case caller.Refused():
            return _make_problem_reply(_describe_refusal(outcome))
        case caller.Unknown():
            return _make_problem_reply(_describe_unknown(outcome))


def _describe_refusal(refused: caller.Refused) -> ProblemDetails:
    reason = refused.reason
    return ProblemDetails(
        type=_TYPE_PREFIX + reason.value,
        title=reason.value.replace('_', ' ').capitalize(),
        status=_REFUSAL_STATUS[reason],
        detail=refused.detail,
        outcome=ExecutionStatus.NOT_RUN,
        instance=_make_instance_uri(refused.query),
        retry_after_s=refused.retry_after_s,
    )


def _describe_unknown(unknown: caller.Unknown) -> ProblemDetails:
    return ProblemDetails(
        type=_TYPE_PREFIX + 'unknown',
        title='May have run',
        status=_UNKNOWN_STATUS,
        detail=unknown.detail,
        outcome=ExecutionStatus.UNKNOWN,
        instance=_make_instance_uri(unknown.query),
    )


def _make_instance_uri(query: state.QueryId | None) -> str | None:
    return f'urn:rudderrock:query:{query}' if query else None


def _make_problem_reply(problem: ProblemDetails) -> HttpReply:
    headers = {'content-type': PROBLEM_TYPE}
    if problem.retry_after_s is not None:
        # RFC 9110 allows only whole seconds in this header. The body
        # contains the exact time.
        headers['retry-after'] = str(math.ceil(problem.retry_after_s))
    if problem.status == 401:
        headers['www-authenticate'] = 'Bearer'
    return HttpReply(
        status=problem.status,
        headers=headers,
        body=codec.encode(problem),
    )
