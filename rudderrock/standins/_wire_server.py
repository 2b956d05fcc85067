"""A minimal HTTP server, for stand-ins that violate the protocol.

The names that start with `Wire` are of stand-ins that read and write HTTP
messages as bytes, so that they can also send invalid ones.
"""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Request line and headers; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def body_length(self) -> int:
        """Return the length of the body in bytes; 0 without a header."""
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the request line and headers of a request.

    Raises `asyncio.IncompleteReadError` if the stream ends before the
    end of the headers.
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        key, _, value = line.partition(':')
        headers[key.strip().lower()] = value.strip()
    return Head(method, target, headers)


class WireServer:
    """Listens at an address, with one task per connection.

    A subclass implements `serve`. When it returns, the connection is closed.
    """

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._silent: set[asyncio.Task] = set()
        self.address = ('', 0)
        self._restart: asyncio.Task | None = None

    async def serve(self, reader, writer) -> None:
        """Serve one connection until it is to be closed."""
        raise NotImplementedError

    async def start(self, ip: str, port: int) -> None:
        """Start to listen at an address."""
        self.address = (ip, port)
        self._server = await asyncio.start_server(
            self._on_connection, ip, port
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self._stop_listening()
        self.cut_connections()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self, down_s: float) -> None:
        """Stop listening for `down_s` seconds and close all connections.

        A connection whose `serve` calls this stays open until that `serve`
        returns.
        """
        self._stop_listening()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        self._restart = asyncio.create_task(self._restart_listening(down_s))

    async def _restart_listening(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start(*self.address)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut_connections(self) -> None:
        """Close all connections, but continue to listen."""
        for task in list(self._tasks):
            task.cancel()

    def silence_connections(self) -> None:
        """Make all open connections unresponsive; new ones are served."""
        self._silent = set(self._tasks)

    async def wait_if_silent(self) -> None:
        """Block forever if the current connection was made unresponsive."""
        if asyncio.current_task() in self._silent:
            await asyncio.Event().wait()

    async def _on_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            # The client has closed the connection, so there is no reply to
            # send.
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
