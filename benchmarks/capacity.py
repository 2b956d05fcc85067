"""Costs per shard, upstream, team and host, as used by docs/CAPACITY.md.

Each measurement runs at several sizes. It prints the cost at each size and
the slope of the least-squares line through the points.
"""

import asyncio
import heapq
import time
import tracemalloc

import msgspec

from rudderrock import coordination
from rudderrock import experiments
from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock.programs import _runtime as runtime

_QUERIES = 30
_BATCH_ROUNDS = 2000


def _make_deployment(services: int, hosts: int = 1) -> standins.Deployment:
    return standins.Deployment(
        name='capacity',
        hosts=hosts,
        network=standins.Network(regions={'north': ['north-1']}),
        groups=[standins.Group(collection='members', services=services)],
    )


def _fit_slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


async def _time_queries(services: int) -> float:
    """Return processor seconds per query, with stand-ins but without HTTP."""
    async with standins.run_fleet(_make_deployment(services), 1, 1) as fleet:
        edit = await fleet.set_row(
            'desk', rate=1e9, concurrency=10**9, deadline_s=5.0
        )
        await fleet.wait_until_in_force(edit.revision)
        await fleet.query('h1', 'desk', 'members')
        began = time.process_time()
        for _ in range(_QUERIES):
            await fleet.query('h1', 'desk', 'members')
        return (time.process_time() - began) / _QUERIES


def measure_fan_out() -> None:
    """Print the processor time of a query by its number of shards."""
    points = [
        (services, experiments.run_on_virtual_time(_time_queries(services)))
        for services in (20, 200, 800, 1700)
    ]
    for services, seconds in points:
        each = seconds / services
        print(
            f'query to {services:>5} shards: {seconds * 1000:8.2f} ms, '
            f'{each * 1e6:6.1f} us per shard, including the stand-in upstream'
        )
    print(
        f'slope {_fit_slope(points) * 1e6:.1f} us a shard request without HTTP'
    )


async def _measure_fleet_memory(services: int) -> int:
    tracemalloc.start()
    async with standins.run_fleet(_make_deployment(services), 1, 1):
        await asyncio.sleep(5.0)
        allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated


def measure_upstreams() -> None:
    """Print memory by the number of upstreams, including the stand-ins."""
    points = [
        (
            2 * services,
            experiments.run_on_virtual_time(_measure_fleet_memory(services)),
        )
        for services in (10, 100, 400)
    ]
    for upstreams, allocated in points:
        print(f'{upstreams:>5} upstreams: {allocated / 1e6:7.2f} MB')
    print(
        f'slope {_fit_slope(points) / 1000:.1f} KB of memory per upstream '
        'with up to 6 connections, without sockets and HTTP client'
    )


def _make_table(teams: int) -> state.Table:
    rows = {}
    for number in range(teams):
        team = f'team-{number}'
        rows[team] = state.TeamRow(team=team, token_hashes=('x' * 97,))
    edit = state.Edit(
        edit_id='e' * 24,
        revision=1,
        author='operator',
        at=1.7e9,
        team='team-0',
        row=rows['team-0'],
    )
    return state.Table(
        revision=1, rows=rows, history=(edit,) * state.HISTORY_LIMIT
    )


def _time_table(data: bytes) -> float:
    began = time.process_time()
    coordination.read_table(data).unwrap()
    return time.process_time() - began


def measure_table() -> None:
    """Print the table's size and its decoding time by number of teams."""
    points = []
    for teams in (50, 200, 500):
        data = protocol.encode(_make_table(teams))
        seconds = min(_time_table(data) for _ in range(10))
        points.append((teams, seconds))
        print(
            f'table of {teams:>4} teams and a full history: '
            f'{len(data) / 1000:6.1f} KB, {seconds * 1000:6.2f} ms to read '
            'and check'
        )
    print(f'slope {_fit_slope(points) * 1e6:.0f} us a team')


async def _time_probes(hosts: int) -> tuple[float, int]:
    """Return the seconds to encode, decode and answer a probe, and its size.

    The size is that of the encoded probe in bytes."""
    deployment = _make_deployment(1)
    async with standins.run_fleet(deployment, 1, 1) as fleet:
        membership = fleet.hosts['h1'].host.membership
        limit_shares = fleet.hosts['h1'].host._limit_shares
        rates = {f'team-{number}': 10.5 for number in range(5)}
        for number in range(hosts):
            name = f'host-{number:04}'
            membership._merge_member(
                protocol.Member(
                    host=name,
                    zone='north-1',
                    control='127.0.0.1:1',
                    incarnation=1_700_000_000_000,
                    state=protocol.MemberState.ALIVE,
                )
            )
            limit_shares.merge_demand(
                protocol.Demand(host=name, count=1, rates=rates)
            )
        probe = protocol.Probe(digest=membership.make_digest())
        size = len(protocol.encode(probe))
        began = time.process_time()
        for _ in range(200):
            data = protocol.encode(probe)
            read = protocol.decode(protocol.Probe, data).unwrap()
            protocol.encode(await membership.answer_probe(read))
        return (time.process_time() - began) / 200, size


def measure_membership() -> None:
    """Print the time and size of a membership probe by fleet size."""
    points = []
    for hosts in (7, 60, 200, 580):
        seconds, size = experiments.run_on_virtual_time(_time_probes(hosts))
        points.append((hosts, seconds))
        print(
            f'probe in a fleet of {hosts:>4}: {seconds * 1e6:7.0f} us to '
            f'read and answer, {size} bytes'
        )
    print(f'slope {_fit_slope(points) * 1e6:.2f} us a host in the fleet')


def measure_batches() -> None:
    """Print the time to encode and decode a batch of shard requests."""
    request = protocol.ShardRequest(
        request_id='host-1-0123456789abcdef.12',
        shard='members-1',
        version=1,
        body=msgspec.Raw(b'"query"'),
        limit=10,
        deadline=1.7e9,
    )
    hits = [
        protocol.Hit(
            id=f'hit-{number}', score=0.5, document=msgspec.Raw(b'{"a":1}')
        )
        for number in range(3)
    ]
    answer = protocol.ShardAnswer(
        request_id=request.request_id, shard='members-1', version=1, hits=hits
    )
    points = []
    for size in (1, 5, 15, 50):
        requests = [request] * size
        data = protocol.encode([answer] * size)
        began = time.process_time()
        for _ in range(_BATCH_ROUNDS):
            protocol.encode(requests)
            answers = protocol.decode(list[protocol.ShardAnswer], data)
            found = [hit for each in answers.unwrap() for hit in each.hits]
            heapq.nsmallest(10, found, key=lambda hit: -hit.score)
        seconds = (time.process_time() - began) / _BATCH_ROUNDS
        points.append((size, seconds))
        print(f'batch of {size:>3}: {seconds * 1e6:7.1f} us to write and read')
    print(
        f'slope {_fit_slope(points) * 1e6:.1f} us a shard request in a batch'
    )


def main() -> None:
    """Run all measurements."""
    # The entry daemon runs with the same garbage collector settings.
    runtime.tune_collector()
    measure_fan_out()
    measure_upstreams()
    measure_table()
    measure_membership()
    measure_batches()


if __name__ == '__main__':
    main()
