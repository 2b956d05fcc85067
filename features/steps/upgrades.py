"""Steps for requests that offer to go on in another protocol."""

import asyncio

from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run

use_step_matcher('re')

_OFFER = (
    'Connection: Upgrade, HTTP2-Settings\r\n'
    'Upgrade: h2c\r\n'
    'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n'
)


@when(
    r'a caller sends (\d+) requests "(GET|POST) ([^"]+)" that offer an '
    r'upgrade, (one by one|in one segment|byte by byte)'
)
def send_offers(context, count, method, path, how):
    raws = {}
    for _ in range(int(count)):
        request_id = gateway_steps.next_id(context)
        raws[request_id] = gateway_bench.make_raw(
            request_id,
            path,
            method=method,
            body=b'note' if method == 'POST' else b'',
            extra=_OFFER,
        )
    context.sent_ids = list(raws)
    context.replies = run(context, _exchange(context, raws.values(), how))


async def _exchange(context, raws, how):
    context.caller = await gateway_steps.get(context).connect()
    caller = context.caller
    if how == 'one by one':
        replies = []
        for raw in raws:
            await caller.send(raw)
            replies.append(await caller.read())
        return replies
    joined = b''.join(raws)
    step = len(joined) if how == 'in one segment' else 1
    for start in range(0, len(joined), step):
        await caller.send(joined[start : start + step])
    return [await caller.read() for _ in raws]


@then(r'it gets (\d+) replies in order, each with its own request id')
def check_own_replies(context, count):
    assert len(context.replies) == int(count)
    found = [
        (each.status, each.headers.get('rudderrock-request-id'))
        for each in context.replies
    ]
    assert found == [(200, each) for each in context.sent_ids], found


@then(
    r'each of them ran whole, and "([^"]+)" was not sent the header "([^"]+)"'
)
def check_whole(context, upstream, name):
    runs = gateway_steps.get(context).upstreams[upstream].runs
    assert [each.request_id for each in runs] == context.sent_ids, runs
    for each in runs:
        body = b'note' if each.method == 'POST' else b''
        assert each.body == body, each
        assert name not in each.headers, each


@then(r'the connection is open')
def check_open(context):
    async def read():
        async with asyncio.timeout(1.0):
            return await context.caller.reader.read(1)

    try:
        found = run(context, read())
    except TimeoutError:
        context.caller.leave()
        return
    raise AssertionError(found)


@when(r'a caller sends CONNECT to the gateway, and bytes that are not HTTP')
def send_connect(context):
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context), '10.0.0.9:443', method='CONNECT'
    )
    raws = [raw + b'\x16\x03\x01\x00\x00' * 10]
    context.replies = run(context, _exchange(context, raws, 'in one segment'))


@then(r'it gets one reply with status (\d+), and the connection ends')
def check_only_reply(context, status):
    (reply,) = context.replies
    assert reply.status == int(status), reply
    assert reply.headers['connection'] == 'close', reply
    assert run(context, context.caller.reader.read()) == b''
    context.caller.leave()
