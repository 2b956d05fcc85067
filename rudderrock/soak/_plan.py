"""What one seed injects, and when."""

import dataclasses
import enum
import random

from rudderrock import core
from rudderrock import standins
from rudderrock.standins import platform as platform_standins


class FaultKind(enum.Enum):
    """What can be done to the system from outside."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RELOAD = 'reload'
    STORE_REFUSES = 'store_refuses'
    STORE_SLOW = 'store_slow'
    STORE_LOSES = 'store_loses'
    STORE_FORGETS = 'store_forgets'
    STORE_REVOKES = 'store_revokes'
    STORE_RETURNS = 'store_returns'
    WAY_TO_STORE = 'way_to_store'
    WAY_TO_UPSTREAM = 'way_to_upstream'
    UPSTREAM = 'upstream'
    UPSTREAM_RESTARTS = 'upstream_restarts'
    UPSTREAM_DRAINS = 'upstream_drains'
    MOVE_ROUTE = 'move_route'
    REPARTITION = 'repartition'
    LETHAL_REQUEST = 'lethal_request'


class WayFault(enum.Enum):
    """How a proxy treats the connections through it."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    CUT_THERE = 'cut_there'
    CUT_BACK = 'cut_back'
    SILENCE = 'silence'


# Faults that come as planned work; the others are unplanned.
PLANNED = frozenset({FaultKind.STOP, FaultKind.RELOAD, FaultKind.MOVE_ROUTE})
# Drawn apart from the others, so that their number changes nothing else.
_APART = (FaultKind.LETHAL_REQUEST, FaultKind.STORE_RETURNS)
_DRAWN = [each for each in FaultKind if each not in _APART]
# The latest part of a seed's length at which a request begins to come that
# crashes the upstreams which run it: its copies come until the end.
_LETHAL_BY = 0.4
# The store is away for this part of the time that other faults last.
_AWAY_PART = 0.4
_CONDUCTS = [
    each
    for each in standins.Conduct
    if each not in (standins.Conduct.GOOD, standins.Conduct.EARLY)
]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times in seconds from the start of the load.

    `target` picks among the things that fit, `how` is the variant.
    """

    at: float
    kind: FaultKind
    lasts: float
    target: int
    how: enum.Enum | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Everything that one seed does; `length` in seconds.

    `returns` counts the returns of the store among the faults.
    """

    seed: int
    length: float
    hosts: int
    faults: tuple[Fault, ...]
    returns: int = 0


def make_plan(
    seed: int, length: float, hosts: int, lethal: int = 1, returns: int = 0
) -> Plan:
    """Draw a plan: single faults, series of one kind, and overlaps.

    So many requests that crash upstreams, and so many returns of the store
    from a copy, are drawn apart from the rest.
    """
    chance = core.make_random(seed, 'soak')
    faults: list[Fault] = []
    at = 0.5
    while at < length - 1.0:
        kind = chance.choice(_DRAWN)
        for step in range(chance.choice((1, 1, 1, 2, 3))):
            start = at + 0.4 * step
            if start < length - 1.0:
                faults.append(_draw_fault(chance, start, kind))
        at += chance.uniform(0.2, 1.5)
    for number in range(lethal):
        apart = core.make_random(seed, f'lethal{number or ""}')
        began = apart.uniform(0.1, _LETHAL_BY) * length
        faults.append(_draw_fault(apart, began, FaultKind.LETHAL_REQUEST))
    for number in range(returns):
        apart = core.make_random(seed, f'return{number}')
        began = apart.uniform(0.1, 0.9) * length
        faults.append(_draw_fault(apart, began, FaultKind.STORE_RETURNS))
    faults.sort(key=lambda fault: fault.at)
    return Plan(seed, length, hosts, tuple(faults), returns)


def _draw_fault(chance: random.Random, at: float, kind: FaultKind) -> Fault:
    how: enum.Enum | None = None
    match kind:
        case FaultKind.STORE_REFUSES:
            choices = list(platform_standins.Refusal)[1:]
            how = chance.choice(choices)
        case FaultKind.WAY_TO_STORE | FaultKind.WAY_TO_UPSTREAM:
            how = chance.choice(list(WayFault)[1:])
        case FaultKind.UPSTREAM:
            how = chance.choice(_CONDUCTS)
    lasts = chance.uniform(0.2, 3.0)
    if kind is FaultKind.STORE_RETURNS:
        lasts *= _AWAY_PART
    return Fault(at, kind, lasts, chance.randrange(1 << 16), how)
