"""Digests that identify equal requests regardless of their request ids."""

import hashlib

from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages

# Callers do not trust one another and choose the input of the hash, so it has
# to be collision-resistant.
_DIGEST_BYTES = 16


def digest_request(
    request: messages.Request, names: header_names.HeaderNames
) -> str:
    """Return a digest that is equal for requests with equal content.

    The digest covers the method, host, target and body, and the team and its
    credentials if the request states them. A team therefore can't make a
    request with the same digest as the request of another team.
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
        # Length prefixes keep the boundaries between the parts unambiguous.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.hexdigest()
