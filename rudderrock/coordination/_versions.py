"""Choice of the index version for a query."""

from rudderrock import state
from rudderrock.coordination import _dispatch as dispatch

# Results are cached because computing them checks every replica of every
# shard.
_SERVABLE_MEMORY_S = 0.05


class VersionChooser:
    """Chooses the version that the most shards can probably serve."""

    def __init__(self, dispatcher: dispatch.Dispatcher, clock: state.Clock):
        self._dispatcher = dispatcher
        self._clock = clock
        self._servable: dict[state.CollectionId, tuple[float, dict]] = {}

    def forget(self) -> None:
        """Discard the cached fractions, after they proved wrong."""
        self._servable.clear()

    def choose_placement(
        self,
        collection: state.Collection,
        given_up: set[state.IndexVersion],
    ) -> state.Placement | None:
        """Return the placement that the most shards can probably serve.

        Among equals, the newest version is returned. Versions in `given_up`
        are excluded; None is returned if no other is left.
        """
        servable = self._count_servable(collection)
        candidates = [
            placement
            for placement in collection.placements
            if placement.version not in given_up
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda each: (servable[each.version], each.version),
        )

    def _count_servable(
        self, collection: state.Collection
    ) -> dict[state.IndexVersion, float]:
        """Return the fraction of shards that can serve each version."""
        now = self._clock.now()
        known = self._servable.get(collection.collection)
        if known is not None and known[0] > now:
            versions = {each.version for each in collection.placements}
            if versions == set(known[1]):
                return known[1]
        servable = {
            placement.version: self._measure(placement)
            for placement in collection.placements
        }
        fresh = (now + _SERVABLE_MEMORY_S, servable)
        self._servable[collection.collection] = fresh
        return servable

    def _measure(self, placement: state.Placement) -> float:
        able = sum(
            self._dispatcher.seems_to_serve(shard, placement.version)
            for shard in placement.shards
        )
        return able / max(1, len(placement.shards))
