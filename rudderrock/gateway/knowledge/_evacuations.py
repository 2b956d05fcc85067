"""Zones that operators have evacuated: nothing more is sent there.

An operator evacuates a zone by a key in the source and gives it back by
deleting the key. What is known of it is a snapshot of all such keys at one
revision of the source, so the later of two snapshots is always the truth,
whoever brings it and in whatever order: to merge them is to take the greater
revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from rudderrock import core
from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log

# The revision of a host that has learnt nothing yet.
UNKNOWN = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones as of a revision of the source."""

    revision: int
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
        self.current = Evacuations(UNKNOWN, frozenset())
        # The revision at which the zones were last seen to be others.
        self.changed_at = UNKNOWN
        self._known_zones = frozenset(known_zones)
        self._events = events
        self._listeners: list[Callable[[Evacuations], None]] = []

    @property
    def is_known(self) -> bool:
        """Tell whether any snapshot has been learnt."""
        return self.current.revision != UNKNOWN

    def add_listener(self, call: Callable[[Evacuations], None]) -> None:
        """Have `call` called when the zones change, and with the first."""
        self._listeners.append(call)

    def apply(self, found: Evacuations, origin: str) -> None:
        """Take over a snapshot if it is later than the present one."""
        if found.revision <= self.current.revision:
            return
        before, self.current = self.current, found
        if before.revision != UNKNOWN and found.zones == before.zones:
            return
        self.changed_at = found.revision
        if found.zones != before.zones:
            self._note_change(before, origin)
        for call in self._listeners:
            call(found)

    def _note_change(self, before: Evacuations, origin: str) -> None:
        zones = self.current.zones
        self._events.record(
            events.LogKind.EVACUATIONS_CHANGED,
            revision=self.current.revision,
            begun=sorted(zones - before.zones),
            ended=sorted(before.zones - zones),
            unknown=sorted(zones - self._known_zones),
            origin=origin,
        )
