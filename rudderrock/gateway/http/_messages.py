"""HTTP requests and replies, and their serialization."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import http

from rudderrock.gateway.http import _byte_budget as byte_budget

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection (RFC 9110, 7.6.1), and headers that
# the gateway writes itself when it frames a message.
_HOP_BY_HOP = frozenset(
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
_REASON_PHRASES = {
    status.value: status.phrase.encode('ascii') for status in http.HTTPStatus
}


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request of a caller; header names are in lower case.

    `arrived` is the loop time in seconds at which the first byte of the
    request was read. `team` is the team that a key has identified, or ''.
    `was_sent` is set once it has been written to an upstream or another host.
    `send_progress` sends an interim reply that says that the request is still
    processed; it is None if the sender does not expect interim replies.
    `holding` counts the bytes of a large request.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    keep_alive: bool = True
    team: str = ''
    was_sent: bool = False
    send_progress: Callable[[], None] | None = None
    holding: byte_budget.Holding | None = None

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete reply of an upstream or of the gateway itself.

    `holding` counts the bytes of a large reply as long as it exists.
    """

    status: int
    headers: Headers
    body: bytes = b''
    holding: byte_budget.Holding | None = dataclasses.field(
        default=None, repr=False, compare=False
    )

    def get_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    `name` must be in lower case.
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def remove_hop_by_hop_headers(
    headers: Headers, end_to_end: Collection[bytes]
) -> Headers:
    """Return the headers that may be forwarded (RFC 9110, 7.6.1).

    Headers that are listed in `Connection` are removed as well, unless they
    are in `end_to_end`.
    """
    listed = {
        token.strip().lower()
        for key, value in headers
        if key == b'connection'
        for token in value.split(b',')
    }
    dropped = _HOP_BY_HOP | listed.difference(end_to_end)
    return [pair for pair in headers if pair[0] not in dropped]


def make_forwardable(reply: Reply, end_to_end: Collection[bytes]) -> Reply:
    """Return a copy of a reply without its hop-by-hop headers."""
    headers = remove_hop_by_hop_headers(reply.headers, end_to_end)
    return Reply(reply.status, headers, reply.body, reply.holding)


def render_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request.

    A content length is included unless the method is GET, HEAD, DELETE or
    OPTIONS and the body is empty.
    """
    lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    lines += [b'%b: %b\r\n' % pair for pair in headers]
    if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
        lines.append(b'content-length: %d\r\n' % len(body))
    lines.append(b'\r\n')
    lines.append(body)
    return b''.join(lines)


def render_reply(
    reply: Reply,
    close: bool,
    is_head_request: bool = False,
    with_body: bool = True,
) -> bytes:
    """Return the bytes of a reply, or of its head only.

    If `close` is true, the reply announces that the connection will be closed.
    If `is_head_request` is true, the body and the content length are left out,
    as for a HEAD request.
    """
    reason = _REASON_PHRASES.get(reply.status, b'Unknown')
    lines = [b'HTTP/1.1 %d %b\r\n' % (reply.status, reason)]
    lines += [b'%b: %b\r\n' % pair for pair in reply.headers]
    if reply.status not in (204, 304) and not is_head_request:
        lines.append(b'content-length: %d\r\n' % len(reply.body))
    if close:
        lines.append(b'connection: close\r\n')
    lines.append(b'\r\n')
    if with_body and not is_head_request:
        lines.append(reply.body)
    return b''.join(lines)
