"""Steps for invalid values in the tier's own key-value service."""

import json

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import odd_values
from features.steps.common import run
from rudderrock import coordination
from rudderrock import transport

use_step_matcher('re')

_VALID = {
    'table': {'revision': 1, 'rows': {'t': {'team': 't'}}},
    'layout': {
        'revision': 1,
        'upstreams': {
            'u': {'upstream': 'u', 'address': '10.0.0.1:1', 'zone': 'z'}
        },
        'collections': {
            'c': {
                'collection': 'c',
                'placements': [{'version': 1, 'shards': {'s': ['u']}}],
            }
        },
    },
}
_READERS = {
    'table': coordination.read_table,
    'layout': coordination.read_layout,
}
_SPECIAL = {
    'NESTED': odd_values.NESTED.decode(),
    'DIGITS': '9' * 5000,
    'LARGE': '"' + 'a' * 1_000_000 + '"',
}
_MAX_REASON = 1100


@given(r'a valid (table|layout)(?: with its "([^"]+)" replaced by (.+))?')
def make_value(context, kind, path, value):
    context.raw = json.dumps(_VALID[kind]).encode()
    if path is not None:
        text = _SPECIAL.get(value, value)
        context.raw = odd_values.replace_field(_VALID[kind], path, text)


@then(r'the (table|layout) is rejected')
def check_rejected(context, kind):
    outcome = _READERS[kind](context.raw)
    assert outcome.is_err(), outcome
    assert 0 < len(outcome.err_value) < _MAX_REASON, outcome.err_value


@then(r'the (table|layout) is decoded')
def check_decoded(context, kind):
    outcome = _READERS[kind](context.raw)
    assert outcome.is_ok(), outcome


@when(r'a connection is opened to "([^"]+)"')
def open_connection(context, address):
    connection = transport.HttpConnection(address, connect_timeout_s=1.0)

    async def connect():
        try:
            return await connection.open()
        finally:
            await connection.close()

    context.outcome = run(context, connect())


@then(r'it fails with a reason')
def check_failed(context):
    assert context.outcome.is_err(), context.outcome
    assert context.outcome.err_value.detail
