"""Command line of the load and experiment tool."""

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
    """Run an experiment and write its result and an HTML report.

    Without targets, the experiment runs on virtual time against stand-ins in
    memory, and the same seed gives the same figures. With targets, it sends
    open-loop load to real hosts over HTTP and injects no faults.

    :param plan: the experiment plan, in TOML
    :param out: folder for the result file and the report
    :param seed: seed that replaces the one of the plan
    :param targets: a TOML file: the list `hosts` with the hosts' addresses
        for callers, and the section `[tokens]` with a token for each team
    :param quiet: do not print progress
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
    """Compare two results, with ratios of the second to the first.

    :param one: the first result file
    :param other: the second result file
    """
    first = _unwrap_or_exit(experiments.read_result(one))
    second = _unwrap_or_exit(experiments.read_result(other))
    print(experiments.compare_results(first, second))


def fuzz(
    *, count: int = 1000, first_seed: int = 1, table: bool = False
) -> None:
    """Run random schedules of calls and faults, one per seed.

    Each run checks that requests and edits keep their guarantees, such as
    that a command runs at most once. The seeds of schedules with violations
    are printed, and the exit code is then 1.

    :param count: number of schedules to run
    :param first_seed: seed of the first schedule; the others use the
        following numbers
    :param table: run schedules of table edits instead of requests
    """
    run_one = experiments.run_schedule
    if table:
        run_one = experiments.run_table_schedule
    failures = 0
    outcomes: collections.Counter[str] = collections.Counter()
    for seed in range(first_seed, first_seed + count):
        done = run_one(seed)
        outcomes.update(done.outcomes)
        if done.violations:
            failures += 1
            print(f'seed {seed}: {done.violations}; faults {done.faults}')
    print(f'{count} schedules, {failures} with a broken promise, {outcomes}')
    if failures:
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
