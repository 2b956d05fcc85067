"""The host that receives requests: request handling, startup, planned stop."""

import asyncio
from collections.abc import Awaitable
import contextlib
import random

import result

from rudderrock import core
from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _admission as admissions
from rudderrock.coordination import _admitted as admitted_queries
from rudderrock.coordination import _commands as commands
from rudderrock.coordination import _config as configs
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _leases as leases
from rudderrock.coordination import _lifecycle as lifecycle
from rudderrock.coordination import _membership as memberships
from rudderrock.coordination import _metrics as metrics
from rudderrock.coordination import _query as queries
from rudderrock.coordination import _shares as shares

_DRAIN_POLL_PERIOD_S = 0.02
_NOT_READY_RETRY_S = 1.0
# Time before the bound of a stop in which the answers reach the callers.
_ANSWER_MARGIN_S = 0.15


class EntryHost:
    """One host, assembled by the composition root (`rudderrock.root`).

    `run` serves until a planned stop (`stop`) has finished.
    """

    def __init__(
        self,
        settings: state.Settings,
        *,
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
        config: configs.Configuration,
        dispatcher: dispatch.Dispatcher,
        runner: queries.QueryRunner,
        limit_shares: shares.LimitShares,
        admission: admissions.Admission,
        command_runner: commands.CommandRunner,
        membership: memberships.Membership,
        lease: leases.HostLease,
    ):
        self.settings = settings
        self.event_ring = event_ring
        self.config = config
        self.dispatcher = dispatcher
        self.runner = runner
        self.admission = admission
        self.membership = membership
        self.lease = lease
        self.command_runner = command_runner
        self.lifecycle = lifecycle.Lifecycle(event_ring)
        self.metrics = metrics.HostMetrics(clock)
        self._clock = clock
        self._rng = rng
        self._limit_shares = limit_shares
        self._skip_waits = asyncio.Event()
        self._active: set[asyncio.Task] = set()
        # When a planned stop cancels requests in flight, at the earliest.
        self._ends_at: float | None = None

    # Startup and stop

    async def run(self) -> None:
        """Serve until a planned stop has finished."""
        async with contextlib.AsyncExitStack() as stack:
            # Separate callbacks, so that all are closed even if this task is
            # cancelled again while it waits for one of them.
            stack.push_async_callback(self.dispatcher.close)
            stack.push_async_callback(self.command_runner.close)
            stack.push_async_callback(self.lease.close)
            stack.push_async_callback(self.config.close)
            group = await stack.enter_async_context(_run_background_tasks())
            group.create_task(self.config.table_watcher.run())
            group.create_task(self.config.layout_watcher.run())
            group.create_task(self.membership.run())
            group.create_task(self.lease.run())
            group.create_task(self._delete_expired_claims())
            group.create_task(self.config.confirm_periodically())
            group.create_task(self._update_demand())
            group.create_task(self._serve_when_ready())
            await self.lifecycle.wait_until_stopped()

    async def stop(self) -> None:
        """Stop as planned: refuse new requests and wait for those in flight.

        The host first reports that it is not ready, but accepts requests for
        `balancer_lag_s` more, until the balancer has reacted. It then refuses
        new requests and waits up to `bound_s` for those in flight; the rest is
        cancelled, with the outcome `Unknown`. A command that comes while the
        host leaves is accepted only if its deadline is before. `stop_waiting`
        ends both waits. A further call of `stop` does nothing.
        """
        if self.lifecycle.state in (
            lifecycle.HostState.STARTING,
            lifecycle.HostState.SERVING,
        ):
            lag_s = self.settings.drain.balancer_lag_s
            bound_s = self.settings.drain.bound_s
            self._ends_at = self._clock.now() + lag_s + bound_s
            self.lifecycle.leave()
            self.membership.mark_leaving()
            await self.membership.push_updates(configs.PUSH_FANOUT)
            await core.wait_for_event(self._skip_waits, lag_s)
            self.lifecycle.drain()
            drain_until = self._clock.now() + bound_s
            while self._active and self._clock.now() < drain_until:
                if self._skip_waits.is_set():
                    break
                await asyncio.sleep(_DRAIN_POLL_PERIOD_S)
            await self._cancel_active()
            self.lifecycle.stop()

    def stop_waiting(self) -> None:
        """End the waits of a planned stop and cancel requests in flight."""
        self._skip_waits.set()

    async def _cancel_active(self) -> None:
        for task in list(self._active):
            task.cancel()
        if self._active:
            await asyncio.wait(self._active, timeout=1.0)

    async def _serve_when_ready(self) -> None:
        await self.config.wait_until_in_force()
        if self.lifecycle.state is lifecycle.HostState.STARTING:
            self.lifecycle.serve()

    async def _delete_expired_claims(self) -> None:
        """Delete this host's share of the expired claims periodically."""
        while True:
            await asyncio.sleep(self.settings.claims.clean_period_s)
            hosts = sorted(self.membership.list_sharing_hosts())
            index = hosts.index(self.membership.me.host)
            await self.command_runner.delete_expired(index, len(hosts))

    # Shares of limits and connections

    def on_hosts_changed(self) -> None:
        """Recompute shares after the set of hosts has changed."""
        sharing = self.membership.list_sharing_hosts()
        self._limit_shares.set_hosts(sharing)
        self.dispatcher.set_host_count(len(sharing))

    async def _update_demand(self) -> None:
        while True:
            self._limit_shares.update_demand()
            await asyncio.sleep(self.settings.membership.period_s)

    # Requests

    def authenticate(
        self, token: str | None
    ) -> result.Result[state.TeamRow, protocol.Refused]:
        """Return the row of the team that has this token, or the refusal."""
        claimed_team = state.get_token_team(token or '')
        row = (
            self.config.rows.get(claimed_team.ok())
            if claimed_team.is_ok()
            else None
        )
        hashes = row.token_hashes if row else ()
        # The check also runs for unknown teams, so that the response time
        # does not reveal which teams exist. No token matches 'none$none'.
        if state.check_token(token or '', hashes or ('none$none',)) and row:
            return result.Ok(row)
        return result.Err(
            protocol.Refused(
                reason=protocol.RefusalReason.UNAUTHENTICATED,
                detail='no team has this token',
            )
        )

    def check_serving(self) -> protocol.Refused | None:
        """Return the refusal if no requests are accepted now, else None."""
        if not self.lifecycle.accepts_requests:
            starting = self.lifecycle.state is lifecycle.HostState.STARTING
            reasons = protocol.RefusalReason
            return protocol.Refused(
                reason=reasons.NOT_READY if starting else reasons.DRAINING,
                detail=f'this host is {self.lifecycle.state.value}',
                retry_after_s=_NOT_READY_RETRY_S if starting else 0.0,
            )
        if self.config.is_isolated:
            return protocol.Refused(
                reason=protocol.RefusalReason.ISOLATED,
                detail='this host hears neither the key-value service nor '
                'any peer',
                retry_after_s=_NOT_READY_RETRY_S,
            )
        return None

    async def query(
        self, row: state.TeamRow, query: protocol.Query
    ) -> protocol.Outcome:
        """Run a team's query, or refuse it before any part of it runs."""
        query_id = self._make_query_id()
        started_at = self._clock.now()
        with self._track_task():
            work = self._query(row, query, query_id)
            outcome = await self._finish(work, query_id)
        self._record_outcome(row, query_id, outcome, started_at)
        return outcome

    async def command(
        self, row: state.TeamRow, command: protocol.Command, key: str
    ) -> protocol.Outcome:
        """Run a team's non-idempotent request at most once per key."""
        query_id = self._make_query_id()
        started_at = self._clock.now()
        with self._track_task():
            work = self._command(row, command, key, query_id)
            outcome = await self._finish(work, query_id)
        self._record_outcome(row, query_id, outcome, started_at)
        return outcome

    async def _finish(
        self, work: Awaitable[protocol.Outcome], query_id: state.QueryId
    ) -> protocol.Outcome:
        """Return the outcome of a request, also if a stop cancels it."""
        try:
            return await work
        except asyncio.CancelledError:
            if self.lifecycle.state is not lifecycle.HostState.DRAINING:
                raise
            # The cancellation ends here, so that the caller has an outcome.
            asyncio.current_task().uncancel()
            return protocol.Unknown(query=query_id, detail='host stopped')

    async def _query(
        self,
        row: state.TeamRow,
        query: protocol.Query,
        query_id: state.QueryId,
    ) -> protocol.Outcome:
        checked = self._check_request(row, query.collection)
        if checked.is_err():
            return checked.unwrap_err()
        collection = checked.unwrap()
        now = self._clock.now()
        deadline = now + min(
            row.deadline_s, query.deadline_s or row.deadline_s
        )
        if self._ends_at is not None:
            deadline = min(deadline, self._ends_at - _ANSWER_MARGIN_S)
        cost = len(collection.placements[-1].shards)
        decision = self.admission.admit(row, cost, deadline)
        if decision.is_err():
            return decision.unwrap_err()
        admitted = admitted_queries.AdmittedQuery(
            query_id=query_id,
            row=row,
            query=query,
            deadline=deadline,
            soft_deadline=min(now + row.soft_deadline_s, deadline),
        )
        try:
            return await self.runner.run(admitted, collection)
        finally:
            self.admission.release(row, cost)

    async def _command(
        self,
        row: state.TeamRow,
        command: protocol.Command,
        key: str,
        query_id: state.QueryId,
    ) -> protocol.Outcome:
        checked = self._check_request(row, command.collection)
        if checked.is_err():
            return checked.unwrap_err()
        if not row.may_write:
            return protocol.Refused(
                reason=protocol.RefusalReason.FORBIDDEN,
                detail='this team may not write',
            )
        now = self._clock.now()
        deadline = now + min(
            row.deadline_s, command.deadline_s or row.deadline_s
        )
        if self._ends_at is not None and deadline > self._ends_at:
            return protocol.Refused(
                reason=protocol.RefusalReason.DRAINING,
                detail='this host stops before the deadline',
                retry_after_s=0.0,
            )
        decision = self.admission.admit(row, 1, deadline)
        if decision.is_err():
            return decision.unwrap_err()
        try:
            return await self.command_runner.run(
                commands.AdmittedCommand(
                    query_id=query_id,
                    row=row,
                    command=command,
                    key=key,
                    deadline=deadline,
                ),
                checked.unwrap(),
            )
        finally:
            self.admission.release(row, 1)

    def _check_request(
        self, row: state.TeamRow, collection: state.CollectionId
    ) -> result.Result[state.Collection, protocol.Refused]:
        refused = self.check_serving()
        if refused is not None:
            return result.Err(refused)
        found = self.dispatcher.find_collection(collection)
        # The same refusal for an absent collection and for one of another
        # team, so that it does not reveal which collections exist.
        if found is None or not row.may_query(collection):
            return result.Err(
                protocol.Refused(
                    reason=protocol.RefusalReason.UNKNOWN_COLLECTION,
                    detail=f'no collection {collection!r} for this team',
                )
            )
        return result.Ok(found)

    def _make_query_id(self) -> state.QueryId:
        number = self._rng.getrandbits(64)
        return state.QueryId(f'{self.settings.host.id}-{number:016x}')

    @contextlib.contextmanager
    def _track_task(self):
        """Register the current task, so that a planned stop waits for it."""
        task = asyncio.current_task()
        self._active.add(task)
        try:
            yield
        finally:
            self._active.discard(task)

    def _record_outcome(
        self,
        row: state.TeamRow,
        query_id: state.QueryId,
        outcome: protocol.Outcome,
        started_at: float,
    ) -> None:
        team = state.TeamId(row.team)
        self.metrics.record_outcome(
            team, outcome, self._clock.now() - started_at
        )
        kind, detail = describe_outcome(outcome)
        self.event_ring.record(kind, team=team, query=query_id, detail=detail)


def describe_outcome(
    outcome: protocol.Outcome,
) -> tuple[state.EventKind, str]:
    """Return the event kind and the event detail for an outcome."""
    match outcome:
        case protocol.Answered(coverage=coverage, version=version):
            detail = (
                f'{coverage.answered} of {coverage.shards} shards '
                f'at version {version}'
            )
            return state.EventKind.ANSWERED, detail
        case protocol.Recorded(repeat=repeat):
            return state.EventKind.ANSWERED, 'repeat' if repeat else 'ran'
        case protocol.Refused(reason=reason):
            return state.EventKind.REFUSED, reason.value
        case protocol.Unknown(detail=detail):
            return state.EventKind.UNKNOWN, detail


@contextlib.asynccontextmanager
async def _run_background_tasks():
    """Return a context manager that cancels its tasks at the block's end."""
    async with asyncio.TaskGroup() as group:
        tasks: list[asyncio.Task] = []
        yield _BackgroundTasks(group, tasks)
        for task in tasks:
            task.cancel()


class _BackgroundTasks:
    """Starts tasks in a task group and collects them for cancellation."""

    def __init__(self, group: asyncio.TaskGroup, tasks: list[asyncio.Task]):
        self._group = group
        self._tasks = tasks

    def create_task(self, coroutine) -> None:
        """Start a task that is cancelled when the `async with` block ends."""
        self._tasks.append(self._group.create_task(coroutine))
