"""Noticing that the source has come back from an older copy."""

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.knowledge import _position as position

# For so long after the source has come back, in seconds, it may name what has
# left and lack what is there: operators and upstreams write again, leases of
# what does not live end three heartbeats of some 1.2 s after it, and a reading
# comes each second.
RESTORE_SETTLING_S = 5.0


class SourceEra:
    """The era of the source, as far as it is known here.

    `returns` counts how often this host has seen it rise.
    """

    def __init__(self, events: log.EventLog):
        self.current = position.NOWHERE.era
        self.returns = 0
        self._events = events

    def note(
        self, read: position.Position, known: position.Position, origin: str
    ) -> bool:
        """Take note of where something was read, or a host has read it.

        `known` is the position of the upstreams that are in force here.
        Tells whether the source has come back since.
        """
        if read.era <= self.current:
            return False
        before, self.current = self.current, read.era
        if before == position.NOWHERE.era:
            return False
        self.returns += 1
        self._events.record(
            events.LogKind.SOURCE_RETURNED,
            era=read.era,
            revision=read.revision,
            era_before=before,
            revision_before=known.revision,
            origin=origin,
        )
        return True
