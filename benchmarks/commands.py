"""Latency of commands, and the calls they make to the key-value service.

A command is a non-idempotent request. Runs on virtual time. Callers send
commands at a constant rate, in turn to each host; one in ten repeats the
previous key at the next host. A call to the key-value service takes 1 ms.
"""

import asyncio

from rudderrock import experiments
from rudderrock import protocol
from rudderrock import standins

_SECONDS = 10.0
_REPEAT_EVERY = 10
_RATES = (10, 50, 200)


def _make_deployment(hosts: int) -> standins.Deployment:
    return standins.Deployment(
        name='commands',
        hosts=hosts,
        network=standins.Network(regions={'north': ['north-1']}),
        groups=[
            standins.Group(
                collection='members',
                services=4,
                servers=2,
                slots=16,
                connections=400,
                service_s=0.002,
            )
        ],
    )


async def _measure(hosts: int, rate: int) -> None:
    async with standins.run_fleet(_make_deployment(hosts), hosts, 1) as fleet:
        edit = await fleet.set_row('desk', may_write=True, rate=1e6)
        await fleet.wait_until_in_force(edit.revision)
        times = []
        outcomes = []

        async def send(number: int, key: str) -> None:
            began = fleet.clock.now()
            host = f'h{1 + number % hosts}'
            outcome = await fleet.command(host, 'desk', 'members', key)
            outcomes.append(outcome)
            times.append(fleet.clock.now() - began)

        writes, reads = fleet.kv.writes, fleet.kv.reads
        tasks = []
        key = fleet.make_key()
        for number in range(round(rate * _SECONDS)):
            if number % _REPEAT_EVERY:
                key = fleet.make_key()
            tasks.append(asyncio.create_task(send(number, key)))
            await asyncio.sleep(1.0 / rate)
        await asyncio.gather(*tasks)
        recorded = sum(
            isinstance(outcome, protocol.Recorded) for outcome in outcomes
        )
        times.sort()
        print(
            f'{hosts} hosts, {rate:>4} commands/s: '
            f'{(fleet.kv.writes - writes) / _SECONDS:6.1f} writes/s '
            f'{(fleet.kv.reads - reads) / _SECONDS:5.1f} reads/s, median '
            f'{1000 * times[len(times) // 2]:5.1f} ms, 99 % '
            f'{1000 * times[int(len(times) * 0.99)]:6.1f} ms, {recorded} of '
            f'{len(outcomes)} recorded',
            flush=True,
        )


def main() -> None:
    """Measure each rate with three and with seven hosts."""
    for hosts in (3, 7):
        for rate in _RATES:
            experiments.run_on_virtual_time(_measure(hosts, rate))


if __name__ == '__main__':
    main()
