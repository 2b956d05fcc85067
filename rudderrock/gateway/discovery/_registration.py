"""Registration of this host in the registry of hosts."""

import asyncio
import contextlib
import random

import result

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _era as era
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _initial_sync as initial_sync_module
from rudderrock.gateway.discovery import _sources as sources

LEASE_TTL_S = 12.0
# Mean interval between renewals, in seconds. Two may fail before the lease
# ends.
RENEW_INTERVAL_S = 4.0
# Limit on the mean interval between attempts to register, in seconds. It
# doubles after each failure, from `RENEW_INTERVAL_S` on.
MAX_RETRY_INTERVAL_S = 8.0
# Time in seconds over which hosts that have waited for data register.
START_SPREAD_S = 0.5
# Each interval varies at random by this fraction, so that hosts that start or
# fail together do not call simultaneously.
_JITTER = 0.15


class Registration:
    """Keeps this host registered while it runs.

    A host that cannot register at its start tries again once it has data: if
    even its seeds have none, the source is usually down. If the list of hosts
    still contains this host from before a restart, the lease of that entry is
    taken over, which costs less than a new one.
    A source that was restored from a backup may have lost the lease and
    assigned its number to another owner. A lease from an earlier era is
    therefore renewed only after the registry has named it as the lease of this
    host, and no lease is revoked without that check.
    """

    def __init__(
        self,
        source: sources.SourcePort,
        hosts: fleet.Fleet,
        source_era: era.SourceEra,
        initial_sync: initial_sync_module.InitialSync,
        rng: random.Random,
        events: log.EventLog,
    ):
        self._source = source
        self._hosts = hosts
        self._era = source_era
        self._initial_sync = initial_sync
        self._rng = rng
        self._events = events
        self._lease: sources.Lease | None = None
        self._missing_count = 0
        self._failure_count = 0
        self._has_registered = False

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            if self._lease is not None:
                await self._renew_or_register()
            elif not await self._take_over():
                await self._register()
            interval_s = self._get_interval_s()
            if self._lease is None and not self._initial_sync.is_complete:
                await self._initial_sync.wait_at_most(interval_s)
                # Data may have come to all hosts at the same moment.
                await asyncio.sleep(self._rng.uniform(0.0, START_SPREAD_S))
            else:
                await asyncio.sleep(interval_s)

    def _get_interval_s(self) -> float:
        """Return the time until the next call, drawn at random."""
        mean_s = RENEW_INTERVAL_S
        if self._lease is None:
            doubled_s = mean_s * 2 ** max(0, self._failure_count - 1)
            mean_s = min(MAX_RETRY_INTERVAL_S, doubled_s)
        return mean_s * self._rng.uniform(1 - _JITTER, 1 + _JITTER)

    async def withdraw(self) -> None:
        """Remove the registration so that peers stop calling this host."""
        if self._lease is None:
            return
        found = (await self._find_own_lease()).ok()
        if found is None:
            # The registration expires with its lease.
            return
        answer = await self._source.withdraw(found)
        if answer.is_err():
            self._log_failure('withdraw', answer.err_value.detail)

    async def _take_over(self) -> bool:
        """Renew the lease of an earlier process of this host, if listed.

        Return whether registering is not needed, or not possible now.
        """
        if self._has_registered or not self._hosts.is_listed:
            return False
        match await self._source.find_lease(self._hosts.own.host):
            case result.Err(problem):
                self._failure_count += 1
                self._log_failure('find_lease', problem.detail)
                return True
            case result.Ok(None):
                return False
            case result.Ok(found):
                self._has_registered = True
                renewed = await self._source.renew(found)
                self._lease = found if renewed.is_ok() else None
                if renewed.is_ok():
                    self._failure_count = 0
                return renewed.is_ok()

    async def _register(self) -> None:
        self._lease = None
        answer = await self._source.register(self._hosts.own, LEASE_TTL_S)
        match answer:
            case result.Ok(lease):
                self._lease = lease
                self._has_registered = True
                self._missing_count = 0
                self._failure_count = 0
            case result.Err(problem):
                self._failure_count += 1
                self._log_failure('register', problem.detail)

    async def _renew_or_register(self) -> None:
        """Renew, or register again if the registry lost the entry."""
        self._missing_count = (
            0 if self._hosts.lists_this_host() else self._missing_count + 1
        )
        if self._missing_count >= 2:
            await self._register()
        elif self._lease.era < self._era.current:
            await self._renew_in_new_era()
        else:
            await self._renew_lease()

    async def _renew_lease(self) -> None:
        match await self._source.renew(self._lease):
            case result.Err(sources.LeaseEnded()):
                await self._register()
            case result.Err(sources.SourceRestored()):
                await self._renew_in_new_era()
            case result.Err(problem):
                self._log_failure('renew', problem.detail)

    async def _renew_in_new_era(self) -> None:
        """Renew the lease if it still belongs to this host."""
        match await self._find_own_lease():
            case result.Ok(None):
                await self._register()
            case result.Ok(found):
                self._lease = found
                await self._renew_lease()

    async def _find_own_lease(
        self,
    ) -> result.Result[sources.Lease | None, sources.Unavailable]:
        """Return the lease if the registry names it for this host."""
        answer = await self._source.find_lease(self._hosts.own.host)
        match answer:
            case result.Err(problem):
                self._log_failure('find_lease', problem.detail)
            case result.Ok(found) if found is not None:
                is_own = found.number == self._lease.number
                return result.Ok(found if is_own else None)
        return answer

    def _log_failure(self, call: str, detail: str) -> None:
        self._events.record(
            events.LogKind.SOURCE_FAILED, call=call, detail=detail
        )


@contextlib.asynccontextmanager
async def keep_registered(registration: Registration):
    """Keep the host registered within the context, then withdraw it."""
    task = asyncio.create_task(registration.run())
    try:
        yield
    finally:
        await core.end_task(task)
        await registration.withdraw()
