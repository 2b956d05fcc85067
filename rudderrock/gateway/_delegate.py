"""Handing wide queries to the few hosts of a zone that are best at them.

A query over many shards costs its host the link that all parts come by, and
a connection to each shard. If a few hosts of a zone send all wide queries,
their connections are used often enough to stay open, what they learn of slow
upstreams serves more queries, and a host with a thin link carries only the
merged answer. Where the nearest upstreams of many shards are in the other
zone of the region, a host there asks them and sends back merged records.
"""

import asyncio
import collections
from collections.abc import Callable
import math

import result

from rudderrock import core
from rudderrock.gateway import _caller as caller
from rudderrock.gateway import _dialect as dialect
from rudderrock.gateway import _events as events
from rudderrock.gateway import _fleet as fleet
from rudderrock.gateway import _forward as forward
from rudderrock.gateway import _log as log
from rudderrock.gateway import _messages as messages
from rudderrock.gateway import _place as place
from rudderrock.gateway import _pursuit as pursuit
from rudderrock.gateway import _replicas as replicas
from rudderrock.gateway import _routing as routing

# A query over at least so many shards is wide.
WIDE_SHARDS = 48
# One host in so many of a zone takes wide queries, and two at least, so
# that the loss of one leaves another.
HOSTS_EACH = 5
LEAST_HOSTS = 2
# A host that didn't take or lost a query is passed over for so long, twice
# as long for each time in a row, in seconds; so is one that holds a query
# longer than its goal and a little.
SKIP_S = 4.0
LONGEST_SKIP_S = 32.0
SUSPECT_AFTER_S = 0.1
# What the asking host sends along: the version of its table, and for how
# long it has had the query.
VERSION = b'rudderrock-table-version'
ELAPSED = b'rudderrock-elapsed-ms'
# The shards that are asked of a host, by commas, if not all of the query's.
SHARDS = b'rudderrock-shards'
# How many of them are enough.
LEAST = b'rudderrock-least'
# Marks the reply of a host that has not begun on the query.
NOT_TAKEN = b'rudderrock-not-taken'
# These are never passed on to upstreams.
OWN_HEADERS = frozenset({VERSION, ELAPSED, SHARDS, LEAST})
_CONNECTIONS = 16
# Fewer shards than this are not worth a message to another zone.
LEAST_SHARDS = 8
# What a host that asks another leaves it less time by, in seconds: the way
# there and back, and the merging.
HOP_S = 0.012
# What another host's failure is to the log of this one; else it is lost.
_OUTCOMES = {
    503: forward.Outcome.NOT_RUN,
    504: forward.Outcome.TIMED_OUT,
}


class Delegation:
    """Chooses a host for each wide query and brings back its answer."""

    def __init__(
        self,
        hosts: fleet.Fleet,
        names: dialect.HeaderNames,
        clock: core.Clock,
        events: log.EventLog,
        get_version: Callable[[], int],
    ):
        self._hosts = hosts
        self._names = names
        self._clock = clock
        self._events = events
        self._get_version = get_version
        self._callers: dict[str, caller.HttpCaller] = {}
        self._skip: dict[core.HostId, float] = {}
        self._failures: collections.Counter[core.HostId] = (
            collections.Counter()
        )

    def choose(self, request_id: bytes) -> fleet.HostEntry | None:
        """Return who shall run a wide query, None for this host itself."""
        own = self._hosts.own
        able = self._list_open(own.zone)
        if any(each.host == own.host for each in able):
            return None
        return _pick(able, request_id)

    def is_able(self) -> bool:
        """Tell whether this host takes the wide queries of its zone."""
        own = self._hosts.own
        return own in list_able(self._hosts, own.zone)

    async def run_part(
        self,
        zone: core.ZoneId,
        call: pursuit.Call,
        shards: tuple[routing.ServiceName, ...],
        least: int,
    ) -> forward.Gathered | None:
        """Have a host of a zone ask some shards; None if it hasn't begun.

        At the goal, `least` answers are enough.
        """
        entry = _pick(self._list_open(zone), call.request_id)
        if entry is None:
            return None
        more = [
            (SHARDS, ','.join(shards).encode()),
            (LEAST, b'%d' % least),
        ]
        answer = await self._ask(entry, call, more)
        match answer:
            case result.Ok(reply):
                return self._read_part(entry, shards, reply)
            case result.Err(caller.NoReply(sent=False)):
                return None
            case result.Err(problem):
                return _miss_all(shards, f'{entry.host}: {problem.detail}')

    def _list_open(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        now = self._clock.now()
        return [
            each
            for each in list_able(self._hosts, zone)
            if self._skip.get(each.host, now) <= now
        ]

    def _read_part(
        self,
        entry: fleet.HostEntry,
        shards: tuple[routing.ServiceName, ...],
        reply: messages.Reply,
    ) -> forward.Gathered:
        if reply.status != 200:
            return _miss_all(shards, f'{entry.host}: status {reply.status}')
        stamps = reply.get_header(self._names.part_stamps) or b''
        signed = [each.strip() for each in stamps.split(b',')]
        missing = len(shards) - len(signed)
        detail = f'{missing} missing by {entry.host}' if missing else ''
        return forward.Gathered(
            stamps=signed,
            bodies=[reply.body],
            shards=len(shards),
            late=0,
            far=0,
            detail=detail,
            may_have_run=True,
        )

    async def run(
        self, entry: fleet.HostEntry, call: pursuit.Call
    ) -> forward.Result | None:
        """Have a host run a query; None if it has not begun on it."""
        answer = await self._ask(entry, call, [])
        match answer:
            case result.Ok(reply):
                return self._read(entry, reply)
            case result.Err(caller.NoReply(sent=False)):
                return None
            case result.Err(problem):
                timed_out = self._clock.now() >= call.end
                return forward.fail(
                    self._names, call.request_id, timed_out, problem.detail
                )

    async def _ask(
        self,
        entry: fleet.HostEntry,
        call: pursuit.Call,
        more: messages.Headers,
    ) -> result.Result[messages.Reply, caller.NoReply]:
        """Send a query to a host, and suspect it if it takes too long.

        A host that has not begun on it counts as one that got nothing.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        elapsed_s = now - call.request.arrived + HOP_S
        headers = [
            *call.head,
            (self._names.deadline_ms, call.get_left_ms(now)),
            (VERSION, b'%d' % self._get_version()),
            (ELAPSED, b'%d' % int(elapsed_s * 1000)),
            *more,
        ]
        suspect = loop.call_later(
            call.route.goal_s + SUSPECT_AFTER_S,
            self._skip_host,
            entry,
            'no answer in time',
        )
        try:
            answer = await self._get_caller(entry).call(
                call.request.method,
                call.request.target,
                b'',
                call.end - now,
                headers,
                call.request_id,
            )
        finally:
            suspect.cancel()
        match answer:
            case result.Ok(reply) if reply.get_header(NOT_TAKEN) is None:
                self._failures.pop(entry.host, None)
                return answer
            case result.Ok():
                problem = caller.NoReply(False, 'did not take a query')
            case result.Err(problem):
                pass
        self._skip_host(entry, problem.detail)
        return result.Err(problem)

    def close(self) -> None:
        """Close the connections to other hosts."""
        for each in self._callers.values():
            each.close()

    def _read(
        self, entry: fleet.HostEntry, reply: messages.Reply
    ) -> forward.Result:
        passed = messages.pass_on(reply)
        detail = f'by {entry.host}'
        if reply.status != 200:
            outcome = _OUTCOMES.get(reply.status, forward.Outcome.LOST)
            return forward.Result(passed, outcome, detail)
        missing = int(reply.get_header(self._names.missing_parts) or b'0')
        stamps = reply.get_header(self._names.part_stamps) or b''
        answered = stamps.count(b',') + 1
        outcome = forward.Outcome.ANSWERED
        if missing:
            outcome = forward.Outcome.PARTIAL
        return forward.Result(
            passed,
            outcome,
            detail,
            shards=answered + missing,
            answered=answered,
        )

    def _get_caller(self, entry: fleet.HostEntry) -> caller.HttpCaller:
        found = self._callers.get(entry.address)
        if found is None:
            found = caller.HttpCaller(
                core.split_address(entry.address), _CONNECTIONS, self._names
            )
            self._callers[entry.address] = found
        return found

    def _skip_host(self, entry: fleet.HostEntry, detail: str) -> None:
        wait_s = SKIP_S * 2 ** self._failures[entry.host]
        self._failures[entry.host] += 1
        self._skip[entry.host] = self._clock.now() + min(
            wait_s, LONGEST_SKIP_S
        )
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )


def split_shards(
    book: replicas.ReplicaBook,
    call: pursuit.Call,
    shards: tuple[routing.ServiceName, ...],
) -> dict[core.ZoneId | None, tuple[routing.ServiceName, ...]]:
    """Group shards by the zone of this region that shall ask them.

    None stands for this host itself: for shards with an upstream in its
    own zone, or with none in the region.
    """
    groups: dict[core.ZoneId | None, list[routing.ServiceName]] = {}
    for shard in shards:
        best = book.choose(shard, call.late_s)
        zone = None
        if best is not None and best.distance == place.SAME_REGION:
            zone = best.endpoint.zone
        groups.setdefault(zone, []).append(shard)
    for zone, group in list(groups.items()):
        if zone is not None and len(group) < LEAST_SHARDS:
            groups.setdefault(None, []).extend(groups.pop(zone))
    return {zone: tuple(group) for zone, group in groups.items()}


def list_able(hosts: fleet.Fleet, zone: core.ZoneId) -> list[fleet.HostEntry]:
    """Return the hosts of a zone that take wide queries, best first."""
    near = hosts.rank_zone(zone)
    count = max(LEAST_HOSTS, math.ceil(len(near) / HOSTS_EACH))
    # A stable sort: equals stay in the order of their hashes.
    return sorted(near, key=lambda each: -each.capacity)[:count]


def refuse_delegated(names: dialect.HeaderNames) -> messages.Reply:
    """Return the reply that sends a query back to the host it came from."""
    return messages.Reply(503, [(NOT_TAKEN, b'1'), (names.not_run, b'1')])


def _pick(
    able: list[fleet.HostEntry], request_id: bytes
) -> fleet.HostEntry | None:
    """Return the host that a query falls to, None if there is none."""
    if not able:
        return None
    return able[fleet.rank_name(request_id) % len(able)]


def _miss_all(
    shards: tuple[routing.ServiceName, ...], detail: str
) -> forward.Gathered:
    return forward.Gathered([], [], len(shards), 0, 0, detail, True)
