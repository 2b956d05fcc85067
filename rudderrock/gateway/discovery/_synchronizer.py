"""Synchronization of routes, upstreams and hosts with the source.

A starting host asks the seeds that its settings name, and reads the source
only if they have no data for it or a caller waits. After that, one host reads
the source. The first host of each other availability zone asks that host for
changes, and the other hosts of a zone ask the first host of their zone. The
order of hosts follows from their names, without an election. A host that gets
no fresh data from its peers reads the source itself, and a host that gets no
answer from the source asks any other host.
"""

import asyncio
from collections.abc import Iterable
import random

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway import _rejected_entries as rejected_entries
from rudderrock.gateway.discovery import _archive as archive_module
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _era as era
from rudderrock.gateway.discovery import _evacuations as evacuations
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _initial_sync as initial_sync_module
from rudderrock.gateway.discovery import _operator_data as operator_data
from rudderrock.gateway.discovery import _patience as patience
from rudderrock.gateway.discovery import _peers as peers
from rudderrock.gateway.discovery import _quarantine as quarantine
from rudderrock.gateway.discovery import _seed_sync as seed_sync_module
from rudderrock.gateway.discovery import _sources as sources

# Interval between readings of the upstreams, in seconds. A draining upstream
# must stop getting new work within a few seconds of announcing the drain, but
# each reading has a cost.
READ_INTERVAL_S = 1.0
# Interval between readings of the hosts, in seconds; little depends on them.
HOSTS_INTERVAL_S = 4.0
# Other hosts may be registering while this process starts, so it reads the
# hosts at a shorter interval until it has run for `STARTUP_PERIOD_S`; both in
# seconds.
STARTUP_HOSTS_INTERVAL_S = 0.8
STARTUP_PERIOD_S = 4.0
# Seconds between attempts while the source does not answer: for the host that
# reads for others, and for a host that asks peers first. Each pause varies at
# random by the fraction `_JITTER`, so that hosts do not ask simultaneously.
RETRY_INTERVAL_S = 0.5
FALLBACK_RETRY_INTERVAL_S = 2.0
# Combined limit on the attempts per second of all hosts that ask peers first.
# One success is enough, since its data is relayed. With one attempt every 2 s,
# 195 hosts would make 98 per second while the source recovers.
MAX_FALLBACK_TRIES_PER_S = 5.0
_JITTER = 0.15
# How long a peer is skipped, in seconds, after it failed or sent fresh data
# that was relayed too often. One that had no fresh data is skipped for a
# shorter time, since it is looking for a source too.
PEER_SKIP_S = 4.0
STALE_PEER_SKIP_S = 1.2
# For this long after its start, in seconds, a host accepts data that was
# relayed several times. When hosts start together, each skips the peers that
# were not up yet for `PEER_SKIP_S`, so the data takes more hops.
STARTUP_RELAY_PERIOD_S = PEER_SKIP_S + 2.0
# Peers asked in turn before the source is tried.
MAX_PEERS_ASKED = 3
# Timeout of one request to a seed, in seconds.
SEED_REQUEST_TIMEOUT_S = 0.8
# Pause after an answer from a peer, in seconds. It prevents a busy loop if two
# peers that each have newer data of some kind are asked alternately, and is
# too short to matter otherwise.
AFTER_ANSWER_PAUSE_S = 0.02


class Synchronizer:
    """Synchronizes with peers or the source, and logs which one is used."""

    def __init__(
        self,
        source: sources.SourcePort,
        tables: sources.TableHolder,
        evacuated: evacuations.EvacuationHolder,
        upstream_directory: directory.Directory,
        hosts: fleet.Fleet,
        initial_sync: initial_sync_module.InitialSync,
        changes: peers.ChangeFeed,
        known_quarantine: quarantine.Quarantine,
        archive: archive_module.QuarantineArchive,
        source_era: era.SourceEra,
        clock: core.Clock,
        rng: random.Random,
        events: log.EventLog,
        rejected: rejected_entries.RejectedEntries,
        seeds: Iterable[tuple[str, int]] = (),
    ):
        self.lost_at: float | None = None
        self.peer: peers.PeerClient | None = None
        self._source = source
        self._tables = tables
        self._evacuated = evacuated
        self._directory = upstream_directory
        self._hosts = hosts
        self._initial_sync = initial_sync
        self._changes = changes
        self._quarantine = known_quarantine
        self._archive = archive
        self._era = source_era
        self._clock = clock
        self._rng = rng
        self._events = events
        seeds = list(seeds)
        self._seeds = fleet.make_seed_entries(seeds, hosts.own)
        # Seeds do not ask one another at start: all of them would wait.
        self._is_seed = len(self._seeds) < len(seeds)
        self._seed_sync = seed_sync_module.SeedSync(
            self._seeds, self._ask_seed, initial_sync, rng
        )
        # Seeds that are asked before the source until the registry lists this
        # host.
        self._start_seeds = [] if self._is_seed else self._seeds
        self._skip_until: dict[core.HostId, float] = {}
        self._hosts_read_at = -HOSTS_INTERVAL_S
        self._started_at = clock.now()
        self._last_try_at = -FALLBACK_RETRY_INTERVAL_S
        # Random factor of the fallback retry interval, drawn for each attempt.
        self._retry_factor = 1.0
        self._reading_count = 0
        self._rejected = rejected
        self._operators = operator_data.OperatorDataWatch(
            source, tables, evacuated, events, rejected
        )

    async def run(self) -> None:
        """Synchronize until cancelled."""
        try:
            await self._sync_first()
            while True:
                await self._synchronize_once()
        finally:
            self._drop_peer()
            self._operators.stop()

    async def _sync_first(self) -> None:
        """Load all data for the first time, from a seed or the source."""
        if self._is_seed or not self._seeds:
            await self._read_source()
            return
        if await self._seed_sync.sync():
            return
        while not (
            await self._read_source() or self._initial_sync.is_complete
        ):
            if await self._seed_sync.sync_again():
                return

    async def _ask_seed(
        self, entry: fleet.HostEntry
    ) -> seed_sync_module.SeedAnswer:
        """Apply the data of a seed; return whether it suffices to serve."""
        client = self._switch_to_peer(entry)
        answer = await client.ask(
            self._get_in_force(),
            is_lost=True,
            timeout_s=SEED_REQUEST_TIMEOUT_S,
        )
        if answer.is_err():
            return seed_sync_module.SeedAnswer.UNREACHABLE
        changes = answer.ok_value
        self._apply_changes(client, changes)
        if changes.is_fresh() and self._initial_sync.is_complete:
            return seed_sync_module.SeedAnswer.SYNCED
        return seed_sync_module.SeedAnswer.NO_DATA

    async def _synchronize_once(self) -> None:
        """Update once from peers or from the source.

        Asks peers first, then reads the source. While the source does not
        answer, the first reader tries it without asking peers when a retry is
        due.
        """
        self._evacuated.expire_unconfirmed()
        is_reader_due = self._is_first_reader() and self._is_due(
            FALLBACK_RETRY_INTERVAL_S
        )
        if not is_reader_due:
            if await self._ask_peers():
                return
        if not self._may_call_source():
            await self._pause(RETRY_INTERVAL_S)
            return
        began_at = self._clock.now()
        if await self._read_source():
            # A reading is as old as the call that made it.
            elapsed_s = self._clock.now() - began_at
            await self._pause(READ_INTERVAL_S - elapsed_s)
        else:
            await self._pause(RETRY_INTERVAL_S)

    def _is_due(self, retry_s: float) -> bool:
        """Return whether to try again to read a source that is lost.

        The host that reads for others must retry even while peers send it all
        data; otherwise it would never read for them again.
        """
        if self.lost_at is None:
            return False
        return self._clock.now() - self._last_try_at >= retry_s

    def _may_call_source(self) -> bool:
        """Return whether the source may be called if peers have no new data.

        A host that lost the source does not call it while peers have new data,
        and so does not learn by itself when it is back. It may call it once a
        retry is due, or after another host has read it since the last attempt.
        Until then there is no newer data to be had than that of its peers.
        """
        if self.lost_at is None:
            return True
        age_s = self._directory.age_s
        read_at = self._clock.now() - age_s
        if age_s >= 0 and read_at > self._last_try_at:
            return True
        return self._is_due(self._get_retry_s())

    def _get_retry_s(self) -> float:
        """Return the interval between attempts to read a source that is lost.

        It is longer for hosts that ask peers first.
        """
        if self._is_first_reader():
            return RETRY_INTERVAL_S
        all_s = self._hosts.count() / MAX_FALLBACK_TRIES_PER_S
        return max(FALLBACK_RETRY_INTERVAL_S, all_s * self._retry_factor)

    def _is_first_reader(self) -> bool:
        if self._list_seeds():
            return False
        return self._hosts.rank_readers()[0].host == self._hosts.own.host

    def _list_peers(self) -> list[fleet.HostEntry]:
        """Return the peers to ask before the source, best first.

        These are the hosts of the own zone that precede this one. The first
        host of a zone asks the first hosts of the zones that precede its own.
        While the source does not answer this host, all other hosts are
        included, or the seeds if no other host is known.
        """
        now = self._clock.now()
        ranked = self._hosts.rank_readers()
        own = self._hosts.own.host
        rank = [each.host for each in ranked].index(own)
        candidates = ranked[:rank]
        if not (candidates or self._directory.differs_from_reading):
            # While upstreams are kept or left out, only full listings show
            # when that ends. They are too large to send between zones, so this
            # host then reads the source itself.
            candidates = self._hosts.list_earlier_readers()
        if self._tables.has_only_invalid:
            # Others may still have the table before the invalid one.
            candidates = ranked[:rank] + ranked[rank + 1 :]
            candidates += self._hosts.list_hosts_of_other_zones()
        candidates = [*self._list_seeds(), *candidates]
        if self.lost_at is not None:
            candidates = ranked[:rank] + ranked[rank + 1 :]
            candidates += self._hosts.list_hosts_of_other_zones()
            candidates = candidates or self._seeds
            if self.peer is not None:
                # Keep asking the peer that had fresh data for as long as it
                # has. A peer that precedes it may have its data from this very
                # host, and two hosts that ask each other learn nothing new
                # until their readings are too old.
                candidates = [self.peer.entry, *candidates]
        return [
            each
            for each in dict.fromkeys(candidates)
            if self._skip_until.get(each.host, now) <= now
        ][:MAX_PEERS_ASKED]

    def _list_seeds(self) -> list[fleet.HostEntry]:
        """Return the seeds to ask until the registry lists this host.

        Until then its list of hosts is incomplete, because others have started
        at the same time; their order of hosts differs.
        """
        if self._hosts.is_listed:
            # Drop the seeds permanently. A later list, from another peer, may
            # be older and lack this host, which would then keep switching
            # between the seed and its peers without a pause.
            self._start_seeds = []
        supplier = self._seed_sync.supplier
        if supplier in self._start_seeds:
            return [supplier]
        return self._start_seeds

    async def _ask_peers(self) -> bool:
        """Ask peers in turn until one has fresh data; return success."""
        for entry in self._list_peers():
            client = self._switch_to_peer(entry)
            max_age_s = self._get_max_age_s()
            answer = await client.ask(
                self._get_in_force(),
                self._accepts_relayed(),
                self._get_poll_timeout_s(max_age_s),
                max_age_s,
            )
            match answer:
                case result.Ok(changes):
                    self._apply_changes(client, changes)
                    if self._is_sufficient(changes, max_age_s):
                        # The peer's list of hosts is as new as its reading.
                        self._hosts_read_at = self._clock.now()
                        is_incremental = client.is_incremental
                        await self._pause(
                            AFTER_ANSWER_PAUSE_S
                            if is_incremental
                            else RETRY_INTERVAL_S
                        )
                        return True
                    ages = (
                        f'{changes.age_ms} ms, table {changes.table_age_ms} ms'
                    )
                    skip_s = (
                        PEER_SKIP_S
                        if changes.is_fresh() and not changes.has_lost_source
                        else STALE_PEER_SKIP_S
                    )
                    self._skip_peer(
                        entry,
                        f'data not sufficient; ages: upstreams {ages}',
                        skip_s,
                    )
                case result.Err(problem):
                    self._skip_peer(entry, problem.detail, PEER_SKIP_S)
                    age_s = self._directory.age_s
                    if (
                        self._may_call_source()
                        and age_s > patience.LAST_PEER_AGE_S
                    ):
                        # Waiting for another peer might take too long.
                        return False
        return False

    def _get_max_age_s(self) -> float:
        """Return the age at which a peer's upstreams are too old."""
        if not self._may_call_source():
            return peers.MAX_AGE_S
        ranked = [each.host for each in self._hosts.rank_readers()]
        return patience.get_max_age_s(
            ranked.index(self._hosts.own.host),
            len(self._hosts.list_earlier_readers()),
        )

    def _get_poll_timeout_s(self, max_age_s: float) -> float:
        """Return the timeout of a poll, by the age of the own upstreams."""
        age_s = self._directory.age_s
        if age_s > max_age_s and not self._may_call_source():
            # Only peers can have newer data, so there is no hurry.
            age_s = -1.0
        return patience.get_poll_timeout_s(max_age_s, age_s)

    def _get_in_force(self) -> peers.InForce:
        return peers.InForce(
            table_version=self._tables.version,
            table=self._tables.position,
            upstreams=self._directory.position,
            evacuations=self._evacuated.current.position,
        )

    def _is_sufficient(
        self, changes: peers.Changes, max_age_s: float = peers.MAX_AGE_S
    ) -> bool:
        """Return whether the changes of a peer replace an own reading.

        Each relay adds up to one polling period to the age. Data that was
        relayed several times is therefore enough only where `_accepts_relayed`
        allows it.
        """
        if not changes.is_fresh(max_age_s):
            return False
        if changes.era < self._directory.position.era:
            # Readings from an earlier era are ignored here, so the changes
            # would add nothing. A peer of the previous version sends no era.
            return False
        if self._accepts_relayed():
            return True
        if changes.has_lost_source:
            return False
        return changes.is_near and changes.origin != self._changes.process

    def _accepts_relayed(self) -> bool:
        """Return whether data that was relayed several times is enough.

        It is while the source does not answer this host, and during startup:
        hosts that start together determine their order only then, and
        otherwise each would read the source.
        """
        return self.lost_at is not None or self._has_just_started()

    def _has_just_started(self) -> bool:
        return self._clock.now() - self._started_at < STARTUP_RELAY_PERIOD_S

    def _is_outdated_host_list(self, found: list[fleet.HostEntry]) -> bool:
        """Return whether to ignore a peer's host list that lacks this host.

        Shortly after the start, the list of a peer that has just started too
        may lack this host and others. With it, this host would have no peer to
        ask and would read the source.
        """
        named = any(each.host == self._hosts.own.host for each in found)
        return self._has_just_started() and self._hosts.is_listed and not named

    def _switch_to_peer(self, entry: fleet.HostEntry) -> peers.PeerClient:
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
        self._rejected.record(
            'peer', (f'{origin}: {each}' for each in client.problems)
        )
        if changes.table is not None:
            reading = self._source.decode_table(
                changes.table, changes.table_position
            )
            self._tables.apply_reading(reading, origin)
        self._evacuated.apply(
            evacuations.Evacuations(
                changes.evacuations_position, changes.evacuation_revisions
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
        if self._era.record_position(
            changes.upstreams_position, self._directory.position, origin
        ):
            self._archive.save_again()
        stamp = directory.ReadingStamp(
            changes.origin,
            changes.number,
            self._clock.now() - changes.age_ms / 1000,
            changes.hops + 1,
        )
        if changes.hold_ms > 0:
            self._directory.hold_for(changes.hold_ms / 1000)
        is_older = changes.upstreams_position < self._directory.position
        if changes.whole:
            change = self._directory.apply_reading(
                changes.upstreams, changes.upstreams_position, stamp
            )
        else:
            change = self._directory.apply_changes(
                changes.upstreams,
                changes.left,
                changes.upstreams_position,
                stamp,
            )
        self._log_change(change, origin)
        if self._directory.differs_from_reading or is_older:
            # Request a full listing next time, to learn when to drop kept
            # upstreams, and to get the entries of data that was ignored as
            # older. The peer may have a newer entry for an upstream than the
            # restored source.
            client.acknowledge(None)
        else:
            client.acknowledge(changes)

    async def _read_source(self) -> bool:
        """Read what is due from the source.

        Return whether it returned the upstreams; the hosts or the table may
        have failed.
        """
        began_at = self._last_try_at = self._clock.now()
        self._retry_factor = self._rng.uniform(0.5, 1.5)
        was_lost = self.lost_at is not None
        listed = await self._source.list_upstreams()
        if listed.is_ok() and not was_lost:
            # After an outage all hosts read at once, and most of them get the
            # saved records from the few that go on reading.
            await self._archive.load(not self._initial_sync.is_complete)
        match listed:
            case result.Err(problem):
                self._record_source_lost('upstreams', problem.detail)
                return False
            case result.Ok(reading):
                self._record_source_back()
                self._apply_upstreams(reading, began_at)
        if self.peer is not None:
            self._drop_peer()
            self._events.record(events.LogKind.READING_FROM, peer='', zone='')
        match await self._operators.ensure_running():
            case result.Err(problem):
                self._record_source_lost('table', problem.detail)
        # Last, since this host registers once it has the rest.
        await self._read_hosts()
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
                self._rejected.record('hosts', found.problems)
                self._apply_hosts(list(found.hosts), 'source')
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

    def _apply_upstreams(
        self, reading: sources.UpstreamReading, began_at: float
    ) -> None:
        self._rejected.record('upstreams', reading.problems)
        if self._era.record_position(
            reading.position, self._directory.position, 'source'
        ):
            # The watch may continue from a revision that was assigned again.
            self._operators.stop()
            self._hosts_read_at = -HOSTS_INTERVAL_S
            self._archive.save_again()
        self._reading_count += 1
        stamp = directory.ReadingStamp(
            self._changes.process, self._reading_count, began_at
        )
        change = self._directory.apply_reading(
            reading.endpoints, reading.position, stamp
        )
        self._log_change(change, 'source')

    def _log_change(
        self, change: directory.DirectoryChange | None, origin: str
    ) -> None:
        if change is None:
            return
        self._events.record(
            events.LogKind.UPSTREAMS_CHANGED,
            era=self._directory.position.era,
            revision=self._directory.position.revision,
            added=change.added,
            left=change.left,
            held=change.held,
            origin=origin,
        )

    def _record_source_lost(self, call: str, detail: str) -> None:
        if self.lost_at is not None:
            return
        self.lost_at = self._clock.now()
        self._changes.has_lost_source = True
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
        self._changes.has_lost_source = False
        if self._directory.age_s > directory.MAX_HARMLESS_OUTAGE_S:
            self._directory.hold_for(directory.REREGISTRATION_GRACE_S)
        # The watch may have been disconnected without an error.
        self._operators.stop()
        self._events.record(
            events.LogKind.DEPENDENCY_BACK,
            dependency='source',
            away_s=round(away_s, 3),
        )

    async def _pause(self, mean_s: float) -> None:
        factor = 1.0 + _JITTER * (2 * self._rng.random() - 1.0)
        await asyncio.sleep(max(0.0, mean_s * factor))
