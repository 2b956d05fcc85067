"""What the steps of a scenario share: the fleet and what was seen."""

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
class Seen:
    """One request and its outcome; times in seconds of the loop."""

    team: str
    outcome: protocol.Outcome
    began: float
    ended: float


class Bench:
    """A fleet under test and the outcomes that its callers got."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self.fleet: standins.MemoryFleet | None = None
        self.seen: list[Seen] = []
        self.notes: dict[str, object] = {}
        self._stack = stack
        self._load: list[asyncio.Task] = []

    async def start(
        self,
        hosts: int,
        services: int,
        seed: int = 1,
        settings: dict | None = None,
        **shape,
    ) -> None:
        """Start hosts in front of one collection, `members`."""
        group = standins.Group(
            collection='members', services=services, **shape
        )
        deployment = standins.Deployment(
            name='bench', hosts=hosts, network=NETWORK, groups=[group]
        )
        self.fleet = await self._stack.enter_async_context(
            standins.run_fleet(deployment, hosts, seed, settings)
        )

    async def set_row(self, team: str, **fields) -> None:
        """Set a team's row and wait until it is in force everywhere."""
        edit = await self.fleet.set_row(team, **fields)
        await self.fleet.wait_until_in_force(edit.revision)

    async def ask(self, team: str, host: str = 'h1') -> protocol.Outcome:
        """Send one query and keep what was seen of it."""
        began = self.fleet.clock.now()
        outcome = await self.fleet.query(host, team, 'members')
        ended = self.fleet.clock.now()
        self.seen.append(Seen(team, outcome, began, ended))
        return outcome

    async def ask_at_rate(
        self, team: str, rate: float, seconds: float, hosts: list[str]
    ) -> None:
        """Send queries at a steady rate, whatever comes back, to the end."""
        tasks = []
        for number in range(round(rate * seconds)):
            host = hosts[number % len(hosts)]
            tasks.append(asyncio.create_task(self.ask(team, host)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)

    def start_load(
        self, team: str, rate: float, seconds: float, hosts: list[str]
    ) -> None:
        """Send queries beside what the scenario does next."""
        load = self.ask_at_rate(team, rate, seconds, hosts)
        self.keep_load(asyncio.create_task(load))

    def keep_load(self, load: asyncio.Task) -> None:
        """Keep load under way for `end_load` to wait for."""
        self._load.append(load)

    async def end_load(self) -> None:
        """Wait until all load that was started has been answered."""
        await asyncio.gather(*self._load)
        self._load.clear()

    def list_answers(self, team: str | None = None) -> list[Seen]:
        """Return what was answered, of one team or of all."""
        return [
            seen
            for seen in self.seen
            if isinstance(seen.outcome, protocol.Answered)
            and team in (None, seen.team)
        ]

    def get_percentile(self, percentile: float, team: str) -> float:
        """Return a percentile of a team's answered latency, in seconds."""
        times = sorted(
            seen.ended - seen.began for seen in self.list_answers(team)
        )
        return times[math.ceil(percentile / 100 * len(times)) - 1]

    def get_extra_load(self) -> float:
        """Return extra upstream requests as a part of those asked for."""
        counters = [
            running.host.runner.counters
            for running in self.fleet.hosts.values()
        ]
        shards = sum(each.shards for each in counters)
        return sum(each.hedges + each.retries for each in counters) / shards

    def list_events(self, kind: state.EventKind) -> list[state.Event]:
        """Return the events of a kind of all hosts."""
        return [
            event
            for running in self.fleet.hosts.values()
            for event in running.host.event_ring.list_since(state.Stamp())
            if event.kind is kind
        ]
