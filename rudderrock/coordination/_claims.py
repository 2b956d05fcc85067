"""Claims: who may run a non-idempotent request, kept by the platform.

A claim is made by compare-and-swap before the first byte of a request
leaves, so of all hosts that get the same idempotency key only one runs it.
Claims are grouped: each partition of keys is one value, written by one
task, and all that waits while a write is under way goes with the next.
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
_FIRST_PAUSE_S = 0.01
_LONGEST_PAUSE_S = 0.5
_MOST_IDLE = 64
# Writes that a host may make at once after a quiet time.
_PACE_BURST = 4.0
_SHORTEST_WAIT_S = 0.001


class ClaimState(enum.Enum):
    """How far a claimed request is known to have come."""

    CLAIMED = 'claimed'
    DONE = 'done'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One claimed key.

    `nonce` tells one call's claim from another's, also at the same host.
    `fingerprint` is of the request, so a key cannot serve two different
    ones. `expires` is the request's deadline in Unix seconds.
    """

    nonce: str
    holder: state.HostId
    fingerprint: str
    expires: float
    state: ClaimState = ClaimState.CLAIMED
    hits: list[protocol.Hit] = dataclasses.field(default_factory=list)


Claims = dict[str, Claim]


@dataclasses.dataclass(frozen=True, slots=True)
class Won:
    """The claim is ours."""


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The key was claimed before."""

    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class NotCommitted:
    """The service did not confirm the change in time."""

    detail: str


@dataclasses.dataclass(slots=True, eq=False)
class _Operation:
    """One change to a partition that waits to be written.

    `claim` is None to release the key, if `nonce` is still what claimed it.
    """

    key: str
    nonce: str
    claim: Claim | None
    done: asyncio.Future[Won | Taken]

    def apply(self, claims: Claims) -> Taken | None:
        """Change the map; return who stands in the way, if any."""
        current = claims.get(self.key)
        if current is not None and current.nonce != self.nonce:
            return Taken(current)
        if self.claim is None:
            claims.pop(self.key, None)
        else:
            claims[self.key] = self.claim
        return None


class _Partition:
    """The one writer of one value of claims at this host."""

    def __init__(
        self,
        key: str,
        kv: transport.KvPort,
        settings: state.ClaimSettings,
        pace: budgets.RateLimit,
    ):
        self._key = key
        self._kv = kv
        self._settings = settings
        self._pace = pace
        self._waiting: list[_Operation] = []
        self._entry: protocol.Entry | None = None
        self._task: asyncio.Task | None = None
        self._urgent = asyncio.Event()

    def submit(self, operation: _Operation, urgent: bool) -> None:
        """Add a change; the writer starts if it is idle.

        One that is not urgent waits for an urgent one to go with, up to
        the time that the settings allow.
        """
        self._waiting.append(operation)
        if urgent:
            self._urgent.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())

    async def read(self) -> result.Result[Claims, transport.KvUnavailable]:
        """Read the value as the service has it now."""
        entry = await self._kv.get(self._key)
        match entry:
            case result.Ok(current):
                self._entry = current
        return entry.map(_read_claims)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits or is under way."""
        return self._task is None or self._task.done()

    async def close(self) -> None:
        """Give up what still waits."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _write_all(self) -> None:
        pause_s = _FIRST_PAUSE_S
        while self._waiting:
            await self._wait_for_turn()
            group = [each for each in self._waiting if not each.done.done()]
            self._waiting = []
            self._urgent.clear()
            if await self._write_group(group):
                pause_s = _FIRST_PAUSE_S
                continue
            # Not known whether the write took effect. Trying the same
            # again settles it: either it succeeds, or the conflict shows
            # our own nonces.
            self._waiting = group + self._waiting
            self._urgent.set()
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)

    async def _wait_for_turn(self) -> None:
        """Let a group gather: until one is urgent, and for the pace."""
        delay_s = self._settings.record_delay_s
        await core.wait_for_event(self._urgent, delay_s)
        await asyncio.sleep(self._settings.group_delay_s)
        while (wait_s := self._pace.get_wait_s(1.0)) > 0:
            await asyncio.sleep(max(wait_s, _SHORTEST_WAIT_S))
        self._pace.take(1.0)

    async def _write_group(self, group: list[_Operation]) -> bool:
        """Write a group by one swap; False if the service is silent."""
        # Another host may have written meanwhile. A reading is cheaper
        # than a write that fails, and far more of them are allowed.
        self._entry = None
        while group:
            if self._entry is None:
                read = await self.read()
                if read.is_err():
                    return False
            claims = _read_claims(self._entry)
            before = dict(claims)
            taken = {each: each.apply(claims) for each in group}
            if claims == before:
                _settle(group, taken)
                return True
            swapped = await self._swap(claims)
            match swapped:
                case result.Ok(version):
                    value = protocol.encode(claims)
                    self._entry = protocol.Entry(value=value, version=version)
                    _settle(group, taken)
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
    """Claims keys for this host.

    Parameters: `kv` is the key-value service, `settings` give retention,
    partitions and pace; `count_hosts` tells how many hosts share the pace.
    """

    def __init__(
        self,
        kv: transport.KvPort,
        settings: state.ClaimSettings,
        clock: state.Clock,
        count_hosts: Callable[[], int],
    ):
        self._count_hosts = count_hosts
        self._pace = budgets.RateLimit(
            clock, settings.writes_per_s, _PACE_BURST
        )
        self._kv = kv
        self._settings = settings
        self._clock = clock
        self._partitions: dict[str, _Partition] = {}

    def check_key(self, key: str) -> result.Result[None, protocol.Refused]:
        """Refuse a key that is malformed, too old or from the future.

        A key starts with the Unix time at which it was made. That is how a
        key whose claim has been cleaned away is told from a new one.
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
    ) -> Won | Taken | NotCommitted:
        """Claim a key, waiting up to loop time `until`."""
        done = self._submit(key, claim.nonce, claim, urgent=True)
        try:
            async with asyncio.timeout_at(until):
                return await done
        except TimeoutError:
            return NotCommitted('no word from the key-value service in time')

    def finish(self, key: str, claim: Claim) -> None:
        """Record the outcome of a claimed key, with the next claims.

        Should the host be lost before that, a repeat is told "unknown".
        """
        self._submit(key, claim.nonce, claim, urgent=False)

    def release(self, key: str, claim: Claim) -> None:
        """Take a claim back, whenever the service can be reached again.

        Only for a request that certainly did not run.
        """
        self._submit(key, claim.nonce, None, urgent=False)

    async def read(
        self, key: str
    ) -> result.Result[Claim | None, transport.KvUnavailable]:
        """Read the claim of a key as the service has it now."""
        claims = await self._find_partition(key).read()
        return claims.map(lambda known: known.get(key))

    async def clean(self, index: int, hosts: int) -> None:
        """Delete claims whose keys are refused by now.

        The partitions are divided between hosts: this is the one at
        `index` of `hosts`. Doing it twice, or by two hosts, is harmless.
        """
        settings = self._settings
        kept_s = settings.retention_s + settings.max_skew_s
        last = int((self._clock.wall() - kept_s) // settings.epoch_s) - 1
        # Twice the time since the last cleaning, in case that was missed.
        count = math.ceil(2 * settings.clean_period_s / settings.epoch_s)
        for epoch in range(last, last - count, -1):
            for number in range(settings.partitions):
                if (epoch + number) % hosts == index:
                    await self._delete(f'{_PREFIX}/{epoch}/{number}')

    async def close(self) -> None:
        """Give up what is not yet written."""
        for partition in self._partitions.values():
            await partition.close()

    def _submit(
        self, key: str, nonce: str, claim: Claim | None, urgent: bool
    ) -> asyncio.Future[Won | Taken]:
        rate = self._settings.writes_per_s / max(1, self._count_hosts())
        self._pace.set_rate(rate, _PACE_BURST)
        done = asyncio.get_running_loop().create_future()
        operation = _Operation(key, nonce, claim, done)
        self._find_partition(key).submit(operation, urgent)
        return done

    async def _delete(self, key: str) -> None:
        entry = await self._kv.get(key)
        match entry:
            case result.Ok(protocol.Entry(value=bytes(), version=version)):
                await self._kv.swap(
                    protocol.SwapRequest(key=key, value=None, expected=version)
                )

    def _find_partition(self, key: str) -> _Partition:
        team, _, own = key.partition('/')
        epoch = int(int(own.partition('-')[0]) // self._settings.epoch_s)
        number = (
            xxhash.xxh64_intdigest(key.encode()) % self._settings.partitions
        )
        name = f'{_PREFIX}/{epoch}/{number}'
        partition = self._partitions.get(name)
        if partition is None:
            self._forget_idle()
            partition = _Partition(name, self._kv, self._settings, self._pace)
            self._partitions[name] = partition
        return partition

    def _forget_idle(self) -> None:
        """Drop writers that have nothing to do; each reads anew anyway."""
        if len(self._partitions) < _MOST_IDLE:
            return
        self._partitions = {
            name: partition
            for name, partition in self._partitions.items()
            if not partition.is_idle
        }


def make_fingerprint(command: protocol.Command) -> str:
    """Return a hash of what a command asks for."""
    parts = (
        command.collection.encode(),
        command.routing_key.encode(),
        bytes(command.body),
    )
    return xxhash.xxh3_128_hexdigest(b'\0'.join(parts))


def _settle(
    group: list[_Operation], taken: dict[_Operation, Taken | None]
) -> None:
    for operation in group:
        if not operation.done.done():
            operation.done.set_result(taken[operation] or Won())


def _read_claims(entry: protocol.Entry) -> Claims:
    if entry.value is None:
        return {}
    return protocol.decode(Claims, entry.value).expect('claims are ours')
