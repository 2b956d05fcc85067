"""Teams whose quotas this host keeps for all hosts."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math

import msgspec

from rudderrock import core
from rudderrock.gateway import _events as event_kinds
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _quota as quota
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _quota_contact as quota_contact
from rudderrock.gateway.discovery import _quota_messages as quota_messages
from rudderrock.gateway.discovery import _quota_ranking as quota_ranking
from rudderrock.gateway.discovery import _sources as sources
from rudderrock.gateway.discovery import _teams as teams

# How long a report to a fallback counts as a sign that a zone can't reach the
# voters, in seconds. As long as hosts skip a voter, and some more.
COVERAGE_PERIOD_S = 5.0
# Minimum time between attempts to learn what other voters have counted, in
# seconds.
LEARN_INTERVAL_S = 0.5
# Maximum number of processes whose clocks are remembered.
MAX_CLOCKS = 4096
# How long the fastest message from a process is the measure of the others, in
# seconds; up to twice as long, as clocks drift, and stand still on hosts that
# are suspended.
CLOCK_PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class TeamUse:
    """Use of a team's quota: requests in the window, and the limit."""

    team: core.TeamId
    count: int
    limit: float
    unreported: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClockOffset:
    """Smallest differences between this clock and that of a process.

    They are those of the period that began at `since`, and of the one before.
    """

    since: float
    smallest: float
    earlier: float

    def add(self, offset: float, now: float) -> 'ClockOffset':
        """Return the differences with another one that was seen at `now`."""
        if now - self.since < CLOCK_PERIOD_S:
            return dataclasses.replace(
                self, smallest=min(self.smallest, offset)
            )
        return ClockOffset(now, offset, self.smallest)

    def get_smallest(self) -> float:
        """Return the smallest difference of both periods."""
        return min(self.smallest, self.earlier)


class KeptTeams:
    """Ledgers of the teams whose quota this host keeps, or stands in for.

    Parameters: `announce` is called with a team for which all hosts have to
    ask first from now on, and `request_counted` with one of which this host
    has to learn what the other voters have counted.
    """

    def __init__(
        self,
        process: quota.ProcessId,
        bounds: quota.QuotaBounds,
        hosts: fleet.Fleet,
        ranking: quota_ranking.VoterRanking,
        tables: sources.TableHolder,
        clock: core.Clock,
        events: log.EventLog,
        announce: Callable[[core.TeamId], None],
        request_counted: Callable[[core.TeamId], None],
    ):
        self.process = process
        self._bounds = bounds
        self._hosts = hosts
        self._ranking = ranking
        self._tables = tables
        self._clock = clock
        self._events = events
        self._announce = announce
        self._request_counted = request_counted
        # When this host has learned, and asked, what others have counted.
        self._learned_at: dict[core.TeamId, float] = {}
        self._asked_at: dict[core.TeamId, float] = {}
        self._started_at = clock.now()
        self._contact = quota_contact.ContactMonitor(clock)
        self._ledgers: dict[core.TeamId, quota.TeamLedger] = {}
        self._limited: set[core.TeamId] = set()
        self._clock_offsets: dict[quota.ProcessId, ClockOffset] = {}
        self._heard_at: dict[tuple[core.HostId, core.ZoneId], float] = {}

    def handle(self, report: quota_messages.Report) -> quota_messages.Answer:
        """Record what a host reports, and answer what it asks."""
        if report.host == self._hosts.own.host:
            self._contact.check(self._expects_messages)
        else:
            self._contact.record_message(self._expects_messages)
        now = self._clock.now()
        sent_at = now - self._measure_delay(report, now)
        answers = []
        for each in report.teams:
            team = self._find_limited_team(each.team)
            # The sender may have a newer table than this host.
            if team is not None:
                answers.append(
                    self._handle_team(team, report, each, sent_at, now)
                )
        return quota_messages.Answer(self.process, answers)

    def check(self) -> None:
        """Renew notices that are still needed, and drop unused ledgers."""
        self._contact.check(self._expects_messages)
        now = self._clock.now()
        for name, ledger in list(self._ledgers.items()):
            team = self._find_limited_team(name)
            if team is None or (ledger.count(now) == 0 and ledger.is_empty):
                self._end_limit(name, ledger, now)
                del self._ledgers[name]
                self._learned_at.pop(name, None)
                self._asked_at.pop(name, None)
                continue
            if name in self._limited:
                self._notify_if_needed(team, ledger, now)
                if now >= ledger.ask_first_until:
                    self._end_limit(name, ledger, now)

    def learn(
        self,
        name: core.TeamId,
        counted: Collection[quota_messages.CountedRequest],
        origin: core.HostId,
    ) -> None:
        """Count what an informed voter, `origin`, has counted."""
        now = self._clock.now()
        ledger = self._ledgers.get(name)
        if ledger is None:
            return
        for process, number, age_ms in counted:
            ledger.record(process, number, now - age_ms / 1000, now)
        self._learned_at[name] = now
        self._events.record(
            event_kinds.LogKind.QUOTA_LEARNED,
            team=name,
            origin=origin,
            copied=len(counted),
            count=ledger.count(now),
        )

    @property
    def _expects_messages(self) -> bool:
        """Return whether other hosts send messages regularly."""
        return bool(self._limited) and self._hosts.count() > 1

    def list_other_voters(self) -> list[fleet.HostEntry]:
        """Return the other voters of the teams that have to ask first."""
        found = {
            each.host: each
            for name in self._limited
            if self._ranking.is_voter(name)
            for each in self._ranking.list_voters(name)
        }
        found.pop(self._hosts.own.host, None)
        return list(found.values())

    def list_teams(self) -> list[core.TeamId]:
        """Return the teams with a ledger."""
        return list(self._ledgers)

    def has_quotas(self) -> bool:
        """Return whether a team of the table in force has a quota."""
        table = self._tables.current
        if table is None or table.teams is None:
            return False
        return any(each.quota_per_s > 0 for each in table.teams.list_teams())

    def list_use(self) -> list[TeamUse]:
        """Return the use of the quotas of the teams with recent requests.

        Only the first voter in rank lists a team, so that sums over hosts
        count each team once.
        """
        now = self._clock.now()
        found = []
        for name, ledger in self._ledgers.items():
            team = self._find_limited_team(name)
            first = self._ranking.list_voters(name)[0]
            if team is not None and first.host == self._hosts.own.host:
                found.append(
                    TeamUse(
                        name,
                        ledger.count(now),
                        self._bounds.get_limit(team),
                        ledger.estimate_unreported(now),
                    )
                )
        return found

    @property
    def largest_excess(self) -> float:
        """Return the largest number of requests counted beyond a limit."""
        return max(
            (each.largest_excess for each in self._ledgers.values()),
            default=0.0,
        )

    def _measure_delay(
        self, report: quota_messages.Report, now: float
    ) -> float:
        """Return how much longer a message took than the fastest one.

        Always less than the window, so that no report is dated before it: a
        longer difference means that the clock of the process has changed.
        """
        offset = now - report.sent_ms / 1000
        known = self._clock_offsets.pop(report.process, None)
        if known is not None:
            known = known.add(offset, now)
        if (
            known is None
            or offset - known.get_smallest() >= self._bounds.window_s
        ):
            known = ClockOffset(now, offset, offset)
        self._clock_offsets[report.process] = known
        if len(self._clock_offsets) > MAX_CLOCKS:
            del self._clock_offsets[next(iter(self._clock_offsets))]
        return offset - known.get_smallest()

    def _handle_team(
        self,
        team: teams.Team,
        report: quota_messages.Report,
        found: quota_messages.TeamReport,
        sent_at: float,
        now: float,
    ) -> quota_messages.TeamAnswer:
        ledger = self._ledgers.get(found.team)
        if ledger is None:
            ledger = quota.TeamLedger(self._bounds)
            self._ledgers[found.team] = ledger
        self._record_zone(team, report.host, now)
        standing = self._get_standing(team, now)
        is_informed = standing.is_informed(now, self._bounds)
        if not (is_informed and standing.coverage >= 1.0):
            self._learn_if_due(team.team, now)
        for number, age_ms in found.admitted:
            at = sent_at - age_ms / 1000
            ledger.record(report.process, number, at, now)
        for number in found.given_back:
            ledger.give_back(report.process, number, now)
        verdict: quota.Verdict = quota.Granted()
        if found.asked is not None:
            verdict = ledger.decide(
                team, report.process, found.asked, now, standing
            )
        self._notify_if_needed(team, ledger, now, standing)
        ask_first_ms = quota_messages.to_ms(
            max(0.0, ledger.ask_first_until - now)
        )
        answer = quota_messages.TeamAnswer(
            found.team, ask_first_ms, is_informed=is_informed
        )
        match verdict:
            case quota.Denied():
                answer = msgspec.structs.replace(
                    answer,
                    retry_after_ms=quota_messages.to_ms(verdict.retry_after_s),
                    count=verdict.count,
                    limit=verdict.limit,
                )
        if found.wants_counted:
            answer = msgspec.structs.replace(
                answer, counted=_list_counted(ledger, now)
            )
        return answer

    def _learn_if_due(self, name: core.TeamId, now: float) -> None:
        """Ask what other voters have counted, unless that is known.

        A host that stands in asks as well.
        """
        if name in self._learned_at and not self._ranking.is_voter(name):
            return
        if now - self._asked_at.get(name, -math.inf) >= LEARN_INTERVAL_S:
            self._asked_at[name] = now
            self._request_counted(name)

    def _notify_if_needed(
        self,
        team: teams.Team,
        ledger: quota.TeamLedger,
        now: float,
        standing: quota.Standing | None = None,
    ) -> None:
        standing = standing or self._get_standing(team, now)
        if not ledger.needs_notice(team, now, standing):
            return
        ledger.ask_first_until = now + quota.ASK_FIRST_S
        if team.team not in self._limited:
            self._limited.add(team.team)
            self._record_change(team.team, ledger, now, standing)
        self._announce(team.team)

    def _end_limit(
        self, name: core.TeamId, ledger: quota.TeamLedger, now: float
    ) -> None:
        if name in self._limited:
            self._limited.discard(name)
            self._record_change(name, ledger, now, None)

    def _record_change(
        self,
        name: core.TeamId,
        ledger: quota.TeamLedger,
        now: float,
        standing: quota.Standing | None,
    ) -> None:
        team = self._find_limited_team(name)
        self._events.record(
            event_kinds.LogKind.QUOTA_CHANGED,
            team=name,
            standing='free' if standing is None else 'ask_first',
            count=ledger.count(now),
            limit=0.0 if team is None else self._bounds.get_limit(team),
            coverage=1.0 if standing is None else round(standing.coverage, 2),
        )

    def _find_limited_team(self, name: core.TeamId) -> teams.Team | None:
        """Return a team of the table in force, if it has a quota."""
        table = self._tables.current
        if table is None or table.teams is None:
            return None
        team = table.teams.find(name)
        return team if team is not None and team.quota_per_s > 0 else None

    def _record_zone(
        self, team: teams.Team, sender: core.HostId, now: float
    ) -> None:
        """Record that a host reports to this one as a fallback."""
        if self._ranking.is_voter(team.team):
            return
        first = self._ranking.list_voters(team.team)[0]
        found = self._hosts.find_recent().get(sender)
        if found is not None:
            self._heard_at[(first.host, found.zone)] = now

    def _get_standing(self, team: teams.Team, now: float) -> quota.Standing:
        """Return this host's position as a voter of a quota or fallback.

        A fallback counts the zones whose hosts report to it instead of the
        voters.
        """
        if self._ranking.is_voter(team.team):
            since = max(
                self._started_at,
                self._contact.missed_at,
                self._ranking.get_kept_since(team.team),
            )
            if self._learned_at.get(team.team, -math.inf) >= since:
                since = -math.inf
            return quota.Standing(started_at=since, coverage=1.0)
        first = self._ranking.list_voters(team.team)[0]
        self._heard_at = {
            key: at
            for key, at in self._heard_at.items()
            if now - at < COVERAGE_PERIOD_S
        }
        heard = sum(host == first.host for host, _ in self._heard_at)
        zones = {each.zone for each in self._hosts.find_recent().values()}
        return quota.Standing(
            started_at=max(self._started_at, self._contact.missed_at),
            coverage=min(1.0, heard / max(1, len(zones))),
        )


def _list_counted(
    ledger: quota.TeamLedger, now: float
) -> list[quota_messages.CountedRequest]:
    return [
        (process, number, quota_messages.to_ms(now - at))
        for process, number, at in ledger.list_counted(now)
    ]
