"""Admission of requests within the quotas of teams.

A host admits most requests by itself and reports them to the owner of the
team within `REPORT_DELAY_S`. It asks the owner first while the team has little
room left. If the owner doesn't answer, it turns to the next host in rank, and
if nobody does, it admits a small number by itself.
"""

import asyncio
from collections.abc import Collection
import dataclasses
import itertools
from typing import NamedTuple

import msgspec

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _quota as quota
from rudderrock.gateway.decisions import _quota_spending as quota_spending
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quota_client as quota_client
from rudderrock.gateway.discovery import _quota_messages as quota_messages
from rudderrock.gateway.discovery import _quota_owner as quota_owner
from rudderrock.gateway.discovery import _quota_reach as quota_reach
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _teams as teams
from rudderrock.gateway.http import _messages as messages

# Time for which reports are collected before they are sent, in seconds.
REPORT_DELAY_S = 0.03
# Timeout of a question, in seconds, while a caller waits: a round trip of
# 20 ms with a new connection, and a busy core at the owner.
ASK_TIMEOUT_S = 0.15
# Timeout of reports and notices, in seconds, for which nobody waits.
REPORT_TIMEOUT_S = 0.5
# Interval at which notices are renewed and unused state is dropped.
CHECK_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """An admitted request."""

    team: core.TeamId
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request beyond the quota, and who decided that.

    `age_s` is the time since the host that decided last heard of others.
    """

    denied: quota.Denied
    decided_by: core.HostId
    age_s: float


class TeamCounts(NamedTuple):
    """Numbers of requests of one team at this host."""

    admitted: int = 0
    refused: int = 0


class QuotaExchange:
    """Admits the requests of this host's callers within their quotas."""

    def __init__(
        self,
        process: str,
        bounds: quota.QuotaBounds,
        hosts: fleet.Fleet,
        tables: sources.TableHolder,
        clock: core.Clock,
        events: log.EventLog,
    ):
        # Counts since the start, for the teams of the table in force.
        self.counts: dict[core.TeamId, TeamCounts] = {}
        self.asked = 0
        self._process = quota.ProcessId(process)
        self._bounds = bounds
        self._hosts = hosts
        self._clock = clock
        self._numbers = itertools.count(1)
        self._spending: dict[core.TeamId, quota_spending.TeamSpending] = {}
        self._ranking = quota_owner.OwnerRanking(hosts)
        self._last_owner: dict[core.TeamId, core.HostId] = {}
        self._heard_at = clock.now()
        self._reach = quota_reach.Reach(hosts, clock)
        self.client = quota_client.QuotaClient(
            hosts, clock, self._reach.record_answer
        )
        self._has_unreported = asyncio.Event()
        # Set while this host keeps anything about the quota of a team.
        self._in_use = asyncio.Event()
        self._unannounced: set[core.TeamId] = set()
        self._has_unannounced = asyncio.Event()
        self.owned = quota_owner.OwnedTeams(
            self._process,
            bounds,
            hosts,
            self._ranking,
            tables,
            clock,
            events,
            self._announce,
            self._reach,
        )
        hosts.add_listener(self._on_host_change)
        tables.add_listener(self._on_table_change)

    async def admit(self, team: teams.Team) -> Permit | Refusal | None:
        """Admit a request of a team; None if the team has no quota."""
        if team.quota_per_s <= 0:
            return None
        verdict = await self._decide(team)
        counts = self.counts.get(team.team, TeamCounts())
        match verdict:
            case Permit():
                counts = counts._replace(admitted=counts.admitted + 1)
            case Refusal():
                counts = counts._replace(refused=counts.refused + 1)
        self.counts[team.team] = counts
        return verdict

    async def _decide(self, team: teams.Team) -> Permit | Refusal:
        now = self._clock.now()
        spending = self._get_spending(team.team)
        number = next(self._numbers)
        owner = self._pick_owner(team.team)
        if owner is None:
            return self._admit_isolated(team, spending, number)
        is_own = owner.host == self._hosts.own.host
        if not is_own and spending.may_admit(team, self._hosts.count(), now):
            spending.record(number, now)
            self._has_unreported.set()
            return Permit(team.team, number)
        return await self._ask(team, number)

    def give_back(self, permit: Permit) -> None:
        """Withdraw a request that has not run; only once for each permit."""
        spending = self._spending.get(permit.team)
        if spending is not None:
            spending.give_back(permit.number, self._clock.now())
            self._has_unreported.set()

    def handle_report(self, request: messages.Request) -> messages.Reply:
        """Answer the report of another host."""
        try:
            report = quota_messages.decode_report(request.body)
        except msgspec.DecodeError as error:
            return messages.Reply(400, [], str(error).encode())
        answer = self._handle(report)
        return messages.Reply(200, [], quota_messages.encode(answer))

    def _handle(self, report: quota_messages.Report) -> quota_messages.Answer:
        answer = self.owned.handle(report)
        if answer.teams:
            self._in_use.set()
        return answer

    def handle_notice(self, request: messages.Request) -> messages.Reply:
        """Ask first for the teams in a notice of their owner."""
        try:
            notice = quota_messages.decode_notice(request.body)
        except msgspec.DecodeError as error:
            return messages.Reply(400, [], str(error).encode())
        for team, ask_first_ms in notice.teams:
            self._apply_ask_first(team, ask_first_ms)
        return messages.Reply(200, [])

    @property
    def is_in_use(self) -> bool:
        """Return whether teams have quotas, or have had them of late."""
        return self._in_use.is_set() or self.owned.has_quotas()

    def list_teams(self) -> set[core.TeamId]:
        """Return the teams about which this host keeps something."""
        return {*self._spending, *self.owned.list_teams()}

    @property
    def unreported_age_s(self) -> float:
        """Return the age of the oldest request that no owner knows of."""
        now = self._clock.now()
        return max(
            (each.get_report_age_s(now) for each in self._spending.values()),
            default=0.0,
        )

    async def report(self) -> None:
        """Report admitted requests to the owners until cancelled."""
        while True:
            await self._has_unreported.wait()
            await asyncio.sleep(REPORT_DELAY_S)
            self._has_unreported.clear()
            await self._report_once()

    async def announce(self) -> None:
        """Tell all hosts which teams have to ask first, until cancelled."""
        while True:
            await self._has_unannounced.wait()
            self._has_unannounced.clear()
            ask_first_ms = quota_messages.to_ms(quota.ASK_FIRST_S)
            notice = quota_messages.Notice(
                [(team, ask_first_ms) for team in sorted(self._unannounced)]
            )
            self._unannounced.clear()
            await self.client.send_notice(notice)

    async def check_reach(self) -> None:
        """Find out whether this host is cut off, when it matters."""
        await self._reach.run(self.client, lambda: self._make_report([]))

    async def check(self) -> None:
        """Renew notices and drop unused state until cancelled."""
        while True:
            await self._in_use.wait()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.owned.check()
            self.client.close_unused()
            now = self._clock.now()
            for team, spending in list(self._spending.items()):
                if spending.has_unreported(now):
                    self._has_unreported.set()
                elif spending.is_idle(now):
                    self._forget(team)
            if not self.list_teams():
                self._in_use.clear()

    def _get_spending(self, team: core.TeamId) -> quota_spending.TeamSpending:
        spending = self._spending.get(team)
        if spending is None:
            spending = quota_spending.TeamSpending(self._bounds)
            self._spending[team] = spending
            self._in_use.set()
        return spending

    def _make_report(
        self, found: list[quota_messages.TeamReport]
    ) -> quota_messages.Report:
        return quota_messages.Report(
            self._process,
            self._hosts.own.host,
            quota_messages.to_ms(self._clock.now()),
            found,
        )

    def _announce(self, team: core.TeamId) -> None:
        self._apply_ask_first(team, quota_messages.to_ms(quota.ASK_FIRST_S))
        self._unannounced.add(team)
        self._has_unannounced.set()

    def _apply_ask_first(self, team: core.TeamId, ask_first_ms: int) -> None:
        spending = self._get_spending(team)
        spending.ask_first_until = max(
            spending.ask_first_until, self._clock.now() + ask_first_ms / 1000
        )

    def _admit_isolated(
        self,
        team: teams.Team,
        spending: quota_spending.TeamSpending,
        number: int,
    ) -> Permit | Refusal:
        """Decide about a request while no owner answers."""
        now = self._clock.now()
        hosts = self._hosts.count()
        if spending.may_admit_isolated(team, hosts, now):
            spending.record(number, now)
            return Permit(team.team, number)
        denied = quota.Denied(
            spending.get_next_room_s(now),
            spending.count(now),
            self._bounds.get_isolated_limit(team, hosts),
        )
        return Refusal(denied, self._hosts.own.host, now - self._heard_at)

    async def _ask(self, team: teams.Team, number: int) -> Permit | Refusal:
        """Ask the owner of a team, or those that stand in for it."""
        self.asked += 1
        asked: set[core.HostId] = set()
        was_missed = False
        verdict: Permit | Refusal | None = None
        try:
            while (owner := self._pick_owner(team.team, asked)) is not None:
                asked.add(owner.host)
                verdict = await self._ask_one(owner, team, number)
                if verdict is not None:
                    break
                was_missed = True
            else:
                spending = self._get_spending(team.team)
                verdict = self._admit_isolated(team, spending, number)
            return verdict
        finally:
            if verdict is None or (
                was_missed and isinstance(verdict, Refusal)
            ):
                # A host that did not answer may have counted the request.
                spending = self._get_spending(team.team)
                spending.give_back(number, self._clock.now())
                self._has_unreported.set()

    async def _ask_one(
        self,
        owner: fleet.HostEntry,
        team: teams.Team,
        number: int,
    ) -> Permit | Refusal | None:
        """Return the decision of one host, or None if it has none."""
        asked_at = self._clock.now()
        spending = self._get_spending(team.team)
        spent, given_back = spending.list_unreported(asked_at)
        found = quota_client.make_team_report(
            team.team, spent, given_back, number
        )
        answer = await self._send(owner, [found], ASK_TIMEOUT_S)
        if answer is None:
            return None
        now = self._clock.now()
        reply = next(
            (each for each in answer.teams if each.team == team.team), None
        )
        if reply is None:
            return None
        if reply.retry_after_ms is not None:
            denied = quota.Denied(
                reply.retry_after_ms / 1000, reply.count, reply.limit
            )
            return Refusal(denied, owner.host, now - asked_at)
        # The team may have left and returned while the owner was asked.
        self._get_spending(team.team).record_granted(
            number, now, answer.process
        )
        return Permit(team.team, number)

    async def _report_once(self) -> None:
        """Send one report to each owner of a team with something to report."""
        now = self._clock.now()
        by_owner: dict[core.HostId, list[quota_messages.TeamReport]] = {}
        entries: dict[core.HostId, fleet.HostEntry] = {}
        for team, spending in list(self._spending.items()):
            owner = self._pick_owner(team)
            if owner is None or not spending.has_unreported(now):
                continue
            spent, given_back = spending.list_unreported(now)
            entries[owner.host] = owner
            by_owner.setdefault(owner.host, []).append(
                quota_client.make_team_report(team, spent, given_back, None)
            )
        answers = await asyncio.gather(
            *(
                self._send(entries[host], found, REPORT_TIMEOUT_S)
                for host, found in by_owner.items()
            )
        )
        if None in answers:
            # The teams of a host that did not answer have another owner now.
            self._has_unreported.set()

    async def _send(
        self,
        owner: fleet.HostEntry,
        found: list[quota_messages.TeamReport],
        timeout_s: float,
    ) -> quota_messages.Answer | None:
        """Send a report to an owner, and apply its answer; None if none."""
        report = self._make_report(found)
        if owner.host == self._hosts.own.host:
            answer = self._handle(report)
        else:
            answer = await self.client.call(owner, report, timeout_s)
        if answer is None:
            return None
        self._heard_at = self._clock.now()
        answered = {each.team for each in answer.teams}
        for each in found:
            if each.team not in answered:
                continue
            spending = self._get_spending(each.team)
            spending.confirm(
                answer.process,
                [number for number, _ in each.admitted],
                each.given_back,
            )
            if spending.has_unreported(self._heard_at):
                self._has_unreported.set()
        for each in answer.teams:
            if each.ask_first_ms:
                self._apply_ask_first(each.team, each.ask_first_ms)
        return answer

    def _pick_owner(
        self,
        team: core.TeamId,
        asked: Collection[core.HostId] = (),
    ) -> fleet.HostEntry | None:
        """Return the first host in rank to ask that answers, or None."""
        for each in self._ranking.list_candidates(team):
            if each.host in asked or self.client.is_skipped(each.host):
                continue
            if self._last_owner.get(team) != each.host:
                self._last_owner[team] = each.host
                self._get_spending(team).expect_owner()
            return each
        return None

    def _on_host_change(self) -> None:
        if self._spending:
            self._has_unreported.set()

    def _on_table_change(self, table) -> None:
        """Drop the state of teams that have left the table."""
        listed = set()
        if table.teams is not None:
            listed = {each.team for each in table.teams.list_teams()}
        for team in {*self._spending, *self.counts} - listed:
            self._forget(team)
            self.counts.pop(team, None)

    def _forget(self, team: core.TeamId) -> None:
        self._spending.pop(team, None)
        self._last_owner.pop(team, None)
