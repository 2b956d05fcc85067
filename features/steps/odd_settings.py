"""Steps that start programs with odd settings files."""

import asyncio
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import threading

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import ends
from features.steps.common import run
from rudderrock import core
from rudderrock import platform
from rudderrock import state
from rudderrock.programs import _secrets as secrets

use_step_matcher('re')

_TIMEOUT_S = 20.0
# Address space of a program that reads without end.
_ADDRESS_SPACE_BYTES = 2_000_000_000
_ODD_ZONES = b''.join(b'zones.odd-%d=\xff\n' % number for number in range(100))
_ADDED_LINES = {
    'have a field that is not text': b'odd.field=\xff\xfe\n',
    'have a name that is not text': b'\xff\xfe\x80=1\n',
    'have a field with NUL bytes': b'odd.field=\x00\x00\n\x00\x00\n',
    'have a line of a million bytes': b'odd=' + b'x' * 1_000_000 + b'\n',
    'have a line without a value': b'odd\n=\n\n',
    'have optional fields that are empty': (
        b'limits.cpu_share=\nlimits.cores=\nbounds.quota_window_s=\n'
        b'seeds=\nlisten.control=\nzones.x=\nlimits.memory_mb=\n'
    ),
    'have optional fields that are not text': b'limits.cores=\xff\n',
    'have optional fields that are no numbers': b'limits.cpu_share=half\n',
    'have odd seeds': b'seeds=nonsense,10.0.0.1:99999\n',
    'have an odd control address': b'listen.control=10.0.0.1:99999\n',
    'have an unused field twice': b'odd.field=1\nodd.field=2\n',
    'have a field twice': b'bounds.grace_s=5\n',
    'have a hundred odd zones': _ODD_ZONES,
}
_EDITS = {
    'begin with a byte order mark': lambda raw: b'\xef\xbb\xbf' + raw,
    'have the line ends of Windows': lambda raw: raw.replace(b'\n', b'\r\n'),
}


@given(r'a gateway process whose settings ((?:begin|have) .+)')
def start_with_oddity(context, oddity):
    def add(raw):
        return raw + _ADDED_LINES[oddity]

    edit = _EDITS.get(oddity, add)
    run(context, ends.get_processes(context).start(1, edit))


@then(r'the gateway process listens')
def check_listening(context):
    processes = ends.get_processes(context)

    async def wait():
        listening = asyncio.ensure_future(processes.wait_until_listening(1))
        ended = asyncio.ensure_future(processes.running[1].wait())
        waiting = {listening, ended}
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            return listening.done()
        finally:
            for task in waiting:
                task.cancel()

    assert run(context, wait()), processes.read_log(1)


@then(r'it logs once that it ignores (\S+)')
def check_ignored_line(context, field):
    processes = ends.get_processes(context)
    found = processes.list_events(1, 'settings_ignored')
    assert 'Traceback' not in processes.read_log(1)
    if field == 'nothing':
        assert not found, found
        return
    (line,) = found
    assert line['problems'][0].startswith(f'{field} '), line
    assert line['count'] >= len(line['problems']), line
    assert len(str(line)) < 4096, line


@then(r'the ignored settings name "([^"]+)"')
def check_ignored(context, text):
    found = context.settings_file.ok_value.ignored
    assert any(text in problem for problem in found), found


@then(r'no setting is ignored')
def check_none_ignored(context):
    assert context.settings_file.ok_value.ignored == ()


@then(r'the settings are those without "([^"]+)"')
def check_default(context, field):
    raw = context.settings_path.read_bytes()
    kept = [
        line
        for line in raw.splitlines(keepends=True)
        if not line.startswith(f'{field}='.encode())
    ]
    context.settings_path.write_bytes(b''.join(kept))
    expected = platform.read_settings_file(context.settings_path).ok_value
    found = context.settings_file.ok_value
    assert found.settings == expected.settings, found


@given(r'the line "([^"]+)" at its end')
def add_line(context, line):
    with context.settings_path.open('a', encoding='ascii') as file:
        file.write(f'{line}\n')


@given(r'its bytes "([^"]+)" are "([^"]+)"')
def replace_bytes(context, old, new):
    raw = context.settings_path.read_bytes()
    written = new.encode().decode('unicode_escape').encode('latin-1')
    context.settings_path.write_bytes(raw.replace(old.encode(), written))


@then(r'the host has (\d+) cores')
def check_cores(context, count):
    settings = context.settings_file.ok_value.settings
    assert settings.cores == float(count), settings


@then(r'the seeds are (\S+)')
def check_seeds(context, seeds):
    found = context.settings_file.ok_value.settings.seeds
    expected = [] if seeds == 'none' else [core.split_address(seeds)]
    assert list(found) == expected, found


@then(r'the problem is one line that names the file and "([^"]+)"')
def check_problem_line(context, text):
    problem = context.settings_file.err_value
    assert problem.startswith(f'{context.settings_path}: '), problem
    assert text in problem, problem
    assert len(problem.splitlines()) == 1, problem


@given(r'the settings are (.+)')
def make_odd_file(context, kind):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'odd.conf'
    context.settings_path = path
    match kind:
        case 'a pipe':
            os.mkfifo(path)
        case 'a folder':
            path.mkdir()
        case 'a device without end':
            context.settings_path = pathlib.Path('/dev/zero')
        case '5 MB':
            path.write_bytes(b'# line\n' * 750_000)
        case 'bytes that are no text':
            path.write_bytes(b'\xff\xfe\x80\n')
        case 'nested too deeply':
            path.write_bytes(b'a = ' + b'[' * 100_000 + b'\n')
        case 'a number of 9,000 digits':
            path.write_bytes(b'a = ' + b'1' * 9_000 + b'\n')
        case 'empty':
            path.touch()


@when(r'"([^"]+)" is started with them')
def start_program(context, program):
    options = ['--config'] if program.endswith('gateway') else []
    words = [sys.executable, '-m', program, *options]
    limits = (_ADDRESS_SPACE_BYTES, _ADDRESS_SPACE_BYTES)
    context.completed = subprocess.run(
        [*words, str(context.settings_path)],
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_AS, limits),
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )


@then(r'it ends with code 2 and a message of one line that has "([^"]+)"')
def check_message(context, text):
    completed = context.completed
    assert completed.returncode == 2, completed
    (line,) = completed.stderr.splitlines()
    assert str(context.settings_path) in line, line
    assert text in line, line


@when(r'the settings file "([^"]+)" is read after a byte order mark')
def read_with_mark(context, name):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder) / 'entry.toml'
    raw = (pathlib.Path(__file__).parents[2] / name).read_bytes()
    path.write_bytes(b'\xef\xbb\xbf' + raw)
    context.settings = state.read_settings(path)


@when(r'a secret is read from their file')
def read_odd_secret(context):
    found = []

    def read():
        found.append(secrets.read_secret(str(context.settings_path)))

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    thread.join(_TIMEOUT_S)
    assert found, 'reading has not ended'
    context.message = found[0].err_value


@then(r'the message is one line that has "([^"]+)"')
def check_secret_message(context, text):
    assert text in context.message, context.message
    assert len(context.message.splitlines()) == 1, context.message


@given(r'a folder whose build id is not text')
def write_odd_build_id(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.package = pathlib.Path(folder)
    (context.package / 'build_id.txt').write_bytes(b'\xff')


@then(r'its build id is read as empty')
def check_odd_build_id(context):
    assert core.read_build_id(context.package) == ''
