"""Quarantine records as the source keeps them."""

from typing import Annotated

import msgspec

from rudderrock.gateway.discovery import _quarantine as quarantine

# Maximum number of crashed upstreams that are saved for one request. A few
# prove that the request crashes upstreams, and whether one has crashed in the
# last seconds matters for seconds only. With all of them, 256 records would
# take 5 s to read over a link of 10 Mbit/s.
MAX_SAVED_ENDED = 16
# Greatest wall time of a saved record, in seconds.
_MAX_WALL_S = 10**11


class SavedRecord(msgspec.Struct, frozen=True):
    """A record, and the wall time in seconds at which it was saved."""

    record: quarantine.Record
    saved_at: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WALL_S)]


def make_saved_record(record: quarantine.Record, now: float) -> SavedRecord:
    """Return a record to be saved at the wall time `now`.

    Of the crashed upstreams only the last ones are included.
    """
    latest = sorted(record.ended, key=record.ended.get)[:MAX_SAVED_ENDED]
    ended = {incarnation: record.ended[incarnation] for incarnation in latest}
    return SavedRecord(msgspec.structs.replace(record, ended=ended), now)


def restore_record(saved: SavedRecord, now: float) -> quarantine.Record:
    """Return a saved record with its ages at the wall time `now`."""
    kept_ms = round(1000 * max(0.0, now - saved.saved_at))
    record = saved.record
    ended = {
        incarnation: age_ms + kept_ms
        for incarnation, age_ms in record.ended.items()
    }
    return msgspec.structs.replace(
        record, age_ms=record.age_ms + kept_ms, ended=ended
    )
