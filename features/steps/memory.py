"""Steps that measure the memory of a gateway that others burden."""

import asyncio
import collections
import contextlib

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_processes
from features.steps.common import run
from features.steps.ends import get_processes
from rudderrock import gateway
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_OK = b'HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n'
_PIECE = b'b' * 65536
_LARGE_BYTES = 7_900_000
_LARGE_REQUEST_BYTES = 3_900_000
_PIPELINED_BYTES = 250_000
_PIPELINED_COUNT = 15
_DEADLINE_MS = 4000
_GOOD_DEADLINE_MS = 2000
_GOOD_INTERVAL_S = 0.05
_GOOD_BYTES = 100_000
# The other clients have an address of their own, since the connections of one
# caller are bounded.
_GOOD_CALLER_OCTET = 2
_GOOD_PAUSE_S = 0.1
_TOP_K = 5
_SHARDS = 4
# The queries are sent one after the other, and all wait for their goal.
_QUERY_INTERVAL_S = 0.4
_QUERY_GOAL_S = 8
# Long enough for a busy machine: the scenario is about memory.
_QUERY_DEADLINE_MS = 60_000
_SERVERS = 8
# A gateway opens so many connections to an upstream at most.
_REQUESTS_PER_SERVER = 8
_SLOTS = 100
# All hosts together; a single one gets a part of them.
_MAX_CONNECTIONS = 20_000
# What an upstream sends first, and then without end.
_ENDLESS = {
    'bodies until the close': (_OK + b'\r\n', _PIECE),
    'chunks without end': (
        _OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n%b\r\n' % _PIECE,
    ),
    'lengths far too large': (
        _OK + b'Content-Length: 1000000000000\r\n\r\n',
        _PIECE,
    ),
}
# What an upstream sends before it falls silent.
_STOPPED = {
    'bodies that stop short': (
        _OK
        + b'Content-Length: %d\r\n\r\n' % (_LARGE_BYTES + 1)
        + b'b' * _LARGE_BYTES
    ),
    'header lines that stop': _OK + b'a: b\r\n' * 7000,
    'header values that stop': _OK + b'a: ' + b'v' * 250_000,
}


async def _read_request(reader):
    """Return the id of a request, after it was read to its end."""
    head = await reader.readuntil(b'\r\n\r\n')
    fields = {}
    for line in head.split(b'\r\n')[1:-2]:
        name, _, value = line.partition(b':')
        fields[name.lower()] = value.strip()
    await reader.readexactly(int(fields.get(b'content-length', 0)))
    return fields[b'x-request-id']


def _render(request_id, body):
    return (
        _OK
        + b'X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n'
        % (request_id, len(body))
        + body
    )


class Upstreams:
    """Upstream servers of one gateway, by the name of their service."""

    def __init__(self, processes, stack):
        self.ran = collections.Counter()
        self._processes = processes
        self._stack = stack
        self._count = 0

    async def add(self, service, answer):
        """Register a server whose connections `answer` serves."""

        tasks = set()

        async def serve(reader, writer):
            tasks.add(asyncio.current_task())
            try:
                with contextlib.suppress(OSError, EOFError):
                    await answer(reader, writer)
            finally:
                writer.transport.abort()

        async def stop():
            server.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        server = await asyncio.start_server(
            serve, self._processes.stand_in_ip, 0
        )
        self._stack.push_async_callback(stop)
        address = '%s:%d' % server.sockets[0].getsockname()[:2]
        self._count += 1
        self._processes.store.put_server(
            f'i-{self._count}',
            platform_standins.make_server(service, address, slots=_SLOTS),
        )

    async def answer_all(self, reader, writer, body):
        """Answer each request of a connection with a body."""
        while True:
            request_id = await _read_request(reader)
            self.ran[request_id] += 1
            writer.write(_render(request_id, body))
            await writer.drain()

    async def answer_slowly(self, reader, writer):
        """Answer each request with a body that has a pause in it."""
        while True:
            request_id = await _read_request(reader)
            raw = _render(request_id, b'g' * _GOOD_BYTES)
            writer.write(raw[: len(raw) // 2])
            await asyncio.sleep(_GOOD_PAUSE_S)
            writer.write(raw[len(raw) // 2 :])

    async def read_all(self, reader, writer):
        """Read each request of a connection, and answer none."""
        while True:
            self.ran[await _read_request(reader)] += 1


async def _stay_silent(reader, writer):
    await asyncio.Event().wait()


def _make_endless(ran, form):
    first, piece = _ENDLESS[form]

    async def answer(reader, writer):
        ran[await _read_request(reader)] += 1
        writer.write(first)
        while True:
            writer.write(piece)
            await writer.drain()

    return answer


def _make_stopped(ran, form):
    async def answer(reader, writer):
        ran[await _read_request(reader)] += 1
        writer.write(_STOPPED[form])
        await writer.drain()
        await reader.read()

    return answer


@given(r'a gateway process with a memory limit of (\d+) MB')
def start_with_limit(context, megabytes):
    processes = get_processes(context)
    context.limit_bytes = int(megabytes) * 10**6
    context.upstreams = Upstreams(processes, context.stack)
    context.statuses = collections.Counter()
    context.answers = []
    context.refused = set()
    shards = [f's{number}' for number in range(_SHARDS)]
    wide = platform_standins.make_gather(
        '/wide/', shards, _TOP_K, (_SHARDS - 1) / _SHARDS
    )
    wide['latency_goal_ms'] = _QUERY_GOAL_S * 1000
    wide['timeout_ms'] = _QUERY_DEADLINE_MS
    routes = [
        platform_standins.make_route('/bad/', 'bad', once=True),
        platform_standins.make_route('/again/', 'bad'),
        platform_standins.make_route('/good/', 'good'),
        wide,
    ]
    config = platform_standins.make_config(
        1,
        routes,
        max_conns=_MAX_CONNECTIONS,
        timeout_s=10.0,
        max_body_bytes=4_000_000,
    )
    processes.store.put_config(config)

    context.fields = {'limits.memory_mb': megabytes}
    run(
        context, context.upstreams.add('good', context.upstreams.answer_slowly)
    )


async def _ask(processes, raw, octet=1):
    """Return the status and the body of one reply; no status if it ends."""
    reader, writer = await processes.connect(1, octet)
    try:
        writer.write(raw)
        with contextlib.suppress(OSError):
            await writer.drain()
        status, _, body = await gateway_processes.read_reply(reader)
    except (OSError, EOFError):
        return 0, b''
    finally:
        writer.transport.abort()
    return status, body


async def _ask_good(context, until):
    number = 0
    while not until.done() or not number:
        number += 1
        raw = gateway_processes.render_request(
            '/good/x', f'g{number}', deadline_ms=_GOOD_DEADLINE_MS
        )
        processes = get_processes(context)
        status, _ = await _ask(processes, raw, _GOOD_CALLER_OCTET)
        context.statuses[status] += 1
        await asyncio.sleep(_GOOD_INTERVAL_S)


def _play(context, answer, service, calls, count=_SERVERS):
    """Await `calls` beside good requests, with servers that `answer`."""

    async def play():
        for _ in range(count):
            await context.upstreams.add(service, answer)
        processes = get_processes(context)
        await processes.start(1, **context.fields)
        await processes.wait_until_ready(1)
        burden = asyncio.gather(*calls(processes))
        await _ask_good(context, burden)
        context.answers = await burden
        context.peak_bytes = processes.read_peak_bytes(1)

    run(context, play())


@when(
    r'(\d+) requests (at once|run once) go to upstreams that reply with (.+)'
)
def send_to_bad(context, count, repeat, form):
    path = '/bad/x' if repeat == 'run once' else '/again/x'
    make = _make_endless if form in _ENDLESS else _make_stopped

    def calls(processes):
        for number in range(int(count)):
            raw = gateway_processes.render_request(
                path, f'b{number}', deadline_ms=_DEADLINE_MS
            )
            yield _ask(processes, raw)

    servers = int(count) // _REQUESTS_PER_SERVER + 1
    _play(context, make(context.upstreams.ran, form), 'bad', calls, servers)


@when(r'(\d+) callers that do not read request large whole replies')
def request_without_reading(context, count):
    async def send(processes, number):
        _, writer = await processes.connect(1)
        writer.transport.pause_reading()
        writer.write(
            gateway_processes.render_request('/again/x', f'b{number}')
        )
        await asyncio.sleep(_DEADLINE_MS / 1000)
        writer.transport.abort()

    async def answer(reader, writer):
        await context.upstreams.answer_all(reader, writer, b'b' * _LARGE_BYTES)

    _play(
        context,
        answer,
        'bad',
        lambda processes: [
            send(processes, number) for number in range(int(count))
        ],
    )


@when(r'(\d+) queries in turn go to (\d+) shards of which one does not answer')
def query_shards(context, count, shards):
    records = [b'%016d' % number for number in range(_LARGE_BYTES // 16)]
    body = b''.join(records)
    context.greatest = b''.join(
        sorted(records[-_TOP_K:] * (int(shards) - 1), reverse=True)[:_TOP_K]
    )

    async def answer(reader, writer):
        await context.upstreams.answer_all(reader, writer, body)

    async def add_shards():
        for number in range(int(shards) - 1):
            await context.upstreams.add(f's{number}', answer)

    run(context, add_shards())

    async def send(processes, number):
        await asyncio.sleep(number * _QUERY_INTERVAL_S)
        raw = gateway_processes.render_request(
            '/wide/x', f'w{number}', deadline_ms=_QUERY_DEADLINE_MS
        )
        return await _ask(processes, raw)

    _play(
        context,
        _stay_silent,
        f's{int(shards) - 1}',
        lambda processes: [
            send(processes, number) for number in range(int(count))
        ],
        1,
    )


@then(r'every query is answered with the greatest records')
def check_records(context):
    expected = (200, context.greatest)
    wrong = [each for each in context.answers if each != expected]
    assert not wrong, (len(wrong), wrong[0])


@when(r'(\d+) callers send requests with (.+)')
def send_bodies(context, count, form):
    size, times, missing = _LARGE_REQUEST_BYTES, 1, 0
    answer = context.upstreams.read_all
    match form:
        case 'bodies that stop short':
            missing = 1
        case 'whole bodies, not read':
            answer = _stay_silent
        case 'pipelined bodies':
            size, times = _PIPELINED_BYTES, _PIPELINED_COUNT

    async def send(processes, number):
        ids = [f'b{number}-{index}' for index in range(times)]
        raw = b''.join(
            gateway_processes.render_request(
                '/bad/x', each, 'POST', _DEADLINE_MS, b'b' * size
            )
            for each in ids
        )
        reader, writer = await processes.connect(1)
        try:
            writer.write(raw[: len(raw) - missing])
            async with asyncio.timeout(_DEADLINE_MS / 1000 + 1):
                for each in ids:
                    reply = await gateway_processes.read_reply(reader)
                    context.answers.append(reply[0])
                    if reply[0] in (408, 421, 429, 503):
                        context.refused.add(each.encode())
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            writer.transport.abort()

    _play(
        context,
        answer,
        'bad',
        lambda processes: [
            send(processes, number) for number in range(int(count))
        ],
    )


@when(r'another writer leaves (\d+) entries of 1 MB under "([^"]+)"')
def leave_entries(context, count, prefix):
    store = get_processes(context).store
    store.page = 1
    for number in range(int(count)):
        store.put(f'{prefix}x{number}', b'{' * 1_000_000)

    async def wait():
        await asyncio.sleep(_DEADLINE_MS / 1000)

    _play(context, _stay_silent, 'bad', lambda processes: [wait()], 1)


@given(r'a byte budget of (\d+) bytes')
def make_budget(context, limit):
    context.lost = collections.defaultdict(list)
    context.budget = gateway.ByteBudget(
        int(limit),
        lambda eviction: context.lost[eviction.owner].append(eviction.size),
    )
    context.holdings = collections.defaultdict(list)
    context.pinned = collections.Counter()


@when(r'"([^"]+)" holds ([\d, and]+) bytes')
def hold(context, owner, sizes):
    for size in sizes.replace(' and ', ', ').split(', '):
        holding = context.budget.open(owner, lambda: None)
        context.holdings[owner].append(holding)
        holding.resize(int(size))


@when(r'"([^"]+)" pins as many holdings of (\d+) bytes as it can')
def pin(context, owner, size):
    while True:
        holding = context.budget.open(owner, lambda: None)
        holding.resize(int(size))
        if not holding.try_pin():
            return
        context.holdings[owner].append(holding)
        context.pinned[owner] += int(size)


@when(r'the holdings of "([^"]+)" are dropped')
def drop_holdings(context, owner):
    del context.holdings[owner]


@then(r'"([^"]+)" has lost its holdings of (\d+) bytes')
def check_lost(context, owner, size):
    assert context.lost[owner] == [int(size)], context.lost


@then(r'"([^"]+)" has lost nothing')
def check_kept(context, owner):
    assert not context.lost[owner], context.lost


@then(r'"([^"]+)" has pinned between (\d+) and (\d+) bytes')
def check_pinned(context, owner, low, high):
    assert int(low) <= context.pinned[owner] <= int(high), context.pinned


@then(r'(\d+) bytes are held')
def check_held(context, size):
    assert context.budget.held_bytes == int(size)


@then(r'no request has run more than (once|twice)')
def check_runs(context, limit):
    most = max(context.upstreams.ran.values())
    assert 1 <= most <= (1 if limit == 'once' else 2), most


@then(r'no refused request has run')
def check_refused(context):
    assert not context.refused & set(context.upstreams.ran)


@then(r'every other request meanwhile is answered by 200')
def check_good(context):
    assert set(context.statuses) == {200}, (
        context.statuses,
        context.peak_bytes // 10**6,
    )


@then(r'the process has stayed below its memory limit')
def check_peak(context):
    processes = get_processes(context)
    peak = context.peak_bytes
    assert processes.running[1].returncode is None
    assert peak < context.limit_bytes, (
        f'{peak / 10**6:.0f} MB',
        context.statuses,
        collections.Counter(map(str, context.answers)),
    )
