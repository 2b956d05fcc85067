"""Messages between a caller and a host, and the three outcomes."""

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
    """A question to every shard of a collection.

    `body` is handed to the shards as it is. `limit` is the number of best
    hits wanted. `deadline_s` is in seconds from now and can only shorten
    the team's own deadline.
    """

    collection: state.CollectionId
    body: msgspec.Raw
    limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_HITS)] = 10
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """A non-idempotent request to the one shard that holds `routing_key`."""

    collection: state.CollectionId
    routing_key: str
    body: msgspec.Raw
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=60)] | None = None


class MissReason(enum.Enum):
    """Why a shard's answer is missing from a result."""

    TIMEOUT = 'timeout'
    SHED = 'shed'
    REFUSED = 'refused'
    LOST = 'lost'
    VERSION = 'version'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Coverage:
    """Which shards contributed to a result.

    `shards` is how many the index version has, `answered` how many
    contributed; `missing` has each other one with its reason.
    """

    shards: int
    answered: int
    missing: dict[state.ShardId, MissReason]

    @property
    def fraction(self) -> float:
        """Return the part of the shards that contributed, 0 to 1."""
        return self.answered / self.shards if self.shards else 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A result, all of it from one index version."""

    query: state.QueryId
    version: state.IndexVersion
    coverage: Coverage
    hits: list[upstream.Hit]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recorded:
    """A command ran, once; `repeat` tells that it ran for an earlier call."""

    query: state.QueryId
    key: str
    hits: list[upstream.Hit]
    repeat: bool


class RefusalReason(enum.Enum):
    """Why a request did not run."""

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
    """The request did not run.

    `retry_after_s` tells when to come back, in seconds; None where coming
    back with the same request will not help.
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float | None = None
    query: state.QueryId | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The command may have run, and it will not be run again."""

    query: state.QueryId
    detail: str


Outcome = Answered | Recorded | Refused | Unknown
