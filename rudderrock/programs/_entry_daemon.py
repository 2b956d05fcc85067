"""Serving of callers by the entry daemon, until a signal stops it."""

import asyncio
from collections.abc import Callable
import pathlib
import signal

from absl import logging
import defopt
import result

from rudderrock import core
from rudderrock import frontend
from rudderrock import state
from rudderrock.programs import _exits as exits
from rudderrock.programs import _host_server as host_server
from rudderrock.programs import _logs as logs
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _secrets as secrets
from rudderrock.programs import _signals as signals
from rudderrock.programs import _start as start


def run_entry(held: start.HeldSignals, config: pathlib.Path, log: str) -> None:
    """Run one entry host, with the signals held so far."""
    logs.set_up_logs(log)
    match state.read_settings(config):
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(settings):
            pass
    match secrets.read_secrets(settings.secrets):
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(found_secrets):
            core.run_loop(_serve(settings, found_secrets, held))


async def _serve(
    settings: state.Settings,
    found_secrets: frontend.Secrets,
    held: start.HeldSignals,
) -> None:
    async with host_server.open_host(settings, found_secrets) as opened:
        if opened.is_err():
            exits.fail(opened.unwrap_err(), exits.Exit.FAILED)
        host = opened.unwrap().host
        stopping: list[asyncio.Task] = []

        def on_signal() -> None:
            if stopping:
                host.stop_waiting()
            else:
                stopping.append(asyncio.create_task(host.stop()))

        handlers: dict[int, Callable[[], object]] = {
            signal.SIGHUP: _log_hangup,
            signal.SIGTERM: on_signal,
            signal.SIGINT: on_signal,
        }
        runtime.tune_collector()
        with signals.deliver(held, handlers):
            await host.run()
            await asyncio.gather(*stopping)


def _log_hangup() -> None:
    logging.info('SIGHUP: the settings are read at the next start only')


def main(held: start.HeldSignals) -> None:
    """Parse the command line and run the program."""

    def entry(config: pathlib.Path, *, log: str = 'info') -> None:
        """Run one entry host until it is stopped by a signal.

        The first SIGTERM or SIGINT starts a graceful stop, which lets requests
        in flight finish up to a time limit. A second signal ends the requests
        that are still in flight. SIGHUP has no effect. The exit code is 0
        after a stop by signal, 2 if the settings or secrets are invalid and 1
        if an address cannot be bound or a defect ends the program.

        :param config: the settings file, in TOML
        :param log: the lowest level logged: debug, info, warning or error
        """
        run_entry(held, config, log)

    defopt.run(entry)
