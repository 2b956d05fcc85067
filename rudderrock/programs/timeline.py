"""Command line that shows the merged time line of all hosts."""

import asyncio
import dataclasses
import pathlib
import sys

import defopt
import result

from rudderrock import protocol
from rudderrock import state
from rudderrock.programs import _exits as exits
from rudderrock.programs import _operator_client as operator_client
from rudderrock.programs import _secrets as secrets
from rudderrock.programs import _timeline_page as pages

_FOLLOW_PAUSE_S = 0.5
# An event is held until one that is at least this much later has arrived,
# because another host may still report an earlier one.
_SETTLE_S = 1.0
_OPERATOR_SECRET = 'env:RUDDERROCK_OPERATOR_SECRET'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Selects the events to show; an empty field matches every event."""

    team: str = ''
    query: str = ''
    upstream: str = ''
    kinds: frozenset[state.EventKind] = frozenset()

    def passes(self, event: state.Event) -> bool:
        """Return whether an event matches all fields."""
        return (
            self.team in ('', event.team)
            and self.query in ('', event.query)
            and self.upstream in ('', event.upstream)
            and (not self.kinds or event.kind in self.kinds)
        )


def timeline(
    host: str,
    *,
    team: str = '',
    query: str = '',
    upstream: str = '',
    kinds: list[state.EventKind] = [],
    follow: bool = False,
    json: bool = False,
    html: pathlib.Path | None = None,
    operator: str = _OPERATOR_SECRET,
) -> None:
    """Show the events of all hosts in causal order.

    No event is shown before an event that caused it. Without --follow,
    unreachable hosts are listed on standard error, and the exit code is then
    5. It is 3 if there is no event for the page of --html.

    :param host: control address of any host, which lists the others
    :param team: show only events of this team
    :param query: show only events of this query
    :param upstream: show only events of this upstream
    :param kinds: show only events of these kinds
    :param follow: keep polling and show new events
    :param json: print one JSON object per line instead of text
    :param html: write an HTML page to this path instead of printing
    :param operator: location of the operators' secret: env:NAME or a file
    """
    secret = secrets.read_secret(operator)
    if secret.is_err():
        exits.fail(secret.unwrap_err(), exits.Exit.USAGE)
    client = operator_client.OperatorClient(secret.unwrap())
    event_filter = EventFilter(
        team=team, query=query, upstream=upstream, kinds=frozenset(kinds)
    )
    try:
        unreachable = asyncio.run(
            _show(client, host, event_filter, follow, json, html)
        )
    except KeyboardInterrupt:
        return
    if unreachable:
        exits.fail(
            f'unreachable: {", ".join(unreachable)}', exits.Exit.UNAVAILABLE
        )


class EventCollector:
    """Fetches new events of all hosts and returns them in causal order."""

    def __init__(self, client: operator_client.OperatorClient, host: str):
        self._client = client
        self._host = host
        self._last_stamps: dict[str, state.Stamp] = {}
        self._buffered: list[state.Event] = []

    async def collect(self) -> list[str]:
        """Fetch new events and return the names of unreachable hosts."""
        hosts = await self._client.find_hosts(self._host)
        names = list(hosts)
        replies = await asyncio.gather(
            *(
                self._client.list_events(
                    hosts[name], self._last_stamps.get(name, state.Stamp())
                )
                for name in names
            )
        )
        unreachable = []
        for name, reply in zip(names, replies, strict=True):
            match reply:
                case result.Ok([*events]):
                    self._buffered.extend(events)
                    if events:
                        self._last_stamps[name] = events[-1].stamp
                case result.Err(_):
                    unreachable.append(name)
        self._buffered.sort(key=lambda each: (each.stamp, each.host))
        return unreachable

    def take(self, settle_s: float = 0.0) -> list[state.Event]:
        """Remove and return, in order, the events that have settled.

        These are the events that are at least `settle_s` seconds older than
        the newest one, which by default are all.
        """
        if not self._buffered:
            return []
        limit = self._buffered[-1].stamp.wall - settle_s
        ready = [each for each in self._buffered if each.stamp.wall <= limit]
        self._buffered = self._buffered[len(ready) :]
        return ready


async def _show(
    client: operator_client.OperatorClient,
    host: str,
    event_filter: EventFilter,
    follow: bool,
    json: bool,
    page: pathlib.Path | None,
) -> list[str]:
    collector = EventCollector(client, host)
    unreachable = await collector.collect()
    events = [each for each in collector.take() if event_filter.passes(each)]
    if page is not None:
        if not events:
            exits.fail('no event matches the filter', exits.Exit.REFUSED)
        page.write_text(pages.make_page(events))
        return unreachable
    _print(events, json)
    while follow:
        await asyncio.sleep(_FOLLOW_PAUSE_S)
        await collector.collect()
        ready = collector.take(_SETTLE_S)
        _print([each for each in ready if event_filter.passes(each)], json)
    return unreachable


def _print(events: list[state.Event], json: bool) -> None:
    for event in events:
        if json:
            print(protocol.encode(event).decode())
        else:
            print(pages.format_event(event))
    sys.stdout.flush()


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(timeline)


if __name__ == '__main__':
    main()
