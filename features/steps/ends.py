"""Steps that start gateway processes and read why they have ended."""

import asyncio
import json
import logging
import os
import signal
import socket

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_processes
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway

use_step_matcher('re')

END_TIMEOUT_S = 20.0


def get_processes(context):
    """Return the gateway processes of the scenario."""
    if 'gateway_processes' not in context:
        context.gateway_processes = gateway_processes.GatewayProcesses()
        run(context, context.gateway_processes.open(context.stack))
    return context.gateway_processes


@given(r'a gateway process')
@when(r'the gateway process is started')
def start_gateway(context):
    processes = get_processes(context)
    run(context, processes.start(1))
    if 'occupied' not in context:
        run(context, processes.wait_until_listening(1))


@given(r'a gateway process whose settings lack "([^"]+)"')
def start_without_setting(context, name):
    def remove(raw):
        lines = raw.splitlines(keepends=True)
        return b''.join(
            line for line in lines if not line.startswith(name.encode() + b'=')
        )

    run(context, get_processes(context).start(1, remove))


@given(r"another program that listens on the port of a gateway's callers")
def occupy_port(context):
    processes = get_processes(context)
    context.occupied = context.stack.enter_context(socket.socket())
    context.occupied.bind((processes.get_ip(1), processes.get_port(1)))
    context.occupied.listen()


@when(r'the gateway process receives (SIG[A-Z0-9]+)')
def send_signal(context, name):
    get_processes(context).running[1].send_signal(signal.Signals[name])


@then(r'it ends with code (\d+)')
def check_code(context, code):
    process = get_processes(context).running[1]

    async def wait():
        async with asyncio.timeout(END_TIMEOUT_S):
            return await process.wait()

    found = run(context, wait())
    assert found == int(code), (found, get_processes(context).read_log(1))


@then(r'its "([^"]+)" line has "([^"]+)" with "([^"]+)"')
def check_field(context, kind, field, text):
    found = get_processes(context).list_events(1, kind)
    assert len(found) == 1, get_processes(context).read_log(1)
    assert text in found[0][field], found


@then(r'its "([^"]+)" line has "architecture" with the machine\'s')
def check_architecture(context, kind):
    check_field(context, kind, 'architecture', os.uname().machine)


@then(r'its last line is "([^"]+)"')
def check_last_line(context, kind):
    lines = get_processes(context).read_log(1).splitlines()
    assert json.loads(lines[-1])['kind'] == kind, lines[-3:]


@given(r'a memory limit of (\d+) MB')
def make_monitor(context, megabytes):
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    logger = logging.getLogger(gateway.LOGGER_NAME)
    logger.addHandler(handler)
    context.stack.callback(logger.removeHandler, handler)
    logger.setLevel(logging.INFO)
    events = gateway.EventLog('host-1', core.Clock(context.loop))
    context.monitor = gateway.MemoryMonitor(int(megabytes) * 10**6, events)


@when(r'the largest size of the process is (\d+) MB')
def sample_peak(context, megabytes):
    for _ in range(2):
        context.monitor.check(int(megabytes) * 10**6)


@then(r'(\d+) lines name the size and the limit')
def check_lines(context, count):
    found = [json.loads(line) for line in context.lines]
    assert len(found) == int(count), found
    for line in found:
        assert line['kind'] == gateway.LogKind.MEMORY_HIGH.value, line
        assert line['peak_mb'] <= line['limit_mb'] == 300.0, line
