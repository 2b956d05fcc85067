"""The faults that are drawn from one seed, and their times."""

import dataclasses
import enum
import random

from rudderrock import core
from rudderrock import standins
from rudderrock.standins import platform as platform_standins


class FaultKind(enum.Enum):
    """Faults that can be injected from outside the processes."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    RELOAD = 'reload'
    STORE_REFUSES = 'store_refuses'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_REPLIES = 'store_loses'
    STORE_COMPACTS_HISTORY = 'store_forgets'
    STORE_REVOKES_LEASES = 'store_revokes'
    STORE_RESTORED = 'store_returns'
    PROXY_TO_STORE = 'way_to_store'
    PROXY_TO_UPSTREAM = 'way_to_upstream'
    UPSTREAM_MISBEHAVES = 'upstream'
    UPSTREAM_RESTARTS = 'upstream_restarts'
    UPSTREAM_DRAINS = 'upstream_drains'
    MOVE_ROUTE = 'move_route'
    REPARTITION = 'repartition'
    LETHAL_REQUEST = 'lethal_request'
    ENDLESS_REPLIES = 'endless_replies'
    ODD_ENTRY = 'odd_entry'
    EARLY_SIGNALS = 'early_signals'


class ProxyFault(enum.Enum):
    """Faults that a proxy applies to its connections."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    STALL_TO_SERVER = 'cut_there'
    STALL_TO_CLIENT = 'cut_back'
    STALL_BOTH = 'silence'


# Operations that an operator performs; all other kinds are unplanned faults,
# which count as disturbances.
OPERATIONS = frozenset(
    {FaultKind.STOP, FaultKind.RELOAD, FaultKind.MOVE_ROUTE}
)
# Kinds whose number is an argument of `make_plan`. They are drawn from
# separate random streams, so that their number does not change the rest of the
# plan.
_OUTSIDE_DATA = (
    FaultKind.ENDLESS_REPLIES,
    FaultKind.ODD_ENTRY,
    FaultKind.EARLY_SIGNALS,
)
_DRAWN_SEPARATELY = (
    FaultKind.LETHAL_REQUEST,
    FaultKind.STORE_RESTORED,
    *_OUTSIDE_DATA,
)
_DRAWN_TOGETHER = [each for each in FaultKind if each not in _DRAWN_SEPARATELY]
# The latest time at which callers start to send a lethal request, as a
# fraction of the load's duration. They send copies of it until the end of the
# load. A lethal request crashes each upstream that runs it.
_MAX_LETHAL_START_FRACTION = 0.4
# The outage before the store is restored is drawn like the duration of other
# faults, times this.
_OUTAGE_FRACTION = 0.4
_UPSTREAM_FAULT_MODES = [
    each
    for each in standins.FaultMode
    if each
    not in (
        standins.FaultMode.GOOD,
        standins.FaultMode.EARLY_REPLY,
        standins.FaultMode.ENDLESS,
    )
]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault, `start_s` seconds after the start of the load.

    `target` selects the host, the upstream, the snapshot, the route of a
    lethal request or the number of shards, modulo the number of candidates.
    `variant` is the mode of the fault, for kinds that have
    several.
    """

    start_s: float
    kind: FaultKind
    duration_s: float
    target: int
    variant: enum.Enum | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The faults and the size of the run of one seed.

    `length_s` is the duration of the load. `restores` is how many of the
    faults restore the store from a snapshot.
    """

    seed: int
    length_s: float
    hosts: int
    faults: tuple[Fault, ...]
    restores: int = 0


def make_plan(
    seed: int,
    length_s: float,
    hosts: int,
    lethal: int = 1,
    restores: int = 0,
    odd: int = 0,
) -> Plan:
    """Return a plan with single faults, series of one kind and overlaps.

    `lethal` is the number of requests that crash upstreams, `restores` how
    many times the store is restored from a snapshot, and `odd` how many times
    each kind of odd data or signal comes from outside. Each of these faults is
    drawn from a random stream of its own.
    """
    rng = core.make_random(seed, 'soak')
    faults: list[Fault] = []
    at = 0.5
    while at < length_s - 1.0:
        kind = rng.choice(_DRAWN_TOGETHER)
        for step in range(rng.choice((1, 1, 1, 2, 3))):
            start = at + 0.4 * step
            if start < length_s - 1.0:
                faults.append(_draw_fault(rng, start, kind))
        at += rng.uniform(0.2, 1.5)
    for number in range(lethal):
        separate_rng = core.make_random(seed, f'lethal{number or ""}')
        started = (
            separate_rng.uniform(0.1, _MAX_LETHAL_START_FRACTION) * length_s
        )
        faults.append(
            _draw_fault(separate_rng, started, FaultKind.LETHAL_REQUEST)
        )
    for number in range(restores):
        # The text selects the random stream, so another text would change the
        # plans of all seeds.
        separate_rng = core.make_random(seed, f'return{number}')
        started = separate_rng.uniform(0.1, 0.9) * length_s
        faults.append(
            _draw_fault(separate_rng, started, FaultKind.STORE_RESTORED)
        )
    for kind in _OUTSIDE_DATA:
        for number in range(odd):
            separate_rng = core.make_random(seed, f'{kind.value}{number}')
            started = separate_rng.uniform(0.0, 0.9) * length_s
            faults.append(_draw_fault(separate_rng, started, kind))
    faults.sort(key=lambda fault: fault.start_s)
    return Plan(seed, length_s, hosts, tuple(faults), restores)


def _draw_fault(rng: random.Random, at: float, kind: FaultKind) -> Fault:
    variant: enum.Enum | None = None
    match kind:
        case FaultKind.STORE_REFUSES:
            choices = list(platform_standins.Refusal)[1:]
            variant = rng.choice(choices)
        case FaultKind.PROXY_TO_STORE | FaultKind.PROXY_TO_UPSTREAM:
            variant = rng.choice(list(ProxyFault)[1:])
        case FaultKind.UPSTREAM_MISBEHAVES:
            variant = rng.choice(_UPSTREAM_FAULT_MODES)
    duration_s = rng.uniform(0.2, 3.0)
    if kind is FaultKind.STORE_RESTORED:
        duration_s *= _OUTAGE_FRACTION
    return Fault(at, kind, duration_s, rng.randrange(1 << 16), variant)
