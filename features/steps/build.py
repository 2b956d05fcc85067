"""Steps that run the build of the deploy file in a small checkout."""

import os
import pathlib
import shutil
import subprocess
import tempfile
import tomllib

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from rudderrock import core

use_step_matcher('re')

# Installs an empty folder of libraries, or fails if `offline` exists.
_PYTHON = """#!/bin/sh
case "$2" in
pip) [ ! -e offline ] && mkdir -p target/deps ;;
esac
"""


@given(r'a checkout that has been built')
def build_checkout(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.checkout = pathlib.Path(folder) / 'checkout'
    shutil.copytree('deploy', context.checkout / 'deploy')
    package = context.checkout / 'rudderrock'
    package.mkdir()
    (package / '__init__.py').write_text('', encoding='ascii')
    context.source = package / 'program.py'
    context.source.write_text('VALUE = 1\n', encoding='ascii')
    write_libraries(context)
    python = pathlib.Path(folder) / 'bin' / 'python3'
    python.parent.mkdir()
    python.write_text(_PYTHON, encoding='ascii')
    python.chmod(0o755)
    context.path = f'{python.parent}:{os.environ["PATH"]}'
    assert run_build(context) == 0


def write_libraries(context):
    """Write the list of libraries, newer than all that was built."""
    listed = context.checkout / 'requirements.txt'
    listed.write_text('library==1\n', encoding='ascii')
    built = context.checkout / 'target' / 'deps'
    newest = built.stat().st_mtime if built.exists() else 0.0
    os.utime(listed, (newest + 1.0, newest + 1.0))


def run_build(context):
    """Run the build of the deploy file; return its exit code."""
    with (context.checkout / 'deploy' / 'system.toml').open('rb') as file:
        command = tomllib.load(file)['build']
    completed = subprocess.run(
        ['sh', '-c', command],
        cwd=context.checkout,
        env={'PATH': context.path},
        capture_output=True,
    )
    return completed.returncode


@when(r'the libraries change and cannot be installed')
def fail_to_install(context):
    write_libraries(context)
    (context.checkout / 'offline').touch()


@when(r'a source file changes')
def change_source(context):
    context.source.write_text('VALUE = 2\n', encoding='ascii')


@when(r'the checkout is built')
def build_again(context):
    assert run_build(context) == 0


@then(r'the build fails, and no program is left to start')
def check_failed_build(context):
    assert run_build(context) != 0
    assert not (context.checkout / 'target/deps/rudderrock').exists()


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
