"""JSON encoding of messages with msgspec; errors are returned, not raised.

Messages are plain data classes, which `match` statements can destructure.
Unknown keys are ignored, so that a newer peer may add fields.
"""

from collections.abc import Iterable
import functools
from typing import Any
from typing import TypeVar

import msgspec
import result

T = TypeVar('T')

# A list whose entries aren't decoded yet.
RawEntries = list[msgspec.Raw]

# Errors may quote the data.
_MAX_ERROR_LENGTH = 400
_ENCODER = msgspec.json.Encoder(order='deterministic')


@functools.cache
def _get_decoder(cls: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(cls)


def encode(message: Any) -> bytes:
    """Return a message encoded as JSON."""
    return _ENCODER.encode(message)


def decode(cls: type[T], data: bytes) -> result.Result[T, str]:
    """Return the decoded message of class `cls`, or the decoder's error.

    For values that are nested too deeply msgspec raises RecursionError.
    """
    try:
        return result.Ok(_get_decoder(cls).decode(data))
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        return result.Err(str(exc)[:_MAX_ERROR_LENGTH])


def decode_each(
    cls: type[T], listed: Iterable[msgspec.Raw]
) -> tuple[list[T], list[str]]:
    """Return the valid entries of a list, and the errors of the others.

    The list itself is decoded as `RawEntries`.
    """
    decoded = [decode(cls, bytes(raw)) for raw in listed]
    return (
        [each.ok_value for each in decoded if each.is_ok()],
        [each.err_value for each in decoded if each.is_err()],
    )
