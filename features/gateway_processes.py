"""Gateways in processes of their own, around stand-ins of the platform.

The stand-ins run in the test process, so that their records can be read.
"""

import asyncio
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import sys
import tempfile
from typing import Any

from rudderrock import platform
from rudderrock import soak
from rudderrock.standins import platform as platform_standins

# The settings name the first three ports of a gateway and its range of
# internal ports.
_PORTS_PER_GATEWAY = 4
_STAND_IN_OCTET = 250
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_HOST = 'members.example'


class GatewayProcesses:
    """Gateway processes by number, and the store that they read.

    `command` is the program with its arguments. Each gateway has an address
    of its own in a loopback network that no other program uses.
    """

    def __init__(self) -> None:
        self.command = [sys.executable, '-m', 'rudderrock.programs.gateway']
        self.cwd: pathlib.Path | None = None
        # What is passed before the path of the settings file.
        self.path_option = ['--config']
        # Variables in addition to those of the test process.
        self.env: dict[str, str] = {}
        # Settings of all gateways, unless others are given for one.
        self.fields: dict[str, Any] = {}
        self.store = platform_standins.PlatformStore()
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.network = ''
        self.stand_in_ip = ''
        self._ports: dict[int, int] = {}
        self._folder = pathlib.Path()

    async def open(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the store; everything is stopped when `stack` is closed."""
        self.network = soak.find_network(platform.METRICS_PORT)
        self.stand_in_ip = f'{self.network}.{_STAND_IN_OCTET}'
        port = soak.find_port_range(1, self.stand_in_ip)
        await self.store.start(self.stand_in_ip, port)
        stack.push_async_callback(self.store.stop)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        self._folder = pathlib.Path(folder)
        stack.push_async_callback(self._kill_all)

    def get_ip(self, number: int) -> str:
        """Return the address of a gateway."""
        return f'{self.network}.{number}'

    def get_port(self, number: int) -> int:
        """Return the port for callers; the next one is for readiness."""
        if number not in self._ports:
            ip = self.get_ip(number)
            self._ports[number] = soak.find_port_range(_PORTS_PER_GATEWAY, ip)
        return self._ports[number]

    def write_settings(
        self,
        number: int,
        edit: Callable[[bytes], bytes] = lambda raw: raw,
        **fields: str,
    ) -> pathlib.Path:
        """Write a settings file, changed by `edit`; return its path."""
        text = platform_standins.make_settings_file(
            self.get_ip(number),
            self.get_port(number),
            '%s:%d' % self.store.address,
            name=f'host-{number}',
            **{**self.fields, **fields},
        )
        path = self._folder / f'host-{number}.conf'
        path.write_bytes(edit(text.encode()))
        return path

    async def start(
        self,
        number: int,
        edit: Callable[[bytes], bytes] = lambda raw: raw,
        prepare: Callable[[], object] | None = None,
        **fields: str,
    ) -> asyncio.subprocess.Process:
        """Start a gateway; `prepare` runs in the process before it."""
        path = self.write_settings(number, edit, **fields)
        with self._get_log_path(number).open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *self.command,
                *self.path_option,
                str(path),
                stdout=log,
                stderr=log,
                cwd=self.cwd,
                env={**os.environ, **self.env},
                preexec_fn=prepare,
            )
        self.running[number] = process
        return process

    async def wait_until_ready(self, number: int) -> None:
        """Wait until the readiness probe of a gateway is answered by 200."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self.is_ready(number):
                assert self.running[number].returncode is None, self.read_log(
                    number
                )
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_until_listening(self, number: int) -> None:
        """Wait until a gateway answers its readiness probe."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while True:
                try:
                    await self.probe(number)
                    return
                except (OSError, EOFError):
                    await asyncio.sleep(_POLL_INTERVAL_S)

    async def is_ready(self, number: int) -> bool:
        """Return whether the readiness probe is answered by 200."""
        try:
            status = await self.probe(number)
        except (OSError, EOFError):
            return False
        return status == 200

    async def probe(self, number: int) -> int:
        """Return the status of the reply to one readiness probe."""
        reader, writer = await asyncio.open_connection(
            self.get_ip(number), self.get_port(number) + 1
        )
        try:
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await reader.readuntil(b'\r\n')
        finally:
            writer.transport.abort()
        return int(line.split(b' ')[1])

    async def connect(self, number: int, octet: int = 1):
        """Return the reader and the writer of a caller's connection.

        `octet` is the last one of the caller's address.
        """
        return await asyncio.open_connection(
            self.get_ip(number),
            self.get_port(number),
            local_addr=(f'{self.network}.{octet}', 0),
        )

    async def connect_to(self, number: int, port: int):
        """Return the reader and the writer of a connection to a port."""
        return await asyncio.open_connection(self.get_ip(number), port)

    def read_log(self, number: int) -> str:
        """Return what a gateway has written to its two outputs."""
        return self._get_log_path(number).read_text(errors='replace')

    def list_events(self, number: int, kind: str) -> list[dict]:
        """Return the log lines of a kind that a gateway has written."""
        lines = self.read_log(number).splitlines()
        found = [json.loads(line) for line in lines if line.startswith('{')]
        return [line for line in found if line['kind'] == kind]

    def read_peak_bytes(self, number: int) -> int:
        """Return the largest resident size of a running gateway so far."""
        status = pathlib.Path(f'/proc/{self.running[number].pid}/status')
        for line in status.read_text(encoding='ascii').splitlines():
            name, _, value = line.partition(':')
            if name == 'VmHWM':
                return int(value.split()[0]) * 1024
        raise AssertionError(f'no size of host {number}')

    def _get_log_path(self, number: int) -> pathlib.Path:
        return self._folder / f'host-{number}.log'

    async def _kill_all(self) -> None:
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
                await process.wait()


def render_request(
    path: str,
    request_id: str,
    method: str = 'GET',
    deadline_ms: int | str = 9000,
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a caller's request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {_HOST}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def read_reply(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, the headers and the body of a reply.

    Raises `EOFError` or `OSError` if the connection ends before.
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length)
    return int(first.split(' ')[1]), headers, body
