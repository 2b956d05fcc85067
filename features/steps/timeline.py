"""Steps on clocks and event rings."""

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
    rings = getattr(context, 'rings', {})
    context.rings = {**rings, name: (clock, hybrid, ring)}


@given(r'host "([^"]+)" whose clock is accurate')
def add_accurate(context, name):
    _add_host(context, name, 0.0)


@given(r'host "([^"]+)" whose clock is (-?\d+) seconds off')
def add_skewed(context, name, skew):
    _add_host(context, name, float(skew))


@when(
    r'"([^"]+)" records a cause and sends its stamp to "([^"]+)", which '
    r'records an effect'
)
def record_and_observe(context, sender, receiver):
    _, _, ring = context.rings[sender]
    context.cause = ring.record(state.EventKind.CLAIM)
    _, hybrid, receiver_ring = context.rings[receiver]
    hybrid.observe(context.cause.stamp)
    context.effect = receiver_ring.record(state.EventKind.ANSWERED)


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
    ahead_s = context.effect.stamp.wall - clock.wall()
    assert ahead_s < int(seconds), ahead_s


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
    """The clocks of a machine that can be suspended.

    Only `CLOCK_BOOTTIME` includes the time of suspension.
    """

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def read(self, clock):
        """Return the time of a clock, as `time.clock_gettime` does."""
        offset_s = self.suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return self._read(clock) + offset_s


@given(r"the programs' event loop and a timer due in ([\d.]+) seconds")
def make_program_loop(context, seconds):
    context.machine = SuspendedMachine()
    patch = mock.patch.object(time, 'clock_gettime', context.machine.read)
    context.stack.enter_context(patch)
    context.program_loop = core.SuspendAwareLoop()
    context.stack.callback(context.program_loop.close)
    offset = time.time() - context.program_loop.time()
    context.program_clock = core.Clock(context.program_loop, offset)
    context.started_at = context.program_clock.now()
    context.timer_runs = []
    context.program_loop.call_later(
        float(seconds), context.timer_runs.append, 1
    )


@when(r'the machine is suspended for ([\d.]+) seconds')
def suspend(context, seconds):
    context.machine.suspended_s += float(seconds)
    context.program_loop.run_until_complete(asyncio.sleep(0))


@then(r'the timer has run')
def check_timer(context):
    assert context.timer_runs == [1]


@then(r"the loop's clock has advanced by ([\d.]+) seconds")
def check_clock(context, seconds):
    elapsed_s = context.program_clock.now() - context.started_at
    assert float(seconds) <= elapsed_s < float(seconds) + 1.0, elapsed_s


@then("the loop's wall time is correct")
def check_wall(context):
    # Wall time advances while the machine is suspended.
    expected = time.time() + context.machine.suspended_s
    assert abs(context.program_clock.wall() - expected) < 0.5
