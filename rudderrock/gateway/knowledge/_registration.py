"""Keeping this host in the registry of hosts."""

import asyncio
import contextlib

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _sources as sources

# A registration lasts this long without renewal, and is renewed this
# often, in seconds.
LEASE_S = 12.0
RENEW_EVERY_S = 4.0


class Registration:
    """Keeps this host in the registry while it runs."""

    def __init__(
        self,
        source: sources.SourcePort,
        hosts: fleet.Fleet,
        clock: core.Clock,
        events: log.EventLog,
    ):
        self._source = source
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._lease: int | None = None
        self._missing = 0

    async def run(self) -> None:
        """Register, and renew until cancelled."""
        while True:
            if self._lease is None:
                await self._register()
            else:
                await self._renew()
            await asyncio.sleep(RENEW_EVERY_S)

    async def withdraw(self) -> None:
        """Leave the registry, so that nobody asks this host any more."""
        if self._lease is None:
            return
        answer = await self._source.withdraw(self._lease)
        if answer.is_err():
            # The registration lapses by itself.
            self._note('withdraw', answer.err_value.detail)

    async def _register(self) -> None:
        answer = await self._source.register(self._hosts.own, LEASE_S)
        match answer:
            case result.Ok(lease):
                self._lease = lease
                self._missing = 0
            case result.Err(problem):
                self._note('register', problem.detail)

    async def _renew(self) -> None:
        """Renew; register again where the registry has lost the entry."""
        self._missing = 0 if self._hosts.has_own() else self._missing + 1
        if self._missing >= 2:
            self._lease = None
            await self._register()
            return
        match await self._source.renew(self._lease):
            case result.Err(sources.LeaseEnded()):
                self._lease = None
                await self._register()
            case result.Err(problem):
                self._note('renew', problem.detail)

    def _note(self, call: str, detail: str) -> None:
        self._events.record(
            events.LogKind.SOURCE_FAILED, call=call, detail=detail
        )


@contextlib.asynccontextmanager
async def keep_registered(registration: Registration):
    """Hold a registration while the context lasts, then leave."""
    task = asyncio.create_task(registration.run())
    try:
        yield
    finally:
        await core.end_task(task)
        await registration.withdraw()
