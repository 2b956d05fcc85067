"""The life of a host, from its first reading to its exit."""

import asyncio
import enum

import transitions

from rudderrock import state


class HostState(enum.Enum):
    """Where a host is in its life.

    `STARTING` has no table or layout yet. `SERVING` takes work. `LEAVING`
    says that it is not ready but still takes work, since the balancer
    lags. `DRAINING` takes none and ends what it has. `STOPPED` has ended.
    """

    STARTING = 'starting'
    SERVING = 'serving'
    LEAVING = 'leaving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


_TRANSITIONS = [
    ['serve', HostState.STARTING, HostState.SERVING],
    ['leave', [HostState.STARTING, HostState.SERVING], HostState.LEAVING],
    [
        'drain',
        [HostState.STARTING, HostState.SERVING, HostState.LEAVING],
        HostState.DRAINING,
    ],
    ['stop', HostState.DRAINING, HostState.STOPPED],
]

_ACCEPTING_STATES = frozenset({HostState.SERVING, HostState.LEAVING})


class Lifecycle:
    """Holds a host's state and lets others wait for its end."""

    def __init__(self, ring: state.EventRing):
        self._ring = ring
        self._stopped = asyncio.Event()
        self._machine = transitions.Machine(
            model=self,
            states=HostState,
            transitions=_TRANSITIONS,
            initial=HostState.STARTING,
            after_state_change='record',
            auto_transitions=False,
        )

    def record(self) -> None:
        """Put the new state on the time line."""
        self._ring.record(state.EventKind.HOST_STATE, detail=self.state.value)
        if self.state is HostState.STOPPED:
            self._stopped.set()

    @property
    def accepts_requests(self) -> bool:
        """Tell whether new requests are taken."""
        return self.state in _ACCEPTING_STATES

    @property
    def is_ready(self) -> bool:
        """Tell whether a balancer should send requests here."""
        return self.state is HostState.SERVING

    async def wait_until_stopped(self) -> None:
        """Wait for the end of this host's life."""
        await self._stopped.wait()
