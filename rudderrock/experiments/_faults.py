"""Injects the faults of a plan into a fleet on virtual time."""

import asyncio
import fnmatch
import itertools

from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock.experiments import _plan as plans


async def inject_fault(
    fleet: standins.MemoryFleet,
    fault: plans.Fault,
    start: float,
    end: float,
) -> None:
    """Inject a fault at its start and clear it at its end.

    `start` and `end` are the loop times, in seconds, at which the warm-up
    ends and the plan ends. A stopped or crashed host is not started again. A
    burst is ignored here: the `Driver` of its team raises the rate.
    """
    await _sleep_until(fleet, start + fault.at)
    until = end if fault.until is None else start + fault.until
    match fault:
        case plans.Rollout():
            await _roll_out(fleet, fault, until)
        case plans.KvDown():
            await _impair_kv(fleet, fault, until)
        case plans.HostDown(host=host, planned=True):
            await fleet.stop_host(host)
        case plans.HostDown(host=host):
            await fleet.crash_host(host)
        case plans.Burst():
            pass
        case plans.ColdRestart():
            await _restart_cold(fleet, fault, until)
        case _:
            models = _select_upstreams(fleet, fault.upstreams)
            _inject(fleet, fault, models)
            await _sleep_until(fleet, until)
            _clear(fault, models)


def _inject(fleet, fault: plans.Fault, models: list) -> None:
    for model in models:
        match fault:
            case plans.Straggle(part=part, factor=factor):
                model.faults.straggle = part
                model.faults.straggle_factor = factor
            case plans.Slow(factor=factor):
                model.faults.slow_factor = factor
            case plans.UpstreamDown(hang=hang):
                model.faults.hung = hang
                model.faults.lost = not hang
            case plans.Shed(part=part):
                model.faults.shed = part
            case plans.FalseLoad(queued=queued):
                model.faults.false_load = protocol.Load(queued=queued)
            case plans.Drain():
                model.faults.leaving = True


def _clear(fault: plans.Fault, models: list) -> None:
    for model in models:
        match fault:
            case plans.Straggle():
                model.faults.straggle = 0.0
            case plans.Slow():
                model.faults.slow_factor = 1.0
            case plans.UpstreamDown():
                model.faults.hung = False
                model.faults.lost = False
            case plans.Shed():
                model.faults.shed = 0.0
            case plans.FalseLoad():
                model.faults.false_load = None
            case plans.Drain():
                model.faults.leaving = False


async def _restart_cold(
    fleet: standins.MemoryFleet, fault: plans.ColdRestart, until: float
) -> None:
    models = _select_upstreams(fleet, fault.upstreams)
    for model in models:
        model.faults.lost = True
    await _sleep_until(fleet, until)
    for model in models:
        model.faults.lost = False
        model.faults.cold_factor = fault.factor
        model.faults.cold_until = fleet.clock.now() + fault.warm_up_s


async def _impair_kv(
    fleet: standins.MemoryFleet, fault: plans.KvDown, until: float
) -> None:
    if fault.delay_s:
        fleet.kv.faults.delay_s = fault.delay_s
    else:
        await fleet.kv.set_down(True)
    await _sleep_until(fleet, until)
    fleet.kv.faults.delay_s = 0.0
    await fleet.kv.set_down(False)


async def _roll_out(
    fleet: standins.MemoryFleet, fault: plans.Rollout, until: float
) -> None:
    """Add a new index version upstream by upstream.

    Each upstream drops the old version `overlap_s` seconds later.
    """
    name = state.CollectionId(fault.collection)
    collection = fleet.layout.collections[name]
    old = collection.placements[-1]
    new = state.Placement(
        version=state.IndexVersion(old.version + 1), shards=old.shards
    )
    both = state.Collection(collection=name, placements=(old, new))
    await fleet.change_layout(
        collections={**fleet.layout.collections, name: both}
    )
    # Update the first replica of every shard, then the second one, so that
    # at any time at least one version is available on every shard.
    models = [
        fleet.models[upstream]
        for replicas in itertools.zip_longest(*old.shards.values())
        for upstream in replicas
        if upstream is not None
    ]
    step_s = (until - fleet.clock.now()) / len(models)
    retiring = []
    for model in models:
        model.versions = {old.version, new.version}
        retire = _retire_version(model, old.version, fault.overlap_s)
        retiring.append(asyncio.create_task(retire))
        await asyncio.sleep(step_s)
    await asyncio.gather(*retiring)
    last = state.Collection(collection=name, placements=(new,))
    await fleet.change_layout(
        collections={**fleet.layout.collections, name: last}
    )


async def _retire_version(
    model, version: state.IndexVersion, wait_s: float
) -> None:
    await asyncio.sleep(wait_s)
    model.versions = model.versions - {version}


def _select_upstreams(fleet: standins.MemoryFleet, pattern: str) -> list:
    return [
        model
        for upstream, model in fleet.models.items()
        if fnmatch.fnmatchcase(upstream, pattern)
    ]


async def _sleep_until(fleet: standins.MemoryFleet, when: float) -> None:
    await asyncio.sleep(max(0.0, when - fleet.clock.now()))
