"""Every kind of log line, what it tells and the fields it has."""

import dataclasses
import enum

# Lines a second for requests that went well, for all others, and for what a
# process comes to believe.
GOOD_LINES_PER_S = 50.0
BAD_LINES_PER_S = 100.0
BELIEF_LINES_PER_S = 50.0


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
    REGIONS_UNKNOWN = 'regions_unknown'
    UPSTREAMS_CHANGED = 'upstreams_changed'
    ENTRY_REJECTED = 'entry_rejected'
    EVACUATIONS_CHANGED = 'evacuations_changed'
    HOSTS_CHANGED = 'hosts_changed'
    QUARANTINE_CHANGED = 'quarantine_changed'
    READING_FROM = 'reading_from'
    PEER_SKIPPED = 'peer_skipped'
    COORDINATORS_CHANGED = 'coordinators_changed'
    SOURCE_FAILED = 'source_failed'
    SOURCE_RETURNED = 'source_returned'
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
    LogKind.SOURCE_RETURNED: KindInfo(
        'The source has come back from an older copy: it is in this `era` '
        'now, at this `revision`, and what it has lost is awaited again. The '
        'upstreams in force here were read at `revision_before` of '
        '`era_before`; `origin` is who has told.',
        ('era', 'revision', 'era_before', 'revision_before', 'origin'),
    ),
    LogKind.READING_FROM: KindInfo(
        'This host now asks another one for changes; an empty `peer` means '
        'that it reads the source itself.',
        ('peer', 'zone'),
    ),
    LogKind.PEER_SKIPPED: KindInfo(
        'Another host failed to answer, had nothing fresh (the ages are '
        'those of its upstreams and of its table, -1 for none), or did not '
        'take a query.',
        ('peer', 'detail'),
    ),
    LogKind.COORDINATORS_CHANGED: KindInfo(
        'The hosts of a zone that this one now asks to run wide queries, and '
        'the ones `before`; `detail` says why each that is no longer asked is '
        'passed over.',
        ('zone', 'before', 'hosts', 'detail'),
    ),
    LogKind.TABLE_IN_FORCE: KindInfo(
        'A routing table has replaced the one `before`; `origin` is whom '
        'it came from.',
        ('version', 'before', 'era', 'revision', 'routes', 'origin'),
    ),
    LogKind.TABLE_REJECTED: KindInfo(
        'A routing table can not be used; the one before stays in force.',
        ('problem', 'era', 'revision', 'origin'),
    ),
    LogKind.REGIONS_UNKNOWN: KindInfo(
        'Routes of a table name a region that the settings do not; no '
        'upstream is there.',
        ('version', 'region', 'routes'),
    ),
    LogKind.UPSTREAMS_CHANGED: KindInfo(
        'Upstreams were added, or take no more new work (`left`), or are '
        'kept though the reading lacked them (`held`).',
        ('era', 'revision', 'added', 'left', 'held', 'origin'),
    ),
    LogKind.ENTRY_REJECTED: KindInfo(
        'The registration of an upstream can not be read.', ('problem',)
    ),
    LogKind.EVACUATIONS_CHANGED: KindInfo(
        'Zones whose upstreams get nothing from now on (`begun`) or get work '
        'again (`ended`), as of a revision of the source; `unknown` are '
        'evacuated zones that the settings do not name.',
        ('era', 'revision', 'begun', 'ended', 'unknown', 'origin'),
    ),
    LogKind.HOSTS_CHANGED: KindInfo(
        'The registered hosts, and how many count for budgets and '
        'connections.',
        ('hosts', 'counted', 'origin'),
    ),
    LogKind.QUARANTINE_CHANGED: KindInfo(
        'What is held against a request, by its `digest`, since upstreams '
        'have ended under it in so many `trials`: it was `before` and is now '
        'of this `standing`. A suspect is sent to one upstream at a time, one '
        'in quarantine to none. `origin` is who has seen it.',
        ('digest', 'before', 'standing', 'trials', 'origin'),
    ),
    LogKind.REQUEST: KindInfo(
        'One request of a caller and how it ended. `late` shards were '
        'later than the late point, `far` answers came from other regions. '
        '`extras` were sent beyond the first request of each shard, `denied` '
        'were not, for want of budget; `lost` ended with the connection after '
        'they had been sent. `digest` is the same for all requests that ask '
        'for the same on behalf of the same team; it is told of those that '
        'lost attempts or are in quarantine. `detail` names what is missing '
        'and why; `waited_for` what was missing at the goal, if that was too '
        'much to answer, and who had been asked. Lines of complete answers '
        'are left out first when there are too many.',
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
            'extras',
            'denied',
            'lost',
            'digest',
            'waited_for',
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
        'Made from `rudderrock/gateway/_events.py`; a scenario compares them.',
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
