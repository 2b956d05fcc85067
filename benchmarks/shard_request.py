"""Processor time of a shard request compared with the bare HTTP client.

Stand-in upstreams in another process reply without delay. This process sends
the same requests over loopback twice: through HTTP connections alone, and
through a host with all its decisions (admission, fair queue, replica
choice, hedging, merge). The figures are the processor time of this process
only.
"""

import argparse
import asyncio
import gc
import multiprocessing
import random
import statistics
import time

import msgspec

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import root
from rudderrock import standins
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _runtime as runtime

_SHARDS = 20
_DEPLOYMENT = standins.Deployment(
    name='cost',
    hosts=1,
    network=standins.Network(regions={'north': ['north-1']}),
    groups=[
        standins.Group(
            collection='members',
            services=_SHARDS,
            servers=2,
            slots=8,
            connections=25,
            service_s=0.0,
        )
    ],
)


def _serve(pipe) -> None:
    """Serve the stand-ins until the parent sends a message."""

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        clock = state.Clock(loop, time.time() - loop.time())
        async with standins.serve_standins(
            _DEPLOYMENT, clock, random.Random(1)
        ) as served:
            row = state.TeamRow(
                team='desk', rate=1e9, concurrency=10**9, deadline_s=30.0
            )
            table = state.Table(revision=1, rows={'desk': row})
            kv = served.kv
            await standins.publish(kv, coordination.TABLE_KEY, table)
            await standins.publish(kv, coordination.LAYOUT_KEY, served.layout)
            addresses = [
                upstream.address
                for upstream in served.layout.upstreams.values()
            ]
            pipe.send((served.kv_address, addresses))
            await loop.run_in_executor(None, pipe.recv)

    asyncio.run(serve())


async def _measure_bare(addresses: list[str], queries: int) -> float:
    """Return processor seconds per request for the client library alone."""
    connections = [
        transport.HttpConnection(address)
        for address in addresses[: 2 * _SHARDS : 2]
    ]

    async def ask(connection, shard: str) -> None:
        wall = time.time()
        for number in range(queries):
            request = protocol.ShardRequest(
                request_id=f'{shard}.{number}',
                shard=shard,
                version=1,
                body=msgspec.Raw(b'"q"'),
                limit=10,
                deadline=wall + 60,
            )
            body = protocol.encode(request)
            raw = await connection.post(protocol.SHARD_PATH, body)
            protocol.decode(protocol.ShardAnswer, raw.unwrap().body).unwrap()

    names = [f'members-{number}' for number in range(_SHARDS)]
    began = time.process_time()
    await asyncio.gather(
        *(
            ask(connection, name)
            for connection, name in zip(connections, names, strict=True)
        )
    )
    cpu_s = time.process_time() - began
    for connection in connections:
        await connection.close()
    return cpu_s / (queries * _SHARDS)


async def _measure_host(kv_address: str, queries: int) -> float:
    """Return processor seconds per shard request through a complete host."""
    loop = asyncio.get_running_loop()
    clock = state.Clock(loop, time.time() - loop.time())
    settings = state.Settings(
        host=state.HostSettings(
            id='h1',
            zone='north-1',
            callers='127.0.0.1:1',
            control='127.0.0.1:2',
        ),
        platform=state.PlatformSettings(kv=kv_address),
    )
    ports = root.Ports(
        kv=transport.HttpKvPort(kv_address, 1.0),
        upstreams=transport.HttpUpstreamPort(1.0),
        peers=transport.HttpPeerPort('secret'),
    )
    host = root.make_host(settings, ports, clock, 1)
    running = asyncio.create_task(host.run())
    while not host.lifecycle.is_ready:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    row = host.config.rows['desk']
    query = protocol.Query(collection='members', body=msgspec.Raw(b'"q"'))
    began = time.process_time()
    for _ in range(queries):
        outcome = await host.query(row, query)
        if outcome.coverage.missing:
            raise RuntimeError(f'incomplete: {outcome.coverage}')
    cpu_s = time.process_time() - began
    counters = host.runner.counters
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    sent = counters.first + counters.hedges + counters.retries
    return cpu_s / sent


def main() -> None:
    """Print the costs of each round and the median ratios."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--queries', type=int, default=100)
    parser.add_argument('--rounds', type=int, default=5)
    options = parser.parse_args()
    context = multiprocessing.get_context('spawn')
    ours, theirs = context.Pipe()
    server = context.Process(target=_serve, args=(theirs,), daemon=True)
    server.start()
    kv_address, addresses = ours.recv()
    ratios = []
    tuned_ratios = []
    thresholds = gc.get_threshold()
    for number in range(options.rounds):
        bare_s = asyncio.run(_measure_bare(addresses, options.queries))
        host_s = asyncio.run(_measure_host(kv_address, options.queries))
        runtime.tune_collector()
        tuned_host_s = asyncio.run(_measure_host(kv_address, options.queries))
        gc.set_threshold(*thresholds)
        gc.unfreeze()
        ratios.append(host_s / bare_s)
        tuned_ratios.append(tuned_host_s / bare_s)
        print(
            f'round {number + 1}: bare {bare_s * 1e6:.0f} us, host '
            f'{host_s * 1e6:.0f} us, with the collector tuned '
            f'{tuned_host_s * 1e6:.0f} us a shard request',
            flush=True,
        )
    print(
        f'median ratio to bare {statistics.median(ratios):.2f}, with the '
        f'collector tuned {statistics.median(tuned_ratios):.2f}'
    )
    ours.send('end')
    server.join()


if __name__ == '__main__':
    main()
