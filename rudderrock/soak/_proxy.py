"""A loopback proxy that delays, resets, stalls or refuses connections."""

import asyncio
import socket
import struct

from rudderrock import core
from rudderrock.soak import _plan as plan
from rudderrock.soak import _ports as ports

_CHUNK_BYTES = 65536
_DELAY_S = 0.3
# With SO_LINGER and a time of 0, closing a socket resets the connection.
_LINGER = struct.pack('ii', 1, 0)


class Proxy:
    """Forwards connections to one address and can inject a fault.

    It listens on another port of the same host.
    """

    def __init__(self, target: tuple[str, int]):
        self.fault = plan.ProxyFault.NONE
        self.port = 0
        self._target = target
        self._reserved: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._restart: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> tuple[str, int]:
        """Return the address at which the proxy listens."""
        return self._target[0], self.port

    async def start(self) -> None:
        """Listen on a port, which the proxy keeps until `stop`."""
        self._reserved = ports.reserve_port(self._target[0])
        self.port = self._reserved.getsockname()[1]
        await self._listen()

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._on_connection, *self.address
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._restart is not None:
            await core.end_task(self._restart)
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._reserved.close()

    def refuse_connections(self, seconds: float) -> None:
        """Drop all connections and refuse new ones for `seconds`.

        Simulates a crash and restart of the server.
        """
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        self._restart = asyncio.create_task(self._restart_listening(seconds))

    async def _restart_listening(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self._listen()

    def set_fault(self, fault: plan.ProxyFault) -> None:
        """Set the fault; `RESET` also resets the open connections."""
        self.fault = fault
        if fault is plan.ProxyFault.RESET:
            for writer in list(self._writers):
                _reset(writer)

    async def _on_connection(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        server_writer = None
        try:
            if self.fault is plan.ProxyFault.RESET:
                _reset(writer)
                return
            server_reader, server_writer = await asyncio.open_connection(
                *self._target
            )
            await asyncio.gather(
                self._pump(
                    reader, server_writer, plan.ProxyFault.STALL_TO_SERVER
                ),
                self._pump(
                    server_reader, writer, plan.ProxyFault.STALL_TO_CLIENT
                ),
            )
        except (OSError, asyncio.CancelledError):
            # Either side has closed the connection, or the proxy drops its
            # connections. Those to both sides are aborted below.
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.transport.abort()
            if server_writer is not None:
                server_writer.transport.abort()

    async def _pump(
        self, reader, writer, stalling_fault: plan.ProxyFault
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.fault is plan.ProxyFault.DELAY:
                await asyncio.sleep(_DELAY_S)
            while self.fault in (stalling_fault, plan.ProxyFault.STALL_BOTH):
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
        # The end of a reply may be marked by closing the connection, so when
        # the server closes, the client's connection must be closed too. The
        # exception makes `_on_connection` abort both connections.
        if stalling_fault is plan.ProxyFault.STALL_TO_CLIENT:
            raise ConnectionAbortedError


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    if sock is not None:
        # 1 is SOL_SOCKET and 13 is SO_LINGER, as numbered on Linux.
        sock.setsockopt(1, 13, _LINGER)
    writer.transport.abort()
