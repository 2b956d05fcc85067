"""Structured log lines on standard output, bounded and never blocking.

Each line is one JSON object. A reader that stops reading costs lines, which
are counted, and never a request.
"""

import asyncio
import collections
import dataclasses
import enum
import logging as standard_logging
import os
from typing import Any

from absl import flags
from absl import logging
import msgspec

from rudderrock import core

# Lines a second and the burst allowed for requests that went well, for all
# others, and for what a process comes to believe.
GOOD_LINES_PER_S = 50.0
BAD_LINES_PER_S = 100.0
BELIEF_LINES_PER_S = 50.0
_BURST_S = 2.0
# Bytes that may wait for a slow reader before lines are dropped.
MAX_WAITING_BYTES = 256 * 1024


class LogKind(enum.Enum):
    """Every kind of line; docs/events.md says what each tells."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    RELOADED = 'reloaded'
    READY = 'ready'
    NOT_READY = 'not_ready'
    DEPENDENCY_LOST = 'dependency_lost'
    DEPENDENCY_BACK = 'dependency_back'
    TABLE_IN_FORCE = 'table_in_force'
    TABLE_REJECTED = 'table_rejected'
    UPSTREAMS_CHANGED = 'upstreams_changed'
    ENTRY_REJECTED = 'entry_rejected'
    HOSTS_CHANGED = 'hosts_changed'
    READING_FROM = 'reading_from'
    PEER_SKIPPED = 'peer_skipped'
    SOURCE_FAILED = 'source_failed'
    REQUEST = 'request'
    UNREADABLE = 'unreadable'
    LINES_DROPPED = 'lines_dropped'


@dataclasses.dataclass(frozen=True, slots=True)
class KindInfo:
    """What a kind of line tells, and the fields it may have."""

    text: str
    fields: tuple[str, ...]


KIND_INFO: dict[LogKind, KindInfo] = {
    LogKind.STARTED: KindInfo('The process listens.', ('place',)),
    LogKind.STOPPING: KindInfo(
        'A planned stop has begun; `busy` requests are under way.',
        ('busy',),
    ),
    LogKind.STOPPED: KindInfo('The process ends.', ()),
    LogKind.RELOADED: KindInfo(
        'SIGHUP: the settings were read again. What they say takes effect '
        'at the next start; `problem` says what is wrong with them.',
        ('problem',),
    ),
    LogKind.READY: KindInfo(
        'The balancer is told to send requests here.', ('state',)
    ),
    LogKind.NOT_READY: KindInfo(
        'The balancer is told to send none: the process stops, or knows no '
        'routes or upstreams yet.',
        ('state',),
    ),
    LogKind.DEPENDENCY_LOST: KindInfo(
        'The source of routes and upstreams no longer answers this host.',
        ('dependency', 'call', 'detail'),
    ),
    LogKind.DEPENDENCY_BACK: KindInfo(
        'The source answers this host again.', ('dependency', 'away_s')
    ),
    LogKind.SOURCE_FAILED: KindInfo(
        'One call to the source failed.', ('call', 'detail')
    ),
    LogKind.READING_FROM: KindInfo(
        'This host now asks another one for changes; an empty `peer` means '
        'that it reads the source itself.',
        ('peer', 'zone'),
    ),
    LogKind.PEER_SKIPPED: KindInfo(
        'Another host failed to answer, or had nothing fresh: the ages are '
        'those of its upstreams and of its table, -1 for none.',
        ('peer', 'detail'),
    ),
    LogKind.TABLE_IN_FORCE: KindInfo(
        'A routing table has replaced the one `before`; `origin` is whom '
        'it came from.',
        ('version', 'before', 'revision', 'routes', 'origin'),
    ),
    LogKind.TABLE_REJECTED: KindInfo(
        'A routing table can not be used; the one before stays in force.',
        ('problem', 'revision', 'origin'),
    ),
    LogKind.UPSTREAMS_CHANGED: KindInfo(
        'Upstreams were added, or take no more new work (`left`), or are '
        'kept though the reading lacked them (`held`).',
        ('revision', 'added', 'left', 'held', 'origin'),
    ),
    LogKind.ENTRY_REJECTED: KindInfo(
        'The registration of an upstream can not be read.', ('problem',)
    ),
    LogKind.HOSTS_CHANGED: KindInfo(
        'The registered hosts, and how many count for budgets and '
        'connections.',
        ('hosts', 'counted', 'origin'),
    ),
    LogKind.REQUEST: KindInfo(
        'One request of a caller and how it ended. `late` shards were '
        'later than the late point, `far` answers came from other regions, '
        '`detail` gives the reasons of what is missing. Lines of complete '
        'answers are left out first when there are too many.',
        (
            'request_id',
            'route',
            'table_version',
            'upstreams_revision',
            'upstreams_age_ms',
            'outcome',
            'status',
            'detail',
            'shards',
            'answered',
            'late',
            'far',
            'elapsed_ms',
        ),
    ),
    LogKind.UNREADABLE: KindInfo(
        'A caller sent what is not a request within the limits.',
        ('problem',),
    ),
    LogKind.LINES_DROPPED: KindInfo(
        '`count` lines were left out since the last such line.', ('count',)
    ),
}


def format_event_page() -> str:
    """Return docs/events.md."""
    lines = [
        '# Log lines of a gateway',
        '',
        'Made from `rudderrock/gateway/_log.py`; a scenario compares them.',
        '',
        'Each line on standard output is one JSON object with `at` (seconds',
        'since 1970), `host`, `kind` and the fields below. At most '
        f'{GOOD_LINES_PER_S:g} lines',
        'a second tell of complete answers, '
        f'{BAD_LINES_PER_S:g} of all other requests and',
        f'{BELIEF_LINES_PER_S:g} of the rest; what is left out is counted.',
        '',
        '| kind | fields | what it tells |',
        '| --- | --- | --- |',
    ]
    for kind, info in KIND_INFO.items():
        fields = ', '.join(f'`{name}`' for name in info.fields)
        lines.append(f'| `{kind.value}` | {fields} | {info.text} |')
    return '\n'.join(lines) + '\n'


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
        self._good = _Bucket(clock, GOOD_LINES_PER_S)
        self._bad = _Bucket(clock, BAD_LINES_PER_S)
        self._belief = _Bucket(clock, BELIEF_LINES_PER_S)

    def record(self, kind: LogKind, **fields: Any) -> None:
        """Write a line on what the process does or believes."""
        self._write(self._belief, kind, fields)

    def record_request(self, good: bool, **fields: Any) -> None:
        """Write the line of one request; the bad ones have own room."""
        bucket = self._good if good else self._bad
        self._write(bucket, LogKind.REQUEST, fields)

    def _write(
        self, bucket: _Bucket, kind: LogKind, fields: dict[str, Any]
    ) -> None:
        if not bucket.try_take():
            self.dropped += 1
            return
        if self.dropped > self._told:
            self._emit(
                LogKind.LINES_DROPPED, {'count': self.dropped - self._told}
            )
            self._told = self.dropped
        self._emit(kind, fields)

    def _emit(self, kind: LogKind, fields: dict[str, Any]) -> None:
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
