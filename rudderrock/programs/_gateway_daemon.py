"""Serving of callers by the gateway daemon, until a signal stops it."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
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
from rudderrock.programs import _reload as reload
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _signals as signals
from rudderrock.programs import _start as start

# The platform sets this variable to the path of the settings file.
CONFIG_VARIABLE = 'RUDDERROCK_CONFIG'
_STDOUT_FD = 1
# Net allocations before the youngest generation is collected. A lower
# value than in an entry host saves memory, which the platform charges for.
_COLLECTION_THRESHOLD = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How the program ended: the exit code, and the reason of a failure."""

    code: exits.Exit
    problem: str = ''


def run_gateway(
    held: start.HeldSignals, config: pathlib.Path | None = None
) -> None:
    """Serve with the settings in a file, and with the signals held so far.

    Without `config`, the path is the value of RUDDERROCK_CONFIG.
    """
    path = config or pathlib.Path(os.environ.get(CONFIG_VARIABLE, ''))
    handler = gateway.set_up_log(_STDOUT_FD)
    ending = core.run_loop(_run(path, held, handler))
    if ending.code is not exits.Exit.OK:
        exits.fail(ending.problem, ending.code)


async def _run(
    path: pathlib.Path,
    held: start.HeldSignals,
    handler: gateway.PipeHandler,
) -> Ending:
    """Serve with the settings in a file; log an end that is a failure."""
    clock = runtime.make_system_clock()
    match reload.read_settings(path):
        case result.Err(message):
            events = gateway.EventLog('', clock, handler)
            ending = Ending(exits.Exit.USAGE, message)
        case result.Ok(settings_file):
            host = settings_file.settings.host
            events = gateway.EventLog(host, clock, handler)
            ending = await _serve(settings_file, path, clock, events, held)
    if ending.code is not exits.Exit.OK:
        events.record(
            gateway.LogKind.ENDED,
            code=ending.code.value,
            problem=ending.problem,
        )
    return ending


async def _serve(
    settings_file: platform.SettingsFile,
    path: pathlib.Path,
    clock: core.Clock,
    events: gateway.EventLog,
    held: start.HeldSignals,
) -> Ending:
    _log_defects(events)
    config = dataclasses.replace(
        settings_file.settings, build_id=core.read_build_id()
    )
    _record_starting(config, events)
    _record_ignored(settings_file, events)
    source = platform.StoreSource(settings_file.store)
    process = gateway_root.make_gateway(
        config, source, clock, secrets.randbits(32), events
    )
    # Only checks the file: changes take effect after a restart.
    handlers: dict[int, Callable[[], object]] = {
        signal.SIGHUP: reload.Reloader(path, events).request
    }
    for number in (signal.SIGTERM, signal.SIGINT):
        handlers[number] = functools.partial(process.stop, number.name)
    runtime.tune_collector(_COLLECTION_THRESHOLD)
    try:
        with signals.deliver(held, handlers):
            await process.run()
    except OSError as error:
        gateway.load_absl_log().error('cannot listen: %s', error)
        return Ending(exits.Exit.FAILED, str(error))
    except Exception as error:
        gateway.load_absl_log().exception('the process ends on a defect')
        problem = f'defect: {gateway.describe_error(error)}'
        return Ending(exits.Exit.FAILED, problem)
    finally:
        source.close()
    if process.state is not gateway.ProcessState.ENDED:
        return Ending(exits.Exit.FAILED, 'defect: ended with no signal')
    return Ending(exits.Exit.OK)


def _log_defects(events: gateway.EventLog) -> None:
    """Log the exceptions of callbacks, and of tasks that nobody awaits."""

    def handle(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        events.record(
            gateway.LogKind.DEFECT,
            where=context['message'],
            problem=gateway.describe_error(context.get('exception')),
        )
        loop.default_exception_handler(context)

    asyncio.get_running_loop().set_exception_handler(handle)


def _record_starting(
    config: gateway.GatewaySettings, events: gateway.EventLog
) -> None:
    events.record(
        gateway.LogKind.STARTING,
        pid=os.getpid(),
        python=sys.version.partition(' ')[0],
        architecture=os.uname().machine,
        build=config.build_id,
        memory_limit_mb=round(config.memory_limit_bytes / 1e6, 1),
    )


def _record_ignored(
    settings_file: platform.SettingsFile, events: gateway.EventLog
) -> None:
    if settings_file.ignored_count > 0:
        events.record(
            gateway.LogKind.SETTINGS_IGNORED,
            problems=list(settings_file.ignored),
            count=settings_file.ignored_count,
        )


def main(held: start.HeldSignals) -> None:
    """Parse the command line and run the program."""
    if len(sys.argv) == 1:
        run_gateway(held)
        return
    # Imported only if there are arguments, because the import takes a third of
    # the time that a restarted process needs to become ready.
    import defopt

    def serve(*, config: pathlib.Path | None = None) -> None:
        """Serve callers until SIGTERM or SIGINT, then stop gracefully.

        SIGHUP checks the settings file again and logs the result; changes take
        effect only after a restart. The exit code is 0 after a graceful stop,
        1 if an address cannot be bound or a defect ends the program, and 2 if
        the settings are invalid.

        :param config: path of the settings file; by default the value of
            RUDDERROCK_CONFIG
        """
        run_gateway(held, config)

    defopt.run(serve)
