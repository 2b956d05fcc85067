"""Reading of the settings file at the start and on request."""

import asyncio
import pathlib

import result

from rudderrock import gateway
from rudderrock import platform

# Least time in seconds between two checks of the file, as anyone may request
# one at any rate.
CHECK_INTERVAL_S = 1.0


def read_settings(
    path: pathlib.Path,
) -> result.Result[platform.SettingsFile, str]:
    """Return the content of the file, or what is wrong with it.

    A defect in reading it is a problem too, since it must not end a process
    that serves.
    """
    try:
        return platform.read_settings_file(path)
    except Exception as error:
        return result.Err(f'{path}: {gateway.describe_error(error)}')


class Reloader:
    """Checks the settings file on request and logs the result.

    Requests that come sooner than `CHECK_INTERVAL_S` after a check are
    answered by one check at the end of that time.
    """

    def __init__(self, path: pathlib.Path, events: gateway.EventLog):
        self._path = path
        self._events = events
        self._timer: asyncio.TimerHandle | None = None
        self._is_requested = False

    def request(self) -> None:
        """Check the file, now or later."""
        if self._timer is not None:
            self._is_requested = True
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._end_interval)
        problem = read_settings(self._path).err() or ''
        self._events.record(gateway.LogKind.RELOADED, problem=problem)

    def _end_interval(self) -> None:
        self._timer = None
        if self._is_requested:
            self._is_requested = False
            self.request()
