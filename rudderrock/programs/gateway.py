"""The gateway daemon, which forwards callers' requests to upstreams."""

import asyncio
import dataclasses
import os
import pathlib
import secrets
import signal
import sys

import result

from rudderrock import core
from rudderrock import gateway
from rudderrock import gateway_root
from rudderrock import platform
from rudderrock.programs import _exits as exits
from rudderrock.programs import _runtime as runtime

# The platform sets this variable to the path of the settings file.
CONFIG_VARIABLE = 'RUDDERROCK_CONFIG'
_STDOUT_FD = 1
# Net allocations before the youngest generation is collected. A lower
# value than in an entry host saves memory, which the platform charges for.
_COLLECTION_THRESHOLD = 50_000


def run_gateway(*, config: pathlib.Path | None = None) -> None:
    """Serve callers until SIGTERM or SIGINT, then stop gracefully.

    SIGHUP checks the settings file again and logs the result; changes take
    effect only after a restart. The exit code is 0 after a graceful stop, 1
    if an address cannot be bound and 2 if the settings are invalid.

    :param config: path of the settings file; by default the value of
        RUDDERROCK_CONFIG
    """
    path = config or pathlib.Path(os.environ.get(CONFIG_VARIABLE, ''))
    gateway.set_up_log(_STDOUT_FD)
    match platform.read_settings_file(path):
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(settings_file):
            core.run_loop(_serve(settings_file, path))


async def _serve(
    settings_file: platform.SettingsFile, path: pathlib.Path
) -> None:
    loop = asyncio.get_running_loop()
    clock = runtime.make_system_clock()
    source = platform.StoreSource(settings_file.store)
    config = dataclasses.replace(
        settings_file.settings, build_id=core.read_build_id()
    )
    events = gateway.EventLog(config.host, clock)
    process = gateway_root.make_gateway(
        config, source, clock, secrets.randbits(32), events
    )

    # Only checks the file: changes take effect after a restart.
    def reload() -> None:
        match platform.read_settings_file(path):
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
        gateway.load_absl_log().error('cannot listen: %s', error)
        exits.fail(str(error), exits.Exit.FAILED)
    finally:
        source.close()


def main() -> None:
    """Parse the command line and run the program."""
    if len(sys.argv) == 1:
        run_gateway()
        return
    # Imported only if there are arguments, because the import takes a third of
    # the time that a restarted process needs to become ready.
    import defopt

    defopt.run(run_gateway)


if __name__ == '__main__':
    main()
