"""Running one plan: load, fault injection, and the final checks."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import signal

from rudderrock import core
from rudderrock import gateway
from rudderrock import platform
from rudderrock import standins
from rudderrock.soak import _checks as checks
from rudderrock.soak import _plan as plan_module
from rudderrock.soak import _world as world_module
from rudderrock.standins import platform as platform_standins

CALLERS = 6
_REQUEST_INTERVAL_S = 0.04
# Fraction of requests that are copies of a lethal one, once there is one.
_LETHAL_FRACTION = 0.1
_DEADLINE_MS = 1200
# A caller counts a connection as failed if no complete reply has arrived this
# long after the request's deadline.
_RESPONSE_GRACE_S = 4.0
_SETTLE_S = 6.0
_FINAL_TRIES = 5
# A period counts as undisturbed if no unplanned fault was active for this long
# before it.
_UNDISTURBED_S = 4.0
# Outage before the store is restored with no other fault active.
_RESTORE_OUTAGE_S = 0.3
# Number of hosts that are stopped with no other fault active.
_UNDISTURBED_STOPS = 2


@dataclasses.dataclass(slots=True)
class Report:
    """The injected faults, the reply statuses and the violations of a seed."""

    seed: int
    injected: collections.Counter[str]
    statuses: collections.Counter[int]
    checked: int
    violations: list[checks.Violation]


class Run:
    """The execution of one plan."""

    def __init__(self, plan: plan_module.Plan, world: world_module.World):
        self.sent: list[checks.Sent] = []
        self.injected: collections.Counter[str] = collections.Counter()
        self.violations: list[checks.Violation] = []
        self._plan = plan
        self._world = world
        self._disturbances: list[tuple[float, float]] = []
        self._count = 0
        self._is_finished = False
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send load, inject all faults, then check that all hosts recover."""
        loop = asyncio.get_running_loop()
        await self._world.wait_until_ready()
        started = loop.time()
        callers = [
            asyncio.create_task(
                self._call(
                    core.make_random(self._plan.seed, f'caller {number}')
                )
            )
            for number in range(CALLERS)
        ]
        for fault in self._plan.faults:
            await asyncio.sleep(
                max(0.0, started + fault.start_s - loop.time())
            )
            self.injected[_format_fault_name(fault)] += 1
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
        end = started + self._plan.length_s
        await asyncio.sleep(max(0.0, end - loop.time()))
        await asyncio.gather(*self._tasks)
        await self._stop_undisturbed()
        if self._plan.restores:
            await self._restore_undisturbed()
        await self._change_undisturbed()
        self._is_finished = True
        await asyncio.gather(*callers)
        await self._check_recovery()
        self._mark_undisturbed()

    def make_records(self) -> checks.Records:
        """Return the observations of callers and upstreams."""
        world = self._world
        runs = [
            (name, run)
            for name, model in world.upstreams.items()
            for run in model.runs
        ]
        arrivals = collections.defaultdict(list)
        for name, model in world.upstreams.items():
            arrivals[world.services[name]] += model.timed_arrivals
        return checks.Records(
            sent=self.sent,
            runs=runs,
            arrivals=arrivals,
            shard_sets=world.shard_sets,
            services=world.services,
            moves=world.moves,
            ratio=world_module.EXTRA_RATIO,
            slack=world_module.EXTRA_SLACK,
            window_s=world_module.EXTRA_WINDOW_S,
            crashes=world.list_crashes(),
            moved_at=world.moved_at,
            drained_at=world.drained_at,
        )

    async def _call(self, rng: random.Random) -> None:
        """Send requests as one caller, on one connection at a time."""
        while not self._is_finished:
            host = rng.choice(self._world.hosts)
            try:
                async with asyncio.timeout(1.0):
                    streams = await asyncio.open_connection(host.ip, host.port)
            except (OSError, TimeoutError):
                # The host is down; the next attempt picks a host at random.
                await asyncio.sleep(_REQUEST_INTERVAL_S)
                continue
            is_reusable = True
            while is_reusable and not self._is_finished:
                is_reusable = await self._exchange(rng, host, *streams)
                await asyncio.sleep(
                    _REQUEST_INTERVAL_S * rng.uniform(0.5, 1.5)
                )
            streams[1].transport.abort()

    async def _exchange(
        self, rng: random.Random, host: world_module.Host, reader, writer
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        sent = self._make_request(rng, host)
        self.sent.append(sent)
        writer.write(_render(sent))
        try:
            async with asyncio.timeout(
                _DEADLINE_MS / 1000 + _RESPONSE_GRACE_S
            ):
                await _read_response(reader, sent)
        except (OSError, EOFError, TimeoutError):
            # Status 0 marks a request without a reply for the checks.
            sent.status = 0
        sent.ended = asyncio.get_running_loop().time()
        closes = sent.headers.get('connection') == 'close'
        return sent.status != 0 and not closes

    def _make_request(
        self, rng: random.Random, host: world_module.Host
    ) -> checks.Sent:
        self._count += 1
        kind = rng.choice(('all', 'all', 'once', 'moved'))
        body = b''
        if kind == 'once':
            body = b'note %d' % self._count
        target = f'/{kind}/{self._count}?n={rng.randrange(100)}'
        if self._world.lethal and not self._is_finished:
            if rng.random() < _LETHAL_FRACTION:
                targets = sorted(self._world.lethal)
                target = targets[self._count % len(targets)]
                kind, body = target.split('/')[1], b''
        return checks.Sent(
            request_id=f's{self._plan.seed}-{self._count}',
            method='POST' if kind == 'once' else 'GET',
            target=target,
            body=body,
            host=host.number,
            incarnation=host.incarnation,
            at=asyncio.get_running_loop().time(),
        )

    async def _inject(self, fault: plan_module.Fault) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self._apply_fault(fault)
        if fault.kind not in plan_module.PLANNED:
            self._disturbances.append((started, loop.time()))

    async def _apply_fault(self, fault: plan_module.Fault) -> None:
        world = self._world
        store = world.store
        host = world.hosts[fault.target % len(world.hosts)]
        names = sorted(world.upstreams)
        name = names[fault.target % len(names)]
        kinds = plan_module.FaultKind
        match fault.kind:
            case kinds.KILL:
                host.send(signal.SIGKILL)
                await self._restart(host, fault.duration_s)
            case kinds.STOP:
                await self._stop(host, fault.duration_s)
            case kinds.PAUSE:
                host.send(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                host.send(signal.SIGCONT)
            case kinds.RELOAD:
                host.send(signal.SIGHUP)
            case kinds.STORE_REFUSES:
                store.refusal = fault.variant
                await asyncio.sleep(fault.duration_s)
                store.refusal = platform_standins.Refusal.NONE
            case kinds.STORE_SLOW:
                store.reply_delay_s = 0.3
                await asyncio.sleep(fault.duration_s)
                store.reply_delay_s = 0.0
            case kinds.STORE_LOSES_REPLIES:
                store.drop_replies = True
                await asyncio.sleep(fault.duration_s)
                store.drop_replies = False
            case kinds.STORE_COMPACTS_HISTORY:
                store.drop_history()
            case kinds.STORE_REVOKES_LEASES:
                store.revoke_leases()
            case kinds.STORE_RESTORED:
                await world.restore_store(fault.duration_s, fault.target)
            case kinds.PROXY_TO_STORE:
                await _apply_proxy_fault(host.proxy, fault)
            case kinds.PROXY_TO_UPSTREAM:
                await _apply_proxy_fault(world.proxies[name], fault)
            case kinds.UPSTREAM:
                model = world.upstreams[name]
                model.fault_mode = fault.variant
                await asyncio.sleep(fault.duration_s)
                model.fault_mode = standins.FaultMode.GOOD
            case kinds.UPSTREAM_RESTARTS:
                world.upstreams[name].cut_connections()
            case kinds.UPSTREAM_DRAINS:
                world.drain(name)
            case kinds.LETHAL_REQUEST:
                routes = ('all', 'once', 'moved')
                route = routes[fault.target % len(routes)]
                number = len(world.lethal) or ''
                world.make_lethal(f'/{route}/lethal{number}')
            case kinds.MOVE_ROUTE:
                await world.move_route()
            case kinds.REPARTITION:
                await world.add_shards(3 + fault.target % 4)
                await asyncio.sleep(fault.duration_s)
                await world.move_route()

    async def _stop(self, host: world_module.Host, down_s: float) -> None:
        if not host.is_up or host.is_stopping:
            return
        host.is_stopping = True
        loop = asyncio.get_running_loop()
        started = loop.time()
        host.send(signal.SIGTERM)
        if not await host.wait(world_module.STOP_GRACE_S + 2.0):
            self._disturbances.append((started, loop.time()))
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        await self._restart(host, down_s / 3)

    async def _restart(self, host: world_module.Host, after_s: float) -> None:
        await host.wait(5.0)
        await asyncio.sleep(after_s / 3)
        if not host.is_up:
            await host.start()

    async def _stop_undisturbed(self) -> None:
        """Stop hosts as planned, under load, with no other fault active."""
        await asyncio.sleep(_UNDISTURBED_S + 0.5)
        for host in self._world.hosts[:_UNDISTURBED_STOPS]:
            self.injected['stop/calm'] += 1
            await self._stop(host, 0.0)

    async def _restore_undisturbed(self) -> None:
        """Restore the store from its oldest snapshot, with no other fault.

        Return when the period counts as undisturbed again.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.injected['store_returns/calm'] += 1
        await self._world.restore_store(_RESTORE_OUTAGE_S, -1)
        self._disturbances.append((started, loop.time()))
        await asyncio.sleep(_UNDISTURBED_S + 0.5)

    async def _change_undisturbed(self) -> None:
        """Write a table version and drain an upstream, with no other fault.

        Load continues until both must have taken effect, so that the checks
        have requests from that time.
        """
        await self._world.move_route()
        shards = self._world.list_upstreams_of_shards()
        self._world.drain(shards[self._plan.seed % len(shards)])
        await asyncio.sleep(
            max(checks.TABLE_DEADLINE_S, checks.DRAIN_DEADLINE_S) + 1.0
        )

    async def _check_recovery(self) -> None:
        """Check that every host answers requests after all faults end."""
        await asyncio.sleep(_SETTLE_S)
        rng = core.make_random(self._plan.seed, 'final')
        for host in self._world.hosts:
            if not host.is_up:
                await host.start()
        await self._world.wait_until_ready()
        for host in self._world.hosts:
            if not await self._is_serving(rng, host):
                detail = f'host {host.number} after {_FINAL_TRIES} tries'
                self.violations.append(checks.Violation('recovery', detail))

    async def _is_serving(
        self, rng: random.Random, host: world_module.Host
    ) -> bool:
        for _ in range(_FINAL_TRIES):
            streams = await asyncio.open_connection(host.ip, host.port)
            await self._exchange(rng, host, *streams)
            streams[1].transport.abort()
            if self.sent[-1].status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def _mark_undisturbed(self) -> None:
        for sent in self.sent:
            sent.calm = not any(
                started - 0.1 <= sent.ended
                and sent.at - _UNDISTURBED_S <= ended
                for started, ended in self._disturbances
            )


async def run_seed(
    seed: int,
    length: float,
    hosts: int,
    folder: pathlib.Path,
    lethal: int = 1,
    returns: int = 0,
) -> Report:
    """Run the plan of one seed and return its report.

    `length` is the duration of the load in seconds. `hosts` is the number of
    gateway processes; their logs go to a file in `folder`. `lethal` is the
    number of different requests that crash the upstreams which run them.
    `returns` is how many times the store is restored from a snapshot while
    other faults may be active.
    """
    plan = plan_module.make_plan(seed, length, hosts, lethal, returns)
    with contextlib.ExitStack() as files:
        log = files.enter_context(
            (folder / f'seed-{seed}.log').open('wb', buffering=0)
        )
        world = world_module.World(folder, log)
        async with world.open(hosts):
            run = Run(plan, world)
            await run.run()
            records = run.make_records()
    violations = run.violations + checks.check_records(records)
    statuses = collections.Counter(each.status for each in run.sent)
    return Report(seed, run.injected, statuses, len(run.sent), violations)


async def _apply_proxy_fault(proxy, fault: plan_module.Fault) -> None:
    proxy.set_fault(fault.variant)
    await asyncio.sleep(fault.duration_s)
    proxy.set_fault(plan_module.ProxyFault.NONE)


def _format_fault_name(fault: plan_module.Fault) -> str:
    if fault.variant is None:
        return fault.kind.value
    return f'{fault.kind.value}/{fault.variant.value}'


def _render(sent: checks.Sent) -> bytes:
    headers = [
        (b'host', b'members.example'),
        (platform.NAMES.request_id, sent.request_id.encode('ascii')),
        (platform.NAMES.deadline_ms, b'%d' % _DEADLINE_MS),
    ]
    return gateway.render_request(
        sent.method.encode('ascii'),
        sent.target.encode('ascii'),
        headers,
        sent.body,
    )


async def _read_response(reader, sent: checks.Sent) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').strip().split('\r\n')
    for line in lines:
        key, _, value = line.partition(':')
        sent.headers[key.strip().lower()] = value.strip()
    length = int(sent.headers.get('content-length', '0'))
    sent.reply = await reader.readexactly(length)
    sent.status = int(first.split(' ')[1])
