"""Steps that run the build of the deploy file in a small checkout."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import core

use_step_matcher('re')

_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
# A Python whose `pip` installs a library of two modules, or fails if `offline`
# exists. A file `hang` holds a word of the call that does not return, and
# `abi` what another Python says of itself.
_PYTHON = f"""#!/bin/sh
echo "$PYTHONPATH $*" >> calls.txt
case "$*" in
"-m pip "*)
    [ ! -e offline ] || exit 1
    while [ "$1" != --target ]; do shift; done
    mkdir -p "$2/library"
    echo 'from library import _native' > "$2/library/__init__.py"
    [ "$(cat hang 2> /dev/null)" != pip ] || {{ touch hung; exec sleep 60; }}
    sed "s/library==/VALUE = /" requirements.txt > "$2/library/_native.py"
    echo >> installed.txt
    exit 0
    ;;
esac
if [ -e hang ]; then
    case "$*" in
    *"$(cat hang)"*) touch hung; exec sleep 60 ;;
    esac
fi
if [ -e abi ]; then
    case "$*" in
    *SOABI*) exec cat abi ;;
    esac
fi
exec {sys.executable} "$@"
"""
_PROGRAM = """import library

if __name__ == '__main__':
    print(library._native.VALUE)
"""


@given(r'a checkout that has been built')
def build_checkout(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.checkout = pathlib.Path(folder) / 'checkout'
    shutil.copytree('deploy', context.checkout / 'deploy')
    package = context.checkout / 'rudderrock'
    (package / 'programs').mkdir(parents=True)
    (package / '__init__.py').write_text('', encoding='ascii')
    (package / 'programs' / '__init__.py').write_text('', encoding='ascii')
    context.program = package / 'programs' / 'gateway.py'
    context.program.write_text(_PROGRAM, encoding='ascii')
    context.source = package / 'program.py'
    context.source.write_text('VALUE = 1\n', encoding='ascii')
    write_libraries(context, 1)
    python = pathlib.Path(folder) / 'bin' / 'python3'
    python.parent.mkdir()
    python.write_text(_PYTHON, encoding='ascii')
    python.chmod(0o755)
    context.path = f'{python.parent}:{os.environ["PATH"]}'
    build_again(context)
    context.libraries = context.checkout / 'target' / 'deps'


def write_libraries(context, version):
    """Write the list of libraries, newer than all that was built."""
    listed = context.checkout / 'requirements.txt'
    listed.write_text(f'library=={version}\n', encoding='ascii')
    built = context.checkout / 'target' / 'deps'
    newest = built.stat().st_mtime if built.exists() else 0.0
    os.utime(listed, (newest + 1.0, newest + 1.0))


def read_deploy_file(context):
    """Return the deploy file of the checkout."""
    with (context.checkout / 'deploy' / 'system.toml').open('rb') as file:
        return tomllib.load(file)


def run_build(context):
    """Run the build of the deploy file; return its exit code and output."""
    completed = subprocess.run(
        ['sh', '-c', read_deploy_file(context)['build']],
        cwd=context.checkout,
        env={'PATH': context.path},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    return completed.returncode, completed.stdout


@when(r'the libraries change')
def change_libraries(context):
    write_libraries(context, 2)


@when(r'the libraries change and cannot be installed')
def fail_to_install(context):
    write_libraries(context, 2)
    make_offline(context)


@when(r'no library can be installed')
def make_offline(context):
    (context.checkout / 'offline').touch()


@when(r'the libraries change and no time stamp does')
def change_libraries_only(context):
    listed = context.checkout / 'requirements.txt'
    before = listed.stat()
    write_libraries(context, 2)
    os.utime(listed, ns=(before.st_atime_ns, before.st_mtime_ns))


@when(r'the build folder is of another (architecture|Python)')
def carry_folder(context, kind):
    described = context.checkout / 'abi'
    other = {
        'architecture': 'other cpython-311-other-linux-gnu',
        'Python': f'{os.uname().machine} cpython-399-linux-gnu',
    }
    described.write_text(f'{other[kind]}\n', encoding='ascii')
    shutil.rmtree(context.libraries)
    build_again(context)
    described.unlink()
    (context.checkout / 'installed.txt').write_text('\n', encoding='ascii')


@when(r'the build folder lacks a library')
def remove_library(context):
    shutil.rmtree(context.libraries / 'library')
    renew_time_stamp(context)


@when(r'the build folder lacks a compiled module')
def remove_module(context):
    module = context.libraries / 'library' / '_native.py'
    module.rename(module.with_name('_native.cpython-311-other.so'))
    renew_time_stamp(context)


@when(r'the build folder has a damaged library')
def damage_library(context):
    module = context.libraries / 'library' / '_native.py'
    before = module.stat()
    module.write_bytes(b'\x00' * before.st_size)
    os.utime(module, ns=(before.st_atime_ns, before.st_mtime_ns))


@when(r'the build folder has the library of an earlier one')
def replace_library(context):
    module = context.libraries / 'library' / '_native.py'
    module.write_text('VALUE = 0\n', encoding='ascii')
    renew_time_stamp(context)


@when(r'the build folder has no stamp')
def remove_stamp(context):
    for path in context.libraries.iterdir():
        if path.is_file():
            path.unlink()
    renew_time_stamp(context)


@when(r'the build folder is empty( and read-only)?')
def empty_folder(context, is_read_only):
    shutil.rmtree(context.libraries)
    context.libraries.mkdir(mode=0o555 if is_read_only else 0o755)
    renew_time_stamp(context)


@when(r'the build folder is a file')
def replace_folder(context):
    shutil.rmtree(context.libraries)
    context.libraries.touch()
    renew_time_stamp(context)


@when(r'the build folder is copied to a new place')
def copy_folder(context):
    copied = context.checkout / 'copied'
    shutil.copytree(context.libraries, copied, copy_function=shutil.copyfile)
    shutil.rmtree(context.libraries)
    copied.rename(context.libraries)


@when(r'the build folder is read-only')
def protect_folder(context):
    for path in [context.libraries, *context.libraries.rglob('*')]:
        path.chmod(path.stat().st_mode & ~0o222)


@when(r'the program is one of other sources')
def replace_program(context):
    program = context.libraries / 'rudderrock' / 'programs' / 'gateway.py'
    program.write_text('import absent\n', encoding='ascii')
    (program.parent / 'absent.py').touch()


@when(r'the sources have modules of an earlier state')
def compile_earlier_sources(context):
    text = context.program.read_text(encoding='ascii')
    wrong = 'import absent'.ljust(len(text))
    context.program.write_text(wrong, encoding='ascii')
    subprocess.run(
        [
            *(sys.executable, '-m', 'compileall', '-q'),
            *('--invalidation-mode', 'unchecked-hash'),
            context.program,
        ],
        check=True,
    )
    context.program.write_text(text, encoding='ascii')


@when(r'the list of libraries has a newer time stamp')
def renew_list(context):
    write_libraries(context, 1)


def renew_time_stamp(context):
    """Make the build folder newer than the list of libraries."""
    listed = context.checkout / 'requirements.txt'
    newest = listed.stat().st_mtime + 1.0
    os.utime(context.libraries, (newest, newest))


@when(r'a build is killed while the libraries are installed')
def kill_install(context):
    kill_build(context, 'pip')


@when(r'a build is killed while the program is compiled')
def kill_compilation(context):
    kill_build(context, 'compileall')


@when(r'a build is killed while the program is tried')
def kill_trial(context):
    kill_build(context, 'rudderrock.programs.gateway')


def kill_build(context, word):
    """Kill a build in the call of Python that contains `word`."""
    hang = context.checkout / 'hang'
    hang.write_text(f'{word}\n', encoding='ascii')
    with subprocess.Popen(
        ['sh', '-c', read_deploy_file(context)['build']],
        cwd=context.checkout,
        env={'PATH': context.path},
        start_new_session=True,
    ) as process:
        deadline = time.monotonic() + _TIMEOUT_S
        while not (context.checkout / 'hung').exists():
            assert process.poll() is None, 'the build ended'
            assert time.monotonic() < deadline, 'the build went on'
            time.sleep(_POLL_INTERVAL_S)
        os.killpg(process.pid, signal.SIGKILL)
    hang.unlink()


@when(r'the program uses a library that is not listed')
def import_unlisted(context):
    context.program.write_text('import absent\n', encoding='ascii')


@when(r'a source file changes')
def change_source(context):
    context.source.write_text('VALUE = 2\n', encoding='ascii')


@step(r'the checkout is built')
def build_again(context):
    code, output = run_build(context)
    assert code == 0, output


@then(r'the build fails, and no program is left to start')
def check_failed_build(context):
    code, output = run_build(context)
    assert code != 0, output
    check_no_program(context)


@then(r'no program is left to start')
def check_no_program(context):
    assert not (context.checkout / 'target/deps/rudderrock').exists()


@then(r'the program starts')
def check_start(context):
    words = read_deploy_file(context)['roles']['entry']['run'].split()
    completed = subprocess.run(
        words,
        cwd=context.checkout,
        env={'PATH': context.path, 'PYTHONPATH': 'target/deps'},
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stderr
    listed = (context.checkout / 'requirements.txt').read_text()
    assert listed.strip() == f'library=={completed.stdout.strip()}'


@then(r'the libraries have been installed (\d+) times?')
def check_installs(context, count):
    installed = (context.checkout / 'installed.txt').read_text()
    assert installed.count('\n') == int(count), installed


@then(r'the program was tried with the options and the path of a run')
def check_trial(context):
    words = read_deploy_file(context)['roles']['entry']['run'].split()
    options = ' '.join(words[1 : words.index('-m')])
    calls = (context.checkout / 'calls.txt').read_text().splitlines()
    found = [
        call for call in calls if f' {options} -m {words[-1]} --help' in call
    ]
    assert found, calls
    for call in found:
        assert f'{context.libraries} ' in call, call


@then(r"the program's build id is (not )?that of the sources")
def check_build_id(context, differs):
    printed = subprocess.run(
        ['sh', str(context.checkout / 'deploy' / 'build_id.sh')],
        capture_output=True,
        text=True,
        check=True,
    )
    built = core.read_build_id(context.checkout / 'target/deps/rudderrock')
    assert len(built) == 12, built
    assert (built != printed.stdout.strip()) == bool(differs), built
