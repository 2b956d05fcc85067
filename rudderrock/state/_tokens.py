"""Bearer tokens of teams, kept only as salted hashes.

A token reads `team.secret`, where the secret is 256 random bits, so a fast
keyed hash is enough (NIST SP 800-63B asks for slow hashes only for secrets
that people choose). The table holds `salt$digest` and never the token.
"""

import hashlib
import hmac
import random

import result

from rudderrock import core

_SECRET_BYTES = 32
_SALT_BYTES = 16


def make_token(team: core.TeamId, source: random.Random) -> str:
    """Draw a new token for a team; show it once and keep only its hash.

    `source` must be `random.SystemRandom` outside tests.
    """
    return f'{team}.{source.randbytes(_SECRET_BYTES).hex()}'


def hash_token(token: str, source: random.Random) -> str:
    """Return the salted hash of a token as the table stores it."""
    salt = source.randbytes(_SALT_BYTES).hex()
    return f'{salt}${_digest(salt, token)}'


def check_token(token: str, stored: tuple[str, ...]) -> bool:
    """Tell whether a token matches one of the stored hashes.

    Compares in constant time, so timing tells nothing of a stored hash.
    """
    matched = False
    for entry in stored:
        salt, _, digest = entry.partition('$')
        matched |= hmac.compare_digest(_digest(salt, token), digest)
    return matched


def split_token(token: str) -> result.Result[core.TeamId, str]:
    """Read the team that a token claims to belong to."""
    team, dot, secret = token.partition('.')
    if not (team and dot and secret):
        return result.Err('a token reads TEAM.SECRET')
    return result.Ok(core.TeamId(team))


def _digest(salt: str, token: str) -> str:
    key = salt.encode()
    return hashlib.blake2b(token.encode(), key=key, digest_size=32).hexdigest()
