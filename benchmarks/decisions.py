"""Compares the routing and admission decisions with a baseline under faults.

The baseline is the same code with random replica choice, FIFO queues, no
hedging, no adaptive limit, no rejection of queries that would wait too long,
and practically unlimited retries. Everything runs on virtual time, so the
figures are reproducible.
"""

import argparse
import concurrent.futures
import dataclasses
import pathlib

from rudderrock import experiments

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_BASELINE = {
    'hedging': {'enabled': False},
    'routing': {'choice': 'random', 'adapt': False},
    'admission': {'order': 'fifo', 'refuse_late': False},
    'retries': {'budget': 1.0, 'burst': 10_000},
}
_PLANS = (
    'stragglers',
    'mae_ping_stragglers',
    'one_region_stragglers',
    'replica_lost',
    'replica_hung',
    'shedding',
    'false_health',
    'cold_start',
    'rollout',
    'platform_down',
    'hosts_lost',
    'greedy_team',
    'overload',
)
# The load of the plan `overload` is three times the capacity.
_PEAK_FACTOR = 1.0 / 3.0


def _run(
    name: str,
    baseline: bool,
    factor: float = 1.0,
    without_faults: bool = False,
) -> experiments.ExperimentResult:
    plan = experiments.read_plan(_EXAMPLES / f'{name}.toml').unwrap()
    if baseline:
        plan = dataclasses.replace(plan, settings=_BASELINE)
    if factor != 1.0:
        teams = [
            dataclasses.replace(team, rate=team.rate * factor)
            for team in plan.teams
        ]
        plan = dataclasses.replace(plan, teams=teams)
    if without_faults:
        plan = dataclasses.replace(plan, faults=[])
    return experiments.run_virtual(plan)


def _print_pair(
    name: str,
    baseline: experiments.ExperimentResult,
    ours: experiments.ExperimentResult,
) -> None:
    for baseline_team, our_team in zip(
        baseline.teams, ours.teams, strict=True
    ):
        p99 = baseline_team.latency_s['99'], our_team.latency_s['99']
        ratio = p99[1] / p99[0] if p99[0] else 0.0
        print(
            f'{name:<22}{baseline_team.team:<15}'
            f'{p99[0] * 1000:>9.1f}{p99[1] * 1000:>8.1f}{ratio:>7.2f}'
            f'{100 * baseline_team.coverage:>10.3f}'
            f'{100 * our_team.coverage:>9.3f}'
            f'{baseline_team.complete:>9}{our_team.complete:>7}'
            f'{100 * ours.extra_load:>8.2f}',
            flush=True,
        )


def main() -> None:
    """Run the given plans, or all of them, and print a table.

    The 99th percentile is in ms and the coverage in %; `complete` counts
    complete answers. Each is followed by the value without the baseline's
    settings (`ours`). `extra %` is the number of hedges and retries per 100
    shard requests, also without these settings.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('plans', nargs='*', default=_PLANS)
    parser.add_argument('--workers', type=int, default=4)
    options = parser.parse_args()
    print(
        f'{"experiment":<22}{"team":<15}{"p99 base":>9}{"ours":>8}'
        f'{"ratio":>7}{"cov base":>10}{"ours":>9}{"complete":>9}{"ours":>7}'
        f'{"extra %":>8}'
    )
    with concurrent.futures.ProcessPoolExecutor(options.workers) as pool:
        pairs = [
            (
                name,
                pool.submit(_run, name, True),
                pool.submit(_run, name, False),
            )
            for name in options.plans
        ]
        peak = pool.submit(_run, 'overload', False, _PEAK_FACTOR)
        without_faults = pool.submit(_run, 'greedy_team', False, 1.0, True)
        for name, baseline, ours in pairs:
            _print_pair(name, baseline.result(), ours.result())
            if name == 'overload':
                _print_goodput(peak.result(), ours.result())
            if name == 'greedy_team':
                _print_isolation(without_faults.result(), ours.result())


def _print_goodput(
    peak: experiments.ExperimentResult, ours: experiments.ExperimentResult
) -> None:
    at_peak = sum(team.complete for team in peak.teams)
    over = sum(team.complete for team in ours.teams)
    shares = ' to '.join(str(team.complete) for team in ours.teams)
    print(
        f'  complete answers at three times the capacity: {over}, at '
        f'capacity {at_peak}, ratio {over / at_peak:.2f}; of '
        f'the teams of weight 3 and 1: {shares}'
    )


def _print_isolation(
    without_faults: experiments.ExperimentResult,
    ours: experiments.ExperimentResult,
) -> None:
    for without_burst, with_burst in zip(
        without_faults.teams, ours.teams, strict=True
    ):
        ratio = with_burst.latency_s['99'] / without_burst.latency_s['99']
        print(
            f'  {with_burst.team}: 99th percentile {ratio:.2f} times that '
            f'without the burst, {with_burst.complete} complete answers of '
            f'{with_burst.asked}'
        )


if __name__ == '__main__':
    main()
