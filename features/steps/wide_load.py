"""Steps on the load of wide queries and its distribution over hosts."""

import collections

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when

from features.steps import delegate
from features.steps import gateway as gateway_steps
from features.steps import gateway_checks
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_QUERY_CLASS = gateway.QueryClass(gateway.RouteName('all'), is_part=False)
_RECORD_BYTES = 16


def start_links(context, zones, link_bytes_s, shards, part_bytes, shard_zone):
    """Start shards in one zone, and gateways with links of the same speed."""
    harness = gateway_steps.get(context)
    records = b'r' * _RECORD_BYTES * (part_bytes // _RECORD_BYTES)
    for number in range(shards):
        name = f'shard-{number}'
        context.shards.append(name)
        run(
            context,
            harness.add_upstream(
                f'{name}-0',
                name,
                zone=shard_zone,
                records=records,
                work_s=0.01,
            ),
        )
    delegate.start_gateways(
        context, zones, goal_s=0.3, link_bytes_s=link_bytes_s
    )


@given(
    r'(\d+) gateways with links of (\d+) bytes a second in front of (\d+) '
    r'shards with parts of (\d+) bytes'
)
def start_one_zone(context, count, link, shards, part):
    zones = ['north-1'] * int(count)
    start_links(context, zones, int(link), int(shards), int(part), 'north-1')


@given(
    r'(\d+) gateways with links of (\d+) bytes a second in each of two zones '
    r'in front of (\d+) shards with parts of (\d+) bytes, all in the other '
    r'zone'
)
def start_two_zones(context, count, link, shards, part):
    zones = ['north-1'] * int(count) + ['north-2'] * int(count)
    start_links(context, zones, int(link), int(shards), int(part), 'north-2')


@when(
    r'the gateways (of the first zone )?are asked for all shards (\d+) times '
    r'a second for (\d+) seconds'
)
def query_at_rate(context, first_zone, rate, seconds):
    names = list(context.fleet.members)
    if first_zone:
        names = names[: len(names) // 2]
    delegate.query_in_turn(context, names, int(rate), int(seconds))


@when(r'each gateway in turn is asked for all shards, ([\d.]+) seconds apart')
def query_one_by_one(context, seconds):
    context.sent_before = count_sent(context)
    names = list(context.fleet.members)
    interval_s = float(seconds)
    delegate.query_in_turn(
        context, names, 1 / interval_s, len(names) * interval_s
    )


def count_sent(context):
    """Return the number of requests that each gateway sent to shards."""
    return collections.Counter(
        {
            name: member.gateway.counters.first_attempts
            for name, member in context.fleet.members.items()
        }
    )


@then(r'only (\d+) gateways sent requests to the shards after that')
def check_sent_since(context, count):
    sent = count_sent(context) - context.sent_before
    assert len(sent) == int(count), sent


@then(r'no gateway ran more than ([\d.]+) of the queries')
def check_largest_fraction(context, fraction):
    shards = len(context.shards)
    max_queries = max(count_sent(context).values()) / shards
    assert max_queries <= float(fraction) * len(context.answers), count_sent(
        context
    )


@then(r'(\d+) connections to shards were opened')
def check_opened(context, count):
    members = context.fleet.members.values()
    opened = sum(
        member.gateway.selector.connections_opened for member in members
    )
    assert opened == int(count), opened


@then(
    r'the log reports the new coordinators and the load that led to the change'
)
def check_coordinator_changes(context):
    lines = gateway_checks.list_lines(context, 'coordinators_changed')
    reports = [line for line in lines if 'full' in line['detail']]
    assert reports, lines
    assert all(line['hosts'] != line['before'] for line in reports), reports


@given(r'a host of ([\d.]+) cores with a link of (\d+) bytes a second')
def make_estimator(context, cores, link):
    clock = state.Clock(context.loop)
    context.estimator = gateway.LoadEstimator(clock, float(cores), float(link))


@given(r'each of its queries asks (\d+) shards and receives (\d+) bytes')
def record_queries(context, shards, size):
    context.estimator.record_end(_QUERY_CLASS, int(shards), int(size))


@when(r'it starts (\d+) queries at once')
def start_queries(context, count):
    for _ in range(int(count)):
        context.estimator.record_start(_QUERY_CLASS, 1)


@then(r'the estimated delay of the next query is ([\d.]+) ms')
def check_delay(context, delay_ms):
    found = round(1000 * context.estimator.get_delay_s(), 1)
    assert found == float(delay_ms), found


@then(r'a query with a goal of ([\d.]+) seconds has (room|none)')
def check_room(context, goal_s, expected):
    assert context.estimator.has_room(float(goal_s)) is (expected == 'room')


@when(r'one gateway with a fast link refuses queries with a malformed reason')
def refuse_with_malformed_reason(context):
    async def refuse(request):
        return gateway.Reply(
            503, [(b'rudderrock-not-taken', b'full ' + b'nonsense' * 500)]
        )

    context.fleet.members[context.fast[0]].process.peers.handle = refuse


@then(r'the log reports that the reason is unknown')
def check_unknown_reason(context):
    lines = gateway_checks.list_lines(context, 'peer_skipped')
    reports = [line['detail'] for line in lines if 'query' in line['detail']]
    assert reports
    assert set(reports) == {'did not take a query: no reason that is known'}, (
        reports
    )
