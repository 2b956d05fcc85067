"""What a gateway is told about its place, its bounds and its addresses."""

import dataclasses

from rudderrock.gateway.http import _dialect as dialect
from rudderrock.gateway.knowledge import _place as place_module

Address = tuple[str, int]

# Hosts that are taken to share a tier until they have been counted. More
# is safe: each then spends less of what all share.
ASSUMED_HOSTS = 9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Settings of one gateway.

    `extra_ratio`, `extra_window_s` and `extra_slack` bound the arrivals at
    a service beyond the first of each request: in any window of so many
    seconds at most that part of its requests, plus the slack, over all
    hosts. `stop_s` is how long a planned stop may take before the process
    is killed. `cores` is the speed of this host's processor in whole cores and
    `link_bytes_s` that of its link, 0 if unknown; `capacity` compares it with
    other hosts: cores times the bandwidth of the link in Mbit/s. All hosts
    together may send to a cold upstream, in any one second, `warmup_overage`
    times the rate that its service names and `warmup_slack` more. `seeds`
    are where some hosts serve their peers, for a host that starts while the
    source does not answer; they may be out of date.
    """

    host: str
    place: place_module.Place
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    names: dialect.HeaderNames = dialect.HeaderNames()
    extra_ratio: float = 0.2
    extra_window_s: float = 10.0
    extra_slack: float = 20.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
    stop_s: float = 6.0
    cores: float = 1.0
    link_bytes_s: float = 0.0
    capacity: float = 1.0
    assumed_hosts: int = ASSUMED_HOSTS
    seeds: tuple[Address, ...] = ()
