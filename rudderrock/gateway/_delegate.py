"""Handing wide queries to the few hosts of a zone that are best at them.

A query over many shards costs its host the link that all parts come by, and
a connection to each shard. If a few hosts of a zone send all wide queries,
their connections are used often enough to stay open, what they learn of slow
upstreams serves more queries, and a host with a thin link carries only the
merged answer. Where the nearest upstreams of some shards are in another
zone, one of these hosts there asks them and sends back merged records.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import result

from rudderrock import core
from rudderrock.gateway import _caller as caller
from rudderrock.gateway import _dialect as dialect
from rudderrock.gateway import _events as events
from rudderrock.gateway import _fleet as fleet
from rudderrock.gateway import _log as log
from rudderrock.gateway import _messages as messages
from rudderrock.gateway import _pursuit as pursuit
from rudderrock.gateway import _results as results
from rudderrock.gateway import _routing as routing

# A query over at least so many shards is wide.
WIDE_SHARDS = 48
# One host in so many of a zone takes wide queries, and two at least, so
# that the loss of one leaves another.
HOSTS_EACH = 5
LEAST_HOSTS = 2
# So many of them, another choice for each host, are asked while they answer:
# more would need more connections, each of them used less often.
ASKED_HOSTS = 2
# A host that didn't take or lost a query is passed over for so long, twice
# as long for each time in a row, in seconds; so is one that holds a query
# longer than its goal and a little.
SKIP_S = 4.0
LONGEST_SKIP_S = 32.0
# One that showed no sign of having read a query may just have been busy.
SILENT_SKIP_S = 1.0
SUSPECT_AFTER_S = 0.1
# What the asking host sends along: the version of its table, and for how
# long it has had the query.
VERSION = b'rudderrock-table-version'
ELAPSED = b'rudderrock-elapsed-ms'
# The shards that are asked of a host, by commas, if not all of the query's.
SHARDS = b'rudderrock-shards'
# How many of them are enough.
LEAST = b'rudderrock-least'
# The shards, by commas, that the reply lacks.
MISSING = b'rudderrock-missing-shards'
# Marks the reply of a host that has not begun on the query.
NOT_TAKEN = b'rudderrock-not-taken'
# These are never passed on to upstreams.
OWN_HEADERS = frozenset({VERSION, ELAPSED, SHARDS, LEAST})
_CONNECTIONS = 16
# Connections to a host of another zone that are opened before they are
# needed: opening one costs a way there and back, which is a third of some
# goals, and now and then two queries need one at a time.
_WARM = 2
# How long a host keeps the idle connections of its peers, in seconds. They
# are few, and cost memory only.
PEER_IDLE_S = 60.0
# What a host that asks another leaves it less time by, in seconds, beside
# the way there and back: reading, merging and writing on a busy core.
HOP_S = 0.006
# The way there and back while it has not been measured, in seconds.
ROUND_TRIP_S = 0.006
# Time for a part, beside ways there and back, in late points of its route.
PART_ROOM = 1.1
# How much longer than there and back a host may take to show that it has
# read a query, in seconds: one that is frozen or cut off shows nothing, and
# one that is busy reads between two pieces of work. With 20 ms, a quiet day of
# khetdin-search-grown cost 0.076 for bytes between zones, with 50 ms 0.046:
# each host without a sign has its shards asked from the other zone.
SIGN_S = 0.05
# What another host's failure is to the log of this one; else it is lost.
_OUTCOMES = {
    503: results.Outcome.NOT_RUN,
    504: results.Outcome.TIMED_OUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PartAnswer:
    """What a host of another zone brings of some shards.

    `stamps` sign the answers whose records are merged in `body`; `missing`
    are the shards that are not in.
    """

    stamps: list[bytes]
    body: bytes
    missing: frozenset[routing.ServiceName]


@dataclasses.dataclass(frozen=True, slots=True)
class Unbegun:
    """A host has shown no sign of having begun on a query.

    If it was `sent`, that may still come when the host wakes.
    """

    sent: bool


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
        if self.is_able():
            return None
        return _pick(self._list_open(self._hosts.own.zone), request_id)

    def is_able(self) -> bool:
        """Tell whether this host takes the wide queries of its zone."""
        own = self._hosts.own
        return own in list_able(self._hosts, own.zone)

    def count_able(self) -> dict[core.ZoneId, int]:
        """Return how many hosts of each zone take wide queries."""
        return {
            zone: len(list_able(self._hosts, zone))
            for zone in self._hosts.count_by_zone()
        }

    def has_open(self, zone: core.ZoneId) -> bool:
        """Tell whether a host of a zone may be asked just now."""
        return bool(self._list_open(zone))

    def warm(self) -> None:
        """Open connections to hosts that may be asked for parts."""
        own = self._hosts.own.zone
        for zone in self._hosts.count_by_zone():
            if zone == own:
                continue
            for entry in self._list_asked(zone):
                self._get_caller(entry).warm(_WARM)

    def has_time(self, zone: core.ZoneId, call: pursuit.Call) -> bool:
        """Tell whether a host of a zone could hedge and still be in time.

        A hedge may go as far again, after a first attempt that was late.
        """
        known = [
            self._get_caller(entry).round_trip_s or ROUND_TRIP_S
            for entry in self._list_open(zone)
        ]
        trip_s = max(known, default=ROUND_TRIP_S)
        left_s = call.goal_at - self._clock.now()
        return left_s - HOP_S >= 2 * trip_s + PART_ROOM * call.late_s

    def drop_unused(self) -> None:
        """Forget the connections to hosts that are no longer registered."""
        known = {each.address for each in self._hosts.list_hosts()}
        for address, peer in list(self._callers.items()):
            if address not in known and not peer.is_busy:
                peer.close()
                del self._callers[address]

    def pick(
        self, zone: core.ZoneId, request_id: bytes
    ) -> fleet.HostEntry | None:
        """Return the host of a zone to ask for a part of a query."""
        return _pick(self._list_open(zone), request_id)

    async def ask_part(
        self,
        entry: fleet.HostEntry,
        call: pursuit.Call,
        shards: tuple[routing.ServiceName, ...],
        least: int,
    ) -> result.Result[PartAnswer, caller.NoReply]:
        """Have a host ask some shards and merge what they answer.

        At the goal, `least` answers are enough.
        """
        more = [
            (SHARDS, ','.join(shards).encode()),
            (LEAST, b'%d' % least),
        ]
        answer = await self._ask(entry, call, more)
        match answer:
            case result.Ok(reply):
                return self._read_part(shards, reply)
        return answer

    def _list_asked(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return those able hosts of a zone that this host prefers."""
        own = self._hosts.own.host
        return sorted(
            list_able(self._hosts, zone),
            key=lambda each: fleet.rank_name(f'{own}/{each.host}'.encode()),
        )[:ASKED_HOSTS]

    def _list_open(self, zone: core.ZoneId) -> list[fleet.HostEntry]:
        """Return the able hosts of a zone that may be asked just now."""
        asked = self._drop_skipped(self._list_asked(zone))
        return asked or self._drop_skipped(list_able(self._hosts, zone))

    def _drop_skipped(
        self, entries: list[fleet.HostEntry]
    ) -> list[fleet.HostEntry]:
        now = self._clock.now()
        return [
            each for each in entries if self._skip.get(each.host, now) <= now
        ]

    def _read_part(
        self, shards: tuple[routing.ServiceName, ...], reply: messages.Reply
    ) -> result.Result[PartAnswer, caller.NoReply]:
        """Return a part, if its stamps and missing shards make it up."""
        lacking = reply.get_header(MISSING)
        if reply.status != 200 or lacking is None:
            return result.Err(caller.NoReply(True, f'status {reply.status}'))
        signed = reply.get_header(self._names.part_stamps) or b''
        stamps = [each.strip() for each in signed.split(b',') if each]
        missing = frozenset(split_names(lacking))
        if len(stamps) + len(missing) != len(shards):
            return result.Err(caller.NoReply(True, 'parts do not add up'))
        return result.Ok(PartAnswer(stamps, reply.body, missing))

    async def run(
        self, entry: fleet.HostEntry, call: pursuit.Call
    ) -> results.Result | Unbegun:
        """Have a host run a query, unless it does not begin on it."""
        answer = await self._ask(entry, call, [])
        match answer:
            case result.Ok(reply):
                return self._read(entry, reply)
            case result.Err(caller.NoReply(signed=False) as problem):
                return Unbegun(problem.sent)
            case result.Err(problem):
                return results.fail(
                    self._names,
                    call.request_id,
                    problem.timed_out,
                    problem.detail,
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
        peer = self._get_caller(entry)
        round_trip_s = peer.round_trip_s or ROUND_TRIP_S

        def make_headers() -> messages.Headers:
            now = loop.time()
            elapsed_s = now - call.request.arrived + round_trip_s + HOP_S
            return [
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
            answer = await peer.call(
                call.request.method,
                call.request.target,
                b'',
                call.end - loop.time(),
                make_headers,
                call.request_id,
                sign_s=round_trip_s + SIGN_S,
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
        skip_s = SKIP_S if problem.signed else SILENT_SKIP_S
        self._skip_host(entry, problem.detail, skip_s)
        return result.Err(problem)

    def close(self) -> None:
        """Close the connections to other hosts."""
        for each in self._callers.values():
            each.close()

    def _read(
        self, entry: fleet.HostEntry, reply: messages.Reply
    ) -> results.Result:
        passed = messages.pass_on(reply)
        detail = f'by {entry.host}'
        if reply.status != 200:
            outcome = _OUTCOMES.get(reply.status, results.Outcome.LOST)
            return results.Result(passed, outcome, detail)
        missing = int(reply.get_header(self._names.missing_parts) or b'0')
        stamps = reply.get_header(self._names.part_stamps) or b''
        answered = stamps.count(b',') + 1
        outcome = results.Outcome.ANSWERED
        if missing:
            outcome = results.Outcome.PARTIAL
        return results.Result(
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
                core.split_address(entry.address),
                _CONNECTIONS,
                self._names,
                PEER_IDLE_S,
            )
            self._callers[entry.address] = found
        return found

    def _skip_host(
        self, entry: fleet.HostEntry, detail: str, skip_s: float = SKIP_S
    ) -> None:
        wait_s = skip_s * 2 ** self._failures[entry.host]
        self._failures[entry.host] += 1
        self._skip[entry.host] = self._clock.now() + min(
            wait_s, LONGEST_SKIP_S
        )
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )


def list_able(hosts: fleet.Fleet, zone: core.ZoneId) -> list[fleet.HostEntry]:
    """Return the hosts of a zone that take wide queries, best first."""
    near = hosts.rank_zone(zone)
    count = max(LEAST_HOSTS, math.ceil(len(near) / HOSTS_EACH))
    # A stable sort: equals stay in the order of their hashes.
    return sorted(near, key=lambda each: -each.capacity)[:count]


def name_missing(
    services: Iterable[routing.ServiceName],
) -> tuple[bytes, bytes]:
    """Return the header that names the shards which a part lacks."""
    return MISSING, ','.join(services).encode()


def split_names(listed: bytes) -> tuple[routing.ServiceName, ...]:
    """Return the services that a header names."""
    return tuple(
        routing.ServiceName(name)
        for name in listed.decode('latin-1').split(',')
        if name
    )


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
