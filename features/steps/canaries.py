"""Steps on canaries of requests that crash upstreams, and on hedges."""

import asyncio
import re

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import quarantine
from features.steps.common import run
from rudderrock import core
from rudderrock import gateway
from rudderrock import standins
from rudderrock import state

use_step_matcher('re')

# Offset of a crash from the times at which queries are sent, 10 ms apart, so
# that upstreams crash between two queries.
_CRASH_OFFSET_S = 0.00134


class _AttemptAtService:
    """An attempt that waits at a service with `live` live upstreams."""

    def __init__(self, canary, live):
        self.live = live
        self.is_sent = False
        self.decision = None
        self._canary = canary

    def wait(self):
        """Wait if the canary decides so."""
        self.decision = self._canary.decide()
        if self.decision is gateway.SendDecision.WAIT:
            self._canary.wait(
                gateway.WaitingAttempt(
                    self.wait, self._send, lambda: self.live
                )
            )

    def _send(self):
        self.is_sent = True
        self._canary.record_sent()


def make_canary(context):
    """Return the canary of a new copy of the request at the same host."""
    clock = state.Clock(context.loop)
    return gateway.Canary(
        context.request_quarantine, clock, lambda: quarantine.DIGEST
    )


@given(r'a request whose first attempt crashed (\d+) upstreams?')
def crash_upstreams(context, count):
    context.request_quarantine = quarantine.make_quarantine(context, 'h1')
    incarnations = [
        core.UpstreamIncarnation(f'u{number}/0')
        for number in range(int(count))
    ]
    began = context.loop.time()
    context.request_quarantine.record_crash(
        quarantine.DIGEST, began, False, incarnations
    )
    context.canary = make_canary(context)


@when(r'attempts wait at services with ([\d, and]+) live upstreams?')
def wait_at_services(context, counts):
    context.waiting = start_waiting(context.canary, counts)


def start_waiting(canary, counts):
    """Return attempts that had to decide while another was in flight.

    That attempt has since ended without showing whether the request is at
    fault.
    """
    canary.record_sent()
    waiting = [
        _AttemptAtService(canary, int(each))
        for each in re.findall(r'\d+', counts)
    ]
    for each in waiting:
        each.wait()
    canary.record_inconclusive()
    return waiting


@then(r'only the attempt at the service with (\d+) is sent')
def check_sent_alone(context, live):
    sent = [each.live for each in context.waiting if each.is_sent]
    assert sent == [int(live)], sent


@when(
    r'its upstream crashes too and attempts of a copy wait at services with '
    r'([\d and]+)'
)
def end_canary(context, counts):
    context.canary.record_lost()
    context.canary.record_checked(core.UpstreamIncarnation('u9/0'), True)
    context.copies = start_waiting(make_canary(context), counts)


@when(r'attempts of a copy wait at services with ([\d and]+)')
def wait_copy_at_services(context, counts):
    context.copies = start_waiting(make_canary(context), counts)


@then(r'no attempt of the copy is sent')
def check_copy_not_sent(context):
    assert not [each for each in context.copies if each.is_sent]
    assert {each.decision for each in context.copies} == {
        gateway.SendDecision.STOP
    }


@then(r'nothing is sent to the service with (\d+)')
def check_not_sent(context, live):
    sent = [each.live for each in context.waiting if each.is_sent]
    assert int(live) not in sent, sent


@given(r'(\d+) shards of (\d+) replicas in two zones')
def add_in_two_zones(context, shards, replicas):
    harness = gateway_steps.get(context)
    zones = ('north-1', 'south-1')
    for number in range(int(shards)):
        name = f'shard-{number}'
        context.shards.append(name)
        for replica in range(int(replicas)):
            upstream = harness.add_upstream(
                f'{name}-{replica}',
                name,
                zone=zones[replica % 2],
                records=b'%016d' % number,
            )
            run(context, upstream)


@when(
    r'(\d+) queries a second are sent for ([\d.]+) seconds, and after '
    r'([\d.]+) seconds all upstreams of zone "([^"]+)" crash'
)
def crash_zone(context, rate, seconds, after_s, zone):
    harness = gateway_steps.get(context)

    async def execute():
        load = asyncio.create_task(
            send_distinct_queries(harness, int(rate), float(seconds))
        )
        await asyncio.sleep(float(after_s) + _CRASH_OFFSET_S)
        for each in harness.source.endpoints.values():
            if each.zone == zone:
                harness.upstreams[each.upstream].crash(standins.DOWN_S)
        return await load

    context.replies = run(context, execute())


async def send_distinct_queries(harness, rate, seconds):
    """Send distinct queries at a steady rate and return their replies."""
    tasks = []
    for number in range(round(rate * seconds)):
        raw = gateway_bench.make_raw(
            f'other-{number}', f'/all/other-{number}', deadline_ms=1000
        )
        tasks.append(asyncio.create_task(harness.ask(raw)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


@then(r'at most (\d+) of the queries were not answered')
def check_unanswered(context, maximum):
    failures = [each.status for each in context.replies if each.status != 200]
    assert len(failures) <= int(maximum), failures


@then(r'no query was refused with a Retry-After above ([\d.]+) seconds')
def check_retry_after_limit(context, seconds):
    refusals = [each for each in context.replies if each.status == 503]
    for each in refusals:
        assert float(each.headers['retry-after']) <= float(seconds), each


@given(
    r'(\d+) gateways in each of two zones in front of (\d+) shards of (\d+) '
    r'upstreams, (\d+) of these shards in the other zone'
)
def start_zones_with_replicas(context, count, shards, replicas, others):
    delegate.start_zones(
        context, int(count), int(shards), int(others), replicas=int(replicas)
    )


@given(
    r'(\d+) gateways in each of two zones in front of (\d+) shards, (\d+) of '
    r'them with one upstream in the other zone and one in another region'
)
def start_shards_in_three_zones(context, count, shards, others):
    harness = gateway_steps.get(context)
    for number in range(int(others)):
        upstream = harness.add_upstream(
            f'shard-{number}-1',
            f'shard-{number}',
            zone='south-1',
            records=b'%016d' % number,
        )
        run(context, upstream)
    delegate.start_zones(context, int(count), int(shards), int(others))


@given(
    r'upstreams of the first zone take ([\d.]+) seconds per request, those of '
    r'the other zone ([\d.]+)'
)
def set_work_time(context, first_s, other_s):
    harness = gateway_steps.get(context)
    for each in harness.source.endpoints.values():
        is_first = each.zone == 'north-1'
        work_s = float(first_s if is_first else other_s)
        harness.upstreams[each.upstream].work_s = work_s


@given(r'every upstream of the other zone is silent')
def silence_zone(context):
    harness = gateway_steps.get(context)
    for each in harness.source.endpoints.values():
        if each.zone == 'north-2':
            harness.upstreams[
                each.upstream
            ].fault_mode = standins.FaultMode.SILENT


@when(r'a gateway of the first zone is asked for "([^"]+)"')
def send_to_first_zone(context, target):
    began = context.loop.time()
    name = next(iter(context.fleet.members))
    _, context.reply = run(
        context, quarantine.send_request(context, name, target)
    )
    context.took_s = context.loop.time() - began


@then(r'the reply covers all shards and takes at most ([\d.]+) seconds')
def check_complete_in_time(context, seconds):
    assert context.reply.status == 200, context.reply
    missing = gateway.HeaderNames().missing_parts.decode()
    assert context.reply.headers[missing] == '0', context.reply.headers
    assert context.took_s <= float(seconds), context.took_s


@given(r'the upstreams of (\d+) shards take ([\d.]+) seconds per request')
def set_work_time_of_shards(context, count, seconds):
    models = gateway_steps.get(context).upstreams
    for name, model in models.items():
        if name.rpartition('-')[0] in context.shards[-int(count) :]:
            model.work_s = float(seconds)
