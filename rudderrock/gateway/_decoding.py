"""Decoding of JSON that another writer, a peer or the source has sent.

The types of the fields carry their ranges, so that what has been decoded can
be used, logged and encoded again as it is.
"""

from collections.abc import Iterable
import functools
import re
from typing import Annotated
from typing import Any

import msgspec
import result

from rudderrock import core

# Maximum length of the reason why data is invalid, in characters. The reason
# may quote the data.
MAX_PROBLEM_LENGTH = 400
# Bytes that are quoted of an invalid entry of a list; they begin with its id.
_QUOTED_BYTES = 120
# The id of an incarnation is a name of up to 200 bytes with a number.
_MAX_NAME_LENGTH = 256
# A double represents each integer up to this one. Integers of any length are
# decoded otherwise, and quotients of very great ones raise OverflowError.
MAX_INTEGER = 2**53
# Durations and ages in milliseconds are at most 115 days.
MAX_DURATION_MS = 10**10

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# A name that may be written to the log: without control characters and line
# separators.
_NAME_PATTERN = '\\A[^\x00-\x1f\x7f-\x9f\u2028\u2029]+\\Z'
_NAME_BOUNDS = {'min_length': 1, 'max_length': _MAX_NAME_LENGTH}
NAME = msgspec.Meta(pattern=_NAME_PATTERN, **_NAME_BOUNDS)
_NAME = re.compile(_NAME_PATTERN)
# A name that is also the value of a header.
_TOKEN_PATTERN = r'\A[!-~]+\Z'
TOKEN = msgspec.Meta(pattern=_TOKEN_PATTERN, **_NAME_BOUNDS)
_TOKEN = re.compile(_TOKEN_PATTERN)
# Text that `check_name` or `core.split_address` checks. The decoder matches
# patterns anew for each entry, which for 2,400 entries a second takes longer
# than all other decoding.
ShortText = Annotated[str, msgspec.Meta(**_NAME_BOUNDS)]
_CACHED_NAMES = 1024
IpAddress = Annotated[str, msgspec.Meta(pattern=core.IP_PATTERN)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
# Requests that one upstream handles at the same time.
MAX_SLOTS = 10**6
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
# Processor speed in cores times link bandwidth in Mbit/s.
Capacity = Annotated[float, msgspec.Meta(ge=0, le=10**12)]
Address = Annotated[str, msgspec.Meta(pattern=core.ADDRESS_PATTERN)]


@functools.lru_cache(maxsize=_CACHED_NAMES)
def check_name(name: str) -> str:
    """Return text that can be written to the log, or raise ValueError."""
    if not _NAME.match(name) or len(name) > _MAX_NAME_LENGTH:
        raise ValueError(f'not a printable name: {name!r}')
    return name


def check_token(token: str) -> str:
    """Return text that can be the value of a header, or raise ValueError."""
    if not _TOKEN.match(token) or len(token) > _MAX_NAME_LENGTH:
        raise ValueError(f'not a name of printable ASCII: {token!r}')
    return token


def decode_json(raw: bytes, kind: Any) -> result.Result[Any, str]:
    """Return the value of a type that `raw` encodes, or why it is invalid.

    For values that are nested too deeply msgspec raises RecursionError.
    """
    try:
        return result.Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(shorten(str(error)))


def convert_value(
    value: Any, kind: Any, strict: bool = True
) -> result.Result[Any, str]:
    """Return a value converted to a type, or why it is invalid.

    Unless `strict`, text is converted to the number that it contains.
    """
    try:
        return result.Ok(msgspec.convert(value, kind, strict=strict))
    except (ValueError, RecursionError) as error:
        return result.Err(shorten(str(error)))


def decode_each(
    listed: Iterable[msgspec.Raw | bytes], kind: Any
) -> tuple[list[Any], list[tuple[msgspec.Raw | bytes, str]]]:
    """Return the valid entries of a list, and the others with the reason."""
    found = []
    rejected = []
    for raw in listed:
        match decode_json(bytes(raw), kind):
            case result.Ok(entry):
                found.append(entry)
            case result.Err(problem):
                start = bytes(raw)[:_QUOTED_BYTES].decode(errors='replace')
                rejected.append((raw, shorten(f'{problem} in {start}')))
    return found, rejected


def shorten(problem: str) -> str:
    """Return the reason why data is invalid, printable and bounded."""
    if not problem.isprintable():
        problem = ascii(problem)[1:-1]
    if len(problem) <= MAX_PROBLEM_LENGTH:
        return problem
    return problem[:MAX_PROBLEM_LENGTH] + '...'
