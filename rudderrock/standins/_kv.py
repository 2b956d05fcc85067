"""A stand-in of the platform's key-value service, with fault injection.

`MemoryKv` is the service itself and implements `transport.KvPort`;
`make_kv_app` serves it over HTTP. Faults are attributes that a scenario sets.
"""

import asyncio
import dataclasses
import itertools

import result
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport


@dataclasses.dataclass(slots=True)
class KvFaults:
    """Active faults of the key-value service.

    `down` refuses every call. `delay_s` is added to each call, in seconds.
    `lose_replies` is how many of the next swaps take effect but return an
    error. `drops_watch_events` keeps watches from returning changes.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    drops_watch_events: bool = False


@dataclasses.dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires: float
    keys: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class KvSnapshot:
    """A snapshot of all keys of the service."""

    entries: dict[str, protocol.KvEntry]
    version: int


class MemoryKv:
    """An in-memory key-value service with leases and watches.

    Each key has a version, by which `swap` compares.
    """

    def __init__(self, clock: state.Clock, latency_s: float = 0.001):
        self.faults = KvFaults()
        self.reads = 0
        self.writes = 0
        self._clock = clock
        self._latency_s = latency_s
        self._entries: dict[str, protocol.KvEntry] = {}
        self._leases: dict[str, _Lease] = {}
        self._ids = itertools.count(1)
        self._version = 0
        self._changed = asyncio.Condition()

    async def get(
        self, key: str
    ) -> result.Result[protocol.KvEntry, transport.KvUnavailable]:
        """Return the value and version of a key."""
        self.reads += 1
        if await self._delay_and_check_down():
            return _unavailable()
        return result.Ok(self._read(key))

    async def swap(
        self, request: protocol.SwapRequest
    ) -> result.Result[
        int,
        transport.KvConflict
        | transport.KvUnavailable
        | transport.LeaseExpired,
    ]:
        """Write a key if its version is as expected; return its version."""
        self.writes += 1
        if await self._delay_and_check_down():
            return _unavailable()
        current = self._read(request.key)
        if current.version != request.expected:
            return result.Err(transport.KvConflict(current))
        if request.lease is not None:
            lease = self._find_lease(request.lease)
            if lease is None:
                return result.Err(transport.LeaseExpired())
            lease.keys.add(request.key)
        version = await self._write(request.key, request.value)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return result.Err(transport.KvUnavailable('reply lost'))
        return result.Ok(version)

    async def watch(
        self, key: str, after: int, timeout_s: float
    ) -> result.Result[protocol.KvEntry, transport.KvUnavailable]:
        """Return value and version of a key, once the latter exceeds `after`.

        At the timeout, return them as they are. With `drops_watch_events`,
        return no value and the version `after` then.
        """
        self.reads += 1
        if await self._delay_and_check_down():
            return _unavailable()
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: (
                        self._has_new_version(key, after) or self.faults.down
                    )
                )
        except TimeoutError:
            pass
        if self.faults.down:
            return _unavailable()
        if self.faults.drops_watch_events:
            return result.Ok(protocol.KvEntry(value=None, version=after))
        return result.Ok(self._read(key))

    async def grant(
        self, ttl_s: float
    ) -> result.Result[str, transport.KvUnavailable]:
        """Grant a lease and return its id."""
        self.writes += 1
        if await self._delay_and_check_down():
            return _unavailable()
        lease = f'lease-{next(self._ids)}'
        self._leases[lease] = _Lease(ttl_s, self._clock.now() + ttl_s)
        return result.Ok(lease)

    async def renew(
        self, lease: str
    ) -> result.Result[None, transport.LeaseExpired | transport.KvUnavailable]:
        """Reset a lease to its full time to live."""
        self.writes += 1
        if await self._delay_and_check_down():
            return _unavailable()
        found = self._find_lease(lease)
        if found is None:
            return result.Err(transport.LeaseExpired())
        found.expires = self._clock.now() + found.ttl_s
        return result.Ok(None)

    async def revoke(
        self, lease: str
    ) -> result.Result[None, transport.LeaseExpired | transport.KvUnavailable]:
        """Revoke a lease and delete the keys attached to it."""
        self.writes += 1
        if await self._delay_and_check_down():
            return _unavailable()
        if self._find_lease(lease) is None:
            return result.Err(transport.LeaseExpired())
        await self._drop_lease(lease)
        return result.Ok(None)

    async def set_down(self, down: bool) -> None:
        """Set whether the service is down; an outage ends waiting watches."""
        self.faults.down = down
        async with self._changed:
            self._changed.notify_all()

    def count_keys(self, prefix: str) -> int:
        """Return the number of keys with a prefix."""
        return sum(key.startswith(prefix) for key in self._entries)

    async def put_unless_down(self, key: str, value: object) -> None:
        """Write a key without a version check, unless the service is down.

        Simulates a write by an operator of the platform.
        """
        if not self.faults.down:
            await self._write(key, protocol.encode(value))

    def make_snapshot(self) -> KvSnapshot:
        """Return a snapshot of all keys, without the leases."""
        return KvSnapshot(dict(self._entries), self._version)

    async def restore(self, snapshot: KvSnapshot) -> None:
        """Restore the keys of a snapshot, and end an outage.

        Writes since the snapshot are lost, and new writes reuse their version
        numbers.
        """
        self._entries = dict(snapshot.entries)
        self._version = snapshot.version
        await self.set_down(False)

    async def _delay_and_check_down(self) -> bool:
        await asyncio.sleep(self._latency_s + self.faults.delay_s)
        await self._expire_leases()
        return self.faults.down

    def _has_new_version(self, key: str, after: int) -> bool:
        is_newer = self._read(key).version > after
        return is_newer and not self.faults.drops_watch_events

    def _read(self, key: str) -> protocol.KvEntry:
        absent = protocol.KvEntry(value=None, version=protocol.ABSENT)
        return self._entries.get(key, absent)

    async def _write(self, key: str, value: bytes | None) -> int:
        self._version += 1
        version = self._version
        if value is None:
            self._entries.pop(key, None)
        else:
            entry = protocol.KvEntry(value=value, version=version)
            self._entries[key] = entry
        async with self._changed:
            self._changed.notify_all()
        return version

    def _find_lease(self, lease: str) -> _Lease | None:
        return self._leases.get(lease)

    async def _expire_leases(self) -> None:
        now = self._clock.now()
        for lease, found in list(self._leases.items()):
            if found.expires <= now:
                await self._drop_lease(lease)

    async def _drop_lease(self, lease: str) -> None:
        for key in self._leases.pop(lease).keys:
            await self._write(key, None)


def _unavailable() -> result.Err[transport.KvUnavailable]:
    return result.Err(transport.KvUnavailable('service is down'))


def make_kv_app(kv: MemoryKv) -> applications.Starlette:
    """Return an application that serves a key-value service over HTTP."""

    def make_route(path, cls, handle):
        async def endpoint(request: requests.Request) -> responses.Response:
            match protocol.decode(cls, await request.body()):
                case result.Err(detail):
                    return responses.PlainTextResponse(detail, 400)
                case result.Ok(message):
                    return _reply(await handle(message))

        return routing.Route(path, endpoint, methods=['POST'])

    async def swap(message: protocol.SwapRequest):
        done = await kv.swap(message)
        return done.map(lambda v: protocol.KvEntry(value=None, version=v))

    async def grant(message: protocol.GrantRequest):
        granted = await kv.grant(message.ttl_s)
        return granted.map(lambda lease: protocol.Lease(lease=lease))

    async def renew(message: protocol.Lease):
        return (await kv.renew(message.lease)).map(lambda _: message)

    async def revoke(message: protocol.Lease):
        return (await kv.revoke(message.lease)).map(lambda _: message)

    def get(message: protocol.GetRequest):
        return kv.get(message.key)

    def watch(message: protocol.WatchRequest):
        return kv.watch(message.key, message.after, message.timeout_s)

    return applications.Starlette(
        routes=[
            make_route(protocol.GET_PATH, protocol.GetRequest, get),
            make_route(protocol.SWAP_PATH, protocol.SwapRequest, swap),
            make_route(protocol.WATCH_PATH, protocol.WatchRequest, watch),
            make_route(protocol.GRANT_PATH, protocol.GrantRequest, grant),
            make_route(protocol.RENEW_PATH, protocol.Lease, renew),
            make_route(protocol.REVOKE_PATH, protocol.Lease, revoke),
        ]
    )


def _reply(outcome: result.Result) -> responses.Response:
    match outcome:
        case result.Ok(message):
            return _json(200, message)
        case result.Err(transport.KvConflict(current)):
            return _json(409, current)
        case result.Err(transport.LeaseExpired()):
            return responses.PlainTextResponse('lease gone', 410)
        case result.Err(failure):
            return responses.PlainTextResponse(failure.detail, 503)


def _json(status: int, message: object) -> responses.Response:
    return responses.Response(
        protocol.encode(message), status, media_type='application/json'
    )
