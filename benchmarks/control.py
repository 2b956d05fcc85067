"""Cost of the control plane per host, by fleet size.

Idle fleets of 3 to 60 hosts run on virtual time for one minute, followed by
one edit of the table. Message sizes are those of the encoded messages between
hosts. The stand-in of the key-value service counts the calls made to it.
Processor time is that of this process and excludes HTTP, which `control_http`
measures.
"""

import asyncio
import time
import tracemalloc

from rudderrock import experiments
from rudderrock import standins
from rudderrock import state

_SIZES = (3, 7, 20, 60)
_SECONDS = 60.0
_TEAMS = 30
_ZONES = 5


def _make_deployment(hosts: int) -> standins.Deployment:
    zones = [f'zone-{number}' for number in range(_ZONES)]
    return standins.Deployment(
        name='control',
        hosts=hosts,
        network=standins.Network(regions={'a': zones[:3], 'b': zones[3:]}),
        groups=[
            standins.Group(collection='members', services=1, connections=1000)
        ],
    )


async def _measure(hosts: int) -> None:
    deployment = _make_deployment(hosts)
    async with standins.run_fleet(deployment, hosts, 1) as fleet:
        for number in range(_TEAMS):
            edit = await fleet.set_row(f'team-{number}')
        await fleet.wait_until_in_force(edit.revision)
        await asyncio.sleep(10.0)
        bytes_before = fleet.peers.bytes
        messages_before = fleet.peers.messages
        reads, writes = fleet.kv.reads, fleet.kv.writes
        cpu = time.process_time()
        await asyncio.sleep(_SECONDS)
        cpu = time.process_time() - cpu
        sent = (fleet.peers.bytes - bytes_before) / hosts / _SECONDS
        messages = (fleet.peers.messages - messages_before) / hosts
        kv = (fleet.kv.reads - reads, fleet.kv.writes - writes)
        edit = await fleet.set_row('team-0', weight=2.0)
        in_force_s = await fleet.wait_until_in_force(edit.revision)
    print(
        f'{hosts:>4} hosts: {messages / _SECONDS:5.2f} messages/s, '
        f'{2 * sent / 1000:6.2f} KB/s in both directions, '
        f'{100 * cpu / hosts / _SECONDS:6.3f} % of a core without HTTP, '
        f'key-value {kv[0] / _SECONDS:5.2f} reads/s '
        f'{kv[1] / _SECONDS:5.2f} writes/s in all, edit in force after '
        f'{1000 * in_force_s:.0f} ms',
        flush=True,
    )


async def _measure_memory(hosts: int) -> int:
    """Return the bytes that a fleet of idle hosts allocates."""
    deployment = _make_deployment(hosts)
    tracemalloc.start()
    async with standins.run_fleet(deployment, hosts, 1):
        await asyncio.sleep(20.0)
        allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated


def main() -> None:
    """Measure each fleet size."""
    for hosts in _SIZES:
        experiments.run_on_virtual_time(_measure(hosts))
    few, many = (
        experiments.run_on_virtual_time(_measure_memory(3)),
        experiments.run_on_virtual_time(_measure_memory(23)),
    )
    print(f'memory: {(many - few) / 20 / 1000:.0f} KB more for each host')
    row = state.TeamRow(team='t', token_hashes=('x' * 97,))
    print(f'a row of the table: about {len(repr(row))} characters as repr')


if __name__ == '__main__':
    main()
