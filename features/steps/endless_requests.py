"""Steps for requests that are larger than any that a gateway accepts."""

import asyncio
import contextlib

from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run

use_step_matcher('re')

_PORTION_BYTES = 64 * 1024
_SENT_BYTES = 26 * 1024 * 1024
_CHUNKED = 'Transfer-Encoding: chunked\r\n'
# The headers of the request, what follows its head, and what is repeated. The
# head has no end if nothing is to follow it.
_ENDLESS = {
    'header lines': ('', b'', b'a: b\r\n'),
    'a header value': ('a: ', b'', b'v'),
    'a chunk extension': (_CHUNKED, b'1;', b'e'),
    'trailers': (_CHUNKED, b'0\r\n', b'a: b\r\n'),
    'a trailer value': (_CHUNKED, b'0\r\na: ', b'v'),
    'chunk extensions': (_CHUNKED, b'1;e\r\na\r\n', b'1;eeee\r\na\r\n'),
    'chunks': (_CHUNKED, b'1\r\na\r\n', b'400\r\n' + b'b' * 1024 + b'\r\n'),
}


def _make_endless(context, name):
    """Return the first bytes of a request, and what is repeated."""
    if name == 'a target':
        return b'GET /notes/', b't'
    extra, start, piece = _ENDLESS[name]
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context), '/notes/1', method='POST', extra=extra
    )
    if not start:
        raw = raw.removesuffix(b'\r\n')
    return raw + start, piece


@when(r'a caller sends a request with (.*) without end')
def send_endless(context, name):
    first, piece = _make_endless(context, name)
    portion = piece * (_PORTION_BYTES // len(piece))

    async def send():
        caller = await gateway_steps.get(context).connect()
        replied = asyncio.create_task(caller.read())
        with contextlib.suppress(ConnectionError):
            await caller.send(first)
            while not replied.done() and context.sent_bytes < _SENT_BYTES:
                await caller.send(portion)
                context.sent_bytes += len(portion)
                await asyncio.sleep(0)
        reply = await replied
        caller.leave()
        return reply

    context.sent_bytes = 0
    context.reply = run(context, send())


@then(r'the caller has sent at most (\d+) MB')
def check_sent(context, megabytes):
    assert context.sent_bytes <= int(megabytes) * 1024**2, context.sent_bytes


@when(r'a caller sends a body of (\d+) bytes in chunks of one byte')
def send_small_chunks(context, count):
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context),
        '/notes/1',
        method='POST',
        extra=_CHUNKED,
    )
    chunks = b'1\r\nb\r\n' * int(count) + b'0\r\n\r\n'
    harness = gateway_steps.get(context)
    context.reply = run(context, harness.ask(raw + chunks))
