"""Requests of callers, and the outcomes that a host returns."""

import dataclasses
import enum
from typing import Annotated

import msgspec

from rudderrock import state
from rudderrock.protocol import _upstream as upstream

QUERY_PATH = '/v1/query'
COMMAND_PATH = '/v1/command'
IDEMPOTENCY_HEADER = 'idempotency-key'

MAX_HITS = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """Query to all shards of a collection.

    `body` is sent to the shards unchanged. `limit` is the maximum number of
    hits to return, best first. `deadline_s` is in seconds from the receipt
    of the query; it can shorten the deadline of the team but not extend it.
    """

    collection: state.CollectionId
    body: msgspec.Raw
    limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_HITS)] = 10
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """Non-idempotent request to the shard that owns `routing_key`."""

    collection: state.CollectionId
    routing_key: str
    body: msgspec.Raw
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


class MissReason(enum.Enum):
    """Reason why a result contains no answer from a shard."""

    TIMEOUT = 'timeout'
    SHED = 'shed'
    REFUSED = 'refused'
    LOST = 'lost'
    VERSION = 'version'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """Coverage of a result by the shards of the index version.

    `shards` is the number of shards of the version and `answered` the number
    of those that contributed; `missing` maps each other shard to the reason.
    """

    shards: int
    answered: int
    missing: dict[state.ShardId, MissReason]

    @property
    def fraction(self) -> float:
        """Return the fraction of the shards that contributed, 0 to 1."""
        return self.answered / self.shards if self.shards else 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """Result of a query, computed from one index version."""

    query: state.QueryId
    version: state.IndexVersion
    coverage: Coverage
    hits: list[upstream.Hit]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recorded:
    """Result of a command, which ran exactly once.

    `repeat` is True if it ran for an earlier call with the same key.
    """

    query: state.QueryId
    key: str
    hits: list[upstream.Hit]
    repeat: bool


class RefusalReason(enum.Enum):
    """Reason why a request was refused without being run."""

    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    UNKNOWN_COLLECTION = 'unknown_collection'
    RATE = 'rate'
    CONCURRENCY = 'concurrency'
    OVERLOAD = 'overload'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    NOT_READY = 'not_ready'
    ISOLATED = 'isolated'
    KV_UNAVAILABLE = 'kv_unavailable'
    KEY_EXPIRED = 'key_expired'
    KEY_REUSED = 'key_reused'
    UPSTREAM = 'upstream'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Refusal of a request, which did not run.

    `retry_after_s` is the time in seconds after which to retry, or None if a
    retry of the same request can't succeed.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None
    query: state.QueryId | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """Unknown outcome: the command may have run and will not be retried."""

    query: state.QueryId
    detail: str


Outcome = Answered | Recorded | Refused | Unknown
