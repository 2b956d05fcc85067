"""Renders a result as one self-contained HTML page with plots."""

import html
import io
import pathlib

import matplotlib.figure

from rudderrock.experiments import _outcomes as outcomes

_WIDTH_INCHES = 9.0
_HEIGHT_INCHES = 2.6
_MARK_COLOUR = '0.85'
_BAR_OFFSET = 0.2
_BAR_HEIGHT = 0.36
_STYLE = """
body { font: 15px sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; text-align: right; }
th { border-bottom: 1px solid #888; }
td:first-child, th:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
"""


def write_report(path: pathlib.Path, outcome: outcomes.ExperimentResult):
    """Write the report of a result to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(make_report(outcome))


def make_report(outcome: outcomes.ExperimentResult) -> str:
    """Return the report of a result as HTML."""
    title = html.escape(outcome.name)
    plots = [
        _plot(outcome, '99th percentile, ms', lambda b: b.p99_s * 1000),
        _plot(outcome, 'median, ms', lambda b: b.p50_s * 1000),
        _plot(outcome, 'coverage, %', _get_coverage),
        _plot(
            outcome, 'shard answers per second', lambda b: b.shards_answered
        ),
        _plot(outcome, 'refused per second', lambda b: b.refused),
        _plot_shares(outcome),
    ]
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>{title}</title><style>{_STYLE}</style><h1>{title}</h1>'
        f'<p>{outcome.hosts} hosts, {outcome.seconds:g} s, seed '
        f'{outcome.seed}; {outcome.inside or "run against real hosts"}. '
        f'Grey bands are faults.</p>{_make_table(outcome)}'
        + ''.join(plots)
        + '</html>'
    )


def _get_coverage(each: outcomes.Bin) -> float:
    return 100 * each.shards_answered / each.shards if each.shards else 0.0


def _make_table(outcome: outcomes.ExperimentResult) -> str:
    headers = ['team', 'asked', 'answered', 'refused', 'coverage %']
    headers += [f'p{name} ms' for name in outcome.teams[0].latency_s]
    rows = [''.join(f'<th>{head}</th>' for head in headers)]
    for team in outcome.teams:
        cells = [
            html.escape(team.team),
            str(team.asked),
            str(team.answered),
            str(team.refused),
            f'{100 * team.coverage:.3f}',
        ]
        cells += [f'{value * 1000:.1f}' for value in team.latency_s.values()]
        rows.append(''.join(f'<td>{cell}</td>' for cell in cells))
    return '<table>' + ''.join(f'<tr>{row}</tr>' for row in rows) + '</table>'


def _plot_shares(outcome: outcomes.ExperimentResult) -> str:
    """Return a plot of each team's share of shard answers and of weights."""
    figure = matplotlib.figure.Figure(
        figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout='constrained'
    )
    axes = figure.add_subplot()
    total_answers = sum(team.shards_answered for team in outcome.teams) or 1
    weights = sum(team.weight for team in outcome.teams) or 1
    names = [team.team for team in outcome.teams]
    positions = range(len(names))
    axes.barh(
        [position + _BAR_OFFSET for position in positions],
        [100 * team.shards_answered / total_answers for team in outcome.teams],
        height=_BAR_HEIGHT,
        label='share of shard answers',
    )
    axes.barh(
        [position - _BAR_OFFSET for position in positions],
        [100 * team.weight / weights for team in outcome.teams],
        height=_BAR_HEIGHT,
        color=_MARK_COLOUR,
        label='share of weights',
    )
    axes.set_yticks(positions, names)
    axes.set_xlabel('% (a team that asks for less than its share gets less)')
    axes.legend(fontsize=8, loc='lower right')
    return _make_svg(figure)


def _make_svg(figure: matplotlib.figure.Figure) -> str:
    text = io.StringIO()
    figure.savefig(text, format='svg', metadata={'Date': None})
    svg = text.getvalue()
    return svg[svg.index('<svg') :]


def _plot(outcome: outcomes.ExperimentResult, label: str, read) -> str:
    """Return a plot over time as inline SVG, with one line per team."""
    figure = matplotlib.figure.Figure(
        figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout='constrained'
    )
    axes = figure.add_subplot()
    for mark in outcome.marks:
        axes.axvspan(mark.at, mark.until, color=_MARK_COLOUR, zorder=0)
        axes.annotate(
            mark.label,
            (mark.at, 1.0),
            xycoords=('data', 'axes fraction'),
            fontsize=8,
            va='bottom',
        )
    for team in outcome.teams:
        axes.plot(
            [each.second for each in team.bins],
            [read(each) for each in team.bins],
            label=team.team,
        )
    axes.set_xlim(0, outcome.seconds)
    axes.set_ylim(bottom=0)
    axes.set_xlabel('seconds')
    axes.set_ylabel(label)
    axes.legend(fontsize=8, loc='lower right')
    return _make_svg(figure)
