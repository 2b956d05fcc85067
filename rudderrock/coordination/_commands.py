"""Execution of non-idempotent requests, each at most once.

A command is claimed, then sent, and then its outcome is recorded. A command is
never sent without a claim, never sent again once its bytes may have left, and
never hedged. If a claimed command is certain not to have run, its claim is
released and the request is refused with reason `UPSTREAM`. If the upstream
answers, its answer is recorded. In every other case the outcome is "unknown",
for this call and for repeated ones.
"""

import asyncio
import dataclasses
import random

import result
import xxhash

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _attempt as attempts
from rudderrock.coordination import _claims as claims
from rudderrock.coordination import _dispatch as dispatch

_MAX_ATTEMPTS = 3
_RETRY_AFTER_S = 0.2
_KV_RETRY_AFTER_S = 1.0
_INITIAL_POLL_S = 0.05
# For a larger result, only the fact that the command ran is recorded.
_MAX_RECORDED_BYTES = 2048
# Fraction of the time to the deadline that claiming may take.
_CLAIM_TIME_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedCommand:
    """An admitted command; `deadline` is in loop time."""

    query_id: state.QueryId
    row: state.TeamRow
    command: protocol.Command
    key: str
    deadline: float

    @property
    def claim_key(self) -> str:
        """Return the key to claim, prefixed with the team."""
        return f'{self.row.team}/{self.key}'


@dataclasses.dataclass(frozen=True, slots=True)
class _NotRun:
    """The command is certain not to have run."""

    detail: str


class CommandRunner:
    """Runs admitted commands at most once."""

    def __init__(
        self,
        host: state.HostId,
        store: claims.ClaimStore,
        dispatcher: dispatch.Dispatcher,
        settings: state.Settings,
        clock: state.Clock,
        rng: random.Random,
        event_ring: state.EventRing,
    ):
        self._host = host
        self._store = store
        self._dispatcher = dispatcher
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._event_ring = event_ring

    async def run(
        self, admitted: AdmittedCommand, collection: state.Collection
    ) -> protocol.Outcome:
        """Run a command, or return the outcome recorded for its key."""
        checked = self._store.check_key(admitted.key)
        if checked.is_err():
            return checked.unwrap_err()
        claim = self._make_claim(admitted)
        now = self._clock.now()
        until = now + _CLAIM_TIME_FRACTION * (admitted.deadline - now)
        claimed = await self._store.claim(admitted.claim_key, claim, until)
        match claimed:
            case claims.AlreadyClaimed(earlier):
                return await self._answer_repeat(admitted, claim, earlier)
            case claims.ClaimNotCommitted(detail):
                # Nothing was sent. The claim may still be stored later, so it
                # is released to make the key usable again.
                self._store.release(admitted.claim_key, claim)
                return _refuse_unclaimed(admitted, detail)
            case claims.ClaimGranted():
                return await self._run_claimed(admitted, collection, claim)

    async def delete_expired(self, index: int, hosts: int) -> None:
        """Delete this host's part of the expired claims."""
        await self._store.delete_expired(index, hosts)

    async def close(self) -> None:
        """Discard the claims and outcomes that are not yet written."""
        await self._store.close()

    def _make_claim(self, admitted: AdmittedCommand) -> claims.Claim:
        left_s = admitted.deadline - self._clock.now()
        return claims.Claim(
            nonce=f'{self._rng.getrandbits(96):024x}',
            holder=self._host,
            fingerprint=claims.make_fingerprint(admitted.command),
            expires=self._clock.wall() + left_s,
        )

    async def _answer_repeat(
        self,
        admitted: AdmittedCommand,
        claim: claims.Claim,
        earlier: claims.Claim,
    ) -> protocol.Outcome:
        """Return the outcome of the first call, waiting for it if needed."""
        if earlier.fingerprint != claim.fingerprint:
            return protocol.Refused(
                reason=protocol.RefusalReason.KEY_REUSED,
                detail='this key was used for a different request',
                query=admitted.query_id,
            )
        poll_s = _INITIAL_POLL_S
        while earlier.state is claims.ClaimState.CLAIMED:
            is_expired = self._clock.wall() >= earlier.expires
            if is_expired or self._clock.now() + poll_s >= admitted.deadline:
                return protocol.Unknown(
                    query=admitted.query_id,
                    detail='an earlier call with this key may have run; '
                    'its outcome is not recorded',
                )
            await asyncio.sleep(poll_s)
            poll_s *= 2
            match await self._store.read(admitted.claim_key):
                case result.Ok(claims.Claim() as current):
                    earlier = current
                case result.Ok(None):
                    return protocol.Refused(
                        reason=protocol.RefusalReason.UPSTREAM,
                        detail='the earlier call with this key did not run',
                        retry_after_s=_RETRY_AFTER_S,
                        query=admitted.query_id,
                    )
        return protocol.Recorded(
            query=admitted.query_id,
            key=admitted.key,
            hits=earlier.hits,
            repeat=True,
        )

    async def _run_claimed(
        self,
        admitted: AdmittedCommand,
        collection: state.Collection,
        claim: claims.Claim,
    ) -> protocol.Outcome:
        team = state.TeamId(admitted.row.team)
        self._event_ring.record(
            state.EventKind.CLAIM,
            team=team,
            query=admitted.query_id,
            detail=admitted.key,
        )
        try:
            outcome = await self._send(admitted, collection)
        except asyncio.CancelledError:
            # Cancelled by an operator, or because the caller disconnected. The
            # claim is kept, so that no host runs the command again. The
            # cancellation ends here, so that this outcome is returned.
            asyncio.current_task().uncancel()
            return protocol.Unknown(
                query=admitted.query_id, detail='cut while under way'
            )
        match outcome:
            case _NotRun(detail):
                self._store.release(admitted.claim_key, claim)
                return protocol.Refused(
                    reason=protocol.RefusalReason.UPSTREAM,
                    detail=detail,
                    retry_after_s=_RETRY_AFTER_S,
                    query=admitted.query_id,
                )
            case protocol.ShardAnswer(hits=hits):
                self._record_outcome(admitted, claim, hits)
                return protocol.Recorded(
                    query=admitted.query_id,
                    key=admitted.key,
                    hits=hits,
                    repeat=False,
                )
        return protocol.Unknown(
            query=admitted.query_id, detail='the upstream gave no answer'
        )

    def _record_outcome(
        self,
        admitted: AdmittedCommand,
        claim: claims.Claim,
        hits: list[protocol.Hit],
    ) -> None:
        recorded_hits = hits
        if len(protocol.encode(hits)) > _MAX_RECORDED_BYTES:
            # Only the fact that the command ran must be kept: the stored value
            # of a partition is limited to 1 MB.
            recorded_hits = []
        done = dataclasses.replace(
            claim, state=claims.ClaimState.DONE, hits=recorded_hits
        )
        self._store.record_outcome(admitted.claim_key, done)

    async def _send(
        self, admitted: AdmittedCommand, collection: state.Collection
    ) -> protocol.ShardReply | _NotRun:
        """Send a command to one replica and return its reply.

        Another replica is tried only if the reply proves that the command did
        not run.
        """
        placement = collection.placements[-1]
        shards = sorted(placement.shards)
        index = xxhash.xxh64_intdigest(admitted.command.routing_key.encode())
        service = self._dispatcher.find_service(shards[index % len(shards)])
        avoid: set[state.UpstreamId] = set()
        reply: protocol.ShardReply = protocol.ShardLost(False, 'not tried')
        for number in range(_MAX_ATTEMPTS):
            if self._clock.now() >= admitted.deadline:
                return _NotRun('the deadline came before it could be sent')
            if not service.is_reachable:
                return _NotRun(f'no replica of {service.shard} is reachable')
            attempt = self._make_attempt(
                admitted, service, placement, number, frozenset(avoid)
            )
            reply = await self._exchange(service, attempt)
            if not dispatch.is_not_run(reply):
                return reply
            if attempt.upstream is not None:
                avoid.add(attempt.upstream)
        return _NotRun(f'refused by {len(avoid)} replicas, last: {reply}')

    def _make_attempt(
        self,
        admitted: AdmittedCommand,
        service: dispatch.Service,
        placement: state.Placement,
        number: int,
        avoid: frozenset[state.UpstreamId],
    ) -> attempts.Attempt:
        left_s = admitted.deadline - self._clock.now()
        request = protocol.ShardRequest(
            request_id=state.RequestId(f'{admitted.query_id}.{number}'),
            shard=service.shard,
            version=placement.version,
            body=admitted.command.body,
            limit=1,
            deadline=self._clock.wall() + left_s,
            write=True,
        )
        return attempts.Attempt(
            request=request,
            row=admitted.row,
            kind=attempts.AttemptKind.FIRST,
            deadline=admitted.deadline,
            grace_s=self._settings.routing.exchange_grace_s,
            reply_queue=attempts.ReplyQueue(asyncio.get_running_loop()),
            avoid=avoid,
        )

    async def _exchange(
        self, service: dispatch.Service, attempt: attempts.Attempt
    ) -> protocol.ShardReply:
        self._dispatcher.submit(service, attempt)
        until = attempt.read_until + attempt.grace_s
        for _, reply in await attempt.reply_queue.take(until):
            return reply
        sent = attempt.sent_at is not None
        attempt.detach()
        return protocol.ShardLost(sent, 'deadline')


def _refuse_unclaimed(
    admitted: AdmittedCommand, detail: str
) -> protocol.Refused:
    return protocol.Refused(
        reason=protocol.RefusalReason.KV_UNAVAILABLE,
        detail=f'could not be claimed: {detail}',
        retry_after_s=_KV_RETRY_AFTER_S,
        query=admitted.query_id,
    )
