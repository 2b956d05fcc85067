"""Processor time that quotas add to a request, over loopback.

Two gateways run in this process, and the quota of the team is kept by the one
that doesn't take the requests. The time is that of both, with the messages
between them. The upstream runs in another process, so its time is not counted.
"""

import asyncio
import multiprocessing
import time

from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import standins

REQUESTS = 600
_ADDRESS = '127.0.0.1'
_FIRST_PORT = 19200
_PORTS_PER_GATEWAY = 10
_NAMES = gateway.HeaderNames()
_ZONE = core.ZoneId('z')
_SERVICE = gateway.ServiceName('desk')
_HOSTS = ('g1', 'g2')
_UNLIMITED = core.TeamId('unlimited')
_RATES = {'within': 1000.0, 'asking': 1000.0, 'refused': 0.01}


def _serve_upstream() -> None:
    async def serve() -> None:
        model = standins.WireUpstream('u', _NAMES, b'r' * 1008, work_s=0.0)
        await model.start(_ADDRESS, _FIRST_PORT)
        await asyncio.sleep(3600.0)

    asyncio.run(serve())


def _list_teams() -> list[gateway.Team]:
    """Return a team without a quota, and some whose owner is the last host."""
    found = [gateway.Team(team=_UNLIMITED)]
    for prefix, rate in _RATES.items():
        names = (core.TeamId(f'{prefix}-{number}') for number in range(100))
        name = next(
            each
            for each in names
            if min(_HOSTS, key=lambda host: gateway.rank_pair(each, host))
            == _HOSTS[-1]
        )
        found.append(gateway.Team(team=name, quota_per_s=rate, burst=1.0))
    return found


def _make_source(teams: list[gateway.Team]) -> standins.MemorySource:
    source = standins.MemorySource()
    source.set_endpoint(
        gateway.Endpoint(
            upstream=core.UpstreamId('u'),
            service=_SERVICE,
            address=(_ADDRESS, _FIRST_PORT),
            zone=_ZONE,
            slots=2,
            phase=gateway.Phase.READY,
        )
    )
    route = gateway.Route(
        name=gateway.RouteName('desk'),
        host='h',
        prefix='/desk/',
        repeat=gateway.Repeat.IDEMPOTENT,
        target=gateway.Single(_SERVICE),
        timeout_s=5.0,
        goal_s=2.0,
        priority=1,
        max_attempts=2,
    )
    service = gateway.Service(name=_SERVICE, max_connections=50)
    source.set_table(
        gateway.RoutingTable(
            gateway.TableVersion(1),
            [route],
            {_SERVICE: service},
            gateway.IntakeLimits(),
            gateway.TeamRegistry(
                (each, [gateway.digest_key(each.team.encode())])
                for each in teams
            ),
        )
    )
    return source


def _make_gateway(
    host: str, number: int, slack: float, source: standins.MemorySource
) -> gateway.GatewayProcess:
    first = _FIRST_PORT + _PORTS_PER_GATEWAY * (number + 1)
    settings = gateway.GatewaySettings(
        host=host,
        place=gateway.Topology(_ZONE, {_ZONE: 'r'}),
        callers=(_ADDRESS, first),
        readiness=(_ADDRESS, first + 1),
        metrics=(_ADDRESS, first + 2),
        peers=(_ADDRESS, first + 3),
        quota_window_s=5.0,
        quota_slack=slack,
    )
    clock = core.Clock(asyncio.get_running_loop())
    events = gateway.EventLog(host, clock)
    return gateway_root.make_gateway(settings, source, clock, number, events)


async def _send(served: gateway.Gateway, team: str, number: int) -> int:
    request = gateway.Request(
        b'GET',
        b'/desk/1',
        [
            (b'host', b'h'),
            (b'authorization', b'Bearer ' + team.encode()),
            (_NAMES.request_id, b'q%d' % number),
            (_NAMES.deadline_ms, b'4000'),
        ],
        b'',
        asyncio.get_running_loop().time(),
    )
    return (await served.handle(request)).status


async def _measure(name: str, served: gateway.Gateway, team: str) -> None:
    """Print the processor time a request, at one request every 4 ms."""
    began = time.process_time()
    statuses = []
    for number in range(REQUESTS):
        statuses.append(await _send(served, team, number))
        await asyncio.sleep(0.004)
    each_us = (time.process_time() - began) / REQUESTS * 1e6
    served_count = statuses.count(200)
    print(f'{name}: {each_us:.0f} us a request, {served_count} served')


async def _run(name: str, prefix: str, slack: float) -> None:
    teams = _list_teams()
    team = next(each.team for each in teams if each.team.startswith(prefix))
    source = _make_source(teams)
    processes = [
        _make_gateway(host, number, slack, source)
        for number, host in enumerate(_HOSTS)
    ]
    tasks = [asyncio.create_task(each.run()) for each in processes]
    await asyncio.sleep(3.0)
    await _measure(name, processes[0].gateway, team)
    for each in tasks:
        await core.end_task(each)


async def _run_all() -> None:
    await _run('no quota', 'unlimited', 4000.0)
    await _run('admitted alone, reported in batches', 'within', 4000.0)
    await _run('owner asked first', 'asking', 0.0)
    await _run('over the quota', 'refused', 0.0)


def main() -> None:
    """Run the benchmark."""
    upstream_process = multiprocessing.Process(
        target=_serve_upstream, daemon=True
    )
    upstream_process.start()
    time.sleep(1.5)
    try:
        asyncio.run(_run_all())
    finally:
        upstream_process.kill()


if __name__ == '__main__':
    main()
