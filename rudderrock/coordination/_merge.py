"""Merges the answers of shards into the answer to a query."""

import heapq
import itertools

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _shard_call as shard_calls


def make_answer(
    query: state.QueryId,
    version: state.IndexVersion,
    calls: dict[state.ShardId, shard_calls.ShardCall],
    limit: int,
) -> protocol.Answered:
    """Return the merged hits, with coverage of accepted answers only.

    The `limit` best hits are kept, ordered by descending score and then by
    ascending id, so the same answers always give the same result.
    """
    accepted = [call.answer for call in calls.values() if call.answer]
    missing = {
        shard: call.missing_reason
        for shard, call in calls.items()
        if call.answer is None
    }
    hits = itertools.chain.from_iterable(answer.hits for answer in accepted)
    return protocol.Answered(
        query=query,
        version=version,
        coverage=protocol.Coverage(
            shards=len(calls), answered=len(accepted), missing=missing
        ),
        hits=heapq.nsmallest(limit, hits, key=_rank),
    )


def _rank(hit: protocol.Hit) -> tuple[float, str]:
    return -hit.score, hit.id
