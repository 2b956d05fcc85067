"""How the connections that an upstream accepts are shared among hosts."""

from collections.abc import Mapping
import dataclasses

from rudderrock import core
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _place as place_module

# Parts of an upstream's connections for the hosts to which it is one of the
# nearest of its service, and for all others, who need it for hedges: with
# 0.12 they had less than one each, and had to open one, which costs a way
# there and back, for each hedge. What remains is for connections that the
# upstream has not yet seen closed.
NEAR_PART = 0.6
FAR_PART = 0.32
# What one host opens to an upstream at most; more waits here, where it can
# still be taken elsewhere.
MOST_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LinkShare:
    """What one host may open to one upstream.

    `is_spare` tells that the host's share is less than one connection, so
    that one may be opened in need and is not kept.
    """

    cap: int
    is_spare: bool


def share_links(
    endpoint: directory.Endpoint,
    siblings: tuple[directory.Endpoint, ...],
    accepted: int,
    counts: Mapping[core.ZoneId, int],
    place: place_module.Place,
) -> LinkShare:
    """Return this host's share of an upstream's connections.

    Parameters: `siblings` are the upstreams of the service, `accepted`
    what each accepts from all hosts together, `counts` how many hosts of
    each zone send to the service.
    """
    near = 0
    far = 0
    for zone, count in counts.items():
        if _is_nearest(zone, endpoint, siblings, place):
            near += count
        else:
            far += count
    if _is_nearest(place.zone, endpoint, siblings, place):
        part = accepted * NEAR_PART / max(1, near)
    else:
        part = accepted * FAR_PART / max(1, far)
    cap = min(max(1, int(part)), MOST_CONNECTIONS)
    return LinkShare(cap, part < 1.0)


def _is_nearest(
    zone: core.ZoneId,
    endpoint: directory.Endpoint,
    siblings: tuple[directory.Endpoint, ...],
    place: place_module.Place,
) -> bool:
    own = place.compare_zones(zone, endpoint.zone)
    return all(
        own <= place.compare_zones(zone, each.zone) for each in siblings
    )
