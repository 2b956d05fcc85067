"""Steps for teams and their keys."""

import json

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when

from features import gateway_bench
from features.steps import gateway as gateway_steps
from features.steps.common import run
from rudderrock import gateway
from rudderrock import platform
from rudderrock import state

use_step_matcher('re')


def publish_teams(context) -> None:
    """Put the scenario's teams into its next table."""
    context.gateway.teams = gateway.TeamRegistry(
        (team, [gateway.digest_key(key.encode()) for key in keys])
        for team, keys in context.teams.values()
    )


def add_team(context, name, keys, **quota):
    """List a team in the table, or replace it."""
    gateway_steps.get(context)
    if not hasattr(context, 'teams'):
        context.teams = {}
    team = gateway.Team(team=state.TeamId(name), **quota)
    context.teams[name] = team, keys
    publish_teams(context)


def format_key_header(key):
    """Return the header line with a key."""
    return f'Authorization: Bearer {key}\r\n'


def _ask(context, path, extra):
    raw = gateway_bench.make_raw(
        gateway_steps.next_id(context), path, extra=extra
    )
    context.reply = run(context, context.gateway.ask(raw))


@given(r'the team "([^"]+)" with the keys "([^"]+)" and "([^"]+)"')
def add_team_of_two_keys(context, name, first, second):
    add_team(context, name, [first, second])


@given(r'the team "([^"]+)" with the key "([^"]+)"')
def add_team_of_one_key(context, name, key):
    add_team(context, name, [key])


@given(r'no teams')
def remove_teams(context):
    context.gateway.teams = None


@given(r'the public route "([^"]+)" to "([^"]+)"')
def add_public_route(context, prefix, service):
    target = gateway.Single(gateway.ServiceName(service))
    context.gateway.add_route(prefix, target, is_public=True)


@given(r'the source is down from the start')
def start_without_source(context):
    context.gateway.source.is_down = True


@step(r'a caller with the key "([^"]+)" sends GET "([^"]+)"')
def ask_with_key(context, key, path):
    _ask(context, path, format_key_header(key))


@when(
    r'a caller with the key "([^"]+)" that claims the team "([^"]+)" '
    r'sends GET "([^"]+)"'
)
def ask_with_claim(context, key, team, path):
    claim = f'Rudderrock-Team: {team}\r\n'
    _ask(context, path, claim + format_key_header(key))


@when(r'a caller sends GET "([^"]+)" with the headers "([^"]+)"')
def ask_with_headers(context, path, headers):
    lines = [f'{each.strip()}\r\n' for each in headers.split(';')]
    _ask(context, path, ''.join(lines))


async def _ask_on_connection(context, path, key):
    await context.caller.send(
        gateway_bench.make_raw(
            gateway_steps.next_id(context), path, extra=format_key_header(key)
        )
    )
    context.reply = await context.caller.read()


@when(
    r'a caller opens a connection and sends GET "([^"]+)" with the key '
    r'"([^"]+)"'
)
def open_connection(context, path, key):
    context.caller = run(context, context.gateway.connect())
    run(context, _ask_on_connection(context, path, key))


@when(
    r'the caller sends GET "([^"]+)" with the key "([^"]+)" on its connection'
)
def ask_on_connection(context, path, key):
    run(context, _ask_on_connection(context, path, key))


@when(r'the team "([^"]+)" keeps only the key "([^"]+)"')
def replace_keys(context, name, key):
    add_team(context, name, [key])
    context.gateway.publish()


@then(r'no log line contains "([^"]+)"')
def check_log_lacks(context, text):
    lines = context.gateway.log.lines
    assert lines
    assert not any(text in line for line in lines), text


@then(
    r'the digests of "([^"]+)" with the keys "([^"]+)" and "([^"]+)" '
    r'(are equal|differ)'
)
def compare_digests(context, path, first, second, expected):
    digests = {
        _digest_at_gateway(context, path, key) for key in (first, second)
    }
    assert (len(digests) == 1) == (expected == 'are equal'), digests


def _digest_at_gateway(context, path, key):
    """Return the digest of a request as upstreams receive it."""
    _ask(context, path, format_key_header(key))
    (sent,) = context.gateway.list_runs(context.request_id)
    request = gateway.Request(
        sent.method.encode(),
        path.encode(),
        [
            (name.encode(), value.encode())
            for name, value in sent.headers.items()
        ],
        b'',
        0.0,
    )
    return gateway.digest_request(request, gateway_bench.NAMES)


@when(r"the platform's configuration lists the tenants")
def write_tenants(context):
    tenants = []
    for row in context.table:
        tenant = {
            'name': row['name'],
            'api_keys': row['keys'].split(','),
            'rate_per_s': float(row['rate_per_s']),
            'burst': float(row['burst']),
        }
        if row['priority']:
            priority = row['priority']
            is_number = priority.isdigit()
            tenant['priority'] = int(priority) if is_number else priority
        tenants.append(tenant)
    config = {
        'version': 3,
        'routes': [],
        'services': [],
        'limits': {
            'max_header_bytes': 8192,
            'max_body_bytes': 8192,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 9000,
        },
        'tenants': tenants,
    }
    context.written = json.dumps(config).encode()
    context.decoded = platform.decode_table(context.written)


@then(
    r'the key "([^"]+)" belongs to "([^"]+)" with the quota (\d+) and (\d+) '
    r'and the priority (\d+)'
)
def check_team(context, key, name, rate, burst, priority):
    found = context.decoded.ok_value.teams.find_by_key(key.encode())
    assert found == gateway.Team(
        team=state.TeamId(name),
        priority=int(priority),
        quota_per_s=float(rate),
        burst=float(burst),
    ), found


@then(r'the key "([^"]+)" belongs to "([^"]+)" without a quota or priority')
def check_plain_team(context, key, name):
    found = context.decoded.ok_value.teams.find_by_key(key.encode())
    assert found == gateway.Team(team=state.TeamId(name)), found


@then(r'the stored table contains none of the keys and means the same')
def check_stored_table(context):
    stored = platform.replace_keys(context.written)
    teams = platform.decode_table(stored).ok_value.teams
    for key in (b'k1', b'k2', b'k3'):
        assert b'"%b"' % key not in stored
        before = context.decoded.ok_value.teams.find_by_key(key)
        assert teams.find_by_key(key) == before
    assert platform.replace_keys(stored) == stored


@then(r'the table is rejected because of "([^"]+)"')
def check_rejected(context, problem):
    assert context.decoded.is_err()
    assert problem in context.decoded.err_value, context.decoded.err_value


@then(r'"([^"]+)" was sent the UTF-8 header "([^"]+)" as "([^"]+)"')
def check_utf8_header(context, upstream, header, value):
    run_found = context.gateway.upstreams[upstream].runs[-1]
    found = run_found.headers[header].encode('latin-1').decode()
    assert found == value, found
