"""Results of an experiment, per team and per second."""

import collections
import dataclasses
import math
import pathlib

from hdrh import histogram
import result

from rudderrock import protocol

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 120 * _US_PER_S
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bin:
    """Counts and two latency percentiles of a team in one second.

    Latencies are in seconds and are measured from the time at which the
    query was due, not from when it was sent, so that delayed queries are not
    counted as fast (coordinated omission).
    """

    second: int
    answered: int
    refused: int
    failed: int
    shards: int
    shards_answered: int
    p50_s: float
    p99_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamOutcome:
    """Totals of one team over the whole experiment; latencies in seconds."""

    team: str
    weight: float
    asked: int
    answered: int
    refused: int
    failed: int
    complete: int
    shards: int
    shards_answered: int
    latency_s: dict[str, float]
    bins: list[Bin]

    @property
    def coverage(self) -> float:
        """Return the fraction of shards that are in the answers.

        Only the shards of answered queries count.
        """
        return self.shards_answered / self.shards if self.shards else 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Mark:
    """A fault on the time axis, in seconds since the end of the warm-up."""

    label: str
    at: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InternalMetrics:
    """Metrics that are collected only in a run on virtual time.

    `shard_requests` counts first attempts only. `extra_load` is the ratio of
    hedges and retries to them. `connections` is the peak number of open
    connections of any upstream, as a fraction of its connection limit.
    """

    extra_load: float
    hedges: int
    retries: int
    shard_requests: int
    connections: float
    kv_reads: int
    kv_writes: int

    def __str__(self) -> str:
        return (
            f'extra upstream load {100 * self.extra_load:.2f} % '
            f'({self.hedges} hedges and {self.retries} retries on '
            f'{self.shard_requests} shard requests), connections at most '
            f'{100 * self.connections:.0f} % of what an upstream allows, '
            f'key-value calls {self.kv_reads} reads, {self.kv_writes} writes'
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentResult:
    """Result of one run.

    A run on virtual time gives the same figures for the same seed. `inside`
    is None for a run against real hosts, which export these metrics
    themselves.
    """

    name: str
    seed: int
    seconds: float
    hosts: int
    teams: list[TeamOutcome]
    inside: InternalMetrics | None
    marks: list[Mark]

    @property
    def extra_load(self) -> float:
        """Return the extra load, or NaN for a run against real hosts."""
        return self.inside.extra_load if self.inside else math.nan

    def find_team(self, team: str) -> TeamOutcome:
        """Return the outcome of one team."""
        return next(each for each in self.teams if each.team == team)


@dataclasses.dataclass(slots=True)
class _BinCounts:
    answered: int = 0
    refused: int = 0
    failed: int = 0
    shards: int = 0
    shards_answered: int = 0
    times: list[float] = dataclasses.field(default_factory=list)


class TeamRecorder:
    """Collects the outcomes of one team during an experiment."""

    def __init__(self, team: str, weight: float):
        self.team = team
        self._weight = weight
        self._asked = 0
        self._complete = 0
        self._bins: collections.defaultdict[int, _BinCounts]
        self._bins = collections.defaultdict(_BinCounts)
        self._latency = histogram.HdrHistogram(1, _MAX_LATENCY_US, 3)

    def record(
        self, due: float, seconds: float, outcome: protocol.Outcome | None
    ) -> None:
        """Record one outcome; None is a call without a usable reply.

        `due` is when the query was scheduled, in seconds since the end of
        the warm-up. `seconds` is the time from then to the outcome.
        """
        counts = self._bins[int(due)]
        self._asked += 1
        match outcome:
            case protocol.Answered(coverage=coverage):
                counts.answered += 1
                counts.shards += coverage.shards
                counts.shards_answered += coverage.answered
                self._complete += not coverage.missing
                counts.times.append(seconds)
                micros = min(
                    max(1, round(seconds * _US_PER_S)), _MAX_LATENCY_US
                )
                self._latency.record_value(micros)
            case protocol.Refused():
                counts.refused += 1
            case _:
                counts.failed += 1

    def make_outcome(self) -> TeamOutcome:
        """Return the totals and bins of the team."""
        counted = self._bins.values()
        get_percentile = self._latency.get_value_at_percentile
        return TeamOutcome(
            team=self.team,
            weight=self._weight,
            asked=self._asked,
            answered=sum(each.answered for each in counted),
            refused=sum(each.refused for each in counted),
            failed=sum(each.failed for each in counted),
            complete=self._complete,
            shards=sum(each.shards for each in counted),
            shards_answered=sum(each.shards_answered for each in counted),
            latency_s={
                f'{percentile:g}': get_percentile(percentile) / _US_PER_S
                for percentile in PERCENTILES
            },
            bins=[
                _make_bin(second, counts)
                for second, counts in sorted(self._bins.items())
            ],
        )


def _make_bin(second: int, counts: _BinCounts) -> Bin:
    times = sorted(counts.times)
    return Bin(
        second=second,
        answered=counts.answered,
        refused=counts.refused,
        failed=counts.failed,
        shards=counts.shards,
        shards_answered=counts.shards_answered,
        p50_s=times[len(times) // 2] if times else 0.0,
        p99_s=times[int(len(times) * 0.99)] if times else 0.0,
    )


def write_result(path: pathlib.Path, outcome: ExperimentResult) -> None:
    """Write a result to a file as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(protocol.encode(outcome))


def read_result(
    path: pathlib.Path,
) -> result.Result[ExperimentResult, str]:
    """Return the result in a file, or why it cannot be read."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return result.Err(f'{path}: {exc.strerror}')
    decoded = protocol.decode(ExperimentResult, data)
    return decoded.map_err(lambda detail: f'{path}: {detail}')


def format_result(outcome: ExperimentResult) -> str:
    """Return a result as a plain-text table."""
    lines = [
        f'{outcome.name}: {outcome.hosts} hosts, {outcome.seconds:g} s, '
        f'seed {outcome.seed}',
        f'{"team":<14}{"asked":>8}{"answered":>9}{"complete":>9}'
        f'{"refused":>8}{"failed":>7}'
        f'{"coverage":>10}{"p50 ms":>8}{"p99 ms":>8}{"p99.9 ms":>9}',
    ]
    for team in outcome.teams:
        latency = team.latency_s
        lines.append(
            f'{team.team:<14}{team.asked:>8}{team.answered:>9}'
            f'{team.complete:>9}{team.refused:>8}{team.failed:>7}'
            f'{100 * team.coverage:>9.3f}%'
            f'{latency["50"] * 1000:>8.1f}{latency["99"] * 1000:>8.1f}'
            f'{latency["99.9"] * 1000:>9.1f}'
        )
    if outcome.inside is not None:
        lines.append(str(outcome.inside))
    return '\n'.join(lines)


def compare_results(one: ExperimentResult, other: ExperimentResult) -> str:
    """Return a table of two results with ratios of the second to the first.

    Teams that only one of the results has are left out.
    """
    lines = [f'{"":<28}{"first":>12}{"second":>12}{"ratio":>9}']

    def add(name: str, first: float, second: float) -> None:
        ratio = f'{second / first:9.3f}' if first else f'{"-":>9}'
        lines.append(f'{name:<28}{first:>12.4g}{second:>12.4g}{ratio}')

    known = {team.team for team in other.teams}
    for team in one.teams:
        if team.team not in known:
            continue
        match = other.find_team(team.team)
        for percentile in team.latency_s:
            add(
                f'{team.team} p{percentile} ms',
                team.latency_s[percentile] * 1000,
                match.latency_s[percentile] * 1000,
            )
        add(
            f'{team.team} coverage %',
            100 * team.coverage,
            100 * match.coverage,
        )
        add(f'{team.team} answered', team.answered, match.answered)
        add(f'{team.team} refused', team.refused, match.refused)
    add('extra load %', 100 * one.extra_load, 100 * other.extra_load)
    return '\n'.join(lines)


def make_mark(label: str, at: float, until: float | None, end: float) -> Mark:
    """Return the mark of a fault.

    Without `until`, the fault lasts until `end`, the end of the run.
    """
    return Mark(label=label, at=at, until=end if until is None else until)
