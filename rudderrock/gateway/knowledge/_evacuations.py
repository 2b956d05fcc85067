"""Zones that operators have evacuated: nothing more is sent there.

An operator evacuates a zone by a key in the source and gives it back by
deleting the key. What is known of it is a snapshot of all such keys at one
position of the source, so the later of two snapshots is always the truth,
whoever brings it and in whatever order: to merge them is to take the greater
position.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _position as position


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones as of a position of the source."""

    position: position.Position
    zones: frozenset[core.ZoneId]


class EvacuationHolder:
    """The evacuations in force, which never go back to an older snapshot.

    A zone that does not exist is kept like any other and moves nothing.
    Parameters: `known_zones` are those of the settings, to name in the log
    the ones that are not among them.
    """

    def __init__(
        self, known_zones: Iterable[core.ZoneId], events: log.EventLog
    ):
        self.current = Evacuations(position.NOWHERE, frozenset())
        # Where the zones were last seen to be others.
        self.changed_at = position.NOWHERE
        self._known_zones = frozenset(known_zones)
        self._events = events
        self._listeners: list[Callable[[Evacuations], None]] = []

    @property
    def is_known(self) -> bool:
        """Tell whether any snapshot has been learnt."""
        return self.current.position != position.NOWHERE

    def add_listener(self, call: Callable[[Evacuations], None]) -> None:
        """Have `call` called when the zones change, and with the first."""
        self._listeners.append(call)

    def apply(self, found: Evacuations, origin: str) -> None:
        """Take over a snapshot if it is later than the present one."""
        if found.position <= self.current.position:
            return
        was_known = self.is_known
        before, self.current = self.current, found
        if was_known and found.zones == before.zones:
            return
        self.changed_at = found.position
        if found.zones != before.zones:
            self._note_change(before, origin)
        for call in self._listeners:
            call(found)

    def _note_change(self, before: Evacuations, origin: str) -> None:
        zones = self.current.zones
        self._events.record(
            events.LogKind.EVACUATIONS_CHANGED,
            era=self.current.position.era,
            revision=self.current.position.revision,
            begun=sorted(zones - before.zones),
            ended=sorted(before.zones - zones),
            unknown=sorted(zones - self._known_zones),
            origin=origin,
        )
