"""Calls to other hosts about quotas."""

import asyncio
from collections.abc import Iterable

import result

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quota_messages as quota_messages
from rudderrock.gateway.http import _http_client as http_client

# Timeout of a notice, in seconds.
NOTICE_TIMEOUT_S = 0.5
# How long a host that did not answer in time is skipped, in seconds, and one
# whose connection was refused or reset: its process may soon start again.
SKIP_S = 3.0
RESET_SKIP_S = 0.3
# Maximum number of concurrent notices.
MAX_CONCURRENT_NOTICES = 32


class QuotaClient:
    """Sends reports to the voters of quotas, and notices to all hosts."""

    def __init__(self, hosts: fleet.Fleet, clock: core.Clock):
        self.reports_sent = 0
        self.notices_sent = 0
        self._hosts = hosts
        self._clock = clock
        self._clients: dict[str, http_client.HttpClient] = {}
        self._skipped_until: dict[core.HostId, float] = {}
        self._notice_slots = asyncio.Semaphore(MAX_CONCURRENT_NOTICES)

    def is_skipped(self, host: core.HostId) -> bool:
        """Return whether a host has failed to answer of late."""
        return self._skipped_until.get(host, 0.0) > self._clock.now()

    async def call(
        self,
        host: fleet.HostEntry,
        report: quota_messages.Report,
        timeout_s: float,
    ) -> quota_messages.Answer | None:
        """Return the answer to a report; skip the host if there is none."""
        self.reports_sent += 1
        reply = await self._get_client(host.address).call(
            b'POST',
            quota_messages.REPORT_PATH,
            quota_messages.encode(report),
            timeout_s,
        )
        match reply:
            case result.Ok(found) if found.status == 200:
                match quota_messages.decode_answer(found.body):
                    case result.Ok(answer):
                        return answer
                    case result.Err(problem):
                        log.load_absl_log().warning(
                            'Invalid answer from %s: %s', host.host, problem
                        )
        skip_s = SKIP_S
        match reply:
            case result.Err(http_client.NoReply(timed_out=False)):
                skip_s = RESET_SKIP_S
        self._skipped_until[host.host] = self._clock.now() + skip_s
        return None

    async def send_notice(self, notice: quota_messages.Notice) -> None:
        """Send a notice to all other hosts."""
        body = quota_messages.encode(notice)
        own = self._hosts.own.host
        await asyncio.gather(
            *(
                self._send_notice(each.address, body)
                for each in self._hosts.find_recent().values()
                if each.host != own
            )
        )

    async def _send_notice(self, address: str, body: bytes) -> None:
        async with self._notice_slots:
            self.notices_sent += 1
            client = http_client.HttpClient(core.split_address(address), 1)
            try:
                await client.call(
                    b'POST', quota_messages.NOTICE_PATH, body, NOTICE_TIMEOUT_S
                )
            finally:
                client.close()

    def _get_client(self, address: str) -> http_client.HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = http_client.HttpClient(core.split_address(address))
            self._clients[address] = client
        return client

    def close_unused(self) -> None:
        """Close connections to hosts that are no longer registered."""
        if not self._clients:
            return
        known = {each.address for each in self._hosts.find_recent().values()}
        for address, client in list(self._clients.items()):
            if address not in known and not client.is_busy:
                client.close()
                del self._clients[address]
        now = self._clock.now()
        self._skipped_until = {
            host: until
            for host, until in self._skipped_until.items()
            if until > now
        }

    def close(self) -> None:
        """Close all connections to other hosts."""
        for each in self._clients.values():
            each.close()


def make_team_report(
    team: core.TeamId,
    spent: Iterable[tuple[int, float]],
    given_back: list[int],
    asked: int | None,
) -> quota_messages.TeamReport:
    """Return a report of requests with their ages in seconds."""
    return quota_messages.TeamReport(
        team,
        [(number, quota_messages.to_ms(age_s)) for number, age_s in spent],
        given_back,
        asked,
    )
