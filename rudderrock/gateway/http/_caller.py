"""Plain HTTP calls to one address, for what is not an upstream."""

import asyncio
from collections.abc import Callable
import dataclasses

import result

from rudderrock import core
from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.http import _link as link
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _pool as pool
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _routing as routing

# Connections to one address; each call under way takes one.
MOST_CONNECTIONS = 4
# How often the way to an address is measured anew when it seems too long, and
# the time between two measurements in seconds.
MOST_MEASURED = 8
MEASURE_EVERY_S = 1.0
JSON = (b'content-type', b'application/json')
# Asks for an interim reply as soon as the head has been read (RFC 9110,
# 10.1.1).
EXPECT = (b'expect', b'100-continue')


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """A call that got no reply.

    `sent` tells if it may have arrived, `signed` if an interim reply has
    shown that it was read, `timed_out` if nothing more was wrong.
    """

    sent: bool
    detail: str
    signed: bool = False
    timed_out: bool = False


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
        keep_s: float = pool.DEFAULT_KEEP_S,
    ):
        self._loop = asyncio.get_running_loop()
        self._measured = 0
        self._measure_at = 0.0
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
            keep_s,
        )

    @property
    def is_busy(self) -> bool:
        """Tell whether a call is under way."""
        return self._links.load > 0

    @property
    def round_trip_s(self) -> float | None:
        """Return the time there and back in seconds, None if unknown."""
        return self._links.round_trip_s

    @round_trip_s.setter
    def round_trip_s(self, seconds: float) -> None:
        self._links.round_trip_s = seconds

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
        make_headers: Callable[[], messages.Headers] | None = None,
        request_id: bytes = b'',
        sign_s: float | None = None,
    ) -> result.Result[messages.Reply, NoReply]:
        """Send one request and return its reply, or why there is none.

        `make_headers` gives other headers than the usual ones at the moment
        of writing; `request_id` is what a reply that names a request must
        name. With `sign_s` an interim reply is asked for, and a call that has
        none after so many seconds is given up.
        """

        def render() -> bytes:
            headers = [(b'host', self._host)]
            if make_headers is not None:
                headers = make_headers()
            elif body:
                headers.append(JSON)
            if sign_s is not None:
                headers.append(EXPECT)
            return messages.render_request(method, target, headers, body)

        answer = _Answer(self._loop)

        def on_sign() -> None:
            now = self._loop.time()
            self._links.note_round_trip(now - exchange.sent_at)
            answer.sign()

        exchange = link.Exchange(
            request_id, render, answer.finish, on_sign=on_sign
        )
        self._links.submit(exchange)
        try:
            outcome = await answer.wait(timeout_s, sign_s)
        except TimeoutError:
            sent = exchange.sent_at is not None
            return result.Err(
                NoReply(sent, 'no reply in time', answer.is_signed, True)
            )
        finally:
            if not answer.is_done:
                self._links.drop(exchange)
            self._links.sweep()
        match outcome:
            case link.Lost(sent=sent, detail=detail):
                return result.Err(NoReply(sent, detail, answer.is_signed))
        return result.Ok(outcome)

    def warm(self, count: int) -> None:
        """Open the first connections before anybody needs them."""
        self._links.warm(count)

    def measure(self) -> None:
        """Measure the way there and back again, by one more connection.

        The first ones may have been opened while both sides were starting.
        Done a few times at most, since the shortest time counts.
        """
        now = self._loop.time()
        if self._measured < MOST_MEASURED and now >= self._measure_at:
            self._measured += 1
            self._measure_at = now + MEASURE_EVERY_S
            self._links.open_more()

    def close(self) -> None:
        """Close all connections."""
        self._links.close()


class _Answer:
    """Waits for the outcome of one exchange, and before for its sign."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.is_signed = False
        self._loop = loop
        self._outcome: link.Outcome | None = None
        self._news = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Tell whether the outcome is there."""
        return self._outcome is not None

    def sign(self) -> None:
        """Take note of an interim reply."""
        self.is_signed = True
        self._news.set()

    def finish(self, exchange: link.Exchange, outcome: link.Outcome) -> None:
        """Take the outcome."""
        self._outcome = outcome
        self._news.set()

    async def wait(
        self, timeout_s: float, sign_s: float | None
    ) -> link.Outcome:
        """Return the outcome; raise TimeoutError if there is none."""
        end = self._loop.time() + timeout_s
        if sign_s is not None:
            async with asyncio.timeout(min(sign_s, timeout_s)):
                await self._news.wait()
        while self._outcome is None:
            self._news.clear()
            async with asyncio.timeout_at(end):
                await self._news.wait()
        return self._outcome
