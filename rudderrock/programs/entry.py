"""The entry daemon: runs one host of the query tier, which serves callers."""

import asyncio
import pathlib
import signal

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


def entry(config: pathlib.Path, *, log: str = 'info') -> None:
    """Run one entry host until it is stopped by a signal.

    The first SIGTERM or SIGINT starts a graceful stop, which lets requests
    in flight finish up to a time limit. A second signal ends the requests
    that are still in flight. The exit code is 0 after a stop by signal, 2 if
    the settings or secrets are invalid and 1 if an address cannot be bound.

    :param config: the settings file, in TOML
    :param log: the lowest level logged: debug, info, warning or error
    """
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
            core.run_loop(_serve(settings, found_secrets))


async def _serve(
    settings: state.Settings, found_secrets: frontend.Secrets
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

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal)
        runtime.tune_collector()
        await host.run()
        await asyncio.gather(*stopping)


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(entry)


if __name__ == '__main__':
    main()
