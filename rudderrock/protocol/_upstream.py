"""Messages between a host and an upstream.

One HTTP exchange carries one shard request. Every reply echoes the
request's id, and a reply with another id is never used.
"""

import dataclasses
import enum

import msgspec

from rudderrock import state

SHARD_PATH = '/v1/shard'
LOAD_PATH = '/v1/load'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRequest:
    """What an upstream is asked.

    `deadline` is in Unix seconds; an upstream that reaches it before
    starting must not start. `write` marks a request that is not
    idempotent.
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
    """One result; `document` is passed on as it came."""

    id: str
    score: float
    document: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What an upstream says of itself; it may lag or mislead.

    `versions` are the index versions that it holds, or none if it does
    not say.
    """

    in_flight: int = 0
    queued: int = 0
    leaving: bool = False
    versions: tuple[state.IndexVersion, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardAnswer:
    """The whole answer of one shard at one version."""

    request_id: state.RequestId
    shard: state.ShardId
    version: state.IndexVersion
    hits: list[Hit]
    load: Load = Load()


class RejectionKind(enum.Enum):
    """Why an upstream did not run a request."""

    SHED = 'shed'
    VERSION = 'version'
    LEAVING = 'leaving'
    EXPIRED = 'expired'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShardRejected:
    """An upstream's word that the request did not run there.

    `retry_after_s` tells when a shedding upstream may be asked again, in
    seconds; `versions` are the index versions that it holds, or none if it
    does not say.
    """

    request_id: state.RequestId
    kind: RejectionKind
    retry_after_s: float = 0.0
    versions: tuple[state.IndexVersion, ...] = ()
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ShardLost:
    """No usable reply came.

    `sent` tells whether bytes of the request may have left, that is
    whether it may have run.
    """

    sent: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShardTimeout:
    """No reply came before the deadline; the request may have run."""

    sent: bool = True


ShardReply = ShardAnswer | ShardRejected | ShardLost | ShardTimeout

# HTTP status of each rejection, as an upstream sends it.
REJECTION_STATUS = {
    RejectionKind.SHED: 503,
    RejectionKind.VERSION: 409,
    RejectionKind.LEAVING: 410,
    RejectionKind.EXPIRED: 504,
    RejectionKind.REFUSED: 422,
}
