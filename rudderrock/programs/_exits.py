"""Exit codes of all programs; docs/operators.md documents them."""

import enum
import sys
from typing import NoReturn


class Exit(enum.IntEnum):
    """Exit codes of the programs."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5


def fail(message: str, code: Exit) -> NoReturn:
    """Print an error message to standard error and exit."""
    print(f'error: {message}', file=sys.stderr)
    sys.exit(code)
