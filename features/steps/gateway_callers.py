"""Steps for callers of a gateway: what they send and when they read."""

import asyncio
from unittest import mock

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import gateway

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'


def send(context, path, **shape):
    """Send a request, and store its reply for later steps."""
    raw = gateway_bench.make_raw(gateway_steps.next_id(context), path, **shape)
    context.reply = run(context, gateway_steps.get(context).ask(raw))


@when(r'a caller sends GET "([^"]+)"')
def send_get(context, path):
    send(context, path)


@when(r'a caller sends GET "([^"]+)" to the host "([^"]+)"')
def send_get_host(context, path, host):
    send(context, path, host=host)


@when(r'a caller sends GET "([^"]+)" with a deadline of ' + _SECONDS)
def send_get_deadline(context, path, seconds):
    send(context, path, deadline_ms=round(float(seconds) * 1000))


@when(
    r'a caller sends GET "([^"]+)" with the header "([^"]+)" '
    r'and the header "([^"]+)"'
)
def send_get_headers(context, path, first, second):
    send(context, path, extra=f'{first}\r\n{second}\r\n')


@when(r'a caller sends POST "([^"]+)" with the body "([^"]+)"')
def send_post(context, path, body):
    send(context, path, method='POST', body=body.encode())


@when(
    r'a caller sends POST "([^"]+)" with the body "([^"]+)" '
    r'and the header "([^"]+)"'
)
def send_post_header(context, path, body, header):
    send(
        context,
        path,
        method='POST',
        body=body.encode(),
        extra=f'{header}\r\n',
    )


@when(r'a caller sends POST "([^"]+)" in the chunks "([^"]+)" and "([^"]+)"')
def send_post_in_chunks(context, path, first, second):
    head = gateway_bench.make_raw(
        gateway_steps.next_id(context),
        path,
        method='POST',
        extra='Transfer-Encoding: chunked\r\n',
    )
    body = ''.join(
        f'{len(piece):x}\r\n{piece}\r\n' for piece in (first, second)
    )
    raw = head + body.encode() + b'0\r\n\r\n'
    context.reply = run(context, gateway_steps.get(context).ask(raw))


@when(
    r'a caller sends GET "([^"]+)" with a deadline of '
    + _SECONDS
    + ' and disconnects after '
    + _SECONDS
)
def send_and_disconnect(context, path, deadline, seconds):
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context),
        path,
        deadline_ms=round(float(deadline) * 1000),
    )

    async def send_then_disconnect():
        caller = await gateway_steps.get(context).connect()
        await caller.send(raw)
        await asyncio.sleep(float(seconds))
        caller.leave()

    run(context, send_then_disconnect())


@when(r'(\d+) requests for "([^"]+)" are sent at (\d+) a second')
def send_many(context, count, path, rate):
    seconds = int(count) / float(rate)
    harness = gateway_steps.get(context)
    context.replies = run(
        context, harness.ask_at_rate(path, float(rate), seconds)
    )


@when(
    r'requests for "([^"]+)" are sent at (\d+) a second for (\d+) seconds '
    r'while (\d+) new shards replace the old'
)
def send_during_shard_change(context, path, rate, seconds, count):
    harness = gateway_steps.get(context)
    old = len(context.shards)
    new = gateway_steps.add_shards(context, int(count), first=old)
    context.new_shards = new

    async def send_and_replace_shards():
        requests = asyncio.create_task(
            harness.ask_at_rate(path, float(rate), float(seconds))
        )
        await asyncio.sleep(float(seconds) / 2)
        harness.add_route('/all/', gateway.Scatter(tuple(new), 5, 0.5))
        harness.publish()
        await asyncio.sleep(2.0)
        for name in list(harness.source.endpoints):
            if name.rsplit('-', 1)[0] in context.shards:
                harness.source.remove_endpoint(name)
        return await requests

    context.replies = run(context, send_and_replace_shards())


@when(r'a caller sends a long head')
def send_long_head(context):
    send(context, '/notes/1', method='POST', extra=f'X-A: {"a" * 400}\r\n')


@when(r'a caller sends a long body')
def send_long_body(context):
    send(context, '/notes/1', method='POST', body=b'b' * 200)


@when(r'a caller sends a head too slow')
def send_slow_head(context):
    context.reply = run(
        context, gateway_steps.get(context).ask(b'GET /notes/1 HTT')
    )


@when(r'a caller sends what is not HTTP')
def send_non_http(context):
    context.reply = run(
        context,
        gateway_steps.get(context).ask(b'\x01\x02\x03\r\n\r\n'),
    )


_AMBIGUOUS_LENGTHS = {
    'two lengths': 'Content-Length: 3\r\nContent-Length: 6\r\n',
    'a length and chunks': (
        'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
    ),
    'a length that is odd': 'Content-Length: +3\r\n',
}


@when(r'a caller sends a request with (two lengths|a length .+)')
def send_ambiguous_length(context, what):
    head = gateway_bench.make_raw(
        gateway_steps.next_id(context),
        '/notes/1',
        method='POST',
        extra=_AMBIGUOUS_LENGTHS[what],
    )
    context.reply = run(
        context, gateway_steps.get(context).ask(head + b'0\r\n\r\n')
    )


@when(r'a caller sends a request without an id')
def send_without_id(context):
    raw = f'GET /notes/1 HTTP/1.1\r\nHost: {gateway_bench.HOST}\r\n\r\n'
    context.reply = run(context, gateway_steps.get(context).ask(raw.encode()))


@when(r'a caller pipelines (\d+) requests for "([^"]+)"')
def send_pipelined(context, count, path):
    context.sent_ids = [
        gateway_steps.next_id(context) for _ in range(int(count))
    ]
    raw = b''.join(
        gateway_bench.make_raw(each, path) for each in context.sent_ids
    )

    async def send_and_read():
        caller = await gateway_steps.get(context).connect()
        await caller.send(raw)
        return [await caller.read() for _ in context.sent_ids]

    context.replies = run(context, send_and_read())


def make_link(context, unsent=0):
    """Return a link over a mocked transport with one request in flight.

    `unsent` is the number of bytes in the write buffer of the transport.
    """
    context.outcomes = []
    context.transport = mock.Mock()
    context.transport.is_closing.return_value = False
    context.transport.get_write_buffer_size.return_value = unsent
    context.freed = []
    link = gateway.Link(
        context.loop,
        gateway_bench.NAMES,
        on_free=context.freed.append,
        on_closed=lambda link: None,
    )
    link.connection_made(context.transport)
    exchange = gateway.Exchange(
        b'q1',
        lambda: b'',
        lambda done, outcome: context.outcomes.append(outcome),
    )
    link.start(exchange)
    return link


@when(r'a connection receives a reply without a length and is reset')
def reset_reply_without_length(context):
    link = make_link(context)
    link.data_received(
        b'HTTP/1.1 200 OK\r\nRudderrock-Stamp: s\r\n\r\nrrrrrrrr'
    )
    link.connection_lost(ConnectionResetError())


@when(r'a connection receives a reply while bytes of its request are unsent')
def reply_with_unsent_bytes(context):
    link = make_link(context, unsent=10)
    link.data_received(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr')


@then(r'its reply is accepted and the connection is closed')
def check_accepted_and_closed(context):
    assert context.outcomes[0].body == b'r', context.outcomes
    assert context.transport.abort.called
    assert not context.freed


@given(r'an upstream "([^"]+)" of "([^"]+)" that answers with (\d+) bytes')
def add_upstream_with_reply_size(context, upstream, service, size):
    harness = gateway_steps.get(context)
    run(
        context,
        harness.add_upstream(upstream, service, records=b'x' * int(size)),
    )


@when(
    r'a caller pipelines (\d+) requests for "([^"]+)" and reads nothing '
    r'for ' + _SECONDS
)
def send_pipelined_without_reading(context, count, path, seconds):
    raw = b''.join(
        gateway_bench.make_raw(
            gateway_steps.next_id(context), path, deadline_ms=9000
        )
        for _ in range(int(count))
    )
    context.pipelined_count = int(count)

    async def send():
        context.caller = await gateway_steps.get(context).connect()
        context.caller.reader._transport.pause_reading()
        await context.caller.send(raw)
        await asyncio.sleep(float(seconds))

    run(context, send())


@when(r'the caller reads its replies')
def read_replies(context):
    async def read():
        context.caller.reader._transport.resume_reading()
        return [
            await context.caller.read() for _ in range(context.pipelined_count)
        ]

    context.replies = run(context, read())


@then(r'it got (\d+) complete replies')
def check_complete_replies(context, count):
    assert len(context.replies) == int(count)
    for reply in context.replies:
        assert reply.status == 200, reply.status
        assert len(reply.body) == 400000, len(reply.body)


@then(r'"([^"]+)" ran no more than (\d+) requests')
def check_max_runs(context, upstream, limit):
    runs = gateway_steps.get(context).upstreams[upstream].runs
    assert len(runs) <= int(limit), len(runs)


@then(r'the gateway has no caller connections')
def check_no_caller_connections(context):
    assert 'rudderrock_caller_connections 0' in run(
        context, gateway_steps.get(context).scrape()
    )


@when(r'the open connections of "([^"]+)" stop responding')
def silence_connections(context, upstream):
    gateway_steps.get(context).upstreams[upstream].silence_connections()


@when(r'(\d+) callers in turn send GET "([^"]+)"')
def send_in_turn(context, count, path):
    context.replies = []
    for _ in range(int(count)):
        raw = gateway_bench.make_raw(gateway_steps.next_id(context), path)
        context.replies.append(
            run(context, gateway_steps.get(context).ask(raw))
        )


@then(r'(\d+) of the last (\d+) replies are (\d+)')
def check_reply_count(context, expected, count, status):
    found = [reply.status for reply in context.replies[-int(count) :]]
    assert found.count(int(status)) == int(expected), found


@when(r'a caller sends HEAD "([^"]+)"')
def send_head(context, path):
    send(context, path, method='HEAD')


@then(r'the reply has no Content-Length')
def check_no_content_length(context):
    assert 'content-length' not in context.reply.headers, context.reply
