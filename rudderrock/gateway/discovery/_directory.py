"""The upstreams that a host knows, grouped by service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Annotated

from rudderrock import core
from rudderrock.gateway import _decoding as decoding
from rudderrock.gateway.discovery import _position as position
from rudderrock.gateway.discovery import _restore as restore
from rudderrock.gateway.discovery import _routing as routing

# After an outage of the source, upstreams whose registration lapsed register
# again within about two seconds, by the contract of the source. The other
# 0.3 s are for reading their entries.
REREGISTRATION_GRACE_S = 2.3
# A registration lapses after three missed heartbeats of about 1.2 s each. If
# the last reading, by this host or a peer, is at most this old when the source
# answers again, the outage was too short for a live upstream to lose its
# registration; in seconds.
MAX_HARMLESS_OUTAGE_S = 2.2
# Number of departed ids whose last entry is remembered, more than enough for
# 2,400 upstreams that are all replaced once.
MAX_DEPARTED_IDS = 4096


class Phase(enum.Enum):
    """The state that an upstream reports for itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One registered upstream.

    `address` is an IP address and a port. `born` is the Unix time in
    milliseconds at which the upstream started, 0 if unknown. A restarted
    upstream keeps its id, gets a new `born` and has no state from before.
    `sequence` counts the entries that an incarnation has written. Of two
    entries of one id, the one with the greater `incarnation_order` was written
    later, whatever the order in which they arrive. A different `sequence`
    alone is not a change. The upstream is cold for `warmup_left_s` seconds
    from the reading on.
    """

    upstream: Annotated[core.UpstreamId, decoding.TOKEN]
    service: Annotated[routing.ServiceName, decoding.NAME]
    address: tuple[decoding.IpAddress, decoding.Port]
    zone: Annotated[core.ZoneId, decoding.NAME]
    slots: decoding.Slots
    phase: Phase
    born: decoding.Count = 0
    sequence: decoding.Count = dataclasses.field(default=0, compare=False)
    warmup_left_s: decoding.Milliseconds = 0.0

    @property
    def incarnation_order(self) -> tuple[int, int]:
        """Return the key that sorts entries of one id by time of writing."""
        return self.born, self.sequence

    @property
    def incarnation(self) -> core.UpstreamIncarnation:
        """Return an id that is unique to this incarnation."""
        return core.UpstreamIncarnation(f'{self.upstream}/{self.born}')

    def is_same_incarnation(self, other: 'Endpoint') -> bool:
        """Return whether state kept for the other entry is still valid."""
        return (self.born, self.address, self.service) == (
            other.born,
            other.address,
            other.service,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """The upstreams affected by a reading or a change of evacuated zones.

    `added` take new work from now on, `left` no longer do, `held` are missing
    from the reading but kept, and `changed` are all whose entries differ. An
    upstream that has restarted under its id is in `left` for its former
    incarnation and in `added` for the new one.
    """

    added: tuple[core.UpstreamId, ...]
    left: tuple[core.UpstreamId, ...]
    held: tuple[core.UpstreamId, ...]
    changed: tuple[core.UpstreamId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadingStamp:
    """Identifies the reading of the source that data comes from.

    `origin` is the process that made the reading and `number` counts its
    readings. `read_at` is when the reading was made, as a loop time of this
    process, and `hops` counts the hosts that have relayed it. Ages alone are
    not enough: each relay adds a small error, so hosts that ask one another in
    a circle would treat an old reading as fresh.
    """

    origin: str
    number: int
    read_at: float
    hops: int = 0


class Directory:
    """The registered upstreams as of the last reading.

    A reading that follows an outage of the source may lack live upstreams;
    they are kept for the time given to `hold_for`. Upstreams in evacuated
    zones are known but get no new work.
    """

    def __init__(self, clock: core.Clock):
        self.stamp: ReadingStamp | None = None
        self.position = position.NEVER_READ
        self._clock = clock
        self._endpoints: dict[core.UpstreamId, Endpoint] = {}
        self._evacuated: frozenset[core.ZoneId] = frozenset()
        # The newest order seen for each id, including departed ones, so that
        # an older entry is not taken for a new one.
        self._last_order: dict[core.UpstreamId, tuple[int, int]] = {}
        self._restore = restore.RestoreTracker(clock)
        self._cold_until: dict[core.UpstreamId, float] = {}
        self._ready: dict[routing.ServiceName, tuple[Endpoint, ...]] = {}
        self._hold_until = 0.0
        self._held: frozenset[core.UpstreamId] = frozenset()
        # Listed upstreams that had left; their entries may come from a backup
        # and are left out.
        self._unconfirmed: frozenset[core.UpstreamId] = frozenset()
        self._listeners: list[Callable[[DirectoryChange], None]] = []
        self._last_numbers: dict[str, int] = {}
        self._reading_listeners: list[Callable[[], None]] = []

    @property
    def differs_from_reading(self) -> bool:
        """Return whether upstreams are kept or left out despite the reading.

        Kept are upstreams that the last reading lacked, left out are
        unconfirmed ones that it listed. A peer that sends only changes does
        not list either of them again.
        """
        return bool(self._held or self._unconfirmed)

    @property
    def hold_s(self) -> float:
        """Return the seconds for which missing upstreams are still kept."""
        return max(0.0, self._hold_until - self._clock.now())

    @property
    def age_s(self) -> float:
        """Return the age of the last reading in seconds, or -1 if none."""
        if self.stamp is None:
            return -1.0
        return self._clock.now() - self.stamp.read_at

    def add_listener(self, call: Callable[[DirectoryChange], None]) -> None:
        """Register a callback for each change of the directory."""
        self._listeners.append(call)

    def add_reading_listener(self, call: Callable[[], None]) -> None:
        """Register a callback for each reading, changed or not."""
        self._reading_listeners.append(call)

    def get_endpoint(self, upstream: core.UpstreamId) -> Endpoint | None:
        """Return an upstream, ready or draining, or None if unknown."""
        return self._endpoints.get(upstream)

    def list_ready(self, service: routing.ServiceName) -> tuple[Endpoint, ...]:
        """Return the upstreams of a service that take new work."""
        return self._ready.get(service, ())

    def list_all(self) -> tuple[Endpoint, ...]:
        """Return every upstream that is registered or kept."""
        return tuple(self._endpoints.values())

    def get_cold_s(self, upstream: core.UpstreamId) -> float:
        """Return the seconds for which an upstream is still cold, or 0."""
        until = self._cold_until.get(upstream, 0.0)
        return max(0.0, until - self._clock.now())

    def count_cold(self) -> int:
        """Return the number of cold upstreams."""
        now = self._clock.now()
        return sum(until > now for until in self._cold_until.values())

    def mark_cold(self, upstream: core.UpstreamId, seconds: float) -> None:
        """Treat an upstream as cold for at least this long from now."""
        until = self._clock.now() + seconds
        self._cold_until[upstream] = max(
            until, self._cold_until.get(upstream, 0.0)
        )

    def set_evacuated(
        self, zones: frozenset[core.ZoneId]
    ) -> DirectoryChange | None:
        """Replace the set of zones whose upstreams get no new work.

        Return what changed, if anything.
        """
        if zones == self._evacuated:
            return None
        self._evacuated = zones
        change = self._update_ready(self._endpoints, self._held, regroup=True)
        self._notify(change)
        return change

    def hold_for(self, seconds: float) -> None:
        """Keep upstreams that readings lack for this long from now."""
        until = self._clock.now() + seconds
        self._hold_until = max(self._hold_until, until)

    def apply_reading(
        self,
        endpoints: Iterable[Endpoint],
        reading_position: position.Position,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        """Apply a complete reading; return what changed, if anything.

        A reading older than the last one is ignored. The first reading after a
        restore of the source is newer even if its revision is smaller, since
        its era is greater.
        """
        if reading_position < self.position:
            return None
        if reading_position.era != self.position.era:
            self._begin_era()
        found = {each.upstream: each for each in endpoints}
        self._unconfirmed = self._list_unconfirmed(found, stamp.origin)
        for upstream in self._unconfirmed:
            del found[upstream]
        change = self._replace(found, reading_position, stamp)
        if self._restore.is_settling and stamp.hops <= 1:
            # A host that relays a reading leaves out the entries that it
            # treats as unconfirmed, so only a reading made here or received
            # directly from the host that made it shows what the source lacked.
            gone = self._last_order.keys() - found.keys() - self._unconfirmed
            self._restore.record_missing(stamp.origin, gone)
        return change

    def apply_changes(
        self,
        endpoints: Iterable[Endpoint],
        left: Iterable[core.UpstreamId],
        reading_position: position.Position,
        stamp: ReadingStamp,
    ) -> DirectoryChange | None:
        """Apply changes that a peer sent; return what changed, if anything.

        Changes from another era are ignored, since they do not list the
        entries that a restored source has lost. Entries in changes are new at
        the peer, so all of them are applied, none as unconfirmed.
        """
        if (
            reading_position < self.position
            or reading_position.era != self.position.era
        ):
            return None
        found = dict(self._endpoints)
        for upstream in left:
            found.pop(upstream, None)
        for each in endpoints:
            found[each.upstream] = each
        return self._replace(found, reading_position, stamp)

    def _begin_era(self) -> None:
        """Keep missing upstreams for a while after a restore of the source.

        A restored source lacks upstreams that registered after the backup,
        however short its outage was.
        """
        if self.position != position.NEVER_READ:
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
        """Update and return the ids kept although the reading lacks them."""
        missing = self._endpoints.keys() - found.keys()
        self._held = frozenset(missing if self.hold_s > 0 else ())
        return self._held

    def _drop_outdated(
        self, found: dict[core.UpstreamId, Endpoint]
    ) -> dict[core.UpstreamId, Endpoint]:
        """Return the entries with outdated ones replaced or removed.

        A delayed write may put an old entry into the source after a newer
        one. It would make a draining upstream take new work again.
        """
        newest = {}
        for upstream, entry in found.items():
            if entry.incarnation_order >= self._last_order.get(
                upstream, (0, 0)
            ):
                newest[upstream] = entry
            elif upstream in self._endpoints:
                newest[upstream] = self._endpoints[upstream]
        self._record_orders(newest)
        return newest

    def _list_unconfirmed(
        self, found: dict[core.UpstreamId, Endpoint], origin: str
    ) -> frozenset[core.UpstreamId]:
        """Return departed upstreams that a backup may have restored."""
        if not self._restore.is_settling:
            return frozenset()
        return frozenset(
            upstream
            for upstream in found.keys() - self._endpoints.keys()
            if self._last_order.get(upstream)
            == found[upstream].incarnation_order
            and not self._restore.was_missing(origin, upstream)
        )

    def _record_orders(self, found: dict[core.UpstreamId, Endpoint]) -> None:
        self._last_order.update(
            {name: entry.incarnation_order for name, entry in found.items()}
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
        """Replace the entries; notify listeners if something changed."""
        before = self._endpoints
        kept = {upstream: before[upstream] for upstream in held}
        self._endpoints = {**found, **kept}
        change = self._update_ready(before, held)
        self._notify(change)
        return change

    def _notify(self, change: DirectoryChange | None) -> None:
        if change is not None:
            for call in self._listeners:
                call(change)

    def _update_ready(
        self,
        before: dict[core.UpstreamId, Endpoint],
        held: frozenset[core.UpstreamId],
        regroup: bool = False,
    ) -> DirectoryChange | None:
        """Regroup ready upstreams and update cold ones; return the changes."""
        now = self._endpoints
        changed = [
            upstream
            for upstream in before.keys() | now.keys()
            if before.get(upstream) != now.get(upstream)
        ]
        if not (changed or regroup):
            return None
        self._update_cold(changed)
        usable_before = _index_by_id(self._ready)
        self._ready = self._group_ready()
        usable = _index_by_id(self._ready)
        restarted = {
            upstream
            for upstream in usable.keys() & usable_before.keys()
            if not usable[upstream].is_same_incarnation(
                usable_before[upstream]
            )
        }
        added = usable.keys() - usable_before.keys() | restarted
        left = usable_before.keys() - usable.keys() | restarted
        return DirectoryChange(
            added=tuple(sorted(added)),
            left=tuple(sorted(left)),
            held=tuple(sorted(held)),
            changed=tuple(sorted(changed)),
        )

    def _update_cold(self, changed: Iterable[core.UpstreamId]) -> None:
        """Update the end of the warm-up of each changed entry."""
        read_at = self.stamp.read_at if self.stamp else self._clock.now()
        for upstream in changed:
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
