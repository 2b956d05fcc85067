"""Choice of the index version for a query."""

from rudderrock import state
from rudderrock.coordination import _dispatch as dispatch

# Results are cached because computing them checks every replica of every
# shard.
_CACHE_TTL_S = 0.05


class VersionChooser:
    """Chooses the version that most shards can probably serve."""

    def __init__(self, dispatcher: dispatch.Dispatcher, clock: state.Clock):
        self._dispatcher = dispatcher
        self._clock = clock
        self._cache: dict[state.CollectionId, tuple[float, dict]] = {}

    def clear_cache(self) -> None:
        """Discard the cached fractions, after they proved wrong."""
        self._cache.clear()

    def choose_placement(
        self,
        collection: state.Collection,
        rejected_versions: set[state.IndexVersion],
    ) -> state.Placement | None:
        """Return the placement of the version to query, or None.

        A placement is the shards and replicas of one version. The version is
        the one that most shards can probably serve, among equals the newest.
        Versions in `rejected_versions` are excluded; None is returned if no
        other is left.
        """
        fractions = self._get_servable_fractions(collection)
        candidates = [
            placement
            for placement in collection.placements
            if placement.version not in rejected_versions
        ]
        if not candidates:
            return None
        return max(
            candidates,
            key=lambda each: (fractions[each.version], each.version),
        )

    def _get_servable_fractions(
        self, collection: state.Collection
    ) -> dict[state.IndexVersion, float]:
        """Return, by version, the fraction of shards that may serve it."""
        now = self._clock.now()
        cached = self._cache.get(collection.collection)
        if cached is not None and cached[0] > now:
            versions = {each.version for each in collection.placements}
            if versions == set(cached[1]):
                return cached[1]
        fractions = {
            placement.version: self._compute_servable_fraction(placement)
            for placement in collection.placements
        }
        entry = (now + _CACHE_TTL_S, fractions)
        self._cache[collection.collection] = entry
        return fractions

    def _compute_servable_fraction(self, placement: state.Placement) -> float:
        servable_count = sum(
            self._dispatcher.probably_holds_version(shard, placement.version)
            for shard in placement.shards
        )
        return servable_count / max(1, len(placement.shards))
