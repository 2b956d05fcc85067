"""Random schedules of calls and faults, with checks of the guarantees.

The load and the faults of a schedule are drawn from its seed. Faults affect
upstreams, the links to them, the key-value service and hosts; they may
overlap and repeat. Every query carries a unique marker; the marker of a
command is its idempotency key. The checks use it to compare the requests that
upstreams ran with the outcomes that callers received:

- a refused query did not run, nor did a command that was refused on every
  call;
- a command runs at most once, is reported as a first run at most once, and
  always with the same results; a recorded command has run;
- the coverage of an answer adds up and counts only shards that answered;
- the hits of an answer belong to its query, its index version and shards that
  are not missing.
"""

import asyncio
import collections
import dataclasses
import json

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock.experiments import _random_faults as random_faults
from rudderrock.experiments import _run as runs

_SERVICES = 4
_TEAM = 'desk'
_COLLECTION = 'members'
_DURATION_S = 4.0
_QUERY_COUNT = 60
_COMMAND_COUNT = 20
_KEY_COUNT = 8
_MAX_FAULTS = 8
_SETTLE_S = 3.0
_DEADLINE_S = 0.5
_DEPLOYMENT = standins.Deployment(
    name='schedule',
    hosts=3,
    network=standins.Network(
        regions={'north': ['north-1'], 'south': ['south-1']},
        between_regions_s=0.002,
    ),
    groups=[
        standins.Group(
            collection=_COLLECTION, services=_SERVICES, connections=12
        )
    ],
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call and its outcome, which is None if the caller received none.

    `key` is the idempotency key of a command and None for a query.
    """

    marker: str
    key: str | None
    outcome: protocol.Outcome | None


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleResult:
    """Result of a schedule: outcomes by type, faults and violations."""

    seed: int
    outcomes: dict[str, int]
    faults: list[str]
    violations: list[str]


def run_schedule(seed: int) -> ScheduleResult:
    """Run the schedule of a seed on virtual time and check its guarantees."""
    done, exceptions = runs.run_and_collect_exceptions(_run(seed))
    return dataclasses.replace(done, violations=done.violations + exceptions)


class _Schedule:
    """A schedule while it runs."""

    def __init__(self, fleet: standins.MemoryFleet, seed: int):
        self.fleet = fleet
        self.calls: list[Call] = []
        self.faults: list[str] = []
        self._rng = state.make_random(seed, 'schedule')
        self._keys: list[str] = []

    async def run(self) -> None:
        """Run load and faults concurrently, then let the hosts recover."""
        rng = self._rng
        self._keys = [self.fleet.make_key() for _ in range(_KEY_COUNT)]
        async with asyncio.TaskGroup() as group:
            for number in range(_QUERY_COUNT):
                at = rng.uniform(0, _DURATION_S)
                group.create_task(self._query(at, f'q{number}'))
            for number in range(_COMMAND_COUNT):
                at = rng.uniform(0, _DURATION_S)
                key = rng.choice(self._keys)
                group.create_task(self._command(at, key))
            faults = random_faults.draw_faults(
                rng,
                _INJECTORS,
                max_count=_MAX_FAULTS,
                within_s=_DURATION_S,
                max_length_s=1.5,
            )
            for fault in faults:
                self.faults.append(str(fault))
                group.create_task(fault.inject(self.fleet))
        await asyncio.sleep(_SETTLE_S)

    async def _query(self, at: float, marker: str) -> None:
        await asyncio.sleep(at)
        host = self._choose_host()
        outcome = None
        if host is not None:
            outcome = await self.fleet.query(
                host, _TEAM, _COLLECTION, json.dumps(marker)
            )
        self.calls.append(Call(marker, None, outcome))

    async def _command(self, at: float, key: str) -> None:
        await asyncio.sleep(at)
        host = self._choose_host()
        outcome = None
        if host is not None:
            outcome = await self.fleet.command(
                host, _TEAM, _COLLECTION, key, json.dumps(key)
            )
        self.calls.append(Call(key, key, outcome))

    def _choose_host(self) -> str | None:
        running = [
            name
            for name, each in self.fleet.hosts.items()
            if not each.task.done()
        ]
        return self._rng.choice(running) if running else None


async def _impair_upstream(fleet, length, rng, **faults) -> None:
    model = rng.choice(list(fleet.models.values()))
    previous = {name: getattr(model.faults, name) for name in faults}
    for name, value in faults.items():
        setattr(model.faults, name, value)
    await asyncio.sleep(length)
    for name, value in previous.items():
        setattr(model.faults, name, value)


async def _lose(fleet, length, rng):
    await _impair_upstream(fleet, length, rng, lost=True)


async def _hang(fleet, length, rng):
    await _impair_upstream(fleet, length, rng, hung=True)


async def _shed(fleet, length, rng):
    await _impair_upstream(fleet, length, rng, shed=rng.uniform(0.1, 1))


async def _slow(fleet, length, rng):
    factor = rng.uniform(2, 60)
    await _impair_upstream(fleet, length, rng, slow_factor=factor)


async def _leave(fleet, length, rng):
    await _impair_upstream(fleet, length, rng, leaving=True)


async def _straggle(fleet, length, rng):
    for model in fleet.models.values():
        model.faults.straggle = rng.uniform(0, 0.3)
    await asyncio.sleep(length)
    for model in fleet.models.values():
        model.faults.straggle = 0.0


async def _impair_links(fleet, length, rng):
    running = rng.choice(list(fleet.hosts.values()))
    faults = running.upstream_port.faults
    faults.lose = rng.uniform(0, 0.5)
    # The fraction of replies that are replaced by an earlier reply.
    faults.cross = rng.uniform(0, 0.5)
    faults.delay_s = rng.uniform(0, 0.1)
    await asyncio.sleep(length)
    faults.lose = faults.cross = faults.delay_s = 0.0


async def _freeze(fleet, length, rng):
    """Pause one host: messages to it arrive only after the pause."""
    name = rng.choice(list(fleet.hosts))
    fleet.set_paused(name, True)
    await asyncio.sleep(length)
    fleet.set_paused(name, False)


# Crashed and stopped hosts stay down.
async def _crash(fleet, length, rng):
    name = rng.choice(list(fleet.hosts))
    if not fleet.hosts[name].task.done():
        await fleet.crash_host(name)


async def _stop(fleet, length, rng):
    name = rng.choice(list(fleet.hosts))
    if not fleet.hosts[name].task.done():
        stopping = fleet.stop_host(name)
        await asyncio.gather(stopping, return_exceptions=True)


async def _roll_out(fleet, length, rng):
    """Add a new version to upstreams in random order, then remove the old."""
    name = state.CollectionId(_COLLECTION)
    old = fleet.layout.collections[name].placements[-1]
    new = state.Placement(
        version=state.IndexVersion(old.version + 1), shards=old.shards
    )
    await _publish(fleet, name, (old, new))
    models = list(fleet.models.values())
    rng.shuffle(models)
    for model in models:
        model.versions = {old.version, new.version}
        await asyncio.sleep(length / len(models) / 2)
    rng.shuffle(models)
    for model in models:
        model.versions = {new.version}
        await asyncio.sleep(length / len(models) / 2)


async def _publish(fleet, name, placements) -> None:
    collection = state.Collection(collection=name, placements=placements)
    collections_now = {**fleet.layout.collections, name: collection}
    revision = state.Revision(fleet.layout.revision + 1)
    fleet.layout = dataclasses.replace(
        fleet.layout, revision=revision, collections=collections_now
    )
    # The write fails while the key-value service is down. Hosts then receive
    # the layout with the next successful write.
    await fleet.kv.put_unless_down(coordination.LAYOUT_KEY, fleet.layout)


_INJECTORS = {
    'lose': _lose,
    'hang': _hang,
    'shed': _shed,
    'slow': _slow,
    'leave': _leave,
    'straggle': _straggle,
    'links': _impair_links,
    'kv_down': random_faults.inject_kv_outage,
    'kv_slow': random_faults.inject_kv_delay,
    'kv_loses_replies': random_faults.inject_lost_kv_replies,
    'freeze': _freeze,
    'crash': _crash,
    'stop': _stop,
    'rollout': _roll_out,
}


async def _run(seed: int) -> ScheduleResult:
    settings = {'drain': {'balancer_lag_s': 0.2, 'bound_s': 2.0}}
    async with standins.run_fleet(_DEPLOYMENT, 3, seed, settings) as fleet:
        edit = await fleet.set_row(
            _TEAM, may_write=True, deadline_s=_DEADLINE_S
        )
        await fleet.wait_until_in_force(edit.revision)
        schedule = _Schedule(fleet, seed)
        await schedule.run()
        counted = collections.Counter(
            type(call.outcome).__name__ for call in schedule.calls
        )
        return ScheduleResult(
            seed=seed,
            outcomes=dict(counted),
            faults=schedule.faults,
            violations=list_violations(schedule.calls, fleet.list_runs()),
        )


def list_violations(
    calls: list[Call],
    all_executions: list[standins.Run],
    shards: int = _SERVICES,
) -> list[str]:
    """Return a description of each violated guarantee.

    `all_executions` are the requests that all upstreams ran, also those that
    did not finish. `shards` is the number of shards of the collection.
    """
    by_marker: dict[str, list[standins.Run]] = {}
    for run in all_executions:
        marker = json.loads(bytes(run.request.body))
        by_marker.setdefault(marker, []).append(run)
    violations = []
    for call in calls:
        executions = by_marker.get(call.marker, [])
        match call.outcome:
            case protocol.Answered():
                violations += _check_answer(
                    call, call.outcome, executions, shards
                )
            case protocol.Refused() if call.key is None and executions:
                violations.append(f'{call.marker}: refused, yet it ran')
    by_key: dict[str, list[Call]] = {}
    for call in calls:
        if call.key is not None:
            by_key.setdefault(call.key, []).append(call)
    for key, repeats in by_key.items():
        violations += _check_command(key, repeats, by_marker.get(key, []))
    return violations


def _check_answer(
    call: Call,
    answer: protocol.Answered,
    executions: list[standins.Run],
    shards: int,
) -> list[str]:
    violations = []
    coverage = answer.coverage
    finished = {
        run.request.shard
        for run in executions
        if run.finished and run.request.version == answer.version
    }
    if len(coverage.missing) + coverage.answered != coverage.shards:
        violations.append(f'{call.marker}: coverage does not add up')
    if coverage.shards != shards:
        violations.append(f'{call.marker}: {coverage.shards} shards counted')
    if len(finished - set(coverage.missing)) < coverage.answered:
        violations.append(f'{call.marker}: counts shards that did not answer')
    for hit in answer.hits:
        document = json.loads(bytes(hit.document))
        if document['echo'] != call.marker:
            violations.append(
                f'{call.marker}: has a hit of {document["echo"]}'
            )
        if document['shard'] in coverage.missing:
            violations.append(f'{call.marker}: has a hit of a missing shard')
        # The stand-ins' hit ids end in VERSION-NUMBER.
        if hit.id.split('-')[-2] != str(answer.version):
            violations.append(f'{call.marker}: mixes versions')
    return violations


def _check_command(
    key: str, repeats: list[Call], executions: list[standins.Run]
) -> list[str]:
    violations = []
    outcomes = [call.outcome for call in repeats]
    recorded = [each for each in outcomes if _is_recorded(each)]
    if len(executions) > 1:
        violations.append(f'{key}: ran {len(executions)} times')
    if recorded and not any(run.finished for run in executions):
        violations.append(f'{key}: recorded, yet it did not run')
    if sum(not each.repeat for each in recorded) > 1:
        violations.append(f'{key}: two calls say that they ran it')
    if len({tuple(hit.id for hit in each.hits) for each in recorded}) > 1:
        violations.append(f'{key}: recorded with different results')
    refused = all(isinstance(each, protocol.Refused) for each in outcomes)
    if refused and executions:
        violations.append(f'{key}: refused by all, yet it ran')
    return violations


def _is_recorded(outcome: protocol.Outcome | None) -> bool:
    return isinstance(outcome, protocol.Recorded)
