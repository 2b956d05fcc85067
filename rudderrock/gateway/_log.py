"""Structured log lines on standard output, with a bounded buffer.

Each line is one JSON object. Logging never blocks a request. Lines that exceed
a rate limit are dropped and counted in `EventLog.dropped`, and lines for which
the reader is too slow in `PipeHandler.dropped`. Defects and unreadable data
are logged through absl, which is loaded at the first of them: it takes 1.4 MB.
"""

import asyncio
import collections
import contextlib
import logging as standard_logging
import os
from typing import Any

import msgspec

from rudderrock import core
from rudderrock.gateway import _events as events

# Burst size of the rate limits, in seconds' worth of lines.
_BURST_S = 2.0
# Bytes buffered for a slow reader before lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Characters of an exception in a line: its text may quote what was received.
_MAX_ERROR_CHARS = 500
LOGGER_NAME = 'rudderrock'
_logger = standard_logging.getLogger(LOGGER_NAME)


class _TokenBucket:
    """Token bucket that limits the lines per second of one class."""

    def __init__(self, clock: core.Clock, rate: float):
        self._clock = clock
        self._rate = rate
        self._tokens = rate * _BURST_S
        self._refilled_at = clock.now()

    def try_take(self) -> bool:
        now = self._clock.now()
        self._tokens += (now - self._refilled_at) * self._rate
        self._tokens = min(self._tokens, self._rate * _BURST_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Write typed log lines for one host.

    `dropped` counts the lines that exceeded a rate limit, and `handler` those
    that could not be written.
    """

    def __init__(
        self,
        host: str,
        clock: core.Clock,
        handler: 'PipeHandler | None' = None,
    ):
        self.dropped = 0
        self._handler = handler
        self._host = host
        self._clock = clock
        self._reported_drops = 0
        self._success = _TokenBucket(clock, events.SUCCESS_LINES_PER_S)
        self._failure = _TokenBucket(clock, events.FAILURE_LINES_PER_S)
        self._state = _TokenBucket(clock, events.STATE_LINES_PER_S)

    @property
    def unwritten(self) -> int:
        """Return the number of lines that could not be written."""
        return 0 if self._handler is None else self._handler.dropped

    def record(self, kind: events.LogKind, **fields: Any) -> None:
        """Write a line about an action or a state change of the process."""
        self._write(self._state, kind, fields)

    def record_request(self, is_complete: bool, **fields: Any) -> None:
        """Write the line of one request.

        Requests with a complete answer have a rate limit of their own.
        """
        bucket = self._success if is_complete else self._failure
        self._write(bucket, events.LogKind.REQUEST, fields)

    def _write(
        self,
        bucket: _TokenBucket,
        kind: events.LogKind,
        fields: dict[str, Any],
    ) -> None:
        is_limited = kind not in events.UNLIMITED_KINDS
        if is_limited and not bucket.try_take():
            self.dropped += 1
            return
        if self.dropped > self._reported_drops:
            self._emit(
                events.LogKind.LINES_DROPPED,
                {'count': self.dropped - self._reported_drops},
            )
            self._reported_drops = self.dropped
        self._emit(kind, fields)

    def _emit(self, kind: events.LogKind, fields: dict[str, Any]) -> None:
        line = {
            'at': round(self._clock.wall(), 3),
            'host': self._host,
            'kind': kind.value,
            **fields,
        }
        _logger.info('%s', msgspec.json.encode(line).decode())


class PipeHandler(standard_logging.Handler):
    """Write lines to a descriptor whose reader may be slow."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        # Writing to a closed descriptor fails as well, and is counted.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue a line, or drop it if the buffer is full."""
        line = (self.format(record) + '\n').encode()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self._flush()

    def flush_waiting(self) -> bool:
        """Write as much of the buffer as the reader accepts.

        Return whether anything was written.
        """
        before = self._buffered_bytes
        self._flush()
        return self._buffered_bytes < before

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._wait_for_reader()
                return
            except OSError:
                # The reader is gone; drop and count all lines.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
            else:
                self._buffer.popleft()

    def _wait_for_reader(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        # A file that cannot be waited for is tried again at the next line.
        with contextlib.suppress(OSError):
            loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._flush()


def set_up_log(descriptor: int) -> PipeHandler:
    """Send all log lines of this process to a descriptor.

    Returns the handler that buffers them.
    """
    handler = PipeHandler(descriptor)
    handler.setFormatter(standard_logging.Formatter('%(message)s'))
    root = standard_logging.getLogger()
    for existing in list(root.handlers):
        root.removeHandler(existing)
    root.addHandler(handler)
    _logger.setLevel(standard_logging.INFO)
    return handler


def describe_error(error: BaseException | None) -> str:
    """Return the type and the text of an exception, cut if it is long."""
    return f'{type(error).__name__}: {error}'[:_MAX_ERROR_CHARS]


def load_absl_log():
    """Return absl's logging module, which logs to the handlers of the root.

    It is loaded at the first call, if that is possible: a defect must be
    logged without it too, for example if no more files can be opened.
    """
    try:
        from absl import flags
        from absl import logging
    except (ImportError, OSError):
        return _logger

    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
        logging.get_absl_logger().propagate = True
        logging.set_verbosity('info')
    return logging
