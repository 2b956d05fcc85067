"""Admission control: refuses requests before any part of them runs.

Cost is counted in shard requests, so a query over many shards costs more than
one over few. An admitted query is not refused later: it is answered with the
coverage that it reached. Every check that can refuse a request is therefore
made here, and each refusal carries the time after which a retry is worthwhile.
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
class _Gate:
    """Use of this host by one team."""

    rate: budgets.RateLimit
    in_flight: int = 0


class Admission:
    """Admits or refuses requests by the limits of teams and of this host."""

    def __init__(
        self,
        settings: state.AdmissionSettings,
        book: shares.ShareBook,
        dispatcher: dispatch.Dispatcher,
        clock: state.Clock,
    ):
        self._settings = settings
        self._book = book
        self._dispatcher = dispatcher
        self._clock = clock
        self._gates: dict[state.TeamId, _Gate] = {}
        self._in_flight = 0

    def admit(
        self, row: state.TeamRow, cost: int, deadline: float
    ) -> result.Result[None, protocol.Refused]:
        """Admit work of `cost` shard requests, or return why it is refused.

        `deadline` is in loop time. For admitted work, the caller must call
        `release` when the work ends, whatever its outcome.
        """
        team = state.TeamId(row.team)
        self._book.note(team, cost)
        fraction = self._book.get_fraction(team)
        gate = self._find_gate(row, fraction)
        refused = (
            self._check_concurrency(row.concurrency * fraction, gate, cost)
            or self._check_host(cost)
            or self._check_rate(gate, cost)
            or self._check_queues(row, deadline)
        )
        if refused is not None:
            return result.Err(refused)
        gate.rate.take(cost)
        gate.in_flight += cost
        self._in_flight += cost
        return result.Ok(None)

    def release(self, row: state.TeamRow, cost: int) -> None:
        """Release the capacity used by admitted work that has ended."""
        self._gates[state.TeamId(row.team)].in_flight -= cost
        self._in_flight -= cost

    @property
    def in_flight(self) -> int:
        """Return the number of admitted shard requests still in flight."""
        return self._in_flight

    def forget_teams(self, rows: dict[state.TeamId, state.TeamRow]) -> None:
        """Remove the state of idle teams that are not in the table."""
        for team, gate in list(self._gates.items()):
            if team not in rows and not gate.in_flight:
                del self._gates[team]

    def _find_gate(self, row: state.TeamRow, fraction: float) -> _Gate:
        team = state.TeamId(row.team)
        rate = row.rate * fraction
        burst = max(1.0, rate * self._settings.rate_burst_s)
        gate = self._gates.get(team)
        if gate is None:
            gate = _Gate(budgets.RateLimit(self._clock, rate, burst))
            self._gates[team] = gate
        else:
            gate.rate.set_rate(rate, burst)
        return gate

    def _check_concurrency(
        self, limit: float, gate: _Gate, cost: int
    ) -> protocol.Refused | None:
        # A query that costs more than the limit is admitted when its team has
        # nothing in flight; otherwise it could never run.
        if gate.in_flight == 0 or gate.in_flight + cost <= limit:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.CONCURRENCY,
            detail=f'{gate.in_flight} shard requests of the team are in '
            f'flight; {limit:.0f} are allowed at this host',
            retry_after_s=_BUSY_RETRY_AFTER_S,
        )

    def _check_host(self, cost: int) -> protocol.Refused | None:
        if self._in_flight + cost <= self._settings.max_shard_requests:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.OVERLOAD,
            detail='this host is at its limit of shard requests in flight',
            retry_after_s=_BUSY_RETRY_AFTER_S,
        )

    def _check_rate(self, gate: _Gate, cost: int) -> protocol.Refused | None:
        wait_s = gate.rate.get_wait_s(cost)
        if wait_s <= 0:
            return None
        return protocol.Refused(
            reason=protocol.RefusalReason.RATE,
            detail=f'{cost} shard requests exceed the rate limit of the team',
            retry_after_s=max(wait_s, _MIN_RETRY_AFTER_S),
        )

    def _check_queues(
        self, row: state.TeamRow, deadline: float
    ) -> protocol.Refused | None:
        """Refuse a request that would wait too long for a slot.

        A request may wait for `queue_fraction` of the time to its deadline.
        All services with queued requests are checked.
        """
        if not self._settings.refuse_late:
            return None
        left_s = deadline - self._clock.now()
        for service in self._dispatcher.list_waiting():
            queued = service.queue.count(state.TeamId(row.team))
            wait_s = service.estimate_wait_s(row)
            allowed_s = left_s * self._settings.queue_fraction
            if queued >= self._settings.max_queued or wait_s > allowed_s:
                return protocol.Refused(
                    reason=protocol.RefusalReason.DEADLINE,
                    detail=f'would wait {wait_s:.3f} s for {service.shard}; '
                    f'at most {max(allowed_s, 0):.3f} s is allowed',
                    retry_after_s=max(wait_s - allowed_s, _MIN_RETRY_AFTER_S),
                )
        return None
