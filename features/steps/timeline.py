"""Steps on the hybrid logical clock and the ring of events."""

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import state

use_step_matcher('re')

_WALL = 1_700_000_000.0


def _add_host(context, name, skew):
    clock = state.Clock(context.loop, _WALL + skew)
    hybrid = state.HybridClock(clock)
    ring = state.EventRing(state.HostId(name), hybrid)
    known = getattr(context, 'rings', {})
    context.rings = {**known, name: (clock, hybrid, ring)}


@given(r'host "([^"]+)" whose clock is right')
def add_right(context, name):
    _add_host(context, name, 0.0)


@given(r'host "([^"]+)" whose clock is (-?\d+) seconds off')
def add_skewed(context, name, skew):
    _add_host(context, name, float(skew))


@when(
    r'"([^"]+)" records a cause and tells "([^"]+)", which records an effect'
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


@when(r'"([^"]+)" records (\d+) events at one instant')
def record_many(context, name, count):
    _, _, ring = context.rings[name]
    context.events = [
        ring.record(state.EventKind.HEDGE) for _ in range(int(count))
    ]


@then('their stamps are all different and in order')
def check_stamps(context):
    stamps = [event.stamp for event in context.events]
    assert stamps == sorted(set(stamps)), stamps[:5]
