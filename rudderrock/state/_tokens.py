"""Bearer tokens of teams, which are stored only as salted hashes.

A token has the form `team.secret`, where the secret consists of 256 random
bits. A fast keyed hash is sufficient for it; NIST SP 800-63B requires slow
hashes only for secrets that people choose. The table contains `salt$digest`
and never the token.
"""

import hashlib
import hmac
import random

import result

from rudderrock import core

_SECRET_BYTES = 32
_SALT_BYTES = 16


def make_token(team: core.TeamId, rng: random.Random) -> str:
    """Return a new random token for a team.

    The token should be shown once, and only its hash stored. `rng` must
    be a `random.SystemRandom` outside tests.
    """
    return f'{team}.{rng.randbytes(_SECRET_BYTES).hex()}'


def hash_token(token: str, rng: random.Random) -> str:
    """Return the salted hash of a token, in the form the table stores."""
    salt = rng.randbytes(_SALT_BYTES).hex()
    return f'{salt}${_digest(salt, token)}'


def check_token(token: str, stored: tuple[str, ...]) -> bool:
    """Return whether a token matches one of the stored hashes.

    The comparison takes constant time, so that the timing reveals nothing
    about a stored hash.
    """
    matched = False
    for entry in stored:
        salt, _, digest = entry.partition('$')
        matched |= hmac.compare_digest(_digest(salt, token), digest)
    return matched


def get_token_team(token: str) -> result.Result[core.TeamId, str]:
    """Return the team named in a token, or an error if it is malformed.

    The secret isn't checked.
    """
    team, dot, secret = token.partition('.')
    if not (team and dot and secret):
        return result.Err('a token must have the form TEAM.SECRET')
    return result.Ok(core.TeamId(team))


def _digest(salt: str, token: str) -> str:
    key = salt.encode()
    return hashlib.blake2b(token.encode(), key=key, digest_size=32).hexdigest()
