"""HTTP client for single addresses, such as other hosts and the store."""

import asyncio
from collections.abc import Callable
import dataclasses

import result

from rudderrock import core
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _routing as routing
from rudderrock.gateway.http import _header_names as header_names
from rudderrock.gateway.http import _link as link
from rudderrock.gateway.http import _messages as messages
from rudderrock.gateway.http import _pool as pool

# Connections to one address. Each call in flight occupies one.
MAX_CONNECTIONS = 4
# The maximum number of repeated round-trip measurements to one address, made
# when the measured time seems too long, and the minimum interval between them.
MAX_RTT_PROBES = 8
RTT_PROBE_INTERVAL_S = 1.0
JSON = (b'content-type', b'application/json')
# Requests an interim reply (100 Continue) as soon as the head has been read
# (RFC 9110, 10.1.1).
EXPECT_CONTINUE = (b'expect', b'100-continue')


@dataclasses.dataclass(frozen=True, slots=True)
class NoReply:
    """The result of a call that received no reply.

    `sent` is whether the request may have arrived, `had_interim_reply` whether
    an interim reply has confirmed that it was read, and `timed_out` whether
    the reply, or a requested interim reply, did not arrive in time.
    """

    sent: bool
    detail: str
    had_interim_reply: bool = False
    timed_out: bool = False


class HttpClient:
    """HTTP client for one address with a small pool of connections.

    A call that times out closes its connection, so that a late reply can't
    be taken for the reply to a later call.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_connections: int = MAX_CONNECTIONS,
        names: header_names.HeaderNames | None = None,
        keep_alive_s: float = pool.DEFAULT_KEEP_ALIVE_S,
    ):
        self._loop = asyncio.get_running_loop()
        self._rtt_probes = 0
        self._next_rtt_probe_at = 0.0
        host, port = address
        self._host_header = b'%b:%d' % (host.encode('ascii'), port)
        # The pool requires an endpoint of an upstream, but uses only its
        # address.
        endpoint = directory.Endpoint(
            upstream=core.UpstreamId(host),
            service=routing.ServiceName(''),
            address=address,
            zone=core.ZoneId(''),
            slots=max_connections,
            phase=directory.Phase.READY,
        )
        self._pool = pool.Pool(
            endpoint,
            self._loop,
            names or header_names.HeaderNames(),
            lambda: None,
            max_connections,
            keep_alive_s,
        )

    @property
    def is_busy(self) -> bool:
        """Return whether a call is in flight."""
        return self._pool.load > 0

    @property
    def round_trip_s(self) -> float | None:
        """Return the round-trip time in seconds, or None if unknown."""
        return self._pool.round_trip_s

    @round_trip_s.setter
    def round_trip_s(self, seconds: float) -> None:
        self._pool.round_trip_s = seconds

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
        make_headers: Callable[[], messages.Headers] | None = None,
        request_id: bytes = b'',
        interim_timeout_s: float | None = None,
        on_progress: Callable[[], None] = lambda: None,
    ) -> result.Result[messages.Reply, NoReply]:
        """Send one request and return its reply, or why there is none.

        `make_headers` replaces the default headers and is called when the
        request is written. A reply with a request id is accepted only if that
        id equals `request_id`. If `interim_timeout_s` is given, an interim
        reply is requested, and the call fails if no reply of either kind
        arrives within `interim_timeout_s` seconds. `on_progress` is called for
        each further interim reply.
        """

        def render() -> bytes:
            headers = [(b'host', self._host_header)]
            if make_headers is not None:
                headers = make_headers()
            elif body:
                headers.append(JSON)
            if interim_timeout_s is not None:
                headers.append(EXPECT_CONTINUE)
            return messages.render_request(method, target, headers, body)

        pending = _PendingReply(self._loop)

        def on_interim_reply() -> None:
            if pending.has_interim_reply:
                on_progress()
                return
            now = self._loop.time()
            self._pool.record_round_trip(now - exchange.sent_at)
            pending.record_interim_reply()

        exchange = link.Exchange(
            request_id,
            render,
            pending.finish,
            on_interim_reply=on_interim_reply,
        )
        self._pool.submit(exchange)
        try:
            outcome = await pending.wait(timeout_s, interim_timeout_s)
        except TimeoutError:
            sent = exchange.sent_at is not None
            return result.Err(
                NoReply(
                    sent,
                    'timed out waiting for a reply',
                    pending.has_interim_reply,
                    True,
                )
            )
        finally:
            if not pending.is_done:
                self._pool.cancel(exchange)
            # The callback refers to the exchange and to the reply, which would
            # otherwise live until a collection of cycles.
            exchange.on_interim_reply = None
            self._pool.sweep()
        match outcome:
            case link.ConnectionLost(sent=sent, detail=detail):
                return result.Err(
                    NoReply(sent, detail, pending.has_interim_reply)
                )
        return result.Ok(outcome)

    def warm(self, count: int) -> None:
        """Open connections until there are `count`, before calls need them."""
        self._pool.warm(count)

    def measure_round_trip(self) -> None:
        """Measure the round-trip time again by opening another connection.

        The first connections may have been slow to open because both sides
        were starting. The shortest time counts, so a few measurements are
        enough. This does nothing after `MAX_RTT_PROBES` calls, within
        `RTT_PROBE_INTERVAL_S` of the last one, or if no more connections are
        allowed.
        """
        now = self._loop.time()
        if (
            self._rtt_probes < MAX_RTT_PROBES
            and now >= self._next_rtt_probe_at
        ):
            self._rtt_probes += 1
            self._next_rtt_probe_at = now + RTT_PROBE_INTERVAL_S
            self._pool.open_one()

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


class _PendingReply:
    """Wait for the interim reply and the outcome of one exchange."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.has_interim_reply = False
        self._loop = loop
        self._outcome: link.Outcome | None = None
        self._changed = asyncio.Event()

    @property
    def is_done(self) -> bool:
        """Return whether the outcome has been set."""
        return self._outcome is not None

    def record_interim_reply(self) -> None:
        """Record that an interim reply has arrived."""
        self.has_interim_reply = True
        self._changed.set()

    def finish(self, exchange: link.Exchange, outcome: link.Outcome) -> None:
        """Set the outcome and wake the waiting call."""
        self._outcome = outcome
        self._changed.set()

    async def wait(
        self, timeout_s: float, interim_timeout_s: float | None
    ) -> link.Outcome:
        """Return the outcome, or raise TimeoutError on a timeout."""
        end = self._loop.time() + timeout_s
        if interim_timeout_s is not None:
            async with asyncio.timeout(min(interim_timeout_s, timeout_s)):
                await self._changed.wait()
        while self._outcome is None:
            self._changed.clear()
            async with asyncio.timeout_at(end):
                await self._changed.wait()
        return self._outcome
