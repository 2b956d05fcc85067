"""A demonstration of the query tier in one process, over loopback sockets.

Stand-ins of a deployment, three entry hosts and the callers of three teams
run on one event loop. The demo injects faults while queries run. At the end
it prints the outcomes that callers received and a time line of events.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import tomllib
from typing import Self

import defopt
from hdrh import histogram
import msgspec
import result

from rudderrock import coordination
from rudderrock import core
from rudderrock import frontend
from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _caller_client as caller_client
from rudderrock.programs import _host_server as host_server
from rudderrock.programs import _logs as logs
from rudderrock.programs import _runtime as runtime

_SECRETS = frontend.Secrets(
    peer='demo peer secret', operator='demo operator secret'
)
_DEPLOYMENT = """
name = "cumbre-andina"
hosts = 3
groups = [
    { collection = "front_desk", services = 20, service_s = 0.004 },
    { collection = "billing", services = 30, service_s = 0.004 },
]
[network.regions]
sierra = ["sierra-1"]
costa = ["costa-1"]
austro = ["austro-1"]
"""
_TEAMS = {
    'front-desk': {'weight': 4.0, 'priority': 1, 'deadline_s': 2.0},
    'billing-run': {'weight': 1.0, 'priority': 6, 'deadline_s': 2.0},
    'kiosk-app': {'weight': 2.0, 'priority': 3, 'deadline_s': 2.0},
}
_COLLECTIONS = {
    'front-desk': 'front_desk',
    'billing-run': 'billing',
    'kiosk-app': 'front_desk',
}
_QUERIES_PER_TEAM = 30
_QUERY_INTERVAL_S = 0.2
_EDIT_TIMEOUT_S = 5.0
# The slow-down at which two teams need most of the upstreams of front_desk.
_COMPETE_SLOW_FACTOR = 60.0
# Two queries per second; a query needs one of each of the 30 services.
_QUOTA = 60.0
_PERCENTILES = (50.0, 90.0, 99.0)
_US_PER_S = 1_000_000
_SHOWN_KINDS = frozenset(state.EventKind) - {
    state.EventKind.ANSWERED,
    state.EventKind.HEDGE,
    state.EventKind.RETRY,
    state.EventKind.PEER_STATE,
}
_MAX_SHOWN = 60


@dataclasses.dataclass(slots=True)
class _TeamStats:
    """Outcomes, coverage and latency that callers of one team observed."""

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    shards: int = 0
    answered: int = 0
    latency: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, 60 * _US_PER_S, 2)
    )

    def add(self, other: Self) -> None:
        """Add the observations of another period."""
        self.outcomes += other.outcomes
        self.shards += other.shards
        self.answered += other.answered
        self.latency.add(other.latency)


class _Demo:
    """The hosts, stand-ins and callers of the demo."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self._stack = stack
        self._clock = runtime.make_system_clock()
        self._rng = random.SystemRandom()
        self._hosts: list[coordination.EntryHost] = []
        self._host_tasks: list[asyncio.Task] = []
        self._tokens: dict[str, str] = {}
        self._team_stats = {team: _TeamStats() for team in _TEAMS}
        self._standins: standins.LoopbackStandins | None = None
        self._editor: coordination.TableEditor | None = None

    async def run(self) -> None:
        """Run all steps and print the report."""
        await self._start()
        print('1. queries from three teams, without faults')
        await self._send_queries()
        print(
            '2. a straggler: the first replica of one shard is 20 times slower'
        )
        models = list(self._standins.models.values())
        models[0].faults.slow_factor = 20.0
        await self._send_queries()
        models[0].faults.slow_factor = 1.0
        await self._compete()
        print('4. an operator doubles the weight of kiosk-app')
        await self._edit('kiosk-app', weight=4.0)
        print('5. an upstream drains while queries run')
        models[5].faults.leaving = True
        await self._send_queries()
        print('6. host-3 is stopped gracefully while queries run')
        stopping = asyncio.create_task(self._hosts[2].stop())
        await self._send_queries()
        await stopping
        await self._host_tasks[2]
        self._report()

    async def _compete(self) -> None:
        """Let two teams compete and a third exceed its quota."""
        print(
            '3. front-desk and kiosk-app compete for slow upstreams; '
            'billing-run may send 2 queries/s and sends 5'
        )
        table = (await self._editor.read()).unwrap()
        usual_rate = table.rows['billing-run'].rate
        await self._edit('billing-run', rate=_QUOTA)
        models = [
            model
            for upstream, model in self._standins.models.items()
            if upstream.startswith('front_desk')
        ]
        for model in models:
            model.faults.slow_factor = _COMPETE_SLOW_FACTOR
        earlier = self._team_stats
        self._team_stats = {team: _TeamStats() for team in _TEAMS}
        await self._send_queries()
        for model in models:
            model.faults.slow_factor = 1.0
        for team, stats in self._team_stats.items():
            median_ms = stats.latency.get_value_at_percentile(50.0) / 1000
            refused = stats.outcomes['status 429']
            over = f', {refused} refused: over its quota' if refused else ''
            print(
                f'   {team}: {stats.outcomes["answered"]} of '
                f'{_QUERIES_PER_TEAM} answered, half of them within '
                f'{median_ms:.0f} ms{over}'
            )
            stats.add(earlier[team])
        await self._edit('billing-run', rate=usual_rate)

    async def _start(self) -> None:
        raw = tomllib.loads(_DEPLOYMENT)
        deployment = state.validate(standins.Deployment, raw).unwrap()
        self._standins = await self._stack.enter_async_context(
            standins.serve_standins(
                deployment, self._clock, state.make_random(1, 'demo')
            )
        )
        kv = self._standins.kv
        self._editor = coordination.TableEditor(kv, self._clock, self._rng)
        for team, fields in _TEAMS.items():
            await self._add_team(team, fields)
        layout = self._standins.layout
        await standins.publish(kv, coordination.LAYOUT_KEY, layout)
        zones = deployment.network.list_zones()
        for number, zone in enumerate(zones, 1):
            await self._start_host(f'host-{number}', zone)
        while not all(each.lifecycle.is_ready for each in self._hosts):
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        print(
            f'{len(self._hosts)} entry hosts in {len(zones)} zones, '
            f'{len(layout.upstreams)} upstreams of 50 services, '
            f'{len(_TEAMS)} teams'
        )

    async def _add_team(self, team: str, fields: dict) -> None:
        token = state.make_token(state.TeamId(team), self._rng)
        self._tokens[team] = token
        hashed = state.hash_token(token, self._rng)
        row = state.TeamRow(team=team, token_hashes=(hashed,), **fields)
        await self._change(team, None, row)

    async def _edit(self, team: str, **fields) -> None:
        table = (await self._editor.read()).unwrap()
        base = table.rows[team]
        row = dataclasses.replace(base, **fields)
        edit = await self._change(team, base, row)
        began = self._clock.now()
        while any(
            host.config.table_watcher.revision < edit.revision
            for host in self._hosts
        ):
            await asyncio.sleep(0.001)
        elapsed_s = self._clock.now() - began
        print(
            f'   revision {edit.revision} in force on all hosts after '
            f'{elapsed_s * 1000:.0f} ms'
        )

    async def _change(
        self,
        team: str,
        base: state.TeamRow | None,
        row: state.TeamRow,
    ) -> state.Edit:
        change = state.Change(
            edit_id=self._editor.make_edit_id(),
            author='demo',
            team=state.TeamId(team),
            base=base,
            row=row,
        )
        outcome = await self._editor.edit(change, _EDIT_TIMEOUT_S)
        match outcome:
            case coordination.EditAccepted(edit):
                return edit
        raise RuntimeError(f'edit not accepted: {outcome}')

    async def _start_host(self, name: str, zone: state.ZoneId) -> None:
        settings = state.Settings(
            host=state.HostSettings(
                id=name,
                zone=zone,
                callers=_find_free_address(),
                control=_find_free_address(),
            ),
            platform=state.PlatformSettings(
                kv=self._standins.kv_address,
                host_list=self._standins.host_list_address,
            ),
        )
        context = host_server.open_host(settings, _SECRETS)
        opened = await self._stack.enter_async_context(context)
        host = opened.unwrap().host
        self._hosts.append(host)
        self._standins.host_list.hosts.append(
            transport.ListedHost(
                host=state.HostId(name),
                zone=zone,
                control=settings.host.control,
            )
        )
        task = asyncio.create_task(host.run())
        self._host_tasks.append(task)
        self._stack.push_async_callback(core.end_task, task)

    async def _send_queries(self) -> None:
        await asyncio.gather(*(self._call_all(team) for team in _TEAMS))

    async def _call_all(self, team: str) -> None:
        """Send the queries of a team at a constant rate (open loop)."""
        async with contextlib.AsyncExitStack() as stack:
            clients = []
            for host in self._hosts:
                address = host.settings.host.callers
                client = caller_client.CallerClient(
                    address, self._tokens[team]
                )
                stack.push_async_callback(client.close)
                clients.append(client)
            async with asyncio.TaskGroup() as group:
                for number in range(_QUERIES_PER_TEAM):
                    group.create_task(self._call(team, clients, number))
                    await asyncio.sleep(_QUERY_INTERVAL_S)

    async def _call(
        self,
        team: str,
        clients: list[caller_client.CallerClient],
        number: int,
    ) -> None:
        """Send a query to a ready host, as a load balancer would."""
        ready = [
            client
            for client, host in zip(clients, self._hosts, strict=True)
            if host.lifecycle.is_ready
        ]
        query = protocol.Query(
            collection=state.CollectionId(_COLLECTIONS[team]),
            body=msgspec.Raw(b'{"name":"member"}'),
        )
        began = self._clock.now()
        replied = await ready[number % len(ready)].query(query)
        stats = self._team_stats[team]
        match replied:
            case result.Ok(transport.RawReply(status=200, body=body)):
                answer = protocol.decode(protocol.Answered, body).unwrap()
                stats.outcomes['answered'] += 1
                stats.shards += answer.coverage.shards
                stats.answered += answer.coverage.answered
                micros = round((self._clock.now() - began) * _US_PER_S)
                stats.latency.record_value(micros)
            case result.Ok(reply):
                stats.outcomes[f'status {reply.status}'] += 1
            case result.Err(failed):
                stats.outcomes[failed.detail] += 1

    def _report(self) -> None:
        print('\nresults by team')
        print(f'{"team":<12} {"p50 ms":>7} {"p90":>7} {"p99":>7}  coverage')
        for team, stats in self._team_stats.items():
            read = stats.latency.get_value_at_percentile
            percentiles = ' '.join(
                f'{read(percentile) / 1000:7.1f}'
                for percentile in _PERCENTILES
            )
            coverage = 100 * stats.answered / max(1, stats.shards)
            outcomes = ', '.join(
                f'{count} {name}' for name, count in stats.outcomes.items()
            )
            print(f'{team:<12} {percentiles}  {coverage:.2f} %  {outcomes}')
        counters = [host.runner.counters for host in self._hosts]
        shards = sum(each.shards for each in counters)
        extra = sum(each.hedges + each.retries for each in counters)
        print(
            f'extra upstream load: {100 * extra / shards:.2f} % of {shards} '
            'shard requests'
        )
        self._print_time_line()

    def _print_time_line(self) -> None:
        events = [
            event
            for host in self._hosts
            for event in host.event_ring.list_since(state.Stamp())
        ]
        events = [each for each in events if each.kind in _SHOWN_KINDS]
        events.sort(key=lambda each: (each.stamp, each.host))
        first = events[0].stamp.wall
        shown = [each for each in events if _is_notable(each)]
        print(f'\ntime line ({len(shown)} of {len(events)} events)')
        for event in shown[:_MAX_SHOWN]:
            upstream = f'{event.upstream} ' if event.upstream else ''
            print(
                f'{event.stamp.wall - first:8.3f} s  {event.host:<7} '
                f'{event.kind.value:<15} {upstream}{event.detail}'
            )


def _is_notable(event: state.Event) -> bool:
    """Return whether an event is other than the connecting of an upstream."""
    return not event.detail.startswith('up: connected')


def _find_free_address() -> str:
    listener = transport.bind('127.0.0.1:0').unwrap()
    address = transport.get_address(listener)
    listener.close()
    return address


async def _run() -> None:
    async with contextlib.AsyncExitStack() as stack:
        await _Demo(stack).run()


def demo(*, log: str = 'error') -> None:
    """Run a demonstration of the query tier in under a minute.

    :param log: the lowest level logged: debug, info, warning or error
    """
    logs.set_up_logs(log)
    asyncio.run(_run())


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(demo)


if __name__ == '__main__':
    main()
