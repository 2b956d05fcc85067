"""False suspicions under message loss, and overshoot of rate limits.

Runs on virtual time, so the figures are reproducible. Overshoot is the rate
that all hosts together admit, in the worst second and on average, relative to
the limit. The team sends three times its limit throughout.
"""

import asyncio

from rudderrock import experiments
from rudderrock import protocol
from rudderrock import standins
from rudderrock import state

_LOSSES = (0.01, 0.05, 0.1, 0.2)
_WATCH_S = 600.0
_LIMIT = 200.0
_ASK_FACTOR = 3.0
_RUN_S = 60.0
_EVENT_AT_S = 20.0


def _make_deployment(hosts: int) -> standins.Deployment:
    return standins.Deployment(
        name='hosts',
        hosts=hosts,
        network=standins.Network(regions={'north': ['north-1', 'north-2']}),
        groups=[
            standins.Group(
                collection='members',
                services=1,
                servers=4,
                slots=16,
                connections=400,
                service_s=0.001,
            )
        ],
    )


async def _count_suspicions(hosts: int, loss: float) -> tuple[int, int]:
    """Return how many times hosts marked a peer as suspect and as failed."""
    async with standins.run_fleet(_make_deployment(hosts), hosts, 1) as fleet:
        fleet.peers.faults.lose = loss
        await asyncio.sleep(_WATCH_S)
        kinds = {'suspect': 0, 'failed': 0}
        for running in fleet.hosts.values():
            for event in running.host.event_ring.list_since(state.Stamp()):
                # The last word of the detail is the new state.
                word = event.detail.rpartition(' ')[2]
                if event.kind is state.EventKind.PEER_STATE and word in kinds:
                    kinds[word] += 1
        return kinds['suspect'], kinds['failed']


def measure_suspicion() -> None:
    """Print false suspicions by the fraction of lost messages."""
    for hosts in (7, 20):
        for loss in _LOSSES:
            suspected, failed = experiments.run_on_virtual_time(
                _count_suspicions(hosts, loss)
            )
            hours = hosts * _WATCH_S / 3600
            print(
                f'{hosts:>3} hosts, {100 * loss:2.0f} % lost: '
                f'{suspected / hours:7.1f} times marked as suspect '
                f'and {failed / hours:5.1f} as failed, per host and hour'
            )


async def _send_queries(fleet, admitted: list[float], choose_host) -> None:
    """Send queries at three times the limit.

    The time of sending of each query that was answered is added to
    `admitted`.
    """
    interval_s = 1.0 / (_LIMIT * _ASK_FACTOR)
    tasks = []

    async def send_query(host: str) -> None:
        began = fleet.clock.now()
        outcome = await fleet.query(host, 'desk', 'members')
        if isinstance(outcome, protocol.Answered):
            admitted.append(began)

    for number in range(round(_RUN_S / interval_s)):
        tasks.append(asyncio.create_task(send_query(choose_host(number))))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)


async def _measure_overshoot(hosts: int, event: str) -> tuple[float, float]:
    """Return the rate of answered queries as a multiple of the limit.

    The first figure is for the worst second, the second one the average.
    """
    async with standins.run_fleet(_make_deployment(hosts), hosts, 1) as fleet:
        edit = await fleet.set_row('desk', rate=_LIMIT, deadline_s=1.0)
        await fleet.wait_until_in_force(edit.revision)
        await asyncio.sleep(3.0)
        admitted: list[float] = []
        start = fleet.clock.now()
        event_at = start + _EVENT_AT_S

        def choose_host(number: int) -> str:
            after = fleet.clock.now() >= event_at
            # All queries go to h1, after the event all to h2.
            if event == 'load moves':
                return 'h2' if after else 'h1'
            live = hosts - 1 if event == 'host crashes' and after else hosts
            return f'h{1 + number % live}'

        load = asyncio.create_task(_send_queries(fleet, admitted, choose_host))
        await asyncio.sleep(_EVENT_AT_S)
        if event == 'host crashes':
            await fleet.crash_host(f'h{hosts}')
        elif event == 'network split':
            _partition_hosts(fleet, hosts)
        await load
        seconds = [int(at - start) for at in admitted]
        worst = max(seconds.count(each) for each in set(seconds))
        return worst / _LIMIT, len(admitted) / (_LIMIT * _RUN_S)


def _partition_hosts(fleet: standins.MemoryFleet, hosts: int) -> None:
    """Cut all messages between the two halves of the hosts."""
    addresses = [running.address for running in fleet.hosts.values()]
    for one in addresses[: hosts // 2]:
        for other in addresses[hosts // 2 :]:
            fleet.peers.faults.cut.add(frozenset({one, other}))


def measure_limits() -> None:
    """Print the overshoot of a limit by event."""
    for hosts in (3, 7):
        for event in (
            'nothing',
            'load moves',
            'host crashes',
            'network split',
        ):
            worst, overall = experiments.run_on_virtual_time(
                _measure_overshoot(hosts, event)
            )
            print(
                f'{hosts} hosts, {event:<13}: {worst:.2f} times the limit in '
                f'the worst second, {overall:.2f} over all'
            )


def main() -> None:
    """Run both measurements."""
    measure_suspicion()
    measure_limits()


if __name__ == '__main__':
    main()
