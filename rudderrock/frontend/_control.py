"""The HTTP application for peers and operators."""

import dataclasses
import hmac

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import state
from rudderrock.frontend import _body as body
from rudderrock.frontend import _callers as callers

STATUS_PATH = '/v1/status'
EVENTS_PATH = '/v1/events'
METRICS_PATH = '/metrics'
METRICS_JSON_PATH = '/metrics.json'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Secrets:
    """Shared secrets that authenticate peers and operators; never logged."""

    peer: str = dataclasses.field(repr=False)
    operator: str = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostStatus:
    """Status of a host, as returned to operators.

    `isolated` is True if the host has reached neither the key-value service
    nor a peer for `isolation_s`. `table_age_s` is the time since the table
    was last confirmed to be current, in seconds, or None if it never was.
    `in_flight` is the number of shard requests that are admitted and not yet
    complete. `members` are the hosts that this host knows, itself first.
    """

    host: state.HostId
    zone: state.ZoneId
    state: coordination.HostState
    isolated: bool
    table_revision: state.Revision
    table_age_s: float | None
    layout_revision: state.Revision
    in_flight: int
    members: list[protocol.Member]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EventsRequest:
    """Request for the events of a host after a stamp."""

    since: state.Stamp = state.Stamp()


def make_control_app(
    host: coordination.EntryHost, secrets: Secrets
) -> applications.Starlette:
    """Return the HTTP application for the peers and operators of a host."""

    def require_peer(handler, cls):
        async def endpoint(request: requests.Request) -> responses.Response:
            presented = request.headers.get(protocol.SECRET_HEADER, '')
            if not hmac.compare_digest(
                presented.encode(), secrets.peer.encode()
            ):
                return _make_unauthenticated_response('peer secret')
            return await _handle_message(request, handler, cls)

        return endpoint

    def require_operator(handler, cls=None):
        async def endpoint(request: requests.Request) -> responses.Response:
            presented = body.read_token(request) or ''
            expected = secrets.operator.encode()
            if not hmac.compare_digest(presented.encode(), expected):
                return _make_unauthenticated_response('operator secret')
            if cls is None:
                return await handler(request)
            return await _handle_message(request, handler, cls)

        return endpoint

    async def _handle_message(request, handler, cls) -> responses.Response:
        content = await body.read_body(request, _BODY_LIMITS)
        message = content.and_then(lambda data: body.decode_body(cls, data))
        if message.is_err():
            return body.make_response(message.unwrap_err())
        return body.make_json_response(await handler(message.unwrap()))

    async def probe(message: protocol.Probe) -> protocol.ProbeReply:
        return await host.membership.answer_probe(message)

    async def config(
        message: protocol.ConfigRequest,
    ) -> protocol.ConfigReply:
        return host.config.answer_config(message)

    async def events(message: EventsRequest) -> list[state.Event]:
        return host.event_ring.list_since(message.since)

    async def status(request: requests.Request) -> responses.Response:
        return body.make_json_response(make_status(host))

    async def metrics(request: requests.Request) -> responses.Response:
        text = coordination.format_prometheus(list_samples(host))
        return responses.PlainTextResponse(
            text, media_type='text/plain; version=0.0.4'
        )

    async def metrics_json(request: requests.Request) -> responses.Response:
        return body.make_json_response(list_samples(host))

    return applications.Starlette(
        routes=[
            routing.Route(
                protocol.PROBE_PATH,
                require_peer(probe, protocol.Probe),
                methods=['POST'],
            ),
            routing.Route(
                protocol.CONFIG_PATH,
                require_peer(config, protocol.ConfigRequest),
                methods=['POST'],
            ),
            routing.Route(
                EVENTS_PATH,
                require_operator(events, EventsRequest),
                methods=['POST'],
            ),
            routing.Route(
                STATUS_PATH, require_operator(status), methods=['POST', 'GET']
            ),
            routing.Route(METRICS_PATH, require_operator(metrics)),
            routing.Route(METRICS_JSON_PATH, require_operator(metrics_json)),
            *callers.make_health_routes(host),
        ]
    )


# Limits on the bodies of requests of peers and operators; the limits on heads
# and connections don't apply here. The largest request is a probe, whose
# digest has less than 3 KB. Only replies contain a table, which may have up
# to 1 MB.
_BODY_LIMITS = state.IntakeSettings(max_body_bytes=2**20)


def make_status(host: coordination.EntryHost) -> HostStatus:
    """Return the current status of a host."""
    age_s = host.config.table_watcher.get_age_s()
    return HostStatus(
        host=state.HostId(host.settings.host.id),
        zone=state.ZoneId(host.settings.host.zone),
        state=host.lifecycle.state,
        isolated=host.config.is_isolated,
        table_revision=host.config.table_watcher.revision,
        table_age_s=None if age_s == float('inf') else age_s,
        layout_revision=host.config.layout_watcher.revision,
        in_flight=host.admission.in_flight,
        members=host.membership.list_members(),
    )


def list_samples(
    host: coordination.EntryHost,
) -> list[coordination.Sample]:
    """Return the current samples of all metrics of a host."""
    counters = host.runner.counters
    values = {
        'rudderrock_upstream_first_total': counters.first,
        'rudderrock_upstream_hedges_total': counters.hedges,
        'rudderrock_upstream_hedge_wins_total': counters.hedge_wins,
        'rudderrock_upstream_hedges_denied_total': counters.hedges_denied,
        'rudderrock_upstream_retries_total': counters.retries,
        'rudderrock_upstream_retries_denied_total': counters.retries_denied,
        'rudderrock_version_restarts_total': counters.restarts,
        'rudderrock_extra_load_ratio': counters.extra_load,
        'rudderrock_shard_requests_in_flight': host.admission.in_flight,
        'rudderrock_table_revision': host.config.table_watcher.revision,
        # The age is infinite until the table is confirmed for the first
        # time. JSON has no infinity.
        'rudderrock_table_age_seconds': min(
            host.config.table_watcher.get_age_s(), 1e9
        ),
        'rudderrock_layout_revision': host.config.layout_watcher.revision,
        'rudderrock_members': len(host.membership.list_members()),
        'rudderrock_ready': int(host.lifecycle.is_ready),
        'rudderrock_isolated': int(host.config.is_isolated),
    }
    samples = [
        coordination.Sample(name=name, value=value, labels={})
        for name, value in values.items()
    ]
    for link in host.dispatcher.list_links():
        samples.append(
            coordination.Sample(
                name='rudderrock_upstream_up',
                value=int(link.is_reachable),
                labels={'upstream': str(link.upstream.upstream)},
            )
        )
    return samples + host.metrics.list_samples()


def _make_unauthenticated_response(credential: str) -> responses.Response:
    return body.make_response(
        protocol.Refused(
            reason=protocol.RefusalReason.UNAUTHENTICATED,
            detail=f'the {credential} is missing or wrong',
        )
    )
