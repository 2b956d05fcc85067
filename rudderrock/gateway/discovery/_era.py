"""Detection of a source that was restored from an older backup."""

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _position as position

# For this long after a restore, in seconds, the source may list entries that
# have left and lack entries that exist. In that time operators and upstreams
# write again, leases of upstreams that have stopped expire after three missed
# heartbeats of about 1.2 s each, and there is a reading every second.
RESTORE_SETTLING_S = 5.0


class SourceEra:
    """The latest known era of the source.

    `restore_count` counts the restores of the source that this host has
    observed.
    """

    def __init__(self, events: log.EventLog):
        self.current = position.NEVER_READ.era
        self.restore_count = 0
        self._events = events

    def record_position(
        self, read: position.Position, known: position.Position, origin: str
    ) -> bool:
        """Record the position of a reading, made here or by a peer.

        `known` is the position of the upstreams in force here. Return whether
        the source has been restored from a backup since then.
        """
        if read.era <= self.current:
            return False
        before, self.current = self.current, read.era
        if before == position.NEVER_READ.era:
            return False
        self.restore_count += 1
        self._events.record(
            events.LogKind.SOURCE_RETURNED,
            era=read.era,
            revision=read.revision,
            era_before=before,
            revision_before=known.revision,
            origin=origin,
        )
        return True
