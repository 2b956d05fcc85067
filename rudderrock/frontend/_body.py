"""Reading of request bodies within limits, and encoding of responses."""

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
    """Return the body, or a refusal if it is too large or too slow.

    The limits are `max_body_bytes` and `body_timeout_s` of the settings. A
    body that ends early because the client disconnects is malformed.
    """
    chunks = []
    size = 0
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > settings.max_body_bytes:
                    return result.Err(_make_size_refusal(settings))
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
    """Return the bearer token of a request (RFC 6750), or None."""
    value = request.headers.get('authorization', '')
    if value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip()


def decode_body(cls: type, body: bytes) -> result.Result[Any, Any]:
    """Return the decoded body, or a refusal if it is malformed."""
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


def make_json_response(message: Any, status: int = 200) -> responses.Response:
    """Return an HTTP response whose body is the message as JSON."""
    return responses.Response(
        protocol.encode(message), status, media_type=protocol.JSON_TYPE
    )


def _make_size_refusal(settings: state.IntakeSettings) -> protocol.Refused:
    return protocol.Refused(
        reason=protocol.RefusalReason.TOO_LARGE,
        detail=f'a body may have {settings.max_body_bytes} bytes',
    )
