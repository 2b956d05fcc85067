"""The upstreams that a host believes to be there, by service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from rudderrock import core
from rudderrock.gateway.knowledge import _routing as routing

# Upstreams whose registration lapsed while the registry was away register
# again within about two seconds of its return, says the registry's
# contract; a little more for the reading of it.
RETURN_GRACE_S = 2.3
# A registration lapses after three missed heartbeats of some 1.2 s; so if
# there was a reading this lately, of this host or of a peer, the registry
# was not away for long enough to lose one that lives.
SHORT_GAP_S = 2.2


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

    upstream: core.UpstreamId
    service: routing.ServiceName
    address: tuple[str, int]
    zone: core.ZoneId
    slots: int
    phase: Phase


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """What one reading changed; ids of upstreams.

    `left` are those that no longer take new work, `held` those that the
    reading lacked and that are kept, `touched` all that differ.
    """

    added: tuple[core.UpstreamId, ...]
    left: tuple[core.UpstreamId, ...]
    held: tuple[core.UpstreamId, ...]
    touched: tuple[core.UpstreamId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingStamp:
    """Which reading of the registry something comes from.

    `origin` is the process that read, `number` counts its readings,
    `read_at` is the loop time of the reading as this process reckons it, and
    `hops` counts the hosts that have passed it on.
    Ages alone would not do: each passing on adds a little, so hosts that
    ask one another in a circle would take an old reading for a fresh one.
    """

    origin: str
    number: int
    read_at: float
    hops: int = 0


class Directory:
    """The registered upstreams as of the last reading.

    A reading that follows an outage of the registry may lack upstreams
    that live; these are kept until the time given to `hold_for` is over.
    """

    def __init__(self, clock: core.Clock):
        self.stamp: ReadingStamp | None = None
        self.revision = 0
        self._clock = clock
        self._endpoints: dict[core.UpstreamId, Endpoint] = {}
        self._ready: dict[routing.ServiceName, tuple[Endpoint, ...]] = {}
        self._hold_until = 0.0
        self._held: frozenset[core.UpstreamId] = frozenset()
        self._listeners: list[Callable[[DirectoryChange], None]] = []
        self._seen: dict[str, int] = {}
        self._readers: list[Callable[[], None]] = []

    @property
    def is_keeping(self) -> bool:
        """Tell whether upstreams are kept that the last reading lacked."""
        return bool(self._held)

    @property
    def hold_s(self) -> float:
        """Return for how long missing upstreams are still kept."""
        return max(0.0, self._hold_until - self._clock.now())

    @property
    def age_s(self) -> float:
        """Return the age of the last reading in seconds, -1 if none."""
        if self.stamp is None:
            return -1.0
        return self._clock.now() - self.stamp.read_at

    def add_listener(self, call: Callable[[DirectoryChange], None]) -> None:
        """Have `call` called after each reading that changed something."""
        self._listeners.append(call)

    def add_reader(self, call: Callable[[], None]) -> None:
        """Have `call` called after each reading, changed or not."""
        self._readers.append(call)

    def get_endpoint(self, upstream: core.UpstreamId) -> Endpoint | None:
        """Return one upstream, ready or draining."""
        return self._endpoints.get(upstream)

    def list_ready(self, service: routing.ServiceName) -> tuple[Endpoint, ...]:
        """Return the upstreams of a service that take new work."""
        return self._ready.get(service, ())

    def list_all(self) -> tuple[Endpoint, ...]:
        """Return every upstream that is registered or kept."""
        return tuple(self._endpoints.values())

    def hold_for(self, seconds: float) -> None:
        """Keep upstreams that readings lack for this long from now."""
        until = self._clock.now() + seconds
        self._hold_until = max(self._hold_until, until)

    def apply_reading(
        self, endpoints: Iterable[Endpoint], revision: int, stamp: ReadingStamp
    ) -> DirectoryChange | None:
        """Take over one whole reading; return what changed, if anything.

        One that is older than the last is passed over.
        """
        if revision < self.revision:
            return None
        found = {each.upstream: each for each in endpoints}
        return self._replace(found, revision, stamp)

    def apply_changes(
        self,
        endpoints: Iterable[Endpoint],
        left: Iterable[core.UpstreamId],
        revision: int,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        """Take over what a peer says has changed since it was last asked."""
        if revision < self.revision:
            return None
        found = dict(self._endpoints)
        for upstream in left:
            found.pop(upstream, None)
        for each in endpoints:
            found[each.upstream] = each
        return self._replace(found, revision, stamp)

    def _replace(
        self,
        found: dict[core.UpstreamId, Endpoint],
        revision: int,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        self.revision = revision
        is_new = stamp.number > self._seen.get(stamp.origin, 0)
        if is_new:
            self._seen[stamp.origin] = stamp.number
            if self.stamp is None or stamp.read_at > self.stamp.read_at:
                self.stamp = stamp
        change = self._compare(found)
        if change is not None:
            for call in self._listeners:
                call(change)
        if is_new:
            for read in self._readers:
                read()
        return change

    def _compare(
        self, found: dict[core.UpstreamId, Endpoint]
    ) -> DirectoryChange | None:
        missing = self._endpoints.keys() - found.keys()
        held = frozenset(missing if self.hold_s > 0 else ())
        self._held = held
        for upstream in held:
            found[upstream] = self._endpoints[upstream]
        if found == self._endpoints:
            return None
        before, self._endpoints = self._endpoints, found
        self._ready = _group_ready(found.values())
        return _compare(before, found, held)


def _compare(
    before: dict[core.UpstreamId, Endpoint],
    now: dict[core.UpstreamId, Endpoint],
    held: Iterable[core.UpstreamId],
) -> DirectoryChange:
    left = [
        upstream
        for upstream, old in before.items()
        if old.phase is Phase.READY and not _is_ready(now.get(upstream))
    ]
    touched = [
        upstream
        for upstream in before.keys() | now.keys()
        if before.get(upstream) != now.get(upstream)
    ]
    return DirectoryChange(
        added=tuple(sorted(now.keys() - before.keys())),
        left=tuple(sorted(left)),
        held=tuple(sorted(held)),
        touched=tuple(sorted(touched)),
    )


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
