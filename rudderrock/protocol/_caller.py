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
    hits to return, best first. `deadline_s` is the time allowed from the
    receipt of the query, in seconds; the shorter of it and the deadline of
    the team applies.
    """

    collection: state.CollectionId
    body: msgspec.Raw
    limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_HITS)] = 10
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """Non-idempotent request to the shard that owns `routing_key`.

    `deadline_s` is the time allowed from the receipt of the command, in
    seconds; the shorter of it and the deadline of the team applies.
    """

    collection: state.CollectionId
    routing_key: str
    body: msgspec.Raw
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


class MissingReason(enum.Enum):
    """Reason why a result contains no answer from a shard.

    `TIMEOUT`: no answer before the deadline. `SHED`: the upstreams were
    overloaded. `REFUSED`: an upstream didn't accept the request. `LOST`: the
    exchange failed, or no replica is reachable. `VERSION`: the replicas
    don't have the index version. `EARLY`: the result was returned before
    the deadline without waiting for the shard.
    """

    TIMEOUT = 'timeout'
    SHED = 'shed'
    REFUSED = 'refused'
    LOST = 'lost'
    VERSION = 'version'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """How many shards of the index version contributed to a result.

    `shards` is the number of shards of the version and `answered` the number
    of those that contributed; `missing` maps each other shard to the reason.
    """

    shards: int
    answered: int
    missing: dict[state.ShardId, MissingReason]

    @property
    def fraction(self) -> float:
        """Return the fraction of the shards that contributed, 0 to 1.

        It is 1 if the version has no shards.
        """
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

    `query` is the id that the host gave the command. `repeat` is True if
    this call didn't run the command, but returns the result of an earlier
    call with the same key.
    """

    query: state.QueryId
    key: str
    hits: list[upstream.Hit]
    repeat: bool


class RefusalReason(enum.Enum):
    """Reason why a request was refused without being run.

    Limits of the team: `RATE` and `CONCURRENCY`. Limits of the host:
    `OVERLOAD`, too many shard requests in flight; `DEADLINE`, the queue of a
    service is full or the wait in it would be too long. State of the host:
    `DRAINING`, `NOT_READY`, and `ISOLATED` from the key-value service and
    all peers. `FORBIDDEN`: the team may not run commands.
    `UNKNOWN_COLLECTION`: there is no such collection, or the team may not
    query it. `KV_UNAVAILABLE`: the idempotency key couldn't be claimed.
    `KEY_EXPIRED`: its timestamp is too old or in the future. `KEY_REUSED`:
    it was used for a different request. `UPSTREAM`: no upstream ran the
    command.
    """

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
    """Outcome of a command that may have run; the host doesn't retry it."""

    query: state.QueryId
    detail: str


Outcome = Answered | Recorded | Refused | Unknown
