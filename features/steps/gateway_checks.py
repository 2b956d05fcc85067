"""Steps that check replies, upstreams and log lines of a gateway."""

import asyncio
import collections
import json
import logging
import os
import pathlib

from behave import then
from behave import use_step_matcher
from behave import when

from features.steps.common import run
from features.steps.gateway import get
from rudderrock import gateway

use_step_matcher('re')

_SECONDS = r'([\d.]+) seconds?'
# Statuses that promise that a request has not run; stated here on their own,
# so that a change of the gateway's set fails the check.
PROMISES = (408, 421, 429, 503)


@then(r'its request is lost and may have run')
def check_lost(context):
    assert context.outcomes == [gateway.ConnectionLost(True, 'reset')]


@then(r'the reply is (\d+)')
def check_status(context, status):
    assert context.reply.status == int(status), context.reply


@then(r'more than ([\d.]+) of the replies are 200')
def check_fraction_ok(context, fraction):
    statuses = collections.Counter(each.status for each in context.replies)
    assert statuses[200] > float(fraction) * statuses.total(), statuses


@then(r'every reply is 200')
def check_all_ok(context):
    statuses = collections.Counter(each.status for each in context.replies)
    assert set(statuses) == {200}, statuses


@then(r'every reply is 200 and has the stamp of its own request')
def check_all_stamps(context):
    check_all_ok(context)
    names = [
        each.headers['rudderrock-stamp'].split('.', 1)[1]
        for each in context.replies
    ]
    assert names == [f'load-{n}' for n in range(len(names))], names


@then(r'each request ran 1 time')
def check_each_ran_once(context):
    count = len(context.replies)
    runs = [len(get(context).list_runs(f'load-{n}')) for n in range(count)]
    assert runs == [1] * count, runs


@then(r'the reply has the stamp and the request id of "([^"]+)"')
def check_stamp(context, upstream):
    found = context.reply.headers
    request_id = context.request_id
    assert found['rudderrock-stamp'] == f'{upstream}.{request_id}', found
    assert found['rudderrock-request-id'] == request_id, found


@then(r'the reply has no stamp')
def check_no_stamp(context):
    assert 'rudderrock-stamp' not in context.reply.headers, context.reply


@then(r'each request ran at most 1 time')
def check_none_ran_twice(context):
    count = len(context.replies)
    runs = [len(get(context).list_runs(f'load-{n}')) for n in range(count)]
    assert max(runs) <= 1, runs


@then(r'no request that ran got a reply that promises the contrary')
def check_promises(context):
    broken = [
        each
        for number, each in enumerate(context.replies)
        if each.status in PROMISES and get(context).list_runs(f'load-{number}')
    ]
    assert not broken, (len(broken), broken[0])


@then(r'"([^"]+)" never had more than (\d+) connections?')
def check_upstream_connections(context, upstream, limit):
    peak = get(context).upstreams[upstream].peak_connections
    assert 0 < peak <= int(limit), peak


@then(r'it gets (\d+) replies in the order of the requests')
def check_order(context, count):
    names = [
        each.headers['rudderrock-stamp'].split('.', 1)[1]
        for each in context.replies
    ]
    assert names == context.sent_ids, names
    assert len(names) == int(count)


@then(r'the reply has a Retry-After of less than 1 second')
def check_retry_after(context):
    assert 0 < float(context.reply.headers['retry-after']) < 1


@then(r'the reply has Connection: close')
def check_connection_close(context):
    assert context.reply.headers['connection'] == 'close', context.reply


@then(r'its body is complete')
def check_complete_body(context):
    assert context.reply.body == b'r' * 32, context.reply


@then(r'it took less than ([\d.]+) seconds')
def check_max_duration(context, seconds):
    assert context.reply.elapsed < float(seconds), context.reply


@then(r'it took more than ([\d.]+) seconds')
def check_min_duration(context, seconds):
    assert context.reply.elapsed > float(seconds), context.reply


@then(r'its records are "([^"]+)"')
def check_records(context, letters):
    expected = b''.join(letter.encode() * 16 for letter in letters)
    assert context.reply.body == expected, context.reply.body


@then(r'(\d+) shards are missing and the reply has the stamps of (\d+)')
def check_coverage(context, missing, answered):
    headers = context.reply.headers
    assert headers['rudderrock-missing-parts'] == missing, headers
    stamps = headers['rudderrock-part-stamps'].split(', ')
    assert len(set(stamps)) == int(answered), stamps


@then(r'every reply names (\d+) old shards or (\d+) new shards and never both')
def check_one_version(context, old, new):
    seen = collections.Counter()
    for reply in context.replies:
        stamps = reply.headers['rudderrock-part-stamps'].split(', ')
        missing = int(reply.headers['rudderrock-missing-parts'])
        upstreams = {stamp.partition('.')[0] for stamp in stamps}
        shards = {each.rsplit('-', 1)[0] for each in upstreams}
        is_new = shards <= set(context.new_shards)
        is_old = shards <= set(context.shards)
        assert is_new or is_old, stamps
        assert len(stamps) + missing == int(new if is_new else old)
        seen[is_new] += 1
    assert seen[True] and seen[False], seen


@then(r'"([^"]+)" ran it as (\w+) "([^"]+)" with the body "([^"]+)"')
def check_run(context, upstream, method, target, body):
    found = get(context).upstreams[upstream].runs[-1]
    assert found.method == method, found
    assert found.target == target, found
    assert found.body == body.encode(), found


@then(r'"([^"]+)" was sent the header "([^"]+)" as "([^"]+)"')
def check_header(context, upstream, name, value):
    found = get(context).upstreams[upstream].runs[-1]
    assert found.headers.get(name) == value, found


@then(r'"([^"]+)" was sent the request id of the caller')
def check_request_id(context, upstream):
    found = get(context).upstreams[upstream].runs[-1]
    assert found.request_id == context.request_id, found


@then(r'"([^"]+)" was not sent the header "([^"]+)"')
def check_no_header(context, upstream, name):
    found = get(context).upstreams[upstream].runs[-1]
    assert name not in found.headers, found


@then(r'"([^"]+)" was sent its own id as the expected upstream')
def check_expected(context, upstream):
    check_header(context, upstream, 'rudderrock-expect-upstream', upstream)


@then(r'"([^"]+)" was sent a deadline of at most (\d+) ms')
def check_sent_deadline(context, upstream, limit):
    found = get(context).upstreams[upstream].runs[-1]
    deadline_ms = int(found.headers['rudderrock-deadline-ms'])
    assert 0 < deadline_ms <= int(limit), deadline_ms


@then(r'only "([^"]+)" ran it')
def check_only_runner(context, upstream):
    harness = get(context)
    runners = [
        name
        for name, model in harness.upstreams.items()
        for each in model.runs
        if each.request_id == context.request_id
    ]
    assert runners == [upstream], runners


@then(r'"([^"]+)" ran it and finished a request')
def check_finished(context, upstream):
    model = get(context).upstreams[upstream]
    ids = [each.request_id for each in model.runs]
    assert context.request_id in ids and model.finished, ids


@then(r'it ran (\d+) times?')
def check_run_count(context, count):
    found = get(context).list_runs(context.request_id)
    assert len(found) == int(count), found


@then(r'"([^"]+)" ran (\d+) of them and "([^"]+)" (\d+)')
def check_run_counts(context, first, left, second, right):
    upstreams = get(context).upstreams
    found = [
        sum(
            each.request_id.startswith('load-')
            for each in upstreams[name].runs
        )
        for name in (first, second)
    ]
    assert found == [int(left), int(right)], found


@then(r'"([^"]+)" has aborted its requests')
def check_aborted(context, upstream):
    model = get(context).upstreams[upstream]
    assert model.runs and not model.finished
    assert model.working == 0, model.working


@then(r'every upstream has aborted its requests')
def check_all_aborted(context):
    for name in get(context).upstreams:
        check_aborted(context, name)


@then(r'no upstream ran anything')
def check_nothing_run(context):
    assert not any(each.runs for each in get(context).upstreams.values())


@then(r'the gateway is (not ready|ready)')
def check_ready(context, state):
    status = run(context, get(context).probe())
    assert status == (200 if state == 'ready' else 503), status


@then(
    r'no service got more than ([\d.]+) extra requests per request plus '
    r'(\d+) in any 10 seconds'
)
def check_extra_requests(context, ratio, slack):
    harness = get(context)
    sent = len(context.replies)
    seen = context.extras = {}
    for shard in context.shards:
        arrivals = collections.Counter(
            request_id
            for name, model in harness.upstreams.items()
            if name.startswith(f'{shard}-')
            for request_id in model.arrivals
        )
        # The requests are sent within 10 seconds, which is one window.
        extra = sum(count - 1 for count in arrivals.values())
        seen[shard] = extra
        assert extra <= float(ratio) * sent + int(slack), (shard, extra)


@then(r'no shard got an extra request')
def check_no_extra_requests(context):
    check_extra_requests(context, '0', '0')


@then(r'some extra requests were sent')
def check_some_extra_requests(context):
    assert sum(context.extras.values()) > 0, context.extras


@then(r'no request ran at more than (\d+) upstreams of a shard')
def check_attempts(context, limit):
    counts = collections.Counter()
    for name, model in get(context).upstreams.items():
        shard = name.rsplit('-', 1)[0]
        for each in model.runs:
            counts[(shard, each.request_id)] += 1
    assert counts and max(counts.values()) <= int(limit), counts


@then(r'the shard never had more than (\d+) connections')
def check_connections(context, limit):
    model = get(context).upstreams['shard-0-0']
    assert 1 < model.peak_connections <= int(limit), model.peak_connections


@then(r'no request was cut')
def check_not_interrupted(context):
    assert not context.interrupted, context.interrupted
    assert context.served > 50, context.served


@then(r'the gateway has ended within ' + _SECONDS)
def check_ended(context, seconds):
    harness = get(context)

    async def wait_until_ended():
        async with asyncio.timeout(10.0):
            await harness.task

    run(context, wait_until_ended())
    took = context.loop.time() - context.stopped_at
    assert took <= float(seconds), took


def list_lines(context, kind):
    """Return the decoded log lines of one kind."""
    lines = []
    for text in get(context).log.lines:
        if text.startswith('{'):
            line = json.loads(text)
            if line['kind'] == kind:
                lines.append(line)
    return lines


@then(r'the log has a line of it with the outcome "([^"]+)" and a reason')
def check_line(context, outcome):
    found = [
        line
        for line in list_lines(context, 'request')
        if line['request_id'] == context.request_id
    ]
    assert len(found) == 1, found
    assert found[0]['outcome'] == outcome, found
    assert found[0]['detail'], found
    assert found[0]['table_version'] is not None, found


@then(r'the log has a line "([^"]+)"')
def check_kind(context, kind):
    assert list_lines(context, kind)


@then(r'the log has at most (\d+) request lines')
def check_max_request_lines(context, limit):
    found = list_lines(context, 'request')
    assert 0 < len(found) <= int(limit), len(found)


@then(r'the log counts the omitted lines')
def check_omitted_lines(context):
    omitted = sum(
        line['count'] for line in list_lines(context, 'lines_dropped')
    )
    assert omitted + len(list_lines(context, 'request')) == 901, omitted


@then(r'every log line has the fields of its kind')
def check_fields(context):
    common = {'at', 'host', 'kind'}
    kinds = set()
    for text in get(context).log.lines:
        if not text.startswith('{'):
            continue
        line = json.loads(text)
        kind = gateway.LogKind(line['kind'])
        kinds.add(kind)
        info = gateway.KIND_INFO[kind]
        expected = common | set(info.fields)
        found = set(line) - set(info.optional_fields)
        assert found == expected, (line, expected)
    assert len(kinds) >= 6, kinds


@then(r'docs/events.md matches the definitions')
def check_events_page(context):
    page = pathlib.Path('docs/events.md').read_text(encoding='utf-8')
    assert page == gateway.format_event_page()
    assert set(gateway.KIND_INFO) == set(gateway.LogKind)


@when(r'(\d+) lines are logged to a pipe that is not read')
def fill_pipe(context, count):
    context.pipe, writing = os.pipe()
    context.stack.callback(os.close, context.pipe)
    context.stack.callback(os.close, writing)
    context.handler = gateway.PipeHandler(writing)
    context.line_count = int(count)
    for number in range(context.line_count):
        line = f'{number:06d} ' + 'x' * 200
        record = logging.LogRecord('t', 20, '', 0, line, None, None)
        context.handler.emit(record)


@then(
    r'logging did not block and the lines that did not fit were counted as '
    r'dropped'
)
def check_dropped_lines(context):
    assert 0 < context.handler.dropped < context.line_count


@when(r'the pipe is read again')
def read_pipe(context):
    os.set_blocking(context.pipe, False)
    context.read = b''
    while True:
        try:
            context.read += os.read(context.pipe, 65536)
        except BlockingIOError:
            if not context.handler.flush_waiting():
                break
            continue


@then(r'the kept lines are complete and in order')
def check_kept(context):
    lines = context.read.decode().splitlines()
    numbers = [int(line.split(' ')[0]) for line in lines]
    kept = context.line_count - context.handler.dropped
    assert numbers == list(range(kept)), (len(numbers), kept)
    assert all(len(line) == 207 for line in lines)


@when(r'the source raises an unexpected exception once')
def raise_in_source_once(context):
    source = get(context).source
    original = source.list_upstreams

    async def fail_once():
        source.list_upstreams = original
        raise KeyError('unexpected exception raised by this scenario')

    source.list_upstreams = fail_once


@then(r'the table was read (\d+) times, including once at the start')
def check_table_reads(context, count):
    reads = get(context).source.table_reads
    assert reads == int(count), reads


@then(r'(\d+) request in total has reached the address of "([^"]+)"')
def check_reached(context, count, upstream):
    arrivals = get(context).upstreams[upstream].arrivals
    assert len(arrivals) == int(count), len(arrivals)


@then(r'the newest table is in force')
def check_newest_table(context):
    harness = get(context)
    assert harness.process.tables.version == harness.version


@then(r'the log reports the exception')
def check_exception_logged(context):
    lines = get(context).log.lines
    assert any('failed on a defect' in line for line in lines), lines


@then(r'the log line of the last request has the detail "([^"]+)"')
def check_last_detail(context, text):
    assert list_lines(context, 'request')[-1]['detail'] == text


@then(r'the log line of the last request has (\d+) extras and (\d+) denied')
def check_extras(context, extras, denied):
    line = list_lines(context, 'request')[-1]
    assert (line['extras'], line['denied']) == (int(extras), int(denied)), line


@then(r'the log line of the last request has waited_for "([^"]+)"')
def check_waited_for(context, waited_for):
    line = list_lines(context, 'request')[-1]
    assert line['waited_for'] == waited_for, line
