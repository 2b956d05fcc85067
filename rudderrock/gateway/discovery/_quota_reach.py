"""Detection of an owner of quotas that is cut off from other zones.

Other hosts then ask another owner, which this host can't know of.
"""

import asyncio
from collections.abc import Callable
import math

from rudderrock import core
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quota_client as quota_client
from rudderrock.gateway.discovery import _quota_messages as quota_messages

# A host that no other zone has answered for this long may be cut off.
CONFIRMED_S = 1.5
# Number of hosts that are asked before a host takes itself to be cut off.
MAX_WITNESSES = 2
_TIMEOUT_S = 0.15


class Reach:
    """Whether this host reaches hosts of other zones."""

    def __init__(self, hosts: fleet.Fleet, clock: core.Clock):
        self.is_cut_off = False
        self._hosts = hosts
        self._clock = clock
        self._confirmed_at = -math.inf
        self._is_needed = asyncio.Event()

    def record_answer(self, host: fleet.HostEntry) -> None:
        """Record that another host has answered."""
        is_alone = len(self._hosts.count_by_zone()) == 1
        if is_alone or host.zone != self._hosts.own.zone:
            self.is_cut_off = False
            self._confirmed_at = self._clock.now()

    def check_if_old(self) -> None:
        """Ask other hosts soon, unless one has answered of late."""
        if self._clock.now() - self._confirmed_at > CONFIRMED_S:
            self._is_needed.set()

    async def run(
        self,
        client: quota_client.QuotaClient,
        make_report: Callable[[], quota_messages.Report],
    ) -> None:
        """Ask other hosts when needed, until cancelled."""
        while True:
            await self._is_needed.wait()
            others = self._rank_witnesses()
            for each in others[:MAX_WITNESSES]:
                answer = await client.call(each, make_report(), _TIMEOUT_S)
                if answer is not None:
                    break
            else:
                self.is_cut_off = bool(others)
            self._is_needed.clear()

    def _rank_witnesses(self) -> list[fleet.HostEntry]:
        """Return hosts of other zones, or of the own one if it is alone."""
        own = self._hosts.own
        return self._hosts.list_hosts_of_other_zones() or [
            each for each in self._hosts.list_hosts() if each.host != own.host
        ]
