"""Steps that check what a gateway did, and what its log says of it."""

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


@then(r'its request is lost and may have run')
def check_lost(context):
    assert context.outcomes == [gateway.ConnectionLost(True, 'reset')]


@then(r'the reply is (\d+)')
def check_status(context, status):
    assert context.reply.status == int(status), context.reply


@then(r'over ([\d.]+) of the replies are 200')
def check_most_good(context, part):
    statuses = collections.Counter(each.status for each in context.replies)
    assert statuses[200] > float(part) * statuses.total(), statuses


@then(r'every reply is 200')
def check_all_good(context):
    statuses = collections.Counter(each.status for each in context.replies)
    assert set(statuses) == {200}, statuses


@then(r'every reply is 200 and signed for its own request')
def check_all_own(context):
    check_all_good(context)
    names = [
        each.headers['rudderrock-stamp'].split('.', 1)[1]
        for each in context.replies
    ]
    assert names == [f'load-{n}' for n in range(len(names))], names


@then(r'it gets (\d+) replies, each to its own request in order')
def check_in_order(context, count):
    names = [
        each.headers['rudderrock-stamp'].split('.', 1)[1]
        for each in context.replies
    ]
    assert names == context.sent_ids, names
    assert len(names) == int(count)


@then(r'it says when to come back')
def check_retry_after(context):
    assert 0 < float(context.reply.headers['retry-after']) < 1


@then(r'it says that the connection ends')
def check_close(context):
    assert context.reply.headers['connection'] == 'close', context.reply


@then(r'its body is whole')
def check_whole(context):
    assert context.reply.body == b'r' * 32, context.reply


@then(r'it took less than ([\d.]+) seconds')
def check_quick(context, seconds):
    assert context.reply.elapsed < float(seconds), context.reply


@then(r'it took more than ([\d.]+) seconds')
def check_patient(context, seconds):
    assert context.reply.elapsed > float(seconds), context.reply


@then(r'its records are "([^"]+)"')
def check_records(context, letters):
    wanted = b''.join(letter.encode() * 16 for letter in letters)
    assert context.reply.body == wanted, context.reply.body


@then(r'(\d+) shards are missing and (\d+) are signed')
def check_coverage(context, missing, signed):
    headers = context.reply.headers
    assert headers['rudderrock-missing-parts'] == missing, headers
    stamps = headers['rudderrock-part-stamps'].split(', ')
    assert len(set(stamps)) == int(signed), stamps


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


@then(r'"([^"]+)" was not sent the header "([^"]+)"')
def check_no_header(context, upstream, name):
    found = get(context).upstreams[upstream].runs[-1]
    assert name not in found.headers, found


@then(r'"([^"]+)" was named as the only one that may run it')
def check_expected(context, upstream):
    check_header(context, upstream, 'rudderrock-expect-upstream', upstream)


@then(r'"([^"]+)" was told at most (\d+) ms')
def check_told(context, upstream, most):
    found = get(context).upstreams[upstream].runs[-1]
    told = int(found.headers['rudderrock-deadline-ms'])
    assert 0 < told <= int(most), told


@then(r'"([^"]+)" ran it and nobody else')
def check_only(context, upstream):
    bench = get(context)
    where = [
        name
        for name, model in bench.upstreams.items()
        for each in model.runs
        if each.request_id == context.request_id
    ]
    assert where == [upstream], where


@then(r'"([^"]+)" finished it')
def check_finished(context, upstream):
    model = get(context).upstreams[upstream]
    ids = [each.request_id for each in model.runs]
    assert context.request_id in ids and model.finished, ids


@then(r'it ran (\d+) times?')
def check_times(context, count):
    found = get(context).list_runs(context.request_id)
    assert len(found) == int(count), found


@then(r'"([^"]+)" ran (\d+) of them and "([^"]+)" (\d+)')
def check_shares(context, first, left, second, right):
    upstreams = get(context).upstreams
    found = [
        sum(
            each.request_id.startswith('load-')
            for each in upstreams[name].runs
        )
        for name in (first, second)
    ]
    assert found == [int(left), int(right)], found


@then(r'"([^"]+)" is at work for nobody')
def check_idle(context, upstream):
    model = get(context).upstreams[upstream]
    assert model.runs and not model.finished
    assert model.working == 0, model.working


@then(r'no shard is at work for anybody')
def check_shards_idle(context):
    for name in get(context).upstreams:
        check_idle(context, name)


@then(r'no upstream ran anything')
def check_nothing_run(context):
    assert not any(each.runs for each in get(context).upstreams.values())


@then(r'the gateway is (not ready|ready)')
def check_ready(context, how):
    status = run(context, get(context).probe())
    assert status == (200 if how == 'ready' else 503), status


@then(
    r'no service got more than ([\d.]+) extra arrivals a request and (\d+) '
    r'in any 10 seconds'
)
def check_budget(context, ratio, slack):
    bench = get(context)
    sent = len(context.replies)
    seen = context.extras = {}
    for shard in context.shards:
        arrivals = collections.Counter(
            request_id
            for name, model in bench.upstreams.items()
            if name.startswith(f'{shard}-')
            for request_id in model.arrivals
        )
        # The load lasts ten seconds, so its whole is one window.
        extra = sum(count - 1 for count in arrivals.values())
        seen[shard] = extra
        assert extra <= float(ratio) * sent + int(slack), (shard, extra)


@then(r'no shard got an extra request')
def check_no_extra(context):
    check_budget(context, '0', '0')


@then(r'some extra requests were sent')
def check_some_extra(context):
    assert sum(context.extras.values()) > 0, context.extras


@then(r'no request ran at more than (\d+) upstreams of a shard')
def check_attempts(context, most):
    counts = collections.Counter()
    for name, model in get(context).upstreams.items():
        shard = name.rsplit('-', 1)[0]
        for each in model.runs:
            counts[(shard, each.request_id)] += 1
    assert counts and max(counts.values()) <= int(most), counts


@then(r'the shard never had more than (\d+) connections')
def check_connections(context, most):
    model = get(context).upstreams['shard-0-0']
    assert 1 < model.peak_connections <= int(most), model.peak_connections


@then(r'no request was cut')
def check_uncut(context):
    assert not context.cut, context.cut
    assert context.served > 50, context.served


@then(r'the gateway has ended within ' + _SECONDS)
def check_ended(context, seconds):
    bench = get(context)

    async def wait_until_ended():
        async with asyncio.timeout(10.0):
            await bench.task

    run(context, wait_until_ended())
    took = context.loop.time() - context.stopped_at
    assert took <= float(seconds), took


def list_lines(context, kind):
    """Return the log lines of one kind, decoded."""
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


@then(r'the log has at most (\d+) lines on requests')
def check_bounded(context, most):
    found = list_lines(context, 'request')
    assert 0 < len(found) <= int(most), len(found)


@then(r'it says how many were left out')
def check_dropped(context):
    told = sum(line['count'] for line in list_lines(context, 'lines_dropped'))
    assert told + len(list_lines(context, 'request')) == 901, told


@then(r'every line of the log has the fields that its kind has')
def check_fields(context):
    common = {'at', 'host', 'kind'}
    kinds = set()
    for text in get(context).log.lines:
        if not text.startswith('{'):
            continue
        line = json.loads(text)
        kind = gateway.LogKind(line['kind'])
        kinds.add(kind)
        wanted = common | set(gateway.KIND_INFO[kind].fields)
        assert set(line) == wanted, (line, wanted)
    assert len(kinds) >= 6, kinds


@then(r'docs/events.md is what the definitions make')
def check_page(context):
    page = pathlib.Path('docs/events.md').read_text(encoding='utf-8')
    assert page == gateway.format_event_page()
    assert set(gateway.KIND_INFO) == set(gateway.LogKind)


@when(r'(\d+) lines are logged to a pipe that nobody reads')
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


@then(r'none of them blocked and the rest were counted as dropped')
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


@then(r'what was kept comes whole and in order')
def check_kept(context):
    lines = context.read.decode().splitlines()
    numbers = [int(line.split(' ')[0]) for line in lines]
    kept = context.line_count - context.handler.dropped
    assert numbers == list(range(kept)), (len(numbers), kept)
    assert all(len(line) == 207 for line in lines)


@when(r'the source breaks its contract once')
def break_source(context):
    source = get(context).source
    good = source.list_upstreams

    async def fail_once():
        source.list_upstreams = good
        raise KeyError('a defect of this scenario')

    source.list_upstreams = fail_once


@then(r'the table was read (\d+) times')
def check_table_reads(context, count):
    # Once at the start, and once for each time that is to be checked.
    reads = get(context).source.table_reads
    assert reads == int(count), reads


@then(r'(\d+) request has reached the address of "([^"]+)" since')
def check_reached(context, count, upstream):
    arrivals = get(context).upstreams[upstream].arrivals
    assert len(arrivals) == int(count), len(arrivals)


@then(r'the newest table is in force')
def check_newest(context):
    bench = get(context)
    assert bench.process.tables.version == bench.version


@then(r'the log tells of a defect')
def check_defect(context):
    lines = get(context).log.lines
    assert any('failed on a defect' in line for line in lines), lines


@then(r'the line of the last request says "([^"]+)"')
def check_last_line(context, text):
    assert list_lines(context, 'request')[-1]['detail'] == text


@then(r'the line of the last request has (\d+) extras and (\d+) denied')
def check_extras(context, extras, denied):
    line = list_lines(context, 'request')[-1]
    assert (line['extras'], line['denied']) == (int(extras), int(denied)), line


@then(r'the line of the last request waited for "([^"]+)"')
def check_waited_for(context, waited_for):
    line = list_lines(context, 'request')[-1]
    assert line['waited_for'] == waited_for, line
