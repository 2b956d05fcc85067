"""Kinds of log lines, their meaning and their fields."""

import dataclasses
import enum

# Maximum number of lines per second for each class: requests with a complete
# answer, all other requests, and all other events.
SUCCESS_LINES_PER_S = 50.0
FAILURE_LINES_PER_S = 100.0
STATE_LINES_PER_S = 50.0


class LogKind(enum.Enum):
    """Kinds of log lines, described in docs/events.md."""

    STARTING = 'starting'
    SETTINGS_IGNORED = 'settings_ignored'
    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    ENDED = 'ended'
    DEFECT = 'defect'
    ADDRESS_IN_USE = 'address_in_use'
    ADDRESS_BOUND = 'address_bound'
    MEMORY_HIGH = 'memory_high'
    CONNECTIONS_LIMITED = 'connections_limited'
    RELOADED = 'reloaded'
    READY = 'ready'
    NOT_READY = 'not_ready'
    DEPENDENCY_LOST = 'dependency_lost'
    DEPENDENCY_BACK = 'dependency_back'
    HOST_SLOW = 'host_slow'
    TABLE_IN_FORCE = 'table_in_force'
    TABLE_REJECTED = 'table_rejected'
    REGIONS_UNKNOWN = 'regions_unknown'
    UPSTREAMS_CHANGED = 'upstreams_changed'
    ENTRY_REJECTED = 'entry_rejected'
    EVACUATIONS_CHANGED = 'evacuations_changed'
    HOSTS_CHANGED = 'hosts_changed'
    QUARANTINE_CHANGED = 'quarantine_changed'
    QUARANTINE_SAVED = 'quarantine_saved'
    READING_FROM = 'reading_from'
    PEER_SKIPPED = 'peer_skipped'
    COORDINATORS_CHANGED = 'coordinators_changed'
    SOURCE_FAILED = 'source_failed'
    SOURCE_RETURNED = 'source_returned'
    QUOTA_CHANGED = 'quota_changed'
    QUOTA_LEARNED = 'quota_learned'
    EVICTED = 'evicted'
    REQUEST = 'request'
    UNREADABLE = 'unreadable'
    LINES_DROPPED = 'lines_dropped'


# Kinds of which a process writes one line at most, so that no limit is needed.
UNLIMITED_KINDS = frozenset(
    {
        LogKind.STARTING,
        LogKind.STARTED,
        LogKind.STOPPING,
        LogKind.STOPPED,
        LogKind.ENDED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class KindInfo:
    """Description and fields of a kind of log line."""

    description: str
    fields: tuple[str, ...]
    # Fields that a line has only if they apply.
    optional_fields: tuple[str, ...] = ()


KIND_INFO: dict[LogKind, KindInfo] = {
    LogKind.STARTING: KindInfo(
        'The process has read its settings and does not listen yet. `build` '
        'is as in `started`; `memory_limit_mb` is the size at which the '
        'process is killed from outside, 0 if unknown.',
        ('pid', 'python', 'architecture', 'build', 'memory_limit_mb'),
    ),
    LogKind.SETTINGS_IGNORED: KindInfo(
        'Optional settings that cannot be used, or that are given twice, are '
        'ignored: their defaults hold, or the last value. `problems` are the '
        'first 20 of `count`.',
        ('problems', 'count'),
    ),
    LogKind.STARTED: KindInfo(
        'The process is listening. `place` is the zone of this host, and '
        '`build` the output of `deploy/build_id.sh` for the sources that it '
        'was built from, empty if it was not built.',
        ('place', 'build'),
    ),
    LogKind.STOPPING: KindInfo(
        'A graceful shutdown has started with `busy` requests in flight, '
        'because of the signal `cause`.',
        ('busy', 'cause'),
    ),
    LogKind.STOPPED: KindInfo(
        'The process ends after a graceful shutdown. Since it started, '
        '`refused` requests were not taken because of it, and `unfinished` '
        'were answered by 504, or by 503 if not sent, because no time was '
        'left. `unanswered` lacked a reply when their connections were '
        'closed, and got the same. Callers had not read `unsent_bytes`.',
        ('refused', 'unfinished', 'unanswered', 'unsent_bytes'),
    ),
    LogKind.ENDED: KindInfo(
        'The process ends without a graceful shutdown, with the exit code '
        '`code`; `problem` is the reason. `host` is empty if the settings '
        'could not be read. A process whose last line is neither `stopped` '
        'nor `ended` was killed.',
        ('code', 'problem'),
    ),
    LogKind.DEFECT: KindInfo(
        'A part of the process failed with the exception `problem`, whose '
        'traceback follows; the process goes on. `where` is the part.',
        ('where', 'problem'),
    ),
    LogKind.ADDRESS_IN_USE: KindInfo(
        'An `address` of this host cannot be bound. It is tried again: for '
        'the `purpose` metrics as long as the process runs, while it serves '
        'all the same, and for other purposes for a few seconds, before '
        'which it does not serve.',
        ('purpose', 'address', 'problem'),
    ),
    LogKind.ADDRESS_BOUND: KindInfo(
        'An address that could not be bound is bound after `waited_s` '
        'seconds.',
        ('purpose', 'address', 'waited_s'),
    ),
    LogKind.MEMORY_HIGH: KindInfo(
        'The largest size of the process so far, `peak_mb`, has passed a '
        'further step towards `limit_mb`, at which it is killed from outside.',
        ('peak_mb', 'limit_mb'),
    ),
    LogKind.CONNECTIONS_LIMITED: KindInfo(
        'The accepted connections at `listener` have reached their limit '
        '(`state` is `full`), or there is room again (`normal`). Since the '
        'start, `closed` idle or incomplete ones made room, and `refused` '
        'found none.',
        ('listener', 'state', 'limit', 'closed', 'refused'),
    ),
    LogKind.RELOADED: KindInfo(
        'The settings were read again after SIGHUP. They take effect at the '
        'next start; `problem` describes an error in them.',
        ('problem',),
    ),
    LogKind.READY: KindInfo(
        'The load balancer is told to send requests to this host.',
        ('state',),
    ),
    LogKind.NOT_READY: KindInfo(
        'The load balancer is told to send no requests to this host: the '
        'process is stopping, or has no routes or upstreams yet.',
        ('state',),
    ),
    LogKind.DEPENDENCY_LOST: KindInfo(
        'The source of routes and upstreams no longer answers this host.',
        ('dependency', 'call', 'detail'),
    ),
    LogKind.DEPENDENCY_BACK: KindInfo(
        'The source answers this host again after `away_s` seconds.',
        ('dependency', 'away_s'),
    ),
    LogKind.SOURCE_FAILED: KindInfo(
        'A call to the source for the registration of this host, or for the '
        'data that operators write, failed. Each such failure is logged, '
        'whereas `dependency_lost` is logged once for a whole outage.',
        ('call', 'detail'),
    ),
    LogKind.SOURCE_RETURNED: KindInfo(
        'The source has been restored from an older copy. It is now in this '
        '`era`, at this `revision`, and entries missing from the copy are '
        'expected to be written again. The upstreams in use were read at '
        '`revision_before` of `era_before`; `origin` is the source or the '
        'peer that reported the new era.',
        ('era', 'revision', 'era_before', 'revision_before', 'origin'),
    ),
    LogKind.READING_FROM: KindInfo(
        'This host now reads changes from the host `peer`, or from the '
        'source if `peer` is empty.',
        ('peer', 'zone'),
    ),
    LogKind.PEER_SKIPPED: KindInfo(
        'Another host is skipped for a time, because it did not answer, had '
        'no recent data (`detail` then gives the ages of its upstreams and '
        'of its table, -1 if it has none), or rejected a query.',
        ('peer', 'detail'),
    ),
    LogKind.COORDINATORS_CHANGED: KindInfo(
        'This host now sends wide queries, which are queries over many '
        'shards, for a zone to `hosts`, and sent them to those in `before`; '
        '`detail` gives the reason for each host that is no longer used.',
        ('zone', 'before', 'hosts', 'detail'),
    ),
    LogKind.HOST_SLOW: KindInfo(
        'This host has become slower than usual (`slow`), or no longer is. '
        'Its event loop runs late by `delay_ms` on average, and sending the '
        'requests of wide queries takes `slowness` times as long as usual. '
        'A slow host refuses wide queries that it would delay.',
        ('slow', 'delay_ms', 'slowness'),
    ),
    LogKind.TABLE_IN_FORCE: KindInfo(
        'A routing table has replaced version `before`; `origin` is the '
        'source or the peer that sent it.',
        ('version', 'before', 'era', 'revision', 'routes', 'origin'),
    ),
    LogKind.TABLE_REJECTED: KindInfo(
        'A routing table is invalid; the previous one stays in use.',
        ('problem', 'era', 'revision', 'origin'),
    ),
    LogKind.REGIONS_UNKNOWN: KindInfo(
        'Routes of a table name a region that is missing from the settings; '
        'there are no upstreams in it.',
        ('version', 'region', 'routes'),
    ),
    LogKind.UPSTREAMS_CHANGED: KindInfo(
        'Upstreams were added (`added`), no longer accept new requests '
        '(`left`), or are kept although the reading did not contain them '
        '(`held`).',
        ('era', 'revision', 'added', 'left', 'held', 'origin'),
    ),
    LogKind.ENTRY_REJECTED: KindInfo(
        'An entry of an upstream, a host, an evacuated zone or a quarantined '
        'request is invalid and left out. `problem` gives its key, or the '
        'peer that sent it, and the reason. An entry is named once for as '
        'long as it stays so; of many, some are only counted.',
        ('problem',),
    ),
    LogKind.EVACUATIONS_CHANGED: KindInfo(
        'Zones whose upstreams get no more requests (`begun`) or get '
        'requests again (`ended`), as of a revision of the source; `unknown` '
        'are evacuated zones that are missing from the settings.',
        ('era', 'revision', 'begun', 'ended', 'unknown', 'origin'),
    ),
    LogKind.HOSTS_CHANGED: KindInfo(
        'The registered hosts, and the number of hosts (`counted`) that '
        'share budgets and connections.',
        ('hosts', 'counted', 'origin'),
    ),
    LogKind.QUARANTINE_CHANGED: KindInfo(
        'The state of the request with this `digest`, which has crashed '
        'upstreams, changed from `before` to `standing`; `trials` counts the '
        'rounds of attempts in which upstreams crashed. A suspect request is '
        'sent to one upstream at a time, a quarantined one to none. `origin` '
        'is the host that reported the change, or `own`.',
        ('digest', 'before', 'standing', 'trials', 'origin'),
    ),
    LogKind.QUOTA_CHANGED: KindInfo(
        'This host keeps the quota of `team`. From now on hosts ask it before '
        'they admit a request of the team (`ask_first`), or admit requests by '
        'themselves and report them (`free`). `count` requests were admitted '
        'in the window, of `limit`. `coverage` is below 1 if this host stands '
        "in for voters that part of the hosts can't reach.",
        ('team', 'standing', 'count', 'limit', 'coverage'),
    ),
    LogKind.QUOTA_LEARNED: KindInfo(
        'This host keeps the quota of `team`, or stands in for a voter, and '
        'has copied from `origin` what that one has counted: `copied` '
        'requests. It counts `count` now.',
        ('team', 'origin', 'copied', 'count'),
    ),
    LogKind.QUARANTINE_SAVED: KindInfo(
        'Records of requests that have crashed upstreams were saved in the '
        'source, or removed from it; `written` and `removed` count them. They '
        'outlive the loss of all hosts. If `problem` is not empty, the source '
        'did not confirm it, and it is repeated.',
        ('written', 'removed', 'problem'),
    ),
    LogKind.EVICTED: KindInfo(
        'The bytes held for requests and replies, `held_bytes`, exceeded '
        'their limit. The largest of `owner`, which held most, was given up: '
        'a reply that was being read or written, or a request that was being '
        'read and is refused. `owner` is a team, else a service or a route.',
        ('owner', 'size_bytes', 'held_bytes'),
    ),
    LogKind.REQUEST: KindInfo(
        'One request of a caller and its outcome. `late` is the number of '
        'shards that had not answered at the hedge threshold, and `far` the '
        'number of answers from other regions. `extras` counts the requests '
        'sent beyond the first one to each shard, `denied` those that the '
        'budget did not allow, and `lost` those whose connection ended after '
        'they had been sent. `digest` is the same for all requests of a team '
        'with the same content; it is given if the request lost attempts or '
        'is in quarantine. `detail` lists what is missing and the reasons. If '
        'too many shards were missing when the latency goal was reached, '
        '`waited_for` lists them with the upstreams that had been asked. '
        'Lines about complete answers have a lower rate limit than lines '
        'about other requests. `team` is given if a key has identified one. '
        'For a request over the quota, `quota_by` is the host that decided, '
        '`quota_limit` what it allowed, and `quota_age_ms` the age of what it '
        'or this host knew. `budget_wait_ms` is the longest time for which '
        'a shard waited until the budget allowed a retry, if one did.',
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
        (
            'team',
            'quota_by',
            'quota_limit',
            'quota_age_ms',
            'budget_wait_ms',
        ),
    ),
    LogKind.UNREADABLE: KindInfo(
        'A caller sent data that is not a valid request within the limits.',
        ('problem',),
    ),
    LogKind.LINES_DROPPED: KindInfo(
        '`count` lines were dropped since the last line of this kind.',
        ('count',),
    ),
}


def format_event_page() -> str:
    """Return the content of docs/events.md."""
    lines = [
        '# Log lines of a gateway',
        '',
        'Made from `rudderrock/gateway/_events.py`; a test compares them.',
        '',
        'Each line on standard output is one JSON object with `at` (seconds',
        'since 1970), `host`, `kind` and the fields below. At most '
        f'{SUCCESS_LINES_PER_S:g} lines',
        'per second are about complete answers, '
        f'{FAILURE_LINES_PER_S:g} about other requests and',
        f'{STATE_LINES_PER_S:g} about other events; dropped ones are counted.',
        '',
        '| kind | fields | meaning |',
        '| --- | --- | --- |',
    ]
    for kind, info in KIND_INFO.items():
        names = (*info.fields, *info.optional_fields)
        fields = ', '.join(f'`{name}`' for name in names)
        lines.append(f'| `{kind.value}` | {fields} | {info.description} |')
    return '\n'.join(lines) + '\n'
