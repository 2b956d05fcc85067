"""Metrics of the quotas of teams, with a bounded number of names."""

from collections.abc import Callable
from collections.abc import Iterable

from rudderrock.gateway.discovery import _quota_exchange as quota_exchange
from rudderrock.gateway.discovery import _quota_voter as quota_voter

# Maximum number of teams with a label of their own; the others are summed.
MAX_NAMED_TEAMS = 8
_OTHER_TEAMS = 'others'


def format_lines(quotas: quota_exchange.QuotaExchange) -> list[str]:
    """Return the metrics by team in the Prometheus text format.

    The first two count the requests of this host's callers. The others are
    about the teams whose quota this host keeps, and include requests at all
    hosts.
    """
    counts = sorted(
        quotas.counts.items(), key=lambda each: (-sum(each[1]), each[0])
    )
    kept = sorted(
        quotas.kept.list_use(), key=lambda use: (-use.count, use.team)
    )

    def list_kept(
        get: Callable[[quota_voter.TeamUse], float],
    ) -> Iterable[tuple[str, float]]:
        return ((use.team, get(use)) for use in kept)

    return [
        *_format(
            'quota_admitted_total',
            ((team, each.admitted) for team, each in counts),
        ),
        *_format(
            'quota_refused_total',
            ((team, each.refused) for team, each in counts),
        ),
        *_format('quota_used', list_kept(lambda use: use.count)),
        *_format('quota_limit', list_kept(lambda use: use.limit)),
        *_format(
            'quota_possible_error', list_kept(lambda use: use.unreported)
        ),
    ]


def _format(name: str, values: Iterable[tuple[str, float]]) -> list[str]:
    """Return the lines of one metric; the first teams are named."""
    listed = list(values)
    if not listed:
        return []
    kind = 'counter' if name.endswith('_total') else 'gauge'
    lines = [f'# TYPE rudderrock_{name} {kind}']
    named = listed[:MAX_NAMED_TEAMS]
    others = [value for _, value in listed[MAX_NAMED_TEAMS:]]
    if others:
        named = [*named, (_OTHER_TEAMS, sum(others))]
    for team, value in named:
        label = team.replace('\\', r'\\').replace('"', r'\"')
        label = label.replace('\n', r'\n')
        lines.append(f'rudderrock_{name}{{team="{label}"}} {value:g}')
    return lines
