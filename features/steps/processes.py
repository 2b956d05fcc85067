"""Steps that run entry hosts in processes of their own."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import msgspec
import result

from features.steps.common import run
from rudderrock import coordination
from rudderrock import experiments
from rudderrock import protocol
from rudderrock import soak
from rudderrock import standins
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _caller_client as caller_client
from rudderrock.programs import _operator_client as operator_client
from rudderrock.programs import _runtime as runtime

use_step_matcher('re')

_OPERATOR_SECRET = 'operator secret of this scenario'
_SERVICES = 6
_CALL_INTERVAL_S = 0.02
_READY_ATTEMPTS = 600
_CALL_TIMEOUT_S = 5.0
_LOAD_MARGIN_S = 3.0


class _EntryProcesses:
    """Entry hosts in processes of their own, and the calls sent to them."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.standins = None
        self.running = {}
        self.caller_addresses = {}
        self.control_addresses = {}
        self.calls = []
        self.cut_off_hosts = []
        self.stopping = set()
        self.token = ''
        self.rng = random.Random(5)
        self.load_task = None

    async def open(self, stack, hosts):
        deployment = standins.Deployment(
            name='processes',
            hosts=hosts,
            network=standins.Network(regions={'north': ['north-1']}),
            groups=[
                standins.Group(
                    collection='members',
                    services=_SERVICES,
                    service_s=0.001,
                )
            ],
        )
        self.standins = await stack.enter_async_context(
            standins.serve_standins(
                deployment, runtime.make_system_clock(), random.Random(1)
            )
        )
        kv = self.standins.kv
        await standins.publish(
            kv, coordination.LAYOUT_KEY, self.standins.layout
        )
        self.token = state.make_token('desk', self.rng)
        hashed = state.hash_token(self.token, self.rng)
        row = state.TeamRow(
            team='desk',
            token_hashes=(hashed,),
            may_write=True,
            deadline_s=2.0,
        )
        table = state.Table(revision=1, rows={'desk': row})
        await standins.publish(kv, coordination.TABLE_KEY, table)
        stack.push_async_callback(self._kill_all)
        for number in range(1, hosts + 1):
            self.caller_addresses[number] = _find_free_address()
            self.control_addresses[number] = _find_free_address()
            self.standins.host_list.hosts.append(
                transport.ListedHost(
                    host=f'h{number}',
                    zone='north-1',
                    control=self.control_addresses[number],
                )
            )
            await self.start(number)
        for number in range(1, hosts + 1):
            await self.wait_until_ready(number)

    async def start(self, number):
        path = self.folder / f'h{number}.toml'
        path.write_text(
            f'[host]\nid = "h{number}"\nzone = "north-1"\n'
            f'callers = "{self.caller_addresses[number]}"\n'
            f'control = "{self.control_addresses[number]}"\n'
            f'[platform]\nkv = "{self.standins.kv_address}"\n'
            f'host_list = "{self.standins.host_list_address}"\n'
            '[drain]\nbalancer_lag_s = 0.5\n'
        )
        secrets = {
            'RUDDERROCK_PEER_SECRET': 'peer secret of this scenario',
            'RUDDERROCK_OPERATOR_SECRET': _OPERATOR_SECRET,
        }
        self.running[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'rudderrock.programs.entry',
            str(path),
            '--log',
            'error',
            env={**os.environ, **secrets},
        )

    async def wait_until_ready(self, number):
        client = operator_client.OperatorClient(_OPERATOR_SECRET)
        for _ in range(_READY_ATTEMPTS):
            status = await client.get_status(self.control_addresses[number])
            match status:
                case result.Ok(host_status):
                    if host_status.state is coordination.HostState.SERVING:
                        return
            await asyncio.sleep(0.05)
        raise AssertionError(f'host {number} did not become ready')

    async def send_all(self, seconds):
        """Send queries and commands, some of them repeated, to all hosts."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        keys = []
        async with asyncio.TaskGroup() as group:
            number = 0
            while loop.time() < end:
                number += 1
                host = 1 + number % len(self.caller_addresses)
                if host in self.stopping:
                    # A load balancer removes a host that is no longer ready.
                    continue
                if number % 5 == 0:
                    if not keys or self.rng.random() < 0.5:
                        keys.append(self._make_key())
                    key = self.rng.choice(keys)
                    group.create_task(self._command(host, key))
                else:
                    group.create_task(self._query(host, f'q{number}'))
                await asyncio.sleep(_CALL_INTERVAL_S)

    def _make_key(self):
        unix_s = int(runtime.make_system_clock().wall())
        return f'{unix_s:010d}-{self.rng.getrandbits(64):016x}'

    async def _query(self, host, marker):
        query = protocol.Query(
            collection='members', body=msgspec.Raw(json.dumps(marker).encode())
        )
        await self._call(
            host, marker, None, lambda client: client.query(query)
        )

    async def _command(self, host, key):
        command = protocol.Command(
            collection='members',
            routing_key='member-1',
            body=msgspec.Raw(json.dumps(key).encode()),
        )
        await self._call(
            host, key, key, lambda client: client.command(command, key)
        )

    async def _call(self, host, marker, key, send):
        client = caller_client.CallerClient(
            self.caller_addresses[host], self.token
        )
        reply = result.Err(None)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                reply = await send(client)
        await client.close()
        outcome = _read_outcome(reply)
        if outcome is None:
            self.cut_off_hosts.append(host)
        self.calls.append(experiments.Call(marker, key, outcome))

    async def _kill_all(self):
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
                await process.wait()


def _find_free_address():
    return f'127.0.0.1:{soak.find_port_range(1, "127.0.0.1")}'


def _read_outcome(reply):
    match reply:
        case result.Ok(transport.RawReply(status=200, body=body)):
            answered = protocol.decode(protocol.Answered, body)
            return answered.ok() or (
                protocol.decode(protocol.Recorded, body).unwrap()
            )
        case result.Ok(transport.RawReply(body=body)):
            problem = protocol.decode(protocol.ProblemDetails, body).unwrap()
            if problem.outcome is protocol.ExecutionStatus.NOT_RUN:
                return protocol.Refused(
                    reason=protocol.RefusalReason.UPSTREAM,
                    detail=problem.detail,
                )
            return protocol.Unknown(query='', detail=problem.detail)
    return None


@given(r'(\d+) entry hosts as processes in front of 6 services')
def start_processes(context, hosts):
    folder = context.stack.enter_context(contextlib.ExitStack())
    path = folder.enter_context(tempfile.TemporaryDirectory())
    context.processes = _EntryProcesses(pathlib.Path(path))
    run(context, context.processes.open(context.stack, int(hosts)))


@when('callers send queries and commands to all hosts')
def start_load(context):
    async def start():
        load = context.processes.send_all(14.0 + _LOAD_MARGIN_S)
        context.processes.load_task = asyncio.create_task(load)
        await asyncio.sleep(1.0)

    run(context, start())


@when(r'host (\d+) is killed')
def kill_host(context, number):
    async def kill():
        process = context.processes.running[int(number)]
        process.send_signal(signal.SIGKILL)
        await process.wait()

    run(context, kill())


@when(r'host (\d+) is frozen for (\d+) seconds')
def freeze_host(context, number, seconds):
    async def freeze():
        process = context.processes.running[int(number)]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(int(seconds))
        process.send_signal(signal.SIGCONT)

    run(context, freeze())


@when(r'host (\d+) receives SIGTERM and exits')
def stop_host(context, number):
    async def stop():
        processes = context.processes
        processes.cut_off_hosts.clear()
        processes.running[int(number)].send_signal(signal.SIGTERM)
        processes.stopping.add(int(number))
        await processes.running[int(number)].wait()

    run(context, stop())


@when('the callers have finished')
def end_load(context):
    run(context, context.processes.load_task)


@then("every outcome agrees with the upstreams' records")
def check_outcomes(context):
    processes = context.processes
    runs = [
        each
        for model in processes.standins.models.values()
        for each in model.runs
    ]
    broken = experiments.list_violations(processes.calls, runs, _SERVICES)
    assert not broken, broken
    kinds = [type(call.outcome).__name__ for call in processes.calls]
    assert kinds.count('Answered') > 50, kinds
    context.runs = runs


@then('no command ran twice and no refused command ran')
def check_commands(context):
    """Check that commands were recorded and repeated.

    `list_violations` has checked already that none ran twice and that none ran
    after a refusal.
    """
    recorded = [
        call
        for call in context.processes.calls
        if isinstance(call.outcome, protocol.Recorded)
    ]
    assert len(recorded) > 10, len(recorded)
    assert any(call.outcome.repeat for call in recorded)


@then(r'host (\d+) has exited with code 0 and cut off no request')
def check_exit(context, number):
    processes = context.processes
    assert processes.running[int(number)].returncode == 0
    assert int(number) not in processes.cut_off_hosts, processes.cut_off_hosts


@then(r'host (\d+) answers again')
def check_answers(context, number):
    processes = context.processes
    run(context, processes.wait_until_ready(int(number)))
    run(context, _ask_until_answered(processes, int(number)))


async def _ask_until_answered(processes, number):
    for _ in range(_READY_ATTEMPTS):
        await processes._query(number, 'again')
        outcome = processes.calls[-1].outcome
        if isinstance(outcome, protocol.Answered):
            assert outcome.coverage.fraction == 1.0, outcome
            return
        await asyncio.sleep(0.05)
    raise AssertionError(outcome)


@when(r'the key-value service is down and host (\d+) is started again')
def restart_in_outage(context, number):
    async def restart():
        await context.processes.standins.kv.set_down(True)
        await context.processes.start(int(number))

    run(context, restart())


@then(r'host (\d+) answers with the state that its peers sent')
def check_restarted(context, number):
    check_answers(context, number)
