"""Rate limit for upstreams that are cold.

An upstream that has just started can serve only a few requests a second from
all hosts together, and fails above that rate. Hosts do not coordinate before
each request. Instead, a single host, the sender, may use the whole rate of a
cold upstream, and the other hosts send nothing to it. The sender is the host
with the greatest hash of host and upstream (rendezvous hashing, Thaler and
Ravishankar 1998), which every host computes from the same names. The rate
cannot be divided among the hosts: with 60 hosts and 11 requests a second, the
share of a host is less than one request, so all would send nothing or one
request each in the same second.
"""

import collections
from collections.abc import Callable
import math

from rudderrock import core
from rudderrock.gateway.discovery import _directory as directory
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _routing as routing

# Fraction of the allowed rate that the sender uses. While hosts join and
# leave, two hosts may have different lists of hosts and both act as the
# sender.
SENDER_FRACTION = 0.5
# Requests sent within one second may arrive within a shorter time. This
# margin, in seconds, covers the longest round trip between regions and delays
# by a busy core.
JITTER_S = 0.1
_WINDOW_S = 1.0 + JITTER_S


class ColdLimits:
    """Decide whether this host may send a request to a cold upstream.

    Parameters: in any second all hosts together may send `overage` times the
    warm-up rate of the service, plus `slack` requests. `list_senders` returns
    the hosts that may send to an upstream, and `get_service` returns the
    settings of a service, or None if the service is unknown. `sent` counts
    the requests sent to cold upstreams, and `held_back` how often `admits`
    returned False.
    """

    def __init__(
        self,
        upstream_directory: directory.Directory,
        clock: core.Clock,
        own: core.HostId,
        overage: float,
        slack: float,
        list_senders: Callable[[directory.Endpoint], list[core.HostId]],
        get_service: Callable[[routing.ServiceName], routing.Service | None],
    ):
        self.sent = 0
        self.held_back = 0
        self._directory = upstream_directory
        self._clock = clock
        self._own = own
        self._overage = overage
        self._slack = slack
        self._list_senders = list_senders
        self._get_service = get_service
        self._sent_at: dict[core.UpstreamId, collections.deque[float]] = {}

    def admits(self, endpoint: directory.Endpoint) -> bool:
        """Return whether another request may be sent to an upstream now.

        Counts the calls that return False.
        """
        if self._directory.get_cold_s(endpoint.upstream) <= 0.0:
            self._sent_at.pop(endpoint.upstream, None)
            return True
        max_rate = self._get_max_rate(endpoint)
        if max_rate == math.inf:
            return True
        admitted = (
            self._is_sender(endpoint)
            and self._count_recent(endpoint.upstream) < max_rate
        )
        self.held_back += not admitted
        return admitted

    def record_sent(self, endpoint: directory.Endpoint) -> None:
        """Record that a request is sent."""
        if self._directory.get_cold_s(endpoint.upstream) <= 0.0:
            return
        self.sent += 1
        sent_times = self._sent_at.setdefault(
            endpoint.upstream, collections.deque()
        )
        sent_times.append(self._clock.now())

    def _get_max_rate(self, endpoint: directory.Endpoint) -> float:
        """Return the requests a second that the sender may send."""
        service = self._get_service(endpoint.service)
        if service is None or service.warmup_per_s <= 0.0:
            return math.inf
        allowed = service.warmup_per_s * self._overage + self._slack
        return math.floor(SENDER_FRACTION * allowed)

    def _is_sender(self, endpoint: directory.Endpoint) -> bool:
        senders = self._list_senders(endpoint)
        best = max(
            senders,
            key=lambda host: fleet.rank_pair(endpoint.upstream, host),
            default=self._own,
        )
        return best == self._own

    def _count_recent(self, upstream: core.UpstreamId) -> int:
        sent_times = self._sent_at.get(upstream)
        if sent_times is None:
            return 0
        since = self._clock.now() - _WINDOW_S
        while sent_times and sent_times[0] < since:
            sent_times.popleft()
        return len(sent_times)
