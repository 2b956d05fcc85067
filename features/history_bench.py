"""Hosts that follow a source through a drawn history, with returns of copies.

Operators and upstreams write, the source comes back from copies, hosts are
turned away from it and start again. Watched all the while: what a host has
once believed of an upstream that left, of a version and of an evacuation.
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
# Copies of the source are made this often and kept for so long, seconds.
COPY_EVERY_S = 0.5
COPIES = 20
# After a return operators write again after so long, upstreams within so
# long, and entries of those that are gone lapse; seconds.
OPERATORS_S = 0.1
HEARTBEAT_S = 1.2
LAPSE_S = 3.6
# A host is down for so long when it starts again, in seconds.
RESTART_S = 0.2
# For so long after a return hosts may keep what it lacks, in seconds: a grace
# of 2.3 s, a reading, and the way to others.
GRACE_S = 4.0
# Between two looks at what hosts believe, in seconds.
LOOK_EVERY_S = 0.1
# After the last event all hosts know the truth within so long, in seconds: a
# copy is doubted for 5 s, and hosts that were turned away look for peers.
SETTLE_S = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Operators write the next version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuate:
    """Operators evacuate a zone, or give it back if it is."""

    zone: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """An upstream leaves, saying so or not, or comes anew if it is gone."""

    upstream: int
    drains: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """The source comes back from a copy after a while."""

    age: int
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bar:
    """The source turns a host away for a while."""

    host: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """A host is ended and starts again."""

    host: int


Event = Publish | Evacuate | Leave | Return | Bar | Restart


class History:
    """One history under way; `problems` is what should not have been."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.problems: list[str] = []
        self._stack = stack
        self._bench = gateway_bench.GatewayBench(stack)
        self._source = self._bench.source
        self._fleet = gateway_bench.FleetBench(self._bench, stack)
        self._copies = collections.deque(maxlen=COPIES)
        # What the upstreams say of themselves; those that are gone lack.
        self._entries: dict[str, gateway.Endpoint] = {}
        self._gone: dict[str, gateway.Endpoint] = {}
        self._evacuated: set[core.ZoneId] = set()
        self._tasks: set[asyncio.Task] = set()
        # What hosts were seen to believe: (host, matter) pairs.
        self._returned_at = -GRACE_S
        self._left_at = dict.fromkeys(UPSTREAMS, -GRACE_S)
        self._seen: set[tuple[str, str]] = set()
        self._versions: dict[str, int] = {}

    async def play(self, events: list[tuple[float, Event]]) -> None:
        """Play events, each after its pause, and look at the end."""
        self._bench.add_route('/notes/', gateway.Single(SERVICE))
        self._bench.allow_connections(SERVICE, 100)
        for number in range(len(UPSTREAMS)):
            self._register(number)
        self._bench.publish()
        await self._fleet.start([ZONES[n % 2] for n in range(HOSTS)])
        for work in (self._keep_copies, self._look):
            task = asyncio.create_task(work())
            self._stack.push_async_callback(core.end_task, task)
        await asyncio.sleep(3.0)
        for pause_s, event in events:
            await asyncio.sleep(pause_s)
            await self._apply(event)
        while self._tasks:
            await asyncio.wait(set(self._tasks))
        await asyncio.sleep(SETTLE_S)
        self._check_truth()

    async def _apply(self, event: Event) -> None:
        names = sorted(self._fleet.members)
        match event:
            case Publish():
                self._bench.publish()
            case Evacuate(zone=number):
                self._toggle_zone(ZONES[number])
            case Leave(upstream=number, drains=drains):
                self._change_upstream(number, drains)
            case Return(age=age, away_s=away_s):
                await self._come_back(age, away_s)
            case Bar(host=number, seconds=seconds):
                source = self._fleet.members[names[number]].source
                self._start(self._bar(source, seconds))
            case Restart(host=number):
                name = names[number]
                self._forget(lambda pair: pair[0] == name)
                self._versions.pop(name, None)
                await self._fleet.kill(name)
                zone = ZONES[number % 2]
                await asyncio.sleep(RESTART_S)
                await self._fleet.add(zone, number=number + 1)
                await asyncio.sleep(RESTART_S)

    def _toggle_zone(self, zone: core.ZoneId) -> None:
        self._forget(lambda pair: pair[1].endswith(f'/{zone}'))
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
            self._gone[name] = self._entries.pop(name)
            self._source.remove_endpoint(name)

    def _register(self, number: int) -> None:
        """Have an upstream come, in a new life if it was there before."""
        name = UPSTREAMS[number]
        before = self._gone.pop(name, None)
        self._forget(lambda pair: pair[1].endswith(f' {name}'))
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

    async def _come_back(self, age: int, away_s: float) -> None:
        copy = self._copies[-1 - age % len(self._copies)]
        self._source.is_down = True
        await asyncio.sleep(away_s)
        self._source.is_down = False
        self._source.restore(copy)
        self._returned_at = asyncio.get_running_loop().time()
        self._start(self._write_again(self._source.era))

    async def _write_again(self, era: int) -> None:
        """Write what the source has lost, as operators and upstreams do."""
        await asyncio.sleep(OPERATORS_S)
        if self._source.era != era:
            return
        newest = self._bench.make_table(self._bench.version)
        if self._source.table.version != newest.version:
            self._source.set_table(newest)
        for zone in ZONES:
            if zone in self._evacuated - self._source.evacuated.keys():
                self._source.evacuate(zone)
            elif zone in self._source.evacuated.keys() - self._evacuated:
                self._source.end_evacuation(zone)
        for name in UPSTREAMS:
            await asyncio.sleep(HEARTBEAT_S / len(UPSTREAMS))
            entry = self._entries.get(name)
            if self._source.era != era:
                return
            if entry is not None and self._source.endpoints.get(name) != entry:
                self._source.set_endpoint(entry)
        await asyncio.sleep(LAPSE_S - HEARTBEAT_S)
        if self._source.era != era:
            return
        for name in self._source.endpoints.keys() - self._entries.keys():
            self._source.remove_endpoint(name)

    async def _bar(self, source, seconds: float) -> None:
        source.is_refused = True
        await asyncio.sleep(seconds)
        source.is_refused = False

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _forget(self, fits) -> None:
        """Forget what was seen, since it may rightly be otherwise now."""
        self._seen = {pair for pair in self._seen if not fits(pair)}

    async def _keep_copies(self) -> None:
        while True:
            self._copies.append(self._source.make_snapshot())
            await asyncio.sleep(COPY_EVERY_S)

    async def _look(self) -> None:
        while True:
            for name, member in list(self._fleet.members.items()):
                self._look_at(name, member.process._dependencies)
            await asyncio.sleep(LOOK_EVERY_S)

    def _look_at(
        self, host: str, dependencies: gateway.GatewayDependencies
    ) -> None:
        """See that a host does not go back on what it believed."""
        if not dependencies.initial_sync.is_complete:
            return
        version = dependencies.tables.version
        if version < self._versions.get(host, -1):
            self._note(host, f'back to version {version}')
        self._versions[host] = version
        now = asyncio.get_running_loop().time()
        for name in UPSTREAMS:
            if self._returned_at <= self._left_at[name] and (
                now < self._returned_at + GRACE_S
            ):
                # Hosts that knew it keep it as one that is yet to register.
                continue
            known = dependencies.upstream_directory.get_endpoint(
                core.UpstreamId(name)
            )
            if _is_ready(self._entries.get(name)):
                if _is_ready(known):
                    self._seen.add((host, f'with {name}'))
            elif (host, f'with {name}') in self._seen:
                # One that a host has never known can't have left for it.
                self._compare(host, not _is_ready(known), f'without {name}')
        for zone in ZONES:
            is_out = zone in dependencies.evacuations.zones
            right = is_out == (zone in self._evacuated)
            state = 'evacuated' if zone in self._evacuated else 'open'
            self._compare(host, right, f'{state}/{zone}')

    def _compare(self, host: str, is_so: bool, matter: str) -> None:
        """Note that a host believes something, or does so no more."""
        if is_so:
            self._seen.add((host, matter))
        elif (host, matter) in self._seen:
            self._seen.discard((host, matter))
            self._note(host, f'no more {matter}')

    def _note(self, host: str, what: str) -> None:
        now = asyncio.get_running_loop().time()
        self.problems.append(f'{now:.1f} {host}: {what}')

    def _check_truth(self) -> None:
        """See that all hosts believe what was written last."""
        ready = {
            name
            for name, entry in self._entries.items()
            if entry.phase is gateway.Phase.READY
            and entry.zone not in self._evacuated
        }
        for name, member in self._fleet.members.items():
            dependencies = member.process._dependencies
            found = {
                each.upstream
                for each in dependencies.upstream_directory.list_ready(SERVICE)
            }
            if dependencies.tables.version != self._bench.version:
                self._note(
                    name, f'ends with version {dependencies.tables.version}'
                )
            if dependencies.evacuations.zones != self._evacuated:
                self._note(
                    name, f'ends with {dependencies.evacuations.zones} out'
                )
            if found != ready:
                self._note(name, f'ends with {sorted(found)} ready')


def _is_ready(entry: gateway.Endpoint | None) -> bool:
    return entry is not None and entry.phase is gateway.Phase.READY
