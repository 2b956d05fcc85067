"""Steps that use real loopback sockets."""

import asyncio
import contextlib
import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import msgspec

from features.steps.common import run
from rudderrock import coordination
from rudderrock import frontend
from rudderrock import protocol
from rudderrock import standins
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _host_server as host_server
from rudderrock.programs import _runtime as runtime

use_step_matcher('re')

_SECRETS = frontend.Secrets(peer='peer secret', operator='operator secret')
_GROUP = standins.Group(collection='members', services=3, service_s=0.001)
_DEPLOYMENT = standins.Deployment(
    name='sockets',
    hosts=1,
    network=standins.Network(regions={'north': ['north-1']}),
    groups=[_GROUP],
)
_INTAKE_SETTINGS = state.IntakeSettings(
    max_body_bytes=2000,
    max_header_bytes=4000,
    head_timeout_s=0.3,
    body_timeout_s=0.3,
)


class _ExchangeControl:
    """An exchange without a deadline that the test can abort."""

    read_until = float('inf')

    def __init__(self):
        self.abort = None

    def set_abort(self, abort):
        self.abort = abort


class _DelayingUpstream:
    """A server that delays the answers to cancelled requests, or swaps all."""

    def __init__(self, swaps: bool):
        self._swaps = swaps
        self._writers = []
        self.address = ''

    async def open(self, stack):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        stack.push_async_callback(server.wait_closed)
        stack.callback(server.close)
        stack.push_async_callback(self._close_all)
        ip, port = server.sockets[0].getsockname()
        self.address = f'{ip}:{port}'

    async def _close_all(self):
        for writer in self._writers:
            writer.close()
        await asyncio.sleep(0.01)

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        held = None
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                request = await _read_request(reader)
                answer = _make_answer(request)
                if self._swaps:
                    # Send the answer to the previous request instead.
                    held, answer = answer, held or answer
                elif json.loads(request)['body'] == 'cancelled':
                    # Sent immediately before the next answer.
                    held = answer
                    continue
                elif held is not None:
                    writer.write(held)
                    held = None
                writer.write(answer)
                await writer.drain()


async def _read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return await reader.readexactly(length)


def _make_answer(request):
    sent = protocol.decode(protocol.ShardRequest, request).unwrap()
    body = protocol.encode(
        protocol.ShardAnswer(
            request_id=sent.request_id,
            shard=sent.shard,
            version=sent.version,
            hits=[
                protocol.Hit(id=sent.request_id, score=1.0, document=sent.body)
            ],
        )
    )
    return b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


@given('an upstream that answers late')
def start_late(context):
    start_upstream(context, swaps=False)


@given('an upstream that swaps answers')
def start_swapping(context):
    start_upstream(context, swaps=True)


def start_upstream(context, swaps):
    """Start the server and store it for later steps."""
    context.upstream = _DelayingUpstream(swaps)
    run(context, context.upstream.open(context.stack))


@given('connections are kept after unfinished exchanges')
def keep_connections(context):
    async def close(self):
        """Leave the connection open."""

    patch = mock.patch.object(transport.HttpConnection, 'close', close)
    context.stack.enter_context(patch)


@given('answers are not checked against their requests')
def skip_reply_check(context):
    patch = mock.patch(
        'rudderrock.transport._upstream.check_shard_reply',
        lambda request, reply: reply,
    )
    context.stack.enter_context(patch)


@when('20 requests are cancelled, each followed by another')
def send_after_cancelled(context):
    context.replies = run(context, _cancel_and_send(context.upstream.address))


@when('20 requests are sent')
def send_requests(context):
    async def send_all():
        connection = await _connect(context.upstream.address)
        return [await _send(connection, number) for number in range(20)]

    context.replies = run(context, send_all())


async def _cancel_and_send(address):
    connection = await _connect(address)
    replies = []
    for number in range(20):
        control = _ExchangeControl()
        first = _make_request(f'cancelled-{number}', 'cancelled')
        task = asyncio.create_task(connection.exchange(first, control))
        await asyncio.sleep(0.01)
        if not task.done():
            control.abort.reschedule(0.0)
        await task
        replies.append(await _send(connection, number))
    return replies


async def _connect(address):
    upstream = state.Upstream(upstream='u', address=address, zone='z')
    port = transport.HttpUpstreamPort(connect_timeout_s=5.0)
    return (await port.connect(upstream)).unwrap()


async def _send(connection, number):
    request = _make_request(f'wanted-{number}', 'wanted')
    return request, await connection.exchange(request, _ExchangeControl())


def _make_request(request_id, body):
    return protocol.ShardRequest(
        request_id=request_id,
        shard='s',
        version=1,
        body=msgspec.Raw(json.dumps(body).encode()),
        limit=1,
        deadline=4e9,
    )


def _list_mismatched(context):
    return [
        (request.request_id, reply.hits[0].id)
        for request, reply in context.replies
        if isinstance(reply, protocol.ShardAnswer)
        and reply.hits[0].id != request.request_id
    ]


@then("some request received another request's answer")
def check_mismatched(context):
    assert _list_mismatched(context), context.replies


@then("no request received another request's answer")
def check_matched(context):
    assert len(context.replies) == 20
    assert not _list_mismatched(context), _list_mismatched(context)


@given('a host over sockets in front of 3 services')
def start_host(context):
    run(context, _start_host(context))


async def _start_host(context):
    clock = runtime.make_system_clock()
    served = await context.stack.enter_async_context(
        standins.serve_standins(_DEPLOYMENT, clock, random.Random(1))
    )
    context.models = served.models
    layout = served.layout
    await standins.publish(served.kv, coordination.LAYOUT_KEY, layout)
    rng = random.Random(2)
    context.token = state.make_token('desk', rng)
    hashed = state.hash_token(context.token, rng)
    row = state.TeamRow(team='desk', token_hashes=(hashed,))
    table = state.Table(revision=1, rows={'desk': row})
    await standins.publish(served.kv, coordination.TABLE_KEY, table)
    settings = state.Settings(
        host=state.HostSettings(
            id='h1',
            zone='north-1',
            callers='127.0.0.1:0',
            control='127.0.0.1:0',
            seed=1,
        ),
        platform=state.PlatformSettings(kv=served.kv_address),
        intake=_INTAKE_SETTINGS,
    )
    opened = await context.stack.enter_async_context(
        host_server.open_host(settings, _SECRETS)
    )
    context.served = opened.unwrap()
    context.host = context.served.host
    task = asyncio.create_task(context.host.run())
    context.stack.push_async_callback(
        asyncio.gather, task, return_exceptions=True
    )
    context.stack.callback(task.cancel)
    links = context.host.dispatcher.list_links
    while not context.host.lifecycle.is_ready or any(
        link.state is not coordination.UpstreamState.UP for link in links()
    ):
        await asyncio.sleep(0.01)


@given('the upstreams close all idle connections')
def close_idle(context):
    """Simulate upstreams that close connections after an idle timeout."""

    async def close():
        for link in context.host.dispatcher.list_links():
            for idle in link._idle:
                socket = idle.connection._connection._socket
                socket.reader.feed_eof()

    run(context, close())


_VALID_QUERY = {'collection': 'members', 'body': 'x'}


@when('a caller sends a request that is (.+)')
def send_invalid(context, fault):
    body = json.dumps(_VALID_QUERY).encode()
    path = protocol.QUERY_PATH
    token = context.token
    length = None
    match fault:
        case 'without a token':
            token = None
        case 'with a wrong token':
            token = 'desk.' + 'ab' * 32
        case 'not JSON':
            body = b'{"collection": '
        case 'of a wrong type':
            body = json.dumps({**_VALID_QUERY, 'limit': 'ten'}).encode()
        case 'too large':
            body = json.dumps({**_VALID_QUERY, 'body': 'x' * 5000}).encode()
        case 'to no such place':
            path = '/v1/nothing'
        case 'for no collection':
            body = json.dumps({**_VALID_QUERY, 'collection': 'x'}).encode()
        case 'slow in its body':
            length = len(body) + 100
        case _:
            raise AssertionError(fault)
    send_http(context, 'POST', path, token, body, length)


@when('a caller sends a good query')
def send_valid(context):
    body = json.dumps(_VALID_QUERY).encode()
    send_http(context, 'POST', protocol.QUERY_PATH, context.token, body)


@when('the metrics are read without the operator secret')
def read_metrics(context):
    send_http(context, 'GET', frontend.METRICS_PATH, None, b'', control=True)


def send_http(context, method, path, token, body, length=None, control=False):
    """Send a request and store the raw reply in the context."""
    head = f'{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
    if token:
        head += f'authorization: Bearer {token}\r\n'
    head += f'content-length: {length or len(body)}\r\n\r\n'
    address = context.served.control if control else context.served.callers
    context.reply = run(context, _send_bytes(address, head.encode() + body))


async def _send_bytes(address, data):
    ip, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    async with asyncio.timeout(20):
        reply = await reader.read()
    writer.close()
    return reply


def _read_status(reply):
    return int(reply.split(b' ', 2)[1])


def _read_body(reply):
    return json.loads(reply.partition(b'\r\n\r\n')[2])


@when('a caller sends part of a request head and waits')
def send_partial_head(context):
    data = b'POST /v1/query HTTP/1.1\r\nhost: x\r\nx-slow: '
    context.reply = run(context, _send_bytes(context.served.callers, data))


@when('a caller sends a request head that is too long')
def send_long_head(context):
    data = b'POST /v1/query HTTP/1.1\r\n' + b'x-long: ' + b'y' * 8000
    context.reply = run(context, _send_bytes(context.served.callers, data))


@then(r'the connection is closed with status (\d+)')
def check_closed(context, status):
    assert _read_status(context.reply) == int(status), context.reply


@then(r'the reply has status (\d+) and reports that nothing ran')
def check_problem(context, status):
    assert _read_status(context.reply) == int(status), context.reply
    problem = _read_body(context.reply)
    assert problem['outcome'] == protocol.ExecutionStatus.NOT_RUN.value, (
        problem
    )
    assert problem['status'] == int(status), problem


@then(r'the reply covers all (\d+) shards')
def check_covers(context, shards):
    assert _read_status(context.reply) == 200, context.reply
    coverage = _read_body(context.reply)['coverage']
    assert coverage['answered'] == coverage['shards'] == int(shards)


@then('no request to an upstream was retried')
def check_no_retries(context):
    assert context.host.runner.counters.retries == 0
    assert sum(model.received for model in context.models.values()) == 3


@then(r'the metrics read with the operator secret contain "(.+)"')
def check_metrics(context, line):
    secret = _SECRETS.operator
    send_http(context, 'GET', frontend.METRICS_PATH, secret, b'', control=True)
    assert line.encode() in context.reply, context.reply
