"""Reading of the settings file at the start and on request."""

import asyncio
import os
import pathlib
import stat

import result

from rudderrock import gateway
from rudderrock import platform

# Least time in seconds between two checks of the file, as anyone may request
# one at any rate.
CHECK_INTERVAL_S = 1.0
# Size of a file that is read while requests wait.
MAX_SETTINGS_BYTES = 1024 * 1024


def read_settings(
    path: pathlib.Path,
) -> result.Result[platform.SettingsFile, str]:
    """Return the content of the file, or what is wrong with it.

    Only a regular file of a limited size is opened, since others may block.
    """
    try:
        found = os.stat(path)
        if not stat.S_ISREG(found.st_mode):
            return result.Err(f'{path}: not a regular file')
        if found.st_size > MAX_SETTINGS_BYTES:
            return result.Err(f'{path}: over {MAX_SETTINGS_BYTES} bytes')
        return platform.read_settings_file(path)
    except OSError as error:
        return result.Err(f'{path}: {error.strerror}')
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
