"""Steps on several gateways that read the same source."""

import asyncio
import zlib

from behave import given
from behave import then
from behave import use_step_matcher
from behave import when
import msgspec

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import gateway
from rudderrock import state

use_step_matcher('re')

_NORTH = state.ZoneId('north-1')
_SOUTH = state.ZoneId('south-1')
_ZONES = [_NORTH, state.ZoneId('north-2'), _SOUTH]
_REGIONS = {_NORTH: 'north', _SOUTH: 'south'}


def make_fleet(context, upstream, service):
    """Prepare a source with one upstream and one route, without gateways."""
    harness = gateway_steps.get(context)
    harness.add_route('/notes/', gateway.Single(service))
    run(context, harness.add_upstream(upstream, service))
    harness.publish()
    context.fleet = gateway_bench.FleetHarness(harness, context.stack)


def start_fleet(context, north, south, upstream, service):
    """Start gateways in two zones that read one source with one route."""
    make_fleet(context, upstream, service)
    zones = [_NORTH] * north + [_SOUTH] * south
    run(context, context.fleet.start(zones))


@given(r'(\d+) gateways in one zone with an upstream "([^"]+)" of "([^"]+)"')
def start_one_zone(context, count, upstream, service):
    start_fleet(context, int(count), 0, upstream, service)


@given(
    r'(\d+) gateways in "north-1" and (\d+) in "south-1" '
    r'with an upstream "([^"]+)" of "([^"]+)"'
)
def start_two_zones(context, north, south, upstream, service):
    start_fleet(context, int(north), int(south), upstream, service)


@when(r'the gateway that reads the source is killed')
def kill_reader(context):
    run(context, context.fleet.kill(context.fleet.find_reader()))


@when(
    r'the gateway that reads the source gets no answer from the source and '
    r'gives none to its peers'
)
def silence_reader(context):
    reader = context.fleet.find_reader()
    context.silenced = reader
    context.fleet.members[reader].source.is_silent = True
    context.fleet.members[reader].hang_peer_requests()


@when(
    r'the gateway that reads the source loses it just after a reading, and '
    r'(serves peers|hangs at once|hangs 1.33 s on)'
)
def lose_reader_after_reading(context, fault):
    context.silenced = context.fleet.find_reader()
    context.readings_before = count_readings(context)
    reader = context.fleet.members[context.silenced]

    async def lose():
        counted = reader.source.calls_by_name
        before = counted['list_upstreams']
        while counted['list_upstreams'] == before:
            await asyncio.sleep(0.001)
        reader.source.is_silent = True

    run(context, lose())
    if fault != 'serves peers':
        hang_after_s = 0.0 if fault == 'hangs at once' else 1.33
        context.loop.call_later(hang_after_s, reader.hang_peer_requests)


def count_readings(context):
    """Return how often each gateway has listed the upstreams."""
    return {
        name: member.source.calls_by_name['list_upstreams']
        for name, member in context.fleet.members.items()
    }


@then(r'at most (\d+) other gateways have read the source meanwhile')
def check_reading_gateways(context, maximum):
    now = count_readings(context)
    readers = {
        name
        for name, before in context.readings_before.items()
        if name != context.silenced and now[name] > before
    }
    assert len(readers) <= int(maximum), readers


@when(
    r'the source is (refused|silent) for the gateway that reads it and 2 more'
)
def block_some(context, how):
    reader = context.fleet.find_reader()
    others = [each for each in context.fleet.members if each != reader]
    for name in (reader, *others[:2]):
        set_source_access(context.fleet.members[name].source, how)


@when(r'the source is (refused|silent|open) for all gateways')
def block_all(context, how):
    for member in context.fleet.members.values():
        set_source_access(member.source, how)


@when(r'the source is refused for all gateways and (\d+) seconds pass')
def block_for(context, seconds):
    before = count_calls(context)
    block_all(context, 'refused')
    run(context, asyncio.sleep(float(seconds)))
    context.calls_made = count_calls(context) - before


def count_calls(context):
    """Return the number of calls to the source by all gateways."""
    members = context.fleet.members.values()
    return sum(each.source.calls for each in members)


@then(r'they have called it at most (\d+) times during that time')
def check_calls_made(context, maximum):
    assert context.calls_made <= int(maximum), context.calls_made


def set_source_access(source, how):
    """Make one host's calls to the source fail, hang or succeed."""
    source.is_refused = how == 'refused'
    source.is_silent = how == 'silent'


@when(r'a seventh gateway starts')
def start_seventh(context):
    run(context, context.fleet.add(_NORTH))


@when(
    r'the source refuses all gateways and a seventh gateway starts with (\d+) '
    r'reachable seeds'
)
def start_during_outage(context, count):
    members = list(context.fleet.members.values())
    for member in members:
        member.source.is_refused = True
    unreachable, *others = list_seeds(context, int(count))
    # The second seed is the new gateway itself.
    seeds = (unreachable, ('10.0.1.7', 8003), *others)
    run(context, context.fleet.add(_NORTH, 1.0, seeds, True))


def list_seeds(context, count):
    """Return an unreachable seed, followed by `count` running gateways."""
    members = list(context.fleet.members.values())[:count]
    addresses = ['10.0.1.99', *(each.address for each in members)]
    return tuple((address, 8003) for address in addresses)


@when(r'a seventh gateway starts with (\d+) reachable seeds')
def start_with_reachable_seeds(context, count):
    seeds = list_seeds(context, int(count))
    run(context, context.fleet.add(_NORTH, seeds=seeds))


@when(
    r'a seventh gateway starts whose readings of the source take ([\d.]+) '
    r'seconds longer'
)
def start_with_slow_readings(context, seconds):
    run(context, context.fleet.add(_NORTH))
    context.fleet.members['g7'].source.delay_s = float(seconds)


@given(
    r'(\d+) seed gateways and (\d+) others start together with an upstream '
    r'"([^"]+)" of "([^"]+)"'
)
def start_together(context, seeds, others, upstream, service):
    make_fleet(context, upstream, service)
    gateway_steps.get(context).keep_log()
    context.seeds = tuple(
        (f'10.0.1.{number}', 8003) for number in range(1, int(seeds) + 1)
    )
    count = int(seeds) + int(others)
    context.zones = _ZONES * count
    run(context, start_all(context, range(1, count + 1)))


@given(r'each call to the source takes one more iteration of the event loop')
def delay_calls(context):
    context.source_delay_s = 0.0


async def start_all(context, numbers):
    """Start gateways with the same seeds, 5 ms apart."""
    for number in numbers:
        zone = context.zones[number]
        await context.fleet.add(zone, seeds=context.seeds, number=number)
        source = context.fleet.members[f'g{number}'].source
        source.delay_s = getattr(context, 'source_delay_s', None)
        await asyncio.sleep(0.005)


@when(r'all gateways are killed and restart together')
def restart_all(context):
    names = list(context.fleet.members)
    for name in names:
        run(context, context.fleet.kill(name))
    numbers = sorted(int(name[1:]) for name in names)
    # The seeds start last.
    run(context, start_all(context, reversed(numbers)))


@then(r'the seventh gateway answers "([^"]+)" with (\d+)')
def check_seventh(context, path, status):
    raw = gateway_bench.make_raw('seventh', path)
    began = context.loop.time()
    reply = run(context, context.fleet.ask('g7', raw))
    context.elapsed_s = context.loop.time() - began
    assert reply.status == int(status), reply


@then(r'the seventh gateway has called the source (\d+) times')
def check_seventh_calls(context, count):
    found = context.fleet.members['g7'].source.calls
    assert found == int(count), found


@then(r'the gateways have called the source at most (\d+) times in total')
def check_all_calls(context, maximum):
    assert count_calls(context) <= int(maximum), count_calls(context)


@then(r'they have tried to register at most (\d+) times in total')
def check_all_registrations(context, maximum):
    members = context.fleet.members.values()
    count = sum(each.source.calls_by_name['register'] for each in members)
    assert count <= int(maximum), count


@then(r'the gateways have read from the source at most (\d+) times in total')
def check_all_reads(context, maximum):
    count = sum(
        calls
        for member in context.fleet.members.values()
        for name, calls in member.source.calls_by_name.items()
        if name.startswith(('list_', 'read_', 'watch_'))
    )
    assert count <= int(maximum), count


@when(r'a new peer asks the gateway that reads the source for changes')
def ask_as_new_peer(context):
    async def ask():
        member = context.fleet.members[context.fleet.find_reader()]
        peer = gateway.PeerClient(member.hosts.own)
        context.stack.callback(peer.close)
        return await peer.ask(gateway.InForce(), is_lost=False)

    context.replies_to_peers = getattr(context, 'replies_to_peers', [])
    context.replies_to_peers.append(run(context, ask()).ok_value)


@then(r'the second peer got the same reading, ([\d.]+) seconds older')
def check_older(context, seconds):
    first, second = context.replies_to_peers
    assert (first.number, first.generation) == (
        second.number,
        second.generation,
    )
    difference_ms = second.age_ms - first.age_ms
    assert abs(difference_ms - 1000 * float(seconds)) <= 2, (first, second)


@when(r'the registry loses all hosts')
def lose_hosts(context):
    gateway_steps.get(context).source.hosts.clear()


@given(
    r'a directory that has applied reading (\d+) of "([^"]+)", ([\d.]+) '
    r'seconds old'
)
def make_directory(context, number, origin, age):
    context.clock = state.Clock(context.loop)
    context.directory = gateway.Directory(context.clock)
    apply_reading(context, number, origin, age)


def apply_reading(context, number, origin, age):
    """Apply a reading to the directory."""
    context.origin = origin
    context.number = number
    read_at = context.clock.now() - float(age)
    stamp = gateway.ReadingStamp(origin, int(number), read_at)
    context.directory.apply_reading((), gateway.Position(0, 1), stamp)


@when(r'the same reading arrives with an age of ([\d.]+) seconds')
def repeat_reading(context, age):
    apply_reading(context, context.number, context.origin, age)


@when(r'reading (\d+) of "([^"]+)" arrives, ([\d.]+) seconds old')
def apply_next_reading(context, number, origin, age):
    apply_reading(context, number, origin, age)


@then(r"the directory's reading is ([\d.]+) seconds old")
def check_age(context, age):
    found = context.directory.age_s
    assert abs(found - float(age)) < 0.001, found


@then(r'all gateways are ready')
def check_all_ready(context):
    for member in context.fleet.members.values():
        assert member.gateway.is_ready


@then(r'only (\d+) of the gateways reads the source')
def check_readers(context, count):
    members = context.fleet.members.values()
    before = [member.source.calls for member in members]
    run(context, asyncio.sleep(10.0))
    calls_made = [
        member.source.calls - earlier
        for member, earlier in zip(members, before, strict=True)
    ]
    # The other gateways only renew their registration.
    readers = [calls for calls in calls_made if calls > 4]
    assert len(readers) == int(count), calls_made


@then(r'at most (\d+) of the gateways that reach the source read it')
def check_few_readers(context, maximum):
    members = [
        member
        for member in context.fleet.members.values()
        if not member.source.is_silent
    ]
    before = [member.source.calls for member in members]
    run(context, asyncio.sleep(10.0))
    calls_made = [
        member.source.calls - earlier
        for member, earlier in zip(members, before, strict=True)
    ]
    readers = [calls for calls in calls_made if calls > 6]
    assert len(readers) <= int(maximum), calls_made


@then(r'every gateway counts (\d+) hosts')
def check_count(context, count):
    found = [each.hosts.count() for each in context.fleet.members.values()]
    assert set(found) == {int(count)}, found


@then(r'every (other )?gateway sends "([^"]+)" to "([^"]+)"')
def check_all_send(context, other, path, upstream):
    harness = gateway_steps.get(context)
    for name in context.fleet.members:
        if other and name == context.silenced:
            continue
        request_id = f'{name}-{gateway_steps.next_id(context)}'
        raw = gateway_bench.make_raw(request_id, path)
        reply = run(context, context.fleet.ask(name, raw))
        assert reply.status == 200, (name, reply)
        ids = [each.request_id for each in harness.upstreams[upstream].runs]
        assert request_id in ids, (name, upstream)


@then(r'no gateway has an upstream for "([^"]+)"')
def check_none_known(context, path):
    for name in context.fleet.members:
        raw = gateway_bench.make_raw(gateway_steps.next_id(context), path)
        reply = run(context, context.fleet.ask(name, raw))
        assert reply.status == 503, (name, reply)


@then(r'(\d+) hosts are registered')
def check_registry(context, count):
    found = gateway_steps.get(context).source.hosts.values()
    assert len({each.host for each in found}) == int(count), found


@then(r"each gateway's share of a slack of 20 extra requests is (\d+)")
def check_slack(context, count):
    for member in context.fleet.members.values():
        slack = 20.0 / member.hosts.count()
        assert slack == float(count), slack


@when(r'a peer asks the gateway that reads the source for changes')
def ask_for_changes(context):
    """Ask for changes; later calls reuse the peer and get only new ones."""

    async def ask():
        if not hasattr(context, 'peer'):
            name = context.fleet.find_reader()
            member = context.fleet.members[name]
            context.peer = gateway.PeerClient(member.hosts.own)
            context.stack.callback(context.peer.close)
        return await context.peer.ask(gateway.InForce(), is_lost=False)

    context.changes = run(context, ask()).ok_value
    context.known_hosts = context.peer.merge_hosts(context.changes)
    context.peer.acknowledge(context.changes)


@then(r'it is sent (\d+) hosts?, and knows (\d+)')
def check_sent_hosts(context, sent, known):
    assert len(context.changes.hosts) == int(sent), context.changes.hosts
    assert len(context.known_hosts) == int(known), context.known_hosts


@given(r'an upstream that accepts (\d+) connections in "([^"]+)"')
def set_upstream(context, accepted, zone):
    context.accepted = int(accepted)
    context.endpoints = [make_endpoint('u1', zone)]


@given(r'another upstream of its service in "([^"]+)"')
def add_upstream(context, zone):
    context.endpoints.append(make_endpoint('u2', zone))


def make_endpoint(upstream, zone):
    """Return a registered upstream of one service."""
    return gateway.Endpoint(
        upstream=state.UpstreamId(upstream),
        service=gateway.ServiceName('s'),
        address=('10.0.0.9', 9000),
        zone=state.ZoneId(zone),
        slots=2,
        phase=gateway.Phase.READY,
    )


@given(r'(\d+) hosts in "north-1" and (\d+) in "south-1"')
def set_hosts(context, north, south):
    context.zones = [_NORTH] * int(north) + [_SOUTH] * int(south)


def compute_share(context, zone):
    """Return the share of the upstream's connections of a host in a zone."""
    entries = [
        gateway.HostEntry(
            host=state.HostId(f'h{number}'), zone=each, address='10.0.0.1:1'
        )
        for number, each in enumerate(context.zones)
    ]
    own = next(each for each in entries if each.zone == zone)
    hosts = gateway.Fleet(own, 1, state.Clock(context.loop))
    hosts.apply_listing(entries)
    return gateway.compute_connection_share(
        context.endpoints[0],
        tuple(context.endpoints),
        context.accepted,
        hosts.count_by_zone(),
        gateway.Topology(zone, _REGIONS),
    )


@then(r'a host in "([^"]+)" may open (\d+) connections')
def check_share(context, zone, count):
    share = compute_share(context, state.ZoneId(zone))
    assert share.cap == int(count), share


@then(r'all hosts together may open at most (\d+) connections')
def check_sum(context, accepted):
    total = 0
    for zone in context.zones:
        share = compute_share(context, zone)
        # A host whose share is less than one connection closes its connections
        # after a short idle time.
        total += 0 if share.is_unallocated else share.cap
    assert total <= int(accepted), total


@given(r'changes with (\d+) upstreams')
def make_changes(context, count):
    upstreams = [
        make_endpoint(f'i-{number * 7919 % 65536:04x}', 'north-1')
        for number in range(int(count))
    ]
    context.changes = gateway.Changes(
        process='p',
        generation=1,
        whole=True,
        upstreams=upstreams,
        left=[],
        revision=7,
        origin='p',
        number=1,
        hops=0,
        age_ms=10,
        table_age_ms=10,
        hold_ms=0,
        hosts_generation=1,
    )
    context.reply = gateway.render_changes(context.changes)


@then(r'they are encoded in less than (\d+) bytes and decode to the same')
def check_compressed(context, maximum):
    assert len(context.reply.body) < int(maximum), len(context.reply.body)
    assert gateway.read_changes(context.reply) == context.changes


@then(r"their first (\d+) bytes can't be decoded")
def check_truncated(context, length):
    cut = gateway.Reply(
        200, context.reply.headers, context.reply.body[: int(length)]
    )
    try:
        found = gateway.read_changes(cut)
    except (msgspec.DecodeError, zlib.error):
        return
    raise AssertionError(f'truncated changes were decoded: {found}')
