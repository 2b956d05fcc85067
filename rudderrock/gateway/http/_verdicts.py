"""What the outcome of one attempt at an upstream says."""

import enum

from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _link as link


class Verdict(enum.Enum):
    """What an outcome of one attempt says."""

    ANSWER = 'answer'
    FAILURE = 'failure'
    REJECTED = 'rejected'
    MISDIRECTED = 'misdirected'
    SPOILT = 'spoilt'
    LOST = 'lost'
    UNSENT = 'unsent'


# Verdicts that promise that nothing has run.
NOT_RUN = frozenset({Verdict.UNSENT, Verdict.REJECTED, Verdict.MISDIRECTED})


def judge_outcome(
    outcome: link.Outcome, names: dialect.HeaderNames
) -> Verdict:
    """Say what an outcome means.

    Only a rejection that says so, or status 421, promises that nothing has
    run. A success without its signature, or in an encoding that nobody
    asked for, is not the upstream's answer.
    """
    match outcome:
        case link.Lost(sent=False):
            return Verdict.UNSENT
        case link.Lost():
            return Verdict.LOST
    if outcome.status == 421:
        return Verdict.MISDIRECTED
    if outcome.get_header(names.not_run):
        return Verdict.REJECTED
    if outcome.get_header(b'content-encoding') is not None:
        return Verdict.SPOILT
    if outcome.status >= 300:
        return Verdict.FAILURE
    if outcome.get_header(names.stamp) is None:
        return Verdict.SPOILT
    return Verdict.ANSWER


def describe_outcome(verdict: Verdict, outcome: link.Outcome) -> str:
    """Say in a few words how an attempt ended."""
    match outcome:
        case link.Lost(detail=detail):
            return f'{verdict.value}: {detail}'
    return f'{verdict.value}: status {outcome.status}'
