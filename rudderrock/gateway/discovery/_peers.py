"""Long polling between hosts for upstreams, hosts and the routing table.

A host polls a peer for the changes since its previous poll. The peer replies
as soon as there is a change, or after a short wait. The reply contains the age
of the peer's data, so that the host detects a peer that can't read the source.
The polling host adds the time that the reply was on its way, and stops waiting
once its own data is too old, so a peer that hangs does not delay it.
"""

import asyncio
import collections
import dataclasses
import itertools
from typing import Annotated
import urllib.parse
import zlib

import msgspec
import result

from rudderrock import core
from rudderrock.gateway import _decoding as decoding
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _initial_sync as initial_sync_module
from rudderrock.gateway.discovery import _position as position
from rudderrock.gateway.discovery import _quarantine as quarantine
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.http import _http_client as http_client
from rudderrock.gateway.http import _messages as messages

PATH = '/v1/changes'
# How long a peer holds a poll while nothing changes, and how much longer the
# polling host waits for the reply; seconds. A peer that reads the source
# replies after each reading, so the hold is a little longer than one period.
POLL_HOLD_S = 1.3
REPLY_MARGIN_S = 0.4
# Maximum age of a reading of the source that is used; seconds.
MAX_AGE_S = 2.0
# Maximum time since the source last confirmed a table that is used; seconds.
MAX_TABLE_AGE_S = 4.0
# A host that can read the source itself accepts a peer's reading only if at
# most this many hosts have relayed it. The host that reads the source passes a
# reading to the first host of each other zone, and that host relays it to the
# others of its zone. With more hops, hosts that poll one another in a cycle
# could treat an old reading as fresh.
MAX_HOPS = 1
# Maximum time in seconds for which a starting host holds a poll until it has
# its first data, which takes 0.1 s from when it starts to listen.
STARTUP_HOLD_S = 0.5
# How long a full reply is reused for other peers, in seconds. Hundreds of
# hosts that start together request it at the same time. Encoding 450 upstreams
# and 195 hosts takes 0.9 ms on a whole core (the mean of 50) and twice that on
# half a core.
FULL_REPLY_TTL_S = 0.1
# Header of a full reply with the time for which it has been cached, in
# milliseconds.
CACHE_AGE_HEADER = b'rudderrock-kept-ms'
# Header with the time for which the peer held the poll, in milliseconds. The
# rest of the time that the poll took adds to the age of the data.
HOLD_HEADER = b'rudderrock-held-ms'
# Replies of at least this size are compressed, in bytes. Listings and tables
# of hundreds of entries shrink to a fifth, and they are sent across regions.
COMPRESSION_THRESHOLD_BYTES = 2048
DEFLATE_HEADER = (b'content-encoding', b'deflate')
# Maximum size of a decompressed reply, in bytes: a table, which the source
# limits to 1 MB, in base64, 2,400 upstreams, 580 hosts and 256 records.
MAX_REPLY_BYTES = 4 * 1024 * 1024
# Maximum number of entries of a list in a reply, eight times the upstreams
# that the tier is designed for.
_MAX_ENTRIES = 20_000
_BOUNDED = msgspec.Meta(max_length=_MAX_ENTRIES)
# The id of a process has the name of its host.
_Identifier = Annotated[str, msgspec.Meta(max_length=512)]
# Number of changes kept for peers. A peer that is further behind is sent the
# full state.
MAX_CHANGES = 64


class Known(msgspec.Struct, frozen=True):
    """State that the polling host already has from this peer's process.

    `upstreams`, `hosts` and `quarantine` are the peer's generations that the
    polling host has applied.

    `table_version` is the greater of the versions of the table in force and of
    the last table that the peer sent. It includes a table that the polling
    host rejected, so that the peer does not send it again at once. `table` is
    the greater of the revisions of the source at which these two tables were
    read; it is sent too because hosts of the previous version know only this
    field.

    `is_lost` is true if the polling host also accepts data that the peer has
    from other hosts, because it cannot read the source or is starting.
    `evacuations` is the revision of the evacuations that the polling host has,
    in the era `evacuations_era`, and `era` is the era of its upstreams. Hosts
    of the previous version do not send these two eras. `max_age_ms` is the age
    of the upstreams at which the polling host asks elsewhere.
    """

    process: str = ''
    upstreams: decoding.Integer = 0
    era: decoding.Integer | None = None
    hosts: decoding.Integer = 0
    table: decoding.Integer = -1
    table_version: decoding.Integer | None = None
    is_lost: bool = False
    evacuations: decoding.Integer = position.NEVER_READ.revision
    evacuations_era: decoding.Integer | None = None
    quarantine: decoding.Integer = 0
    max_age_ms: decoding.Integer = round(MAX_AGE_S * 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Versions and source positions in force at the polling host."""

    table_version: routing.TableVersion = routing.NO_VERSION
    table: position.Position = position.NEVER_READ
    upstreams: position.Position = position.NEVER_READ
    evacuations: position.Position = position.NEVER_READ


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Changes since a peer's previous poll, and the age of the data.

    If `whole` is true, `upstreams` are all upstreams. Otherwise `upstreams`
    were added or changed, and `left` are the ids of those removed. `hosts`,
    `hosts_left` and `hosts_whole` have the same meaning for hosts, and `hosts`
    is None if no host changed.

    `origin` and `number` identify the reading of the source that the upstreams
    come from, `hops` is the number of hosts that have forwarded it to this
    one, and `age_ms` its age, -1 if there is no reading yet. `table_age_ms` is
    the time since the source last confirmed the table, -1 if it never has.
    `hold_ms` is how long upstreams that are missing from readings are still
    kept.

    `evacuated` are all evacuated zones as of `evacuations_revision`, and
    `evacuated_at` the revisions at which they were evacuated, empty if the
    peer doesn't send them. Each revision belongs to an era of the source, 0 if
    the peer doesn't send one. `suspects` are new or changed records of
    requests that crashed upstreams. `has_lost_source` is whether the peer can
    no longer renew this data, because the source does not answer it.
    """

    process: _Identifier
    generation: decoding.Integer
    whole: bool
    upstreams: Annotated[list[directory.Endpoint], _BOUNDED]
    left: Annotated[list[str], _BOUNDED]
    revision: decoding.Integer
    era: decoding.Integer = 0
    origin: _Identifier
    number: decoding.Integer
    hops: decoding.Count
    age_ms: decoding.Integer
    table_age_ms: decoding.Integer
    hold_ms: decoding.Integer
    hosts_generation: decoding.Integer
    hosts: Annotated[list[fleet.HostEntry], _BOUNDED] | None = None
    hosts_left: Annotated[list[str], _BOUNDED] = []
    hosts_whole: bool = True
    table: bytes | None = None
    table_version: decoding.Integer = routing.NO_VERSION
    table_revision: decoding.Integer = 0
    table_era: decoding.Integer = 0
    evacuated: Annotated[
        list[Annotated[core.ZoneId, decoding.NAME]], _BOUNDED
    ] = []
    evacuated_at: Annotated[list[decoding.Integer], _BOUNDED] = []
    evacuations_revision: decoding.Integer = position.NEVER_READ.revision
    evacuations_era: decoding.Integer = 0
    suspects: Annotated[list[quarantine.Record], _BOUNDED] = []
    quarantine_generation: decoding.Integer = 0
    has_lost_source: bool = False

    @property
    def upstreams_position(self) -> position.Position:
        """Return the source position of the upstreams."""
        return position.Position(self.era, self.revision)

    @property
    def table_position(self) -> position.Position:
        """Return the source position of the table."""
        return position.Position(self.table_era, self.table_revision)

    @property
    def evacuations_position(self) -> position.Position:
        """Return the source position of the evacuations."""
        return position.Position(
            self.evacuations_era, self.evacuations_revision
        )

    @property
    def evacuation_revisions(self) -> dict[core.ZoneId, int]:
        """Return the evacuated zones with the revision of each evacuation."""
        revisions = itertools.chain(
            self.evacuated_at, itertools.repeat(evacuations.UNKNOWN_REVISION)
        )
        zones = map(core.ZoneId, self.evacuated)
        return dict(zip(zones, revisions, strict=False))

    @property
    def is_near(self) -> bool:
        """Return whether the data has at most `MAX_HOPS` hops."""
        return self.hops <= MAX_HOPS

    def is_fresh(self, max_age_s: float = MAX_AGE_S) -> bool:
        """Return whether upstreams and table are recent enough to use."""
        return (
            0 <= self.age_ms <= max_age_s * 1000
            and 0 <= self.table_age_ms <= MAX_TABLE_AGE_S * 1000
        )


class _UncheckedChanges(Changes, frozen=True, kw_only=True):
    """Changes whose entries are decoded one by one."""

    upstreams: Annotated[list[msgspec.Raw], _BOUNDED]
    hosts: Annotated[list[msgspec.Raw], _BOUNDED] | None = None
    suspects: Annotated[list[msgspec.Raw], _BOUNDED] = []


class _UpstreamName(msgspec.Struct):
    """The id in an entry of an upstream that is invalid otherwise."""

    upstream: core.UpstreamId


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedChanges:
    """The changes in a reply, and why entries of it were left out."""

    changes: Changes
    problems: tuple[str, ...] = ()


class ChangeFeed:
    """Keeps recent changes of this host's state and answers polls of peers.

    Parameters: `process` identifies this incarnation of the process, since
    generations restart with each.
    """

    def __init__(
        self,
        process: str,
        upstream_directory: directory.Directory,
        hosts: fleet.Fleet,
        tables: sources.TableHolder,
        evacuated: evacuations.EvacuationHolder,
        initial_sync: initial_sync_module.InitialSync,
        known_quarantine: quarantine.Quarantine,
        clock: core.Clock,
    ):
        self.generation = 0
        self._evacuated = evacuated
        self.process = process
        self._directory = upstream_directory
        self._hosts = hosts
        self._tables = tables
        self._initial_sync = initial_sync
        self._quarantine = known_quarantine
        self._clock = clock
        self._cached_reply: _CachedReply | None = None
        self._changes: collections.deque[
            tuple[int, directory.DirectoryChange]
        ] = collections.deque(maxlen=MAX_CHANGES)
        # Generation and ids of recent changes of the hosts, so that peers get
        # only the changed entries. When 62 hosts start together, the list
        # changes some 60 times. Sending all of its 7 KB each time to the first
        # hosts of 5 zones would take a calculated 2 MB.
        self._host_changes: collections.deque[tuple[int, set[core.HostId]]] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self._hosts_by_id: dict[core.HostId, fleet.HostEntry] = {}
        self._changed = asyncio.Event()
        # Whether the source does not answer this host.
        self.has_lost_source = False
        upstream_directory.add_listener(self._on_upstreams)
        hosts.add_listener(self._on_hosts)
        tables.add_listener(lambda table: self.wake())
        upstream_directory.add_reading_listener(self.wake)
        evacuated.add_listener(lambda found: self.wake())
        known_quarantine.add_listener(self.wake)

    async def answer(self, request: messages.Request) -> messages.Reply:
        """Return the reply to a poll after the next change or POLL_HOLD_S.

        It is sent at once if the peer lacks changes or cannot accept this
        host's data, and no later than when the data is too old for the peer. A
        starting host first waits for data, for at most STARTUP_HOLD_S. The
        status is 404 for an unknown path, 400 for invalid parameters.
        """
        path, _, query = request.target.decode('latin-1').partition('?')
        if path != PATH:
            return messages.Reply(404, [])
        fields = dict(urllib.parse.parse_qsl(query))
        match decoding.convert_value(fields, Known, strict=False):
            case result.Err(problem):
                return messages.Reply(400, [], problem.encode())
            case result.Ok(known):
                pass
        received_at = self._clock.now()
        if not self._initial_sync.is_complete:
            # This host has just started and has no data to send yet.
            await self._initial_sync.wait_at_most(STARTUP_HOLD_S)
        elif not self._has_changes(known):
            await self._wait_for_change(known)
        if known.process != self.process:
            reply = self._get_full_reply(known)
        else:
            reply = render_changes(self.list_changes(known))
        held_ms = _to_ms(self._clock.now() - received_at)
        reply.headers.append((HOLD_HEADER, b'%d' % held_ms))
        return reply

    def _get_full_reply(self, known: Known) -> messages.Reply:
        """Return the full state, encoded once for polls at the same time."""
        now = self._clock.now()
        cached = self._cached_reply
        if cached is None or not cached.is_valid_for(known, now):
            reply = render_changes(self.list_changes(known))
            cached = _CachedReply(known, now, reply)
            # Incomplete replies of a starting host are not cached.
            self._cached_reply = (
                cached if self._initial_sync.is_complete else None
            )
        cache_age_ms = _to_ms(now - cached.created_at)
        headers = [
            *cached.reply.headers,
            (CACHE_AGE_HEADER, b'%d' % cache_age_ms),
        ]
        return messages.Reply(200, headers, cached.reply.body)

    def list_changes(self, known: Known) -> Changes:
        """Return the changes since a peer's poll.

        Returns the full state if `known` is not from this process or too old.
        """
        has_baseline = known.process == self.process
        upstreams, left, whole = self._list_upstreams(known, has_baseline)
        upstream_directory = self._directory
        tables = self._tables
        stamp = upstream_directory.stamp
        evacuated = self._evacuated.current
        hosts, hosts_left, hosts_whole = self._list_hosts(known, has_baseline)
        return Changes(
            process=self.process,
            generation=self.generation,
            whole=whole,
            upstreams=upstreams,
            left=left,
            revision=upstream_directory.position.revision,
            era=upstream_directory.position.era,
            origin=stamp.origin if stamp is not None else '',
            number=stamp.number if stamp is not None else 0,
            hops=stamp.hops if stamp is not None else 0,
            age_ms=_to_ms(upstream_directory.age_s),
            table_age_ms=_to_ms(tables.confirmed_age_s),
            hold_ms=_to_ms(upstream_directory.hold_s),
            hosts_generation=self._hosts.generation,
            hosts=hosts,
            hosts_left=hosts_left,
            hosts_whole=hosts_whole,
            table=tables.raw if self._has_newer_table(known) else None,
            table_version=tables.version,
            table_revision=tables.position.revision,
            table_era=tables.position.era,
            evacuated=list(evacuated.revisions),
            evacuated_at=list(evacuated.revisions.values()),
            evacuations_revision=evacuated.position.revision,
            evacuations_era=evacuated.position.era,
            suspects=self._quarantine.list_since(
                known.quarantine if has_baseline else 0
            ),
            quarantine_generation=self._quarantine.generation,
            has_lost_source=self._is_cut_off,
        )

    @property
    def _is_cut_off(self) -> bool:
        """Return whether the data is an own reading that can't be renewed."""
        stamp = self._directory.stamp
        is_own = stamp is not None and stamp.origin == self.process
        return is_own and self.has_lost_source

    def _list_upstreams(
        self, known: Known, has_baseline: bool
    ) -> tuple[list[directory.Endpoint], list[str], bool]:
        oldest = self._changes[0][0] if self._changes else self.generation
        is_same_era = known.era in (None, self._directory.position.era)
        has_baseline = has_baseline and is_same_era
        if not has_baseline or known.upstreams < oldest - 1:
            return list(self._directory.list_all()), [], True
        changed: set[core.UpstreamId] = set()
        for generation, change in self._changes:
            if generation > known.upstreams:
                changed.update(change.changed)
        found = {each: self._directory.get_endpoint(each) for each in changed}
        upstreams = [each for each in found.values() if each is not None]
        left = [name for name, each in found.items() if each is None]
        return upstreams, left, False

    def _list_hosts(
        self, known: Known, has_baseline: bool
    ) -> tuple[list[fleet.HostEntry] | None, list[str], bool]:
        """Return changed hosts, removed ids and whether the list is full.

        The hosts are None if nothing changed.
        """
        newest = self._hosts.generation
        if has_baseline and known.hosts == newest:
            return None, [], False
        oldest = self._host_changes[0][0] if self._host_changes else newest
        if not has_baseline or known.hosts < oldest - 1:
            return self._hosts.list_hosts(), [], True
        changed: set[core.HostId] = set()
        for generation, names in self._host_changes:
            if generation > known.hosts:
                changed |= names
        by_id = self._hosts_by_id
        hosts = [by_id[name] for name in sorted(changed & by_id.keys())]
        return hosts, sorted(changed - by_id.keys()), False

    def _has_changes(self, known: Known) -> bool:
        return (
            known.process != self.process
            or known.upstreams != self.generation
            or known.hosts != self._hosts.generation
            or self._has_newer_table(known)
            or self._has_newer_evacuations(known)
            or known.quarantine != self._quarantine.generation
        )

    def _has_newer_table(self, known: Known) -> bool:
        """Return whether a peer lacks the table in force here.

        Compares versions, which operators only increase. Revisions of the
        source decrease when it is restored from a backup, so a newer table
        could have a revision that the peer has already passed. Hosts of the
        previous version send only the revision.
        """
        if known.table_version is None:
            return known.table < self._tables.position.revision
        return known.table_version < self._tables.version

    def _has_newer_evacuations(self, known: Known) -> bool:
        """Return whether the evacuations changed after those a peer has."""
        changed_at = self._evacuated.changed_at
        if known.evacuations_era is None:
            return known.evacuations < changed_at.revision
        era = known.evacuations_era
        return position.Position(era, known.evacuations) < changed_at

    def _get_hold_s(self, known: Known) -> float:
        """Return the seconds for which a poll without changes is held.

        This host's data is acceptable to the peer for that long. If it is not,
        the poll is not held, so that the peer can switch to another host.
        """
        age_s = self._directory.age_s
        table_age_s = self._tables.confirmed_age_s
        if age_s < 0 or table_age_s < 0:
            return 0.0
        has_better_peer = (
            self._is_cut_off or self._directory.stamp.hops > MAX_HOPS
        )
        if has_better_peer and not known.is_lost:
            return 0.0
        return min(
            POLL_HOLD_S,
            known.max_age_ms / 1000 - age_s,
            MAX_TABLE_AGE_S - table_age_s,
        )

    async def _wait_for_change(self, known: Known) -> None:
        hold_s = self._get_hold_s(known)
        if hold_s > 0:
            await core.wait_for_event(self._changed, hold_s)

    def _on_upstreams(self, change: directory.DirectoryChange) -> None:
        self.generation += 1
        self._changes.append((self.generation, change))
        self.wake()

    def _on_hosts(self) -> None:
        now = {each.host: each for each in self._hosts.list_hosts()}
        before, self._hosts_by_id = self._hosts_by_id, now
        changed = {
            name
            for name in before.keys() | now.keys()
            if before.get(name) != now.get(name)
        }
        self._host_changes.append((self._hosts.generation, changed))
        self.wake()

    def wake(self) -> None:
        """Answer all held polls."""
        self._changed.set()
        self._changed = asyncio.Event()


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedReply:
    """A full reply, the poll it answers and its loop time of creation."""

    known: Known
    created_at: float
    reply: messages.Reply

    def is_valid_for(self, known: Known, now: float) -> bool:
        """Return whether the reply may answer a poll with this state."""
        return self.known == known and now < self.created_at + FULL_REPLY_TTL_S


class PeerClient:
    """Polls one peer for changes and keeps what it has sent so far."""

    def __init__(self, entry: fleet.HostEntry):
        self.entry = entry
        # Why entries of the last reply were left out.
        self.problems: tuple[str, ...] = ()
        self.known = Known()
        self._hosts: dict[core.HostId, fleet.HostEntry] = {}
        self._received_table_revision = position.NEVER_READ.revision
        self._received_table_version = routing.NO_VERSION
        self._loop = asyncio.get_running_loop()
        self._client = http_client.HttpClient(
            core.split_address(entry.address)
        )

    async def ask(
        self,
        in_force: InForce,
        is_lost: bool,
        timeout_s: float = POLL_HOLD_S + REPLY_MARGIN_S,
        max_age_s: float = MAX_AGE_S,
    ) -> result.Result[Changes, sources.Unavailable]:
        """Return the peer's changes since the state that is in force here.

        The peer answers no later than when its upstreams are `max_age_s`
        seconds old. Returns `Unavailable` if it doesn't answer within
        `timeout_s` seconds, or not with a valid reply.
        """
        known = msgspec.structs.replace(
            self.known,
            table=max(in_force.table.revision, self._received_table_revision),
            table_version=max(
                in_force.table_version, self._received_table_version
            ),
            is_lost=is_lost,
            era=in_force.upstreams.era,
            evacuations=in_force.evacuations.revision,
            evacuations_era=in_force.evacuations.era,
            max_age_ms=_to_ms(max_age_s),
        )
        fields = msgspec.to_builtins(known)
        fields['is_lost'] = int(is_lost)
        query = urllib.parse.urlencode(fields)
        sent_at = self._loop.time()
        answer = await self._client.call(
            b'GET', f'{PATH}?{query}'.encode(), b'', timeout_s
        )
        match answer:
            case result.Err(problem):
                return result.Err(sources.Unavailable(problem.detail))
            case result.Ok(reply) if reply.status != 200:
                return result.Err(
                    sources.Unavailable(f'status {reply.status}')
                )
        elapsed_s = self._loop.time() - sent_at
        match read_reply(answer.ok_value, elapsed_s):
            case result.Err(problem):
                return result.Err(
                    sources.Unavailable(f'unreadable: {problem}')
                )
            case result.Ok(received):
                changes = received.changes
                self.problems = received.problems
        if changes.table is not None:
            self._received_table_revision = changes.table_revision
            self._received_table_version = changes.table_version
        return result.Ok(changes)

    @property
    def is_incremental(self) -> bool:
        """Return whether the next poll requests only changes."""
        return self.known.process != ''

    def merge_hosts(self, changes: Changes) -> list[fleet.HostEntry]:
        """Apply changes to the peer's list of hosts and return all of them."""
        if changes.hosts_whole:
            self._hosts.clear()
        for name in changes.hosts_left:
            self._hosts.pop(core.HostId(name), None)
        self._hosts.update({each.host: each for each in changes.hosts})
        return list(self._hosts.values())

    def acknowledge(self, changes: Changes | None) -> None:
        """Record which changes were applied; None requests the full state."""
        if changes is None:
            self.known = Known()
            return
        self.known = Known(
            process=changes.process,
            upstreams=changes.generation,
            hosts=changes.hosts_generation,
            quarantine=changes.quarantine_generation,
        )

    def close(self) -> None:
        """Close the connections to the peer."""
        self._client.close()


def render_changes(changes: Changes) -> messages.Reply:
    """Return a reply with changes, compressed if it is large."""
    body = msgspec.json.encode(changes)
    if len(body) < COMPRESSION_THRESHOLD_BYTES:
        return messages.Reply(200, [http_client.JSON], body)
    return messages.Reply(
        200, [http_client.JSON, DEFLATE_HEADER], zlib.compress(body)
    )


def read_changes(reply: messages.Reply, elapsed_s: float = 0.0) -> Changes:
    """Return the changes in a reply, with ages that include its delays.

    These are the time for which the reply was cached, and the part of the
    `elapsed_s` seconds since the poll for which the peer did not hold it.
    Raises `msgspec.DecodeError` if the reply can't be decoded. A reply that
    decompresses to more than `MAX_REPLY_BYTES` is truncated, which makes it
    invalid.
    """
    match read_reply(reply, elapsed_s):
        case result.Err(problem):
            raise msgspec.DecodeError(problem)
        case result.Ok(received):
            return received.changes


def read_reply(
    reply: messages.Reply, elapsed_s: float
) -> result.Result[ReceivedChanges, str]:
    """Return the changes in a reply as `read_changes`, or why there are none.

    Invalid entries are left out.
    """
    body = reply.body
    if reply.get_header(DEFLATE_HEADER[0]) == DEFLATE_HEADER[1]:
        try:
            body = zlib.decompressobj().decompress(body, MAX_REPLY_BYTES)
        except zlib.error as error:
            return result.Err(str(error))
    return _decode_changes(body).map(
        lambda received: dataclasses.replace(
            received,
            changes=_add_delays(received.changes, reply, elapsed_s),
        )
    )


def _decode_changes(body: bytes) -> result.Result[ReceivedChanges, str]:
    """Return the changes without their invalid entries.

    A peer of another version may relay entries that are invalid here.
    """
    match decoding.decode_json(body, Changes):
        case result.Ok(changes):
            return result.Ok(ReceivedChanges(changes))
    return decoding.decode_json(body, _UncheckedChanges).map(_check_entries)


def _check_entries(unchecked: _UncheckedChanges) -> ReceivedChanges:
    """Return changes with those of the entries that are valid.

    An upstream whose entry is invalid counts as removed, since what it has
    reported last is not known.
    """
    upstreams, bad_upstreams = decoding.decode_each(
        unchecked.upstreams, directory.Endpoint
    )
    hosts, bad_hosts = decoding.decode_each(
        unchecked.hosts or (), fleet.HostEntry
    )
    suspects, bad_records = decoding.decode_each(
        unchecked.suspects, quarantine.Record
    )
    named = [
        decoding.decode_json(bytes(raw), _UpstreamName)
        for raw, _ in bad_upstreams
    ]
    removed = [each.ok_value.upstream for each in named if each.is_ok()]
    fields = {
        **msgspec.structs.asdict(unchecked),
        'upstreams': upstreams,
        'left': [*unchecked.left, *removed],
        'hosts': None if unchecked.hosts is None else hosts,
        'suspects': suspects,
    }
    rejected = (*bad_upstreams, *bad_hosts, *bad_records)
    return ReceivedChanges(
        Changes(**fields), tuple(problem for _, problem in rejected)
    )


def _add_delays(
    changes: Changes, reply: messages.Reply, elapsed_s: float
) -> Changes:
    delay_ms = _read_ms(reply, CACHE_AGE_HEADER) or 0
    held_ms = _read_ms(reply, HOLD_HEADER)
    if held_ms is not None:
        # Hosts of the previous version do not say how long they held a poll.
        delay_ms += max(0, _to_ms(elapsed_s) - held_ms)
    return msgspec.structs.replace(
        changes,
        age_ms=_add_age(changes.age_ms, delay_ms),
        table_age_ms=_add_age(changes.table_age_ms, delay_ms),
    )


def _read_ms(reply: messages.Reply, name: bytes) -> int | None:
    return core.parse_number(reply.get_header(name))


def _add_age(age_ms: int, by_ms: int) -> int:
    """Return an age after `by_ms` more; -1 (no reading) is unchanged."""
    return age_ms + by_ms if age_ms >= 0 else age_ms


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
