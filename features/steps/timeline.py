"""Steps on clocks and the ring of events."""

import asyncio
import time
from unittest import mock

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import core
from rudderrock import state

use_step_matcher('re')

_WALL = 1_700_000_000.0


def _add_host(context, name, skew):
    clock = state.Clock(context.loop, _WALL + skew)
    hybrid = state.HybridClock(clock)
    ring = state.EventRing(state.HostId(name), hybrid)
    known = getattr(context, 'rings', {})
    context.rings = {**known, name: (clock, hybrid, ring)}


@given(r'host "([^"]+)" whose clock is accurate')
def add_right(context, name):
    _add_host(context, name, 0.0)


@given(r'host "([^"]+)" whose clock is (-?\d+) seconds off')
def add_skewed(context, name, skew):
    _add_host(context, name, float(skew))


@when(
    r'"([^"]+)" records a cause and sends its stamp to "([^"]+)", which '
    r'records an effect'
)
def tell(context, one, other):
    _, _, ring = context.rings[one]
    context.cause = ring.record(state.EventKind.CLAIM)
    _, hybrid, other_ring = context.rings[other]
    hybrid.hear(context.cause.stamp)
    context.effect = other_ring.record(state.EventKind.ANSWERED)


@then('the effect comes after the cause in the merged order')
def check_order(context):
    events = [
        event
        for _, _, ring in context.rings.values()
        for event in ring.list_since(state.Stamp())
    ]
    events.sort(key=lambda event: (event.stamp, event.host))
    assert events == [context.cause, context.effect], events


@then(r'the stamp of "([^"]+)" is less than (\d+) seconds? ahead of its clock')
def check_ahead(context, name, seconds):
    clock, _, _ = context.rings[name]
    ahead = context.effect.stamp.wall - clock.wall()
    assert ahead < int(seconds), ahead


@when(r'"([^"]+)" records (\d+) events at the same instant')
def record_many(context, name, count):
    _, _, ring = context.rings[name]
    context.events = [
        ring.record(state.EventKind.HEDGE) for _ in range(int(count))
    ]


@then('their stamps are unique and in order')
def check_stamps(context):
    stamps = [event.stamp for event in context.events]
    assert stamps == sorted(set(stamps)), stamps[:5]


class SuspendedMachine:
    """Clocks of a machine whose monotonic clock stands still meanwhile."""

    def __init__(self) -> None:
        self.slept = 0.0
        self._read = time.clock_gettime

    def read(self, clock):
        """Return what `time.clock_gettime` would."""
        asleep = self.slept if clock == time.CLOCK_BOOTTIME else 0.0
        return self._read(clock) + asleep


@given(r"the programs' event loop and a timer due in ([\d.]+) seconds")
def make_program_loop(context, seconds):
    context.machine = SuspendedMachine()
    patch = mock.patch.object(time, 'clock_gettime', context.machine.read)
    context.stack.enter_context(patch)
    context.slept_loop = core.SuspendAwareLoop()
    context.stack.callback(context.slept_loop.close)
    offset = time.time() - context.slept_loop.time()
    context.slept_clock = core.Clock(context.slept_loop, offset)
    context.slept_from = context.slept_clock.now()
    context.rung = []
    context.slept_loop.call_later(float(seconds), context.rung.append, 1)


@when(r'the machine is suspended for ([\d.]+) seconds')
def suspend(context, seconds):
    context.machine.slept += float(seconds)
    context.slept_loop.run_until_complete(asyncio.sleep(0))


@then(r'the timer has run')
def check_rung(context):
    assert context.rung == [1]


@then(r"the loop's clock has advanced by ([\d.]+) seconds")
def check_slept(context, seconds):
    passed = context.slept_clock.now() - context.slept_from
    assert float(seconds) <= passed < float(seconds) + 1.0, passed


@then("the loop's wall time is correct")
def check_wall(context):
    # The time of day of a machine goes on while it is suspended.
    right = time.time() + context.machine.slept
    assert abs(context.slept_clock.wall() - right) < 0.5
