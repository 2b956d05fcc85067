"""Steps for invalid values in the tier's own key-value service."""

import asyncio
import json

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import odd_values
from features.steps.common import run
from rudderrock import coordination
from rudderrock import protocol
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
_PROBE = {
    'digest': {
        'sender': {
            'host': 'h1',
            'zone': 'z',
            'control': '10.0.0.1:1',
            'incarnation': 1,
            'state': 'alive',
        },
        'stamp': {'wall': 1.0, 'count': 0},
        'table_revision': 1,
        'table_age_s': 1.0,
        'layout_revision': 1,
        'news': [],
        'demands': [{'host': 'h1', 'count': 1, 'rates': {'t': 1.0}}],
    }
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


@given(r'a host list over HTTP with a valid entry and one without a zone')
def serve_list(context):
    valid = {'host': 'h1', 'zone': 'z', 'control': '10.0.0.1:1'}
    body = json.dumps([{'host': 'h2', 'control': 'x'}, valid]).encode()
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head + body)
        await writer.drain()
        writer.close()

    async def serve():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        context.stack.push_async_callback(server.wait_closed)
        context.stack.callback(server.close)
        return '%s:%d' % server.sockets[0].getsockname()

    context.address = run(context, serve())


@when(r'the list is read')
def read_list(context):
    port = transport.HttpHostListPort(context.address, 5.0)
    context.outcome = run(context, port.list_hosts())


@then(r'it has the valid entry and a problem')
def check_listing(context):
    listing = context.outcome.unwrap()
    assert [each.host for each in listing.hosts] == ['h1'], listing
    assert len(listing.problems) == 1, listing


@given(r'the host list has an invalid entry')
def add_invalid_host(context):
    context.bench.fleet.host_list.problems = ('no zone',)


@given(r'a probe of a peer with "([^"]+)" replaced by (.+)')
def make_probe(context, path, value):
    text = _SPECIAL.get(value, value)
    context.raw = odd_values.replace_field(_PROBE, path, text)


@then(r"the probe can't be decoded")
def check_probe(context):
    valid = protocol.decode(protocol.Probe, json.dumps(_PROBE).encode())
    assert valid.is_ok(), valid
    outcome = protocol.decode(protocol.Probe, context.raw)
    assert outcome.is_err(), outcome
