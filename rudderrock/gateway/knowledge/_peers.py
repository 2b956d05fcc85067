"""What hosts tell one another: upstreams, hosts and the routing table.

A host asks a peer for what has changed since it last asked. The reply comes
as soon as there is a change, or after a short wait, and says how old the
peer's own reading is, so that a peer which has lost the source is noticed.
"""

import asyncio
import collections
import dataclasses
import itertools
import urllib.parse
import zlib

import msgspec
import result

from rudderrock import core
from rudderrock.gateway.http import _caller as caller
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _evacuations as evacuations
from rudderrock.gateway.knowledge import _first as first
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _position as position
from rudderrock.gateway.knowledge import _quarantine as quarantine
from rudderrock.gateway.knowledge import _routing as routing
from rudderrock.gateway.knowledge import _sources as sources

PATH = '/v1/changes'
# How long a peer may hold a question that has no news, and how much longer
# the asking host waits for it; seconds. A peer that reads the source answers
# with each reading, so the first is a little more than one period.
HOLD_S = 1.3
SLACK_S = 0.4
# A reading of the source that is older than this is not relied on; seconds.
FRESH_S = 2.0
# So is a table that the source has not confirmed for longer; seconds.
TABLE_FRESH_S = 4.0
# A reading may have been passed on so often and still be good enough for a
# host that the source answers: from the host that reads to the first of
# each other zone, and from there within the zone. With more, a circle of
# hosts could take an old reading for a fresh one.
MOST_HOPS = 1
# How long a host that has just started holds a question until it knows
# something, in seconds; it does 0.1 s after it listens.
FIRST_HOLD_S = 0.5
# How long a reply that tells all is given to other peers too, in seconds.
# Hundreds of hosts that start together ask for it at once; to make one of
# 450 upstreams and 195 hosts takes 0.9 ms of a whole core (the mean of 50),
# twice that on half a core. `KEPT_MS` says how old it is.
WHOLE_KEPT_S = 0.1
KEPT_MS = b'rudderrock-kept-ms'
# Replies from this size on are sent compressed, in bytes: listings and tables
# of hundreds of entries shrink to a fifth, and cross regions.
COMPRESS_FROM = 2048
DEFLATE = (b'content-encoding', b'deflate')
# No reply is larger than this when it is whole, in bytes.
MOST_REPLY_BYTES = 32 * 1024 * 1024
# Changes that are kept for peers; one that is further behind gets all.
MOST_CHANGES = 64


class Known(msgspec.Struct, frozen=True):
    """What the asking host has already, of this peer's process.

    `table_version` is that of the last table that it was sent, whether it
    could use it or not: else it would be sent again at once. Hosts of the
    version before say instead at which revision of the source it was read,
    `table`, and are told so too.

    `is_lost` tells that the source turns it away, so that it also takes
    what the peer has from others. `evacuations` is the revision of the
    evacuations that it knows, in `evacuations_era`, and `era` is that of the
    upstreams; hosts of the version before do not say those two.
    """

    process: str = ''
    upstreams: int = 0
    era: int | None = None
    hosts: int = 0
    table: int = -1
    table_version: int | None = None
    is_lost: bool = False
    evacuations: int = position.NOWHERE.revision
    evacuations_era: int | None = None
    quarantine: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """What is in force at a host that asks, and where it was read."""

    table_version: routing.TableVersion = routing.NO_VERSION
    table: position.Position = position.NOWHERE
    upstreams: position.Position = position.NOWHERE
    evacuations: position.Position = position.NOWHERE


class Changes(msgspec.Struct, frozen=True, kw_only=True):
    """What is new, and how old it is.

    `whole` tells that `upstreams` are all there are; else they are what
    was added or changed, and `left` what is gone. `hosts`, `hosts_left` and
    `hosts_whole` tell the same of hosts; None if nothing changed. `origin`
    and `number` name the reading of the source that they come from, `hops`
    counts the hosts that have passed it on to this one and `age_ms` is its
    age, -1 if there has been none; `table_age_ms` is the time since the
    source last confirmed the table. `hold_ms` tells for how long missing
    upstreams are still kept. `evacuated` are all evacuated zones as of
    `evacuations_revision`, and `evacuated_at` the revisions at which each was,
    none where the peer does not say. Each revision belongs to an era of the
    source, 0 where the peer does not say. `suspects` is what is new of
    requests that upstreams have ended under.
    """

    process: str
    generation: int
    whole: bool
    upstreams: list[directory.Endpoint]
    left: list[str]
    revision: int
    era: int = 0
    origin: str
    number: int
    hops: int
    age_ms: int
    table_age_ms: int
    hold_ms: int
    hosts_generation: int
    hosts: list[fleet.HostEntry] | None = None
    hosts_left: list[str] = []
    hosts_whole: bool = True
    table: bytes | None = None
    table_version: int = routing.NO_VERSION
    table_revision: int = 0
    table_era: int = 0
    evacuated: list[str] = []
    evacuated_at: list[int] = []
    evacuations_revision: int = position.NOWHERE.revision
    evacuations_era: int = 0
    suspects: list[quarantine.Record] = []
    quarantine_generation: int = 0

    @property
    def upstreams_position(self) -> position.Position:
        """Return where the upstreams were read."""
        return position.Position(self.era, self.revision)

    @property
    def table_position(self) -> position.Position:
        """Return where the table was read."""
        return position.Position(self.table_era, self.table_revision)

    @property
    def evacuations_position(self) -> position.Position:
        """Return where the evacuations were read."""
        return position.Position(
            self.evacuations_era, self.evacuations_revision
        )

    @property
    def evacuations_written(self) -> dict[core.ZoneId, int]:
        """Return the evacuated zones and when each was evacuated."""
        revisions = itertools.chain(
            self.evacuated_at, itertools.repeat(evacuations.NOT_TOLD)
        )
        zones = map(core.ZoneId, self.evacuated)
        return dict(zip(zones, revisions, strict=False))

    @property
    def is_near(self) -> bool:
        """Tell whether the peer has it from the source or next to it."""
        return self.hops <= MOST_HOPS

    @property
    def is_fresh(self) -> bool:
        """Tell whether what it says may be relied on."""
        return _are_fresh(self.age_ms / 1000, self.table_age_ms / 1000)


class ChangeBook:
    """Keeps what has changed here lately, and answers peers.

    Parameters: `process` names this incarnation of the process, since
    generations begin anew with each.
    """

    def __init__(
        self,
        process: str,
        listing: directory.Directory,
        hosts: fleet.Fleet,
        tables: sources.TableHolder,
        evacuated: evacuations.EvacuationHolder,
        first_knowledge: first.FirstKnowledge,
        known_quarantine: quarantine.Quarantine,
        clock: core.Clock,
    ):
        self.generation = 0
        self._evacuated = evacuated
        self.process = process
        self._listing = listing
        self._hosts = hosts
        self._tables = tables
        self._first = first_knowledge
        self._quarantine = known_quarantine
        self._clock = clock
        self._whole: _WholeReply | None = None
        self._changes: collections.deque[
            tuple[int, directory.DirectoryChange]
        ] = collections.deque(maxlen=MOST_CHANGES)
        # 62 hosts that start together change their list some 60 times. Sent
        # whole, 7 KB, to the first hosts of 5 zones, that is 2 MB (by sums).
        self._host_changes: collections.deque[tuple[int, set[core.HostId]]] = (
            collections.deque(maxlen=MOST_CHANGES)
        )
        self._told_hosts: dict[core.HostId, fleet.HostEntry] = {}
        self._news = asyncio.Event()
        listing.add_listener(self._on_upstreams)
        hosts.add_listener(self._on_hosts)
        tables.add_listener(lambda table: self.wake())
        listing.add_reader(self.wake)
        evacuated.add_listener(lambda found: self.wake())
        known_quarantine.add_listener(self.wake)

    async def answer(self, request: messages.Request) -> messages.Reply:
        """Answer a peer's question."""
        path, _, query = request.target.decode('latin-1').partition('?')
        if path != PATH:
            return messages.Reply(404, [])
        try:
            known = msgspec.convert(
                dict(urllib.parse.parse_qsl(query)), Known, strict=False
            )
        except msgspec.ValidationError as error:
            return messages.Reply(400, [], str(error).encode())
        if not self._first.is_complete:
            # It has nothing to tell yet, and will soon.
            await self._first.wait_for(FIRST_HOLD_S)
        elif not self._has_news(known) and self._is_of_use(known):
            await self._wait()
        if known.process != self.process:
            return self._render_whole(known)
        return render_changes(self.list_changes(known))

    def _render_whole(self, known: Known) -> messages.Reply:
        """Return all that there is, made once for peers that ask together."""
        now = self._clock.now()
        made = self._whole
        if made is None or not made.serves(known, now):
            reply = render_changes(self.list_changes(known))
            made = _WholeReply(known, now, reply)
            # One that has nothing to tell yet is not given to others.
            self._whole = made if self._first.is_complete else None
        late_ms = _to_ms(now - made.made_at)
        headers = [*made.reply.headers, (KEPT_MS, b'%d' % late_ms)]
        return messages.Reply(200, headers, made.reply.body)

    def list_changes(self, known: Known) -> Changes:
        """Return what a peer lacks."""
        same = known.process == self.process
        upstreams, left, whole = self._list_upstreams(known, same)
        listing = self._listing
        tables = self._tables
        stamp = listing.stamp
        evacuated = self._evacuated.current
        hosts, hosts_left, hosts_whole = self._list_hosts(known, same)
        return Changes(
            process=self.process,
            generation=self.generation,
            whole=whole,
            upstreams=upstreams,
            left=left,
            revision=listing.position.revision,
            era=listing.position.era,
            origin=stamp.origin if stamp is not None else '',
            number=stamp.number if stamp is not None else 0,
            hops=stamp.hops if stamp is not None else 0,
            age_ms=_to_ms(listing.age_s),
            table_age_ms=_to_ms(tables.confirmed_s),
            hold_ms=_to_ms(listing.hold_s),
            hosts_generation=self._hosts.generation,
            hosts=hosts,
            hosts_left=hosts_left,
            hosts_whole=hosts_whole,
            table=tables.raw if self._has_newer_table(known) else None,
            table_version=tables.version,
            table_revision=tables.position.revision,
            table_era=tables.position.era,
            evacuated=list(evacuated.written),
            evacuated_at=list(evacuated.written.values()),
            evacuations_revision=evacuated.position.revision,
            evacuations_era=evacuated.position.era,
            suspects=self._quarantine.list_since(
                known.quarantine if same else 0
            ),
            quarantine_generation=self._quarantine.generation,
        )

    def _list_upstreams(
        self, known: Known, same: bool
    ) -> tuple[list[directory.Endpoint], list[str], bool]:
        oldest = self._changes[0][0] if self._changes else self.generation
        is_same_era = known.era in (None, self._listing.position.era)
        same = same and is_same_era
        if not same or known.upstreams < oldest - 1:
            return list(self._listing.list_all()), [], True
        touched: set[core.UpstreamId] = set()
        for generation, change in self._changes:
            if generation > known.upstreams:
                touched.update(change.touched)
        found = {each: self._listing.get_endpoint(each) for each in touched}
        upstreams = [each for each in found.values() if each is not None]
        left = [name for name, each in found.items() if each is None]
        return upstreams, left, False

    def _list_hosts(
        self, known: Known, same: bool
    ) -> tuple[list[fleet.HostEntry] | None, list[str], bool]:
        """Return what hosts a peer lacks, which left, and if that is all."""
        newest = self._hosts.generation
        if same and known.hosts == newest:
            return None, [], False
        oldest = self._host_changes[0][0] if self._host_changes else newest
        if not same or known.hosts < oldest - 1:
            return self._hosts.list_hosts(), [], True
        touched: set[core.HostId] = set()
        for generation, names in self._host_changes:
            if generation > known.hosts:
                touched |= names
        there = self._told_hosts
        hosts = [there[name] for name in sorted(touched & there.keys())]
        return hosts, sorted(touched - there.keys()), False

    def _has_news(self, known: Known) -> bool:
        return (
            known.process != self.process
            or known.upstreams != self.generation
            or known.hosts != self._hosts.generation
            or self._has_newer_table(known)
            or self._has_newer_evacuations(known)
            or known.quarantine != self._quarantine.generation
        )

    def _has_newer_table(self, known: Known) -> bool:
        """Tell whether a peer lacks the table in force here.

        Operators number their versions upwards, whatever becomes of the
        source. Its revisions go back when it comes back from a copy, and by
        them a newer table would seem to be one that the peer has already.
        """
        if known.table_version is None:
            return known.table < self._tables.position.revision
        return known.table_version < self._tables.version

    def _has_newer_evacuations(self, known: Known) -> bool:
        """Tell whether the zones have changed since a peer learnt them."""
        changed_at = self._evacuated.changed_at
        if known.evacuations_era is None:
            return known.evacuations < changed_at.revision
        era = known.evacuations_era
        return position.Position(era, known.evacuations) < changed_at

    def _is_of_use(self, known: Known) -> bool:
        """Tell whether it pays for a peer to wait for news from here."""
        if not _are_fresh(self._listing.age_s, self._tables.confirmed_s):
            return False
        return known.is_lost or self._listing.stamp.hops <= MOST_HOPS

    async def _wait(self) -> None:
        await core.wait_for_event(self._news, HOLD_S)

    def _on_upstreams(self, change: directory.DirectoryChange) -> None:
        self.generation += 1
        self._changes.append((self.generation, change))
        self.wake()

    def _on_hosts(self) -> None:
        now = {each.host: each for each in self._hosts.list_hosts()}
        before, self._told_hosts = self._told_hosts, now
        touched = {
            name
            for name in before.keys() | now.keys()
            if before.get(name) != now.get(name)
        }
        self._host_changes.append((self._hosts.generation, touched))
        self.wake()

    def wake(self) -> None:
        """Answer all peers that wait, since there is something to tell."""
        self._news.set()
        self._news = asyncio.Event()


@dataclasses.dataclass(frozen=True, slots=True)
class _WholeReply:
    """The reply to a question, and the loop time at which it was made."""

    known: Known
    made_at: float
    reply: messages.Reply

    def serves(self, known: Known, now: float) -> bool:
        """Tell whether it may still be given to a peer that knows so much."""
        return self.known == known and now < self.made_at + WHOLE_KEPT_S


class PeerClient:
    """Asks one peer for changes, again and again."""

    def __init__(self, entry: fleet.HostEntry):
        self.entry = entry
        self.known = Known()
        self._hosts: dict[core.HostId, fleet.HostEntry] = {}
        self._sent_table = position.NOWHERE.revision
        self._sent_version = routing.NO_VERSION
        self._caller = caller.HttpCaller(core.split_address(entry.address))

    async def ask(
        self,
        in_force: InForce,
        is_lost: bool,
        timeout_s: float = HOLD_S + SLACK_S,
    ) -> result.Result[Changes, sources.Unavailable]:
        """Return what is new to a host with so much in force."""
        known = msgspec.structs.replace(
            self.known,
            table=max(in_force.table.revision, self._sent_table),
            table_version=max(in_force.table_version, self._sent_version),
            is_lost=is_lost,
            era=in_force.upstreams.era,
            evacuations=in_force.evacuations.revision,
            evacuations_era=in_force.evacuations.era,
        )
        fields = msgspec.to_builtins(known)
        fields['is_lost'] = int(is_lost)
        query = urllib.parse.urlencode(fields)
        answer = await self._caller.call(
            b'GET', f'{PATH}?{query}'.encode(), b'', timeout_s
        )
        match answer:
            case result.Err(problem):
                return result.Err(sources.Unavailable(problem.detail))
            case result.Ok(reply) if reply.status != 200:
                return result.Err(
                    sources.Unavailable(f'status {reply.status}')
                )
        try:
            changes = read_changes(answer.ok_value)
        except (msgspec.DecodeError, zlib.error) as error:
            return result.Err(sources.Unavailable(f'unreadable: {error}'))
        if changes.table is not None:
            self._sent_table = changes.table_revision
            self._sent_version = changes.table_version
        return result.Ok(changes)

    @property
    def is_in_step(self) -> bool:
        """Tell whether only what is new will be asked for."""
        return self.known.process != ''

    def merge_hosts(self, changes: Changes) -> list[fleet.HostEntry]:
        """Return all hosts that the peer knows, after its changes."""
        if changes.hosts_whole:
            self._hosts.clear()
        for name in changes.hosts_left:
            self._hosts.pop(core.HostId(name), None)
        self._hosts.update({each.host: each for each in changes.hosts})
        return list(self._hosts.values())

    def note_applied(self, changes: Changes | None) -> None:
        """Take note of what has been taken over; None asks for all."""
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
        self._caller.close()


def render_changes(changes: Changes) -> messages.Reply:
    """Return the reply that carries changes, compressed if it is long."""
    body = msgspec.json.encode(changes)
    if len(body) < COMPRESS_FROM:
        return messages.Reply(200, [caller.JSON], body)
    return messages.Reply(200, [caller.JSON, DEFLATE], zlib.compress(body))


def read_changes(reply: messages.Reply) -> Changes:
    """Return the changes that a reply carries.

    Raises `msgspec.DecodeError` or `zlib.error` if it can't be read; one
    that would be longer than `MOST_REPLY_BYTES` is cut, and so can't be.
    """
    body = reply.body
    if reply.get_header(DEFLATE[0]) == DEFLATE[1]:
        body = zlib.decompressobj().decompress(body, MOST_REPLY_BYTES)
    changes = msgspec.json.decode(body, type=Changes)
    kept = reply.get_header(KEPT_MS) or b''
    if not kept.isdigit():
        return changes
    return msgspec.structs.replace(
        changes,
        age_ms=_grow_older(changes.age_ms, int(kept)),
        table_age_ms=_grow_older(changes.table_age_ms, int(kept)),
    )


def _grow_older(age_ms: int, by_ms: int) -> int:
    """Return an age after some time; -1 stays, as there is no reading."""
    return age_ms + by_ms if age_ms >= 0 else age_ms


def _are_fresh(upstreams_s: float, table_s: float) -> bool:
    """Tell whether ages in seconds may be relied on; -1 is no reading."""
    return 0 <= upstreams_s <= FRESH_S and 0 <= table_s <= TABLE_FRESH_S


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
