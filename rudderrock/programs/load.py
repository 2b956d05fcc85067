"""The load and experiment tool."""

import asyncio
import collections
import dataclasses
import pathlib
import sys

import defopt
import result

from rudderrock import experiments
from rudderrock.programs import _exits as exits

_OUT = pathlib.Path('out')


def run(
    plan: pathlib.Path,
    *,
    out: pathlib.Path = _OUT,
    seed: int | None = None,
    targets: pathlib.Path | None = None,
    quiet: bool = False,
) -> None:
    """Run an experiment; write its result and an HTML report.

    Without targets it runs on virtual time against stand-ins in memory,
    and the same seed gives the same figures. With targets it loads real
    hosts over HTTP, open loop, and the plan's faults are left out.

    :param plan: the experiment, in TOML
    :param out: folder for the result file and the report
    :param seed: seed to use in place of the plan's
    :param targets: a TOML file with hosts = [callers' addresses] and
        [tokens] by team
    :param quiet: print no progress
    """
    checked = _unwrap_or_exit(experiments.read_plan(plan))
    if seed is not None:
        checked = dataclasses.replace(checked, seed=seed)

    def report(line: str) -> None:
        if not quiet:
            print(line, file=sys.stderr)

    if targets is None:
        outcome = experiments.run_virtual(checked, report)
    else:
        checked_targets = _unwrap_or_exit(experiments.read_targets(targets))
        outcome = asyncio.run(
            experiments.run_real(checked, checked_targets, report)
        )
    name = checked.name.replace(' ', '-')
    experiments.write_result(out / f'{name}.json', outcome)
    experiments.write_report(out / f'{name}.html', outcome)
    print(experiments.format_result(outcome))
    print(f'written to {out / name}.json and {out / name}.html')


def compare(one: pathlib.Path, other: pathlib.Path) -> None:
    """Set two results side by side, as ratios of the second to the first.

    :param one: a result file
    :param other: another
    """
    first = _unwrap_or_exit(experiments.read_result(one))
    second = _unwrap_or_exit(experiments.read_result(other))
    print(experiments.compare_results(first, second))


def fuzz(
    *, count: int = 1000, first_seed: int = 1, table: bool = False
) -> None:
    """Run random fault schedules and check every promise under each.

    Exits with 1 if any promise was broken, and names the seeds.

    :param count: how many schedules to run
    :param first_seed: seed of the first; the others follow it
    :param table: schedules of edits between hosts instead of requests
    """
    run_one = experiments.run_schedule
    if table:
        run_one = experiments.run_table_schedule
    broken = 0
    outcomes: collections.Counter[str] = collections.Counter()
    for seed in range(first_seed, first_seed + count):
        done = run_one(seed)
        outcomes.update(done.outcomes)
        if done.broken:
            broken += 1
            print(f'seed {seed}: {done.broken}; faults {done.faults}')
    print(f'{count} schedules, {broken} with a broken promise, {outcomes}')
    if broken:
        raise SystemExit(exits.Exit.FAILED)


def _unwrap_or_exit(read: result.Result):
    match read:
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(value):
            return value


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run({'run': run, 'compare': compare, 'fuzz': fuzz})


if __name__ == '__main__':
    main()
