"""Stand-ins and process control that the scripts of cases 4 to 8 share.

The gateways are separate processes, started with the command of the deploy
file. The store, the servers, the balancer and the clients are small stand-ins
in the process of the script. They use the standard library only.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
FRONT_PORT = 8306
CONTROL_PORT = 8307
READY_PORT = 8308
READY_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 1.0
PROBE_INTERVAL_S = 1.0
MISSES_UNTIL_OUT = 2
KEEP_ALIVE_S = 30
PAGE_ITEMS = 500
HOST = 'pupu76.example'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    def write(self, text):
        """Write one line with the time."""
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


class HttpError(Exception):
    """A message ended early or is no HTTP."""


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return first, headers, body


def make_message(first, headers, body=b''):
    """Return the bytes of a message with a length."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class HttpServer:
    """Listens at a loopback address, with one task a connection."""

    def __init__(self):
        self._server = None
        self._tasks = set()

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self.handle(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def handle(self, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: items, watches, transactions and leases."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self._items = {}
        self._history = []
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._is_down = False

    def put(self, key, value, lease=0):
        """Write an item, as the operator or a server does."""
        self.revision += 1
        created = self.revision
        if key in self._items:
            created = self._items[key]['created_revision']
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_revision': created,
            'lease_id': lease,
        }
        self._items[key] = item
        self._history.append(item)
        self._notify()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        """Delete an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append(
                {'key': key, 'revision': self.revision, 'compacted': True}
            )
            self._notify()

    async def go_down(self, seconds):
        """Reset all connections for a time, in which leases run on."""
        self._is_down = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(seconds)
        self._is_down = False

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item['lease_id'] == lease:
                self.remove(key)

    def _expire(self):
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end_lease(lease)

    async def handle(self, reader, writer):
        if self._is_down:
            return False
        first, _, body = await read_message(reader)
        method, target, _ = first.split(' ')
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        self._expire()
        status, answer = await self._answer(method, path, fields, body)
        raw = json.dumps(answer).encode()
        kind = [('Content-Type', 'application/json')]
        writer.write(make_message(f'HTTP/1.1 {status} -', kind, raw))
        await writer.drain()
        return True

    async def _answer(self, method, path, fields, body):
        name, _, number = path[1:].partition('/')
        match method, name:
            case 'GET', 'kv-key':
                item = self._items.get(fields['key'])
                if item is None:
                    return 404, {}
                return 200, {**item, 'at_revision': self.revision}
            case 'GET', 'kv-range':
                return 200, self._list(fields)
            case 'GET', 'kv-watch':
                return 200, await self._watch(fields)
            case 'POST', 'kv-txn':
                return self._commit(json.loads(body))
            case 'POST', 'kv-lease':
                ttl_ms = json.loads(body)['ttl_ms']
                lease = next(self._lease_ids)
                until = time.monotonic() + ttl_ms / 1000
                self._leases[lease] = (ttl_ms, until)
                return 200, {'lease_id': lease, 'ttl_ms': ttl_ms}
            case 'POST', 'kv-keep':
                if int(number) not in self._leases:
                    return 404, {}
                ttl_ms, _ = self._leases[int(number)]
                until = time.monotonic() + ttl_ms / 1000
                self._leases[int(number)] = (ttl_ms, until)
                return 200, {'ttl_ms': ttl_ms}
            case 'DELETE', 'kv-lease-end':
                self._end_lease(int(number))
                return 200, {}
        return 404, {}

    def _list(self, fields):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields['prefix'])
            and key > fields.get('after', '')
        )
        return {
            'items': [self._items[key] for key in keys[:PAGE_ITEMS]],
            'has_more': len(keys) > PAGE_ITEMS,
            'at_revision': self.revision,
        }

    async def _watch(self, fields):
        after = int(fields['after'])
        until = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            events = [
                each
                for each in self._history
                if each['revision'] > after
                and each['key'].startswith(fields['prefix'])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at_revision': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, request):
        for row in request.get('expected_revision', []):
            item = self._items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [each['key'] for each in request['expected_revision']]
                items = [self._items[k] for k in keys if k in self._items]
                return 412, {'items': items}
        for each in request.get('writes', []):
            lease = each.get('lease_id', 0)
            if lease and lease not in self._leases:
                return 404, {}
        for each in request.get('writes', []):
            value = base64.b64decode(each['value'])
            self.put(each['key'], value, each.get('lease_id', 0))
        for key in request.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


class Server(HttpServer):
    """A server of a service, which notes what it runs.

    `runs` holds the time, the request's id and the headers of each run.
    """

    def __init__(self, record, server_id, service, work_s, slots=4, queue=16):
        super().__init__()
        self.server_id = server_id
        self.service = service
        self.runs = []
        self._record = record
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._room = slots + queue
        self._open = 0

    async def handle(self, reader, writer):
        first, headers, body = await read_message(reader)
        method, target, _ = first.split(' ')
        echo = [('X-Request-Id', headers.get('x-request-id', ''))]
        echo.append(('Keep-Alive', f'timeout={KEEP_ALIVE_S}'))
        if target == '/healthz':
            echo = [('X-Instance-Id', self.server_id)]
            writer.write(make_message('HTTP/1.1 200 OK', echo))
            return True
        expected = headers.get('x-expect-instance', self.server_id)
        if expected != self.server_id:
            writer.write(make_message('HTTP/1.1 421 Misdirected', echo))
            return True
        if self._open >= self._room:
            echo.append(('X-Not-Executed', '1'))
            writer.write(make_message('HTTP/1.1 503 Full', echo))
            return True
        self._open += 1
        try:
            async with self._slots:
                self.note_run(method, target, headers, body)
                await asyncio.sleep(self._work_s)
        finally:
            self._open -= 1
        echo.append(('X-Server-Stamp', f'{self.server_id}.{echo[0][1]}'))
        answer = f'{self.server_id} {target}'.encode()
        writer.write(make_message('HTTP/1.1 200 OK', echo, answer))
        await writer.drain()
        return True

    def note_run(self, method, target, headers, body):
        """Note that a run begins."""
        request_id = headers.get('x-request-id', '')
        self.runs.append((self._record.now(), request_id, headers))
        self._record.write(
            f'run {request_id} {method} {target} at {self.server_id} '
            f'tenant {headers.get("x-tenant", "-")}'
        )

    def make_entry(self, zone, state='ready', sequence=1):
        """Return the entry of this server in the store."""
        return {
            'service': self.service,
            'address': '%s:%d' % self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': sequence,
        }


class Node:
    """A machine with one gateway process."""

    def __init__(self, record, name, zone, ip, settings):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.is_in_rotation = True
        self.misses = 0
        self._record = record
        self._folder = pathlib.Path(settings).parent
        self._settings = settings
        self._process = None
        self.log = self._folder / f'{name}.log'

    async def start(self):
        """Start the gateway as the deploy file says."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['entry']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = 'target/deps'
        environment['RUDDERROCK_CONFIG'] = str(self._settings)
        with open(self.log, 'ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(f'{self.name} started, pid {self._process.pid}')

    def send(self, number):
        """Send a signal to the process."""
        self._record.write(f'{self.name} gets {number.name}')
        self._process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._record.write(f'{self.name} killed')

    async def wait(self):
        """Wait for the end of the process."""
        await self._process.wait()
        self._record.write(f'{self.name} ended')

    async def close(self):
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self):
        """Return whether the readiness check answers with 200."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                try:
                    ask = [('Host', self.ip)]
                    writer.write(make_message('GET /readyz HTTP/1.1', ask))
                    first, _, _ = await read_message(reader)
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, TimeoutError):
            return False
        return first.split(' ')[1] == '200'

    def has_logged(self, *words):
        """Return whether one line of the log has all the words."""
        text = self.log.read_text(encoding='utf-8', errors='replace')
        return any(
            all(word in line for word in words) for line in text.splitlines()
        )


class Balancer:
    """Chooses a node for each new connection of a client."""

    def __init__(self, record, nodes):
        self.nodes = nodes
        self._record = record
        self._tasks = []

    def start(self):
        self._tasks = [
            asyncio.create_task(self._probe(node)) for node in self.nodes
        ]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _probe(self, node):
        while True:
            is_ready = await node.is_ready()
            node.misses = 0 if is_ready else node.misses + 1
            was_in, is_in = node.is_in_rotation, node.is_in_rotation
            if is_ready:
                is_in = True
            elif node.misses >= MISSES_UNTIL_OUT:
                is_in = False
            if was_in != is_in:
                state = 'in' if is_in else 'out of'
                self._record.write(f'{node.name} is {state} rotation')
            node.is_in_rotation = is_in
            await asyncio.sleep(PROBE_INTERVAL_S)

    def choose(self, zone, client, attempt=0):
        """Return the node for a new connection of a client of a zone.

        It follows from a hash of the client. A retry reaches another node.
        """
        in_zone = [each for each in self.nodes if each.zone == zone]
        found = [each for each in in_zone if each.is_in_rotation]
        if not found:
            found = [each for each in self.nodes if each.is_in_rotation]
        elif len(found) * 2 < len(in_zone):
            found = in_zone
        found = sorted(
            found or self.nodes,
            key=lambda each: zlib.crc32(f'{client}/{each.name}'.encode()),
        )
        return found[attempt % len(found)]


class Connection:
    """A client's connection to a node, for one request at a time."""

    def __init__(self, node, reader, writer):
        self.node = node
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, node):
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(node.ip, FRONT_PORT)
        return cls(node, reader, writer)

    async def ask(self, first, headers, body, deadline_s):
        """Return status, headers and body; TimeoutError at the deadline."""
        async with asyncio.timeout(deadline_s):
            self._writer.write(make_message(first, headers, body))
            line, found, answer = await read_message(self._reader)
        return int(line.split(' ')[1]), found, answer

    def close(self):
        self._writer.transport.abort()


def find_network():
    """Return the first three numbers of a loopback network that is free."""
    rng = random.Random(os.getpid())
    for _ in range(200):
        network = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        if all(
            _is_free(f'{network}.{last}', port)
            for last in range(1, 13)
            for port in (FRONT_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT)
        ):
            return network
    raise RuntimeError('no free loopback network')


def _is_free(ip, port):
    with socket.socket() as found:
        try:
            found.bind((ip, port))
        except OSError:
            return False
    return True


def write_settings(folder, name, zone, ip, zones, seeds, store, **fields):
    """Write the settings file of a node and return its path."""
    values = {
        'node_name': name,
        'role': 'entry',
        'machine_class': 'front',
        'serves': 'front,control',
        'ip': ip,
        'zone': zone,
        'region': zones[zone],
        **{f'zones.{each}': region for each, region in zones.items()},
        'listen.front': f'{ip}:{FRONT_PORT}',
        'listen.ready': f'{ip}:{READY_PORT}',
        'listen.control': f'{ip}:{CONTROL_PORT}',
        'internal_ports': '7480,7495',
        'seeds': ','.join(f'{each}:{CONTROL_PORT}' for each in seeds),
        'bootstrap': 'true',
        'in_fault_budget': 'false',
        'limits.cpu_share': '0.537',
        'limits.cores': '2',
        'limits.memory_mb': '300',
        'limits.max_fds': '4100',
        'limits.link_mbps': '1000.0',
        'limits.disk_mb': '0',
        'discovery': 'platform',
        'entry': 'vip',
        'heartbeat_ms': '1200',
        'bounds.seed_lag_s': '3',
        'bounds.reuse_after_s': '2',
        'bounds.stable_ms': '4000',
        'bounds.ack_ms': '5000',
        'bounds.catch_up_s': '4',
        'bounds.drain_ms': '3000',
        'bounds.grace_s': '6',
        'bounds.loss_slack_ms': '200',
        'bounds.config_apply_ms': '3000',
        'bounds.back_ms': '250',
        'bounds.max_skew_ms': '12000',
        'bounds.retry_budget_ratio': '0.2',
        'bounds.retry_window_s': '10',
        'bounds.retry_slack': '54',
        'bounds.recovery_s': '12',
        'platform.address': '%s:%d' % store,
        'platform.form': 'kv',
        'platform.writes_per_s': '400',
        'platform.reads_per_s': '2000',
        'platform.history_s': '20',
        'platform.max_value_bytes': '1048576',
        'platform.min_ttl_ms': '1000',
        **fields,
    }
    path = pathlib.Path(folder) / f'{name}.conf'
    text = ''.join(f'{key}={value}\n' for key, value in values.items())
    path.write_text(text, encoding='utf-8')
    return path


def make_route(prefix, **fields):
    """Return a route of the configuration."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': 'safe',
        'timeout_ms': 6000,
        'latency_goal_ms': 600,
        'priority': 2,
        'max_attempts': 2,
        'public': False,
        'allowed_regions': [],
        **fields,
    }


def make_config(version, routes, services, **fields):
    """Return the operator's configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': LIMITS,
        **fields,
    }


@contextlib.asynccontextmanager
async def run_tier(record, places, zones, make_world, **settings):
    """Run a store, servers and one node for each of `places`.

    `places` are the zones of the nodes, and `zones` maps each zone to its
    region. `make_world` writes the configuration and starts the servers. All
    is stopped at the end.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = Store()
        await store.start('127.0.0.1')
        stack.push_async_callback(store.stop)
        servers = await make_world(store)
        for each in servers:
            stack.push_async_callback(each.stop)
        network = find_network()
        ips = [f'{network}.{last + 1}' for last in range(len(places))]
        seeds = [ips[places.index(zone)] for zone in dict.fromkeys(places)]
        nodes = []
        for number, (zone, ip) in enumerate(zip(places, ips)):
            name = f'front-{zone}-{number + 1}'
            path = write_settings(
                folder, name, zone, ip, zones, seeds, store.address, **settings
            )
            node = Node(record, name, zone, ip, path)
            stack.push_async_callback(node.close)
            await node.start()
            nodes.append(node)
        until = time.monotonic() + READY_TIMEOUT_S
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f'{node.name} is not ready')
                await asyncio.sleep(0.1)
        record.write('all nodes are ready')
        balancer = Balancer(record, nodes)
        balancer.start()
        stack.push_async_callback(balancer.stop)
        yield store, servers, balancer


def run_case(main, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble: {"yes" if is_troubled else "no"}')
    try:
        with contextlib.closing(record):
            is_broken = asyncio.run(main(record, is_troubled))
            record.write('rule broken' if is_broken else 'rule held')
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}')
        raise SystemExit(2) from error
    print('rule broken' if is_broken else 'rule held')
    raise SystemExit(1 if is_broken else 0)


def stop_process(node):
    """Let a node's process stand still."""
    node.send(signal.SIGSTOP)


def continue_process(node):
    """Let a node's process run on."""
    node.send(signal.SIGCONT)
