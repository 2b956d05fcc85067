"""Steps for gateway processes that more callers connect to than have room."""

import asyncio
import contextlib
import os
import resource
import time

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_processes
from features.steps import ends
from features.steps.common import run
from rudderrock import core
from rudderrock import platform
from rudderrock import soak
from rudderrock import standins
from rudderrock.standins import platform as platform_standins

use_step_matcher('re')

_TIMEOUT_S = 20.0
_PROBE_INTERVAL_S = 0.05
_CROWD_OCTET = 251
_OTHER_OCTET = 252
_HEAD = b'GET /fast/1 HTTP/1.1\r\nHost: members.example\r\n'
_FIRST_BYTES = {
    'slow to send a head': _HEAD,
    'slow to send a body': _HEAD + b'Content-Length: 9\r\n\r\n',
    'idle after a reply': _HEAD + b'X-Request-Id: crowd\r\n\r\n',
}
_SLOW_S = 0.5
_LARGE_BYTES = 1_000_000
# Time in seconds in which the gateway fills the buffers of a connection.
_UNREAD_PAUSE_S = 0.02
_WIDE_WORK_S = 0.01


class Crowd:
    """Connections of callers at a gateway process."""

    def __init__(self, processes: gateway_processes.GatewayProcesses):
        self.processes = processes
        self.writers: list[asyncio.StreamWriter] = []
        self.readers: list[asyncio.StreamReader] = []
        self.replies: list = []
        self.probes: list[tuple[float, int]] = []
        self.next_id = 0

    async def connect(self, octet: int, offset: int = 0, port: int = 0):
        """Open a connection from an address of the loopback network."""
        ip = self.processes.get_ip(1)
        return await asyncio.open_connection(
            ip,
            port or self.processes.get_port(1) + offset,
            local_addr=(f'{self.processes.network}.{octet}', 0),
        )

    def make_id(self) -> str:
        """Return a new request id."""
        self.next_id += 1
        return f'request-{self.next_id}'

    async def call(self, octet: int, path: str = '/fast/1', method='GET'):
        """Return the reply to a request on a connection of its own."""
        request_id = self.make_id()
        raw = gateway_processes.render_request(path, request_id, method)
        try:
            reader, writer = await self.connect(octet)
        except OSError:
            return request_id, None, {}
        try:
            writer.write(raw)
            status, headers, _ = await gateway_processes.read_reply(reader)
            return request_id, status, headers
        except (OSError, EOFError):
            return request_id, None, {}
        finally:
            writer.transport.abort()

    async def probe_forever(self) -> None:
        """Probe readiness until cancelled."""
        while True:
            began = time.monotonic()
            try:
                async with asyncio.timeout(_TIMEOUT_S):
                    status = await self.processes.probe(1)
            except (OSError, EOFError, TimeoutError):
                status = 0
            self.probes.append((time.monotonic() - began, status))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(0)


async def start_site(context, prepare, **fields):
    processes = context.crowd.processes
    store = processes.store
    routes = []
    context.upstreams = {}
    for name, work_s, size in (
        ('fast', 0.0, 16),
        ('slow', _SLOW_S, 16),
        ('large', 0.0, _LARGE_BYTES),
    ):
        upstream = standins.WireUpstream(
            f'i-{name}', platform.NAMES, b'r' * size, work_s
        )
        port = soak.find_port_range(1, processes.stand_in_ip)
        await upstream.start(processes.stand_in_ip, port)
        context.stack.push_async_callback(upstream.stop)
        context.upstreams[name] = upstream
        address = f'{processes.stand_in_ip}:{port}'
        store.put(
            f'servers/i-{name}',
            platform_standins.make_server(name, address, slots=1000),
        )
        routes.append(platform_standins.make_route(f'/{name}/', name))
    once = platform_standins.make_route('/once/', 'slow', once=True)
    config = platform_standins.make_config(
        1, [*routes, once], max_conns=1000, timeout_s=9.0
    )
    store.put_config(config)
    await processes.start(1, prepare=prepare, **fields)
    await processes.wait_until_ready(1)
    probing = asyncio.create_task(context.crowd.probe_forever())
    context.stack.push_async_callback(core.end_task, probing)
    context.stack.push_async_callback(context.crowd.close)


@given(r'a gateway process with (\d+) descriptors in front of an upstream')
def start_with_limit(context, count):
    limits = (int(count), int(count))

    def prepare():
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    context.crowd = Crowd(ends.get_processes(context))
    run(context, start_site(context, prepare))


async def start_wide_site(context, prepare, count):
    processes = context.crowd.processes
    first_port = soak.find_port_range(count, processes.stand_in_ip)
    routes = []
    for number in range(count):
        name = f's{number}'
        upstream = standins.WireUpstream(
            f'i-{number}', platform.NAMES, b'r' * 16, _WIDE_WORK_S
        )
        address = (processes.stand_in_ip, first_port + number)
        await upstream.start(*address)
        context.stack.push_async_callback(upstream.stop)
        processes.store.put(
            f'servers/i-{number}',
            platform_standins.make_server(name, '%s:%d' % address),
        )
        routes.append(platform_standins.make_route(f'/{name}/', name))
    shards = [f's{number}' for number in range(count)]
    routes.append(platform_standins.make_gather('/all/', shards, 5, 1.0))
    config = platform_standins.make_config(1, routes, timeout_s=9.0)
    processes.store.put_config(config)
    await processes.start(1, prepare=prepare)
    await processes.wait_until_ready(1)
    probing = asyncio.create_task(context.crowd.probe_forever())
    context.stack.push_async_callback(core.end_task, probing)
    context.stack.push_async_callback(context.crowd.close)


@given(r'a gateway process with (\d+) descriptors in front of (\d+) services')
def start_in_front_of_many(context, descriptors, count):
    limits = (int(descriptors), int(descriptors))

    def prepare():
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    context.crowd = Crowd(ends.get_processes(context))
    context.service_count = int(count)
    run(context, start_wide_site(context, prepare, int(count)))


@when(r'a caller sends a request to each service in turn')
def send_to_each(context):
    async def send():
        context.crowd.replies = [
            await context.crowd.call(_OTHER_OCTET, f'/s{number}/1')
            for number in range(context.service_count)
        ]

    run(context, send())


@then(r'each of them is answered by 200')
def check_all_answered(context):
    statuses = [status for _, status, _ in context.crowd.replies]
    assert statuses == [200] * context.service_count, statuses


@when(r'(\d+) callers send a query to all services at once')
def send_wide(context, count):
    async def send():
        calls = [
            context.crowd.call(_OTHER_OCTET, '/all/1')
            for _ in range(int(count))
        ]
        async with asyncio.timeout(_TIMEOUT_S):
            await asyncio.gather(*calls)

    run(context, send())


@then(r'a caller of one service is served within 2 seconds')
def check_one_served(context):
    async def call():
        async with asyncio.timeout(2.0):
            return await call_until_served(context.crowd, '/s7/1')

    assert run(context, call()) == 200


@given(r'a gateway process whose settings allow (\d+) descriptors')
def start_with_setting(context, count):
    fields = {'limits.max_fds': count}
    context.crowd = Crowd(ends.get_processes(context))
    run(context, start_site(context, None, **fields))


@when(r'(\d+) connections arrive that are (.+)')
def make_crowd(context, count, kind):
    crowd = context.crowd
    offset = {"idle at the probes' port": 1, "idle at the peers' port": 3}
    port = platform.METRICS_PORT if kind == 'idle at the metrics port' else 0
    first = _FIRST_BYTES.get(kind, b'')

    async def arrive():
        for _ in range(int(count)):
            if kind == 'waiting for a reply':
                first_bytes = gateway_processes.render_request(
                    '/slow/1', crowd.make_id()
                )
            else:
                first_bytes = first
            with contextlib.suppress(OSError):
                reader, writer = await crowd.connect(
                    _CROWD_OCTET, offset.get(kind, 0), port
                )
                if kind == 'closed at once':
                    writer.transport.abort()
                    continue
                crowd.readers.append(reader)
                crowd.writers.append(writer)
                if kind == 'unread, and sending more':
                    await _send_without_reading(crowd, writer)
                if first_bytes:
                    writer.write(first_bytes)
                if kind == 'idle after a reply':
                    with contextlib.suppress(EOFError):
                        await gateway_processes.read_reply(reader)

    async def arrive_in_time():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                await arrive()

    run(context, arrive_in_time())


async def _send_without_reading(crowd, writer):
    """Ask for a large reply, do not read it, and begin another request."""
    writer.transport.pause_reading()
    writer.write(gateway_processes.render_request('/large/1', crowd.make_id()))
    await asyncio.sleep(_UNREAD_PAUSE_S)
    writer.write(_HEAD)


@when(r'the crowd leaves')
def leave(context):
    run(context, context.crowd.close())


async def call_until_served(crowd, path='/fast/1'):
    """Return the status of a reply; come back when a refusal says so."""
    while True:
        _, status, headers = await crowd.call(_OTHER_OCTET, path)
        if status != 503:
            return status
        await asyncio.sleep(float(headers['retry-after']))


@then(
    r'(\d+) new callers (?:in a row|of another address) are served, each '
    r'within (\d+) seconds'
)
def check_served(context, count, bound_s):
    async def call():
        for number in range(int(count)):
            async with asyncio.timeout(float(bound_s)):
                status = await call_until_served(context.crowd)
            assert status == 200, (number, status)

    run(context, call())


@then(r'all readiness probes meanwhile are answered by 200 within a second')
def check_probes(context):
    probes = context.crowd.probes
    assert probes
    bad = [each for each in probes if each[1] != 200 or each[0] > 1.0]
    assert not bad, (len(bad), len(probes), bad[:5])


@then(r'the metrics are answered')
def check_metrics(context):
    async def scrape():
        async with asyncio.timeout(_TIMEOUT_S):
            reader, writer = await context.crowd.connect(
                _OTHER_OCTET, port=platform.METRICS_PORT
            )
            writer.write(b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n')
            status, _, body = await gateway_processes.read_reply(reader)
            writer.transport.abort()
        return status, body

    status, body = run(context, scrape())
    assert status == 200, status
    assert b'rudderrock_connection_limit' in body, body


@then(r'the log has no sign that descriptors ran out')
def check_log(context):
    text = context.crowd.processes.read_log(1)
    for sign in ('Traceback', 'out of system resource', 'Too many open'):
        assert sign not in text, text[-2000:]


@then(r'the process has at most (\d+) sockets')
def check_sockets(context, count):
    pid = context.crowd.processes.running[1].pid
    folder = f'/proc/{pid}/fd'
    found = 0
    for name in os.listdir(folder):
        with contextlib.suppress(FileNotFoundError):
            found += os.readlink(f'{folder}/{name}').startswith('socket:')
    assert found <= int(count), found


@when(r'(\d+) callers send a (GET|POST) request of 0\.5 seconds at once')
def send_requests(context, count, method):
    crowd = context.crowd
    path = '/slow/1' if method == 'GET' else '/once/1'

    async def send():
        calls = [
            crowd.call(_OTHER_OCTET, path, method) for _ in range(int(count))
        ]
        async with asyncio.timeout(_TIMEOUT_S):
            return await asyncio.gather(*calls)

    crowd.replies = run(context, send())


@then(r'each request is answered by 200 after one run, or refused without any')
def check_replies(context):
    runs = [each.request_id for each in context.upstreams['slow'].runs]
    for request_id, status, _ in context.crowd.replies:
        expected = {200: 1, 503: 0, None: 0}
        assert runs.count(request_id) == expected.get(status), (
            request_id,
            status,
            context.crowd.processes.read_log(1)[-4000:],
        )


@then(r'at least (\d+) requests are answered by 200')
def check_answered(context, count):
    statuses = [status for _, status, _ in context.crowd.replies]
    assert statuses.count(200) >= int(count), statuses


@then(r'refusals say when to come back, and end their connection')
def check_refusals(context):
    refused = [each for each in context.crowd.replies if each[1] == 503]
    assert refused
    for request_id, _, headers in refused:
        assert float(headers['retry-after']) > 0, headers
        assert headers['connection'] == 'close', headers
        assert headers['x-request-id'] == request_id, headers


@given(r'(\d+) callers of other addresses with a kept connection each')
def keep_connections(context, count):
    crowd = context.crowd

    async def keep():
        context.kept = []
        for number in range(int(count)):
            reader, writer = await crowd.connect(2 + number)
            context.kept.append((reader, writer))
            context.stack.callback(writer.transport.abort)
        await use_kept(context)

    run(context, keep())


async def use_kept(context):
    for reader, writer in context.kept:
        request_id = context.crowd.make_id()
        writer.write(gateway_processes.render_request('/fast/1', request_id))
        async with asyncio.timeout(_TIMEOUT_S):
            status, _, _ = await gateway_processes.read_reply(reader)
        assert status == 200, status


@then(r'the kept connections are open and served')
def check_kept(context):
    run(context, use_kept(context))


@step(r'a "connections_limited" line has the state "([a-z]+)"')
def check_state_line(context, state):
    async def wait():
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                found = context.crowd.processes.list_events(
                    1, 'connections_limited'
                )
                if found and found[-1]['state'] == state:
                    return
                await asyncio.sleep(_PROBE_INTERVAL_S)

    run(context, wait())


@then(r'there are (\d+) such lines')
def check_line_count(context, count):
    found = context.crowd.processes.list_events(1, 'connections_limited')
    assert len(found) == int(count), found


@then(r'the connections of the crowd are open')
def check_open(context):
    run(context, asyncio.sleep(0.1))
    assert len(context.crowd.readers) == 200
    assert not any(reader.at_eof() for reader in context.crowd.readers)
