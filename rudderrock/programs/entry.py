"""The entry daemon: one host between callers and upstreams."""

import asyncio
import pathlib
import signal

import defopt
import result

from rudderrock import core
from rudderrock import frontend
from rudderrock import state
from rudderrock.programs import _exits as exits
from rudderrock.programs import _logs as logs
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _secrets as secrets
from rudderrock.programs import _serving as serving


def entry(config: pathlib.Path, *, log: str = 'info') -> None:
    """Run one entry host until it is told to stop.

    SIGTERM or SIGINT starts a planned stop, which cuts nothing in flight;
    a second one stops at once. Exits with 0 after either, with 2 if the
    settings are wrong and with 1 if an address can't be bound.

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
        case result.Ok(read):
            core.run_loop(_serve(settings, read))


async def _serve(settings: state.Settings, read: frontend.Secrets) -> None:
    async with serving.open_host(settings, read) as opened:
        if opened.is_err():
            exits.fail(opened.unwrap_err(), exits.Exit.FAILED)
        host = opened.unwrap().host
        stopping: list[asyncio.Task] = []

        def on_signal() -> None:
            if stopping:
                host.hurry()
            else:
                stopping.append(asyncio.create_task(host.stop()))

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal)
        runtime.tune_collector()
        await host.run()
        await asyncio.gather(*stopping)


def main() -> None:
    """Run the program."""
    defopt.run(entry)


if __name__ == '__main__':
    main()
