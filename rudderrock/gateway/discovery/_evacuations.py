"""Zones that operators have evacuated and that get no more requests.

An operator evacuates a zone by writing a key to the source and ends the
evacuation by deleting the key. A snapshot holds all such keys at one position
of the source. Snapshots from any host and in any order are merged by taking
the one with the greatest position.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _era as era
from rudderrock.gateway.discovery import _position as position

UNKNOWN_REVISION = -1
# Number of ended evacuations that are remembered.
MAX_ENDED_EVACUATIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones at a position of the source.

    `revisions` maps each zone to the revision at which an operator evacuated
    it, or to `UNKNOWN_REVISION` if a peer of the previous version sent no
    revision.
    """

    position: position.Position
    revisions: Mapping[core.ZoneId, int]

    @property
    def zones(self) -> frozenset[core.ZoneId]:
        """Return the ids of the evacuated zones."""
        return frozenset(self.revisions)


class EvacuationHolder:
    """The evacuations in force, never replaced by an older snapshot.

    `current` is the latest snapshot, which is sent to peers, and `zones` are
    the zones in force. The two differ for a while after the source was
    restored from a backup: an evacuation that the backup lacks stays in force,
    and one that ended after the backup does not start again, until operators
    have had time to repeat their changes.

    A zone that does not exist is kept like any other and has no effect.
    Parameters: `known_zones` are the zones of the settings; evacuated zones
    that are not among them are named in the log.
    """

    def __init__(
        self,
        known_zones: Iterable[core.ZoneId],
        clock: core.Clock,
        events: log.EventLog,
    ):
        self.current = Evacuations(position.NEVER_READ, {})
        self.zones: frozenset[core.ZoneId] = frozenset()
        # The position of the last snapshot that differed from the one before
        # it.
        self.changed_at = position.NEVER_READ
        self._known_zones = frozenset(known_zones)
        self._clock = clock
        self._events = events
        # The revision at which each ended evacuation was written.
        self._ended: dict[core.ZoneId, int] = {}
        # Zones for which the last snapshot does not apply yet.
        self._unconfirmed: frozenset[core.ZoneId] = frozenset()
        self._unconfirmed_until = clock.now()
        self._listeners: list[Callable[[Evacuations], None]] = []

    @property
    def is_known(self) -> bool:
        """Return whether any snapshot has been received."""
        return self.current.position != position.NEVER_READ

    def add_listener(self, call: Callable[[Evacuations], None]) -> None:
        """Register a callback for the evacuations in force.

        It is called for the first snapshot and after each change of the zones
        in force.
        """
        self._listeners.append(call)

    def apply(self, found: Evacuations, origin: str) -> None:
        """Apply a snapshot if it is later than the current one."""
        if found.position <= self.current.position:
            return
        is_first = not self.is_known
        before, self.current = self.current, found
        if is_first or found.revisions != before.revisions:
            self.changed_at = found.position
        if is_first or found.position.era == before.position.era:
            self._record_ended(before, found)
            self._unconfirmed = (
                self._list_unconfirmed(found) & self._unconfirmed
            )
        else:
            self._unconfirmed = self._list_unconfirmed(found)
            self._unconfirmed_until = (
                self._clock.now() + era.RESTORE_SETTLING_S
            )
        self._update_zones(origin, is_first)

    def expire_unconfirmed(self) -> None:
        """Apply the last snapshot in full after the settling period."""
        if self._unconfirmed and self._clock.now() >= self._unconfirmed_until:
            self._unconfirmed = frozenset()
            self._update_zones('end of settling period')

    def _record_ended(self, before: Evacuations, found: Evacuations) -> None:
        for zone in before.zones - found.zones - self._unconfirmed:
            self._ended.pop(zone, None)
            self._ended[zone] = before.revisions[zone]
        while len(self._ended) > MAX_ENDED_EVACUATIONS:
            del self._ended[next(iter(self._ended))]

    def _list_unconfirmed(self, found: Evacuations) -> frozenset[core.ZoneId]:
        """Return the zones whose latest change a restored backup may lack.

        The backup lacks an evacuation that is in force, or it lists one that
        has ended, which is recognised by the revision at which it was written.
        """
        restored = {
            zone
            for zone in found.zones - self.zones
            if self._ended.get(zone) == found.revisions[zone]
        }
        return (self.zones - found.zones) | restored

    def _update_zones(self, origin: str, is_first: bool = False) -> None:
        before = self.zones
        kept = before & self._unconfirmed
        self.zones = (self.current.zones - self._unconfirmed) | kept
        if self.zones != before:
            self._log_change(before, origin)
        if is_first or self.zones != before:
            revisions = self.current.revisions
            in_force = Evacuations(
                self.current.position,
                {
                    zone: revisions.get(zone, UNKNOWN_REVISION)
                    for zone in self.zones
                },
            )
            for call in self._listeners:
                call(in_force)

    def _log_change(self, before: frozenset[core.ZoneId], origin: str) -> None:
        self._events.record(
            events.LogKind.EVACUATIONS_CHANGED,
            era=self.current.position.era,
            revision=self.current.position.revision,
            begun=sorted(self.zones - before),
            ended=sorted(before - self.zones),
            unknown=sorted(self.zones - self._known_zones),
            origin=origin,
        )
