"""Structured log lines on standard output, bounded and never blocking.

Each line is one JSON object. A reader that stops reading costs lines, which
are counted, and never a request.
"""

import asyncio
import collections
import logging as standard_logging
import os
from typing import Any

from absl import flags
from absl import logging
import msgspec

from rudderrock import core
from rudderrock.gateway import _events as events

# How many seconds' worth of lines may come at once.
_BURST_S = 2.0
# Bytes that may wait for a slow reader before lines are dropped.
MAX_WAITING_BYTES = 256 * 1024


class _Bucket:
    """How many lines of one class may still be written."""

    def __init__(self, clock: core.Clock, rate: float):
        self._clock = clock
        self._rate = rate
        self._tokens = rate * _BURST_S
        self._filled = clock.now()

    def try_take(self) -> bool:
        now = self._clock.now()
        self._tokens += (now - self._filled) * self._rate
        self._tokens = min(self._tokens, self._rate * _BURST_S)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Writes typed lines for one host; `dropped` counts those left out."""

    def __init__(self, host: str, clock: core.Clock):
        self.dropped = 0
        self._host = host
        self._clock = clock
        self._told = 0
        self._good = _Bucket(clock, events.GOOD_LINES_PER_S)
        self._bad = _Bucket(clock, events.BAD_LINES_PER_S)
        self._belief = _Bucket(clock, events.BELIEF_LINES_PER_S)

    def record(self, kind: events.LogKind, **fields: Any) -> None:
        """Write a line on what the process does or believes."""
        self._write(self._belief, kind, fields)

    def record_request(self, good: bool, **fields: Any) -> None:
        """Write the line of one request; the bad ones have own room."""
        bucket = self._good if good else self._bad
        self._write(bucket, events.LogKind.REQUEST, fields)

    def _write(
        self, bucket: _Bucket, kind: events.LogKind, fields: dict[str, Any]
    ) -> None:
        if not bucket.try_take():
            self.dropped += 1
            return
        if self.dropped > self._told:
            self._emit(
                events.LogKind.LINES_DROPPED,
                {'count': self.dropped - self._told},
            )
            self._told = self.dropped
        self._emit(kind, fields)

    def _emit(self, kind: events.LogKind, fields: dict[str, Any]) -> None:
        line = {
            'at': round(self._clock.wall(), 3),
            'host': self._host,
            'kind': kind.value,
            **fields,
        }
        logging.info('%s', msgspec.json.encode(line).decode())


class PipeHandler(standard_logging.Handler):
    """Writes lines to a descriptor that may stop taking them."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue a line, or drop it if too much is waiting."""
        line = (self.format(record) + '\n').encode()
        if self._size + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._size += len(line)
        self._flush_some()

    def flush_waiting(self) -> bool:
        """Write what the reader takes now; tell if that was anything."""
        before = self._size
        self._flush_some()
        return self._size < before

    def _flush_some(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._wait_for_reader()
                return
            except OSError:
                # Nobody will ever read it; the count says so in metrics.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
            else:
                self._waiting.popleft()

    def _wait_for_reader(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._flush_some()


def set_up_log(descriptor: int) -> PipeHandler:
    """Send all log lines of this process to a descriptor."""
    flags.FLAGS.mark_as_parsed()
    handler = PipeHandler(descriptor)
    handler.setFormatter(standard_logging.Formatter('%(message)s'))
    root = standard_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    logging.get_absl_logger().propagate = True
    logging.set_verbosity('info')
    return handler
