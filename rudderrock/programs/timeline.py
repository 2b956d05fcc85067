"""The time line of all hosts, merged into one order."""

import asyncio
import dataclasses
import pathlib
import sys

import defopt
import result

from rudderrock import protocol
from rudderrock import state
from rudderrock.programs import _exits as exits
from rudderrock.programs import _operator as operators
from rudderrock.programs import _secrets as secrets
from rudderrock.programs import _timeline_page as pages

_FOLLOW_PAUSE_S = 0.5
# Events this young wait for the next round, since another host may yet
# report an earlier one.
_SETTLE_S = 1.0
_OPERATOR_SECRET = 'env:RUDDERROCK_OPERATOR_SECRET'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Which events to show; an empty field lets all pass."""

    team: str = ''
    query: str = ''
    upstream: str = ''
    kinds: frozenset[state.EventKind] = frozenset()

    def passes(self, event: state.Event) -> bool:
        """Tell whether an event is to be shown."""
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
    """Show what happened on all hosts, in one order.

    No event comes before one that caused it. Hosts that can't be asked are
    named on standard error, and the exit code is then 5.

    :param host: control address of any one host, which names the others
    :param team: only events of this team
    :param query: only events of this query
    :param upstream: only events of this upstream
    :param kinds: only events of these kinds
    :param follow: go on showing events as they come
    :param json: print one JSON object a line instead of text
    :param html: write one HTML page here instead of printing
    :param operator: where the operators' secret is: env:NAME or a file
    """
    secret = secrets.read_secret(operator)
    if secret.is_err():
        exits.fail(secret.unwrap_err(), exits.Exit.USAGE)
    client = operators.OperatorClient(secret.unwrap())
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
            f'no word from {", ".join(unreachable)}', exits.Exit.UNAVAILABLE
        )


class EventCollector:
    """Fetches each host's events once and gives them out in order."""

    def __init__(self, client: operators.OperatorClient, host: str):
        self._client = client
        self._host = host
        self._last_stamps: dict[str, state.Stamp] = {}
        self._buffered: list[state.Event] = []

    async def collect(self) -> list[str]:
        """Fetch what is new; return the hosts that were silent."""
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
        """Return, once and in order, the events older than `settle_s`."""
        if not self._buffered:
            return []
        limit = self._buffered[-1].stamp.wall - settle_s
        ready = [each for each in self._buffered if each.stamp.wall <= limit]
        self._buffered = self._buffered[len(ready) :]
        return ready


async def _show(
    client: operators.OperatorClient,
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
            exits.fail('no event passes the filter', exits.Exit.REFUSED)
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
