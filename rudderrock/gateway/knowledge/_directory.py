"""The upstreams that a host believes to be there, by service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from rudderrock import core
from rudderrock.gateway.knowledge import _position as position
from rudderrock.gateway.knowledge import _restore as revived
from rudderrock.gateway.knowledge import _routing as routing

# Upstreams whose registration lapsed while the registry was away register
# again within about two seconds of its return, says the registry's
# contract; a little more for the reading of it.
REREGISTRATION_GRACE_S = 2.3
# A registration lapses after three missed heartbeats of some 1.2 s; so if
# there was a reading this lately, of this host or of a peer, the registry
# was not away for long enough to lose one that lives.
MAX_HARMLESS_OUTAGE_S = 2.2
# Ids that have left and whose last entries are remembered: those of 2,400
# upstreams that are all replaced once, and more.
MAX_DEPARTED_IDS = 4096


class Phase(enum.Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One registered upstream.

    `address` is an IP number and a port. `born` is the start of the
    upstream's life as a Unix time in milliseconds, 0 if it does not say:
    an upstream may start again under its id, and then knows nothing of
    before. `sequence` counts what it has said in that life, so of two
    entries the one with the greater `life_order` was written later, whatever
    the order in which they came. It is no change by itself. For
    `warmup_left_s` from the reading on it is cold.
    """

    upstream: core.UpstreamId
    service: routing.ServiceName
    address: tuple[str, int]
    zone: core.ZoneId
    slots: int
    phase: Phase
    born: int = 0
    sequence: int = dataclasses.field(default=0, compare=False)
    warmup_left_s: float = 0.0

    @property
    def life_order(self) -> tuple[int, int]:
        """Return what orders the entries of one id."""
        return self.born, self.sequence

    @property
    def life(self) -> core.UpstreamLife:
        """Return what tells this life from others, also of its id."""
        return core.UpstreamLife(f'{self.upstream}/{self.born}')

    def is_same_life(self, other: 'Endpoint') -> bool:
        """Tell whether what was known of another entry still holds."""
        return (self.born, self.address, self.service) == (
            other.born,
            other.address,
            other.service,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """What one reading changed; ids of upstreams.

    `added` are those that take new work from now on, `left` those that no
    longer do, `held` those that the reading lacked and that are kept,
    `touched` all that differ. One that has started again under its id is
    among `left` for its former life and among `added` for the new one.
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
    Those in evacuated zones are known and take no new work.
    """

    def __init__(self, clock: core.Clock):
        self.stamp: ReadingStamp | None = None
        self.position = position.NOWHERE
        self._clock = clock
        self._endpoints: dict[core.UpstreamId, Endpoint] = {}
        self._evacuated: frozenset[core.ZoneId] = frozenset()
        # The last that was said under each id, also by those that are gone,
        # so that an entry from before is not taken for a new one.
        self._last_order: dict[core.UpstreamId, tuple[int, int]] = {}
        self._restore = revived.RestoreTracker(clock)
        self._cold_until: dict[core.UpstreamId, float] = {}
        self._ready: dict[routing.ServiceName, tuple[Endpoint, ...]] = {}
        self._hold_until = 0.0
        self._held: frozenset[core.UpstreamId] = frozenset()
        self._unconfirmed: frozenset[core.UpstreamId] = frozenset()
        self._listeners: list[Callable[[DirectoryChange], None]] = []
        self._last_numbers: dict[str, int] = {}
        self._reading_listeners: list[Callable[[], None]] = []

    @property
    def differs_from_reading(self) -> bool:
        """Tell whether upstreams are kept that the last reading lacked.

        Or left out that it named: a peer would not tell of either again.
        """
        return bool(self._held or self._unconfirmed)

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
        self._reading_listeners.append(call)

    def get_endpoint(self, upstream: core.UpstreamId) -> Endpoint | None:
        """Return one upstream, ready or draining."""
        return self._endpoints.get(upstream)

    def list_ready(self, service: routing.ServiceName) -> tuple[Endpoint, ...]:
        """Return the upstreams of a service that take new work."""
        return self._ready.get(service, ())

    def list_all(self) -> tuple[Endpoint, ...]:
        """Return every upstream that is registered or kept."""
        return tuple(self._endpoints.values())

    def get_cold_s(self, upstream: core.UpstreamId) -> float:
        """Return for how long an upstream is still cold, 0 if it is not."""
        until = self._cold_until.get(upstream, 0.0)
        return max(0.0, until - self._clock.now())

    def count_cold(self) -> int:
        """Return how many upstreams are cold."""
        now = self._clock.now()
        return sum(until > now for until in self._cold_until.values())

    def note_cold(self, upstream: core.UpstreamId, seconds: float) -> None:
        """Take an upstream to be cold for so long from now, or longer."""
        until = self._clock.now() + seconds
        self._cold_until[upstream] = max(
            until, self._cold_until.get(upstream, 0.0)
        )

    def set_evacuated(
        self, zones: frozenset[core.ZoneId]
    ) -> DirectoryChange | None:
        """Give no new work to the upstreams of some zones, and to no others.

        Returns what that changed, if anything.
        """
        if zones == self._evacuated:
            return None
        self._evacuated = zones
        change = self._compare(self._endpoints, self._held, regroup=True)
        self._notify(change)
        return change

    def hold_for(self, seconds: float) -> None:
        """Keep upstreams that readings lack for this long from now."""
        until = self._clock.now() + seconds
        self._hold_until = max(self._hold_until, until)

    def apply_reading(
        self,
        endpoints: Iterable[Endpoint],
        read: position.Position,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        """Take over one whole reading; return what changed, if anything.

        One that is older than the last is passed over. Of a source that has
        come back from a copy the first is newer, though its revision may be
        smaller.
        """
        if read < self.position:
            return None
        if read.era != self.position.era:
            self._begin_era()
        found = {each.upstream: each for each in endpoints}
        self._unconfirmed = self._list_unconfirmed(found, stamp.origin)
        for upstream in self._unconfirmed:
            del found[upstream]
        change = self._replace(found, read, stamp)
        if self._restore.is_settling and stamp.hops <= 1:
            # Told by who has read it: others leave out what they doubt.
            gone = self._last_order.keys() - found.keys() - self._unconfirmed
            self._restore.record_missing(stamp.origin, gone)
        return change

    def apply_changes(
        self,
        endpoints: Iterable[Endpoint],
        left: Iterable[core.UpstreamId],
        read: position.Position,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        """Take over what a peer says has changed since it was last asked.

        That is worked out within one era; what another era lacks of this one
        would not be among it. What it names is new at the peer, so none of it
        is doubted.
        """
        if read < self.position or read.era != self.position.era:
            return None
        found = dict(self._endpoints)
        for upstream in left:
            found.pop(upstream, None)
        for each in endpoints:
            found[each.upstream] = each
        return self._replace(found, read, stamp)

    def _begin_era(self) -> None:
        """Take note that the source has come back from a copy.

        It lacks those that have registered since, whether it was away for
        long or not.
        """
        if self.position != position.NOWHERE:
            self.hold_for(REREGISTRATION_GRACE_S)
            self._restore.begin()

    def _replace(
        self,
        found: dict[core.UpstreamId, Endpoint],
        read: position.Position,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        self.position = read
        is_new = stamp.number > self._last_numbers.get(stamp.origin, 0)
        if is_new:
            self._last_numbers[stamp.origin] = stamp.number
            if self.stamp is None or stamp.read_at > self.stamp.read_at:
                self.stamp = stamp
        change = self._update(
            self._drop_outdated(found), self._update_held(found)
        )
        if is_new:
            for read in self._reading_listeners:
                read()
        return change

    def _update_held(
        self, found: dict[core.UpstreamId, Endpoint]
    ) -> frozenset[core.UpstreamId]:
        """Take note of what is kept though a reading lacks it."""
        missing = self._endpoints.keys() - found.keys()
        self._held = frozenset(missing if self.hold_s > 0 else ())
        return self._held

    def _drop_outdated(
        self, found: dict[core.UpstreamId, Endpoint]
    ) -> dict[core.UpstreamId, Endpoint]:
        """Return a reading without what was said before something known.

        An entry that was written late may be in the registry after a newer
        one; it would have a draining upstream take new work again.
        """
        newest = {}
        for upstream, entry in found.items():
            if entry.life_order >= self._last_order.get(upstream, (0, 0)):
                newest[upstream] = entry
            elif upstream in self._endpoints:
                newest[upstream] = self._endpoints[upstream]
        self._record_orders(newest)
        return newest

    def _list_unconfirmed(
        self, found: dict[core.UpstreamId, Endpoint], origin: str
    ) -> frozenset[core.UpstreamId]:
        """Return those that have left and may be there since a copy is."""
        if not self._restore.is_settling:
            return frozenset()
        return frozenset(
            upstream
            for upstream in found.keys() - self._endpoints.keys()
            if self._last_order.get(upstream) == found[upstream].life_order
            and not self._restore.was_missing(origin, upstream)
        )

    def _record_orders(self, found: dict[core.UpstreamId, Endpoint]) -> None:
        self._last_order.update(
            {name: entry.life_order for name, entry in found.items()}
        )
        excess = len(self._last_order) - len(found) - MAX_DEPARTED_IDS
        if excess > 0:
            gone = [name for name in self._last_order if name not in found]
            for name in gone[:excess]:
                del self._last_order[name]

    def _update(
        self,
        found: dict[core.UpstreamId, Endpoint],
        held: frozenset[core.UpstreamId],
    ) -> DirectoryChange | None:
        """Put what is there in force; tell listeners if it is a change."""
        before = self._endpoints
        kept = {upstream: before[upstream] for upstream in held}
        self._endpoints = {**found, **kept}
        change = self._compare(before, held)
        self._notify(change)
        return change

    def _notify(self, change: DirectoryChange | None) -> None:
        if change is not None:
            for call in self._listeners:
                call(change)

    def _compare(
        self,
        before: dict[core.UpstreamId, Endpoint],
        held: frozenset[core.UpstreamId],
        regroup: bool = False,
    ) -> DirectoryChange | None:
        """Return what has changed; group the upstreams anew if needed."""
        now = self._endpoints
        touched = [
            upstream
            for upstream in before.keys() | now.keys()
            if before.get(upstream) != now.get(upstream)
        ]
        if not (touched or regroup):
            return None
        self._update_cold(touched)
        usable_before = _index_by_id(self._ready)
        self._ready = self._group_ready()
        usable = _index_by_id(self._ready)
        restarted = {
            upstream
            for upstream in usable.keys() & usable_before.keys()
            if not usable[upstream].is_same_life(usable_before[upstream])
        }
        added = usable.keys() - usable_before.keys() | restarted
        left = usable_before.keys() - usable.keys() | restarted
        return DirectoryChange(
            added=tuple(sorted(added)),
            left=tuple(sorted(left)),
            held=tuple(sorted(held)),
            touched=tuple(sorted(touched)),
        )

    def _update_cold(self, touched: Iterable[core.UpstreamId]) -> None:
        """Take over how long changed entries say they are still cold."""
        read_at = self.stamp.read_at if self.stamp else self._clock.now()
        for upstream in touched:
            entry = self._endpoints.get(upstream)
            if entry is None or entry.warmup_left_s <= 0.0:
                self._cold_until.pop(upstream, None)
            else:
                self._cold_until[upstream] = read_at + entry.warmup_left_s

    def _group_ready(
        self,
    ) -> dict[routing.ServiceName, tuple[Endpoint, ...]]:
        grouped: dict[routing.ServiceName, list[Endpoint]] = {}
        for entry in self._endpoints.values():
            if entry.phase is not Phase.READY:
                continue
            if entry.zone not in self._evacuated:
                grouped.setdefault(entry.service, []).append(entry)
        return {service: tuple(found) for service, found in grouped.items()}


def _index_by_id(
    ready: dict[routing.ServiceName, tuple[Endpoint, ...]],
) -> dict[core.UpstreamId, Endpoint]:
    """Return the upstreams of all services by id."""
    return {
        entry.upstream: entry for found in ready.values() for entry in found
    }
