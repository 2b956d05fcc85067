"""Keeping routes, upstreams and hosts in step with the source.

A host that starts asks the hosts that its settings name, and the source
only if they have nothing for it or a caller waits. After that one host reads
the source. The first host of each other availability zone asks it, and the
other hosts of a zone ask their first. Which hosts these are follows from
their names, without an election. A host that gets nothing fresh from the
others reads by itself, and a host that the source turns away asks the others.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import random

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _era as era
from rudderrock.gateway.knowledge import _evacuations as evacuations
from rudderrock.gateway.knowledge import _first as first
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _operators as operators
from rudderrock.gateway.knowledge import _peers as peers
from rudderrock.gateway.knowledge import _quarantine as quarantine
from rudderrock.gateway.knowledge import _sources as sources

# Between two readings of the upstreams, in seconds. A leaving upstream must
# get no new work some seconds after it said so, and each reading is paid.
READ_INTERVAL_S = 1.0
# Between two readings of the hosts, in seconds; few things hang on them.
HOSTS_INTERVAL_S = 4.0
# While this process is young, others may be registering too: it reads the
# hosts at this interval until it is so old; seconds.
STARTUP_HOSTS_INTERVAL_S = 0.8
STARTUP_PERIOD_S = 4.0
# Between tries while the source does not answer, in seconds, for the host
# that reads for others and for one that asks others first; and the part by
# which chance varies it so that hosts don't ask in step.
RETRY_INTERVAL_S = 0.5
FALLBACK_RETRY_INTERVAL_S = 2.0
# All hosts that ask others first make so many tries a second together, at
# most: whoever finds the source back tells the rest. With a try each 2 s, 195
# hosts make 98 a second, while the source comes back.
MAX_FALLBACK_TRIES_PER_S = 5.0
_JITTER = 0.15
# A peer that failed is passed over for this long, in seconds, and one that
# had nothing fresh for a shorter time, since it is looking for a source too.
FAILED_PEER_SKIP_S = 4.0
STALE_PEER_SKIP_S = 1.2
# For so long, in seconds, hosts that start together take what has been passed
# on often: those that were not up yet are passed over for `SKIP_S`.
SETTLING_PERIOD_S = FAILED_PEER_SKIP_S + 2.0
# Peers asked in a row before the source is tried.
MAX_PEERS_ASKED = 3
# How long a host that starts looks for knowledge at its seeds while no caller
# waits, in seconds, how long one of them may take, and the pause before they
# are tried again: hosts that start together listen within some 0.3 s of each
# other. Each host that reads the source at its start makes four calls of it,
# so 195 that start together some 780, in the second in which all callers wait.
SEED_SYNC_TIMEOUT_S = 1.5
SEED_REQUEST_TIMEOUT_S = 0.8
SEED_RETRY_PAUSE_S = 0.1
# The pause after a peer's answer, in seconds, which nobody notices. Without it
# two peers that each had something newer than the other were asked in turn
# without an end.
AFTER_ANSWER_PAUSE_S = 0.02


class Follower:
    """Learns from peers or from the source, and tells which."""

    def __init__(
        self,
        source: sources.SourcePort,
        tables: sources.TableHolder,
        evacuated: evacuations.EvacuationHolder,
        listing: directory.Directory,
        hosts: fleet.Fleet,
        first_knowledge: first.FirstKnowledge,
        changes: peers.ChangeBook,
        known_quarantine: quarantine.Quarantine,
        source_era: era.SourceEra,
        clock: core.Clock,
        chance: random.Random,
        events: log.EventLog,
        seeds: Iterable[tuple[str, int]] = (),
    ):
        self.lost_at: float | None = None
        self.peer: peers.PeerClient | None = None
        self._source = source
        self._tables = tables
        self._evacuated = evacuated
        self._listing = listing
        self._hosts = hosts
        self._first = first_knowledge
        self._changes = changes
        self._quarantine = known_quarantine
        self._era = source_era
        self._clock = clock
        self._random = chance
        self._events = events
        seeds = list(seeds)
        self._seeds = fleet.make_seed_entries(seeds, hosts.own)
        # Seeds that looked to one another would all wait.
        self._is_seed = len(self._seeds) < len(seeds)
        # The seed that this host has learnt from at its start.
        self._seed_peer: fleet.HostEntry | None = None
        self._skip_until: dict[core.HostId, float] = {}
        self._hosts_read_at = -HOSTS_INTERVAL_S
        self._started_at = clock.now()
        self._last_try_at = -FALLBACK_RETRY_INTERVAL_S
        # Part of the time between two tries; chance draws another each time.
        self._retry_factor = 1.0
        self._reading_count = 0
        self._problems: frozenset[str] = frozenset()
        self._operators = operators.OperatorWatch(
            source, tables, evacuated, events
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            if not await self._sync_from_seeds():
                await self._read_source()
            while True:
                await self._synchronize_once()
        finally:
            self._drop_peer()
            self._operators.stop()

    async def _sync_from_seeds(self) -> bool:
        """Learn all for the first time from a seed; tell whether it did."""
        if self._is_seed or not self._seeds:
            return False
        asking = asyncio.create_task(self._ask_seeds())
        wanted = asyncio.create_task(self._first.wait_for_waiter())
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(core.end_task, asking)
            stack.push_async_callback(core.end_task, wanted)
            await asyncio.wait(
                {asking, wanted},
                timeout=SEED_SYNC_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return asking.done() and asking.result()

    async def _ask_seeds(self) -> bool:
        """Ask seeds in an order of chance until one has something fresh."""
        seeds = list(self._seeds)
        self._random.shuffle(seeds)
        while True:
            for entry in seeds:
                if await self._ask_seed(entry):
                    self._seed_peer = entry
                    return True
            await asyncio.sleep(SEED_RETRY_PAUSE_S)

    async def _ask_seed(self, entry: fleet.HostEntry) -> bool:
        """Learn what a seed knows; tell whether that is enough to serve."""
        client = self._get_client(entry)
        answer = await client.ask(
            self._get_in_force(),
            is_lost=True,
            timeout_s=SEED_REQUEST_TIMEOUT_S,
        )
        if answer.is_err():
            return False
        changes = answer.ok_value
        self._apply_changes(client, changes)
        return changes.is_fresh and self._first.is_complete

    async def _synchronize_once(self) -> None:
        """Learn once more, from the best that there is just now."""
        self._evacuated.expire_unconfirmed()
        is_first = self._is_first_reader()
        if not (is_first and self._is_due(FALLBACK_RETRY_INTERVAL_S)):
            if await self._ask_peers():
                return
        retry_s = (
            RETRY_INTERVAL_S if is_first else self._get_fallback_retry_s()
        )
        if self.lost_at is not None and not self._is_due(retry_s):
            await self._pause(RETRY_INTERVAL_S)
            return
        if await self._read_source():
            await self._pause(READ_INTERVAL_S)
        else:
            await self._pause(RETRY_INTERVAL_S)

    def _get_fallback_retry_s(self) -> float:
        """Return the time between two tries of a host that asks others."""
        all_s = self._hosts.count() / MAX_FALLBACK_TRIES_PER_S
        return max(FALLBACK_RETRY_INTERVAL_S, all_s * self._retry_factor)

    def _is_due(self, retry_s: float) -> bool:
        """Tell whether a source that is lost is to be tried again.

        The host that others look to must try even while peers tell it all:
        else it would never read for them again.
        """
        if self.lost_at is None:
            return False
        return self._clock.now() - self._last_try_at >= retry_s

    def _is_first_reader(self) -> bool:
        return self._hosts.rank_readers()[0].host == self._hosts.own.host

    def _list_peers(self) -> list[fleet.HostEntry]:
        """Return whom to ask before the source, best first.

        Those are the hosts of its zone that go before this one, and for the
        first of a zone the first ones of zones that go before; and while the
        source turns this host away, all others too, or the seeds if it knows
        none.
        """
        now = self._clock.now()
        if self._hosts.is_listed:
            # For good: the next peer's list may be older and lack this host,
            # and to go back and forth would be without a pause.
            self._seed_peer = None
        ranked = self._hosts.rank_readers()
        own = self._hosts.own.host
        rank = [each.host for each in ranked].index(own)
        wanted = ranked[:rank]
        if self._seed_peer is not None:
            # Until the registry names this host its list is short of others
            # that have started with it, and the order is not theirs.
            wanted = [self._seed_peer, *wanted]
        if not (wanted or self._listing.differs_from_reading):
            # While upstreams are kept only whole listings tell when to drop
            # them, and those are too long to send between zones.
            wanted = self._hosts.list_earlier_readers()
        if self.lost_at is not None:
            wanted = ranked[:rank] + ranked[rank + 1 :]
            wanted += self._hosts.list_others()
            wanted = wanted or self._seeds
            if self.peer is not None:
                # The one that had something fresh, as long as it has: one that
                # goes before it may have that from this very host, and two
                # hosts that ask each other learn nothing new until their
                # readings are too old.
                wanted = [self.peer.entry, *wanted]
        return [
            each
            for each in dict.fromkeys(wanted)
            if self._skip_until.get(each.host, now) <= now
        ][:MAX_PEERS_ASKED]

    async def _ask_peers(self) -> bool:
        """Ask peers in turn until one has something fresh."""
        for entry in self._list_peers():
            client = self._get_client(entry)
            answer = await client.ask(
                self._get_in_force(), self._accepts_relayed()
            )
            match answer:
                case result.Ok(changes):
                    self._apply_changes(client, changes)
                    if self._is_good(changes):
                        is_in_step = client.is_in_step
                        await self._pause(
                            AFTER_ANSWER_PAUSE_S
                            if is_in_step
                            else RETRY_INTERVAL_S
                        )
                        return True
                    ages = f'{changes.age_ms}, {changes.table_age_ms} ms'
                    skip_s = (
                        FAILED_PEER_SKIP_S
                        if changes.is_fresh
                        else STALE_PEER_SKIP_S
                    )
                    self._skip_peer(entry, f'ages {ages}', skip_s)
                case result.Err(problem):
                    self._skip_peer(entry, problem.detail, FAILED_PEER_SKIP_S)
                    if self.lost_at is None:
                        # Waiting for one more might take too long.
                        return False
        return False

    def _get_in_force(self) -> peers.InForce:
        return peers.InForce(
            table_version=self._tables.version,
            table=self._tables.position,
            upstreams=self._listing.position,
            evacuations=self._evacuated.current.position,
        )

    def _is_good(self, changes: peers.Changes) -> bool:
        """Tell whether a peer's word spares this host its own reading.

        What has been passed on more often is older by a round each time; it
        is good enough only for a host that the source turns away.
        """
        if not changes.is_fresh:
            return False
        if changes.era < self._listing.position.era:
            # It is passed over here, so nothing would be learnt from it. A
            # host of the version before names no era at all.
            return False
        if self._accepts_relayed():
            return True
        return changes.is_near and changes.origin != self._changes.process

    def _accepts_relayed(self) -> bool:
        """Tell whether what has been passed on often is good enough.

        It is while the source turns this host away, and at its start: hosts
        that start together find their order only then, and each would read
        the source instead.
        """
        return self.lost_at is not None or self._is_settling()

    def _is_settling(self) -> bool:
        return self._clock.now() - self._started_at < SETTLING_PERIOD_S

    def _is_outdated_host_list(self, found: list[fleet.HostEntry]) -> bool:
        """Tell whether a peer that has just started knows fewer hosts.

        With its list this host would know nobody to ask but the source.
        """
        named = any(each.host == self._hosts.own.host for each in found)
        return self._is_settling() and self._hosts.is_listed and not named

    def _get_client(self, entry: fleet.HostEntry) -> peers.PeerClient:
        if self.peer is None or self.peer.entry != entry:
            self._drop_peer()
            self.peer = peers.PeerClient(entry)
            self._operators.stop()
            self._events.record(
                events.LogKind.READING_FROM, peer=entry.host, zone=entry.zone
            )
        return self.peer

    def _drop_peer(self) -> None:
        if self.peer is not None:
            self.peer.close()
            self.peer = None

    def _skip_peer(
        self, entry: fleet.HostEntry, detail: str, seconds: float
    ) -> None:
        self._skip_until[entry.host] = self._clock.now() + seconds
        self._events.record(
            events.LogKind.PEER_SKIPPED, peer=entry.host, detail=detail
        )

    def _apply_changes(
        self, client: peers.PeerClient, changes: peers.Changes
    ) -> None:
        origin = f'peer {client.entry.host}'
        if changes.table is not None:
            reading = self._source.decode_table(
                changes.table, changes.table_position
            )
            self._tables.apply_reading(reading, origin)
        self._evacuated.apply(
            evacuations.Evacuations(
                changes.evacuations_position, changes.evacuations_written
            ),
            origin,
        )
        self._quarantine.merge(changes.suspects, origin)
        if changes.table_age_ms >= 0:
            self._tables.confirm(changes.table_age_ms / 1000)
        if changes.hosts is not None:
            found = client.merge_hosts(changes)
            if not self._is_outdated_host_list(found):
                self._apply_hosts(found, origin)
        if changes.age_ms < 0:
            return
        self._era.note(
            changes.upstreams_position, self._listing.position, origin
        )
        stamp = directory.ReadingStamp(
            changes.origin,
            changes.number,
            self._clock.now() - changes.age_ms / 1000,
            changes.hops + 1,
        )
        if changes.hold_ms > 0:
            self._listing.hold_for(changes.hold_ms / 1000)
        is_older = changes.upstreams_position < self._listing.position
        if changes.whole:
            change = self._listing.apply_reading(
                changes.upstreams, changes.upstreams_position, stamp
            )
        else:
            change = self._listing.apply_changes(
                changes.upstreams,
                changes.left,
                changes.upstreams_position,
                stamp,
            )
        self._log_change(change, origin)
        if self._listing.differs_from_reading or is_older:
            # Only a whole listing tells when these are to be dropped, and
            # what the peer knew where it was passed over: it may know more of
            # an upstream than the source that has come back from a copy.
            client.note_applied(None)
        else:
            client.note_applied(changes)

    async def _read_source(self) -> bool:
        """Read what is due from the source; tell whether it answered."""
        self._last_try_at = self._clock.now()
        self._retry_factor = self._random.uniform(0.5, 1.5)
        match await self._source.list_upstreams():
            case result.Err(problem):
                self._record_source_lost('upstreams', problem.detail)
                return False
            case result.Ok(reading):
                self._record_source_back()
                self._apply_upstreams(reading)
        if self.peer is not None:
            self._drop_peer()
            self._events.record(events.LogKind.READING_FROM, peer='', zone='')
        await self._read_hosts()
        match await self._operators.ensure_running():
            case result.Err(problem):
                self._record_source_lost('table', problem.detail)
        return True

    async def _read_hosts(self) -> None:
        now = self._clock.now()
        is_starting = now - self._started_at < STARTUP_PERIOD_S
        every_s = STARTUP_HOSTS_INTERVAL_S if is_starting else HOSTS_INTERVAL_S
        if now - self._hosts_read_at < every_s:
            return
        match await self._source.list_hosts():
            case result.Ok(found):
                self._hosts_read_at = now
                self._apply_hosts(found, 'source')
            case result.Err(problem):
                self._record_source_lost('hosts', problem.detail)

    def _apply_hosts(self, found: list[fleet.HostEntry], origin: str) -> None:
        if self._hosts.apply_listing(found):
            self._events.record(
                events.LogKind.HOSTS_CHANGED,
                hosts=sorted(each.host for each in found),
                counted=self._hosts.count(),
                origin=origin,
            )

    def _apply_upstreams(self, reading: sources.UpstreamReading) -> None:
        self._log_new_problems(reading.problems)
        if self._era.note(reading.position, self._listing.position, 'source'):
            # A watch may go on from a revision that has been given out again.
            self._operators.stop()
            self._hosts_read_at = -HOSTS_INTERVAL_S
        self._reading_count += 1
        stamp = directory.ReadingStamp(
            self._changes.process, self._reading_count, self._clock.now()
        )
        change = self._listing.apply_reading(
            reading.endpoints, reading.position, stamp
        )
        self._log_change(change, 'source')

    def _log_new_problems(self, problems: Iterable[str]) -> None:
        """Log each entry that can't be used, once while it lasts."""
        found = frozenset(problems)
        for problem in sorted(found - self._problems):
            self._events.record(events.LogKind.ENTRY_REJECTED, problem=problem)
        self._problems = found

    def _log_change(
        self, change: directory.DirectoryChange | None, origin: str
    ) -> None:
        if change is None:
            return
        self._events.record(
            events.LogKind.UPSTREAMS_CHANGED,
            era=self._listing.position.era,
            revision=self._listing.position.revision,
            added=change.added,
            left=change.left,
            held=change.held,
            origin=origin,
        )

    def _record_source_lost(self, call: str, detail: str) -> None:
        if self.lost_at is not None:
            return
        self.lost_at = self._clock.now()
        self._changes.wake()
        self._events.record(
            events.LogKind.DEPENDENCY_LOST,
            dependency='source',
            call=call,
            detail=detail,
        )

    def _record_source_back(self) -> None:
        if self.lost_at is None:
            return
        away_s = self._clock.now() - self.lost_at
        self.lost_at = None
        if self._listing.age_s > directory.MAX_HARMLESS_OUTAGE_S:
            self._listing.hold_for(directory.REREGISTRATION_GRACE_S)
        # The watch may have been cut without a sign.
        self._operators.stop()
        self._events.record(
            events.LogKind.DEPENDENCY_BACK,
            dependency='source',
            away_s=round(away_s, 3),
        )

    async def _pause(self, mean_s: float) -> None:
        factor = 1.0 + _JITTER * (2 * self._random.random() - 1.0)
        await asyncio.sleep(mean_s * factor)
