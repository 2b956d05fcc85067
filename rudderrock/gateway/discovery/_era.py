"""Detection of a source that was restored from an older backup."""

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _position as position

# For this long after a restore, in seconds, the source may list entries that
# have left and lack entries that exist. Within this time operators and
# upstreams repeat lost writes, and the leases of stopped upstreams expire
# (three missed heartbeats of about 1.2 s each, and up to a second until the
# next reading).
RESTORE_SETTLING_S = 5.0


class SourceEra:
    """The latest known era of the source.

    An era is the number of times that the source has been restored, see
    `Position`. `restore_count` counts the changes of era that this host has
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

        `known`, the position of the upstreams in force here, is logged. Return
        whether the era is later than the latest recorded one, which means that
        the source was restored from a backup. It is false for the first one.
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
