"""Where a host is, and how far other zones are from it."""

import dataclasses

from rudderrock import state

# The distance of a zone in another region.
FARTHEST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this host is, and the region of each availability zone."""

    zone: state.ZoneId
    regions: dict[state.ZoneId, str]

    def get_distance(self, zone: state.ZoneId) -> int:
        """Return 0 for the same zone, 1 for the same region, else 2."""
        return self.compare_zones(self.zone, zone)

    def compare_zones(self, one: state.ZoneId, other: state.ZoneId) -> int:
        """Return the distance between two zones, 0 to 2."""
        if one == other:
            return 0
        region = self.regions.get(one, one)
        return 1 if region == self.regions.get(other, other) else FARTHEST
