"""Runs a plan on virtual time, with stand-ins for all remote services."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import gc
import random
from typing import Any
import warnings

import async_solipsism

from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock.experiments import _faults as faults
from rudderrock.experiments import _outcomes as outcomes
from rudderrock.experiments import _plan as plans

_PROGRESS_STEP_S = 5.0
_DEFAULT_WEIGHT = 1.0


class Driver:
    """Sends the queries of one team in an open loop (Poisson arrivals).

    Parameters: `send_query` sends one query and returns its outcome; `now`
    returns the time in seconds; `rng` draws the intervals between queries.
    """

    def __init__(
        self,
        load: plans.TeamLoad,
        bursts: list[plans.Burst],
        send_query: Callable,
        now: Callable[[], float],
        rng: random.Random,
    ):
        weight = float(load.row.get('weight', _DEFAULT_WEIGHT))
        self.recorder = outcomes.TeamRecorder(load.team, weight)
        self._load = load
        self._bursts = bursts
        self._send_query = send_query
        self._now = now
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()

    async def run(self, start: float, warm_up_s: float, seconds: float):
        """Send all queries, then wait for their outcomes.

        Queries are due from `warm_up_s` seconds before `start` until
        `seconds` after `start`.
        """
        due = start - warm_up_s
        while due < start + seconds:
            await asyncio.sleep(max(0.0, due - self._now()))
            task = asyncio.create_task(self._call(start, due))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due += self._rng.expovariate(self._get_rate(due - start))
        await asyncio.gather(*self._tasks)

    async def _call(self, start: float, due: float) -> None:
        outcome = await self._send_query()
        if due >= start:
            elapsed_s = self._now() - due
            self.recorder.record(due - start, elapsed_s, outcome)

    def _get_rate(self, second: float) -> float:
        rate = self._load.rate
        for burst in self._bursts:
            has_ended = burst.until is not None and second >= burst.until
            if second >= burst.at and not has_ended:
                rate *= burst.factor
        return rate


def run_virtual(
    plan: plans.Plan, on_progress: Callable[[str], None] | None = None
) -> outcomes.ExperimentResult:
    """Return the result of a plan, run on a new loop with virtual time.

    `on_progress` is called with a line of progress every 5 s of virtual time.
    """
    return run_on_virtual_time(_run(plan, on_progress))


def run_on_virtual_time(
    coroutine: Coroutine, exceptions: list[str] | None = None
) -> Any:
    """Return the result of a coroutine, run on a new loop with virtual time.

    Descriptions of unhandled exceptions in tasks are appended to
    `exceptions`.
    """
    loop = async_solipsism.EventLoop()
    if exceptions is not None:
        loop.set_exception_handler(
            lambda _, context: exceptions.append(_describe_exception(context))
        )
    with warnings.catch_warnings():
        warnings.simplefilter('ignore', async_solipsism.ResolutionWarning)
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.close()


def run_and_collect_exceptions(
    coroutine: Coroutine,
) -> tuple[Any, list[str]]:
    """Return the result of a coroutine and its tasks' unhandled exceptions.

    The callers treat the exceptions as violations. asyncio reports some of
    them only when the task is garbage-collected, so the garbage collector is
    run.
    """
    exceptions: list[str] = []
    done = run_on_virtual_time(coroutine, exceptions)
    gc.collect()
    return done, exceptions


def _describe_exception(context: dict[str, Any]) -> str:
    exception = context.get('exception')
    task = context.get('task') or context.get('future')
    return f'{context.get("message")}: {exception!r} in {task!r}'


async def _run(plan, on_progress) -> outcomes.ExperimentResult:
    hosts = plan.deployment.hosts
    async with standins.run_fleet(
        plan.deployment, hosts, plan.seed, plan.settings
    ) as fleet:
        for load in plan.teams:
            edit = await fleet.set_row(load.team, **load.row)
        await fleet.wait_until_in_force(edit.revision)
        start = fleet.clock.now() + plan.warm_up_s
        end = start + plan.seconds
        drivers = [_make_driver(plan, fleet, load) for load in plan.teams]
        async with asyncio.TaskGroup() as group:
            background_tasks = [
                group.create_task(
                    faults.inject_fault(fleet, fault, start, end)
                )
                for fault in plan.faults
            ]
            # This task runs even without an `on_progress` callback. With
            # fewer tasks, events due at the same virtual time would run in
            # another order, and the result would differ from a run with it.
            progress = _report_progress(
                fleet, start, end, on_progress or _discard_progress
            )
            background_tasks.append(group.create_task(progress))
            running = [
                group.create_task(
                    driver.run(start, plan.warm_up_s, plan.seconds)
                )
                for driver in drivers
            ]
            await asyncio.gather(*running)
            for background_task in background_tasks:
                background_task.cancel()
        return _make_result(plan, fleet, drivers)


def _make_driver(
    plan: plans.Plan, fleet: standins.MemoryFleet, load: plans.TeamLoad
) -> Driver:
    bursts = [
        fault
        for fault in plan.faults
        if isinstance(fault, plans.Burst) and fault.team == load.team
    ]
    rng = state.make_random(plan.seed, f'load/{load.team}')
    to_clients_s = plan.deployment.network.to_clients_s

    async def send_query() -> protocol.Outcome | None:
        host = _choose_ready_host(fleet, rng)
        if host is None:
            return None
        await asyncio.sleep(to_clients_s)
        outcome = await fleet.query(host, load.team, load.collection)
        await asyncio.sleep(to_clients_s)
        return outcome

    return Driver(load, bursts, send_query, fleet.clock.now, rng)


def _choose_ready_host(
    fleet: standins.MemoryFleet, rng: random.Random
) -> str | None:
    """Return a random ready host, as a load balancer would, or None."""
    ready = [
        name
        for name, running in fleet.hosts.items()
        if running.host.lifecycle.is_ready and not running.task.done()
    ]
    return rng.choice(ready) if ready else None


def _discard_progress(line: str) -> None:
    """Ignore a line of progress."""


async def _report_progress(fleet, start, end, on_progress) -> None:
    while True:
        elapsed_s = fleet.clock.now() - start
        on_progress(f'{max(0.0, elapsed_s):.0f} of {end - start:.0f} s')
        await asyncio.sleep(_PROGRESS_STEP_S)


def _make_result(
    plan: plans.Plan, fleet: standins.MemoryFleet, drivers: list[Driver]
) -> outcomes.ExperimentResult:
    counters = [
        running.host.runner.counters for running in fleet.hosts.values()
    ]
    shards = sum(each.shards for each in counters)
    hedges = sum(each.hedges for each in counters)
    retries = sum(each.retries for each in counters)
    connections = max(
        model.peak_connections / model.upstream.connections
        for model in fleet.models.values()
    )
    return outcomes.ExperimentResult(
        name=plan.name,
        seed=plan.seed,
        seconds=plan.seconds,
        hosts=plan.deployment.hosts,
        teams=[driver.recorder.make_outcome() for driver in drivers],
        inside=outcomes.InternalMetrics(
            extra_load=(hedges + retries) / max(1, shards),
            hedges=hedges,
            retries=retries,
            shard_requests=shards,
            connections=connections,
            kv_reads=fleet.kv.reads,
            kv_writes=fleet.kv.writes,
        ),
        marks=[
            outcomes.make_mark(fault.kind, fault.at, fault.until, plan.seconds)
            for fault in plan.faults
        ],
    )
