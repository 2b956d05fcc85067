"""Reading requests within bounds, and answering them."""

import asyncio
from typing import Any

import result
from starlette import requests
from starlette import responses

from rudderrock import protocol
from rudderrock import state

_BEARER = 'bearer '


async def read_body(
    request: requests.Request, settings: state.IntakeSettings
) -> result.Result[bytes, protocol.Refused]:
    """Read a body of bounded size in bounded time."""
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > settings.max_body_bytes:
                    return result.Err(_refuse_size(settings))
                chunks.append(chunk)
    except TimeoutError:
        return result.Err(
            protocol.Refused(
                reason=protocol.RefusalReason.TOO_SLOW,
                detail='the body did not come within '
                f'{settings.body_timeout_s:g} s',
            )
        )
    except requests.ClientDisconnect:
        return result.Err(
            protocol.Refused(
                reason=protocol.RefusalReason.MALFORMED,
                detail='the body broke off',
            )
        )
    return result.Ok(b''.join(chunks))


def read_token(request: requests.Request) -> str | None:
    """Return the bearer token of a request (RFC 6750), if it has one."""
    value = request.headers.get('authorization', '')
    if value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip()


def decode_body(cls: type, body: bytes) -> result.Result[Any, Any]:
    """Decode a body, or return the refusal for a malformed one."""
    decoded = protocol.decode(cls, body)
    return decoded.map_err(
        lambda detail: protocol.Refused(
            reason=protocol.RefusalReason.MALFORMED, detail=detail
        )
    )


def make_response(outcome: protocol.Outcome) -> responses.Response:
    """Return the HTTP response for an outcome."""
    reply = protocol.make_http_reply(outcome)
    return responses.Response(reply.body, reply.status, reply.headers)


def make_json(message: Any, status: int = 200) -> responses.Response:
    """Return a message as an HTTP response."""
    return responses.Response(
        protocol.encode(message), status, media_type=protocol.JSON_TYPE
    )


def _refuse_size(settings: state.IntakeSettings) -> protocol.Refused:
    return protocol.Refused(
        reason=protocol.RefusalReason.TOO_LARGE,
        detail=f'a body may have {settings.max_body_bytes} bytes',
    )
