"""Classification of the outcomes of attempts at upstreams."""

import enum

from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _link as link


class Verdict(enum.Enum):
    """The class of an attempt's outcome.

    ANSWER is a valid reply; FAILURE an error reply from the upstream; REJECTED
    a rejection that states that the request was not run; MISDIRECTED status
    421; INVALID_REPLY an invalid reply; LOST no complete reply to a request
    that may have arrived; UNSENT a request that was not sent. UNIDENTIFIED is
    a rejection without a request id, which may belong to another request.
    """

    ANSWER = 'answer'
    FAILURE = 'failure'
    REJECTED = 'rejected'
    MISDIRECTED = 'misdirected'
    UNIDENTIFIED = 'rejected without an id'
    INVALID_REPLY = 'spoilt'
    LOST = 'lost'
    UNSENT = 'unsent'


# Verdicts that guarantee that the request has not been run.
NOT_RUN = frozenset({Verdict.UNSENT, Verdict.REJECTED, Verdict.MISDIRECTED})


def classify_outcome(
    outcome: link.Outcome, names: header_names.HeaderNames
) -> Verdict:
    """Return the class of an outcome.

    A reply guarantees that the request has not been run only if its status
    is 421 or if it has the header `not_run`, and it has the request id: an
    upstream may send a second copy of a reply late, on a connection that
    carries another request by then. Any other reply is invalid if it
    has a content encoding, and also if its status is below 300 and it has no
    `stamp`, the upstream's signature.
    """
    match outcome:
        case link.ConnectionLost(sent=False):
            return Verdict.UNSENT
        case link.ConnectionLost():
            return Verdict.LOST
    is_misdirected = outcome.status == 421
    if is_misdirected or outcome.get_header(names.not_run):
        if outcome.get_header(names.request_id) is None:
            return Verdict.UNIDENTIFIED
        return Verdict.MISDIRECTED if is_misdirected else Verdict.REJECTED
    if outcome.get_header(b'content-encoding') is not None:
        return Verdict.INVALID_REPLY
    if outcome.status >= 300:
        return Verdict.FAILURE
    if outcome.get_header(names.stamp) is None:
        return Verdict.INVALID_REPLY
    return Verdict.ANSWER


def describe_outcome(verdict: Verdict, outcome: link.Outcome) -> str:
    """Return a short description of an outcome for logs."""
    match outcome:
        case link.ConnectionLost(detail=detail):
            return f'{verdict.value}: {detail}'
    return f'{verdict.value}: status {outcome.status}'
