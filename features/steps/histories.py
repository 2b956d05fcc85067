"""Steps that play drawn histories of a source that comes back from copies."""

import contextlib

import async_solipsism
from behave import then
from behave import use_step_matcher
import hypothesis
from hypothesis import strategies

from features import history_bench

use_step_matcher('re')

_SECONDS = strategies.floats(min_value=0.0, max_value=3.0)
_HOST = strategies.integers(0, history_bench.HOSTS - 1)
_EVENTS = strategies.one_of(
    strategies.builds(history_bench.Publish),
    strategies.builds(history_bench.Evacuate, strategies.integers(0, 1)),
    strategies.builds(
        history_bench.Leave, strategies.integers(0, 3), strategies.booleans()
    ),
    strategies.builds(
        history_bench.Return,
        strategies.integers(0, history_bench.COPIES - 1),
        strategies.floats(min_value=0.1, max_value=3.0),
    ),
    strategies.builds(history_bench.Bar, _HOST, _SECONDS),
    strategies.builds(history_bench.Restart, _HOST),
)
_HISTORIES = strategies.lists(
    strategies.tuples(_SECONDS, _EVENTS), min_size=3, max_size=12
)

_FOUND = {
    'a host that starts again passes on what a copy names': [
        (0.9, history_bench.Leave(2, False)),
        (1.3, history_bench.Publish()),
        (0.7, history_bench.Evacuate(1)),
        (0.0, history_bench.Return(5, 1.6)),
        (0.7, history_bench.Return(0, 1.0)),
        (0.8, history_bench.Restart(1)),
    ],
    'a host that starts in a new era asks one of the era before': [
        (0.0, history_bench.Restart(1)),
        (0.4, history_bench.Leave(0, True)),
        (0.0, history_bench.Restart(1)),
        (0.5, history_bench.Bar(0, 2.0)),
        (0.0, history_bench.Return(2, 0.5)),
        (0.0, history_bench.Restart(2)),
    ],
}


def play(events):
    """Play one history on a loop of its own; return what was wrong."""

    async def go():
        async with contextlib.AsyncExitStack() as stack:
            history = history_bench.History(stack)
            await history.play(events)
            return history.problems

    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(go())
    finally:
        loop.close()


@then(r'no host reverts to an old state where (.+)')
def check_found(context, what):
    problems = play(_FOUND[what])
    assert not problems, problems


@then(
    r'in (\d+) random histories of the source no host reverts to an old '
    r'state, and all end in the right one'
)
def check_histories(context, count):
    # By hand: python -m features.run features/copies.feature -D examples=N
    examples = context.config.userdata.getint('examples', int(count))
    is_short = examples == int(count)

    @hypothesis.settings(
        max_examples=examples,
        derandomize=is_short,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_HISTORIES)
    def check(events):
        problems = play(events)
        assert not problems, f'{problems} after {events}'

    check()
