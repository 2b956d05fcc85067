"""The HTTP application for callers, and the health of a host."""

import asyncio
from collections.abc import Awaitable

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.frontend import _body as body

LIVE_PATH = '/livez'
READY_PATH = '/readyz'


def make_caller_app(
    host: coordination.EntryHost,
) -> applications.Starlette:
    """Make what callers of one host talk to."""
    settings = host.settings.intake

    async def query(request: requests.Request) -> responses.Response:
        opened = await _open(host, request, settings, protocol.Query)
        if opened.is_err():
            return body.make_response(opened.unwrap_err())
        row, message = opened.unwrap()
        work = host.query(row, message)
        return await _finish(request, work)

    async def command(request: requests.Request) -> responses.Response:
        opened = await _open(host, request, settings, protocol.Command)
        if opened.is_err():
            return body.make_response(opened.unwrap_err())
        row, message = opened.unwrap()
        key = request.headers.get(protocol.IDEMPOTENCY_HEADER, '')
        # A command is seen through even if its caller goes away, so that
        # its outcome is recorded for the caller's next try.
        return body.make_response(await host.command(row, message, key))

    return applications.Starlette(
        routes=[
            routing.Route(protocol.QUERY_PATH, query, methods=['POST']),
            routing.Route(protocol.COMMAND_PATH, command, methods=['POST']),
            *make_health_routes(host),
        ],
        exception_handlers={404: _answer_unknown, 405: _answer_unknown},
    )


def make_health_routes(host: coordination.EntryHost) -> list[routing.Route]:
    """Make the endpoints by which the platform watches a host.

    Live means that the loop turns. Ready means that the host serves, that
    it is not isolated, and that it is not stopping.
    """

    async def live(request: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('live\n')

    async def ready(request: requests.Request) -> responses.Response:
        if not host.lifecycle.is_ready:
            text = f'not ready: {host.lifecycle.state.value}\n'
            return responses.PlainTextResponse(text, 503)
        if host.config.is_isolated:
            return responses.PlainTextResponse('not ready: isolated\n', 503)
        return responses.PlainTextResponse('ready\n')

    return [
        routing.Route(LIVE_PATH, live),
        routing.Route(READY_PATH, ready),
    ]


async def _open(
    host: coordination.EntryHost,
    request: requests.Request,
    settings: state.IntakeSettings,
    cls: type,
) -> result.Result[tuple[state.TeamRow, object], protocol.Refused]:
    """Tell who asks before reading what; strangers get little work."""
    refused = host.check_serving()
    if refused is not None:
        return result.Err(refused)
    known = host.authenticate(body.read_token(request))
    if known.is_err():
        return known
    content = await body.read_body(request, settings)
    if content.is_err():
        return content
    decoded = body.decode_body(cls, content.unwrap())
    return decoded.map(lambda message: (known.unwrap(), message))


async def _finish(
    request: requests.Request, work: Awaitable[protocol.Outcome]
) -> responses.Response:
    """Answer when the work ends; cancel it if the caller goes away."""
    task = asyncio.ensure_future(work)
    watch = asyncio.ensure_future(transport.wait_for_disconnect(request))
    try:
        await asyncio.wait((task, watch), return_when='FIRST_COMPLETED')
        if not task.done():
            task.cancel()
        return body.make_response(await task)
    except asyncio.CancelledError:
        # Nobody is there to read it; the status is that of nginx's log.
        return responses.Response(status_code=499)
    finally:
        watch.cancel()


async def _answer_unknown(
    request: requests.Request, exc: Exception
) -> responses.Response:
    return body.make_response(
        protocol.Refused(
            reason=protocol.RefusalReason.MALFORMED,
            detail=f'there is no {request.method} {request.url.path}',
        )
    )
