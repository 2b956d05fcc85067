"""Reads and watches the data that operators write: table, evacuations."""

import asyncio

import result

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway import _rejected_entries as rejected_entries
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _position as position
from rudderrock.gateway.discovery import _sources as sources

# How long one watch request waits at the source, in seconds. A watch whose
# connection failed without an error is detected after this time, and so before
# a new table must be in force on all hosts.
WATCH_S = 2.0
# How long the first watch after a read without one waits, in seconds. The
# table has not been confirmed since that read, and other hosts stop using it
# 4 s after a confirmation.
FIRST_WATCH_S = 0.5


class OperatorDataWatch:
    """Keeps the table and the evacuations up to date with the source.

    One watch runs at a time, in its own task.
    """

    def __init__(
        self,
        source: sources.SourcePort,
        tables: sources.TableHolder,
        evacuated: evacuations.EvacuationHolder,
        events: log.EventLog,
        rejected: rejected_entries.RejectedEntries,
    ):
        self._source = source
        self._tables = tables
        self._evacuated = evacuated
        self._events = events
        self._rejected = rejected
        self._task: asyncio.Task | None = None
        self._has_read = False
        # The position of a read after which no watch was started.
        self._unwatched: position.Position | None = None

    async def ensure_running(self) -> result.Result[None, sources.Unavailable]:
        """Start a watch unless one runs, after a full read if needed.

        The first call of a process only reads. A host that has just started
        usually gets the data from a peer from then on.
        """
        read, self._unwatched = self._unwatched, None
        wait_s = WATCH_S if read is None else FIRST_WATCH_S
        if self._task is not None:
            if not self._task.done():
                return result.Ok(None)
            # An ended watch returns the position of its last full read, or
            # None if that failed.
            read = self._task.result()
        if read is None:
            match await self._read():
                case result.Ok(read):
                    pass
                case result.Err() as failed:
                    return failed
        if not self._has_read:
            self._has_read = True
            self._unwatched = read
            return result.Ok(None)
        self._task = asyncio.create_task(self._watch(read, wait_s))
        return result.Ok(None)

    def stop(self) -> None:
        """Stop the watch; the data already applied stays in force."""
        self._unwatched = None
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _read(
        self,
    ) -> result.Result[position.Position, sources.Unavailable]:
        """Read the table and the evacuations; return the position."""
        answer = await self._source.read_table()
        if answer.is_err():
            return answer
        reading = answer.ok_value
        self._apply(reading, 'source')
        return result.Ok(reading.position)

    def _apply(self, reading: sources.TableReading, origin: str) -> None:
        """Put a reading in force."""
        self._tables.apply_reading(reading, origin)
        self._tables.confirm()
        if reading.evacuated is not None:
            found = evacuations.Evacuations(
                reading.position, reading.evacuated
            )
            self._evacuated.apply(found, origin)
            self._rejected.record('evacuations', reading.rejected)

    async def _watch(
        self, read: position.Position, first_wait_s: float
    ) -> position.Position | None:
        """Watch until a full read is needed, and do that read.

        The first watch waits for `first_wait_s` seconds.
        Return the position to watch from, or None if the read failed.
        """
        wait_s = first_wait_s
        while True:
            match await self._source.watch_table(read, wait_s):
                case result.Ok(None):
                    # The next watch starts from the same position and so
                    # returns any change that this one missed.
                    self._tables.confirm()
                case result.Ok(reading):
                    self._apply(reading, 'watch')
                    read = reading.position
                case result.Err(sources.HistoryCompacted()):
                    break
                case result.Err(problem):
                    self._log_failure('watch', problem.detail)
                    break
            wait_s = WATCH_S
        match await self._read():
            case result.Ok(read):
                return read
            case result.Err(problem):
                self._log_failure('table', problem.detail)
        return None

    def _log_failure(self, call: str, detail: str) -> None:
        self._events.record(
            events.LogKind.SOURCE_FAILED, call=call, detail=detail
        )
