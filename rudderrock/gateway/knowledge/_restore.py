"""Telling what came back with a copy of the source from what is new in it."""

import collections
from collections.abc import Iterable

from rudderrock import core
from rudderrock.gateway.knowledge import _era as era


class RestoreTracker:
    """Which upstreams that had left a copy may have brought back.

    A copy says again what an upstream said last, and so does one that lives
    and registers anew. The one was named from the first reading of the era
    on, the other was missing before; readings are told apart by their origin,
    since hosts differ in what they doubt.
    """

    def __init__(self, clock: core.Clock):
        self._clock = clock
        self._until = clock.now()
        self._missing: dict[str, set[core.UpstreamId]] = (
            collections.defaultdict(set)
        )

    @property
    def is_settling(self) -> bool:
        """Tell whether a copy may still show."""
        return self._clock.now() < self._until

    def begin(self) -> None:
        """Doubt from now on what the source names again."""
        self._until = self._clock.now() + era.RESTORE_SETTLING_S
        self._missing.clear()

    def record_missing(
        self, origin: str, upstreams: Iterable[core.UpstreamId]
    ) -> None:
        """Take note of what a reading of some origin did not name."""
        self._missing[origin].update(upstreams)

    def was_missing(self, origin: str, upstream: core.UpstreamId) -> bool:
        """Tell whether an earlier reading of this era did not name it."""
        return upstream in self._missing[origin]
