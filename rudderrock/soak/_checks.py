"""Checks of the gateway's guarantees after a soak run.

The checks compare the replies that callers received with the requests that
upstreams ran.
"""

import bisect
import collections
import dataclasses
import hashlib

from rudderrock import platform
from rudderrock import standins

TOP_K = 4
MIN_COVERAGE = 0.5
MAX_ATTEMPTS = 2
# Statuses by which the gateway guarantees that a request has not run and will
# not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Seconds in which the hosts must quarantine a request after it has crashed
# three upstreams.
LETHAL_KNOWN_S = 4.0
# Copies of it, sent in undisturbed periods, that may still reach upstreams
# after that. These are canaries, each of which is delayed until its service
# has an upstream to spare.
MAX_LATE_LETHAL = 3
# Seconds after a table version is written. Requests sent later than that, in
# undisturbed periods, must be served by it or a later version.
TABLE_DEADLINE_S = 3.0
# Seconds after an upstream starts to drain. Requests sent later than that, in
# undisturbed periods, must not reach it.
DRAIN_DEADLINE_S = 3.0
_RECORDS_PER_REPLY = 6
_RECORD_BYTES = 16


def make_records(upstream: str, request_id: str) -> bytes:
    """Return the records in an upstream's reply to one request."""
    return b''.join(
        hashlib.md5(
            f'{upstream}/{request_id}/{number}'.encode(),
            usedforsecurity=False,
        ).digest()
        for number in range(_RECORDS_PER_REPLY)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee and the evidence for it."""

    guarantee: str
    detail: str


@dataclasses.dataclass(slots=True)
class Sent:
    """One request of a caller and the reply to it.

    `host` is the number of the host and `at` the time of sending. `headers`
    are those of the reply and `reply` is its body. `status` is 0 if the
    connection ended without a reply. Times are in seconds, by the clock of
    the event loop. `calm` is whether the request was sent and answered in an
    undisturbed period: no unplanned fault was active while it was in flight
    or in the 4 s before it was sent.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    host: int
    incarnation: int
    at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    reply: bytes = b''
    ended: float = 0.0
    calm: bool = False

    def get_header(self, name: bytes) -> str:
        """Return a header of the reply, or an empty string."""
        return self.headers.get(name.decode('ascii'), '')

    @property
    def is_non_repeatable(self) -> bool:
        """Return whether the request may run at most once."""
        return self.target.startswith('/once/')


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """The observations of one soak run.

    `sent` are the callers' requests. `runs` are pairs of an upstream and a
    request that it ran. `arrivals` holds, by service, the time and the id of
    each request that reached an upstream. `shard_sets` are the sets of shards
    that any table version named. `services` is the service of each upstream.
    `moves` are the successive services of the route `/moved/`, and `moved_at`
    the times at which each was written to the table. An extra request is any
    but the first copy of a request id that reaches a service. In each window
    of `window_s` seconds a service may receive `slack` + `ratio` * n of them,
    where n is the number of requests that reached it and that callers sent in
    this window or the one before. `crashes` holds the times at which upstreams
    crashed, by the target of the lethal request. `drained_at` is when each
    draining upstream registered that it drains. All times are in seconds, by
    the clock of the event loop.
    """

    sent: list[Sent]
    runs: list[tuple[str, standins.WireRun]]
    arrivals: dict[str, list[tuple[float, str]]]
    shard_sets: list[frozenset[str]]
    services: dict[str, str]
    moves: list[str]
    ratio: float
    slack: float
    window_s: float
    crashes: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    moved_at: list[float] = dataclasses.field(default_factory=list)
    drained_at: dict[str, float] = dataclasses.field(default_factory=dict)


def check_records(records: Records) -> list[Violation]:
    """Return all violated guarantees."""
    sent_by_id = {each.request_id: each for each in records.sent}
    runs_by_id = collections.defaultdict(list)
    for upstream, run in records.runs:
        runs_by_id[run.request_id].append((upstream, run))
    violations: list[Violation] = []
    for sent in records.sent:
        violations += _check_sent(records, sent, runs_by_id[sent.request_id])
    violations += _check_unrequested(sent_by_id, records.runs)
    violations += _check_budget(records, sent_by_id)
    violations += _check_version_order(records)
    violations += _check_table_deadline(records)
    violations += _check_draining(records, sent_by_id)
    for target, crashes in records.crashes.items():
        violations += _check_lethal(records, target, sorted(crashes))
    return violations


def _check_sent(records: Records, sent: Sent, runs) -> list[Violation]:
    violations = []

    def add_violation(guarantee: str, detail: str) -> None:
        violations.append(Violation(guarantee, f'{sent.request_id}: {detail}'))

    if sent.is_non_repeatable and len(runs) > 1:
        add_violation('at most once', f'ran {len(runs)} times')
    if (
        sent.is_non_repeatable
        and runs
        and sent.status in NOT_EXECUTED_STATUSES
    ):
        add_violation(
            'a refusal is true', f'{sent.status}, but the request ran'
        )
    # The limit applies to the number of upstreams, not to the number of runs.
    # If a host that queries a shard on behalf of another host sends no interim
    # reply in time, both hosts may send the request to the same upstream.
    upstreams = {name for name, _ in runs}
    counts = collections.Counter(records.services[name] for name in upstreams)
    if counts and max(counts.values()) > MAX_ATTEMPTS:
        add_violation('attempts are bounded', str(counts))
    if sent.status == 200:
        problem = _find_reply_problem(records, sent)
        if problem:
            add_violation('each caller its own whole answer', problem)
    if sent.status == 0 and sent.calm and runs:
        add_violation(
            'a planned stop cuts nothing',
            f'no reply, closed at {sent.ended:.3f}',
        )
    return violations


def _find_reply_problem(records: Records, sent: Sent) -> str:
    """Return what is wrong with a reply, or an empty string."""
    if not sent.target.startswith('/all/'):
        stamp = sent.get_header(platform.NAMES.stamp)
        upstream, _, request_id = stamp.partition('.')
        if request_id != sent.request_id:
            return f'reply to request {request_id}'
        expected = make_records(upstream, request_id)
        return '' if sent.reply == expected else 'body is not the records'
    stamps = sent.get_header(platform.NAMES.part_stamps).split(', ')
    parts = [stamp.partition('.') for stamp in stamps]
    if any(part[2] != sent.request_id for part in parts):
        return f'parts of another request: {stamps}'
    shards = [records.services.get(part[0], '?') for part in parts]
    if len(set(shards)) != len(shards):
        return f'several parts of one shard: {shards}'
    missing = sent.get_header(platform.NAMES.missing_parts) or '0'
    shard_count = len(shards) + int(missing)
    matching = [
        each
        for each in records.shard_sets
        if set(shards) <= each and len(each) == shard_count
    ]
    if not matching:
        return f'no version of {shard_count} shards has {sorted(shards)}'
    if len(shards) < MIN_COVERAGE * shard_count:
        return f'coverage too low: {len(shards)} of {shard_count}'
    expected_records = _pick_top_records(
        [part[0] for part in parts], sent.request_id
    )
    return '' if sent.reply == expected_records else 'not the greatest records'


def _pick_top_records(upstreams: list[str], request_id: str) -> bytes:
    """Return the greatest `TOP_K` records.

    Uses no code of the gateway, so that defects of its merge are detected.
    """
    body = b''.join(make_records(name, request_id) for name in upstreams)
    records = [
        body[start : start + _RECORD_BYTES]
        for start in range(0, len(body), _RECORD_BYTES)
    ]
    return b''.join(sorted(records, reverse=True)[:TOP_K])


def _check_unrequested(sent_by_id, runs) -> list[Violation]:
    violations = []
    for upstream, run in runs:
        sent = sent_by_id.get(run.request_id)
        if sent is None:
            detail = f'{upstream} ran {run.request_id!r}'
        elif (run.method, run.target, run.body) != (
            sent.method,
            sent.target,
            sent.body,
        ):
            detail = f'{upstream} ran {run} for {sent.request_id}'
        else:
            continue
        violations.append(
            Violation('requests reach upstreams unchanged', detail)
        )
    return violations


def _check_budget(records: Records, sent_by_id) -> list[Violation]:
    """Check the bound on extra requests in a sliding window per service."""
    violations = []
    for service, arrivals in records.arrivals.items():
        seen: set[str] = set()
        extra_times = []
        for at, request_id in sorted(arrivals):
            if request_id in seen:
                extra_times.append(at)
            seen.add(request_id)
        first_times = sorted(
            sent_by_id[name].at for name in seen if name in sent_by_id
        )
        for end in extra_times:
            start = end - records.window_s
            count = sum(start < at <= end for at in extra_times)
            first_count = sum(
                start - records.window_s < at <= end for at in first_times
            )
            if count > records.ratio * first_count + records.slack:
                detail = (
                    f'{service}: {count} extra for {first_count} first '
                    f'at {end:.1f}'
                )
                violations.append(Violation('extra load is bounded', detail))
                break
    return violations


def _list_served_versions(records: Records) -> list[tuple[Sent, int]]:
    """Return the answered requests to `/moved/` with their table versions.

    A version is given as the index in `moves` of the service that answered.
    """
    rank = {service: number for number, service in enumerate(records.moves)}
    served = []
    for sent in records.sent:
        if sent.target.startswith('/moved/') and sent.status == 200:
            stamp = sent.get_header(platform.NAMES.stamp)
            upstream = stamp.partition('.')[0]
            served.append((sent, rank[records.services[upstream]]))
    return served


def _check_version_order(records: Records) -> list[Violation]:
    """Check that no process reverts to an older table version."""
    violations = []
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    served = _list_served_versions(records)
    for sent, number in sorted(served, key=lambda pair: pair[0].ended):
        process = (sent.host, sent.incarnation)
        seen, at = newest.get(process, (-1, 0.0))
        if number < seen and sent.at > at:
            detail = f'{sent.request_id}: version {number} after {seen}'
            violations.append(Violation('a table never goes back', detail))
        if number > seen:
            newest[process] = (number, sent.ended)
    return violations


def _check_table_deadline(records: Records) -> list[Violation]:
    """Check that hosts apply a table version before the deadline."""
    violations = []
    for sent, number in _list_served_versions(records):
        due_count = bisect.bisect(records.moved_at, sent.at - TABLE_DEADLINE_S)
        if sent.calm and number < due_count - 1:
            detail = (
                f'{sent.request_id}: version {number} at host {sent.host}, '
                f'{due_count - 1} was written {TABLE_DEADLINE_S:g} s earlier'
            )
            violations.append(Violation('a table change is in force', detail))
    return violations


def _check_draining(records: Records, sent_by_id) -> list[Violation]:
    """Check that a draining upstream receives no new requests."""
    violations = []
    for upstream, run in records.runs:
        sent = sent_by_id.get(run.request_id)
        drained_at = records.drained_at.get(upstream)
        if sent is None or drained_at is None or not sent.calm:
            continue
        drain_age_s = sent.at - drained_at
        if drain_age_s > DRAIN_DEADLINE_S:
            detail = (
                f'{run.request_id} at {upstream}, '
                f'sent {drain_age_s:.1f} s after the drain'
            )
            guarantee = 'no new work to a leaving upstream'
            violations.append(Violation(guarantee, detail))
    return violations


def _check_lethal(
    records: Records, target: str, crashes: list[float]
) -> list[Violation]:
    """Check that a request that crashes upstreams is quarantined."""
    if len(crashes) < 3:
        return []
    deadline = crashes[2] + LETHAL_KNOWN_S
    copies = {
        each.request_id: f'host {each.host}.{each.incarnation}'
        for each in records.sent
        if each.target == target and each.calm
    }
    late = [
        f'{request_id} by {copies[request_id]} at {at:.2f}'
        for arrivals in records.arrivals.values()
        for at, request_id in arrivals
        if at > deadline and request_id in copies
    ]
    if len(late) <= MAX_LATE_LETHAL:
        return []
    guarantee = 'a request that crashes upstreams is kept from them'
    return [
        Violation(
            guarantee, f'{len(late)} copies after {deadline:.1f}: {late}'
        )
    ]
