"""Fixture of a scenario: a fleet of hosts and the outcomes of its queries."""

import asyncio
import contextlib
import dataclasses
import math

from rudderrock import protocol
from rudderrock import standins
from rudderrock import state

NETWORK = standins.Network(
    regions={'north': ['north-1', 'north-2'], 'south': ['south-1']},
    between_regions_s=0.002,
)


@dataclasses.dataclass(slots=True)
class CompletedQuery:
    """A query and its outcome. Times are in seconds of the loop's clock."""

    team: str
    outcome: protocol.Outcome
    started_at: float
    ended_at: float


class Bench:
    """A fleet under test and the outcomes of the queries sent to it."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.fleet: standins.MemoryFleet | None = None
        self.completed: list[CompletedQuery] = []
        self.notes: dict[str, object] = {}
        self._stack = stack
        self._load_tasks: list[asyncio.Task] = []

    async def start(
        self,
        hosts: int,
        services: int,
        seed: int = 1,
        settings: dict | None = None,
        **group_fields,
    ) -> None:
        """Start hosts in front of the collection `members`."""
        group = standins.Group(
            collection='members', services=services, **group_fields
        )
        deployment = standins.Deployment(
            name='bench', hosts=hosts, network=NETWORK, groups=[group]
        )
        self.fleet = await self._stack.enter_async_context(
            standins.run_fleet(deployment, hosts, seed, settings)
        )

    async def set_row(self, team: str, **fields) -> None:
        """Set a team's row and wait until it is in force on all hosts."""
        edit = await self.fleet.set_row(team, **fields)
        await self.fleet.wait_until_in_force(edit.revision)

    async def ask(self, team: str, host: str = 'h1') -> protocol.Outcome:
        """Send a query, record its outcome and return the outcome."""
        started_at = self.fleet.clock.now()
        outcome = await self.fleet.query(host, team, 'members')
        ended_at = self.fleet.clock.now()
        self.completed.append(
            CompletedQuery(team, outcome, started_at, ended_at)
        )
        return outcome

    async def ask_at_rate(
        self, team: str, rate: float, seconds: float, hosts: list[str]
    ) -> None:
        """Send queries at a fixed rate and wait until all have completed."""
        tasks = []
        for number in range(round(rate * seconds)):
            host = hosts[number % len(hosts)]
            tasks.append(asyncio.create_task(self.ask(team, host)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)

    def start_load(
        self, team: str, rate: float, seconds: float, hosts: list[str]
    ) -> None:
        """Start sending queries in the background."""
        load = self.ask_at_rate(team, rate, seconds, hosts)
        self.add_load(asyncio.create_task(load))

    def add_load(self, load: asyncio.Task) -> None:
        """Register a load task that `end_load` waits for."""
        self._load_tasks.append(load)

    async def end_load(self) -> None:
        """Wait until all registered load has completed."""
        await asyncio.gather(*self._load_tasks)
        self._load_tasks.clear()

    def list_answers(self, team: str | None = None) -> list[CompletedQuery]:
        """Return the answered queries of one team, or of all teams."""
        return [
            each
            for each in self.completed
            if isinstance(each.outcome, protocol.Answered)
            and team in (None, each.team)
        ]

    def get_percentile(self, percentile: float, team: str) -> float:
        """Return a latency percentile of a team's answers, in seconds."""
        times = sorted(
            each.ended_at - each.started_at for each in self.list_answers(team)
        )
        return times[math.ceil(percentile / 100 * len(times)) - 1]

    def get_extra_load(self) -> float:
        """Return the ratio of hedges and retries to shard requests."""
        host_counters = [
            running.host.runner.counters
            for running in self.fleet.hosts.values()
        ]
        shards = sum(each.shards for each in host_counters)
        return (
            sum(each.hedges + each.retries for each in host_counters) / shards
        )

    def list_events(self, kind: state.EventKind) -> list[state.Event]:
        """Return the events of one kind that the hosts have recorded."""
        return [
            event
            for running in self.fleet.hosts.values()
            for event in running.host.event_ring.list_since(state.Stamp())
            if event.kind is kind
        ]
