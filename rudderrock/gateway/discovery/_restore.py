"""Distinguishes entries from a restored backup from new registrations."""

import collections
from collections.abc import Iterable

from rudderrock import core
from rudderrock.gateway.discovery import _era as era


class RestoreTracker:
    """Tracks which departed upstreams a restored backup may list again.

    A restored entry equals the last entry of its upstream, and so does the
    entry of a live upstream that registers again. A restored entry is present
    from the first reading of the era on, whereas a new registration is missing
    from an earlier reading. So an entry that an earlier reading of this era
    lacked is a new registration; any other may come from the backup. Readings
    are tracked per origin because hosts differ in which entries they leave out
    as unconfirmed.
    """

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._until = clock.now()
        self._missing: dict[str, set[core.UpstreamId]] = (
            collections.defaultdict(set)
        )

    @property
    def is_settling(self) -> bool:
        """Return whether entries from the backup may still be listed."""
        return self._clock.now() < self._until

    def begin(self) -> None:
        """Start the settling period that follows a restore."""
        self._until = self._clock.now() + era.RESTORE_SETTLING_S
        self._missing.clear()

    def record_missing(
        self, origin: str, upstreams: Iterable[core.UpstreamId]
    ) -> None:
        """Record the upstreams that a reading from an origin lacked."""
        self._missing[origin].update(upstreams)

    def was_missing(self, origin: str, upstream: core.UpstreamId) -> bool:
        """Return whether a reading of this era from an origin lacked it."""
        return upstream in self._missing[origin]
