"""Plain HTTP calls to one address, for what is not an upstream."""

import asyncio
import dataclasses

import result

from rudderrock import core
from rudderrock.gateway import _dialect as dialect
from rudderrock.gateway import _directory as directory
from rudderrock.gateway import _link as link
from rudderrock.gateway import _messages as messages
from rudderrock.gateway import _pool as pool
from rudderrock.gateway import _routing as routing

# Connections to one address; each call under way takes one.
MOST_CONNECTIONS = 4
JSON = (b'content-type', b'application/json')


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """A call that got no reply; `sent` tells if it may have arrived."""

    sent: bool
    detail: str


class HttpCaller:
    """Calls one address over a few kept connections.

    A call that gets no reply in time closes its connection, so its reply
    can't be taken for another's.
    """

    def __init__(
        self,
        address: tuple[str, int],
        most: int = MOST_CONNECTIONS,
        names: dialect.HeaderNames | None = None,
    ):
        self._loop = asyncio.get_running_loop()
        host, port = address
        self._host = b'%b:%d' % (host.encode('ascii'), port)
        endpoint = directory.Endpoint(
            upstream=core.UpstreamId(host),
            service=routing.ServiceName(''),
            address=address,
            zone=core.ZoneId(''),
            slots=most,
            phase=directory.Phase.READY,
        )
        self._links = pool.Pool(
            endpoint,
            self._loop,
            names or dialect.HeaderNames(),
            lambda: None,
            most,
        )

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
        headers: messages.Headers | None = None,
        request_id: bytes = b'',
    ) -> result.Result[messages.Reply, NoReply]:
        """Send one request and return its reply, or why there is none.

        `headers` replace the usual ones; `request_id` is what a reply that
        names a request must name.
        """
        if headers is None:
            headers = [(b'host', self._host)]
        if body:
            headers.append(JSON)
        written = messages.render_request(method, target, headers, body)
        done: asyncio.Future[link.Outcome] = self._loop.create_future()

        def on_done(exchange: link.Exchange, outcome: link.Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        exchange = link.Exchange(request_id, lambda: written, on_done)
        self._links.submit(exchange)
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await done
        except TimeoutError:
            sent = exchange.sent_at is not None
            return result.Err(NoReply(sent, 'no reply in time'))
        finally:
            if not done.done() or done.cancelled():
                self._links.drop(exchange)
            self._links.sweep()
        match outcome:
            case link.Lost(sent=sent, detail=detail):
                return result.Err(NoReply(sent, detail))
        return result.Ok(outcome)

    def close(self) -> None:
        """Close all connections."""
        self._links.close()
