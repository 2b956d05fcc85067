"""Messages to and from the platform's key-value service.

Every call is a POST. The HTTP client automatically repeats a request of any
other method if the kept-alive connection turns out to be closed; this could
repeat a write.
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
    """Request to read one key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchRequest:
    """Request to wait up to `timeout_s` seconds for a version > `after`."""

    key: str
    after: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SwapRequest:
    """Request to replace a value if its version is still `expected`.

    `expected` is `ABSENT` (0) if the key must not exist; `value` is None to
    delete the key. A key with a `lease` is deleted when the lease ends.
    """

    key: str
    value: bytes | None
    expected: int
    lease: str | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KvEntry:
    """Value and version of a key.

    The version of a key increases with every write, also if the key is
    deleted and created again. If the key doesn't exist, `version` is
    `ABSENT` and `value` is None.
    """

    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantRequest:
    """Request for a lease with a time to live of `ttl_s` seconds."""

    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """Message with the id of a lease.

    It is the reply to `GrantRequest`, and both the request and the reply
    when a lease is renewed or revoked.
    """

    lease: str
