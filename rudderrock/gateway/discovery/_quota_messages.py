"""Messages about quotas between hosts.

All are encoded as JSON arrays. Times are in milliseconds.
"""

import functools

import msgspec

from rudderrock import core
from rudderrock.gateway import _decoding as decoding
from rudderrock.gateway.decisions import _quota as quota

REPORT_PATH = b'/v1/quota/report'
NOTICE_PATH = b'/v1/quota/notice'


# A request by its process and number, and the milliseconds since then.
CountedRequest = tuple[quota.ProcessId, decoding.Integer, decoding.Integer]


class TeamReport(msgspec.Struct, array_like=True, frozen=True):
    """Requests of one team, identified by their numbers.

    `admitted` are pairs of a number and the time since that request was
    admitted, and `given_back` are requests that have not run. `asked` is a
    request that may run only if a majority of the voters admits it. If
    `wants_counted` is true, the answer lists all requests that the other host
    has counted.
    """

    team: core.TeamId
    admitted: list[tuple[decoding.Integer, decoding.Integer]] = []
    given_back: list[decoding.Integer] = []
    asked: decoding.Integer | None = None
    wants_counted: bool = False


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Requests that a host has admitted.

    `sent_ms` is the time at the sender's clock. The differences between
    messages show how long one was delayed.
    """

    process: quota.ProcessId
    host: core.HostId
    sent_ms: decoding.Integer
    teams: list[TeamReport]


class TeamAnswer(msgspec.Struct, array_like=True, frozen=True):
    """What a voter of a team's quota answers to a report.

    The host has to ask first for `ask_first_ms`. `retry_after_ms` is set if
    the request it asked for was refused, because `count` requests have run of
    `limit` that are allowed. `is_informed` is whether this host has kept the
    quota for a whole window, or has learned what others have counted.
    `counted` is set if the report has asked for it.
    """

    team: core.TeamId
    ask_first_ms: decoding.Integer = 0
    retry_after_ms: decoding.Integer | None = None
    count: decoding.Integer = 0
    limit: float = 0.0
    is_informed: bool = True
    counted: list[CountedRequest] | None = None


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """The reply to a report, by the process of a voter."""

    process: quota.ProcessId
    teams: list[TeamAnswer]


class Notice(msgspec.Struct, array_like=True, frozen=True):
    """Teams for which all hosts have to ask first, with the time for it."""

    teams: list[tuple[core.TeamId, decoding.Integer]]


def to_ms(seconds: float) -> int:
    """Return a time in whole milliseconds."""
    return round(seconds * 1000)


encode = msgspec.json.Encoder().encode
decode_report = functools.partial(decoding.decode_json, kind=Report)
decode_answer = functools.partial(decoding.decode_json, kind=Answer)
decode_notice = functools.partial(decoding.decode_json, kind=Notice)
