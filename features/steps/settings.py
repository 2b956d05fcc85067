"""Steps that read settings files and check the reference pages."""

import json
import pathlib
import tempfile
import tomllib

from behave import then
from behave import use_step_matcher
from behave import when
import result

from rudderrock import protocol
from rudderrock import state
from rudderrock.programs import _exits as exits
from rudderrock.programs import _settings_page as settings_page

use_step_matcher('re')

_ROOT = pathlib.Path(__file__).parent.parent.parent
_METRICS_SOURCES = (
    _ROOT / 'rudderrock/frontend/_control.py',
    _ROOT / 'rudderrock/coordination/_metrics.py',
)


@when(r'the settings file "([^"]+)" is read')
def read_file(context, path):
    context.settings = state.read_settings(_ROOT / path)


@when(r'the settings file "([^"]+)" is read with (\S+) = (.+)')
def read_changed(context, path, key, value):
    context.raw = tomllib.loads((_ROOT / path).read_text())
    set_value(context, key, value)


@when(r'with (\S+) = (.+) as well')
def set_value(context, key, value):
    part, _, name = key.partition('.')
    context.raw.setdefault(part, {})[name] = json.loads(value)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'entry.toml'
        lines = []
        for section, values in context.raw.items():
            lines.append(f'[{section}]')
            lines += [f'{k} = {json.dumps(v)}' for k, v in values.items()]
        path.write_text('\n'.join(lines))
        context.settings = state.read_settings(path)


@then('it is accepted')
def check_accepted(context):
    assert context.settings.is_ok(), context.settings


@then(r'it is rejected with a message that contains (.+)')
def check_message(context, words):
    match context.settings:
        case result.Err(message):
            for word in words.split(', '):
                assert word in message, message
        case result.Ok(settings):
            raise AssertionError(settings)


@then(r'"([^"]+)" is up to date')
def check_settings_page(context, path):
    assert (_ROOT / path).read_text() == settings_page.make_page()


def _check_named(path, words):
    text = (_ROOT / path).read_text()
    missing = [word for word in words if f'`{word}`' not in text]
    assert not missing, missing


@then(r'"([^"]+)" names every program, metric, event and exit code')
def check_operators_page(context, path):
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())
    words = list(project['project']['scripts'])
    words += [kind.value for kind in state.EventKind]
    words += [str(code.value) for code in exits.Exit]
    for source in _METRICS_SOURCES:
        names = source.read_text().split("'")
        words += [name for name in names if name.startswith('rudderrock_')]
    _check_named(path, words)


@then(
    r'"([^"]+)" names every refusal reason and every reason for a missing '
    r'shard'
)
def check_callers_page(context, path):
    words = [reason.value for reason in protocol.RefusalReason]
    words += [reason.value for reason in protocol.MissingReason]
    _check_named(path, words)
