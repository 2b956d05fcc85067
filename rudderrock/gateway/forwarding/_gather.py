"""Scatter-gather queries: sending to all shards and merging the answers."""

import dataclasses
import math

from rudderrock import core
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _forward as forward
from rudderrock.gateway.forwarding import _records as records
from rudderrock.gateway.forwarding import _results as results
from rudderrock.gateway.forwarding import _service_call as service_call
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _messages as messages


def count_min_answers(shards: int, min_coverage: float) -> int:
    """Return how many of `shards` shards an answer must contain."""
    # The subtraction tolerates rounding errors: 100 * 0.55 is above 55.
    return max(1, math.ceil(shards * min_coverage - 1e-9))


async def forward_to_all(
    context: calls.ForwardingContext,
    call: calls.Call,
    scatter: routing.Scatter,
    threshold: core.HedgeThreshold,
    delegation: delegate.Delegation,
) -> results.Result:
    """Forward a call to every shard and merge the records of the answers."""
    total = len(scatter.shards)
    min_answers = count_min_answers(total, scatter.min_coverage)
    call = dataclasses.replace(call, max_missing=total - min_answers)
    forwarder = forward.Forwarder(
        context,
        call,
        scatter.shards,
        threshold,
        forward.WholeQuery(total, min_answers),
        delegation,
    )
    await forwarder.run()
    merged = _merge(context, call, scatter, forwarder)
    if merged.answered >= min_answers:
        return merged
    failed = results.make_failure_result(
        context.names,
        call.request_id,
        forward.may_have_run(forwarder.service_calls),
        forwarder.timed_out,
        merged.detail,
        call.canary,
    )
    return dataclasses.replace(
        merged, reply=failed.reply, outcome=failed.outcome
    )


async def answer_part(
    context: calls.ForwardingContext,
    call: calls.Call,
    scatter: routing.Scatter,
    threshold: core.HedgeThreshold,
    shards: tuple[routing.ServiceName, ...],
    min_answers: int,
) -> results.Result:
    """Return the merged answer of some shards for another host.

    A header of the reply lists the missing shards. Once the latency goal is
    reached, `min_answers` answers are enough.
    """
    # After the goal the other host may do without the missing shards, or
    # query them within its own share of the budget.
    is_patient = call.is_patient
    call = dataclasses.replace(call, retry_until=call.goal_at)
    scope = forward.QueryPart(len(scatter.shards), min_answers)
    forwarder = forward.Forwarder(context, call, shards, threshold, scope)
    await forwarder.run()
    merged = _merge(context, call, scatter, forwarder)
    missing = [
        each.service for each in forwarder.service_calls if not each.has_answer
    ]
    merged.reply.headers.append(delegate.make_missing_header(missing))
    not_run = [
        each.service
        for each in forwarder.service_calls
        if is_patient and not forward.may_have_run([each])
    ]
    if not_run:
        header = delegate.NOT_RUN_SHARDS, ','.join(not_run).encode()
        merged.reply.headers.append(header)
    if missing and call.canary.is_held:
        merged.reply.headers.append(
            delegate.make_crashed_header(call.canary.list_crashed())
        )
    return merged


def make_empty_part(
    names: header_names.HeaderNames,
    request_id: bytes,
    shards: tuple[routing.ServiceName, ...],
    crashed: list[core.UpstreamIncarnation],
) -> results.Result:
    """Return a part without any answer, for a quarantined request.

    Its status is 200, and all `shards` are listed as missing. `crashed` are
    the upstreams that crashed while handling the request.
    """
    headers = [
        *_make_part_headers(names, request_id, [], len(shards)),
        delegate.make_missing_header(shards),
        delegate.make_crashed_header(crashed),
    ]
    return results.Result(
        messages.Reply(200, headers),
        results.Outcome.QUARANTINED,
        service_call.QUARANTINED,
        shards=len(shards),
    )


def _merge(
    context: calls.ForwardingContext,
    call: calls.Call,
    scatter: routing.Scatter,
    forwarder: forward.Forwarder,
) -> results.Result:
    """Merge the answers of shards and parts into one result."""
    service_calls = forwarder.service_calls
    replies = [
        each.answer for each in service_calls if each.answer is not None
    ]
    part_answers = [
        part.answer for part in forwarder.parts if part.answer is not None
    ]
    stamps = [each.get_header(context.names.stamp) for each in replies]
    bodies = [each.body for each in replies]
    bytes_received = sum(each.received_bytes for each in service_calls)
    for each in part_answers:
        stamps += each.stamps
        bodies.append(each.body)
        bytes_received += len(each.body)
    missing = len(service_calls) - forwarder.count_answers()
    headers = _make_part_headers(
        context.names, call.request_id, stamps, missing
    )
    return results.Result(
        messages.Reply(
            200, headers, records.merge_records(bodies, scatter.top_k)
        ),
        results.Outcome.PARTIAL if missing else results.Outcome.ANSWERED,
        _describe_missing(service_calls),
        shards=len(service_calls),
        answered=len(stamps),
        requests_sent=sum(not each.was_delegated for each in service_calls)
        + len(forwarder.parts),
        bytes_received=bytes_received,
        late=sum(each.is_late for each in service_calls),
        far=forward.count_cross_region(service_calls),
        extras=sum(each.extras for each in service_calls),
        denied=sum(each.denied for each in service_calls),
        lost=sum(each.lost for each in service_calls),
        waited_for=forwarder.waited_for,
        log_fields=forward.make_wait_field(service_calls),
    )


def _make_part_headers(
    names: header_names.HeaderNames,
    request_id: bytes,
    stamps: list[bytes],
    missing: int,
) -> messages.Headers:
    """Return the headers with the stamps and the number of missing shards."""
    return [
        (names.request_id, request_id),
        (names.part_stamps, b', '.join(stamps)),
        (names.missing_parts, b'%d' % missing),
    ]


def _describe_missing(service_calls: list[service_call.ServiceCall]) -> str:
    """Return the missing shards and the reason for each one."""
    return results.join_truncated(
        f'{each.service}: {each.explain()}'
        for each in service_calls
        if not each.has_answer
    )
