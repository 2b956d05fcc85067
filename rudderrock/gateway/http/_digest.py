"""What makes two requests the same, whatever ids they bear."""

import hashlib

from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages

# Bytes of a digest. Callers distrust one another and choose what is hashed,
# so it is a cryptographic hash, in which nobody finds two of a kind.
_DIGEST_BYTES = 16


def digest_request(
    request: messages.Request, names: dialect.HeaderNames
) -> str:
    """Return what is the same for two requests that ask for the same.

    That is the method, host, target and body, and who asks: the team and its
    credentials, where a request names them. A team can't make a request that
    has the digest of another's.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        request.method,
        request.get_header(b'host') or b'',
        request.target,
        request.get_header(names.team) or b'',
        request.get_header(b'authorization') or b'',
        request.body,
    ):
        # The lengths keep one part's end from passing for another's start.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
