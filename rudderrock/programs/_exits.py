"""Exit codes of all programs, as docs/operators.md lists them."""

import enum
import sys
from typing import NoReturn


class Exit(enum.IntEnum):
    """What a program's exit code means."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


def fail(message: str, code: Exit) -> NoReturn:
    """Say in one line what is wrong, and exit."""
    print(f'error: {message}', file=sys.stderr)
    sys.exit(code)
