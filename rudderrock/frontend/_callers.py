"""The HTTP application for callers, and the health endpoints of a host."""

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
    """Return the HTTP application that serves the callers of a host."""
    settings = host.settings.intake

    async def query(request: requests.Request) -> responses.Response:
        received = await _receive_request(
            host, request, settings, protocol.Query
        )
        if received.is_err():
            return body.make_response(received.unwrap_err())
        row, message = received.unwrap()
        work = host.query(row, message)
        return await _await_response(request, work)

    async def command(request: requests.Request) -> responses.Response:
        received = await _receive_request(
            host, request, settings, protocol.Command
        )
        if received.is_err():
            return body.make_response(received.unwrap_err())
        row, message = received.unwrap()
        key = request.headers.get(protocol.IDEMPOTENCY_HEADER, '')
        # A command isn't cancelled when its caller disconnects. Its outcome
        # is recorded and returned to a retry with the same key.
        return body.make_response(await host.command(row, message, key))

    return applications.Starlette(
        routes=[
            routing.Route(protocol.QUERY_PATH, query, methods=['POST']),
            routing.Route(protocol.COMMAND_PATH, command, methods=['POST']),
            *make_health_routes(host),
        ],
        exception_handlers={
            404: _handle_unknown_route,
            405: _handle_unknown_route,
        },
    )


def make_health_routes(host: coordination.EntryHost) -> list[routing.Route]:
    """Return the routes of the health checks of a host.

    A host is live while its event loop runs. It is ready while it serves
    requests, isn't isolated and isn't stopping.
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


async def _receive_request(
    host: coordination.EntryHost,
    request: requests.Request,
    settings: state.IntakeSettings,
    cls: type,
) -> result.Result[tuple[state.TeamRow, object], protocol.Refused]:
    """Return the row of the team and the decoded message, or a refusal.

    The caller is authenticated before the body is read, which limits the
    work that an unauthenticated request causes.
    """
    refused = host.check_serving()
    if refused is not None:
        return result.Err(refused)
    authenticated = host.authenticate(body.read_token(request))
    if authenticated.is_err():
        return authenticated
    content = await body.read_body(request, settings)
    if content.is_err():
        return content
    decoded = body.decode_body(cls, content.unwrap())
    return decoded.map(lambda message: (authenticated.unwrap(), message))


async def _await_response(
    request: requests.Request, work: Awaitable[protocol.Outcome]
) -> responses.Response:
    """Return the response to a request.

    If the caller disconnects first, cancel the work and return a response
    with status 499, which is never received.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(transport.wait_for_disconnect(request))
    try:
        await asyncio.wait((task, disconnect), return_when='FIRST_COMPLETED')
        if not task.done():
            task.cancel()
        return body.make_response(await task)
    except asyncio.CancelledError:
        # 499 is the status that nginx logs if the client has closed the
        # connection. No client receives it.
        return responses.Response(status_code=499)
    finally:
        disconnect.cancel()


async def _handle_unknown_route(
    request: requests.Request, exc: Exception
) -> responses.Response:
    return body.make_response(
        protocol.Refused(
            reason=protocol.RefusalReason.MALFORMED,
            detail=f'there is no {request.method} {request.url.path}',
        )
    )
