"""Quarantine records in the source, which outlive the loss of all hosts.

Hosts exchange their records, so a record survives as long as one of them does.
For the case that all are lost together, each host also saves the records of
requests in whose crashes it took part. A host loads the saved records with its
first reading of the source, and never again: what changes later it learns from
other hosts.
"""

import asyncio
from collections.abc import Iterable

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway import _rejected_entries as rejected_entries
from rudderrock.gateway.discovery import _quarantine as quarantine
from rudderrock.gateway.discovery import _saved_records as saved_records
from rudderrock.gateway.discovery import _sources as sources

# How long a reading of the upstreams waits for the saved records, in seconds.
# Callers wait for the reading, and the saved records are rarely needed.
LOAD_WAIT_S = 0.25
# Delays before a failed write is repeated, in seconds. An outage of the source
# lasts for seconds, and calls that it refuses have a cost too.
FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 8.0
# Maximum number of keys in one write.
_MAX_WRITTEN_KEYS = 32


class QuarantineArchive:
    """Saves this host's quarantine records and loads those of all hosts."""

    def __init__(
        self,
        source: sources.SourcePort,
        known_quarantine: quarantine.Quarantine,
        clock: core.Clock,
        events: log.EventLog,
        rejected: rejected_entries.RejectedEntries,
    ):
        self.is_loaded = False
        self._source = source
        self._quarantine = known_quarantine
        self._clock = clock
        self._events = events
        self._rejected = rejected
        self._saved_generation = 0
        self._saves_all = False
        # Digests of saved records that are no longer needed.
        self._expired: set[str] = set()
        self._loading: asyncio.Task | None = None
        self._changed = asyncio.Event()
        known_quarantine.add_listener(self._changed.set)

    async def load(self, is_starting: bool) -> None:
        """Load the saved records, unless done.

        A host that `is_starting` waits for them for up to `LOAD_WAIT_S`.
        Records that come later are used once they come. If none come, the
        next reading asks again.
        """
        if self.is_loaded:
            return
        if self._loading is None or self._loading.done():
            self._loading = asyncio.create_task(self._load())
        if is_starting:
            await asyncio.wait({self._loading}, timeout=LOAD_WAIT_S)

    def save_again(self) -> None:
        """Save all records of this host again.

        Called when the source has been restored from an older copy, which may
        lack them.
        """
        self._saves_all = True
        self._changed.set()

    async def run(self) -> None:
        """Save changed records until cancelled."""
        try:
            while True:
                await self._changed.wait()
                self._changed.clear()
                await self._save_until_confirmed()
        finally:
            if self._loading is not None:
                await core.end_task(self._loading)

    async def _save_until_confirmed(self) -> None:
        delay_s = FIRST_RETRY_DELAY_S
        while not await self._save_changes():
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)

    async def _load(self) -> None:
        match await self._source.list_saved_records():
            case result.Ok(found):
                self.is_loaded = True
                self._rejected.record('quarantine', found.problems)
                self._merge(found.records)

    def _merge(self, found: Iterable[saved_records.SavedRecord]) -> None:
        now = self._clock.wall()
        records = sorted(
            (saved_records.restore_record(each, now) for each in found),
            key=lambda each: each.age_ms,
        )
        limit_ms = 1000 * quarantine.RECORD_RETENTION_S
        kept = [
            each
            for each in records[: quarantine.MAX_RECORDS]
            if each.age_ms < limit_ms
        ]
        self._expired = {each.digest for each in records[len(kept) :]}
        self._quarantine.merge(kept, 'source')
        if self._expired:
            self._changed.set()

    async def _save_changes(self) -> bool:
        """Write what has changed since the last call; return success."""
        if self._saves_all:
            self._saves_all = False
            self._saved_generation = 0
        generation = self._quarantine.generation
        changed = self._quarantine.list_own_since(self._saved_generation)
        now = self._clock.wall()
        written = [
            saved_records.make_saved_record(each, now)
            for each in changed
            if not each.answered
        ]
        # A request whose record had expired may have crashed upstreams again.
        self._expired -= {each.digest for each in changed}
        removed = self._expired | {
            each.digest for each in changed if each.answered
        }
        if not await self._write(written, sorted(removed)):
            return False
        self._saved_generation = generation
        self._expired -= removed
        return True

    async def _write(
        self,
        written: list[saved_records.SavedRecord],
        removed: list[str],
    ) -> bool:
        for batch in _split(written):
            if not await self._write_batch(batch, []):
                return False
        for batch in _split(removed):
            if not await self._write_batch([], batch):
                return False
        return True

    async def _write_batch(
        self,
        written: list[saved_records.SavedRecord],
        removed: list[str],
    ) -> bool:
        answer = await self._source.save_records(written, removed)
        self._events.record(
            events.LogKind.QUARANTINE_SAVED,
            written=len(written),
            removed=len(removed),
            problem=answer.err_value.detail if answer.is_err() else '',
        )
        return answer.is_ok()


def _split(items: list) -> Iterable[list]:
    return (
        items[first : first + _MAX_WRITTEN_KEYS]
        for first in range(0, len(items), _MAX_WRITTEN_KEYS)
    )
