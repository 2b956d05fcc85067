"""Serving plain HTTP by hand, for stand-ins that misbehave on the wire."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """A request's head; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]

    @property
    def body_length(self) -> int:
        """Return the length of the body, 0 if none is given."""
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a request's head; raises what a stream that ends raises."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        key, _, value = line.partition(':')
        headers[key.strip().lower()] = value.strip()
    return Head(method, target, headers)


class WireServer:
    """Listens at an address, with one task a connection.

    A subclass serves a connection in `serve`, which returns when it is to
    be closed.
    """

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._silent: set[asyncio.Task] = set()
        self._address = ('', 0)
        self._restart: asyncio.Task | None = None

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def start(self, host: str, port: int) -> None:
        """Listen at an address."""
        self._address = (host, port)
        self._server = await asyncio.start_server(
            self._on_connection, host, port
        )

    async def stop(self) -> None:
        """Stop listening and cut every connection."""
        if self._restart is not None:
            self._restart.cancel()
        self._stop_listening()
        self.cut_connections()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self, down_s: float) -> None:
        """Go down for so many seconds, then listen again.

        The caller's own connection is cut when it returns.
        """
        self._stop_listening()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        self._restart = asyncio.create_task(self._restart_listening(down_s))

    async def _restart_listening(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start(*self._address)

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut_connections(self) -> None:
        """Cut every connection and go on listening."""
        for task in list(self._tasks):
            task.cancel()

    def silence_connections(self) -> None:
        """Let every open connection fall silent; new ones work."""
        self._silent = set(self._tasks)

    async def wait_if_silent(self) -> None:
        """Wait for ever on a connection that has fallen silent."""
        if asyncio.current_task() in self._silent:
            await asyncio.Event().wait()

    async def _on_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, EOFError):
            # The other side has left; the stand-in has nothing to tell it.
            return
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
