"""Handing wide queries to the few hosts of a zone that are best at them.

A query over many shards costs its host the link that all parts come by, and
a connection to each shard. If a few hosts of a zone send all wide queries,
their connections are used often enough to stay open, what they learn of slow
upstreams serves more queries, and a host with a thin link carries only the
merged answer. Where the nearest upstreams of some shards are in another
zone, one of these hosts there asks them and sends back merged records.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import re

import result

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _coordinators as coordinators
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _caller as caller
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _routing as routing

# A query over at least so many shards is wide.
WIDE_SHARDS = 48
# One that showed no sign of having read a query may just have been busy: it
# is passed over for so long at first, in seconds.
SILENT_SKIP_S = 1.0
# One that does not take a query, mostly since its table is another, is passed
# over for so long: tables are the same again as soon; seconds.
NOT_TAKEN_PAUSE_S = 0.3
# One that is full is passed over for so long, in seconds: the work that it
# has begun is a tenth of a goal, some 10 to 30 ms, and it is asked again soon
# after, so that the others are left alone when a burst is over.
FULL_PAUSE_S = 0.1
# One that holds a query for so long beyond its goal is passed over; seconds.
SUSPECT_AFTER_S = 0.1
# What the asking host sends along: the version of its table, and for how
# long it has had the query.
VERSION = b'rudderrock-table-version'
ELAPSED = b'rudderrock-elapsed-ms'
# The shards that are asked of a host, by commas, if not all of the query's.
SHARDS = b'rudderrock-shards'
# What the route of the query means, by the asking host's table.
ROUTE = b'rudderrock-route'
# How many of them are enough.
LEAST = b'rudderrock-least'
# The shards, by commas, that the reply lacks.
MISSING = b'rudderrock-missing-shards'
# Tells that shards are missing since upstreams have ended under the query, and
# which, by commas.
HELD = b'rudderrock-held-back'
# Tells a host to run the query also while it is full.
MUST_RUN = b'rudderrock-must-run'
# Marks the reply of a host that has not begun on the query, and says why.
NOT_TAKEN = b'rudderrock-not-taken'
# These are never passed on to upstreams.
OWN_HEADERS = frozenset({VERSION, ELAPSED, SHARDS, LEAST, MUST_RUN, ROUTE})
_CONNECTIONS = 16
# Connections to a host of another zone that are opened before they are
# needed: opening one costs a way there and back, which is a third of some
# goals, and now and then two queries need one at a time.
_WARM = 2
# How long a host keeps the idle connections of its peers, in seconds. They
# are few, and cost memory only.
PEER_IDLE_S = 60.0
# What a peer may send, in bytes: what a caller may, by any table, and more.
PEER_HEADER_BYTES = 256 * 1024
PEER_BODY_BYTES = 8 * 1024 * 1024
# What a host that asks another leaves it less time by, in seconds, beside
# the way there and back: reading, merging and writing on a busy core.
HOP_S = 0.006
# The way there and back while it has not been measured, in seconds.
ROUND_TRIP_S = 0.006
# Time for a part, beside ways there and back, in late points of its route.
PART_ROOM = 1.1
# How much longer than there and back a host may take to show that it has
# read a query, in seconds: one that is frozen or cut off shows nothing, and
# one that is busy reads between two pieces of work. Each host without a sign
# has its shards asked from the other zone: with 20 ms instead of 50, bytes
# between zones cost 1.65 times as much (docs/benchmarks.md, figures of
# thresholds).
SIGN_S = 0.05
# What another host's failure is to the log of this one; else it is lost.
_OUTCOMES = {
    503: results.Outcome.NOT_RUN,
    504: results.Outcome.TIMED_OUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """Whose turn it is to run a query or a part; the last must take it."""

    entry: fleet.HostEntry
    is_last: bool


class NotTaken(enum.Enum):
    """Why a host has not begun on a query."""

    STOPPING = 'stopping'
    TABLE = 'another table'
    FULL = 'full'


# What a host may say in `NOT_TAKEN`; anything else is not repeated in a line.
_REASON = re.compile(
    '|'.join(each.value for each in NotTaken) + r'( \d{1,6} ms)?'
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartAnswer:
    """What a host of another zone brings of some shards.

    `stamps` sign the answers whose records are merged in `body`; `missing`
    are the shards that are not in; with `held` that is since these upstreams
    have ended under the query, and the asking host is to try by itself.
    """

    stamps: list[bytes]
    body: bytes
    missing: frozenset[routing.ServiceName]
    held: tuple[core.UpstreamLife, ...] | None = None


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
        self.coordinators = coordinators.Coordinators(hosts, clock, events)
        self._hosts = hosts
        self._names = names
        self._clock = clock
        self._get_version = get_version
        self._callers: dict[str, caller.HttpCaller] = {}

    def choose(
        self,
        request_id: bytes,
        has_room: bool,
        tried: tuple[core.HostId, ...],
    ) -> Turn | None:
        """Return who shall run a wide query, None for this host itself.

        This host runs it if it is one of those that may be asked and has
        room, or if nobody is left.
        """
        own = self._hosts.own
        if self.coordinators.has_own() and has_room:
            return None
        if not has_room:
            tried = (*tried, own.host)
        turn = self._make_turn(
            own.zone, request_id, tried, coordinators.MOST_TURNS
        )
        return None if turn is None or turn.entry == own else turn

    def choose_far(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...],
    ) -> Turn | None:
        """Return who in another zone shall ask for a part, None for nobody."""
        if len(tried) >= coordinators.MOST_FAR_TURNS:
            return None
        return self._make_turn(
            zone, request_id, tried, coordinators.MOST_FAR_TURNS
        )

    def _make_turn(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...],
        most: int,
    ) -> Turn | None:
        """Return whose turn it is; the last of `most` must take it."""
        entry = self.coordinators.pick(zone, request_id, tried)
        if entry is None:
            return None
        return Turn(entry, len(tried) + 1 >= most)

    def warm(self) -> None:
        """Open connections to hosts that may be asked for parts."""
        own = self._hosts.own.zone
        for zone in self._hosts.count_by_zone():
            if zone == own:
                continue
            for entry in self.coordinators.list_regular(zone):
                self._get_caller(entry).warm(_WARM)

    def has_time(self, zone: core.ZoneId, call: calls.Call) -> bool:
        """Tell whether a host of a zone could hedge and still be in time.

        A hedge may go as far again, after a first attempt that was late.
        """
        open_now = self.coordinators.list_open(zone)
        if not open_now:
            return False
        left_s = call.goal_at - self._clock.now()
        room_s = (left_s - HOP_S - PART_ROOM * call.late_s) / 2
        has_time = True
        for entry in open_now:
            peer = self._get_caller(entry)
            if (peer.round_trip_s or ROUND_TRIP_S) > room_s:
                has_time = False
                peer.measure()
        return has_time

    def list_callers(self) -> list[caller.HttpCaller]:
        """Return the callers of the hosts that have been asked so far."""
        return list(self._callers.values())

    def drop_unused(self) -> None:
        """Forget the connections to hosts that are no longer registered."""
        known = {each.address for each in self._hosts.list_hosts()}
        for address, peer in list(self._callers.items()):
            if address not in known and not peer.is_busy:
                peer.close()
                del self._callers[address]

    async def ask_part(
        self,
        turn: Turn,
        call: calls.Call,
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
        answer = await self._ask(turn, call, more)
        match answer:
            case result.Ok(reply):
                return self._read_part(shards, reply)
        return answer

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
        return result.Ok(
            PartAnswer(stamps, reply.body, missing, read_ended(reply))
        )

    async def run(
        self, turn: Turn, call: calls.Call
    ) -> results.Result | Unbegun:
        """Have a host run a query, unless it does not begin on it."""
        answer = await self._ask(turn, call, [])
        match answer:
            case result.Ok(reply):
                return self._read(turn.entry, reply)
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
        turn: Turn,
        call: calls.Call,
        more: messages.Headers,
    ) -> result.Result[messages.Reply, caller.NoReply]:
        """Send a query to a host, and suspect it if it takes too long.

        A host that has not begun on it counts as one that got nothing.
        """
        loop = asyncio.get_running_loop()
        entry = turn.entry
        if turn.is_last:
            more = [*more, (MUST_RUN, b'1')]
        peer = self._get_caller(entry)
        round_trip_s = peer.round_trip_s or ROUND_TRIP_S
        version = self._get_version()

        def make_headers() -> messages.Headers:
            now = loop.time()
            elapsed_s = now - call.request.arrived + round_trip_s + HOP_S
            return [
                *call.head,
                (self._names.deadline_ms, call.get_left_ms(now)),
                (VERSION, b'%d' % version),
                (ROUTE, call.route.digest),
                (ELAPSED, b'%d' % int(elapsed_s * 1000)),
                *more,
            ]

        suspect = loop.call_later(
            call.route.goal_s + SUSPECT_AFTER_S,
            self.coordinators.skip,
            entry,
            'no answer in time',
        )
        try:
            answer = await peer.call(
                call.request.method,
                call.request.target,
                call.request.body,
                call.end - loop.time(),
                make_headers,
                call.request_id,
                sign_s=round_trip_s + SIGN_S,
            )
        finally:
            suspect.cancel()
        match answer:
            case result.Ok(reply) if reply.get_header(NOT_TAKEN) is None:
                self.coordinators.note_good(entry)
                return answer
            case result.Ok(reply):
                return self._note_not_taken(entry, reply)
            case result.Err(problem):
                skip_s = (
                    coordinators.SKIP_S if problem.signed else SILENT_SKIP_S
                )
                self.coordinators.skip(entry, problem.detail, skip_s)
                return answer

    def _note_not_taken(
        self, entry: fleet.HostEntry, reply: messages.Reply
    ) -> result.Err[caller.NoReply]:
        """Pass over a host that has sent a query back, by its reason."""
        why = (reply.get_header(NOT_TAKEN) or b'').decode('latin-1')
        if not _REASON.fullmatch(why):
            why = 'no reason that is known'
        detail = f'did not take a query: {why}'
        is_full = why.startswith(NotTaken.FULL.value)
        pause_s = FULL_PAUSE_S if is_full else NOT_TAKEN_PAUSE_S
        self.coordinators.pause(entry, detail, pause_s)
        return result.Err(caller.NoReply(False, detail))

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


def name_missing(
    services: Iterable[routing.ServiceName],
) -> tuple[bytes, bytes]:
    """Return the header that names the shards which a part lacks."""
    return MISSING, ','.join(services).encode()


def name_ended(lives: Iterable[core.UpstreamLife]) -> tuple[bytes, bytes]:
    """Return the header that says which upstreams ended under a query."""
    return HELD, ','.join(lives).encode()


def read_ended(reply: messages.Reply) -> tuple[core.UpstreamLife, ...] | None:
    """Return the upstreams that ended under a query; None if none is held."""
    listed = reply.get_header(HELD)
    if listed is None:
        return None
    return tuple(core.UpstreamLife(life) for life in _split(listed))


def split_names(listed: bytes) -> tuple[routing.ServiceName, ...]:
    """Return the services that a header names."""
    return tuple(routing.ServiceName(name) for name in _split(listed))


def _split(listed: bytes) -> list[str]:
    return [each for each in listed.decode('latin-1').split(',') if each]


def refuse_delegated(
    names: dialect.HeaderNames, why: NotTaken, detail: str = ''
) -> messages.Reply:
    """Return the reply that sends a query back to the host it came from."""
    said = f'{why.value} {detail}'.strip().encode('latin-1')
    return messages.Reply(503, [(NOT_TAKEN, said), (names.not_run, b'1')])
