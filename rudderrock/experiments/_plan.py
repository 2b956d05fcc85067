"""Experiment plans in TOML: deployment, load and faults."""

import dataclasses
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import result

from rudderrock import standins
from rudderrock import state

_Seconds = Annotated[float, pydantic.Field(ge=0, le=86_400)]
_Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]
_Factor = Annotated[float, pydantic.Field(ge=0, le=10_000)]

EVERYTHING = '*'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _TimedFault:
    """A fault that is active from `at` to `until`.

    Both are in seconds since the end of the warm-up. Without `until`, the
    fault lasts until the end of the plan.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    at: _Seconds = 0.0
    until: _Seconds | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Straggle(_TimedFault):
    """A fraction of the requests takes `factor` times as long."""

    kind: Literal['straggle']
    upstreams: str = EVERYTHING
    part: _Fraction = 0.01
    factor: _Factor = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slow(_TimedFault):
    """Every request to the upstreams takes `factor` times as long."""

    kind: Literal['slow']
    upstreams: str = EVERYTHING
    factor: _Factor = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamDown(_TimedFault):
    """Upstreams drop their connections and accept none.

    With `hang`, they accept requests but never answer.
    """

    kind: Literal['lose']
    upstreams: str
    hang: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shed(_TimedFault):
    """Upstreams reject a fraction of their requests."""

    kind: Literal['shed']
    upstreams: str
    part: _Fraction = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FalseLoad(_TimedFault):
    """Upstreams report `queued` waiting requests, whatever their load is."""

    kind: Literal['false_load']
    upstreams: str
    queued: Annotated[int, pydantic.Field(ge=0)] = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdRestart(_TimedFault):
    """Upstreams stop at `at` and restart with cold caches at `until`.

    After the restart they are `factor` times slower for `warm_up_s`
    seconds.
    """

    kind: Literal['cold']
    upstreams: str
    factor: _Factor = 4.0
    warm_up_s: _Seconds = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain(_TimedFault):
    """Upstreams drain: they announce it and accept no new requests."""

    kind: Literal['leave']
    upstreams: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout(_TimedFault):
    """A new index version is rolled out upstream by upstream.

    Each upstream serves both versions for `overlap_s` seconds, then only
    the new one. The rollout lasts from `at` to `until`.
    """

    kind: Literal['rollout']
    collection: str
    overlap_s: _Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvDown(_TimedFault):
    """The key-value service is down.

    With `delay_s`, it is up but each call is delayed by that time.
    """

    kind: Literal['kv_down']
    delay_s: _Seconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostDown(_TimedFault):
    """A host crashes or, with `planned`, is stopped gracefully.

    The host stays down; `until` only ends the mark in the report.
    """

    kind: Literal['host_gone']
    host: str
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burst(_TimedFault):
    """A team sends `factor` times as many queries."""

    kind: Literal['burst']
    team: str
    factor: _Factor = 20.0


Fault = Annotated[
    Straggle
    | Slow
    | UpstreamDown
    | Shed
    | FalseLoad
    | ColdRestart
    | Drain
    | Rollout
    | KvDown
    | HostDown
    | Burst,
    pydantic.Field(discriminator='kind'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamLoad:
    """Open-loop load of one team: `rate` queries per second.

    `row` holds the fields of the team's table row that differ from the
    defaults.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    team: str
    collection: str
    rate: Annotated[float, pydantic.Field(gt=0, le=1e6)]
    row: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The plan of an experiment: deployment, load, faults and settings.

    Outcomes are recorded only after `warm_up_s` seconds, and times of faults
    are relative to that moment. `settings` holds the sections and keys of
    the hosts' settings that differ from the defaults.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    name: Annotated[str, pydantic.Field(pattern=r'^[\w -]{1,80}$')]
    deployment: standins.Deployment
    seconds: Annotated[float, pydantic.Field(gt=0, le=86_400)]
    teams: list[TeamLoad]
    warm_up_s: _Seconds = 3.0
    seed: Annotated[int, pydantic.Field(ge=0, le=2**32 - 1)] = 1
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    faults: list[Fault] = dataclasses.field(default_factory=list)


def read_plan(path: pathlib.Path) -> result.Result[Plan, str]:
    """Return a validated plan, or why it is invalid.

    The deployment may be given as the path of another TOML file, relative to
    the folder of the plan.
    """
    read = state.read_toml(path)
    if read.is_err():
        return read
    raw = read.unwrap()
    if isinstance(raw.get('deployment'), str):
        other = state.read_toml(path.parent / raw['deployment'])
        if other.is_err():
            return other
        raw['deployment'] = other.unwrap()
    checked = state.validate(Plan, raw)
    return checked.map_err(
        lambda found: '\n'.join(f'{path}: {each}' for each in found)
    )
