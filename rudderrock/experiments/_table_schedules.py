"""Random schedules of table edits and faults, with checks of the guarantees.

Operators edit rows, sometimes the same row concurrently. Meanwhile hosts
crash, start, pause or are cut off, messages are lost, and the key-value
service goes down, slows down, loses replies or drops watches. The checks
are:

- the revision in force on a host never decreases;
- the history has every accepted edit exactly once, an edit whose outcome is
  unknown at most once, and no edit that lost a conflict;
- after all faults have ended, every running host has the latest table in
  force.
"""

import asyncio
import dataclasses

from rudderrock import coordination
from rudderrock import standins
from rudderrock import state
from rudderrock.experiments import _random_faults as random_faults
from rudderrock.experiments import _run as runs

_HOSTS = 4
_TEAMS = ('desk', 'kiosk', 'billing')
_DURATION_S = 12.0
_EDIT_COUNT = 14
_MAX_FAULTS = 7
_EDIT_TIMEOUT_S = 3.0
_SETTLE_S = 14.0
_DEPLOYMENT = standins.Deployment(
    name='table',
    hosts=_HOSTS,
    network=standins.Network(regions={'north': ['north-1', 'north-2']}),
    groups=[standins.Group(collection='members', services=1)],
)


@dataclasses.dataclass(frozen=True, slots=True)
class TableScheduleResult:
    """Result of a schedule: outcomes of edits, faults and violations.

    `outcomes` are the class names of the outcomes.
    """

    seed: int
    outcomes: list[str]
    faults: list[str]
    violations: list[str]


def run_table_schedule(seed: int) -> TableScheduleResult:
    """Run the table schedule of a seed on virtual time and check it."""
    done, exceptions = runs.run_and_collect_exceptions(_run(seed))
    return dataclasses.replace(done, violations=done.violations + exceptions)


class _TableSchedule:
    """A table schedule while it runs."""

    def __init__(self, fleet: standins.MemoryFleet, seed: int):
        self.fleet = fleet
        self.outcomes: list[tuple[state.Change, coordination.EditOutcome]] = []
        self.faults: list[str] = []
        self.regressions: list[str] = []
        self._rng = state.make_random(seed, 'table schedule')
        self._started = 0

    async def run(self) -> None:
        """Run edits and faults concurrently, then let the hosts settle."""
        rng = self._rng
        async with asyncio.TaskGroup() as group:
            watch = group.create_task(self._watch_revisions())
            tasks = []
            for _ in range(_EDIT_COUNT):
                at = rng.uniform(0, _DURATION_S)
                team = rng.choice(_TEAMS)
                tasks.append(group.create_task(self._edit(at, team)))
            faults = random_faults.draw_faults(
                rng,
                _INJECTORS,
                max_count=_MAX_FAULTS,
                within_s=_DURATION_S,
                max_length_s=5.0,
            )
            for fault in faults:
                self.faults.append(str(fault))
                tasks.append(group.create_task(fault.inject(self.fleet)))
            await asyncio.gather(*tasks)
            await asyncio.sleep(_SETTLE_S)
            watch.cancel()

    async def _edit(self, at: float, team: str) -> None:
        await asyncio.sleep(at)
        editor = self.fleet.editor
        read = await editor.read()
        if read.is_err():
            return
        base = read.unwrap().rows.get(team)
        row = state.TeamRow(
            team=team, weight=round(self._rng.uniform(1, 100), 3)
        )
        change = state.Change(
            edit_id=editor.make_edit_id(),
            author='operator',
            team=team,
            base=base,
            row=row,
        )
        outcome = await editor.edit(change, _EDIT_TIMEOUT_S)
        self.outcomes.append((change, outcome))

    async def _watch_revisions(self) -> None:
        """Poll the revision of each host every 10 ms and record decreases."""
        latest: dict[str, int] = {}
        while True:
            for name, running in self.fleet.hosts.items():
                revision = running.host.config.table_in_force.revision
                if revision < latest.get(name, 0):
                    self.regressions.append(f'{name} went back to {revision}')
                latest[name] = revision
            await asyncio.sleep(0.01)


def _choose_host(fleet, rng) -> str | None:
    """Return a random running host, or None if fewer than two run."""
    running = [
        name for name, each in fleet.hosts.items() if not each.task.done()
    ]
    return rng.choice(running) if len(running) > 1 else None


async def _crash(fleet, length, rng):
    name = _choose_host(fleet, rng)
    if name is not None:
        await fleet.crash_host(name)
        await asyncio.sleep(length)
        fleet.remove_from_list(name)


async def _start(fleet, length, rng):
    name = f'new-{rng.getrandbits(32):08x}'
    fleet.start_host(name, fleet.deployment.network.list_zones()[0])


async def _freeze(fleet, length, rng):
    name = _choose_host(fleet, rng)
    if name is not None:
        fleet.set_paused(name, True)
        await asyncio.sleep(2 * length)
        fleet.set_paused(name, False)


async def _cut_off(fleet, length, rng):
    name = _choose_host(fleet, rng)
    if name is not None:
        fleet.set_isolated(name, True)
        await asyncio.sleep(2 * length)
        fleet.set_isolated(name, False)


async def _lose_messages(fleet, length, rng):
    fleet.peers.faults.lose = rng.uniform(0.05, 0.6)
    await asyncio.sleep(length)
    fleet.peers.faults.lose = 0.0


async def _kv_drops_watches(fleet, length, rng):
    fleet.kv.faults.drops_watch_events = True
    await asyncio.sleep(length)
    fleet.kv.faults.drops_watch_events = False


_INJECTORS = {
    'crash': _crash,
    'start': _start,
    'freeze': _freeze,
    'cut_off': _cut_off,
    'lose_messages': _lose_messages,
    'kv_down': random_faults.inject_kv_outage,
    'kv_slow': random_faults.inject_kv_delay,
    'kv_loses_replies': random_faults.inject_lost_kv_replies,
    'kv_drops_watches': _kv_drops_watches,
}


async def _run(seed: int) -> TableScheduleResult:
    async with standins.run_fleet(_DEPLOYMENT, _HOSTS, seed) as fleet:
        schedule = _TableSchedule(fleet, seed)
        await schedule.run()
        table = (await fleet.editor.read()).unwrap()
        violations = schedule.regressions
        violations += _check_edits(schedule.outcomes, table)
        violations += _check_in_force(fleet, table)
        return TableScheduleResult(
            seed=seed,
            outcomes=[
                type(outcome).__name__ for _, outcome in schedule.outcomes
            ],
            faults=schedule.faults,
            violations=violations,
        )


def _check_edits(
    outcomes: list[tuple[state.Change, coordination.EditOutcome]],
    table: state.Table,
) -> list[str]:
    """Return violations between the outcomes of edits and the history."""
    violations = []
    for change, outcome in outcomes:
        times = sum(edit.edit_id == change.edit_id for edit in table.history)
        match outcome:
            case coordination.EditAccepted() if times != 1:
                violations.append(f'accepted, yet it stands {times} times')
            case coordination.EditLost() if times:
                violations.append('lost, yet it stands')
            case coordination.EditUncertain() if times > 1:
                violations.append(f'uncertain, and it stands {times} times')
    revisions = [edit.revision for edit in table.history]
    if revisions != sorted(set(revisions)):
        violations.append(f'revisions are out of order: {revisions}')
    return violations


def _check_in_force(
    fleet: standins.MemoryFleet, table: state.Table
) -> list[str]:
    """Return a description of each running host without the latest table."""
    return [
        f'{name} has {running.host.config.table_in_force.revision} in '
        f'force, not {table.revision}'
        for name, running in fleet.hosts.items()
        if not running.task.done()
        and running.host.config.table_in_force != table
    ]
