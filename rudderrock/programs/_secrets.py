"""Reads secrets from files or the environment."""

import os
import pathlib

import result

from rudderrock import core
from rudderrock import frontend
from rudderrock import state

_ENV = 'env:'
_MIN_LENGTH = 16
_MAX_FILE_BYTES = 65_536


def read_secrets(
    settings: state.SecretSettings,
) -> result.Result[frontend.Secrets, str]:
    """Return the secrets that the settings refer to, or an error."""
    peer = read_secret(settings.peer)
    operator = read_secret(settings.operator)
    for each in (peer, operator):
        if each.is_err():
            return each
    return result.Ok(
        frontend.Secrets(peer=peer.unwrap(), operator=operator.unwrap())
    )


def read_secret(place: str) -> result.Result[str, str]:
    """Return one secret, or why it cannot be read or is too short.

    `place` is `env:NAME` or the path of a file.
    """
    if place.startswith(_ENV):
        name = place.removeprefix(_ENV)
        secret = os.environ.get(name, '')
        description = f'environment variable {name}'
    else:
        description = f'file {place}'
        try:
            raw = core.read_small_file(pathlib.Path(place), _MAX_FILE_BYTES)
            secret = raw.decode('utf-8-sig').strip()
        except OSError as exc:
            return result.Err(f'{description}: {exc.strerror}')
        except UnicodeDecodeError:
            return result.Err(f'{description} is not UTF-8')
    if len(secret) < _MIN_LENGTH:
        return result.Err(
            f'{description} must hold a secret of at least {_MIN_LENGTH} '
            'characters'
        )
    return result.Ok(secret)
