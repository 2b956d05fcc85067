"""Calls of a fleet to the source, and the age of what its hosts know.

Runs on virtual time with gateways that share a source in memory. The calls
are weighted: registering takes two, renewing a lease counts a tenth. The ages
are those of the upstreams at hosts that the source answers. After each phase
an upstream drains, and the time until it is draining at all these hosts is
printed.

Usage: python -m benchmarks.store_calls [HOSTS...]
"""

import asyncio
import collections
import contextlib
import logging
import sys

import async_solipsism

from features import gateway_bench
from rudderrock import core
from rudderrock import gateway

_ZONES = ('north-1', 'north-2', 'south-1')
_SEEDS = tuple((f'10.0.1.{number}', 8003) for number in (1, 2, 3))
_WEIGHTS = {'register': 2.0, 'withdraw': 2.0, 'renew': 0.1}
_SAMPLE_S = 0.1
_SHARE_AWAY = 3


class _Trial:
    """A fleet that goes through the phases."""

    def __init__(self, count: int, stack: contextlib.AsyncExitStack):
        self._count = count
        self._harness = gateway_bench.GatewayHarness(stack)
        self._fleet = gateway_bench.FleetHarness(self._harness, stack)
        self._drained = 0

    async def run(self) -> None:
        """Play all phases and print the figures of each."""
        service = gateway.ServiceName('notes')
        self._harness.add_route('/notes/', gateway.Single(service))
        for number in range(8):
            await self._harness.add_upstream(f'u{number}', service)
        self._harness.publish()
        await self._play('start together', 10.0, self._start())
        await self._play('calm', 30.0, self._do_nothing())
        away = [
            member
            for number, member in enumerate(self._fleet.members.values())
            if number % _SHARE_AWAY == 0
        ]
        await self._play('a third refused', 9.0, self._refuse(away, True))
        await self._play('served again', 9.0, self._refuse(away, False))
        everyone = list(self._fleet.members.values())
        await self._play('all refused', 9.0, self._refuse(everyone, True))
        await self._play(
            'all served again', 9.0, self._refuse(everyone, False)
        )
        await self._play('all killed, source down', 3.0, self._restart())
        self._harness.source.is_down = False
        await self._play('source back', 9.0, self._do_nothing())

    async def _play(self, phase: str, seconds: float, change) -> None:
        before = self._count_calls()
        await change
        ages = await self._sample(seconds)
        calls = self._count_calls() - before
        drained_s = await self._drain_one()
        total = sum(_WEIGHTS.get(name, 1.0) * n for name, n in calls.items())
        causes = ', '.join(f'{name} {n}' for name, n in sorted(calls.items()))
        drained = '-' if drained_s is None else f'{drained_s:.2f}'
        age = ' '.join(f'{_find(ages, part):.2f}' for part in (0.5, 0.99, 1))
        print(
            f'{self._count:4d} {phase:24s} {total:8.1f}  age {age}  '
            f'drain {drained}  {causes}',
            flush=True,
        )

    def _count_calls(self) -> collections.Counter:
        found = collections.Counter(self._gone)
        for member in self._fleet.members.values():
            found.update(member.source.calls_by_name)
        return found

    _gone: collections.Counter = collections.Counter()

    async def _sample(self, seconds: float) -> list[float]:
        ages = []
        for _ in range(round(seconds / _SAMPLE_S)):
            await asyncio.sleep(_SAMPLE_S)
            ages += [
                member.process._dependencies.upstream_directory.age_s
                for member in self._list_served()
            ]
        return sorted(ages)

    def _list_served(self) -> list[gateway_bench.Member]:
        return [
            member
            for member in self._fleet.members.values()
            if not (member.source.is_refused or self._harness.source.is_down)
        ]

    async def _drain_one(self) -> float | None:
        """Return when all hosts that are served know of a drain, seconds."""
        served = self._list_served()
        if not served:
            return None
        name = core.UpstreamId(f'u{self._drained}')
        self._drained += 1
        entry = self._harness.source.endpoints[name]
        self._harness.register(
            name,
            entry.service,
            entry.zone,
            entry.address,
            gateway.Phase.DRAINING,
        )
        began_at = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(0.01)
            found = {
                member.process._dependencies.upstream_directory.get_endpoint(
                    name
                ).phase
                for member in served
            }
            if found == {gateway.Phase.DRAINING}:
                return asyncio.get_running_loop().time() - began_at

    async def _start(self) -> None:
        for number in range(1, self._count + 1):
            zone = _ZONES[number % len(_ZONES)]
            await self._fleet.add(zone, seeds=_SEEDS, number=number)
            await asyncio.sleep(0.001)

    async def _do_nothing(self) -> None:
        await asyncio.sleep(0)

    async def _refuse(self, members, is_refused: bool) -> None:
        for member in members:
            member.source.is_refused = is_refused

    async def _restart(self) -> None:
        self._gone = self._count_calls()
        for name in list(self._fleet.members):
            await self._fleet.kill(name)
        self._harness.source.is_down = True
        await self._start()


def _find(ages: list[float], part: float) -> float:
    if not ages:
        return -1.0
    return ages[min(len(ages) - 1, int(part * len(ages)))]


async def _measure(count: int) -> None:
    async with contextlib.AsyncExitStack() as stack:
        await _Trial(count, stack).run()


def main() -> None:
    """Print the figures for each number of hosts on the command line."""
    logging.disable(logging.CRITICAL)
    for count in [int(each) for each in sys.argv[1:]] or [6, 60]:
        loop = async_solipsism.EventLoop()
        try:
            loop.run_until_complete(_measure(count))
        finally:
            loop.close()


if __name__ == '__main__':
    main()
