"""Counters and latency histograms of one gateway, as text."""

import collections

from hdrh import histogram

from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.knowledge import _routing as routing

_MICROS = 1_000_000
_HIGHEST = 120 * _MICROS
_PERCENTILES = (50.0, 90.0, 99.0)
# Routes with a histogram of their own; the rest share one.
MOST_ROUTES = 64
_OTHERS = 'others'


class GatewayMetrics:
    """Counts of requests by route and outcome, and their latency."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.HdrHistogram] = {}

    def note(
        self,
        route: routing.RouteName | None,
        result: results.Result,
        elapsed_s: float,
    ) -> None:
        """Count one finished request."""
        label = self._pick_label(route)
        self._counts[(label, result.outcome.value)] += 1
        micros = min(max(1, round(elapsed_s * _MICROS)), _HIGHEST)
        self._latency[label].record_value(micros)

    def note_unreadable(self, problem: str) -> None:
        """Count one request that could not be read."""
        self._counts[(_OTHERS, f'unreadable_{problem}')] += 1

    def list_lines(self, gauges: dict[str, float]) -> list[str]:
        """Return all figures in the Prometheus text format 0.0.4."""
        lines = ['# TYPE rudderrock_requests_total counter']
        lines += [
            f'rudderrock_requests_total{{route="{route}",'
            f'outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._counts.items())
        ]
        lines.append('# TYPE rudderrock_request_seconds summary')
        for route, found in sorted(self._latency.items()):
            lines += _list_quantiles(route, found)
        for name, value in sorted(gauges.items()):
            kind = 'counter' if name.endswith('_total') else 'gauge'
            lines.append(f'# TYPE rudderrock_{name} {kind}')
            lines.append(f'rudderrock_{name} {value:g}')
        return lines

    def _pick_label(self, route: routing.RouteName | None) -> str:
        label = str(route) if route is not None else _OTHERS
        if label not in self._latency:
            if len(self._latency) >= MOST_ROUTES:
                label = _OTHERS
            self._latency.setdefault(
                label, histogram.HdrHistogram(1, _HIGHEST, 2)
            )
        return label


def _list_quantiles(route: str, found: histogram.HdrHistogram) -> list[str]:
    lines = []
    for percentile in _PERCENTILES:
        value = found.get_value_at_percentile(percentile) / _MICROS
        lines.append(
            f'rudderrock_request_seconds{{route="{route}",'
            f'quantile="{percentile / 100:g}"}} {value:g}'
        )
    count = found.get_total_count()
    lines.append(
        f'rudderrock_request_seconds_count{{route="{route}"}} {count}'
    )
    return lines
