"""Where a host is, how far other zones are, and where data may be."""

import dataclasses
from typing import NewType

from rudderrock import core

RegionId = NewType('RegionId', str)

# Distances of another zone in the same region, and of one in another.
SAME_REGION = 1
FARTHEST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Anywhere:
    """Requests may be handled in every region."""


@dataclasses.dataclass(frozen=True, slots=True)
class Within:
    """Requests may be handled and kept in some regions only."""

    regions: frozenset[RegionId]


# Where a request may be handled: data residency, as the field calls it.
Residency = Anywhere | Within


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where this host is, and the region of each availability zone."""

    zone: core.ZoneId
    regions: dict[core.ZoneId, RegionId]

    def get_distance(self, zone: core.ZoneId) -> int:
        """Return 0 for the same zone, 1 for the same region, else 2."""
        return self.compare_zones(self.zone, zone)

    def allows(self, residency: Residency, zone: core.ZoneId) -> bool:
        """Tell whether a request may be handled in a zone.

        A zone whose region is not known is outside of every region.
        """
        match residency:
            case Anywhere():
                return True
            case Within(regions=regions):
                return self.regions.get(zone) in regions

    def list_unknown(self, residency: Residency) -> list[RegionId]:
        """Return the regions that no zone of the settings is in."""
        match residency:
            case Anywhere():
                return []
            case Within(regions=regions):
                return sorted(regions - frozenset(self.regions.values()))

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
