"""Settings of a gateway: its zone, limits and addresses."""

import dataclasses

from rudderrock.gateway.discovery import _topology as topology_module
from rudderrock.gateway.http import _header_names as header_names

Address = tuple[str, int]

# Number of hosts assumed until they have been counted. A value above the real
# number is safe, because each host then uses a smaller share of the common
# limits. With a value below it, the hosts together may exceed the limits until
# they have been counted.
ASSUMED_HOSTS = 9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of one gateway.

    `extra_ratio`, `extra_window_s` and `extra_slack` limit the extra requests
    to a service, which are retries and hedges. In any window of
    `extra_window_s` seconds all hosts together may send `extra_ratio` times
    the number of first requests, plus `extra_slack`.

    `warmup_overage` and `warmup_slack` limit the requests to a cold upstream.
    In any second all hosts together may send it `warmup_overage` times the
    warm-up rate of its service, plus `warmup_slack`. An overage of 1
    without slack allows exactly that rate.

    `quota_window_s`, `quota_overage` and `quota_slack` limit the requests of
    a team. In any window of `quota_window_s` seconds, all hosts together may
    run `quota_overage` times the quota of the team more than its quota, plus
    `quota_slack`. Without overage and slack, no request may exceed the quota.

    The process is killed from outside `stop_s` seconds after a graceful
    shutdown has started. `cores` is the speed of this host's processor in
    units of one whole core, and may be a fraction. `link_bytes_s` is the
    bandwidth of its link in bytes per second, 0 if unknown.
    `capacity` is used to compare hosts: cores times link bandwidth in Mbit/s.
    `seeds` are addresses at which some hosts serve their peers, for a host
    that starts while the source does not answer; they may be outdated.
    `memory_limit_bytes` is the size at which the process is killed from
    outside, 0 if unknown.
    `socket_limit` is the number of sockets that the process may have, 0 if
    unknown.
    `build_id` identifies the sources that the program was built from, and is
    empty if that is unknown.
    """

    host: str
    place: topology_module.Topology
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    names: header_names.HeaderNames = header_names.HeaderNames()
    extra_ratio: float = 0.2
    extra_window_s: float = 10.0
    extra_slack: float = 20.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
    quota_window_s: float = 1.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    stop_s: float = 6.0
    cores: float = 1.0
    link_bytes_s: float = 0.0
    capacity: float = 1.0
    memory_limit_bytes: int = 0
    socket_limit: int = 0
    assumed_hosts: int = ASSUMED_HOSTS
    seeds: tuple[Address, ...] = ()
    build_id: str = ''
