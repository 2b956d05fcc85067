"""The gateway processes under test and their stand-ins and proxies."""

import asyncio
import collections
import contextlib
import pathlib
import signal
import sys

from rudderrock import core
from rudderrock import platform
from rudderrock import standins
from rudderrock.soak import _checks as checks
from rudderrock.soak import _ports as ports
from rudderrock.soak import _proxy as proxy
from rudderrock.standins import platform as platform_standins

# The limit on extra requests. The slack is written to the settings file; the
# ratio and the window are as `make_settings_file` writes them.
EXTRA_RATIO = 0.2
EXTRA_SLACK = 30.0
EXTRA_WINDOW_S = 10.0
STOP_GRACE_S = 3.0
MEMORY_LIMIT_BYTES = 300_000_000
SHARDS = 4
# Number of shards in each set that have upstreams only in zone south-1, so
# that hosts in north-1 delegate requests for them to hosts in south-1.
REMOTE_SHARDS = 3
_ZONES = ('north-1', 'south-1')
ROUTE_TIMEOUT_S = 1.5
# Consecutive ports that are checked to be free for each host. The settings
# file names the first, the second and the fourth of them; it also names the
# port 9 above the first, which is not checked.
_PORTS_PER_HOST = 4
_READY_TRIES = 300
_POLL_INTERVAL_S = 0.002
_HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
_SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
# Interval between snapshots of the store, and between the revisions that
# `_advance_store` adds.
_SNAPSHOT_PERIOD_S = 0.5
# Number of snapshots kept; the oldest is 10 s old.
_MAX_SNAPSHOTS = 20
# Delay from a restore until the operator writes the table again.
_REWRITE_DELAY_S = 0.1
# After that, each upstream registers again at its next heartbeat, within this
# many seconds.
_HEARTBEAT_PERIOD_S = 1.2


class Host:
    """One gateway host; each start of its process is a new incarnation."""

    def __init__(self, number: int, network: str, folder: pathlib.Path, log):
        self.number = number
        # Each host has its own address, as on the platform.
        self.ip = f'{network}.{number + 1}'
        self.incarnation = 0
        self.port = 0
        self.proxy = None
        self.is_paused = False
        self.is_stopping = False
        # Exit codes of processes that ended without being asked to.
        self.own_ends: list[int] = []
        self.peak_bytes = 0
        self._expected_codes: set[int] = set()
        self._log = log
        self._file = folder / f'host-{number}.conf'
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_up(self) -> bool:
        """Return whether the process is running."""
        process = self._process
        return process is not None and process.returncode is None

    async def configure(self, store: tuple[str, int]) -> None:
        """Start the proxy to the store and write the settings file."""
        self.proxy = proxy.Proxy(store)
        await self.proxy.start()
        self.port = ports.find_port_range(_PORTS_PER_HOST, self.ip)
        zone = 'north-1' if self.number % 2 else 'south-1'
        self._file.write_text(
            platform_standins.make_settings_file(
                self.ip,
                self.port,
                '%s:%d' % self.proxy.address,
                name=f'host-{self.number}',
                zone=zone,
                stop_s=STOP_GRACE_S,
                slack=EXTRA_SLACK,
                **{'limits.memory_mb': f'{MEMORY_LIMIT_BYTES / 1e6:g}'},
            ),
            encoding='utf-8',
        )

    async def start(self) -> None:
        """Start the process as a new incarnation."""
        self.record_end()
        self.incarnation += 1
        self.is_paused = False
        self.is_stopping = False
        self._expected_codes = set()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'rudderrock.programs.gateway',
            '--config',
            str(self._file),
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        match number:
            case signal.SIGKILL:
                self._expected_codes.add(-signal.SIGKILL)
            case signal.SIGTERM:
                self._expected_codes.add(0)
        if self.is_up:
            is_held = self._read_held_signals() & 1 << (number - 1)
            if number in _HANDLED_SIGNALS and not is_held:
                # The interpreter starts, and no program can change the
                # default action of the signal, which ends the process.
                self._expected_codes.add(-number)
            self._process.send_signal(number)

    async def wait_until_signals_are_held(self) -> None:
        """Wait until SIGHUP no longer has its default action.

        Before that the interpreter starts, and no program can change it.
        """
        while self.is_up and not self._read_held_signals() & _SIGHUP_BIT:
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _read_held_signals(self) -> int:
        """Return the set of blocked, ignored and caught signals (proc(5))."""
        held = 0
        for name, value in self._read_status().items():
            if name in ('SigBlk', 'SigIgn', 'SigCgt'):
                held |= int(value, 16)
        return held

    def _read_status(self) -> dict[str, str]:
        path = pathlib.Path(f'/proc/{self._process.pid}/status')
        try:
            lines = path.read_text(encoding='utf-8').splitlines()
        except OSError:
            # The process has ended.
            return {}
        pairs = (line.partition(':') for line in lines)
        return {name: value.strip() for name, _, value in pairs}

    def record_end(self) -> None:
        """Record the peak of the process, and its end if it was its own."""
        if self._process is None:
            return
        if self.is_up:
            peak = self._read_status().get('VmHWM', '0 kB').split()[0]
            self.peak_bytes = max(self.peak_bytes, 1024 * int(peak))
        elif self._process.returncode not in self._expected_codes:
            self.own_ends.append(self._process.returncode)

    async def wait(self, seconds: float) -> bool:
        """Wait for the process to exit; return whether it did in time."""
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Kill the process and stop the proxy to the store."""
        if self.is_up:
            self._process.kill()
            await self._process.wait()
        await self.proxy.stop()


class Environment:
    """The hosts under test, and the stand-ins and proxies around them."""

    def __init__(self, folder: pathlib.Path, log):
        self.store = platform_standins.PlatformStore()
        self.hosts: list[Host] = []
        self.upstreams: dict[str, standins.WireUpstream] = {}
        self.services: dict[str, str] = {}
        self.proxies: dict[str, proxy.Proxy] = {}
        # Times at which upstreams started to drain and table versions were
        # written, in seconds by the clock of the event loop.
        self.drained_at: dict[str, float] = {}
        self.moved_at: list[float] = []
        self.shard_sets: list[frozenset[str]] = []
        self.moves: list[str] = []
        # Targets of requests that crash each upstream which runs them.
        self.lethal: frozenset[str] = frozenset()
        # Address of all stand-ins, in the network of this soak's hosts.
        self._ip = ''
        self._folder = folder
        self._log = log
        self._table_version = 0
        self._table_raw = b''
        self._registrations: dict[str, bytes] = {}
        self._snapshots: collections.deque[platform_standins.StoreSnapshot] = (
            collections.deque(maxlen=_MAX_SNAPSHOTS)
        )
        self._shards: list[str] = []
        self._upstream_count = 0

    @contextlib.asynccontextmanager
    async def open(self, hosts: int):
        """Start store, upstreams and hosts; stop them at context exit."""
        async with contextlib.AsyncExitStack() as stack:
            network = ports.find_network(platform.METRICS_PORT)
            self._ip = f'{network}.{ports.STAND_IN_OCTET}'
            port = ports.find_port_range(1, self._ip)
            await self.store.start(self._ip, port)
            stack.push_async_callback(self.store.stop)
            self._stack = stack
            await self.add_service('once')
            await self.add_shards(SHARDS)
            await self.move_route()
            for number in range(hosts):
                host = Host(number, network, self._folder, self._log)
                await host.configure((self._ip, port))
                stack.push_async_callback(host.close)
                await host.start()
                self.hosts.append(host)
            store_task = asyncio.create_task(self._advance_store())
            stack.push_async_callback(core.end_task, store_task)
            yield self

    def list_stand_in_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the store and of all upstreams."""
        found = [self.store, *self.upstreams.values()]
        return [each.address for each in found]

    async def add_upstream(self, service: str, zone: str) -> None:
        """Start one upstream behind a proxy and register it."""
        self._upstream_count += 1
        name = f'i-{self._upstream_count:04d}'
        upstream = standins.WireUpstream(
            name,
            platform.NAMES,
            records=lambda request_id: checks.make_records(name, request_id),
            work_s=0.01,
        )
        # The upstream stops listening when it plays a crash.
        reserved = ports.reserve_port(self._ip)
        self._stack.callback(reserved.close)
        port = reserved.getsockname()[1]
        await upstream.start(self._ip, port)
        self._stack.push_async_callback(upstream.stop)
        upstream_proxy = proxy.Proxy((self._ip, port))
        await upstream_proxy.start()
        self._stack.push_async_callback(upstream_proxy.stop)
        upstream.lethal = self.lethal
        upstream.on_crash = lambda: upstream_proxy.refuse_connections(
            standins.DOWN_S
        )
        self.upstreams[name] = upstream
        self.services[name] = service
        self.proxies[name] = upstream_proxy
        self.register(name, zone)

    def register(
        self, name: str, zone: str, state: str = 'ready', sequence: int = 1
    ) -> None:
        """Write an upstream's entry."""
        raw = platform_standins.make_server(
            self.services[name],
            '%s:%d' % self.proxies[name].address,
            zone,
            state,
            sequence,
        )
        self._registrations[name] = raw
        self.store.put_server(name, raw)

    async def restore_store(self, away_s: float, age: int) -> None:
        """Restore the store from a snapshot, after an outage of `away_s`.

        `age` counts back from the newest snapshot, modulo the number of
        snapshots; -1 is the oldest. After the restore the operator writes
        the newest table version again. Each upstream writes its last entry
        again at its next heartbeat, if the snapshot lacks it.
        """
        snapshot = self._snapshots[-1 - age % len(self._snapshots)]
        self.store.refusal = platform_standins.Refusal.RESET
        await asyncio.sleep(away_s)
        self.store.refusal = platform_standins.Refusal.NONE
        self.store.restore(snapshot)
        era = self.store.era
        await asyncio.sleep(_REWRITE_DELAY_S)
        if self.store.era == era:
            self.store.put_config(self._table_raw)
        for name in sorted(self._registrations):
            await asyncio.sleep(_HEARTBEAT_PERIOD_S / len(self._registrations))
            if self.store.era == era:
                self.store.put_server_if_changed(
                    name, self._registrations[name]
                )

    async def leave_odd_entry(self, number: int, seconds: float) -> None:
        """Write an odd entry, as another writer would, for some seconds."""
        key, value = platform_standins.make_odd_entry(number, self._ip)
        self.store.put(key, value)
        await asyncio.sleep(seconds)
        self.store.remove(key)

    def make_lethal(self, target: str) -> None:
        """Make requests for a target crash each upstream that runs them."""
        self.lethal |= {target}
        for upstream in self.upstreams.values():
            upstream.lethal = self.lethal

    def list_crashes(self) -> dict[str, list[float]]:
        """Return the times of upstream crashes by target of the request."""
        crashes = collections.defaultdict(list)
        for upstream in self.upstreams.values():
            for at, target in upstream.crash_log:
                crashes[target].append(at)
        return dict(crashes)

    def drain(self, name: str) -> None:
        """Register an upstream as draining.

        Do nothing if no other upstream of its service is left that does not
        drain. The entry names zone north-1, whatever the upstream's zone.
        """
        service = self.services[name]
        others = [
            each
            for each, own in self.services.items()
            if own == service and each != name and each not in self.drained_at
        ]
        if others and name not in self.drained_at:
            self.drained_at[name] = asyncio.get_running_loop().time()
            self.register(name, 'north-1', 'draining', 2)

    def list_upstreams_of_shards(self) -> list[str]:
        """Return the upstreams of the shards in the newest table version."""
        return sorted(
            name
            for name, service in self.services.items()
            if service in self._shards
        )

    async def add_shards(self, count: int) -> None:
        """Start a new set of shards, which replaces the current set.

        `count` of them have upstreams in both zones and another
        `REMOTE_SHARDS` only in south-1.
        """
        first = len(self.shard_sets) * 100
        total = count + REMOTE_SHARDS
        self._shards = [f'shard-{first + each}' for each in range(total)]
        for shard in self._shards[:count]:
            await self.add_service(shard)
        for shard in self._shards[count:]:
            await self.add_service(shard, ('south-1', 'south-1'))
        self.shard_sets.append(frozenset(self._shards))

    async def add_service(
        self, service: str, zones: tuple[str, ...] = _ZONES
    ) -> None:
        """Start one upstream of a service for each element of `zones`."""
        for zone in zones:
            await self.add_upstream(service, zone)

    async def move_route(self) -> None:
        """Write a table version that moves one route to a new service."""
        # Table versions may skip numbers.
        self._table_version += 3
        target = f'moved-{len(self.moves)}'
        await self.add_service(target)
        self.moves.append(target)
        routes = [
            platform_standins.make_gather(
                '/all/', self._shards, checks.TOP_K, checks.MIN_COVERAGE
            ),
            platform_standins.make_route('/once/', 'once', once=True),
            platform_standins.make_route('/moved/', target),
        ]
        raw = platform_standins.make_config(
            self._table_version, routes, timeout_s=ROUTE_TIMEOUT_S
        )
        self._table_raw = raw
        self.moved_at.append(asyncio.get_running_loop().time())
        self.store.put_config(raw)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check of every host succeeds."""
        for host in self.hosts:
            for _ in range(_READY_TRIES):
                if await is_ready(host):
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f'host {host.number} not ready in time')

    async def _advance_store(self) -> None:
        """Take a snapshot and advance the revision periodically.

        Heartbeats of upstreams would advance the revision too.
        """
        while True:
            self._snapshots.append(self.store.make_snapshot())
            await asyncio.sleep(_SNAPSHOT_PERIOD_S)
            self.store.revision += 1


async def is_ready(host: Host) -> bool:
    """Return whether a host's readiness endpoint answers with 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                host.ip, host.port + 1
            )
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readline()
            writer.transport.abort()
    except (OSError, TimeoutError):
        return False
    return b' 200 ' in line
