"""Delegation of wide queries to the coordinators of a zone.

A query over many shards needs a connection to each shard, and all answers
arrive over the link of the host that runs it. Therefore a few hosts of each
zone, the coordinators, run all wide queries. Their connections are used often
enough to stay open, their knowledge of slow upstreams serves more queries, and
a host with a slow link transfers only the merged answer. If the nearest
upstreams of some shards are in another zone, a coordinator of that zone
queries them and returns the merged records.
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
from rudderrock.gateway.decisions import _overflow as overflow
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _topology as topology
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _http_client as http_client
from rudderrock.gateway.http import _messages as messages

# Minimum number of shards of a wide query.
WIDE_SHARDS = 48
# Skip time after the first call without an interim reply; each consecutive
# failure doubles it. It starts short, because the host may only have been
# busy.
UNRESPONSIVE_SKIP_S = 1.0
# How long a host is skipped after it refused a query, usually because its
# routing table differs. The tables converge within this time.
REFUSAL_SKIP_S = 0.3
# How long a full host is skipped. Its queued work takes a tenth of a latency
# goal, about 10 to 30 ms. It is asked again soon afterwards, so that other
# hosts carry its load only for a short time after a burst.
FULL_SKIP_S = 0.1
# A host is skipped if it has not answered this long after the latency goal,
# both counted from the time at which it was asked.
LATE_MARGIN_S = 0.1
# How long on average a host is skipped that has measured itself to be slow.
# Asking again costs one round trip.
SLOW_SKIP_S = 1.0
# Headers of a delegated query: the table version of the delegating host, and
# the time in ms since that host received the query, with an estimate of the
# round trip and the overhead of the other host added.
VERSION = b'rudderrock-table-version'
ELAPSED = b'rudderrock-elapsed-ms'
# Comma-separated shards to query, if not all shards of the query.
SHARDS = b'rudderrock-shards'
# Digest of the query's route in the delegating host's table.
ROUTE = b'rudderrock-route'
# How many answers are enough once the latency goal is reached.
MIN_ANSWERS = b'rudderrock-least'
# Comma-separated shards that are missing from the reply.
MISSING_SHARDS = b'rudderrock-missing-shards'
# Comma-separated upstreams that crashed while handling the query. The header
# is present if shards are missing for that reason.
CRASHED_UPSTREAMS = b'rudderrock-held-back'
# Comma-separated missing shards whose upstreams have not run the query.
NOT_RUN_SHARDS = b'rudderrock-not-run-shards'
# Requires a host to run the query even if it is full.
MUST_RUN = b'rudderrock-must-run'
# The delegating host retries the query until its deadline, so the other host
# does too. It can't tell from the deadline, which is shorter by then.
PATIENT = b'rudderrock-patient'
# Marks a whole query of a zone without room.
ELSEWHERE = b'rudderrock-elsewhere'
# Reason why a host has not started the query.
REFUSAL_REASON = b'rudderrock-not-taken'
# Headers that are never forwarded to upstreams.
DELEGATION_HEADERS = frozenset(
    {
        VERSION,
        ELAPSED,
        SHARDS,
        MIN_ANSWERS,
        MUST_RUN,
        ROUTE,
        ELSEWHERE,
        PATIENT,
    }
)
_MAX_CONNECTIONS = 16
# Connections to a host of another zone that are opened in advance. Opening one
# takes a round trip, which is a third of some latency goals, and occasionally
# two queries need a connection at the same time.
_WARM_CONNECTIONS = 2
# Idle timeout of connections between hosts. They are few and use only memory.
PEER_IDLE_S = 60.0
# Limits for requests of other hosts. They exceed the limits for callers that
# any table allows.
PEER_HEADER_BYTES = 256 * 1024
PEER_BODY_BYTES = 8 * 1024 * 1024
# Time needed in addition to the round trip for reading, merging and writing on
# a busy core. It is subtracted from the time given to the other host.
HOP_OVERHEAD_S = 0.006
# Round-trip time that is assumed until it has been measured.
DEFAULT_ROUND_TRIP_S = 0.006
# Time that a host needs to answer a part of a query, as a multiple of the
# route's hedge threshold. Round trips to the host are added separately.
PART_TIME_FACTOR = 1.1
# How long a host may take, in addition to the round trip, to send the interim
# reply that shows it has read a query. A frozen or disconnected host sends
# none; a busy one sends it when its current task is done. If none arrives in
# time, the shards are queried across zones, which costs more traffic: with 20
# ms instead of 50 ms, traffic between zones cost 1.65 times as much
# (docs/benchmarks.md, figures of thresholds).
INTERIM_REPLY_TIMEOUT_S = 0.05
# Outcomes by the status of another host's reply; any other failure is `LOST`.
_OUTCOME_BY_STATUS = {
    503: results.Outcome.NOT_RUN,
    504: results.Outcome.TIMED_OUT,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """The host to ask next for a query, or for a part of one.

    If `is_last` is true, no other host is asked after it, so it must run the
    query even if it is full. `is_elsewhere` is true for a whole query that
    goes to another zone because the own one has no room.
    """

    entry: fleet.HostEntry
    is_last: bool
    is_elsewhere: bool = False


class RefusalReason(enum.Enum):
    """Why a host refused to run a query."""

    STOPPING = 'stopping'
    TABLE = 'another table'
    FULL = 'full'
    SLOW = 'slow'


# Valid values of the header `REFUSAL_REASON`; others are not logged.
_REASON_PATTERN = re.compile(
    f'({"|".join(each.value for each in RefusalReason)})' + r'( \d{1,6} ms)?'
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartAnswer:
    """Answer of a host in another zone for some shards.

    `stamps` are the upstreams' signatures of the answers whose records are
    merged in `body`. `missing` are the shards without an answer.
    `crashed_upstreams` are the upstreams that crashed while handling the
    query, or None if no shard is missing for that reason. If it is not None,
    the delegating host has to query the missing shards itself. No upstream has
    run the query for those of the missing shards that are in `not_run`.
    """

    stamps: list[bytes]
    body: bytes
    missing: frozenset[routing.ServiceName]
    crashed_upstreams: tuple[core.UpstreamIncarnation, ...] | None = None
    not_run: frozenset[routing.ServiceName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class NotConfirmed:
    """Result for a host that gave no sign of having started a query.

    If `sent` is true, the host may have received the query and still start it.
    """

    sent: bool


class Delegation:
    """Chooses a host for each wide query and returns its answer."""

    def __init__(
        self,
        hosts: fleet.Fleet,
        names: header_names.HeaderNames,
        clock: core.Clock,
        events: log.EventLog,
        get_version: Callable[[], int],
        place: topology.Topology,
    ):
        self.overflow = overflow.Overflow(hosts, place, clock)
        self.coordinators = coordinators.Coordinators(hosts, clock, events)
        self._hosts = hosts
        self._names = names
        self._clock = clock
        self._get_version = get_version
        self._clients: dict[str, http_client.HttpClient] = {}

    def choose(
        self,
        call: calls.Call,
        own_delay_s: float | None,
        tried: tuple[core.HostId, ...],
    ) -> Candidate | None:
        """Return the host to run a wide query, or None for this host.

        `own_delay_s` is the delay at this host, or None if it has room. This
        host runs the query if it is a coordinator with free capacity, or if
        no other candidate is left. Before a host of this zone must run a
        query without room for it, hosts of other zones are asked.
        """
        own = self._hosts.own
        has_room = own_delay_s is None
        if self.coordinators.has_own() and has_room:
            return None
        tried_here, tried_elsewhere = self.overflow.split(tried)
        if not has_room:
            tried_here = (*tried_here, own.host)
        candidate = self._pick_candidate(
            own.zone, call.request_id, tried_here, coordinators.MAX_ATTEMPTS
        )
        if candidate is None or candidate.is_last:
            elsewhere = self._pick_elsewhere(
                call, own_delay_s, tried_here, tried_elsewhere
            )
            if elsewhere is not None:
                return elsewhere
        return (
            None if candidate is None or candidate.entry == own else candidate
        )

    def _pick_elsewhere(
        self,
        call: calls.Call,
        own_delay_s: float | None,
        tried_here: tuple[core.HostId, ...],
        tried_elsewhere: tuple[core.HostId, ...],
    ) -> Candidate | None:
        """Return the host of another zone to ask for a whole query."""
        if len(tried_elsewhere) >= coordinators.MAX_REMOTE_ATTEMPTS:
            return None
        for zone in self.overflow.list_zones(
            call.route, call.request_id, own_delay_s, tried_here
        ):
            found = [
                each
                for each in self.coordinators.list_available(
                    zone, tried_elsewhere
                )
                if self.overflow.expects_room(each, call.route.goal_s)
            ]
            if found and self.has_time_to_hedge(zone, call):
                entry = found[fleet.rank_name(call.request_id) % len(found)]
                return Candidate(entry, is_last=False, is_elsewhere=True)
        return None

    def choose_in_zone(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...],
    ) -> Candidate | None:
        """Return the host of another zone to ask for a part, or None."""
        if len(tried) >= coordinators.MAX_REMOTE_ATTEMPTS:
            return None
        return self._pick_candidate(
            zone, request_id, tried, coordinators.MAX_REMOTE_ATTEMPTS
        )

    def _pick_candidate(
        self,
        zone: core.ZoneId,
        request_id: bytes,
        tried: tuple[core.HostId, ...],
        max_candidates: int,
    ) -> Candidate | None:
        """Return the next candidate, or None if no host is left.

        It is marked as the last one if at least `max_candidates` - 1 hosts
        have been tried.
        """
        entry = self.coordinators.pick(zone, request_id, tried)
        if entry is None:
            return None
        return Candidate(entry, len(tried) + 1 >= max_candidates)

    def warm(self) -> None:
        """Open connections to the coordinators of other zones."""
        own = self._hosts.own.zone
        for zone in self._hosts.count_by_zone():
            if zone == own:
                continue
            for entry in self.coordinators.list_regular(zone):
                self._get_client(entry).warm(_WARM_CONNECTIONS)

    def has_time_to_hedge(self, zone: core.ZoneId, call: calls.Call) -> bool:
        """Return whether the hosts of a zone can meet the goal with a hedge.

        This must hold for each available host, and the zone must have one.
        The time left must cover two round trips of the same length: the one
        to the host, and one for a hedge that follows a late first attempt.
        Each round trip that is too long is measured again.
        """
        available = self.coordinators.list_available(zone)
        if not available:
            return False
        left_s = call.goal_at - self._clock.now()
        time_per_attempt_s = (
            left_s - HOP_OVERHEAD_S - PART_TIME_FACTOR * call.late_after_s
        ) / 2
        has_time = True
        for entry in available:
            peer = self._get_client(entry)
            if (
                peer.round_trip_s or DEFAULT_ROUND_TRIP_S
            ) > time_per_attempt_s:
                has_time = False
                peer.measure_round_trip()
        return has_time

    def list_clients(self) -> list[http_client.HttpClient]:
        """Return the HTTP clients of the hosts contacted so far."""
        return list(self._clients.values())

    def close_unlisted(self) -> None:
        """Close idle clients of hosts that are no longer registered."""
        known = {each.address for each in self._hosts.list_hosts()}
        for address, peer in list(self._clients.items()):
            if address not in known and not peer.is_busy:
                peer.close()
                del self._clients[address]

    async def ask_part(
        self,
        candidate: Candidate,
        call: calls.Call,
        shards: tuple[routing.ServiceName, ...],
        min_answers: int,
    ) -> result.Result[PartAnswer, http_client.NoReply]:
        """Ask a host to query some shards and to merge their answers.

        Once the latency goal is reached, `min_answers` answers are enough.
        """
        extra_headers = [
            (SHARDS, ','.join(shards).encode()),
            (MIN_ANSWERS, b'%d' % min_answers),
        ]
        answer = await self._ask(candidate, call, extra_headers)
        match answer:
            case result.Ok(reply):
                return self._parse_part(shards, reply)
        return answer

    def _parse_part(
        self, shards: tuple[routing.ServiceName, ...], reply: messages.Reply
    ) -> result.Result[PartAnswer, http_client.NoReply]:
        """Return the answer for a part in a reply.

        An error is returned if the number of stamps and missing shards is not
        the number of `shards`.
        """
        missing_header = reply.get_header(MISSING_SHARDS)
        if reply.status != 200 or missing_header is None:
            return result.Err(
                http_client.NoReply(True, f'status {reply.status}')
            )
        signed = reply.get_header(self._names.part_stamps) or b''
        stamps = [each.strip() for each in signed.split(b',') if each]
        missing = frozenset(parse_service_names(missing_header))
        if len(stamps) + len(missing) != len(shards):
            return result.Err(
                http_client.NoReply(
                    True, 'stamps and missing shards do not match'
                )
            )
        not_run = parse_service_names(reply.get_header(NOT_RUN_SHARDS) or b'')
        return result.Ok(
            PartAnswer(
                stamps,
                reply.body,
                missing,
                parse_crashed_header(reply),
                missing.intersection(not_run),
            )
        )

    async def run(
        self, candidate: Candidate, call: calls.Call
    ) -> results.Result | NotConfirmed:
        """Return the result of a query that another host runs.

        A reply that doesn't say how many shards are missing is none: which
        records it lacks isn't known.
        """
        answer = await self._ask(candidate, call, [])
        match answer:
            case result.Ok(reply):
                parsed = self._parse_result(candidate.entry, reply)
                return parsed or NotConfirmed(sent=True)
            case result.Err(
                http_client.NoReply(had_interim_reply=False) as problem
            ):
                return NotConfirmed(problem.sent)
            case result.Err(problem):
                return results.make_lost_result(
                    self._names,
                    call.request_id,
                    problem.timed_out,
                    problem.detail,
                )

    async def _ask(
        self,
        candidate: Candidate,
        call: calls.Call,
        extra_headers: messages.Headers,
    ) -> result.Result[messages.Reply, http_client.NoReply]:
        """Send a query to a host, and skip the host if it takes too long.

        A refusal is returned as if the query had not been sent.
        """
        loop = asyncio.get_running_loop()
        entry = candidate.entry
        if candidate.is_last:
            extra_headers = [*extra_headers, (MUST_RUN, b'1')]
        if call.is_patient:
            extra_headers = [*extra_headers, (PATIENT, b'1')]
        if candidate.is_elsewhere:
            extra_headers = [*extra_headers, (ELSEWHERE, b'1')]
        peer = self._get_client(entry)
        round_trip_s = peer.round_trip_s or DEFAULT_ROUND_TRIP_S
        version = self._get_version()

        def make_headers() -> messages.Headers:
            now = loop.time()
            call.request.was_sent = True
            elapsed_s = (
                now - call.request.arrived + round_trip_s + HOP_OVERHEAD_S
            )
            return [
                *call.forwarded_headers,
                (self._names.deadline_ms, call.format_remaining_ms(now)),
                (VERSION, b'%d' % version),
                (ROUTE, call.route.digest),
                (ELAPSED, b'%d' % int(elapsed_s * 1000)),
                *extra_headers,
            ]

        late_timer = loop.call_later(
            call.route.goal_s + LATE_MARGIN_S,
            self.coordinators.skip,
            entry,
            'no answer in time',
        )
        try:
            answer = await peer.call(
                call.request.method,
                call.request.target,
                call.request.body,
                call.expires_at - loop.time(),
                make_headers,
                call.request_id,
                interim_timeout_s=round_trip_s + INTERIM_REPLY_TIMEOUT_S,
                # The host says that it waits for its shards.
                on_progress=late_timer.cancel,
            )
        finally:
            late_timer.cancel()
        match answer:
            case result.Ok(reply) if reply.get_header(REFUSAL_REASON) is None:
                self.coordinators.record_success(entry)
                self.overflow.sent += candidate.is_elsewhere
                return answer
            case result.Ok(reply):
                return self._handle_refusal(candidate, reply)
            case result.Err(problem):
                skip_s = (
                    coordinators.SKIP_S
                    if problem.had_interim_reply
                    else UNRESPONSIVE_SKIP_S
                )
                self.coordinators.skip(entry, problem.detail, skip_s)
                return answer

    def _handle_refusal(
        self, candidate: Candidate, reply: messages.Reply
    ) -> result.Err[http_client.NoReply]:
        """Skip a host that refused a query, for a time set by its reason.

        A host without room for queries of other zones is not skipped: it may
        have room for those of its own zone and for parts.
        """
        entry = candidate.entry
        reason = (reply.get_header(REFUSAL_REASON) or b'').decode('latin-1')
        if not _REASON_PATTERN.fullmatch(reason):
            reason = 'no reason that is known'
        detail = f'did not take a query: {reason}'
        kind, _, delay = reason.partition(' ')
        is_out_of_room = kind in (
            RefusalReason.FULL.value,
            RefusalReason.SLOW.value,
        )
        if is_out_of_room:
            self.overflow.record_no_room(entry, _parse_ms(delay))
        if not (is_out_of_room and candidate.is_elsewhere):
            skip_s = self._get_skip_s(entry, kind)
            self.coordinators.skip_for(entry, detail, skip_s)
        return result.Err(http_client.NoReply(False, detail))

    def _get_skip_s(self, entry: fleet.HostEntry, kind: str) -> float:
        """Return how long to skip a host after a kind of refusal."""
        match kind:
            case RefusalReason.FULL.value:
                return FULL_SKIP_S
            case RefusalReason.SLOW.value:
                return SLOW_SKIP_S * self._get_spread(entry)
        return REFUSAL_SKIP_S

    def _get_spread(self, entry: fleet.HostEntry) -> float:
        """Return a factor from 0.5 to 1.5, specific to a pair of hosts.

        It keeps the hosts that were refused together from coming back at
        once.
        """
        rank = fleet.rank_pair(self._hosts.own.host, entry.host)
        return 0.5 + rank / 2**64

    def close(self) -> None:
        """Close all connections to other hosts."""
        for each in self._clients.values():
            each.close()

    def _parse_result(
        self, entry: fleet.HostEntry, reply: messages.Reply
    ) -> results.Result | None:
        """Return the result in a reply, None if it can't be read."""
        forwardable = messages.make_forwardable(
            reply, header_names.list_end_to_end(self._names)
        )
        detail = f'by {entry.host}'
        if reply.status != 200:
            outcome = _OUTCOME_BY_STATUS.get(
                reply.status, results.Outcome.LOST
            )
            return results.Result(forwardable, outcome, detail)
        missing_header = reply.get_header(self._names.missing_parts)
        missing = core.parse_number(missing_header or b'0')
        if missing is None or missing == core.MAX_NUMBER:
            self.coordinators.skip(entry, 'its answer is unreadable')
            return None
        stamps = reply.get_header(self._names.part_stamps) or b''
        answered = stamps.count(b',') + 1
        outcome = results.Outcome.ANSWERED
        if missing:
            outcome = results.Outcome.PARTIAL
        return results.Result(
            forwardable,
            outcome,
            detail,
            shards=answered + missing,
            answered=answered,
        )

    def _get_client(self, entry: fleet.HostEntry) -> http_client.HttpClient:
        client = self._clients.get(entry.address)
        if client is None:
            client = http_client.HttpClient(
                core.split_address(entry.address),
                _MAX_CONNECTIONS,
                self._names,
                PEER_IDLE_S,
            )
            self._clients[entry.address] = client
        return client


def _parse_ms(text: str) -> float:
    """Return the delay in seconds of a refusal such as 'full 30 ms'."""
    return int(text.removesuffix(' ms') or 0) / 1000


def make_missing_header(
    services: Iterable[routing.ServiceName],
) -> tuple[bytes, bytes]:
    """Return the header that lists the missing shards of a part."""
    return MISSING_SHARDS, ','.join(services).encode()


def make_crashed_header(
    incarnations: Iterable[core.UpstreamIncarnation],
) -> tuple[bytes, bytes]:
    """Return the header that lists upstreams that crashed in a query."""
    return CRASHED_UPSTREAMS, ','.join(incarnations).encode()


def parse_crashed_header(
    reply: messages.Reply,
) -> tuple[core.UpstreamIncarnation, ...] | None:
    """Return upstreams that crashed in a query, or None if not given."""
    header_value = reply.get_header(CRASHED_UPSTREAMS)
    if header_value is None:
        return None
    return tuple(
        core.UpstreamIncarnation(incarnation)
        for incarnation in _split_list(header_value)
    )


def parse_service_names(
    header_value: bytes,
) -> tuple[routing.ServiceName, ...]:
    """Return the services listed in a header."""
    return tuple(
        routing.ServiceName(name) for name in _split_list(header_value)
    )


def _split_list(header_value: bytes) -> list[str]:
    return [each for each in header_value.decode('latin-1').split(',') if each]


def make_refusal(
    names: header_names.HeaderNames, reason: RefusalReason, detail: str = ''
) -> messages.Reply:
    """Return the reply that refuses a delegated query."""
    reason_text = f'{reason.value} {detail}'.strip().encode('latin-1')
    return messages.Reply(
        503, [(REFUSAL_REASON, reason_text), (names.not_run, b'1')]
    )
