"""Messages to and from the platform's key-value service.

Every call is a POST, because the HTTP client repeats other methods by
itself when a kept connection turns out closed, which would double a write.
"""

import dataclasses

GET_PATH = '/v1/kv/get'
SWAP_PATH = '/v1/kv/swap'
WATCH_PATH = '/v1/kv/watch'
GRANT_PATH = '/v1/lease/grant'
RENEW_PATH = '/v1/lease/renew'
REVOKE_PATH = '/v1/lease/revoke'

ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetRequest:
    """Read one key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchRequest:
    """Wait up to `timeout_s` seconds for a version later than `after`."""

    key: str
    after: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SwapRequest:
    """Replace a key if it still has the version `expected`.

    `expected` is `ABSENT` (0) where the key must not exist; `value` is None
    to delete. A key under a `lease` goes when the lease does.
    """

    key: str
    value: bytes | None
    expected: int
    lease: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A key's value and version; versions only grow, also over deletion.

    `version` is `ABSENT` and `value` None where the key does not exist.
    """

    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """Ask for a lease of `ttl_s` seconds."""

    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease by its id."""

    lease: str
