"""Admission control: refuses requests before any part of them runs.

Cost is counted in shard requests, so a query over many shards costs more than
one over few. An admitted query is not refused later: it is answered with the
coverage that it reached. All checks of limits are therefore made here, before
a request runs, and each refusal carries the seconds after which a retry may
succeed.
"""

import dataclasses

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _budget as budgets
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _shares as shares

_MIN_RETRY_AFTER_S = 0.05
_BUSY_RETRY_AFTER_S = 0.2


@dataclasses.dataclass(slots=True)
class _TeamUsage:
    """Rate limit and shard requests in flight of one team."""

    rate: budgets.RateLimit
    in_flight: int = 0


class Admission:
    """Admits or refuses requests by the limits of teams and of this host."""

    def __init__(
        self,
        settings: state.AdmissionSettings,
        limit_shares: shares.LimitShares,
        dispatcher: dispatch.Dispatcher,
        clock: state.Clock,
    ):
        self._settings = settings
        self._limit_shares = limit_shares
        self._dispatcher = dispatcher
        self._clock = clock
        self._usage_by_team: dict[state.TeamId, _TeamUsage] = {}
        self._in_flight = 0

    def admit(
        self, row: state.TeamRow, cost: int, deadline: float
    ) -> result.Result[None, protocol.Refused]:
        """Admit work of `cost` shard requests, or return why it is refused.

        `deadline` is in loop time. For admitted work, the caller must call
        `release` when the work ends, whatever its outcome.
        """
        team = state.TeamId(row.team)
        self._limit_shares.record_requests(team, cost)
        fraction = self._limit_shares.update_fraction(team)
        usage = self._get_usage(row, fraction)
        refusal = (
            self._check_concurrency(row.concurrency * fraction, usage, cost)
            or self._check_host_limit(cost)
            or self._check_rate(usage, cost)
            or self._check_queue_wait(row, deadline)
        )
        if refusal is not None:
            return result.Err(refusal)
        usage.rate.take(cost)
        usage.in_flight += cost
        self._in_flight += cost
        return result.Ok(None)

    def release(self, row: state.TeamRow, cost: int) -> None:
        """Release the capacity used by admitted work that has ended."""
        self._usage_by_team[state.TeamId(row.team)].in_flight -= cost
        self._in_flight -= cost

    @property
    def in_flight(self) -> int:
        """Return the number of admitted shard requests still in flight."""
        return self._in_flight

    def remove_absent_teams(
        self, rows: dict[state.TeamId, state.TeamRow]
    ) -> None:
        """Remove the state of idle teams that are not in the table."""
        for team, usage in list(self._usage_by_team.items()):
            if team not in rows and not usage.in_flight:
                del self._usage_by_team[team]

    def _get_usage(self, row: state.TeamRow, fraction: float) -> _TeamUsage:
        team = state.TeamId(row.team)
        rate = row.rate * fraction
        burst = max(1.0, rate * self._settings.rate_burst_s)
        usage = self._usage_by_team.get(team)
        if usage is None:
            usage = _TeamUsage(budgets.RateLimit(self._clock, rate, burst))
            self._usage_by_team[team] = usage
        else:
            usage.rate.set_rate(rate, burst)
        return usage

    def _check_concurrency(
        self, limit: float, usage: _TeamUsage, cost: int
    ) -> protocol.Refused | None:
        # A query that costs more than the limit is admitted when its team has
        # nothing in flight; otherwise it could never run.
        if usage.in_flight == 0 or usage.in_flight + cost <= limit:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.CONCURRENCY,
            detail=f'{usage.in_flight} shard requests are in flight and '
            f'{limit:.0f} are allowed at this host',
            retry_after_s=_BUSY_RETRY_AFTER_S,
        )

    def _check_host_limit(self, cost: int) -> protocol.Refused | None:
        if self._in_flight + cost <= self._settings.max_shard_requests:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.OVERLOAD,
            detail='this host has as much in flight as it may',
            retry_after_s=_BUSY_RETRY_AFTER_S,
        )

    def _check_rate(
        self, usage: _TeamUsage, cost: int
    ) -> protocol.Refused | None:
        wait_s = usage.rate.get_wait_s(cost)
        if wait_s <= 0:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.RATE,
            detail=f'{cost} shard requests are above the rate allowed',
            retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S),
        )

    def _check_queue_wait(
        self, row: state.TeamRow, deadline: float
    ) -> protocol.Refused | None:
        """Return the refusal if a queue is too long for a team, else None.

        The team may have fewer than `max_queued` requests in a queue, and a
        request may wait for `queue_fraction` of the time to its deadline. The
        shards of the request are not known here, so every service with queued
        requests is checked.
        """
        if not self._settings.refuse_late:
            return None
        left_s = deadline - self._clock.now()
        for service in self._dispatcher.list_queued_services():
            queued = service.queue.count(state.TeamId(row.team))
            wait_s = service.estimate_wait_s(row)
            allowed_s = left_s * self._settings.queue_fraction
            if queued >= self._settings.max_queued or wait_s > allowed_s:
                return protocol.Refused(
                    reason=protocol.RefusalReason.DEADLINE,
                    detail=f'would wait {wait_s:.3f} s for {service.shard} '
                    f'and may wait {max(allowed_s, 0):.3f} s',
                    retry_after_s=max(wait_s - allowed_s, _MIN_RETRY_AFTER_S),
                )
        return None
