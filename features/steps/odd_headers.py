"""Steps for numbers in headers that a gateway process can't use."""

import dataclasses

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import hypothesis
from hypothesis import strategies

from features import gateway_processes
from features.steps import ends
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import platform
from rudderrock import standins
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_UPSTREAM_PORT = 9000
# The internal port that a host serves its peers at comes after the others.
_PEER_PORT_OFFSET = 3


@given(r'a gateway process with an upstream of one service')
def start_gateway(context):
    processes = ends.get_processes(context)
    processes.store.put_config(
        platform_standins.make_config(
            1,
            [
                platform_standins.make_route('/one/', 'a'),
                platform_standins.make_gather('/all/', ['a'], 1, 0.0),
            ],
        )
    )

    async def start():
        upstream = standins.WireUpstream(
            'i-1', platform.NAMES, records=b'r' * 16
        )
        await upstream.start(processes.stand_in_ip, _UPSTREAM_PORT)
        context.stack.push_async_callback(upstream.stop)
        address = f'{processes.stand_in_ip}:{_UPSTREAM_PORT}'
        processes.store.put_server(
            'i-1', platform_standins.make_server('a', address)
        )
        await processes.start(1)
        await processes.wait_until_ready(1)

    run(context, start())


def expand(text):
    """Return a value, such as `9 x 5000` for as many digits."""
    character, times, count = text.partition(' x ')
    return character * int(count) if times else text


@when(r'a caller sends a request with a deadline of "([^"]*)"')
def send_request(context, text):
    processes = ends.get_processes(context)
    request = gateway_processes.render_request(
        '/one/1', 'r1', deadline_ms=expand(text)
    )
    exchange(context, processes.get_port(1), request)


@when(r'a peer sends a part of a query with "([^"]+)" of "([^"]+)"')
def send_part(context, header, text):
    port = ends.get_processes(context).get_port(1) + _PEER_PORT_OFFSET
    fields = {
        'rudderrock-table-version': '1',
        'rudderrock-elapsed-ms': '1',
        'rudderrock-shards': 'a',
        'rudderrock-least': '1',
        header: expand(text),
    }
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    request = gateway_processes.render_request('/all/1', 'r1')
    head = request.removesuffix(b'\r\n') + lines.encode() + b'\r\n'
    exchange(context, port, head)


def exchange(context, port, request):
    """Send a request and keep the reply."""
    processes = ends.get_processes(context)

    async def send():
        reader, writer = await processes.connect_to(1, port)
        writer.write(request)
        try:
            return await gateway_processes.read_reply(reader)
        finally:
            writer.transport.abort()

    context.status, context.headers, _ = run(context, send())


@then(r'the caller is answered with (\d+)')
def check_status(context, status):
    log = ends.get_processes(context).read_log(1)
    assert context.status == int(status), (context.status, log[-3000:])


@then(r'the gateway process has logged no traceback')
def check_log(context):
    log = ends.get_processes(context).read_log(1)
    assert 'Traceback' not in log, log[-3000:]


_HEADER_VALUES = (
    strategies.binary(max_size=12)
    | strategies.integers(min_value=0, max_value=10**20).map(
        lambda number: b'%d' % number
    )
    | strategies.integers(min_value=4000, max_value=6000).map(
        lambda count: b'7' * count
    )
    | strategies.text('0123456789٣٤ -+_.e', max_size=9).map(str.encode)
)


@then(r'(\d+) values of a header are a number that Python agrees with or none')
def check_numbers(context, count):
    @hypothesis.settings(
        max_examples=int(count), derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(_HEADER_VALUES)
    def check(value):
        digits = value.strip(b' \t')
        found = core.parse_number(value)
        if not digits.isdigit():
            assert found is None, (value, found)
        elif len(digits) > 20:
            assert found == core.MAX_NUMBER, (value, found)
        else:
            assert found == min(int(digits), core.MAX_NUMBER), (value, found)

    check()


@given(r'the gateways with a fast link say that "([^"]+)" shards are missing')
def replace_missing(context, text):
    context.sent = 0
    for name in context.fast:
        peers = context.fleet.members[name].process.peers
        peers.handle = make_odd_handler(context, peers.handle, expand(text))


def make_odd_handler(context, handle, text):
    """Return a handler whose replies have another number of shards."""
    header = gateway.HeaderNames().missing_parts

    async def handle_odd(request):
        reply = await handle(request)
        if reply.get_header(header) is None:
            return reply
        context.sent += 1
        kept = [pair for pair in reply.headers if pair[0] != header]
        headers = [*kept, (header, text.encode())]
        return dataclasses.replace(reply, headers=headers)

    return handle_odd


@then(r'no request has failed on a defect')
def check_no_defect(context):
    assert context.sent > 0
    statuses = [reply.status for _, _, reply in context.answers]
    assert 500 not in statuses, statuses
