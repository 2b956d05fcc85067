"""Steps that disturb the start, the run and the end of gateway processes."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import socket
import tempfile
import textwrap

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import ends
from features.steps.common import run
from rudderrock import platform

use_step_matcher('re')

_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
# A storm of one signal, as dense as one sender can make it.
_STORM_INTERVAL_S = 0.001
_HUGE_BYTES = 64 * 1024 * 1024
# Offset of the port from that of the callers.
_PORT_OFFSETS = {'callers': 0, 'readiness': 1, 'peers': 3}
# A module that is found before the real one, and waits.
_WAITING_MODULE = """
    import pathlib
    import sys
    import time

    here = pathlib.Path(__file__).parent
    (here / 'importing').touch()
    while not (here / 'go').exists():
        time.sleep(0.01)
    sys.path.remove(str(here))
    del sys.modules[__name__]
    import asyncio
"""
_MISSING_MODULE = """
    raise ModuleNotFoundError(f'No module named {__name__!r}', name=__name__)
"""
# Programs that start the gateway with a defect in one of its parts.
_RUN = """
    from rudderrock.programs import gateway as program
    program.main()
"""
_DEFECTS = {
    'a defect in the composition': """
        from rudderrock import gateway_root
        def make_gateway(*args):
            raise TypeError('composition')
        gateway_root.make_gateway = make_gateway
    """,
    'too little memory': """
        from rudderrock import gateway
        async def run(self):
            raise MemoryError
        gateway.GatewayProcess.run = run
    """,
    'an end without a cause': """
        from rudderrock import gateway
        async def run(self):
            return
        gateway.GatewayProcess.run = run
    """,
    'a cancelled main task': """
        import asyncio
        from rudderrock import gateway
        async def run(self):
            asyncio.current_task().cancel()
            await asyncio.sleep(1)
        gateway.GatewayProcess.run = run
    """,
    'a defect outside of the loop': """
        from rudderrock import core
        def run_loop(main):
            main.close()
            raise OSError('no descriptors')
        core.run_loop = run_loop
    """,
    'a defect in a callback of the loop': """
        import asyncio
        from rudderrock import gateway
        before = gateway.GatewayProcess.run
        async def run(self):
            asyncio.get_running_loop().call_later(0.1, lambda: 1 / 0)
            await before(self)
        gateway.GatewayProcess.run = run
    """,
    'a defect in a task that nobody awaits': """
        import asyncio
        from rudderrock import gateway
        before = gateway.GatewayProcess.run
        async def fail():
            1 / 0
        async def run(self):
            asyncio.create_task(fail())
            await before(self)
        gateway.GatewayProcess.run = run
    """,
    'a background task that fails, and without the library absl': """
        import sys
        from rudderrock import gateway
        sys.modules['absl'] = None
        async def run(self):
            1 / 0
        gateway.MemoryMonitor.run = run
    """,
    'a loop that is blocked after it has started': """
        import asyncio
        import os
        import pathlib
        import time
        from rudderrock import gateway
        here = pathlib.Path(os.environ['BLOCK_FOLDER'])
        before = gateway.GatewayProcess.run
        def block():
            (here / 'importing').touch()
            while not (here / 'go').exists():
                time.sleep(0.01)
        async def run(self):
            asyncio.get_running_loop().call_later(0.5, block)
            await before(self)
        gateway.GatewayProcess.run = run
    """,
}


def _make_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.stack.enter_context(folder))
    return context.folder


def _add_module(context, name, source):
    folder = _make_folder(context)
    (folder / f'{name}.py').write_text(textwrap.dedent(source))
    processes = ends.get_processes(context)
    processes.env = {'PYTHONPATH': str(folder)}
    return processes


def _choose_program(context, program):
    """Choose a daemon; the settings are invalid for an entry host."""
    processes = ends.get_processes(context)
    processes.command[-1] = f'rudderrock.programs.{program}'
    if program == 'entry':
        processes.path_option = []


async def _wait_for(condition, what):
    """Wait until a function returns something that is true; return it."""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            while not (found := condition()):
                await asyncio.sleep(_POLL_INTERVAL_S)
    except TimeoutError:
        raise AssertionError(what()) from None
    return found


def _start_with_defect(context, defect):
    processes = ends.get_processes(context)
    code = textwrap.dedent(_DEFECTS[defect]) + textwrap.dedent(_RUN)
    processes.command = [processes.command[0], '-c', code]
    run(context, processes.start(1))


@given(r'an? (gateway|entry) process that is importing its modules')
def start_waiting_import(context, program):
    processes = _add_module(context, 'asyncio', _WAITING_MODULE)
    _choose_program(context, program)
    run(context, processes.start(1))
    marker = context.folder / 'importing'
    run(context, _wait_for(marker.exists, lambda: processes.read_log(1)))


@when(r'its imports go on')
def release_import(context):
    # A signal is handled before the process that sends it goes on.
    (context.folder / 'go').touch()


@given(r'an? (gateway|entry) process whose library (\S+) is missing')
def start_without_library(context, program, library):
    _choose_program(context, program)
    processes = _add_module(context, library, _MISSING_MODULE)
    run(context, processes.start(1))


@given(r'a gateway process with (an? [^"]+|too little memory)')
def start_with_defect(context, defect):
    _start_with_defect(context, defect)


@given(r'a gateway process whose loop is blocked after it has started')
def start_blocked_loop(context):
    folder = _make_folder(context)
    processes = ends.get_processes(context)
    processes.env = {'BLOCK_FOLDER': str(folder)}
    _start_with_defect(context, 'a loop that is blocked after it has started')
    marker = folder / 'importing'
    run(context, _wait_for(marker.exists, lambda: processes.read_log(1)))


@when(r'it receives (\d+) SIGHUP and SIGTERM before its loop goes on')
def send_to_blocked_loop(context, count):
    process = ends.get_processes(context).running[1]

    async def send():
        for _ in range(int(count)):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_POLL_INTERVAL_S)

    run(context, send())
    (context.folder / 'go').touch()


@given(r'a grace of (\d+) s for a planned stop')
def set_grace(context, seconds):
    ends.get_processes(context).fields = {'stop_s': float(seconds)}


@given(r'an? (gateway|entry) process whose descriptors ([\d, ]+) are closed')
def start_without_descriptors(context, program, listed):
    processes = ends.get_processes(context)
    _choose_program(context, program)
    numbers = [int(number) for number in listed.split(',')]
    run(context, processes.start(1, prepare=_make_closer(numbers)))


@given(
    r'a gateway process without "([^"]+)" and with descriptors ([\d, ]+) '
    r'closed'
)
def start_invalid_without_descriptors(context, name, listed):
    processes = ends.get_processes(context)
    numbers = [int(number) for number in listed.split(',')]
    prefix = name.encode() + b'='
    run(
        context,
        processes.start(
            1,
            lambda raw: raw.replace(b'\n' + prefix, b'\nno-' + prefix),
            prepare=_make_closer(numbers),
        ),
    )


def _make_closer(numbers):
    def close():
        for number in numbers:
            os.close(number)

    return close


@given(r'a gateway process whose settings file is a FIFO')
def start_with_fifo(context):
    processes = ends.get_processes(context)
    path = processes.write_settings(1)

    def replace():
        path.unlink()
        os.mkfifo(path)

    run(context, processes.start(1, prepare=replace))


@given(
    r'another program that listens on the '
    r'(callers|readiness|peers|metrics) port of a gateway'
)
def occupy(context, purpose):
    processes = ends.get_processes(context)
    port = platform.METRICS_PORT
    if purpose != 'metrics':
        port = processes.get_port(1) + _PORT_OFFSETS[purpose]
    context.occupied = context.stack.enter_context(socket.socket())
    context.occupied.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    context.occupied.bind((processes.get_ip(1), port))
    context.occupied.listen()


@when(r'the other program ends')
def release_address(context):
    context.occupied.close()


@when(r'it receives SIGTERM, and (SIG\w+) again and again until it has ended')
def send_storm(context, name):
    process = ends.get_processes(context).running[1]

    async def send():
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_TIMEOUT_S):
            with contextlib.suppress(ProcessLookupError):
                while process.returncode is None:
                    # `send_signal` would take the exit code from the loop.
                    os.kill(process.pid, signal.Signals[name])
                    await asyncio.sleep(_STORM_INTERVAL_S)

    run(context, send())


@when(r'it receives (\d+) SIGHUP, one every (\d+) ms')
def send_series(context, count, interval_ms):
    process = ends.get_processes(context).running[1]

    async def send():
        for _ in range(int(count)):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(int(interval_ms) / 1000)

    started_at = context.loop.time()
    run(context, send())
    context.elapsed_s = context.loop.time() - started_at


@when(r'its settings file is (.+)')
def change_settings(context, state):
    path = ends.get_processes(context).write_settings(1)
    raw = path.read_bytes()
    path.unlink()
    match state:
        case 'missing':
            pass
        case 'half written':
            path.write_bytes(raw[: len(raw) // 2])
        case 'not UTF-8':
            path.write_bytes(raw + b'odd.field=\xff\xfe\n')
        case 'a directory':
            path.mkdir()
        case 'a FIFO':
            os.mkfifo(path)
        case 'huge':
            path.write_bytes(raw)
            os.truncate(path, _HUGE_BYTES)
        case _:
            raise AssertionError(state)


@then(r'it has logged at most one check of the settings a second')
def check_reload_count(context):
    processes = ends.get_processes(context)
    found = processes.list_events(1, 'reloaded')
    # One at the start of the first second, and one at the end of the last.
    assert 1 <= len(found) <= context.elapsed_s + 2, len(found)


@then(r'its "([^"]+)" line names a problem')
def check_problem(context, kind):
    processes = ends.get_processes(context)
    found = run(
        context,
        _wait_for(
            lambda: processes.list_events(1, kind),
            lambda: processes.read_log(1),
        ),
    )
    assert found[0]['problem'], found


@then(r'it has a "([^"]+)" line')
def check_kind(context, kind):
    processes = ends.get_processes(context)
    run(
        context,
        _wait_for(
            lambda: processes.list_events(1, kind),
            lambda: processes.read_log(1),
        ),
    )


@then(r'its "([^"]+)" line has "problem" with the machine\'s')
def check_machine(context, kind):
    ends.check_field(context, kind, 'problem', os.uname().machine)


@then(r'it answers readiness probes')
def check_listening(context):
    processes = ends.get_processes(context)

    async def wait():
        async with asyncio.timeout(_TIMEOUT_S):
            waiting = asyncio.create_task(processes.wait_until_listening(1))
            ending = asyncio.create_task(processes.running[1].wait())
            done, pending = await asyncio.wait(
                (waiting, ending), return_when=asyncio.FIRST_COMPLETED
            )
            for task in pending:
                task.cancel()
            code = processes.running[1].returncode
            assert waiting in done, (code, processes.read_log(1))

    run(context, wait())


@then(r'it ends with code 0 after SIGTERM')
def check_planned_stop(context):
    ends.send_signal(context, 'SIGTERM')
    ends.check_code(context, 0)


async def _read_metrics(context):
    ip = ends.get_processes(context).get_ip(1)
    reader, writer = await asyncio.open_connection(ip, platform.METRICS_PORT)
    try:
        writer.write(b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n')
        return (await reader.read()).decode()
    finally:
        writer.transport.abort()


@then(r'its metrics are answered')
def check_metrics(context):
    async def wait():
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                try:
                    return await _read_metrics(context)
                except OSError:
                    await asyncio.sleep(_POLL_INTERVAL_S)

    assert 'table_version' in run(context, wait())


@then(r'its metrics count log lines that were not written')
def check_unwritten(context):
    text = run(context, _read_metrics(context))
    found = re.search(r'log_lines_unwritten_total ([\d.]+)$', text, re.M)
    assert found and float(found[1]) > 0, text


@then(r'none of its descriptors 0, 1 and 2 is a socket or closed')
def check_descriptors(context):
    pid = ends.get_processes(context).running[1].pid
    for number in range(3):
        target = os.readlink(f'/proc/{pid}/fd/{number}')
        assert not target.startswith(('socket:', 'anon_inode:')), target
