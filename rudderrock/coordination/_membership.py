"""Membership and failure detection among hosts.

The protocol follows SWIM (Das, Gupta and Motivala, DSN 2002). Each host
probes one peer per period and asks other hosts to probe a peer that does
not answer. Membership updates are carried by the probes, so the traffic of
a host does not grow with the number of hosts. A suspected host refutes the
suspicion by raising its incarnation, a number that orders the updates about
a host.

The platform's host list adds hosts that are not yet known. A failed host is
removed only if the platform does not list it and it has no lease.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _shares as shares

# An update is sent this many times for each step of log2 of the number of
# hosts, rounded up.
_UPDATE_REPEATS = 3
_MS_PER_S = 1000
# Probe periods between two reads of the platform's host list.
_PERIODS_PER_HOST_LIST = 10
_DIRECT_PROBES = 2
# Sent instead of infinity for a table that was never confirmed.
_MAX_TABLE_AGE_S = 1e9

LeaseCheck = Callable[
    [state.HostId], Awaitable[result.Result[bool, transport.KvUnavailable]]
]

_SEVERITY = {
    protocol.MemberState.ALIVE: 0,
    protocol.MemberState.SUSPECT: 1,
    protocol.MemberState.LEAVING: 2,
    protocol.MemberState.FAILED: 3,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigInForce:
    """Revisions in force, and the seconds since the table was confirmed."""

    table_revision: state.Revision
    table_age_s: float
    layout_revision: state.Revision


class Membership:
    """The members known to this host, including itself.

    Parameters: `me` is this host; `peers` and `host_list` are ports;
    `has_lease` asks the key-value service whether a host has a lease;
    `get_config` returns the revisions in force, for digests; `on_digest` is
    called with each digest received; `on_change` is called when the set of
    hosts has changed; `hybrid_clock` is the hybrid clock that stamps digests.
    """

    def __init__(
        self,
        me: protocol.Member,
        peers: transport.PeerPort,
        host_list: transport.HostListPort | None,
        settings: state.MembershipSettings,
        *,
        limit_shares: shares.LimitShares,
        has_lease: LeaseCheck,
        get_config: Callable[[], ConfigInForce],
        on_digest: Callable[[protocol.Digest], None],
        on_change: Callable[[], None],
        clock: state.Clock,
        hybrid_clock: state.HybridClock,
        rng: random.Random,
        event_ring: state.EventRing,
    ):
        self.me = me
        self.last_contact_at: float | None = None
        self._peers = peers
        self._host_list = host_list
        self._settings = settings
        self._limit_shares = limit_shares
        self._has_lease = has_lease
        self._get_config = get_config
        self._on_digest = on_digest
        self._on_change = on_change
        self._clock = clock
        self._hybrid_clock = hybrid_clock
        self._rng = rng
        self._event_ring = event_ring
        self._members: dict[state.HostId, protocol.Member] = {}
        self._updated_at: dict[state.HostId, float] = {}
        self._pending_updates: dict[state.HostId, int] = {}
        self._probe_order: list[state.HostId] = []
        self._listed_hosts: set[state.HostId] = set()
        self._host_list_read = False
        # Why entries of the last host list were left out.
        self._rejected: tuple[str, ...] = ()

    def list_live(self) -> list[protocol.Member]:
        """Return the peers that are not marked as failed."""
        return [
            member
            for member in self._members.values()
            if member.state is not protocol.MemberState.FAILED
        ]

    def list_members(self) -> list[protocol.Member]:
        """Return all members, failed ones included, this host first."""
        return [self.me, *self._members.values()]

    def list_sharing_hosts(self) -> set[state.HostId]:
        """Return the hosts that limits and connections are divided among.

        A host marked as failed keeps its share until it is removed,
        because it may still be serving beyond a broken network link.
        """
        return {self.me.host, *self._members}

    @property
    def is_only_host(self) -> bool:
        """Return whether no other host is known.

        False until the platform's host list has been read.
        """
        return self._host_list_read and not self._members

    async def run(self) -> None:
        """Probe one peer per period until cancelled."""
        periods = 0
        while True:
            if periods % _PERIODS_PER_HOST_LIST == 0:
                await self._read_host_list()
            periods += 1
            await self._expire_members()
            target = self._pick_target()
            if target is not None:
                await self._probe(target)
            pause_s = self._settings.period_s * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)

    async def push_updates(self, fanout: int) -> None:
        """Send a digest to up to `fanout` random peers at once."""
        live = self.list_live()
        chosen = self._rng.sample(live, min(fanout, len(live)))
        await asyncio.gather(*(self._send_probe(each) for each in chosen))

    async def answer_probe(self, probe: protocol.Probe) -> protocol.ProbeReply:
        """Answer a peer's probe, and probe a third host if it asks for one."""
        self.apply_digest(probe.digest)
        reached = True
        if probe.target is not None and probe.target.host != self.me.host:
            reached = await self._send_probe(probe.target)
        return protocol.ProbeReply(digest=self.make_digest(), reached=reached)

    def make_digest(self) -> protocol.Digest:
        """Make the digest for one message.

        Each call uses up one sending of the pending updates in the digest.
        """
        config = self._get_config()
        return protocol.Digest(
            sender=self.me,
            stamp=self._hybrid_clock.tick(),
            table_revision=config.table_revision,
            table_age_s=min(config.table_age_s, _MAX_TABLE_AGE_S),
            layout_revision=config.layout_revision,
            news=self._pick_updates(),
            demands=self._limit_shares.pick_demands(self._rng),
        )

    def apply_digest(
        self, digest: protocol.Digest, at: float | None = None
    ) -> None:
        """Merge a digest received from a peer.

        `at` is the loop time at which the peer was known to be reachable:
        for a reply, the time when its probe was sent. It is None for a
        digest received in a probe.
        """
        if at is not None:
            self.last_contact_at = max(at, self.last_contact_at or at)
        self._hybrid_clock.observe(digest.stamp)
        for demand in digest.demands:
            self._limit_shares.merge_demand(demand)
        self._merge_member(digest.sender)
        for member in digest.news:
            self._merge_member(member)
        self._on_digest(digest)

    def mark_leaving(self) -> None:
        """Mark this host as leaving, for the digests sent from now on."""
        self._set_own_state(protocol.MemberState.LEAVING)

    def _set_own_state(self, new_state: protocol.MemberState) -> None:
        self.me = protocol.Member(
            host=self.me.host,
            zone=self.me.zone,
            control=self.me.control,
            incarnation=self.me.incarnation + 1,
            state=new_state,
        )
        self._pending_updates[self.me.host] = self._get_send_count()

    def _merge_member(self, member: protocol.Member) -> None:
        """Merge one update about a member if it overrides what is known."""
        if member.host == self.me.host:
            self._refute(member)
            return
        known = self._members.get(member.host)
        if known is not None and not _overrides(member, known):
            return
        if known is None and member.state is protocol.MemberState.FAILED:
            return
        self._set_member(member)

    def _refute(self, member: protocol.Member) -> None:
        """Raise this host's incarnation above an update with another state."""
        differs = member.state is not self.me.state
        if differs and member.incarnation >= self.me.incarnation:
            self.me = protocol.Member(
                host=self.me.host,
                zone=self.me.zone,
                control=self.me.control,
                incarnation=member.incarnation + 1,
                state=self.me.state,
            )
            self._pending_updates[self.me.host] = self._get_send_count()

    def _set_member(self, member: protocol.Member) -> None:
        known = self._members.get(member.host)
        self._members[member.host] = member
        self._updated_at[member.host] = self._clock.now()
        self._pending_updates[member.host] = self._get_send_count()
        if known is None or known.state is not member.state:
            self._event_ring.record(
                state.EventKind.PEER_STATE,
                detail=f'{member.host} {member.state.value}',
            )
        if known is None:
            self._on_change()

    def _remove_member(self, host: state.HostId) -> None:
        del self._members[host]
        self._updated_at.pop(host, None)
        self._pending_updates.pop(host, None)
        self._event_ring.record(
            state.EventKind.PEER_STATE, detail=f'{host} forgotten'
        )
        self._on_change()

    def _change_state(
        self, member: protocol.Member, new_state: protocol.MemberState
    ) -> None:
        self._set_member(
            protocol.Member(
                host=member.host,
                zone=member.zone,
                control=member.control,
                incarnation=member.incarnation,
                state=new_state,
            )
        )

    async def _expire_members(self) -> None:
        """Expire suspected and failed members.

        A member suspected for `suspect_s` is marked as failed. One failed
        for `forget_s` is removed if it is also unlisted and has no lease.
        """
        for member in list(self._members.values()):
            in_state_s = self._clock.now() - self._updated_at[member.host]
            match member.state:
                case protocol.MemberState.SUSPECT:
                    if in_state_s >= self._settings.suspect_s:
                        self._change_state(member, protocol.MemberState.FAILED)
                case protocol.MemberState.FAILED:
                    if in_state_s >= self._settings.forget_s:
                        await self._remove_if_gone(member)

    async def _remove_if_gone(self, member: protocol.Member) -> None:
        """Remove a failed host if it is also unlisted and without a lease.

        Until then, the host may still be serving where this host cannot reach
        it, and it keeps its share of limits and connections.
        """
        if not self._host_list_read or member.host in self._listed_hosts:
            return
        match await self._has_lease(member.host):
            case result.Ok(False):
                if self._members.get(member.host) is member:
                    self._remove_member(member.host)

    def _pick_target(self) -> protocol.Member | None:
        """Return the next peer in a shuffled order over all peers."""
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None:
                return member
        self._probe_order = list(self._members)
        self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self._members[self._probe_order.pop()]

    async def _probe(self, target: protocol.Member) -> None:
        """Probe a peer, first directly and then through other hosts."""
        # Two direct probes: one lost message is far more likely than a
        # failed host, and an indirect probe costs four messages per helper.
        for _ in range(_DIRECT_PROBES):
            if await self._send_probe(target):
                return
        if await self._probe_indirectly(target):
            return
        known = self._members.get(target.host)
        if known is None:
            return
        if known.state is protocol.MemberState.ALIVE:
            self._change_state(known, protocol.MemberState.SUSPECT)
        elif known.state is protocol.MemberState.LEAVING:
            self._change_state(known, protocol.MemberState.FAILED)

    async def _probe_indirectly(self, target: protocol.Member) -> bool:
        others = [
            each for each in self.list_live() if each.host != target.host
        ]
        count = min(self._settings.indirect, len(others))
        helpers = self._rng.sample(others, count)
        reached = await asyncio.gather(
            *(self._send_probe(each, target) for each in helpers)
        )
        return any(reached)

    async def _send_probe(
        self,
        receiver: protocol.Member,
        target: protocol.Member | None = None,
    ) -> bool:
        """Send one probe; return whether `target` answered.

        Without a target, return whether `receiver` itself answered.
        """
        timeout_s = self._settings.probe_timeout_s
        if target is not None:
            timeout_s *= 2
        probe = protocol.Probe(digest=self.make_digest(), target=target)
        sent_at = self._clock.now()
        reply = await self._peers.probe(receiver.control, probe, timeout_s)
        match reply:
            case result.Ok(answer):
                self.apply_digest(answer.digest, sent_at)
                return answer.reached
        return False

    async def _read_host_list(self) -> None:
        if self._host_list is None:
            return
        listed = await self._host_list.list_hosts()
        if listed.is_err():
            return
        self._host_list_read = True
        listing = listed.unwrap()
        self._record_rejected(listing.problems)
        self._listed_hosts = {each.host for each in listing.hosts}
        for each in listing.hosts:
            if each.host in self._members or each.host == self.me.host:
                continue
            if not each.leaving:
                self._merge_member(
                    protocol.Member(
                        host=each.host,
                        zone=each.zone,
                        control=each.control,
                        incarnation=0,
                        state=protocol.MemberState.ALIVE,
                    )
                )

    def _record_rejected(self, problems: tuple[str, ...]) -> None:
        """Record the invalid entries of the host list once while they last."""
        if problems and problems != self._rejected:
            self._event_ring.record(
                state.EventKind.HOSTS_REJECTED,
                detail=f'{len(problems)} in the host list: {problems[0]}',
            )
        self._rejected = problems

    def _get_send_count(self) -> int:
        return _UPDATE_REPEATS * max(1, len(self._members).bit_length())

    def _pick_updates(self) -> list[protocol.Member]:
        """Return the members for one digest.

        The updates sent least often come first; random other members fill
        the rest.
        """
        pending = sorted(
            self._pending_updates.items(), key=lambda each: -each[1]
        )
        chosen: dict[state.HostId, protocol.Member] = {}
        for host, sends_left in pending[: protocol.MAX_DIGEST_MEMBERS]:
            member = self._members.get(host)
            if member is not None:
                chosen[host] = member
            if sends_left <= 1:
                del self._pending_updates[host]
            else:
                self._pending_updates[host] = sends_left - 1
        remaining = protocol.MAX_DIGEST_MEMBERS - len(chosen)
        rest = [host for host in self._members if host not in chosen]
        for host in self._rng.sample(rest, min(remaining, len(rest))):
            chosen[host] = self._members[host]
        return list(chosen.values())


def make_incarnation(clock: state.Clock) -> int:
    """Return the initial incarnation of a process, from the wall clock.

    It is higher than that of any earlier process of the same host.
    """
    return round(clock.wall() * _MS_PER_S)


def _overrides(update: protocol.Member, known: protocol.Member) -> bool:
    """Return whether an update overrides what is known of a member.

    The higher incarnation wins; among equal ones, the more severe state.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _SEVERITY[update.state] > _SEVERITY[known.state]
