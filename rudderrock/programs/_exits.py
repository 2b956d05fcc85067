"""Exit codes of all programs; docs/operators.md documents them."""

import contextlib
import enum
import sys
from typing import NoReturn


class Exit(enum.IntEnum):
    """How a program ended."""

    OK = 0
    # An address cannot be bound, or a test run found violations.
    FAILED = 1
    # The arguments, settings or secrets are invalid.
    USAGE = 2
    # The request or edit was refused and has no effect, or what was asked for
    # does not exist.
    REFUSED = 3
    # The request or edit may have taken effect.
    UNKNOWN = 4
    # A service or host did not reply, or did not get ready in time.
    UNAVAILABLE = 5


def fail(message: str, code: Exit) -> NoReturn:
    """Print an error message to standard error and exit."""
    # It is None if standard error is closed, and may have lost its reader.
    if sys.stderr is not None:
        with contextlib.suppress(OSError):
            print(f'error: {message}', file=sys.stderr)
    sys.exit(code)
