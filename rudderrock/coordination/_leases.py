"""Leases of hosts in the key-value service.

A lease is one of three signs that a host is alive; the others are the
platform's host list and the heartbeats between hosts. No decision depends
on leases alone: while the service is down, no lease can be renewed and
queries are still served. A host that was paused for longer than its lease
detects the expiry by its own clock.
"""

import asyncio
from collections.abc import Callable
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport

HOST_PREFIX = 'rudderrock/hosts/'

_RENEWALS_PER_LEASE = 3
_RETRY_PAUSE_S = 1.0


class HostLease:
    """Keeps this host's key in the key-value service while the host runs.

    Parameters: `member` is the value of the key. `count_hosts` returns the
    number of hosts. The more hosts there are, the longer is the lease, so
    that the calls of all hosts together are limited by `lease_calls_per_s`.
    """

    def __init__(
        self,
        kv: transport.KvPort,
        member: protocol.Member,
        settings: state.MembershipSettings,
        count_hosts: Callable[[], int],
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
    ):
        self._kv = kv
        self._member = member
        self._settings = settings
        self._count_hosts = count_hosts
        self._clock = clock
        self._rng = rng
        self._event_ring = event_ring
        self._lease_id: str | None = None
        self._lease_duration_s = settings.lease_s
        self._held_until = clock.now()

    @property
    def is_held(self) -> bool:
        """Return whether the lease is held, by this host's own clock.

        The time counts from when the last renewal was sent, so the lease
        never ends later here than at the service.
        """
        return self._lease_id is not None and (
            self._clock.now() < self._held_until
        )

    async def run(self) -> None:
        """Acquire the lease and renew it until cancelled."""
        while True:
            if self._lease_id is not None and not self.is_held:
                self._record_lapse('not renewed in time')
            if self._lease_id is None:
                await self._acquire()
            else:
                await self._renew()
            await asyncio.sleep(self._get_pause_s())

    async def close(self) -> None:
        """Revoke the lease, so that others need not wait for its expiry."""
        lease_id, self._lease_id = self._lease_id, None
        if lease_id is not None:
            await self._kv.revoke(lease_id)

    async def has_lease(
        self, host: state.HostId
    ) -> result.Result[bool, transport.KvUnavailable]:
        """Return whether a host has a valid lease at the service."""
        entry = await self._kv.get(HOST_PREFIX + host)
        return entry.map(lambda found: found.value is not None)

    def _get_pause_s(self) -> float:
        if self._lease_id is None:
            return _RETRY_PAUSE_S * self._rng.uniform(0.5, 1.0)
        jitter = self._rng.uniform(0.8, 1.0)
        return self._lease_duration_s / _RENEWALS_PER_LEASE * jitter

    async def _acquire(self) -> None:
        min_interval_s = self._count_hosts() / self._settings.lease_calls_per_s
        self._lease_duration_s = max(
            self._settings.lease_s, min_interval_s * _RENEWALS_PER_LEASE
        )
        sent_at = self._clock.now()
        granted = await self._kv.grant(self._lease_duration_s)
        if granted.is_err():
            return
        lease_id = granted.unwrap()
        if await self._put_key(lease_id):
            self._lease_id = lease_id
            self._held_until = sent_at + self._lease_duration_s

    async def _put_key(self, lease_id: str) -> bool:
        """Attach this host's key to the lease; return whether it succeeded.

        A key left by an earlier process of this host is replaced. Without
        a definite answer of the service, return False and let the lease
        expire.
        """
        key = HOST_PREFIX + self._member.host
        found = await self._kv.get(key)
        if found.is_err():
            return False
        request = protocol.SwapRequest(
            key=key,
            value=protocol.encode(self._member),
            expected=found.unwrap().version,
            lease=lease_id,
        )
        return (await self._kv.swap(request)).is_ok()

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        match await self._kv.renew(self._lease_id):
            case result.Ok(_):
                self._held_until = sent_at + self._lease_duration_s
            case result.Err(transport.LeaseExpired()):
                self._record_lapse('unknown to the key-value service')

    def _record_lapse(self, detail: str) -> None:
        self._lease_id = None
        self._event_ring.record(state.EventKind.LEASE_LAPSED, detail=detail)
