"""Admission of requests within the quotas of teams.

A host admits most requests by itself and reports them to the voters of the
team's quota within `REPORT_DELAY_S`. It asks the voters first while the team
has little room left, and a request runs if a majority of them grants it. If no
majority answers, the host turns to one that stands in for the others, and if
nobody answers, it admits a small number by itself.
"""

import asyncio
import dataclasses
import itertools
from typing import NamedTuple

import result

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _quota as quota
from rudderrock.gateway.decisions import _quota_spending as quota_spending
from rudderrock.gateway.decisions import _quota_vote as quota_vote
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quota_client as quota_client
from rudderrock.gateway.discovery import _quota_messages as quota_messages
from rudderrock.gateway.discovery import _quota_ranking as quota_ranking
from rudderrock.gateway.discovery import _quota_voter as quota_voter
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _teams as teams
from rudderrock.gateway.http import _messages as messages

# Time for which reports are collected before they are sent, in seconds.
REPORT_DELAY_S = 0.03
# Timeout of a question, in seconds, while a caller waits: a round trip of
# 20 ms with a new connection, and a busy core at the voter.
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


@dataclasses.dataclass(slots=True)
class _Question:
    """A request that is being decided.

    `counted_by` are the hosts that may have counted it.
    """

    team: teams.Team
    number: int
    counted_by: set[core.HostId] = dataclasses.field(default_factory=set)


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
        self._ranking = quota_ranking.VoterRanking(hosts, clock)
        self._heard_at = clock.now()
        self.client = quota_client.QuotaClient(hosts, clock)
        self._has_unreported = asyncio.Event()
        # Set while this host keeps anything about the quota of a team, or may
        # be asked to.
        self._in_use = asyncio.Event()
        self._unannounced: set[core.TeamId] = set()
        self._has_unannounced = asyncio.Event()
        self._unlearned: set[core.TeamId] = set()
        self._has_unlearned = asyncio.Event()
        self.kept = quota_voter.KeptTeams(
            self._process,
            bounds,
            hosts,
            self._ranking,
            tables,
            clock,
            events,
            self._announce,
            self._request_counted,
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
        number = next(self._numbers)
        voters = self._ranking.list_voters(team.team)
        hosts = [each.host for each in voters]
        if hosts != [self._hosts.own.host]:
            spending = self._get_spending(team.team)
            if spending.may_admit(team, hosts, self._hosts.count(), now):
                spending.record(number, now)
                self._has_unreported.set()
                return Permit(team.team, number)
        return await self._ask(team, voters, number)

    def give_back(self, permit: Permit) -> None:
        """Withdraw a request that has not run; only once for each permit."""
        spending = self._spending.get(permit.team)
        if spending is not None:
            spending.give_back(permit.number, self._clock.now())
            self._has_unreported.set()

    def handle_report(self, request: messages.Request) -> messages.Reply:
        """Answer the report of another host."""
        match quota_messages.decode_report(request.body):
            case result.Err(problem):
                return messages.Reply(400, [], problem.encode())
            case result.Ok(report):
                pass
        answer = self._handle(report)
        return messages.Reply(200, [], quota_messages.encode(answer))

    def _handle(self, report: quota_messages.Report) -> quota_messages.Answer:
        answer = self.kept.handle(report)
        if answer.teams:
            self._in_use.set()
        return answer

    def handle_notice(self, request: messages.Request) -> messages.Reply:
        """Ask first for the teams in a notice of a voter."""
        match quota_messages.decode_notice(request.body):
            case result.Err(problem):
                return messages.Reply(400, [], problem.encode())
            case result.Ok(notice):
                pass
        for team, ask_first_ms in notice.teams:
            self._apply_ask_first(team, ask_first_ms)
        return messages.Reply(200, [])

    @property
    def is_in_use(self) -> bool:
        """Return whether teams have quotas, or have had them of late."""
        return self._in_use.is_set() or self.kept.has_quotas()

    def list_teams(self) -> set[core.TeamId]:
        """Return the teams about which this host keeps something."""
        return {*self._spending, *self.kept.list_teams()}

    @property
    def unreported_age_s(self) -> float:
        """Return the age of the oldest request that some voter lacks."""
        now = self._clock.now()
        return max(
            (
                spending.get_report_age_s(self._list_voters(team), now)
                for team, spending in self._spending.items()
            ),
            default=0.0,
        )

    async def report(self) -> None:
        """Report admitted requests to the voters until cancelled."""
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

    async def learn(self) -> None:
        """Ask other voters what they have counted, until cancelled."""
        while True:
            await self._has_unlearned.wait()
            self._has_unlearned.clear()
            unlearned, self._unlearned = self._unlearned, set()
            await asyncio.gather(*(self._learn(team) for team in unlearned))

    async def _learn(self, team: core.TeamId) -> None:
        """Count what the first informed voter that answers has counted."""
        found = quota_messages.TeamReport(team, wants_counted=True)
        for each in self._ranking.list_voters(team):
            is_own = each.host == self._hosts.own.host
            if is_own or self.client.is_skipped(each.host):
                continue
            answer = await self._send(each, [found], REPORT_TIMEOUT_S)
            reply = _find_team(answer, team)
            if reply is not None and reply.is_informed:
                self.kept.learn(team, reply.counted or [], each.host)
                return

    def _request_counted(self, team: core.TeamId) -> None:
        self._unlearned.add(team)
        self._has_unlearned.set()

    async def check(self) -> None:
        """Renew notices and drop unused state until cancelled."""
        while True:
            await self._in_use.wait()
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.kept.check()
            await self._contact_voters()
            self.client.close_unused()
            now = self._clock.now()
            for team, spending in list(self._spending.items()):
                if spending.is_idle(now):
                    self._spending.pop(team)
                elif self._list_recipients(team, now):
                    self._has_unreported.set()
            if not (self.list_teams() or self.kept.has_quotas()):
                self._in_use.clear()

    async def _contact_voters(self) -> None:
        """Send a sign of contact to the voters that expect one."""
        await asyncio.gather(
            *(
                self._send(each, [], REPORT_TIMEOUT_S)
                for each in self.kept.list_other_voters()
                if not self.client.is_skipped(each.host)
            )
        )

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
        """Decide about a request while no other host can."""
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

    async def _ask(
        self,
        team: teams.Team,
        voters: list[fleet.HostEntry],
        number: int,
    ) -> Permit | Refusal:
        """Ask the voters of a team's quota, or one that stands in."""
        self.asked += 1
        question = _Question(team, number)
        poll = quota_vote.Poll(len(voters))
        verdict: Permit | Refusal | None = None
        try:
            vote = await self._ask_voters(poll, voters, question)
            if vote is None:
                vote = await self._ask_fallbacks(question)
            verdict = self._conclude(question, vote)
        finally:
            if not isinstance(verdict, Permit) and question.counted_by:
                spending = self._get_spending(team.team)
                spending.give_back(number, self._clock.now())
                self._has_unreported.set()
        self._confirm_granted(question, poll)
        return verdict

    async def _ask_voters(
        self,
        poll: quota_vote.Poll,
        voters: list[fleet.HostEntry],
        question: _Question,
    ) -> quota_vote.Vote | None:
        """Return the deciding vote, or None if there is no majority."""
        for each in voters:
            vote = await self._ask_one(each, question)
            if vote is None:
                continue
            poll.add(vote)
            if (deciding := poll.decide_early()) is not None:
                return deciding
        return poll.decide()

    async def _ask_fallbacks(
        self, question: _Question
    ) -> quota_vote.Vote | None:
        for each in self._ranking.list_fallbacks(question.team.team):
            vote = await self._ask_one(each, question)
            if vote is not None:
                return vote
        return None

    async def _ask_one(
        self, host: fleet.HostEntry, question: _Question
    ) -> quota_vote.Vote | None:
        """Return the vote of one host, or None if it has none."""
        if self.client.is_skipped(host.host):
            return None
        team = question.team.team
        spent, given_back = self._get_spending(team).list_unreported(
            host.host, self._clock.now()
        )
        found = quota_client.make_team_report(
            team, spent, given_back, question.number
        )
        question.counted_by.add(host.host)
        answer = await self._send(host, [found], ASK_TIMEOUT_S)
        reply = _find_team(answer, team)
        if reply is None:
            return None
        verdict: quota.Verdict = quota.Granted()
        if reply.retry_after_ms is not None:
            question.counted_by.discard(host.host)
            verdict = quota.Denied(
                reply.retry_after_ms / 1000, reply.count, reply.limit
            )
        return quota_vote.Vote(host.host, verdict, reply.is_informed)

    def _conclude(
        self, question: _Question, vote: quota_vote.Vote | None
    ) -> Permit | Refusal:
        """Turn the deciding vote into the result of this host."""
        team = question.team
        # The team may have left and returned while the voters were asked.
        spending = self._get_spending(team.team)
        if vote is None:
            return self._admit_isolated(team, spending, question.number)
        now = self._clock.now()
        match vote.verdict:
            case quota.Denied() as denied:
                return Refusal(denied, vote.voter, now - self._heard_at)
        spending.record(question.number, now)
        return Permit(team.team, question.number)

    def _confirm_granted(
        self, question: _Question, poll: quota_vote.Poll
    ) -> None:
        """Record which voters know of a request that has been decided."""
        team = question.team.team
        spending = self._get_spending(team)
        for host in poll.granted_by:
            spending.mark_known(host, question.number)
        if self._list_recipients(team, self._clock.now()):
            self._has_unreported.set()

    async def _report_once(self) -> None:
        """Send one report to each voter that lacks some requests."""
        now = self._clock.now()
        by_host: dict[core.HostId, list[quota_messages.TeamReport]] = {}
        entries: dict[core.HostId, fleet.HostEntry] = {}
        for team, spending in list(self._spending.items()):
            for each in self._list_recipients(team, now):
                spent, given_back = spending.list_unreported(each.host, now)
                entries[each.host] = each
                by_host.setdefault(each.host, []).append(
                    quota_client.make_team_report(
                        team, spent, given_back, None
                    )
                )
        await asyncio.gather(
            *(
                self._send(entries[host], found, REPORT_TIMEOUT_S)
                for host, found in by_host.items()
            )
        )

    def _list_voters(self, team: core.TeamId) -> list[core.HostId]:
        return [each.host for each in self._ranking.list_voters(team)]

    def _list_recipients(
        self, team: core.TeamId, now: float
    ) -> list[fleet.HostEntry]:
        """Return the voters that lack requests and have answered of late."""
        spending = self._get_spending(team)
        return [
            each
            for each in self._ranking.list_voters(team)
            if not self.client.is_skipped(each.host)
            and spending.has_unreported(each.host, now)
        ]

    async def _send(
        self,
        host: fleet.HostEntry,
        found: list[quota_messages.TeamReport],
        timeout_s: float,
    ) -> quota_messages.Answer | None:
        """Send a report to a host, and apply its answer; None if none."""
        report = self._make_report(found)
        if host.host == self._hosts.own.host:
            answer = self._handle(report)
        else:
            answer = await self.client.call(host, report, timeout_s)
        if answer is None:
            return None
        self._heard_at = self._clock.now()
        answered = {each.team for each in answer.teams}
        for each in found:
            if each.team not in answered:
                continue
            spending = self._get_spending(each.team)
            spending.confirm(
                host.host,
                answer.process,
                [number for number, _ in each.admitted],
                each.given_back,
            )
            if spending.has_unreported(host.host, self._heard_at):
                self._has_unreported.set()
        for each in answer.teams:
            if each.ask_first_ms:
                self._apply_ask_first(each.team, each.ask_first_ms)
        return answer

    def _on_host_change(self) -> None:
        for team, spending in self._spending.items():
            candidates = self._ranking.list_candidates(team)
            spending.retain_recipients({each.host for each in candidates})
            self._has_unreported.set()

    def _on_table_change(self, table) -> None:
        """Drop the state of teams that have left the table."""
        if self.kept.has_quotas():
            self._in_use.set()
        listed = set()
        if table.teams is not None:
            listed = {each.team for each in table.teams.list_teams()}
        for team in {*self._spending, *self.counts} - listed:
            self._spending.pop(team, None)
            self.counts.pop(team, None)


def _find_team(
    answer: quota_messages.Answer | None, team: core.TeamId
) -> quota_messages.TeamAnswer | None:
    """Return the part of an answer that is about a team, if any."""
    found = [] if answer is None else answer.teams
    return next((each for each in found if each.team == team), None)
