"""Queries over many shards: asking all, and merging what they answer."""

import dataclasses
import math

from rudderrock import core
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _forward as forward
from rudderrock.gateway.forwarding import _pursuit as pursuit
from rudderrock.gateway.forwarding import _records as records
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.knowledge import _routing as routing


def count_least(shards: int, min_coverage: float) -> int:
    """Return how many of some shards an answer must contain."""
    return max(1, math.ceil(shards * min_coverage - 1e-9))


async def forward_to_all(
    tools: calls.Tools,
    call: calls.Call,
    scatter: routing.Scatter,
    point: core.LatePoint,
    delegation: delegate.Delegation,
) -> results.Result:
    """Forward to every shard and merge the records of the answers."""
    total = len(scatter.shards)
    least = count_least(total, scatter.min_coverage)
    call = dataclasses.replace(call, spared=total - least)
    forwarder = forward.Forwarder(
        tools,
        call,
        scatter.shards,
        point,
        forward.Whole(total, least),
        delegation,
    )
    await forwarder.run()
    merged = _merge(tools, call, scatter, forwarder)
    if merged.answered >= least:
        return merged
    failed = results.explain_failure(
        tools.names,
        call.request_id,
        forward.may_have_run(forwarder.pursuits),
        forwarder.timed_out,
        merged.detail,
        call.canary,
    )
    return dataclasses.replace(
        merged, reply=failed.reply, outcome=failed.outcome
    )


async def answer_portion(
    tools: calls.Tools,
    call: calls.Call,
    scatter: routing.Scatter,
    point: core.LatePoint,
    shards: tuple[routing.ServiceName, ...],
    least: int,
) -> results.Result:
    """Ask some shards for another host, and name those that are missing.

    `least` answers are enough at the goal.
    """
    extent = forward.Portion(len(scatter.shards), least)
    forwarder = forward.Forwarder(tools, call, shards, point, extent)
    await forwarder.run()
    merged = _merge(tools, call, scatter, forwarder)
    missing = [
        each.service for each in forwarder.pursuits if not each.has_answer
    ]
    merged.reply.headers.append(delegate.name_missing(missing))
    if missing and call.canary.is_held:
        merged.reply.headers.append(
            delegate.name_ended(call.canary.list_ended())
        )
    return merged


def miss_portion(
    names: dialect.HeaderNames,
    request_id: bytes,
    shards: tuple[routing.ServiceName, ...],
    ended: list[core.UpstreamLife],
) -> results.Result:
    """Answer another host that none of the shards is asked, and why."""
    headers = [
        *_sign_parts(names, request_id, [], len(shards)),
        delegate.name_missing(shards),
        delegate.name_ended(ended),
    ]
    return results.Result(
        messages.Reply(200, headers),
        results.Outcome.QUARANTINED,
        pursuit.QUARANTINED,
        shards=len(shards),
    )


def _merge(
    tools: calls.Tools,
    call: calls.Call,
    scatter: routing.Scatter,
    forwarder: forward.Forwarder,
) -> results.Result:
    """Make one answer of what the shards and the parts have brought."""
    pursuits = forwarder.pursuits
    own = [each.answer for each in pursuits if each.answer is not None]
    brought = [
        part.answer for part in forwarder.parts if part.answer is not None
    ]
    stamps = [each.get_header(tools.names.stamp) for each in own]
    bodies = [each.body for each in own]
    for each in brought:
        stamps += each.stamps
        bodies.append(each.body)
    missing = len(pursuits) - forwarder.count_answers()
    headers = _sign_parts(tools.names, call.request_id, stamps, missing)
    return results.Result(
        messages.Reply(
            200, headers, records.merge_records(bodies, scatter.top_k)
        ),
        results.Outcome.PARTIAL if missing else results.Outcome.ANSWERED,
        _list_missing(pursuits),
        shards=len(pursuits),
        answered=len(stamps),
        asked=sum(not each.was_elsewhere for each in pursuits)
        + len(forwarder.parts),
        received=sum(len(each) for each in bodies),
        late=sum(each.is_late for each in pursuits),
        far=forward.count_far(pursuits),
        extras=sum(each.extras for each in pursuits),
        denied=sum(each.denied for each in pursuits),
        lost=sum(each.lost for each in pursuits),
        waited_for=forwarder.waited_for,
    )


def _sign_parts(
    names: dialect.HeaderNames,
    request_id: bytes,
    stamps: list[bytes],
    missing: int,
) -> messages.Headers:
    """Return the headers that say whose answers are in, and how many not."""
    return [
        (names.request_id, request_id),
        (names.part_stamps, b', '.join(stamps)),
        (names.missing_parts, b'%d' % missing),
    ]


def _list_missing(pursuits: list[pursuit.Pursuit]) -> str:
    """Name the shards that are missing, and why each one is."""
    return results.join_some(
        f'{each.service}: {each.explain()}'
        for each in pursuits
        if not each.has_answer
    )
