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
from rudderrock.soak import _environment as environment_module
from rudderrock.soak import _plan as plan_module
from rudderrock.standins import platform as platform_standins

CALLERS = 6
_REQUEST_INTERVAL_S = 0.04
# Fraction of requests that are copies of a lethal request, after the first
# such fault.
_LETHAL_FRACTION = 0.1
_DEADLINE_MS = 1200
# Seconds after the deadline of a request at which its caller stops waiting for
# a complete reply.
_RESPONSE_GRACE_S = 4.0
# Seconds from the end of the load to the recovery check, and the number of
# requests that the check sends to a host at most, until one is answered with
# status 200.
_SETTLE_S = 6.0
_FINAL_TRIES = 5
# A period counts as undisturbed if no unplanned fault was active during it and
# for this many seconds before it.
_UNDISTURBED_S = 4.0
# Outage before the store is restored with no other fault active.
_RESTORE_OUTAGE_S = 0.3
# Number of SIGHUPs that a starting host receives, and the interval between
# them in seconds. They cover the import of its modules.
_EARLY_SIGNALS = 10
_EARLY_SIGNAL_INTERVAL_S = 0.03
# Number of hosts that are stopped with no other fault active.
_UNDISTURBED_STOPS = 2


@dataclasses.dataclass(slots=True)
class Report:
    """The injected faults, the reply statuses and the violations of a seed.

    `checked` is the number of requests that callers sent.
    """

    seed: int
    injected: collections.Counter[str]
    statuses: collections.Counter[int]
    checked: int
    violations: list[checks.Violation]


class Run:
    """The execution of one plan."""

    def __init__(
        self,
        plan: plan_module.Plan,
        environment: environment_module.Environment,
    ):
        self.sent: list[checks.Sent] = []
        self.injected: collections.Counter[str] = collections.Counter()
        self.violations: list[checks.Violation] = []
        self._plan = plan
        self._environment = environment
        self._disturbances: list[tuple[float, float]] = []
        self._request_count = 0
        self._is_finished = False
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send load, inject all faults, then check that all hosts recover."""
        loop = asyncio.get_running_loop()
        await self._environment.wait_until_ready()
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

    def collect_observations(self) -> checks.Records:
        """Return the observations of callers and upstreams."""
        environment = self._environment
        runs = [
            (name, run)
            for name, upstream in environment.upstreams.items()
            for run in upstream.runs
        ]
        arrivals = collections.defaultdict(list)
        for name, upstream in environment.upstreams.items():
            arrivals[environment.services[name]] += upstream.timed_arrivals
        return checks.Records(
            sent=self.sent,
            runs=runs,
            arrivals=arrivals,
            shard_sets=environment.shard_sets,
            services=environment.services,
            moves=environment.moves,
            ratio=environment_module.EXTRA_RATIO,
            slack=environment_module.EXTRA_SLACK,
            window_s=environment_module.EXTRA_WINDOW_S,
            crashes=environment.list_crashes(),
            moved_at=environment.moved_at,
            drained_at=environment.drained_at,
        )

    async def _call(self, rng: random.Random) -> None:
        """Send requests as one caller, on one connection at a time."""
        while not self._is_finished:
            host = rng.choice(self._environment.hosts)
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
        self, rng: random.Random, host: environment_module.Host, reader, writer
    ) -> bool:
        """Send one request and record it with its reply in `sent`.

        Return whether the connection can be reused.
        """
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
        self, rng: random.Random, host: environment_module.Host
    ) -> checks.Sent:
        self._request_count += 1
        route = rng.choice(('all', 'all', 'once', 'moved'))
        body = b''
        if route == 'once':
            body = b'note %d' % self._request_count
        target = f'/{route}/{self._request_count}?n={rng.randrange(100)}'
        if self._environment.lethal and not self._is_finished:
            if rng.random() < _LETHAL_FRACTION:
                targets = sorted(self._environment.lethal)
                target = targets[self._request_count % len(targets)]
                route, body = target.split('/')[1], b''
        return checks.Sent(
            request_id=f's{self._plan.seed}-{self._request_count}',
            method='POST' if route == 'once' else 'GET',
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
        if fault.kind not in plan_module.OPERATIONS:
            self._disturbances.append((started, loop.time()))

    async def _apply_fault(self, fault: plan_module.Fault) -> None:
        environment = self._environment
        store = environment.store
        host = environment.hosts[fault.target % len(environment.hosts)]
        names = sorted(environment.upstreams)
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
                await environment.restore_store(fault.duration_s, fault.target)
            case kinds.PROXY_TO_STORE:
                await _apply_proxy_fault(host.proxy, fault)
            case kinds.PROXY_TO_UPSTREAM:
                await _apply_proxy_fault(environment.proxies[name], fault)
            case kinds.UPSTREAM_MISBEHAVES:
                upstream = environment.upstreams[name]
                upstream.fault_mode = fault.variant
                await asyncio.sleep(fault.duration_s)
                upstream.fault_mode = standins.FaultMode.GOOD
            case kinds.UPSTREAM_RESTARTS:
                environment.upstreams[name].cut_connections()
            case kinds.UPSTREAM_DRAINS:
                environment.drain(name)
            case kinds.LETHAL_REQUEST:
                routes = ('all', 'once', 'moved')
                route = routes[fault.target % len(routes)]
                number = len(environment.lethal) or ''
                environment.make_lethal(f'/{route}/lethal{number}')
            case kinds.ENDLESS_REPLIES:
                upstream = environment.upstreams[name]
                upstream.fault_mode = standins.FaultMode.ENDLESS
                await asyncio.sleep(fault.duration_s)
                upstream.fault_mode = standins.FaultMode.GOOD
                upstream.cut_connections()
            case kinds.ODD_ENTRY:
                await environment.leave_odd_entry(
                    fault.target, fault.duration_s
                )
            case kinds.EARLY_SIGNALS:
                await self._signal_early(host)
            case kinds.MOVE_ROUTE:
                await environment.move_route()
            case kinds.REPARTITION:
                await environment.add_shards(3 + fault.target % 4)
                await asyncio.sleep(fault.duration_s)
                await environment.move_route()

    async def _stop(
        self, host: environment_module.Host, duration_s: float
    ) -> None:
        """Stop a host gracefully and start it again.

        It is down for a ninth of `duration_s`. Do nothing if it is down or
        stopping already.
        """
        if not host.is_up or host.is_stopping:
            return
        host.is_stopping = True
        loop = asyncio.get_running_loop()
        started = loop.time()
        host.send(signal.SIGTERM)
        if not await host.wait(environment_module.STOP_GRACE_S + 2.0):
            # The host did not stop in time, possibly because it is paused.
            # Kill it and count the stop as a disturbance.
            self._disturbances.append((started, loop.time()))
            host.send(signal.SIGCONT)
            host.send(signal.SIGKILL)
        await self._restart(host, duration_s / 3)

    async def _restart(
        self, host: environment_module.Host, duration_s: float
    ) -> None:
        """Start a host a third of `duration_s` after its process ended."""
        await host.wait(5.0)
        await asyncio.sleep(duration_s / 3)
        if not host.is_up:
            await host.start()

    async def _signal_early(self, host: environment_module.Host) -> None:
        """Kill a host, and send it SIGHUP several times while it starts."""
        host.send(signal.SIGKILL)
        await self._restart(host, 0.0)
        await host.wait_until_signals_are_held()
        for _ in range(_EARLY_SIGNALS):
            host.send(signal.SIGHUP)
            await asyncio.sleep(_EARLY_SIGNAL_INTERVAL_S)

    async def _stop_undisturbed(self) -> None:
        """Stop hosts gracefully under load, with no fault active."""
        await asyncio.sleep(_UNDISTURBED_S + 0.5)
        for host in self._environment.hosts[:_UNDISTURBED_STOPS]:
            self.injected['stop/calm'] += 1
            await self._stop(host, 0.0)

    async def _restore_undisturbed(self) -> None:
        """Restore the store from its oldest snapshot, with no other fault.

        Return when the period counts as undisturbed again.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.injected['store_returns/calm'] += 1
        await self._environment.restore_store(_RESTORE_OUTAGE_S, -1)
        self._disturbances.append((started, loop.time()))
        await asyncio.sleep(_UNDISTURBED_S + 0.5)

    async def _change_undisturbed(self) -> None:
        """Write a table version and drain an upstream, with no other fault.

        Then wait, under load, until the table version and the drain must have
        taken effect, so that the checks cover later requests.
        """
        await self._environment.move_route()
        shards = self._environment.list_upstreams_of_shards()
        self._environment.drain(shards[self._plan.seed % len(shards)])
        await asyncio.sleep(
            max(checks.TABLE_DEADLINE_S, checks.DRAIN_DEADLINE_S) + 1.0
        )

    async def _check_recovery(self) -> None:
        """Check that every host answers requests after all faults end."""
        await asyncio.sleep(_SETTLE_S)
        rng = core.make_random(self._plan.seed, 'final')
        for host in self._environment.hosts:
            if not host.is_up:
                await host.start()
        await self._environment.wait_until_ready()
        for host in self._environment.hosts:
            if not await self._is_serving(rng, host):
                detail = f'host {host.number} after {_FINAL_TRIES} tries'
                self._report('recovery', detail)

    async def _is_serving(
        self, rng: random.Random, host: environment_module.Host
    ) -> bool:
        for _ in range(_FINAL_TRIES):
            streams = await asyncio.open_connection(host.ip, host.port)
            await self._exchange(rng, host, *streams)
            streams[1].transport.abort()
            if self.sent[-1].status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def check_processes(self, log: str) -> None:
        """Check that no process ended by itself, grew too large or failed."""
        for host in self._environment.hosts:
            host.record_end()
            if host.own_ends:
                detail = f'host {host.number}: exit codes {host.own_ends}'
                self._report('no process ends by itself', detail)
            if host.peak_bytes > environment_module.MEMORY_LIMIT_BYTES:
                detail = f'host {host.number}: {host.peak_bytes} bytes'
                self._report('a process keeps to its memory', detail)
        tracebacks = log.count('Traceback')
        if tracebacks:
            self._report('no defect', f'{tracebacks} tracebacks')

    def _report(self, guarantee: str, detail: str) -> None:
        self.violations.append(checks.Violation(guarantee, detail))

    def _mark_undisturbed(self) -> None:
        """Set `calm` of each request.

        A request that ended up to 0.1 s before a disturbance began counts as
        disturbed too.
        """
        for sent in self.sent:
            sent.calm = not any(
                started - 0.1 <= sent.ended
                and sent.at - _UNDISTURBED_S <= ended
                for started, ended in self._disturbances
            )


async def run_seed(
    seed: int,
    length_s: float,
    hosts: int,
    folder: pathlib.Path,
    lethal: int = 1,
    returns: int = 0,
    odd: int = 0,
) -> Report:
    """Run the plan of one seed and return its report.

    `length_s` is the duration of the load in seconds. `hosts` is the number of
    gateway processes; their logs go to a file in `folder`. `lethal` is the
    number of different requests each of which crashes every upstream that
    runs it.
    `returns` is how many times the store is restored from a snapshot while
    other faults may be active. `odd` is how many times each kind of odd data
    or signal comes from outside.
    """
    plan = plan_module.make_plan(seed, length_s, hosts, lethal, returns, odd)
    log_path = folder / f'seed-{seed}.log'
    with contextlib.ExitStack() as files:
        log = files.enter_context(log_path.open('wb', buffering=0))
        environment = environment_module.Environment(folder, log)
        async with environment.open(hosts):
            run = Run(plan, environment)
            await run.run()
            run.check_processes(log_path.read_text(errors='replace'))
            records = run.collect_observations()
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
