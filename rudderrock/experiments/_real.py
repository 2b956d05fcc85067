"""Runs the load of a plan against running hosts over HTTP."""

import asyncio
from collections.abc import Callable
import dataclasses
import pathlib
import random
from typing import Annotated

import msgspec
import pydantic
import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.experiments import _outcomes as outcomes
from rudderrock.experiments import _plan as plans
from rudderrock.experiments import _run as runs

_PROGRESS_STEP_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Targets:
    """Caller addresses of the hosts under load, and tokens by team."""

    __pydantic_config__ = state.FORBID_UNKNOWN

    hosts: Annotated[list[str], pydantic.Field(min_length=1)]
    tokens: dict[str, str] = dataclasses.field(repr=False)


def read_targets(path: pathlib.Path) -> result.Result[Targets, str]:
    """Return validated targets, or why the file is invalid."""
    read = state.read_toml(path)
    if read.is_err():
        return read
    checked = state.validate(Targets, read.unwrap())
    return checked.map_err(
        lambda found: '\n'.join(f'{path}: {each}' for each in found)
    )


async def run_real(
    plan: plans.Plan, targets: Targets, on_progress: Callable[[str], None]
) -> outcomes.ExperimentResult:
    """Send the load of a plan to running hosts and return the result.

    The faults of the plan are not injected. The result has no internal
    metrics, such as the extra load; the hosts export these themselves.
    `on_progress` is called with a line of progress every 5 s.
    """
    loop = asyncio.get_running_loop()
    start = loop.time() + plan.warm_up_s
    drivers = [
        runs.Driver(
            load,
            [],
            _make_sender(load, targets, plan.seed),
            loop.time,
            state.make_random(plan.seed, f'load/{load.team}'),
        )
        for load in plan.teams
    ]
    progress = asyncio.create_task(
        _report_progress(loop, start, plan, on_progress)
    )
    await asyncio.gather(
        *(
            driver.run(start, plan.warm_up_s, plan.seconds)
            for driver in drivers
        )
    )
    progress.cancel()
    return outcomes.ExperimentResult(
        name=plan.name,
        seed=plan.seed,
        seconds=plan.seconds,
        hosts=len(targets.hosts),
        teams=[driver.recorder.make_outcome() for driver in drivers],
        inside=None,
        marks=[],
    )


def _make_sender(load: plans.TeamLoad, targets: Targets, seed: int):
    rng = state.make_random(seed, f'targets/{load.team}')
    idle: dict[str, list[transport.HttpConnection]] = {
        host: [] for host in targets.hosts
    }
    token = targets.tokens.get(load.team, '')
    headers = {'authorization': f'Bearer {token}'}
    query = protocol.Query(
        collection=state.CollectionId(load.collection),
        body=msgspec.Raw(b'"load"'),
    )

    async def send_query() -> protocol.Outcome | None:
        host = _choose(rng, targets.hosts)
        idle_connections = idle[host]
        if idle_connections:
            connection = idle_connections.pop()
        else:
            connection = transport.HttpConnection(host, headers=headers)
        raw = await connection.post(
            protocol.QUERY_PATH, protocol.encode(query)
        )
        idle_connections.append(connection)
        return _read_outcome(raw)

    return send_query


def _choose(rng: random.Random, hosts: list[str]) -> str:
    return rng.choice(hosts)


def _read_outcome(
    raw: result.Result[transport.RawReply, transport.ExchangeFailed],
) -> protocol.Outcome | None:
    match raw:
        case result.Ok(transport.RawReply(status=200, body=body)):
            return protocol.decode(protocol.Answered, body).ok()
        case result.Ok(transport.RawReply(body=body)):
            problem = protocol.decode(protocol.ProblemDetails, body).ok()
            if problem and problem.outcome is protocol.ExecutionStatus.NOT_RUN:
                # The reason is not counted, so any will do.
                return protocol.Refused(
                    reason=protocol.RefusalReason.OVERLOAD,
                    detail=problem.detail,
                )
    return None


async def _report_progress(
    loop, start: float, plan: plans.Plan, on_progress
) -> None:
    while True:
        elapsed_s = max(0.0, loop.time() - start)
        on_progress(f'{elapsed_s:.0f} of {plan.seconds:g} s')
        await asyncio.sleep(_PROGRESS_STEP_S)
