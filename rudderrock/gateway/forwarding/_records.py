"""Merging the records of many shards into the top k."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of a body; an incomplete last one is dropped."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]


def merge_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all parts in descending order.

    Records are compared byte by byte. Duplicates are kept.

    >>> merge_records([b'b' * 16 + b'a' * 16, b'b' * 16], 2) == b'b' * 32
    True
    """
    records: list[bytes] = []
    for part in parts:
        records += split_records(part)
    return b''.join(heapq.nlargest(top_k, records))
