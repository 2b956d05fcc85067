"""Start of a daemon, before its modules are imported.

Signals are held from here on, since their default action ends the process,
and most of a start is imports. `_signal` is part of the interpreter, whereas
`signal` is loaded with the enumerations that it consists of.
"""

import _signal
import os
import sys
import types

_FAILED = 1
# The text of an exception may quote what was received.
_MAX_PROBLEM_CHARS = 1000
_STANDARD_DESCRIPTORS = (0, 1, 2)
# Signals that ask something of the process.
HANDLED_SIGNALS = (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
# Signals without a meaning here, whose default action ends the process.
_IGNORED_SIGNALS = (
    _signal.SIGALRM,
    _signal.SIGIO,
    _signal.SIGPIPE,
    _signal.SIGPROF,
    _signal.SIGPWR,
    _signal.SIGSTKFLT,
    _signal.SIGUSR1,
    _signal.SIGUSR2,
    _signal.SIGVTALRM,
)


class HeldSignals:
    """Signals that were received and not handled yet, each of them once."""

    def __init__(self):
        self.numbers: list[int] = []

    def receive(self, number: int, frame: types.FrameType | None) -> None:
        """Hold a signal; this is its handler."""
        if number not in self.numbers:
            self.numbers.append(number)


def run_program(module: str, log_descriptor: int) -> None:
    """Import a module and call its `main` with the signals held so far.

    If the import or `main` raises an exception, a log line with the reason is
    written to a descriptor, and the exit code is 1.
    """
    held = _hold_signals()
    try:
        _open_standard_descriptors()
        __import__(module)
        sys.modules[module].main(held)
    except SystemExit:
        raise
    except ImportError as error:
        _log_end(log_descriptor, _describe_import(error))
        raise
    except BaseException as error:
        _log_end(log_descriptor, f'defect: {error!r}')
        raise
    finally:
        ignore_signals()


def ignore_signals() -> None:
    """Ignore signals from now on, because the process ends.

    When the interpreter ends, it restores the default action of a signal that
    has a handler, but not that of an ignored one.
    """
    for number in HANDLED_SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)


def _hold_signals() -> HeldSignals:
    held = HeldSignals()
    for number in HANDLED_SIGNALS:
        _signal.signal(number, held.receive)
    for number in _IGNORED_SIGNALS:
        # What was loaded before the interpreter may use some of them.
        if _signal.getsignal(number) == _signal.SIG_DFL:
            _signal.signal(number, _signal.SIG_IGN)
    return held


def _open_standard_descriptors() -> None:
    """Open those descriptors of the standard streams that are closed.

    Otherwise a connection would get one of these numbers, and what is logged
    would be sent to its peer. They are opened so that writing fails, and what
    is not written is counted.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # This returns the lowest free descriptor, which is the closed one.
            os.set_inheritable(os.open(os.devnull, os.O_RDONLY), True)


def _describe_import(error: ImportError) -> str:
    python = sys.version.partition(' ')[0]
    return (
        f'cannot import {error.name}: {error}; the build is incomplete, or '
        f'for another machine than Python {python} on {os.uname().machine}'
    )


def _log_end(descriptor: int, problem: str) -> None:
    """Write the log line `ended` without the libraries that format others."""
    import contextlib
    import json
    import time

    line = {
        'at': round(time.time(), 3),
        'host': '',
        'kind': 'ended',
        'code': _FAILED,
        'problem': problem[:_MAX_PROBLEM_CHARS],
    }
    # If it can't be written, the traceback on standard error remains.
    with contextlib.suppress(OSError):
        os.write(descriptor, json.dumps(line).encode() + b'\n')
