"""Steps that simulate histories of a source with restores from snapshots."""

import contextlib

import async_solipsism
from behave import then
from behave import use_step_matcher
import hypothesis
from hypothesis import strategies

from features import history_simulation

use_step_matcher('re')

_SECONDS = strategies.floats(min_value=0.0, max_value=3.0)
_HOST = strategies.integers(0, history_simulation.HOSTS - 1)
_EVENTS = strategies.one_of(
    strategies.builds(history_simulation.Publish),
    strategies.builds(
        history_simulation.ToggleEvacuation, strategies.integers(0, 1)
    ),
    strategies.builds(
        history_simulation.ChangeUpstream,
        strategies.integers(0, 3),
        strategies.booleans(),
    ),
    strategies.builds(
        history_simulation.Restore,
        strategies.integers(0, history_simulation.MAX_SNAPSHOTS - 1),
        strategies.floats(min_value=0.1, max_value=3.0),
    ),
    strategies.builds(history_simulation.BlockSource, _HOST, _SECONDS),
    strategies.builds(history_simulation.Restart, _HOST),
)
_HISTORIES = strategies.lists(
    strategies.tuples(_SECONDS, _EVENTS), min_size=3, max_size=12
)

_REGRESSIONS = {
    'a host that starts again passes on what a copy names': [
        (0.9, history_simulation.ChangeUpstream(2, False)),
        (1.3, history_simulation.Publish()),
        (0.7, history_simulation.ToggleEvacuation(1)),
        (0.0, history_simulation.Restore(5, 1.6)),
        (0.7, history_simulation.Restore(0, 1.0)),
        (0.8, history_simulation.Restart(1)),
    ],
    'a host that starts in a new era asks one of the era before': [
        (0.0, history_simulation.Restart(1)),
        (0.4, history_simulation.ChangeUpstream(0, True)),
        (0.0, history_simulation.Restart(1)),
        (0.5, history_simulation.BlockSource(0, 2.0)),
        (0.0, history_simulation.Restore(2, 0.5)),
        (0.0, history_simulation.Restart(2)),
    ],
}


def run_history(events):
    """Run one history on its own event loop and return its problems."""

    async def execute():
        async with contextlib.AsyncExitStack() as stack:
            simulation = history_simulation.HistorySimulation(stack)
            await simulation.run(events)
            return simulation.problems

    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(execute())
    finally:
        loop.close()


@then(r'no host reverts to an old state where (.+)')
def check_regression(context, case):
    problems = run_history(_REGRESSIONS[case])
    assert not problems, problems


@then(
    r'in (\d+) random histories of the source no host reverts to an old '
    r'state, and all end in the right one'
)
def check_histories(context, count):
    # To run more examples:
    # python -m features.run features/copies.feature -D examples=N
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
        problems = run_history(events)
        assert not problems, f'{problems} after {events}'

    check()
