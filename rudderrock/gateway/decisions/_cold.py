"""How much is sent to upstreams that are cold.

An upstream that has just started stands few requests a second, from all hosts
together, and fails above that. Hosts do not ask one another before each
request, so one host has the whole of what a cold upstream may be sent, and
the others leave it alone: which host that is follows from the names that all
know, by the greatest hash of host and upstream (rendezvous hashing, Thaler and
Ravishankar 1998). Shares for all hosts would not do: 60 hosts that have a
sixtieth each of 11 requests a second may send nothing, or all one at a time
in the same second.
"""

import collections
from collections.abc import Callable
import math

from rudderrock import core
from rudderrock.gateway.knowledge import _directory as directory
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _routing as routing

# Two hosts that know others may both take themselves for the sender, while
# hosts come and go; so each uses this part of what is allowed.
SENDER_PART = 0.5
# Requests that leave within a second may arrive within a shorter time: the
# longest way there and back between regions, and a busy core; seconds.
JITTER_S = 0.1
_WINDOW_S = 1.0 + JITTER_S


class ColdLimits:
    """Says whether this host may send to an upstream that is cold.

    Parameters: all hosts together may send `overage` times the rate that the
    service names, plus `slack`, in any one second. `list_senders` returns
    the hosts that send to an upstream of a service in a zone, and
    `get_service` what holds for the service.
    """

    def __init__(
        self,
        listing: directory.Directory,
        clock: core.Clock,
        own: core.HostId,
        overage: float,
        slack: float,
        list_senders: Callable[[directory.Endpoint], list[core.HostId]],
        get_service: Callable[[routing.ServiceName], routing.Service | None],
    ):
        self.sent = 0
        self.held_back = 0
        self._listing = listing
        self._clock = clock
        self._own = own
        self._overage = overage
        self._slack = slack
        self._list_senders = list_senders
        self._get_service = get_service
        self._sent_at: dict[core.UpstreamId, collections.deque[float]] = {}

    def admits(self, endpoint: directory.Endpoint) -> bool:
        """Tell whether one more request may be sent to an upstream now."""
        if self._listing.get_cold_s(endpoint.upstream) <= 0.0:
            self._sent_at.pop(endpoint.upstream, None)
            return True
        most = self._get_most(endpoint)
        if most == math.inf:
            return True
        admitted = (
            self._is_sender(endpoint)
            and self._count_recent(endpoint.upstream) < most
        )
        self.held_back += not admitted
        return admitted

    def note_sent(self, endpoint: directory.Endpoint) -> None:
        """Take note of a request that is sent."""
        if self._listing.get_cold_s(endpoint.upstream) <= 0.0:
            return
        self.sent += 1
        times = self._sent_at.setdefault(
            endpoint.upstream, collections.deque()
        )
        times.append(self._clock.now())

    def _get_most(self, endpoint: directory.Endpoint) -> float:
        """Return how many requests a second the one sender may send."""
        service = self._get_service(endpoint.service)
        if service is None or service.warmup_per_s <= 0.0:
            return math.inf
        allowed = service.warmup_per_s * self._overage + self._slack
        return math.floor(SENDER_PART * allowed)

    def _is_sender(self, endpoint: directory.Endpoint) -> bool:
        senders = self._list_senders(endpoint)
        best = max(
            senders,
            key=lambda host: fleet.rank_pair(endpoint.upstream, host),
            default=self._own,
        )
        return best == self._own

    def _count_recent(self, upstream: core.UpstreamId) -> int:
        times = self._sent_at.get(upstream)
        if times is None:
            return 0
        since = self._clock.now() - _WINDOW_S
        while times and times[0] < since:
            times.popleft()
        return len(times)
