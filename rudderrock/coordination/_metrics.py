"""Metrics of a host by team, and their Prometheus text format."""

import collections
import dataclasses

from hdrh import histogram

from rudderrock import protocol
from rudderrock import state

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 120 * _US_PER_S
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@dataclasses.dataclass(slots=True)
class TeamMetrics:
    """Outcomes, shard coverage and latency of one team."""

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    shards: int = 0
    shards_answered: int = 0
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, _MAX_LATENCY_US, 2)
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One value of a metric, with its name and labels."""

    name: str
    value: float
    labels: dict[str, str]


class HostMetrics:
    """Metrics of a host, by team."""

    def __init__(self, clock: state.Clock):
        self._clock = clock
        self._teams: dict[state.TeamId, TeamMetrics] = {}

    def record_outcome(
        self, team: state.TeamId, outcome: protocol.Outcome, latency_s: float
    ) -> None:
        """Count an outcome; record the latency if it is an answered query."""
        metrics = self._teams.setdefault(team, TeamMetrics())
        metrics.outcomes[_get_outcome_label(outcome)] += 1
        match outcome:
            case protocol.Answered(coverage=coverage):
                metrics.shards += coverage.shards
                metrics.shards_answered += coverage.answered
                latency_us = min(
                    max(1, round(latency_s * _US_PER_S)), _MAX_LATENCY_US
                )
                metrics.latency.record_value(latency_us)

    def list_samples(self) -> list[Sample]:
        """Return the samples of all teams."""
        samples = []
        for team, metrics in sorted(self._teams.items()):
            samples.extend(_list_team_samples(team, metrics))
        return samples


def _get_outcome_label(outcome: protocol.Outcome) -> str:
    match outcome:
        case protocol.Answered():
            return 'answered'
        case protocol.Recorded():
            return 'recorded'
        case protocol.Refused(reason=reason):
            return f'refused_{reason.value}'
        case protocol.Unknown():
            return 'unknown'


def _list_team_samples(
    team: state.TeamId, metrics: TeamMetrics
) -> list[Sample]:
    label = {'team': str(team)}
    samples = [
        Sample(
            name='rudderrock_requests_total',
            value=count,
            labels={**label, 'outcome': outcome},
        )
        for outcome, count in sorted(metrics.outcomes.items())
    ]
    samples += [
        Sample(
            name='rudderrock_shards_total', value=metrics.shards, labels=label
        ),
        Sample(
            name='rudderrock_shards_answered_total',
            value=metrics.shards_answered,
            labels=label,
        ),
    ]
    if metrics.latency.get_total_count():
        get_percentile = metrics.latency.get_value_at_percentile
        samples += [
            Sample(
                name='rudderrock_latency_seconds',
                value=get_percentile(percentile) / _US_PER_S,
                labels={**label, 'quantile': f'{percentile / 100:g}'},
            )
            for percentile in _PERCENTILES
        ]
    return samples


def format_prometheus(samples: list[Sample]) -> str:
    """Return samples in the Prometheus text exposition format 0.0.4."""
    lines = []
    current_name = ''
    for sample in sorted(samples, key=lambda each: each.name):
        if sample.name != current_name:
            current_name = sample.name
            kind = 'counter' if current_name.endswith('_total') else 'gauge'
            lines.append(f'# TYPE {current_name} {kind}')
        labels = ','.join(
            f'{key}="{_escape(value)}"'
            for key, value in sorted(sample.labels.items())
        )
        lines.append(f'{current_name}{{{labels}}} {sample.value:g}')
    return '\n'.join(lines) + '\n'


def _escape(value: str) -> str:
    escaped = value.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
