"""Binding of the addresses of a gateway, of which some may be in use."""

import asyncio
import contextlib
import enum

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.http import _listener as listener

# Time in seconds that a start waits for its addresses. A process that ran
# here before may still be closing them.
MAX_WAIT_S = 5.0
# Interval in seconds between attempts while a start waits for an address.
RETRY_INTERVAL_S = 0.1
# Interval in seconds between attempts while the process serves without it.
BACKGROUND_RETRY_INTERVAL_S = 1.0


class Purpose(enum.Enum):
    """What an address of a gateway is for."""

    CALLERS = 'callers'
    READINESS = 'readiness'
    PEERS = 'peers'
    METRICS = 'metrics'


class AddressBinder:
    """Binds addresses, tries again those in use, and logs both once.

    `stop` is set when the process is to stop. Everything bound is closed with
    `stack`.
    """

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        stop: asyncio.Event,
        event_log: log.EventLog,
        clock: core.Clock,
    ):
        self._stack = stack
        self._stop = stop
        self._events = event_log
        self._clock = clock
        self._deadline = clock.now() + MAX_WAIT_S

    async def bind(
        self,
        purpose: Purpose,
        each_listener: listener.CallerListener,
        address: tuple[str, int],
    ) -> bool:
        """Listen at an address that the process can't do without.

        Returns False if the process is to stop before. Raises the `OSError` of
        the last attempt at the end of `MAX_WAIT_S` after the start.
        """
        began = self._clock.now()
        is_logged = False
        while not self._stop.is_set():
            try:
                await self._listen(each_listener, address)
            except OSError as error:
                if self._clock.now() >= self._deadline:
                    raise
                if not is_logged:
                    self._record_in_use(purpose, address, error)
                is_logged = True
            else:
                if is_logged:
                    self._record_bound(purpose, address, began)
                return True
            await core.wait_for_event(self._stop, RETRY_INTERVAL_S)
        return False

    async def bind_or_retry(
        self,
        purpose: Purpose,
        each_listener: listener.CallerListener,
        address: tuple[str, int],
    ) -> None:
        """Listen at an address, or try again in the background."""
        try:
            await self._listen(each_listener, address)
        except OSError as error:
            self._record_in_use(purpose, address, error)
            task = asyncio.create_task(
                self._retry(purpose, each_listener, address)
            )
            self._stack.push_async_callback(core.end_task, task)

    async def _retry(
        self,
        purpose: Purpose,
        each_listener: listener.CallerListener,
        address: tuple[str, int],
    ) -> None:
        began = self._clock.now()
        while True:
            await asyncio.sleep(BACKGROUND_RETRY_INTERVAL_S)
            # Known to be in use, and logged when it no longer is.
            with contextlib.suppress(OSError):
                await self._listen(each_listener, address)
                self._record_bound(purpose, address, began)
                return

    async def _listen(
        self, each_listener: listener.CallerListener, address: tuple[str, int]
    ) -> None:
        await self._stack.enter_async_context(each_listener.listen(*address))

    def _record_in_use(
        self, purpose: Purpose, address: tuple[str, int], error: OSError
    ) -> None:
        self._events.record(
            events.LogKind.ADDRESS_IN_USE,
            purpose=purpose.value,
            address='%s:%d' % address,
            problem=str(error),
        )

    def _record_bound(
        self, purpose: Purpose, address: tuple[str, int], began: float
    ) -> None:
        self._events.record(
            events.LogKind.ADDRESS_BOUND,
            purpose=purpose.value,
            address='%s:%d' % address,
            waited_s=round(self._clock.now() - began, 1),
        )
