"""Delivery of signals to the event loop.

The handlers of asyncio are not used: a signal that arrives while the pipe that
wakes the loop is full is lost, and the default actions return before the loop
is closed, so that a signal then ends the process.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import signal
import socket

from rudderrock.programs import _start as start

_READ_BYTES = 4096


@contextlib.contextmanager
def deliver(
    held: start.HeldSignals, handlers: Mapping[int, Callable[[], object]]
):
    """Call the handlers of signals in the running loop inside the context.

    The signals held so far are handled at once, and a signal that arrives
    again before it was handled only once. After the context, signals are
    ignored: the process is about to end.
    """
    loop = asyncio.get_running_loop()

    def handle() -> None:
        numbers, held.numbers = held.numbers, []
        # One that fails must not keep the others from being called.
        for number in numbers:
            loop.call_soon(handlers[number])

    def wake() -> None:
        with contextlib.suppress(BlockingIOError):
            reading.recv(_READ_BYTES)
        handle()

    # Interrupts a wait of the loop. What is written to it is not used, so
    # nothing is lost while it is full.
    reading, writing = socket.socketpair()
    reading.setblocking(False)
    writing.setblocking(False)
    loop.add_reader(reading, wake)
    signal.set_wakeup_fd(writing.fileno(), warn_on_full_buffer=False)
    try:
        handle()
        yield
    finally:
        start.ignore_signals()
        signal.set_wakeup_fd(-1)
        loop.remove_reader(reading)
        reading.close()
        writing.close()
