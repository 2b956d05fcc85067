"""Validation of external input against the field constraints of classes.

Settings, table rows and experiments are plain data classes that declare the
allowed range of a field as `Annotated[..., Field(ge=..., le=...)]`. They are
validated once, where they enter the process. pydantic does the validation;
this module converts its errors to messages with the key, the constraint and
the actual value, and suggests the closest known key for an unknown one.
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
_UNKNOWN_KEY_TYPES = frozenset(
    {'unexpected_keyword_argument', 'extra_forbidden'}
)
_MISSING_KEY_TYPES = frozenset({'missing', 'missing_argument'})
_SECRET_KEY_PARTS = ('token', 'secret')


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A validation error of an input.

    `key` is the dotted path of the value in the input; `message` describes
    the constraint and the actual value.
    """

    key: str
    message: str

    def __str__(self) -> str:
        return f'{self.key}: {self.message}'


Problems = tuple[Problem, ...]


@functools.cache
def _get_adapter(cls: type) -> pydantic.TypeAdapter:
    return pydantic.TypeAdapter(cls)


def validate(cls: type[T], raw: Any) -> result.Result[T, Problems]:
    """Return an instance of `cls`, or all problems of the input.

    `raw` consists of plain dicts, lists and scalars, such as the output of a
    TOML or JSON parser. Unknown keys, missing keys, wrong types and values
    out of range are reported.
    """
    try:
        return result.Ok(_get_adapter(cls).validate_python(raw))
    except pydantic.ValidationError as exc:
        return result.Err(
            tuple(_make_problem(cls, error) for error in exc.errors())
        )


def _make_problem(cls: type, error: Any) -> Problem:
    path = [str(part) for part in error['loc']]
    key = '.'.join(path) or '(top level)'
    kind = error['type']
    if kind in _UNKNOWN_KEY_TYPES:
        return Problem(key, _describe_unknown_key(cls, path))
    if kind in _MISSING_KEY_TYPES:
        return Problem(key, 'is required but missing')
    reason = error['msg'].removeprefix('Value error, ')
    reason = reason.replace('Input should', 'must')
    # A value that may be secret isn't printed.
    if any(word in key for word in _SECRET_KEY_PARTS):
        return Problem(key, reason)
    return Problem(key, f'{reason}; got {error["input"]!r} instead')


def _describe_unknown_key(cls: type, path: list[str]) -> str:
    known = _list_known_keys(cls, path[:-1])
    matches = difflib.get_close_matches(path[-1], known, n=1)
    if matches:
        return f'is not a known key; did you mean {matches[0]!r}?'
    return f'is not a known key; known keys are {", ".join(sorted(known))}'


def _list_known_keys(cls: Any, path: list[str]) -> list[str]:
    """Return the field names of the class reached from `cls` by `path`.

    Parts of the path that aren't fields are dict keys or list indexes.
    """
    for part in path:
        hints = typing.get_type_hints(cls) if _is_data_class(cls) else {}
        cls = (
            _find_data_class(hints[part])
            if part in hints
            else _find_data_class(cls)
        )
    if not _is_data_class(cls):
        return []
    return [field.name for field in dataclasses.fields(cls)]


def _is_data_class(cls: Any) -> bool:
    return isinstance(cls, type) and dataclasses.is_dataclass(cls)


def _find_data_class(hint: Any) -> Any:
    """Return the data class inside a container type or an optional type."""
    candidates = [hint, *typing.get_args(hint)]
    for candidate in candidates:
        if _is_data_class(candidate):
            return candidate
        if isinstance(candidate, types.GenericAlias):
            return _find_data_class(candidate)
    return hint
