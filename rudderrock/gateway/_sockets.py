"""Division of the sockets that the process may open."""

import dataclasses
import resource

# Descriptors of files, of the event loop and of what the runtime opens.
FILE_DESCRIPTORS = 64
# Sockets of a process that knows no limit.
DEFAULT_SOCKETS = 4096
# Sockets that have been accepted and not been counted or closed yet.
IN_TRANSIT = 64
_MIN_SOCKETS = 32
_CALLERS_FRACTION = 1 / 4
_PEERS_FRACTION = 1 / 8
_PROBES_FRACTION = 1 / 64
_MIN_PROBES = 4
# Fraction of the outgoing connections that leads to upstreams.
_UPSTREAMS_FRACTION = 7 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class SocketShares:
    """Numbers of sockets that each use may have.

    `callers`, `peers`, `probes` and `scrapes` are accepted connections;
    `upstreams` are connections to upstreams. The rest of half of the sockets
    remains for connections to peers and the source.
    """

    callers: int
    peers: int
    probes: int
    scrapes: int
    upstreams: int


def divide_sockets(limit: int) -> SocketShares:
    """Divide the sockets of a process that may have `limit` of them.

    Half of them are for outgoing connections, since each request needs one to
    an upstream at least, and a wide query one to each shard.
    """
    total = max(_MIN_SOCKETS, limit)
    callers = int(total * _CALLERS_FRACTION)
    peers = int(total * _PEERS_FRACTION)
    probes = max(_MIN_PROBES, int(total * _PROBES_FRACTION))
    accepted = callers + peers + 2 * probes + min(IN_TRANSIT, total // 8)
    upstreams = int((total - accepted) * _UPSTREAMS_FRACTION)
    return SocketShares(callers, peers, probes, probes, upstreams)


def find_socket_limit(configured: int) -> int:
    """Return the number of sockets that this process may have.

    `configured` is the number that the settings allow, 0 if unknown. The
    limit of the operating system (getrlimit(2)) counts if it is lower. One
    that cannot be read counts as none.
    """
    limit = configured or DEFAULT_SOCKETS
    try:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return limit
    if soft == resource.RLIM_INFINITY:
        return limit
    return min(limit, soft - FILE_DESCRIPTORS)
