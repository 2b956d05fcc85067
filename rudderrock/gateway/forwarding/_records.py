"""Merging the records of many shards into the top k."""

from collections.abc import Iterable
import heapq
import struct

# Size of a record. The byte order of records is their rank.
RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a body; an incomplete last one is dropped."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]


def keep_greatest(body: bytes, top_k: int) -> bytes:
    """Return the `top_k` greatest records of a body, in descending order.

    The other records are not held at once, as the body may be large.

    >>> keep_greatest(b'a' * 16 + b'b' * 16 + b'c', 1) == b'b' * 16
    True
    """
    whole = memoryview(body)[: len(body) - len(body) % RECORD_BYTES]
    found = struct.iter_unpack(f'{RECORD_BYTES}s', whole)
    return b''.join(heapq.nlargest(top_k, (record for (record,) in found)))


def merge_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all bodies in descending order.

    Records are compared byte by byte. Duplicates are kept.

    >>> merge_records([b'b' * 16 + b'a' * 16, b'b' * 16], 2) == b'b' * 32
    True
    """
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    return b''.join(heapq.nlargest(top_k, records))
