"""Log of the entries that can't be used."""

from collections.abc import Iterable

from rudderrock.gateway import _events as events
from rudderrock.gateway import _log as log

# Maximum number of lines about the entries of one reading.
MAX_LINES = 20


class RejectedEntries:
    """Logs each unusable entry of a listing once while it lasts."""

    def __init__(self, event_log: log.EventLog):
        self._events = event_log
        # The problems in the last reading of each listing.
        self._problems: dict[str, frozenset[str]] = {}

    def record(self, listing: str, problems: Iterable[str]) -> None:
        """Log the problems that the previous reading did not have.

        `listing` tells the readings of hosts from those of upstreams.
        """
        found = frozenset(problems)
        new = sorted(found - self._problems.get(listing, frozenset()))
        self._problems[listing] = found
        for problem in new[:MAX_LINES]:
            self._events.record(events.LogKind.ENTRY_REJECTED, problem=problem)
        if len(new) > MAX_LINES:
            count = len(new) - MAX_LINES
            self._events.record(
                events.LogKind.ENTRY_REJECTED,
                problem=f'{count} more entries of the {listing}',
            )
