"""Watch of one key of the key-value service.

A new value is applied if it passes its checks and has a higher revision
than the one in force. While the service is down, or holds an invalid
value, the last valid one stays in force. If the service was restored from
an older copy, the edits that it has lost are written again.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any
from typing import Generic
from typing import TypeVar

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport

T = TypeVar('T')

TABLE_KEY = 'rudderrock/table'
LAYOUT_KEY = 'rudderrock/layout'

# Reasons may quote the value, which may be large.
_MAX_REASON_LENGTH = 1000
_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 5.0
# Upper bound of the random delay before a lost value is written again. All
# hosts detect the loss at the same time; the delay lets one of them write
# first.
_MAX_RESTORE_DELAY_S = 2.0


class KeyWatcher(Generic[T]):
    """Keeps one value up to date and tracks when it was last confirmed.

    Parameters: `decode` decodes and checks a value, and returns it or the
    reason why it is invalid; `get_revision` returns its revision; `apply`
    puts it in force. `kinds` are the event kinds for a value put in force
    and for a rejected one. `watch_s` is the longest time that one watch
    waits, in seconds. `merge(kept, found)` returns the value to write if
    `found`, from the service, lacks edits that `kept`, the value in force,
    has; else None.
    """

    def __init__(
        self,
        kv: transport.KvPort,
        key: str,
        *,
        decode: Callable[[bytes], result.Result[T, str]],
        get_revision: Callable[[T], state.Revision],
        apply: Callable[[T], None],
        kinds: tuple[state.EventKind, state.EventKind],
        watch_s: float,
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
        merge: Callable[[T, T], T | None] = lambda kept, found: None,
    ):
        self.revision = state.NO_REVISION
        self.confirmed_at: float | None = None
        self.last_contact_at: float | None = None
        self.is_up = True
        self._kv = kv
        self._key = key
        self._decode = decode
        self._get_revision = get_revision
        self._apply = apply
        self._applied_kind, self._rejected_kind = kinds
        self._watch_s = watch_s
        self._clock = clock
        self._rng = rng
        self._event_ring = event_ring
        self._merge = merge
        self._value: T | None = None
        self._version = protocol.ABSENT
        self._value_available = asyncio.Event()

    async def run(self) -> None:
        """Watch the key until cancelled."""
        pause_s = _INITIAL_PAUSE_S
        while True:
            sent_at = self._clock.now()
            # A service that was down may have been restored with a lower
            # version, which a watch does not report.
            if self._version == protocol.ABSENT or not self.is_up:
                outcome = await self._kv.get(self._key)
            else:
                outcome = await self._kv.watch(
                    self._key, self._version, self._watch_s
                )
            match outcome:
                case result.Ok(entry):
                    self._record_up()
                    self._process_entry(entry, sent_at)
                    await self._restore(entry)
                    pause_s = _INITIAL_PAUSE_S
                    # An absent key cannot be watched, so it is polled.
                    if entry.version != protocol.ABSENT:
                        continue
                case result.Err(failure):
                    self._record_down(failure.detail)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def read_now(self) -> bool:
        """Read the key now; return whether the service answered.

        A read confirms the revision in force even if the key is unchanged. A
        watch may miss events, so it does so only when it returns a new value.
        """
        sent_at = self._clock.now()
        match await self._kv.get(self._key):
            case result.Ok(entry):
                self._process_entry(entry, sent_at)
                self.confirm(self._clock.now() - sent_at)
                return True
        return False

    async def wait_until_in_force(self) -> None:
        """Wait until a value is in force, from the service or from a peer."""
        await self._value_available.wait()

    def apply_if_newer(self, value: T, origin: str) -> bool:
        """Put a checked value in force if its revision is higher.

        Return whether it was put in force. `origin` names its source in
        the event.
        """
        revision = self._get_revision(value)
        if revision <= self.revision:
            return False
        self.revision = revision
        self._value = value
        self._apply(value)
        self._value_available.set()
        self._event_ring.record(
            self._applied_kind, detail=f'revision {revision} from {origin}'
        )
        return True

    def confirm(self, age_s: float) -> None:
        """Record that the revision in force was the latest `age_s` ago."""
        confirmed_at = self._clock.now() - age_s
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def get_age_s(self) -> float:
        """Return the seconds since the revision was confirmed as the latest.

        Infinite if it was never confirmed.
        """
        if self.confirmed_at is None:
            return float('inf')
        return self._clock.now() - self.confirmed_at

    def _process_entry(self, entry: protocol.KvEntry, sent_at: float) -> None:
        """Process the reply to a call that was sent at loop time `sent_at`.

        The service is known to have been reachable, and the value current,
        only at that time: after a pause of this process, the reply may have
        waited long before it was read.
        """
        self.last_contact_at = max(sent_at, self.last_contact_at or sent_at)
        if entry.version == self._version or entry.value is None:
            return
        self._version = entry.version
        match self._decode(entry.value):
            case result.Err(reason):
                self._event_ring.record(self._rejected_kind, detail=reason)
            case result.Ok(value):
                self.apply_if_newer(value, 'key-value service')
                self.confirm(self._clock.now() - sent_at)

    async def _restore(self, entry: protocol.KvEntry) -> None:
        """Write again the edits that the service has lost, if any.

        The write is a compare-and-swap against the version found, so only
        one of several hosts succeeds and no concurrent edit is overwritten.
        """
        restored_value = self._make_value_to_restore(entry)
        if restored_value is None:
            return
        delay_s = _MAX_RESTORE_DELAY_S * self._rng.random()
        # Wait, but stop if another host writes first.
        watched = await self._kv.watch(self._key, entry.version, delay_s)
        if watched.is_err() or watched.unwrap().version != entry.version:
            return
        request = protocol.SwapRequest(
            key=self._key,
            value=protocol.encode(restored_value),
            expected=entry.version,
        )
        if (await self._kv.swap(request)).is_ok():
            self._event_ring.record(
                state.EventKind.TABLE_RESTORED,
                detail=f'revision {self._get_revision(restored_value)}',
            )

    def _make_value_to_restore(self, entry: protocol.KvEntry) -> T | None:
        """Return the value with the lost edits, or None if none was lost."""
        if entry.value is None or self._value is None:
            return None
        match self._decode(entry.value):
            case result.Ok(found):
                return self._merge(self._value, found)
        return None

    def _record_up(self) -> None:
        if not self.is_up:
            self.is_up = True
            self._event_ring.record(state.EventKind.KV_UP, detail=self._key)

    def _record_down(self, detail: str) -> None:
        if self.is_up:
            self.is_up = False
            self._event_ring.record(
                state.EventKind.KV_DOWN, detail=f'{self._key}: {detail}'
            )


def read_table(data: bytes) -> result.Result[state.Table, str]:
    """Decode and check a table."""
    return _read_checked(state.Table, state.check_table, data)


def read_layout(data: bytes) -> result.Result[state.Layout, str]:
    """Decode and check a layout."""
    return _read_checked(state.Layout, state.check_layout, data)


def _read_checked(
    cls: type, check: Callable[[Any], state.Problems], data: bytes
) -> result.Result[Any, str]:
    decoded = protocol.decode(cls, data)
    if decoded.is_err():
        return decoded
    problems = check(decoded.unwrap())
    if problems:
        reason = '; '.join(str(each) for each in problems)
        return result.Err(reason[:_MAX_REASON_LENGTH])
    return decoded
