"""Request counters and latency histograms of one gateway."""

import collections

from hdrh import histogram

from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.forwarding import _results as results

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 120 * _US_PER_S
_PERCENTILES = (50.0, 90.0, 99.0)
# Maximum number of routes with a label of their own; all further routes share
# one label.
MAX_ROUTES = 64
_OTHER_ROUTES = 'others'


class GatewayMetrics:
    """Request counts by route and outcome, and request latency by route."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latency: dict[str, histogram.HdrHistogram] = {}

    def record_result(
        self,
        route: routing.RouteName | None,
        result: results.Result,
        elapsed_s: float,
    ) -> None:
        """Count one finished request."""
        label = self._pick_label(route)
        self._counts[(label, result.outcome.value)] += 1
        latency_us = min(max(1, round(elapsed_s * _US_PER_S)), _MAX_LATENCY_US)
        self._latency[label].record_value(latency_us)

    def record_unreadable(self, problem: str) -> None:
        """Count one request that could not be read."""
        self._counts[(_OTHER_ROUTES, f'unreadable_{problem}')] += 1

    def format_lines(self, values: dict[str, float]) -> list[str]:
        """Return all metrics in the Prometheus text format 0.0.4.

        `values` holds the gauges by name, and further counters, whose names
        end in `_total`.
        """
        lines = ['# TYPE rudderrock_requests_total counter']
        lines += [
            f'rudderrock_requests_total{{route="{route}",'
            f'outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._counts.items())
        ]
        lines.append('# TYPE rudderrock_request_seconds summary')
        for route, latency in sorted(self._latency.items()):
            lines += _format_quantiles(route, latency)
        for name, value in sorted(values.items()):
            kind = 'counter' if name.endswith('_total') else 'gauge'
            lines.append(f'# TYPE rudderrock_{name} {kind}')
            lines.append(f'rudderrock_{name} {value:g}')
        return lines

    def _pick_label(self, route: routing.RouteName | None) -> str:
        label = str(route) if route is not None else _OTHER_ROUTES
        if label not in self._latency:
            if len(self._latency) >= MAX_ROUTES:
                label = _OTHER_ROUTES
            self._latency.setdefault(
                label, histogram.HdrHistogram(1, _MAX_LATENCY_US, 2)
            )
        return label


def _format_quantiles(
    route: str, latency: histogram.HdrHistogram
) -> list[str]:
    lines = []
    for percentile in _PERCENTILES:
        value = latency.get_value_at_percentile(percentile) / _US_PER_S
        lines.append(
            f'rudderrock_request_seconds{{route="{route}",'
            f'quantile="{percentile / 100:g}"}} {value:g}'
        )
    count = latency.get_total_count()
    lines.append(
        f'rudderrock_request_seconds_count{{route="{route}"}} {count}'
    )
    return lines
