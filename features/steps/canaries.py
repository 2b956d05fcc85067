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

# When upstreams crash between two queries that come 10 ms apart, in seconds.
_PHASE_S = 0.00134


class _Waiting:
    """An attempt at a service that waits for its turn as a canary."""

    def __init__(self, probe, live):
        self.live = live
        self.is_sent = False
        self.decision = None
        self._probe = probe

    def wait(self):
        """Wait, unless it is judged otherwise."""
        self.decision = self._probe.decide()
        if self.decision is gateway.SendDecision.WAIT:
            self._probe.wait(
                gateway.WaitingAttempt(
                    self.wait, self._send, lambda: self.live
                )
            )

    def _send(self):
        self.is_sent = True
        self._probe.record_sent()


def make_probe(context):
    """Make a new copy of the request at the same host."""
    clock = state.Clock(context.loop)
    return gateway.Canary(context.known, clock, lambda: quarantine.DIGEST)


@given(r'a request that was lost with (\d+) upstreams?')
def lose_with(context, count):
    context.known = quarantine.make_quarantine(context, 'h1')
    incarnations = [
        core.UpstreamIncarnation(f'u{number}/0')
        for number in range(int(count))
    ]
    began = context.loop.time()
    context.known.record_crash(quarantine.DIGEST, began, False, incarnations)
    context.probe = make_probe(context)


@when(r'attempts at services with ([\d, and]+) live upstreams? wait')
def wait_at(context, counts):
    context.waiting = start_waiting(context.probe, counts)


def start_waiting(probe, counts):
    """Have attempts wait while another is under way, then end that one."""
    probe.record_sent()
    waiting = [
        _Waiting(probe, int(each)) for each in re.findall(r'\d+', counts)
    ]
    for each in waiting:
        each.wait()
    probe.record_inconclusive()
    return waiting


@then(r'the one at the service with (\d+) is sent alone')
def check_sent_alone(context, live):
    sent = [each.live for each in context.waiting if each.is_sent]
    assert sent == [int(live)], sent


@when(r'its upstream ends too and a copy waits at services with ([\d and]+)')
def end_canary(context, counts):
    context.probe.record_lost()
    context.probe.record_checked(core.UpstreamIncarnation('u9/0'), True)
    context.copies = start_waiting(make_probe(context), counts)


@when(r'a copy waits at services with ([\d and]+)')
def wait_copy(context, counts):
    context.copies = start_waiting(make_probe(context), counts)


@then(r'the copy is sent to nobody')
def check_copy(context):
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
    bench = gateway_steps.get(context)
    zones = ('north-1', 'south-1')
    for number in range(int(shards)):
        name = f'shard-{number}'
        context.shards.append(name)
        for replica in range(int(replicas)):
            upstream = bench.add_upstream(
                f'{name}-{replica}',
                name,
                zone=zones[replica % 2],
                records=b'%016d' % number,
            )
            run(context, upstream)


@when(
    r'(\d+) queries a second come for ([\d.]+) seconds, and after ([\d.]+) of '
    r'them all upstreams of zone "([^"]+)" crash'
)
def crash_zone(context, rate, seconds, after_s, zone):
    bench = gateway_steps.get(context)

    async def go():
        load = asyncio.create_task(ask_each(bench, int(rate), float(seconds)))
        await asyncio.sleep(float(after_s) + _PHASE_S)
        for each in bench.source.endpoints.values():
            if each.zone == zone:
                bench.upstreams[each.upstream].crash(standins.DOWN_S)
        return await load

    context.replies = run(context, go())


async def ask_each(bench, rate, seconds):
    """Send queries that differ at a rate; return their replies."""
    tasks = []
    for number in range(round(rate * seconds)):
        raw = gateway_bench.make_raw(
            f'other-{number}', f'/all/other-{number}', deadline_ms=1000
        )
        tasks.append(asyncio.create_task(bench.ask(raw)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


@then(r'at most (\d+) of the queries were not answered')
def check_unanswered(context, most):
    bad = [each.status for each in context.replies if each.status != 200]
    assert len(bad) <= int(most), bad


@then(r'none of them was kept back for longer than ([\d.]+) seconds')
def check_kept_for(context, seconds):
    refused = [each for each in context.replies if each.status == 503]
    for each in refused:
        assert float(each.headers['retry-after']) <= float(seconds), each


@given(
    r'(\d+) gateways in each of two zones before (\d+) shards of (\d+) '
    r'upstreams, (\d+) of them in the other'
)
def start_few_replicas(context, count, shards, replicas, others):
    delegate.start_zones(
        context, int(count), int(shards), int(others), replicas=int(replicas)
    )


@given(
    r'(\d+) gateways in each of two zones before (\d+) shards, (\d+) with an '
    r'upstream in the other and one in another region'
)
def start_spanning(context, count, shards, others):
    bench = gateway_steps.get(context)
    for number in range(int(others)):
        upstream = bench.add_upstream(
            f'shard-{number}-1',
            f'shard-{number}',
            zone='south-1',
            records=b'%016d' % number,
        )
        run(context, upstream)
    delegate.start_zones(context, int(count), int(shards), int(others))


@given(
    r'upstreams of the first zone work for ([\d.]+) seconds, of the other for '
    r'([\d.]+)'
)
def set_work(context, first_s, other_s):
    bench = gateway_steps.get(context)
    for each in bench.source.endpoints.values():
        is_first = each.zone == 'north-1'
        work_s = float(first_s if is_first else other_s)
        bench.upstreams[each.upstream].work_s = work_s


@given(r'every upstream of the other zone is silent')
def silence_zone(context):
    bench = gateway_steps.get(context)
    for each in bench.source.endpoints.values():
        if each.zone == 'north-2':
            bench.upstreams[
                each.upstream
            ].fault_mode = standins.FaultMode.SILENT


@when(r'a gateway of the first zone is asked for "([^"]+)"')
def ask_first(context, target):
    began = context.loop.time()
    name = next(iter(context.fleet.members))
    _, context.reply = run(context, quarantine.ask_for(context, name, target))
    context.took_s = context.loop.time() - began


@then(r'the reply has all shards within ([\d.]+) seconds')
def check_whole(context, seconds):
    assert context.reply.status == 200, context.reply
    missing = gateway.HeaderNames().missing_parts.decode()
    assert context.reply.headers[missing] == '0', context.reply.headers
    assert context.took_s <= float(seconds), context.took_s


@given(r'the upstreams of (\d+) shards work for ([\d.]+) seconds')
def set_some_work(context, count, seconds):
    models = gateway_steps.get(context).upstreams
    for name, model in models.items():
        if name.rpartition('-')[0] in context.shards[-int(count) :]:
            model.work_s = float(seconds)
