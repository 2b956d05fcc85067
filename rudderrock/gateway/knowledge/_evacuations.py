"""Zones that operators have evacuated: nothing more is sent there.

An operator evacuates a zone by a key in the source and gives it back by
deleting the key. What is known of it is a snapshot of all such keys at one
position of the source, so the later of two snapshots is always the truth,
whoever brings it and in whatever order: to merge them is to take the greater
position.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _era as era
from rudderrock.gateway.knowledge import _position as position

NOT_TOLD = -1
# Evacuations that have ended and are remembered.
MAX_ENDED_EVACUATIONS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones as of a position of the source.

    `written` gives for each zone the revision at which an operator evacuated
    it, `NOT_TOLD` where a host of the version before passed it on.
    """

    position: position.Position
    written: Mapping[core.ZoneId, int]

    @property
    def zones(self) -> frozenset[core.ZoneId]:
        """Return the zones alone."""
        return frozenset(self.written)


class EvacuationHolder:
    """The evacuations in force, which never go back to an older snapshot.

    `current` is the last snapshot, which other hosts are told, and `zones`
    are in force. They differ for a while after the source has come back from
    a copy: what the copy lacks goes on, and what was taken back since does
    not begin again, until operators have had the time to write again.

    A zone that does not exist is kept like any other and moves nothing.
    Parameters: `known_zones` are those of the settings, to name in the log
    the ones that are not among them.
    """

    def __init__(
        self,
        known_zones: Iterable[core.ZoneId],
        clock: core.Clock,
        events: log.EventLog,
    ):
        self.current = Evacuations(position.NOWHERE, {})
        self.zones: frozenset[core.ZoneId] = frozenset()
        # Where the snapshots were last seen to differ.
        self.changed_at = position.NOWHERE
        self._known_zones = frozenset(known_zones)
        self._clock = clock
        self._events = events
        # At which revision those had been written that have ended.
        self._ended: dict[core.ZoneId, int] = {}
        # Zones on which the last snapshot is not believed yet.
        self._unconfirmed: frozenset[core.ZoneId] = frozenset()
        self._unconfirmed_until = clock.now()
        self._listeners: list[Callable[[Evacuations], None]] = []

    @property
    def is_known(self) -> bool:
        """Tell whether any snapshot has been learnt."""
        return self.current.position != position.NOWHERE

    def add_listener(self, call: Callable[[Evacuations], None]) -> None:
        """Have `call` called when the zones in force change, and at first."""
        self._listeners.append(call)

    def apply(self, found: Evacuations, origin: str) -> None:
        """Take over a snapshot if it is later than the present one."""
        if found.position <= self.current.position:
            return
        is_first = not self.is_known
        before, self.current = self.current, found
        if is_first or found.written != before.written:
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
        """Believe the last snapshot once operators have had their time."""
        if self._unconfirmed and self._clock.now() >= self._unconfirmed_until:
            self._unconfirmed = frozenset()
            self._update_zones('not written again')

    def _record_ended(self, before: Evacuations, found: Evacuations) -> None:
        for zone in before.zones - found.zones - self._unconfirmed:
            self._ended.pop(zone, None)
            self._ended[zone] = before.written[zone]
        while len(self._ended) > MAX_ENDED_EVACUATIONS:
            del self._ended[next(iter(self._ended))]

    def _list_unconfirmed(self, found: Evacuations) -> frozenset[core.ZoneId]:
        """Return the zones of which a copy may not know the last word.

        It lacks an evacuation that is in force, or has the very one that has
        ended, by the revision at which it was written.
        """
        restored = {
            zone
            for zone in found.zones - self.zones
            if self._ended.get(zone) == found.written[zone]
        }
        return (self.zones - found.zones) | restored

    def _update_zones(self, origin: str, is_first: bool = False) -> None:
        before = self.zones
        kept = before & self._unconfirmed
        self.zones = (self.current.zones - self._unconfirmed) | kept
        if self.zones != before:
            self._log_change(before, origin)
        if is_first or self.zones != before:
            written = self.current.written
            in_force = Evacuations(
                self.current.position,
                {zone: written.get(zone, NOT_TOLD) for zone in self.zones},
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
