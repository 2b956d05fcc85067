"""Requests and replies as they are forwarded, and how they are written."""

import dataclasses
import http

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, 7.6.1), and those
# that this tier writes itself when it frames a message.
_PER_CONNECTION = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)
_REASONS = {
    status.value: status.phrase.encode('ascii') for status in http.HTTPStatus
}


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request of a caller; header names are in lower case.

    `arrived` is the loop time in seconds at which its head was complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    keep_alive: bool = True

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply, of an upstream or of the tier itself."""

    status: int
    headers: Headers
    body: bytes = b''

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header in lower case, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Return what may be forwarded (RFC 9110, 7.6.1).

    Names listed by `Connection` go too.
    """
    listed = {
        word.strip().lower()
        for key, value in headers
        if key == b'connection'
        for word in value.split(b',')
    }
    dropped = _PER_CONNECTION | listed
    return [pair for pair in headers if pair[0] not in dropped]


def pass_on(reply: Reply) -> Reply:
    """Return a reply as another connection may carry it."""
    return Reply(
        reply.status, drop_connection_headers(reply.headers), reply.body
    )


def render_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Write a request in one piece, with its length if it has a body."""
    lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    lines += [b'%b: %b\r\n' % pair for pair in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
        lines.append(b'content-length: %d\r\n' % len(body))
    lines.append(b'\r\n')
    lines.append(body)
    return b''.join(lines)


def render_reply(reply: Reply, close: bool, headless: bool = False) -> bytes:
    """Write a reply in one piece.

    `close` announces that the connection ends with it; `headless` leaves
    out the body and its length, for a HEAD request.
    """
    reason = _REASONS.get(reply.status, b'Unknown')
    lines = [b'HTTP/1.1 %d %b\r\n' % (reply.status, reason)]
    lines += [b'%b: %b\r\n' % pair for pair in reply.headers]
    if reply.status not in (204, 304) and not headless:
        lines.append(b'content-length: %d\r\n' % len(reply.body))
    if close:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    if not headless:
        lines.append(reply.body)
    return b''.join(lines)
