"""Renders the time line as one HTML page with a lane for each host."""

import datetime
import html

from rudderrock import state

_WIDTH = 1100
_LANE_HEIGHT = 46
_LEFT_MARGIN = 120
_TOP_MARGIN = 30
_DOT_RADIUS = 5
_STACK_STEP = 7
_MAX_ROWS = 2000
_TICK_COUNT = 10

_COLOURS = {
    state.EventKind.HOST_STATE: '#1f4e9c',
    state.EventKind.PEER_STATE: '#7a7a7a',
    state.EventKind.TABLE_IN_FORCE: '#2a8a3e',
    state.EventKind.LAYOUT_IN_FORCE: '#7ab648',
    state.EventKind.TABLE_REJECTED: '#c01818',
    state.EventKind.TABLE_RESTORED: '#c01818',
    state.EventKind.LAYOUT_REJECTED: '#c01818',
    state.EventKind.KV_DOWN: '#e07b00',
    state.EventKind.KV_UP: '#5fae57',
    state.EventKind.LEASE_LAPSED: '#c01818',
    state.EventKind.UPSTREAM_STATE: '#8a4fbf',
    state.EventKind.REFUSED: '#d9a400',
    state.EventKind.UNKNOWN: '#c01818',
}
_OTHER_COLOUR = '#a8c4e8'
_STYLE = """
body { font: 14px sans-serif; margin: 1.5em; }
table { border-collapse: collapse; margin-top: 1em; }
td { padding: 0.1em 0.8em; border-top: 1px solid #ddd; }
.key span { margin-right: 1.2em; }
"""


def make_page(events: list[state.Event]) -> str:
    """Return a self-contained HTML page of a non-empty list of events.

    The events must be sorted by stamp. The table lists the last `_MAX_ROWS`.
    """
    hosts = sorted({event.host for event in events})
    kinds = [kind for kind in state.EventKind if _has_kind(events, kind)]
    legend = ''.join(
        f'<span><svg width="10" height="10"><circle cx="5" cy="5" r="5" '
        f'fill="{_get_colour(kind)}"/></svg> {kind.value}</span>'
        for kind in kinds
    )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f'<title>rudderrock time line</title><style>{_STYLE}</style>'
        f'<h1>Time line</h1><p>{len(events)} events of {len(hosts)} hosts. '
        'Hover over a dot to see its event.</p>'
        f'<p class="key">{legend}</p>{_draw(events, hosts)}'
        f'{_list_rows(events)}</html>'
    )


def _has_kind(events: list[state.Event], kind: state.EventKind) -> bool:
    return any(event.kind is kind for event in events)


def _get_colour(kind: state.EventKind) -> str:
    return _COLOURS.get(kind, _OTHER_COLOUR)


def _draw(events: list[state.Event], hosts: list[state.HostId]) -> str:
    first = events[0].stamp.wall
    span = max(events[-1].stamp.wall - first, 1e-3)
    height = _TOP_MARGIN + _LANE_HEIGHT * len(hosts)
    scale = (_WIDTH - _LEFT_MARGIN - 20) / span
    parts = [
        f'<svg width="{_WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">'
    ]
    for tick in range(_TICK_COUNT + 1):
        x = _LEFT_MARGIN + scale * span * tick / _TICK_COUNT
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{_TOP_MARGIN - 8}" '
            f'y2="{height}" stroke="#eee"/><text x="{x:.1f}" y="14" '
            f'text-anchor="middle">{span * tick / _TICK_COUNT:.2f} s</text>'
        )
    for number, host in enumerate(hosts):
        y = _TOP_MARGIN + _LANE_HEIGHT * (number + 0.5)
        parts.append(
            f'<text x="4" y="{y + 4}">{html.escape(host)}</text>'
            f'<line x1="{_LEFT_MARGIN}" x2="{_WIDTH}" y1="{y}" y2="{y}" '
            'stroke="#ccc"/>'
        )
        host_events = [event for event in events if event.host == host]
        parts.extend(_draw_lane(host_events, first, scale, y))
    return ''.join(parts) + '</svg>'


def _draw_lane(
    events: list[state.Event], first: float, scale: float, y: float
) -> list[str]:
    """Return the dots of one host; overlapping dots are stacked."""
    dots = []
    last_x = -1e9
    level = 0
    for event in events:
        x = _LEFT_MARGIN + scale * (event.stamp.wall - first)
        level = (level + 1) % 5 if x - last_x < _DOT_RADIUS else 0
        last_x = x
        offset = (
            (level + 1) // 2 * (_STACK_STEP if level % 2 else -_STACK_STEP)
        )
        text = html.escape(format_event(event))
        dots.append(
            f'<circle cx="{x:.1f}" cy="{y + offset:.1f}" r="{_DOT_RADIUS}" '
            f'fill="{_get_colour(event.kind)}"><title>{text}</title>'
            '</circle>'
        )
    return dots


def _list_rows(events: list[state.Event]) -> str:
    rows = []
    for event in events[-_MAX_ROWS:]:
        cells = (
            _format_time(event),
            event.host,
            event.kind.value,
            event.team or '',
            event.upstream or '',
            event.query or '',
            event.detail,
        )
        text = ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in cells)
        rows.append(f'<tr>{text}</tr>')
    return f'<table>{"".join(rows)}</table>'


def format_event(event: state.Event) -> str:
    """Return an event as one line of text."""
    parts = [
        _format_time(event),
        f'{event.host:<10}',
        f'{event.kind.value:<15}',
    ]
    if event.team:
        parts.append(f'team={event.team}')
    if event.query:
        parts.append(f'query={event.query}')
    if event.upstream:
        parts.append(f'upstream={event.upstream}')
    if event.detail:
        parts.append(event.detail)
    return ' '.join(parts)


def _format_time(event: state.Event) -> str:
    """Return the time and a count that orders events of the same time."""
    at = datetime.datetime.fromtimestamp(event.stamp.wall, datetime.UTC)
    return f'{at:%H:%M:%S.%f}+{event.stamp.count}'
