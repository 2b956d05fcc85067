"""Where a host is, and how far other zones are from it."""

import dataclasses

from rudderrock import core

# Distances of another zone in the same region, and of one in another.
SAME_REGION = 1
FARTHEST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this host is, and the region of each availability zone."""

    zone: core.ZoneId
    regions: dict[core.ZoneId, str]

    def get_distance(self, zone: core.ZoneId) -> int:
        """Return 0 for the same zone, 1 for the same region, else 2."""
        return self.compare_zones(self.zone, zone)

    def compare_zones(self, one: core.ZoneId, other: core.ZoneId) -> int:
        """Return the distance between two zones, 0 to 2."""
        if one == other:
            return 0
        region = self.regions.get(one, one)
        return (
            SAME_REGION
            if region == self.regions.get(other, other)
            else FARTHEST
        )
