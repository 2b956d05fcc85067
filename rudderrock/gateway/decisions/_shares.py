"""Division of the connections of an upstream among the hosts."""

from collections.abc import Mapping
import dataclasses

from rudderrock import core
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _topology as topology_module

# Fraction of an upstream's connections shared by the hosts for which it is one
# of the nearest of its service, and fraction shared by all other hosts, which
# need it for hedges. With 0.12 for the others, each had less than one
# connection and opened a new one for each hedge, which costs a round trip. The
# remaining connections cover those that are closed but not yet seen as closed
# by the upstream.
NEAR_FRACTION = 0.6
FAR_FRACTION = 0.32
# Maximum number of connections of one host to an upstream. Further requests
# wait at this host, which can still send them to another upstream.
MAX_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShare:
    """Number of connections that one host may open to one upstream.

    `is_unallocated` is set if the host's share is less than one connection.
    One may then be opened when needed, and is closed soon after.
    """

    cap: int
    is_unallocated: bool


def compute_connection_share(
    endpoint: directory.Endpoint,
    siblings: tuple[directory.Endpoint, ...],
    accepted: int,
    counts: Mapping[core.ZoneId, int],
    topology: topology_module.Topology,
) -> ConnectionShare:
    """Return this host's share of an upstream's connections.

    Parameters: `siblings` are the upstreams of the service, `accepted` is the
    number of connections that each accepts from all hosts together, and
    `counts` is the number of hosts in each zone that send to the service.
    """
    near = 0
    far = 0
    for zone, count in counts.items():
        if _is_nearest(zone, endpoint, siblings, topology):
            near += count
        else:
            far += count
    if _is_nearest(topology.zone, endpoint, siblings, topology):
        connections = accepted * NEAR_FRACTION / max(1, near)
    else:
        connections = accepted * FAR_FRACTION / max(1, far)
    cap = min(max(1, int(connections)), MAX_CONNECTIONS)
    return ConnectionShare(cap, connections < 1.0)


def _is_nearest(
    zone: core.ZoneId,
    endpoint: directory.Endpoint,
    siblings: tuple[directory.Endpoint, ...],
    topology: topology_module.Topology,
) -> bool:
    endpoint_distance = topology.compare_zones(zone, endpoint.zone)
    return all(
        endpoint_distance <= topology.compare_zones(zone, each.zone)
        for each in siblings
    )
