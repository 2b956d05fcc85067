"""Cost and latency of the control plane over loopback sockets.

Runs seven idle hosts, each in its own process, and the stand-ins in the main
process. Prints the processor time and memory of a host, and the time until
an edit is in force on all hosts. The latter is also measured with the
key-value service going down as soon as it has accepted the edit.
"""

import asyncio
import multiprocessing
import random
import resource
import time

from rudderrock import coordination
from rudderrock import frontend
from rudderrock import standins
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _logs as logs
from rudderrock.programs import _operator_client as operator_client
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _host_server as host_server

_HOSTS = 7
_SECRETS = frontend.Secrets(
    peer='benchmark peer', operator='benchmark operator'
)
_IDLE_S = 20.0
_EDITS = 100
_OUTAGE_EDITS = 20
_POLL_S = 0.002
_DEPLOYMENT = standins.Deployment(
    name='control',
    hosts=_HOSTS,
    network=standins.Network(regions={'north': ['north-1', 'north-2']}),
    groups=[standins.Group(collection='members', services=1)],
)


def _serve_host(pipe, number: int, kv: str, host_list: str) -> None:
    """Serve one host until the message 'end' arrives on the pipe.

    Any other message is answered with the processor time and the memory.
    """
    logs.set_up_logs('error')

    async def serve() -> None:
        settings = state.Settings(
            host=state.HostSettings(
                id=f'h{number}',
                zone=f'north-{1 + number % 2}',
                callers='127.0.0.1:0',
                control=f'127.0.0.1:{7400 + number}',
            ),
            platform=state.PlatformSettings(kv=kv, host_list=host_list),
        )
        async with host_server.open_host(settings, _SECRETS) as opened:
            served = opened.unwrap()
            running = asyncio.create_task(served.host.run())
            loop = asyncio.get_running_loop()
            while await loop.run_in_executor(None, pipe.recv) != 'end':
                used = resource.getrusage(resource.RUSAGE_SELF)
                pipe.send((time.process_time(), used.ru_maxrss))
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    asyncio.run(serve())


def _request_usage(pipes) -> list[tuple[float, int]]:
    for pipe in pipes:
        pipe.send('use')
    return [pipe.recv() for pipe in pipes]


async def _edit(editor, client, controls, weight: float) -> float:
    """Make one edit and return the seconds until it is in force on all hosts.

    The time starts when the edit has been accepted.
    """
    table = (await editor.read()).unwrap()
    base = table.rows.get('desk')
    change = state.Change(
        edit_id=editor.make_edit_id(),
        author='benchmark',
        team='desk',
        base=base,
        row=state.TeamRow(team='desk', weight=weight),
    )
    outcome = await editor.edit(change, 5.0)
    revision = outcome.edit.revision
    return await _wait(client, controls, revision)


async def _wait(client, controls, revision) -> float:
    began = time.monotonic()
    while True:
        replies = await client.get_all_status(controls)
        if all(
            reply and reply.table_revision >= revision
            for reply in replies.values()
        ):
            return time.monotonic() - began
        await asyncio.sleep(_POLL_S)


async def _measure(context) -> None:
    clock = runtime.make_system_clock()
    async with standins.serve_standins(
        _DEPLOYMENT, clock, random.Random(1)
    ) as served:
        kv = served.kv
        await standins.publish(kv, coordination.LAYOUT_KEY, served.layout)
        first = state.Table(revision=1)
        await standins.publish(kv, coordination.TABLE_KEY, first)
        pipes = []
        processes = []
        for number in range(_HOSTS):
            ours, theirs = context.Pipe()
            process = context.Process(
                target=_serve_host,
                args=(
                    theirs,
                    number,
                    served.kv_address,
                    served.host_list_address,
                ),
                daemon=True,
            )
            process.start()
            pipes.append(ours)
            processes.append(process)
            served.host_list.hosts.append(
                transport.ListedHost(
                    host=f'h{number}',
                    zone=f'north-{1 + number % 2}',
                    control=f'127.0.0.1:{7400 + number}',
                )
            )
        await _report(served, pipes)
        for pipe, process in zip(pipes, processes, strict=True):
            pipe.send('end')
            process.join(5)


async def _report(served, pipes) -> None:
    client = operator_client.OperatorClient(_SECRETS.operator)
    controls = [f'127.0.0.1:{7400 + number}' for number in range(_HOSTS)]
    await _wait(client, controls, 1)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(5.0)
    before = await loop.run_in_executor(None, _request_usage, pipes)
    await asyncio.sleep(_IDLE_S)
    after = await loop.run_in_executor(None, _request_usage, pipes)
    cpu_fractions = [
        (late[0] - early[0]) / _IDLE_S
        for early, late in zip(before, after, strict=True)
    ]
    print(
        f'{_HOSTS} idle hosts over HTTP: {100 * max(cpu_fractions):.2f} % '
        f'of a core at most, {max(each[1] for each in after) / 1000:.0f} MB '
        'at most for a whole process'
    )
    editor = coordination.TableEditor(
        served.kv, runtime.make_system_clock(), random.Random(1)
    )
    times = sorted(
        [
            await _edit(editor, client, controls, 1 + number % 50)
            for number in range(_EDITS)
        ]
    )
    print(
        f'edit to in force on {_HOSTS} hosts: median '
        f'{1000 * times[len(times) // 2]:.0f} ms, 99 % '
        f'{1000 * times[int(len(times) * 0.99)]:.0f} ms of {_EDITS}'
    )
    await _report_edits_before_outage(served, editor, client, controls)


async def _report_edits_before_outage(
    served, editor, client, controls
) -> None:
    """Measure edits after which the key-value service goes down."""
    times = []
    for number in range(_OUTAGE_EDITS):
        began = time.monotonic()
        edit = asyncio.create_task(
            _edit(editor, client, controls, 60 + number)
        )
        revision = (await editor.read()).unwrap().revision
        while served.kv.faults.down is False:
            data = await served.kv.get(coordination.TABLE_KEY)
            read = coordination.read_table(data.unwrap().value).unwrap()
            if read.revision > revision:
                await served.kv.set_down(True)
        await edit
        times.append(time.monotonic() - began)
        await served.kv.set_down(False)
        await asyncio.sleep(2.0)
    times.sort()
    print(
        'from sending an edit to in force when the key-value service goes '
        f'down after accepting it: median '
        f'{1000 * times[len(times) // 2]:.0f} ms, longest '
        f'{1000 * times[-1]:.0f} ms of {_OUTAGE_EDITS}'
    )


def main() -> None:
    """Run the benchmark, with each host in a child process."""
    context = multiprocessing.get_context('spawn')
    asyncio.run(_measure(context))


if __name__ == '__main__':
    main()
