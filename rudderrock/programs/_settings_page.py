"""Generates the settings reference from the declarations of settings."""

import dataclasses
import enum
import typing

from rudderrock import state

_HEADER = """# Settings of the entry daemon

Made by `python -m rudderrock.programs._settings_page` from the declarations
in `rudderrock/state/_settings.py`; a test checks that it is up to date.
Names that end in `_s` are in seconds, `_bytes` in bytes; a fraction goes
from 0 to 1.
"""


def make_page() -> str:
    """Return the settings reference as Markdown."""
    sections = [
        _describe_section(field.name, field.type)
        for field in dataclasses.fields(state.Settings)
    ]
    return '\n'.join([_HEADER, *sections])


def _describe_section(name: str, cls: type) -> str:
    hints = typing.get_type_hints(cls, include_extras=True)
    lines = [f'## `[{name}]`', '', _strip_lines(cls.__doc__), '']
    lines += ['| key | allowed | default |', '| --- | --- | --- |']
    for field in dataclasses.fields(cls):
        allowed = _describe_type(hints[field.name])
        default = _describe_default(field)
        lines.append(f'| `{field.name}` | {allowed} | {default} |')
    return '\n'.join([*lines, ''])


def _strip_lines(text: str) -> str:
    return '\n'.join(line.strip() for line in text.strip().splitlines())


def _describe_type(hint: typing.Any) -> str:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return ', '.join(f'`"{each.value}"`' for each in hint)
    if isinstance(hint, type):
        return {'bool': 'true, false', 'str': 'text'}[hint.__name__]
    base, *extras = typing.get_args(hint)
    if base is type(None) or type(None) in extras:
        return f'{_describe_type(base)}, or left out'
    bounds = []
    for extra in extras:
        for bound in extra.metadata:
            bounds.append(_describe_bound(bound))
    return f'{_TYPE_NAMES[base]} {" and ".join(bounds)}'


_TYPE_NAMES = {float: 'number', int: 'whole number', str: 'text'}


def _describe_bound(bound: typing.Any) -> str:
    for attribute, sign in (('ge', '≥'), ('gt', '>'), ('le', '≤')):
        if hasattr(bound, attribute):
            return f'{sign} {getattr(bound, attribute):.10g}'
    if getattr(bound, 'pattern', None):
        pattern = bound.pattern.replace('|', '\\|')
        return f'matching `{pattern}`'
    raise TypeError(f'unsupported constraint: {bound!r}')


def _describe_default(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return 'required'
    if isinstance(field.default, enum.Enum):
        return f'`"{field.default.value}"`'
    if field.default is None:
        return 'left out'
    if isinstance(field.default, bool):
        return str(field.default).lower()
    if isinstance(field.default, str):
        return f'`"{field.default}"`'
    return f'{field.default:.10g}'


if __name__ == '__main__':
    print(make_page(), end='')
