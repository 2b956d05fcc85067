"""Steps for replies that are larger than any that a client accepts."""

import asyncio
import contextlib
import socket
import tracemalloc

import async_solipsism
from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import result

from features.steps.common import run
from rudderrock import gateway
from rudderrock import transport

use_step_matcher('re')

_ADDRESS = ('10.9.0.1', 9000)
_PORTION_BYTES = 64 * 1024
# Kernel buffer of the server's side, so that hardly any bytes count as sent
# that the client has not been given.
_SEND_BUFFER_BYTES = 64 * 1024
# What a server sends at most; a client that reads all of it reads on.
_SENT_BYTES = 26 * 1024 * 1024
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'transfer-encoding: chunked\r\n\r\n'
_ID_HEADER = gateway.HeaderNames().request_id
_OTHER_ID = _OK + _ID_HEADER + b': other\r\n'
_LATE = _OTHER_ID + b'content-length: %d\r\n\r\n'
_EXTENSION = b'1;' + b'e' * 1024 + b'\r\na\r\n'
# What precedes the endless bytes, and what is repeated.
_ENDLESS = {
    'header lines': (_OK, b'a: b\r\n'),
    'a header name': (_OK, b'n'),
    'a header value': (_OK + b'a: ', b'v'),
    'a reason phrase': (b'HTTP/1.1 200 ', b'r'),
    'interim replies': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'a chunk extension': (_CHUNKED + b'1;', b'e'),
    'trailers': (_CHUNKED + b'0\r\n', b'a: b\r\n'),
    'a trailer value': (_CHUNKED + b'0\r\na: ', b'v'),
    'empty replies with another id': (b'', _LATE % 0),
    'replies with another id': (b'', _LATE % 1024 + b'b' * 1024),
    'chunk extensions': (_CHUNKED, _EXTENSION),
    'small chunks': (_CHUNKED, b'2\r\nab\r\n'),
    'chunks': (_CHUNKED, b'400\r\n' + b'b' * 1024 + b'\r\n'),
    'a body that ends with the connection': (_OK + b'\r\n', b'b'),
}
_EMPTY = _OK + b'content-length: 0\r\n\r\n'
_MB = 1024 * 1024
_WHOLE = {
    'part stamps of 1700 shards': (
        _OK
        + b'x-part-stamps: '
        + b', '.join([b'3e1b.07.5a2.600.0.c9f2a4d1'] * 1700)
        + b'\r\ncontent-length: 0\r\n\r\n'
    ),
    'a body of 8 MB': (
        _OK + b'content-length: %d\r\n\r\n' % (8 * _MB) + b'b' * 8 * _MB
    ),
    'a body of 1 MB in chunks of 100 bytes': (
        _CHUNKED
        + (b'64\r\n' + b'b' * 100 + b'\r\n') * (_MB // 100)
        + b'0\r\n\r\n'
    ),
    '1000 interim replies before the reply': (
        b'HTTP/1.1 102 Processing\r\n\r\n' * 1000 + _EMPTY
    ),
    'a late reply of 7 MB before the reply': (
        _LATE % (7 * _MB) + b'b' * 7 * _MB + _EMPTY
    ),
}


@given(r'a server that answers with (.*) without end')
def start_endless(context, name):
    prefix, piece = _ENDLESS[name]
    portion = piece * (_PORTION_BYTES // len(piece))
    count = _SENT_BYTES // len(portion)
    run(context, _start(context, [prefix] + [portion] * count))


@given(r'a server that answers with (?!.*without end)(.*)')
def start_whole(context, name):
    raw = _WHOLE[name]
    portions = [
        raw[start : start + _PORTION_BYTES]
        for start in range(0, len(raw), _PORTION_BYTES)
    ]
    run(context, _start(context, portions))


async def _start(context, portions):
    context.sent_bytes = 0
    is_virtual = isinstance(context.loop, async_solipsism.EventLoop)

    async def answer(reader, writer):
        if not is_virtual:
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
            )
        with contextlib.suppress(OSError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            for portion in portions:
                writer.write(portion)
                await writer.drain()
                context.sent_bytes += len(portion)
            await reader.read()
        writer.transport.abort()
        # The client has reset the connection if it has not read everything.
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    address = _ADDRESS if is_virtual else ('127.0.0.1', 0)
    server = await asyncio.start_server(answer, *address)
    context.stack.callback(server.close)
    if not is_virtual:
        address = server.sockets[0].getsockname()
    context.server_address = address


@when(r'(a gateway|an entry host) calls it with a timeout of (\d+) seconds')
def call(context, client, seconds):
    async def measure():
        tracemalloc.start()
        try:
            async with asyncio.timeout(float(seconds)):
                context.reply = await _call(
                    client, context.server_address, float(seconds)
                )
        except TimeoutError:
            context.reply = None
        _, context.peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        # The connection ends.
        await asyncio.sleep(1.0)

    began = context.loop.time()
    run(context, measure())
    context.elapsed_s = context.loop.time() - began - 1.0
    context.timeout_s = float(seconds)


async def _call(client, address, timeout_s):
    if client == 'an entry host':
        connection = transport.HttpConnection('%s:%d' % address)
        try:
            return await connection.post('/', b'')
        finally:
            await connection.close()
    caller = gateway.HttpClient(address)
    try:
        return await caller.call(b'GET', b'/', b'', timeout_s)
    finally:
        caller.close()


@then(r'the call (fails|ends) before that')
def check_ended(context, outcome):
    assert context.elapsed_s < context.timeout_s, context.elapsed_s
    assert context.reply is not None
    if outcome == 'fails':
        assert isinstance(context.reply, result.Err), context.reply


@then(r'the call succeeds')
def check_succeeded(context):
    assert isinstance(context.reply, result.Ok), context.reply


@then(r'at most (\d+) KB were read, and at most (\d+) MB of memory used')
def check_use(context, kilobytes, megabytes):
    assert context.sent_bytes <= 1024 * int(kilobytes), context.sent_bytes
    assert context.peak_bytes <= int(megabytes) * _MB, context.peak_bytes
