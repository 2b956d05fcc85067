"""Zone of a host, distances between zones, and data residency."""

import dataclasses
from typing import NewType

from rudderrock import core

RegionId = NewType('RegionId', str)

# Distance to another zone of the same region, and to a zone of another region.
SAME_REGION = 1
FARTHEST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Anywhere:
    """Requests may be handled in every region."""


@dataclasses.dataclass(frozen=True, slots=True)
class Within:
    """Requests may be handled and stored only in these regions."""

    regions: frozenset[RegionId]


# Data residency: the regions in which a request may be handled.
Residency = Anywhere | Within


@dataclasses.dataclass(frozen=True, slots=True)
class Topology:
    """Availability zone of this host, and the region of each zone."""

    zone: core.ZoneId
    regions: dict[core.ZoneId, RegionId]

    def get_distance(self, zone: core.ZoneId) -> int:
        """Return the distance from this host's zone, 0 to 2."""
        return self.compare_zones(self.zone, zone)

    def allows(self, residency: Residency, zone: core.ZoneId) -> bool:
        """Return whether a request may be handled in a zone.

        A zone without a known region is not part of any allowed region.
        """
        match residency:
            case Anywhere():
                return True
            case Within(regions=regions):
                return self.regions.get(zone) in regions

    def list_unknown(self, residency: Residency) -> list[RegionId]:
        """Return the allowed regions that contain no configured zone."""
        match residency:
            case Anywhere():
                return []
            case Within(regions=regions):
                return sorted(regions - frozenset(self.regions.values()))

    def compare_zones(self, one: core.ZoneId, other: core.ZoneId) -> int:
        """Return the distance between two zones.

        It is 0 for the same zone, 1 for two zones of the same region, else 2.
        A zone without a known region is a region of its own.
        """
        if one == other:
            return 0
        region = self.regions.get(one, one)
        return (
            SAME_REGION
            if region == self.regions.get(other, other)
            else FARTHEST
        )
