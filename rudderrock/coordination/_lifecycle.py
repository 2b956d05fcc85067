"""States of a host, from its first read of the configuration to its exit."""

import asyncio
import enum

import transitions

from rudderrock import state


class HostState(enum.Enum):
    """State of a host.

    `STARTING`: has no table or layout yet. `SERVING`: accepts requests.
    `LEAVING`: reports that it is not ready, but accepts requests until the
    balancer has reacted. `DRAINING`: refuses requests and finishes those
    in flight. `STOPPED`: has finished.
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
    """State machine of a host; records each change of state as an event.

    The library `transitions` adds the attribute `state` and the methods
    `serve`, `leave`, `drain` and `stop`; each raises
    `transitions.MachineError` if the state does not allow it.
    """

    def __init__(self, event_ring: state.EventRing):
        self._event_ring = event_ring
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
        """Record the new state; if it is `STOPPED`, wake the waiting tasks."""
        self._event_ring.record(
            state.EventKind.HOST_STATE, detail=self.state.value
        )
        if self.state is HostState.STOPPED:
            self._stopped.set()

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted."""
        return self.state in _ACCEPTING_STATES

    @property
    def is_ready(self) -> bool:
        """Return whether a balancer should send requests to this host."""
        return self.state is HostState.SERVING

    async def wait_until_stopped(self) -> None:
        """Wait until the state is `STOPPED`."""
        await self._stopped.wait()
