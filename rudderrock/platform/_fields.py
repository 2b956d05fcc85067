"""Lines of the form `name=value`, and their values by name."""

from collections.abc import Callable
import math
from typing import TypeVar

from rudderrock import core

_T = TypeVar('_T')
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_MAX_PORT = 65_535
# No setting is as large, and products of two of them are finite.
_MAX_NUMBER = 1e12
# Characters of a value that a problem quotes, and problems that are kept.
_MAX_QUOTED = 60
_MAX_KEPT = 20


class FieldError(Exception):
    """A field that is needed is missing or invalid."""


class Fields:
    """Values by field name; an empty value counts as not given.

    Lines that are not text are left out, unless their value is asked for. A
    field that is given several times has its last value. `problems` are the
    first fields that were asked for and ignored, and `ignored_count` is the
    number of all of them.
    """

    def __init__(self, raw: bytes):
        self.problems: list[str] = []
        self.ignored_count = 0
        self._values: dict[str, bytes] = {}
        self._repeated: set[str] = set()
        for line in raw.removeprefix(_BYTE_ORDER_MARK).splitlines():
            self._add(*line.split(b'=', 1))

    def _add(self, key: bytes, value: bytes = b'') -> None:
        value = value.strip()
        name = key.strip().decode('utf-8', 'replace')
        if not value:
            return
        if self._values.get(name, value) != value:
            self._repeated.add(name)
        self._values[name] = value

    def list_names(self, prefix: str) -> list[str]:
        """Return the names that have a value and begin with `prefix`."""
        return [name for name in self._values if name.startswith(prefix)]

    def read(self, name: str, parse: Callable[[str], _T]) -> _T:
        """Return the value of a field that is needed, or raise FieldError."""
        if name not in self._values:
            raise FieldError(f'{name} is required')
        try:
            return self._parse(name, parse)
        except ValueError as error:
            raise FieldError(f'{name} {error}') from None

    def find(self, name: str, parse: Callable[[str], _T], default: _T) -> _T:
        """Return the value of a field, or the default if it is unusable."""
        if name not in self._values:
            return default
        try:
            return self._parse(name, parse)
        except ValueError as error:
            self.ignore(f'{name} {error}')
            return default

    def ignore(self, problem: str) -> None:
        """Record that a value is ignored."""
        self.ignored_count += 1
        if len(self.problems) < _MAX_KEPT:
            self.problems.append(problem)

    def _parse(self, name: str, parse: Callable[[str], _T]) -> _T:
        if name in self._repeated:
            self._repeated.discard(name)
            self.ignore(f'{name} is given before with another value')
        try:
            text = self._values[name].decode('utf-8')
        except UnicodeDecodeError:
            raise ValueError('must be text') from None
        if not text.isprintable():
            raise ValueError('must be text')
        return parse(text)


def parse_number(text: str) -> float:
    """Return a number; raise ValueError if it is none."""
    try:
        return float(text)
    except ValueError:
        raise ValueError(f'must be a number, not {quote(text)}') from None


def parse_positive(text: str) -> float:
    """Return a finite number above 0; raise ValueError otherwise."""
    value = parse_number(text)
    if not 0 < value < math.inf:
        raise ValueError(f'must be above 0, not {quote(text)}')
    return _check_size(value, text)


def parse_non_negative(text: str) -> float:
    """Return a finite number of at least 0; raise ValueError otherwise."""
    value = parse_number(text)
    if not 0 <= value < math.inf:
        raise ValueError(f'must be at least 0, not {quote(text)}')
    return _check_size(value, text)


def parse_port(text: str) -> int:
    """Return a port number from 1; raise ValueError otherwise."""
    digits = text.strip()
    # The length is checked, because the time to read a number grows with it.
    if digits.isascii() and digits.isdigit() and len(digits) <= 5:
        port = int(digits)
        if 1 <= port <= _MAX_PORT:
            return port
    raise ValueError(f'must be a port, not {quote(text)}')


def parse_address(text: str) -> tuple[str, int]:
    """Return the parts of `IP:port`; raise ValueError if it is not that."""
    try:
        return core.split_address(text.strip())
    except ValueError:
        raise ValueError(f'must be IP:port, not {quote(text)}') from None


def quote(text: str) -> str:
    """Return a text, shortened for a message."""
    if len(text) <= _MAX_QUOTED:
        return text
    return f'{text[:_MAX_QUOTED]}...'


def _check_size(value: float, text: str) -> float:
    if value > _MAX_NUMBER:
        raise ValueError(f'must be at most {_MAX_NUMBER:g}, not {quote(text)}')
    return value
