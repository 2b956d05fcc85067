"""Processor time of a gateway per shard request, over loopback.

Upstreams run in another process, so their time is not counted.
Prints microseconds per shard request with reused and with new connections.
"""

import asyncio
import cProfile
import multiprocessing
import pstats
import sys
import time

from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import standins

SHARDS = 90
ROUNDS = 40
_FIRST_PORT = 19000
_NAMES = gateway.HeaderNames()


def _serve_upstreams(count: int) -> None:
    async def serve() -> None:
        for number in range(count):
            model = standins.WireUpstream(
                f'u{number}', _NAMES, records=b'r' * 1008, work_s=0.0
            )
            await model.start('127.0.0.1', _FIRST_PORT + number)
        await asyncio.sleep(3600.0)

    asyncio.run(serve())


async def _measure(profile: cProfile.Profile | None) -> None:
    loop = asyncio.get_running_loop()
    clock = core.Clock(loop)
    source = standins.MemorySource()
    services = {}
    for number in range(SHARDS):
        name = gateway.ServiceName(f's{number}')
        services[name] = gateway.Service(name=name, max_connections=50)
        source.set_endpoint(
            gateway.Endpoint(
                upstream=core.UpstreamId(f'u{number}'),
                service=name,
                address=('127.0.0.1', _FIRST_PORT + number),
                zone=core.ZoneId('z'),
                slots=2,
                phase=gateway.Phase.READY,
            )
        )
    route = gateway.Route(
        name=gateway.RouteName('all'),
        host='h',
        prefix='/all/',
        repeat=gateway.Repeat.IDEMPOTENT,
        target=gateway.Scatter(tuple(services), 50, 0.9),
        timeout_s=5.0,
        goal_s=2.0,
        priority=1,
        max_attempts=2,
    )
    source.set_table(
        gateway.RoutingTable(
            gateway.TableVersion(1), [route], services, gateway.IntakeLimits()
        )
    )
    config = gateway.GatewaySettings(
        host='g',
        place=gateway.Topology(core.ZoneId('z'), {core.ZoneId('z'): 'r'}),
        callers=('127.0.0.1', _FIRST_PORT + 900),
        readiness=('127.0.0.1', _FIRST_PORT + 901),
        metrics=('127.0.0.1', _FIRST_PORT + 902),
        peers=('127.0.0.1', _FIRST_PORT + 903),
    )
    running_gateway = gateway_root.make_gateway(
        config, source, clock, 1, gateway.EventLog('g', clock)
    )
    task = asyncio.create_task(running_gateway.run())
    await asyncio.sleep(1.0)
    for name, drops_idle in (('reused', False), ('new', True)):
        cpu_s = 0.0
        for number in range(ROUNDS):
            if drops_idle:
                running_gateway.gateway.selector.drop_idle()
                await asyncio.sleep(0.05)
            request = gateway.Request(
                b'GET',
                b'/all/1',
                [
                    (b'host', b'h'),
                    (_NAMES.request_id, b'q%d' % number),
                    (_NAMES.deadline_ms, b'4000'),
                ],
                b'',
                loop.time(),
            )
            began = time.process_time()
            if profile is not None:
                profile.enable()
            reply = await running_gateway.gateway.handle(request)
            if profile is not None:
                profile.disable()
            cpu_s += time.process_time() - began
            assert reply.status == 200, reply
        each = cpu_s / ROUNDS / SHARDS * 1e6
        print(f'{name} connections: {each:.0f} us a shard request')
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def main() -> None:
    """Run the benchmark; with `--profile`, also print a profile."""
    upstream_process = multiprocessing.Process(
        target=_serve_upstreams, args=(SHARDS,), daemon=True
    )
    upstream_process.start()
    time.sleep(1.5)
    profile = cProfile.Profile() if '--profile' in sys.argv else None
    try:
        asyncio.run(_measure(profile))
    finally:
        upstream_process.kill()
    if profile is not None:
        pstats.Stats(profile).sort_stats('tottime').print_stats(28)


if __name__ == '__main__':
    main()
