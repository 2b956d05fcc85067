"""JSON encoding of messages, by msgspec, with failures as values.

Messages are plain data classes, so that code can `match` on them. Unknown
keys are skipped, so that a newer peer may add some.
"""

import functools
from typing import Any
from typing import TypeVar

import msgspec
import result

T = TypeVar('T')

_ENCODER = msgspec.json.Encoder(order='deterministic')


@functools.cache
def _decoder(cls: Any) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(cls)


def encode(message: Any) -> bytes:
    """Return a message as JSON."""
    return _ENCODER.encode(message)


def decode(cls: type[T], data: bytes) -> result.Result[T, str]:
    """Read a message of a known class, or say what is wrong with it."""
    try:
        return result.Ok(_decoder(cls).decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return result.Err(str(exc))
