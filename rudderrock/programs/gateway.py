"""The gateway daemon: forwards requests on the users' platform."""

import asyncio
import os
import pathlib
import secrets
import signal
import sys

from absl import logging
import result

from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import platform
from rudderrock.programs import _exits as exits
from rudderrock.programs import _runtime as runtime

# Names the settings file, says the platform.
CONFIG_VARIABLE = 'RUDDERROCK_CONFIG'
_STDOUT_FD = 1
# Allocations between collections of the youngest generation: fewer than in
# an entry host, since memory is paid for on the platform.
_COLLECTION_THRESHOLD = 50_000


def run_gateway(*, config: pathlib.Path | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then stop as planned.

    SIGHUP reads the settings again. Exits with 0 after a planned stop and
    with 2 if the settings are wrong.

    :param config: the settings file; else RUDDERROCK_CONFIG names it
    """
    path = config or pathlib.Path(os.environ.get(CONFIG_VARIABLE, ''))
    gateway.set_up_log(_STDOUT_FD)
    match platform.read_boot(path):
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(boot):
            core.run_loop(_serve(boot, path))


async def _serve(boot: platform.Boot, path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    clock = runtime.make_system_clock()
    source = platform.StoreSource(boot.store)
    config = boot.settings
    events = gateway.EventLog(config.host, clock)
    process = gateway_root.make_gateway(
        config, source, clock, secrets.randbits(32), events
    )

    def reload() -> None:
        match platform.read_boot(path):
            case result.Ok(_):
                events.record(gateway.LogKind.RELOADED, problem='')
            case result.Err(message):
                events.record(gateway.LogKind.RELOADED, problem=message)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    runtime.tune_collector(_COLLECTION_THRESHOLD)
    try:
        await process.run()
    except OSError as error:
        logging.error('can not listen: %s', error)
        exits.fail(str(error), exits.Exit.FAILED)
    finally:
        source.close()


def main() -> None:
    """Run the program.

    The command line is only read if there is one: `defopt` takes a third
    of the time in which a restarted process is ready again.
    """
    if len(sys.argv) == 1:
        run_gateway()
        return
    import defopt

    defopt.run(run_gateway)


if __name__ == '__main__':
    main()
