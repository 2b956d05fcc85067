"""Claims on non-idempotent requests, kept in the key-value service.

A host claims the idempotency key by compare-and-swap before it sends the first
byte of a request, so only one of the hosts that receive a key runs the
request. Keys are divided into partitions. A partition is named after the epoch
in which its keys were created (a period of `epoch_s`) and a hash of the key.
The claims of a partition are one stored value, and each host has one writer
task for it. Changes submitted during a write are batched into the next write.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import math
import re

import result
import xxhash

from rudderrock import core
from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _budget as budgets

_PREFIX = 'rudderrock/claims'
_KEY_PATTERN = re.compile(r'^(\d{10})-[A-Za-z0-9_-]{8,64}$')
_INITIAL_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.5
_IDLE_REMOVAL_THRESHOLD = 64
# Writes that a host may make in a burst after an idle period.
_WRITE_BURST = 4.0
_MIN_WAIT_S = 0.001


class ClaimState(enum.Enum):
    """Recorded progress of a claimed request."""

    CLAIMED = 'claimed'
    DONE = 'done'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The claim on one idempotency key.

    `nonce` distinguishes the call that made the claim from all others,
    including calls at the same host. `fingerprint` is a hash of the request,
    by which reuse of the key for a different request is detected. `expires` is
    the deadline of the request in Unix seconds.
    """

    nonce: str
    holder: state.HostId
    fingerprint: str
    expires: float
    state: ClaimState = ClaimState.CLAIMED
    hits: list[protocol.Hit] = dataclasses.field(default_factory=list)


Claims = dict[str, Claim]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """This call claimed the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another call had already claimed the key."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimNotCommitted:
    """The key-value service did not confirm the change in time."""

    detail: str


@dataclasses.dataclass(slots=True, eq=False)
class _Operation:
    """One queued change: store `claim` for `key`, or delete the stored claim.

    It is deleted if `claim` is None. A stored claim with another nonce than
    `nonce` conflicts with the change and stays.
    """

    key: str
    nonce: str
    claim: Claim | None
    result_future: asyncio.Future[ClaimGranted | AlreadyClaimed]

    def apply(self, claims: Claims) -> AlreadyClaimed | None:
        """Apply the change; return the conflicting claim, if any."""
        current = claims.get(self.key)
        if current is not None and current.nonce != self.nonce:
            return AlreadyClaimed(current)
        if self.claim is None:
            claims.pop(self.key, None)
        else:
            claims[self.key] = self.claim
        return None


class _PartitionWriter:
    """Reads and writes the claims of one partition for this host."""

    def __init__(
        self,
        key: str,
        kv: transport.KvPort,
        settings: state.ClaimSettings,
        write_limit: budgets.RateLimit,
    ):
        self._key = key
        self._kv = kv
        self._settings = settings
        self._write_limit = write_limit
        self._queued: list[_Operation] = []
        self._entry: protocol.KvEntry | None = None
        self._task: asyncio.Task | None = None
        self._urgent = asyncio.Event()

    def submit(self, operation: _Operation, urgent: bool) -> None:
        """Queue a change and start the writer if it is idle.

        A change that is not urgent is written with the next urgent one, or
        after `record_delay_s` at the latest.
        """
        self._queued.append(operation)
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_queued())

    async def read(self) -> result.Result[Claims, transport.KvUnavailable]:
        """Read the claims from the key-value service."""
        entry = await self._kv.get(self._key)
        match entry:
            case result.Ok(current):
                self._entry = current
        return entry.map(_decode_claims)

    @property
    def is_idle(self) -> bool:
        """Return whether no change is queued or being written."""
        return self._task is None or self._task.done()

    async def close(self) -> None:
        """Stop the writer and discard the queued changes."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _write_queued(self) -> None:
        backoff_s = _INITIAL_BACKOFF_S
        while self._queued:
            await self._wait_for_batch()
            batch = [
                each for each in self._queued if not each.result_future.done()
            ]
            self._queued = []
            self._urgent.clear()
            if await self._write_batch(batch):
                backoff_s = _INITIAL_BACKOFF_S
                continue
            # The write may have taken effect, so the same changes are applied
            # again to the value that is then stored. A change that is already
            # stored has the same nonce there and is no conflict.
            self._queued = batch + self._queued
            self._urgent.set()
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)

    async def _wait_for_batch(self) -> None:
        """Delay the next write to batch changes and to keep to the rate limit.

        Wait for an urgent change, for `record_delay_s` at most, then for
        `group_delay_s`, then for the rate limit.
        """
        delay_s = self._settings.record_delay_s
        await core.wait_for_event(self._urgent, delay_s)
        await asyncio.sleep(self._settings.group_delay_s)
        while (wait_s := self._write_limit.get_wait_s(1.0)) > 0:
            await asyncio.sleep(max(wait_s, _MIN_WAIT_S))
        self._write_limit.take(1.0)

    async def _write_batch(self, batch: list[_Operation]) -> bool:
        """Write a batch of changes by compare-and-swap.

        Return False if the service did not confirm the write.
        """
        # Another host may have written since the last read. A read costs less
        # than a failed write, and the service allows many more reads than
        # writes.
        self._entry = None
        while batch:
            if self._entry is None:
                read = await self.read()
                if read.is_err():
                    return False
            claims = _decode_claims(self._entry)
            before = dict(claims)
            conflicts = {each: each.apply(claims) for each in batch}
            if claims == before:
                # Every change conflicts or has already taken effect.
                _resolve(batch, conflicts)
                return True
            swapped = await self._swap(claims)
            match swapped:
                case result.Ok(version):
                    value = protocol.encode(claims)
                    self._entry = protocol.KvEntry(
                        value=value, version=version
                    )
                    _resolve(batch, conflicts)
                    return True
                case result.Err(transport.KvConflict(current)):
                    self._entry = current
                case result.Err(_):
                    self._entry = None
                    return False
        return True

    async def _swap(self, claims: Claims):
        return await self._kv.swap(
            protocol.SwapRequest(
                key=self._key,
                value=protocol.encode(claims),
                expected=self._entry.version,
            )
        )


class ClaimStore:
    """Claims idempotency keys for this host.

    Parameters: `kv` is the key-value service; `settings` give the retention,
    the partitions and the write rate; `count_hosts` returns how many hosts
    share the write rate.
    """

    def __init__(
        self,
        kv: transport.KvPort,
        settings: state.ClaimSettings,
        clock: state.Clock,
        count_hosts: Callable[[], int],
    ):
        self._count_hosts = count_hosts
        self._write_limit = budgets.RateLimit(
            clock, settings.writes_per_s, _WRITE_BURST
        )
        self._kv = kv
        self._settings = settings
        self._clock = clock
        self._writers: dict[str, _PartitionWriter] = {}

    def check_key(self, key: str) -> result.Result[None, protocol.Refused]:
        """Refuse a key that is malformed, expired or dated in the future.

        A key starts with the Unix time at which it was created. A key older
        than the retention is refused, because its claim may have been deleted
        and the request could run twice.
        """
        match = _KEY_PATTERN.match(key)
        if match is None:
            return result.Err(
                protocol.Refused(
                    reason=protocol.RefusalReason.MALFORMED,
                    detail='an idempotency key reads UNIXSECONDS-RANDOM, '
                    'with 8 to 64 letters, digits, "-" or "_" after the '
                    'first "-"',
                )
            )
        age_s = self._clock.wall() - int(match[1])
        retention_s = self._settings.retention_s
        if -self._settings.max_skew_s <= age_s <= retention_s:
            return result.Ok(None)
        return result.Err(
            protocol.Refused(
                reason=protocol.RefusalReason.KEY_EXPIRED,
                detail=f'the key is {age_s:.0f} s old and the outcomes of '
                f'keys are kept for {retention_s:.0f} s',
            )
        )

    async def claim(
        self, key: str, claim: Claim, until: float
    ) -> ClaimGranted | AlreadyClaimed | ClaimNotCommitted:
        """Claim a key, waiting until loop time `until` at most."""
        result_future = self._submit(key, claim.nonce, claim, urgent=True)
        try:
            async with asyncio.timeout_at(until):
                return await result_future
        except TimeoutError:
            return ClaimNotCommitted(
                'no word from the key-value service in time'
            )

    def record_outcome(self, key: str, claim: Claim) -> None:
        """Record the outcome of a claimed key with the next batch of claims.

        If the host is lost before the write, a repeated call is answered with
        the outcome "unknown".
        """
        self._submit(key, claim.nonce, claim, urgent=False)

    def release(self, key: str, claim: Claim) -> None:
        """Release a claim as soon as the service can be reached.

        Use this only for a request that is certain not to have run.
        """
        self._submit(key, claim.nonce, None, urgent=False)

    async def read(
        self, key: str
    ) -> result.Result[Claim | None, transport.KvUnavailable]:
        """Read the claim on a key from the key-value service."""
        claims = await self._get_writer(key).read()
        return claims.map(lambda known: known.get(key))

    async def delete_expired(self, index: int, hosts: int) -> None:
        """Delete claims whose keys are past their retention.

        The partitions are divided among the hosts; this is the host at `index`
        of `hosts`. Deleting a partition twice, or from two hosts, is harmless.
        """
        settings = self._settings
        kept_s = settings.retention_s + settings.max_skew_s
        newest_epoch = (
            int((self._clock.wall() - kept_s) // settings.epoch_s) - 1
        )
        # Twice the cleaning period: also delete the epochs of the period
        # before, in case that run was missed.
        count = math.ceil(2 * settings.clean_period_s / settings.epoch_s)
        for epoch in range(newest_epoch, newest_epoch - count, -1):
            for number in range(settings.partitions):
                if (epoch + number) % hosts == index:
                    await self._delete(f'{_PREFIX}/{epoch}/{number}')

    async def close(self) -> None:
        """Discard the changes that are not yet written."""
        for writer in self._writers.values():
            await writer.close()

    def _submit(
        self, key: str, nonce: str, claim: Claim | None, urgent: bool
    ) -> asyncio.Future[ClaimGranted | AlreadyClaimed]:
        rate = self._settings.writes_per_s / max(1, self._count_hosts())
        self._write_limit.set_rate(rate, _WRITE_BURST)
        result_future = asyncio.get_running_loop().create_future()
        operation = _Operation(key, nonce, claim, result_future)
        self._get_writer(key).submit(operation, urgent)
        return result_future

    async def _delete(self, key: str) -> None:
        entry = await self._kv.get(key)
        match entry:
            case result.Ok(protocol.KvEntry(value=bytes(), version=version)):
                await self._kv.swap(
                    protocol.SwapRequest(key=key, value=None, expected=version)
                )

    def _get_writer(self, key: str) -> _PartitionWriter:
        team, _, caller_key = key.partition('/')
        epoch = int(
            int(caller_key.partition('-')[0]) // self._settings.epoch_s
        )
        number = (
            xxhash.xxh64_intdigest(key.encode()) % self._settings.partitions
        )
        name = f'{_PREFIX}/{epoch}/{number}'
        writer = self._writers.get(name)
        if writer is None:
            self._remove_idle()
            writer = _PartitionWriter(
                name, self._kv, self._settings, self._write_limit
            )
            self._writers[name] = writer
        return writer

    def _remove_idle(self) -> None:
        """Remove idle writers; a new writer reads its partition again."""
        if len(self._writers) < _IDLE_REMOVAL_THRESHOLD:
            return
        self._writers = {
            name: writer
            for name, writer in self._writers.items()
            if not writer.is_idle
        }


def make_fingerprint(command: protocol.Command) -> str:
    """Return a hash of a command's collection, routing key and body."""
    parts = (
        command.collection.encode(),
        command.routing_key.encode(),
        bytes(command.body),
    )
    return xxhash.xxh3_128_hexdigest(b'\0'.join(parts))


def _resolve(
    batch: list[_Operation], conflicts: dict[_Operation, AlreadyClaimed | None]
) -> None:
    for operation in batch:
        if not operation.result_future.done():
            operation.result_future.set_result(
                conflicts[operation] or ClaimGranted()
            )


def _decode_claims(entry: protocol.KvEntry) -> Claims:
    if entry.value is None:
        return {}
    return protocol.decode(Claims, entry.value).expect(
        'stored claims cannot be decoded'
    )
