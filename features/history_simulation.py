"""Simulation of hosts that read a source with random events and restores.

Operators and upstreams write to the source, the source is restored from
snapshots, and hosts lose access to it and restart. Throughout, no host may
revert to an older table version, nor undo the departure of an upstream or a
change of an evacuation that it has applied.
"""

import asyncio
import collections
import contextlib
import dataclasses

from features import gateway_bench
from rudderrock import core
from rudderrock import gateway

ZONES = (core.ZoneId('north-1'), core.ZoneId('south-1'))
HOSTS = 4
UPSTREAMS = tuple(f'u{number}' for number in range(4))
SERVICE = gateway.ServiceName('notes')
# Snapshots of the source are taken at this interval, and the newest
# `MAX_SNAPSHOTS` are kept.
SNAPSHOT_INTERVAL_S = 0.5
MAX_SNAPSHOTS = 20
# After a restore, operators write the lost changes again after
# `OPERATOR_REWRITE_DELAY_S`, upstreams within `HEARTBEAT_INTERVAL_S`, and
# entries of departed upstreams lapse after `LAPSE_DELAY_S`.
OPERATOR_REWRITE_DELAY_S = 0.1
HEARTBEAT_INTERVAL_S = 1.2
LAPSE_DELAY_S = 3.6
# How long a host is down when it restarts, and how long the next event waits
# after that.
RESTART_DELAY_S = 0.2
# How long after a restore hosts may keep upstreams that the source lacks: a
# grace period of 2.3 s, one reading, and its distribution to other hosts.
GRACE_S = 4.0
OBSERVATION_INTERVAL_S = 0.1
# All hosts have the final state within this time after the last event: the
# settling period of 5 s after a restore, and time for hosts that could not
# reach the source to find peers.
SETTLING_TIME_S = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Operators publish the next table version."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToggleEvacuation:
    """Operators evacuate a zone, or end its evacuation."""

    zone: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUpstream:
    """An upstream leaves, or registers again if it has left.

    If `drains` is set, a ready upstream starts draining instead.
    """

    upstream: int
    drains: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """The source is restored from a snapshot after an outage of `away_s`.

    `steps_back` selects the snapshot; 0 is the newest.
    """

    steps_back: int
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BlockSource:
    """The source refuses the calls of a host for a time."""

    host: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A host is killed and starts again."""

    host: int


Event = (
    Publish
    | ToggleEvacuation
    | ChangeUpstream
    | Restore
    | BlockSource
    | Restart
)


class HistorySimulation:
    """One simulated history; `problems` lists the violations found."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.problems: list[str] = []
        self._stack = stack
        self._harness = gateway_bench.GatewayHarness(stack)
        self._source = self._harness.source
        self._fleet = gateway_bench.FleetHarness(self._harness, stack)
        self._snapshots = collections.deque(maxlen=MAX_SNAPSHOTS)
        # The current entries of live upstreams, and the last ones of others.
        self._entries: dict[str, gateway.Endpoint] = {}
        self._departed: dict[str, gateway.Endpoint] = {}
        self._evacuated: set[core.ZoneId] = set()
        self._tasks: set[asyncio.Task] = set()
        self._restored_at = -GRACE_S
        # When each upstream last left, drained or registered again.
        self._left_at = dict.fromkeys(UPSTREAMS, -GRACE_S)
        # Facts that hosts have been observed to hold, as (host, fact) pairs. A
        # fact is "with u1" or "without u1" for an upstream, or for a zone
        # "evacuated/north-1" or "open/north-1".
        self._observed: set[tuple[str, str]] = set()
        self._newest_versions: dict[str, int] = {}

    async def run(self, events: list[tuple[float, Event]]) -> None:
        """Apply events, each after its pause, and check the final state."""
        self._harness.add_route('/notes/', gateway.Single(SERVICE))
        self._harness.allow_connections(SERVICE, 100)
        for number in range(len(UPSTREAMS)):
            self._register(number)
        self._harness.publish()
        await self._fleet.start([ZONES[n % 2] for n in range(HOSTS)])
        for coroutine in (self._take_snapshots, self._observe_hosts):
            task = asyncio.create_task(coroutine())
            self._stack.push_async_callback(core.end_task, task)
        await asyncio.sleep(3.0)
        for pause_s, event in events:
            await asyncio.sleep(pause_s)
            await self._apply(event)
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        await asyncio.sleep(SETTLING_TIME_S)
        self._check_final_state()

    async def _apply(self, event: Event) -> None:
        names = sorted(self._fleet.members)
        match event:
            case Publish():
                self._harness.publish()
            case ToggleEvacuation(zone=number):
                self._toggle_zone(ZONES[number])
            case ChangeUpstream(upstream=number, drains=drains):
                self._change_upstream(number, drains)
            case Restore(steps_back=steps_back, away_s=away_s):
                await self._restore_source(steps_back, away_s)
            case BlockSource(host=number, seconds=seconds):
                source = self._fleet.members[names[number]].source
                self._start_task(self._block(source, seconds))
            case Restart(host=number):
                name = names[number]
                self._discard_facts(lambda pair: pair[0] == name)
                self._newest_versions.pop(name, None)
                await self._fleet.kill(name)
                zone = ZONES[number % 2]
                await asyncio.sleep(RESTART_DELAY_S)
                await self._fleet.add(zone, number=number + 1)
                await asyncio.sleep(RESTART_DELAY_S)

    def _toggle_zone(self, zone: core.ZoneId) -> None:
        self._discard_facts(lambda pair: pair[1].endswith(f'/{zone}'))
        if zone in self._evacuated:
            self._evacuated.discard(zone)
            self._source.end_evacuation(zone)
        else:
            self._evacuated.add(zone)
            self._source.evacuate(zone)

    def _change_upstream(self, number: int, drains: bool) -> None:
        name = UPSTREAMS[number]
        self._left_at[name] = asyncio.get_running_loop().time()
        entry = self._entries.get(name)
        if entry is None:
            self._register(number)
        elif drains and entry.phase is gateway.Phase.READY:
            entry = dataclasses.replace(
                entry,
                phase=gateway.Phase.DRAINING,
                sequence=entry.sequence + 1,
            )
            self._entries[name] = entry
            self._source.set_endpoint(entry)
        else:
            self._departed[name] = self._entries.pop(name)
            self._source.remove_endpoint(name)

    def _register(self, number: int) -> None:
        """Register an upstream, as a new incarnation if it was registered."""
        name = UPSTREAMS[number]
        before = self._departed.pop(name, None)
        self._discard_facts(lambda pair: pair[1].endswith(f' {name}'))
        entry = gateway.Endpoint(
            upstream=core.UpstreamId(name),
            service=SERVICE,
            address=(f'10.1.0.{number + 1}', 9000),
            zone=ZONES[number % 2],
            slots=2,
            phase=gateway.Phase.READY,
            born=before.born + 1000 if before is not None else 1000,
            sequence=1,
        )
        self._entries[name] = entry
        self._source.set_endpoint(entry)

    async def _restore_source(self, steps_back: int, away_s: float) -> None:
        snapshot = self._snapshots[-1 - steps_back % len(self._snapshots)]
        self._source.is_down = True
        await asyncio.sleep(away_s)
        self._source.is_down = False
        self._source.restore(snapshot)
        self._restored_at = asyncio.get_running_loop().time()
        self._start_task(self._rewrite(self._source.era))

    async def _rewrite(self, era: int) -> None:
        """Write the lost changes again, as operators and upstreams do."""
        await asyncio.sleep(OPERATOR_REWRITE_DELAY_S)
        if self._source.era != era:
            return
        newest = self._harness.make_table(self._harness.version)
        if self._source.table.version != newest.version:
            self._source.set_table(newest)
        for zone in ZONES:
            if zone in self._evacuated - self._source.evacuated.keys():
                self._source.evacuate(zone)
            elif zone in self._source.evacuated.keys() - self._evacuated:
                self._source.end_evacuation(zone)
        for name in UPSTREAMS:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / len(UPSTREAMS))
            entry = self._entries.get(name)
            if self._source.era != era:
                return
            if entry is not None and self._source.endpoints.get(name) != entry:
                self._source.set_endpoint(entry)
        await asyncio.sleep(LAPSE_DELAY_S - HEARTBEAT_INTERVAL_S)
        if self._source.era != era:
            return
        for name in self._source.endpoints.keys() - self._entries.keys():
            self._source.remove_endpoint(name)

    async def _block(self, source, seconds: float) -> None:
        source.is_refused = True
        await asyncio.sleep(seconds)
        source.is_refused = False

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _discard_facts(self, matches) -> None:
        """Discard facts that hosts may legitimately stop holding now."""
        self._observed = {pair for pair in self._observed if not matches(pair)}

    async def _take_snapshots(self) -> None:
        while True:
            self._snapshots.append(self._source.make_snapshot())
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)

    async def _observe_hosts(self) -> None:
        while True:
            for name, member in list(self._fleet.members.items()):
                self._check_host(name, member.process._dependencies)
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    def _check_host(
        self, host: str, dependencies: gateway.GatewayDependencies
    ) -> None:
        """Record a problem if a host has reverted to an older state."""
        if not dependencies.initial_sync.is_complete:
            return
        version = dependencies.tables.version
        if version < self._newest_versions.get(host, -1):
            self._add_problem(host, f'reverted to version {version}')
        self._newest_versions[host] = version
        now = asyncio.get_running_loop().time()
        for name in UPSTREAMS:
            if self._restored_at <= self._left_at[name] and (
                now < self._restored_at + GRACE_S
            ):
                # The upstream changed before the restore, and hosts may still
                # wait for it to register again.
                continue
            known = dependencies.upstream_directory.get_endpoint(
                core.UpstreamId(name)
            )
            if _is_ready(self._entries.get(name)):
                if _is_ready(known):
                    self._observed.add((host, f'with {name}'))
            elif (host, f'with {name}') in self._observed:
                # Departures are checked only on hosts that had the upstream.
                self._check_fact(host, not _is_ready(known), f'without {name}')
        for zone in ZONES:
            is_evacuated = zone in dependencies.evacuations.zones
            is_current = is_evacuated == (zone in self._evacuated)
            state = 'evacuated' if zone in self._evacuated else 'open'
            self._check_fact(host, is_current, f'{state}/{zone}')

    def _check_fact(self, host: str, holds: bool, fact: str) -> None:
        """Record that a host holds a fact, or a problem if it lost it."""
        if holds:
            self._observed.add((host, fact))
        elif (host, fact) in self._observed:
            self._observed.discard((host, fact))
            self._add_problem(host, f'no longer {fact}')

    def _add_problem(self, host: str, problem: str) -> None:
        now = asyncio.get_running_loop().time()
        self.problems.append(f'{now:.1f} {host}: {problem}')

    def _check_final_state(self) -> None:
        """Record a problem for each host that lacks the last written state."""
        ready = {
            name
            for name, entry in self._entries.items()
            if entry.phase is gateway.Phase.READY
            and entry.zone not in self._evacuated
        }
        for name, member in self._fleet.members.items():
            dependencies = member.process._dependencies
            ready_here = {
                each.upstream
                for each in dependencies.upstream_directory.list_ready(SERVICE)
            }
            if dependencies.tables.version != self._harness.version:
                self._add_problem(
                    name, f'ends with version {dependencies.tables.version}'
                )
            if dependencies.evacuations.zones != self._evacuated:
                self._add_problem(
                    name,
                    f'ends with {dependencies.evacuations.zones} evacuated',
                )
            if ready_here != ready:
                self._add_problem(
                    name, f'ends with {sorted(ready_here)} ready'
                )


def _is_ready(entry: gateway.Endpoint | None) -> bool:
    return entry is not None and entry.phase is gateway.Phase.READY
