"""Checks of outside input against the constraints its classes declare.

Settings, rows of the table and experiments are plain data classes whose
fields carry their allowed range as `Annotated[..., Field(ge=..., le=...)]`.
They are checked once, where they enter the process. The checking itself is
pydantic's; this module turns its findings into messages that name the key,
what is allowed and the value given, and suggests the nearest known key.
"""

import dataclasses
import difflib
import functools
import types
import typing
from typing import Any
from typing import TypeVar

import pydantic
import result

T = TypeVar('T')

FORBID_UNKNOWN = pydantic.ConfigDict(extra='forbid')
_UNKNOWN_KEY = frozenset({'unexpected_keyword_argument', 'extra_forbidden'})
_MISSING_KEY = frozenset({'missing', 'missing_argument'})
_SECRET_WORDS = ('token', 'secret')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong with an input.

    `key` is the dotted path inside the input, `message` says what is
    allowed and what was given.
    """

    key: str
    message: str

    def __str__(self) -> str:
        return f'{self.key}: {self.message}'


Problems = tuple[Problem, ...]


@functools.cache
def _adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(cls)


def make_checked(cls: type[T], raw: Any) -> result.Result[T, Problems]:
    """Build a `cls` from plain data, or list every problem found.

    `raw` is what a TOML or JSON parser returns. Unknown keys, missing keys,
    wrong types and values out of range are all reported, not only the
    first.
    """
    try:
        return result.Ok(_adapter(cls).validate_python(raw))
    except pydantic.ValidationError as exc:
        return result.Err(
            tuple(_describe(cls, error) for error in exc.errors())
        )


def _describe(cls: type, error: Any) -> Problem:
    path = [str(part) for part in error['loc']]
    key = '.'.join(path) or '(top level)'
    kind = error['type']
    if kind in _UNKNOWN_KEY:
        return Problem(key, _suggest(cls, path))
    if kind in _MISSING_KEY:
        return Problem(key, 'is required and was not given')
    reason = error['msg'].removeprefix('Value error, ')
    reason = reason.replace('Input should', 'must')
    if any(word in key for word in _SECRET_WORDS):
        return Problem(key, reason)
    return Problem(key, f'{reason}; {error["input"]!r} was given')


def _suggest(cls: type, path: list[str]) -> str:
    known = _known_keys(cls, path[:-1])
    near = difflib.get_close_matches(path[-1], known, n=1)
    if near:
        return f'is not a known key; did you mean {near[0]!r}?'
    return f'is not a known key; known are {", ".join(sorted(known))}'


def _known_keys(cls: Any, path: list[str]) -> list[str]:
    """List the keys that the class found by walking `path` declares."""
    for part in path:
        hints = typing.get_type_hints(cls) if _is_record(cls) else {}
        cls = _element(hints[part]) if part in hints else _element(cls)
    if not _is_record(cls):
        return []
    return [field.name for field in dataclasses.fields(cls)]


def _is_record(cls: Any) -> bool:
    return isinstance(cls, type) and dataclasses.is_dataclass(cls)


def _element(hint: Any) -> Any:
    """Return the record type inside a container or an optional type."""
    candidates = [hint, *typing.get_args(hint)]
    for candidate in candidates:
        if _is_record(candidate):
            return candidate
        if isinstance(candidate, types.GenericAlias):
            return _element(candidate)
    return hint
