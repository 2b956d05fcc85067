"""The upstreams that a host believes to be there, by service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from rudderrock import state
from rudderrock.gateway import _routing as routing

# Upstreams whose registration lapsed while the registry was away register
# again within about two seconds of its return, says the registry's
# contract; a little more for the reading of it.
RETURN_GRACE_S = 2.3
# A registration lapses after three missed heartbeats, so a shorter gap
# between two readings can't have lost one by itself.
SHORT_GAP_S = 2.5


class Phase(enum.Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One registered upstream.

    `address` is an IP number and a port. `upstream` is the id of one
    incarnation: a restarted upstream registers under another id.
    """

    upstream: state.UpstreamId
    service: routing.ServiceName
    address: tuple[str, int]
    zone: state.ZoneId
    slots: int
    phase: Phase


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """What one reading changed; ids of upstreams."""

    added: tuple[state.UpstreamId, ...]
    left: tuple[state.UpstreamId, ...]
    held: tuple[state.UpstreamId, ...]


class Directory:
    """The registered upstreams as of the last reading.

    A reading that follows an outage of the registry may lack upstreams
    that live; these are kept for `RETURN_GRACE_S` after its return.
    """

    def __init__(self, clock: state.Clock):
        self.read_at: float | None = None
        self.revision = 0
        self._clock = clock
        self._endpoints: dict[state.UpstreamId, Endpoint] = {}
        self._ready: dict[routing.ServiceName, tuple[Endpoint, ...]] = {}
        self._hold_until = 0.0
        self._listeners: list[Callable[[DirectoryChange], None]] = []

    @property
    def is_holding(self) -> bool:
        """Tell whether missing upstreams are being kept just now."""
        return self._clock.now() < self._hold_until

    def add_listener(self, call: Callable[[DirectoryChange], None]) -> None:
        """Have `call` called after each reading that changed something."""
        self._listeners.append(call)

    def get_endpoint(self, upstream: state.UpstreamId) -> Endpoint | None:
        """Return one upstream, ready or draining."""
        return self._endpoints.get(upstream)

    def list_ready(self, service: routing.ServiceName) -> tuple[Endpoint, ...]:
        """Return the upstreams of a service that take new work."""
        return self._ready.get(service, ())

    def list_all(self) -> tuple[Endpoint, ...]:
        """Return every upstream that is registered or kept."""
        return tuple(self._endpoints.values())

    def note_outage(self) -> None:
        """Take note that the registry was away until just now."""
        self._hold_until = self._clock.now() + RETURN_GRACE_S

    def apply_reading(
        self, endpoints: Iterable[Endpoint], revision: int
    ) -> DirectoryChange | None:
        """Take over one whole reading; return what changed, if anything.

        A reading older than the last one is passed over.
        """
        if revision < self.revision:
            return None
        self.revision = revision
        self.read_at = self._clock.now()
        found = {each.upstream: each for each in endpoints}
        missing = self._endpoints.keys() - found.keys()
        held = missing if self.is_holding else frozenset()
        for upstream in held:
            found[upstream] = self._endpoints[upstream]
        if found == self._endpoints:
            return None
        added = found.keys() - self._endpoints.keys()
        left = {
            upstream
            for upstream, old in self._endpoints.items()
            if old.phase is Phase.READY and not _is_ready(found.get(upstream))
        }
        self._endpoints = found
        self._ready = _group_ready(found.values())
        change = DirectoryChange(
            tuple(sorted(added)), tuple(sorted(left)), tuple(sorted(held))
        )
        for call in self._listeners:
            call(change)
        return change


def _is_ready(endpoint: Endpoint | None) -> bool:
    return endpoint is not None and endpoint.phase is Phase.READY


def _group_ready(
    endpoints: Iterable[Endpoint],
) -> dict[routing.ServiceName, tuple[Endpoint, ...]]:
    grouped: dict[routing.ServiceName, list[Endpoint]] = {}
    for endpoint in endpoints:
        if endpoint.phase is Phase.READY:
            grouped.setdefault(endpoint.service, []).append(endpoint)
    return {service: tuple(found) for service, found in grouped.items()}
