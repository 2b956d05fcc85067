"""Messages between a host and an upstream.

One HTTP exchange carries one shard request. Every reply echoes the id of
its request; an exchange whose reply has a different id counts as lost.
"""

import dataclasses
import enum

import msgspec

from rudderrock import state

SHARD_PATH = '/v1/shard'
LOAD_PATH = '/v1/load'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRequest:
    """Request to an upstream for one shard.

    `deadline` is in Unix seconds; an upstream must not start a request after
    its deadline. `write` marks a request that isn't idempotent.
    """

    request_id: state.RequestId
    shard: state.ShardId
    version: state.IndexVersion
    body: msgspec.Raw
    limit: int
    deadline: float
    write: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hit:
    """One search result; `document` is forwarded unchanged."""

    id: str
    score: float
    document: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load that an upstream reports, which may be outdated or wrong.

    `leaving` is True if it is about to stop. `versions` are the index
    versions that it holds, or empty if it doesn't report them.
    """

    in_flight: int = 0
    queued: int = 0
    leaving: bool = False
    versions: tuple[state.IndexVersion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardAnswer:
    """Complete answer of one shard at one index version."""

    request_id: state.RequestId
    shard: state.ShardId
    version: state.IndexVersion
    hits: list[Hit]
    load: Load = Load()


class RejectionKind(enum.Enum):
    """Reason why an upstream did not run a request.

    `SHED`: it is overloaded. `VERSION`: it doesn't have the index version.
    `LEAVING`: it is about to stop. `EXPIRED`: the deadline has passed.
    `REFUSED`: it doesn't accept this request.
    """

    SHED = 'shed'
    VERSION = 'version'
    LEAVING = 'leaving'
    EXPIRED = 'expired'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRejected:
    """Reply of an upstream that did not run the request.

    If it shed the request, `retry_after_s` is the time in seconds until it
    accepts requests again. `versions` are the index versions that it holds,
    or empty if it doesn't report them.
    """

    request_id: state.RequestId
    kind: RejectionKind
    retry_after_s: float = 0.0
    versions: tuple[state.IndexVersion, ...] = ()
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLost:
    """Failure of an exchange without a usable reply.

    `sent` is False only if it is certain that nothing was sent. Otherwise
    the request may have run.
    """

    sent: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShardTimeout:
    """Timeout of an exchange; the request may have run."""

    sent: bool = True


ShardReply = ShardAnswer | ShardRejected | ShardLost | ShardTimeout

# HTTP status with which an upstream sends each kind of rejection.
REJECTION_STATUS = {
    RejectionKind.SHED: 503,
    RejectionKind.VERSION: 409,
    RejectionKind.LEAVING: 410,
    RejectionKind.EXPIRED: 504,
    RejectionKind.REFUSED: 422,
}
