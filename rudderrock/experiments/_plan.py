"""Experiments as TOML files: the systems, the load and the faults."""

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
    """A fault from `at` to `until`, in seconds of the experiment.

    Where `until` is left out the fault lasts to the end.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    at: _Seconds = 0.0
    until: _Seconds | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Straggle(_TimedFault):
    """A part of requests takes `factor` times as long."""

    kind: Literal['straggle']
    upstreams: str = EVERYTHING
    part: _Fraction = 0.01
    factor: _Factor = 15.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slow(_TimedFault):
    """Upstreams take `factor` times as long for everything."""

    kind: Literal['slow']
    upstreams: str = EVERYTHING
    factor: _Factor = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamDown(_TimedFault):
    """Upstreams are gone, or with `hang` silent."""

    kind: Literal['lose']
    upstreams: str
    hang: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shed(_TimedFault):
    """Upstreams refuse a part of what they get."""

    kind: Literal['shed']
    upstreams: str
    part: _Fraction = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FalseLoad(_TimedFault):
    """Upstreams report a load that is not theirs."""

    kind: Literal['false_load']
    upstreams: str
    queued: Annotated[int, pydantic.Field(ge=0)] = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdRestart(_TimedFault):
    """Upstreams come back cold: gone at `at`, slow after `until`.

    They are `factor` times slower for `warm_up_s` seconds.
    """

    kind: Literal['cold']
    upstreams: str
    factor: _Factor = 4.0
    warm_up_s: _Seconds = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain(_TimedFault):
    """Upstreams leave: they say so and take no new work."""

    kind: Literal['leave']
    upstreams: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout(_TimedFault):
    """A new index version comes to one upstream after another.

    An upstream holds both versions for `overlap_s`, then only the new
    one. The rollout takes from `at` to `until`.
    """

    kind: Literal['rollout']
    collection: str
    overlap_s: _Seconds = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvDown(_TimedFault):
    """The key-value service is down, or with `delay_s` slow."""

    kind: Literal['kv_down']
    delay_s: _Seconds = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostDown(_TimedFault):
    """A host crashes, or with `planned` is stopped."""

    kind: Literal['host_gone']
    host: str
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burst(_TimedFault):
    """A team asks `factor` times as often."""

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
    """One team's load: queries a second to one collection, open loop.

    `row` has the fields of the team's row that differ from the defaults.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    team: str
    collection: str
    rate: Annotated[float, pydantic.Field(gt=0, le=1e6)]
    row: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """An experiment.

    `warm_up_s` seconds pass before anything is counted; faults count
    their time from there. `settings` are the parts of the hosts' settings
    that differ from the defaults.
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
    """Read and check a plan; its deployment may be another file's name."""
    read = state.read_toml(path)
    if read.is_err():
        return read
    raw = read.unwrap()
    if isinstance(raw.get('deployment'), str):
        other = state.read_toml(path.parent / raw['deployment'])
        if other.is_err():
            return other
        raw['deployment'] = other.unwrap()
    checked = state.make_checked(Plan, raw)
    return checked.map_err(
        lambda found: '\n'.join(f'{path}: {each}' for each in found)
    )
