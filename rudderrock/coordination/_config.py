"""What one host has in force, how fresh that is, and how it spreads."""

import asyncio
from collections.abc import Coroutine
import math
import random

import xxhash

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _admission as admission
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _follow as follow
from rudderrock.coordination import _members as members

PUSH_FANOUT = 3
_CHECKS_BEFORE_ISOLATION = 4
_MAX_CHECK_PAUSE_S = 8.0
# The order in which hosts read the table anew changes this often.
_READ_ORDER_EPOCH_S = 60.0
_MAX_READ_RANK = 6
_FETCH_TIMEOUT_S = 1.0


class Configuration:
    """The table and the layout in force on one host.

    Parameters: `table` and `layout` follow the key-value service; what
    they find is put in force by `apply_table` and `apply_layout`, which
    the root has given them. `peers` is where a later one is fetched.
    """

    def __init__(
        self,
        settings: state.Settings,
        *,
        table: follow.KeyFollower[state.Table],
        layout: follow.KeyFollower[state.Layout],
        membership: members.Membership,
        dispatcher: dispatch.Dispatcher,
        gate: admission.Admission,
        peers: transport.PeerPort,
        clock: state.Clock,
        source: random.Random,
    ):
        self.table = table
        self.layout = layout
        self.rows: dict[state.TeamId, state.TeamRow] = {}
        self.table_in_force = state.Table()
        self.layout_in_force = state.Layout()
        self._settings = settings
        self._membership = membership
        self._dispatcher = dispatcher
        self._gate = gate
        self._peers = peers
        self._clock = clock
        self._source = source
        self._fetch_task: asyncio.Task | None = None
        self._push_task: asyncio.Task | None = None
        self._background_tasks: set[asyncio.Task] = set()
        self._closed = False
        self._started_at = clock.now()

    async def wait_until_read(self) -> None:
        """Wait until a table and a layout are in force."""
        await self.table.wait_until_read()
        await self.layout.wait_until_read()

    async def close(self) -> None:
        """End what is being fetched or spread."""
        self._closed = True
        background_tasks = list(self._background_tasks)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)

    def apply_table(self, table: state.Table) -> None:
        """Put a table in force, and tell peers of it."""
        self.rows = table.rows
        self.table_in_force = table
        self._gate.forget_teams(table.rows)
        if self._push_task is None or self._push_task.done():
            self._push_task = self._start_background_task(
                self._membership.push_updates(PUSH_FANOUT)
            )

    def apply_layout(self, layout: state.Layout) -> None:
        """Put a layout in force."""
        self.layout_in_force = layout
        self._dispatcher.apply_layout(layout)

    def get_config(self) -> members.ConfigInForce:
        """Return what is in force, for digests."""
        return members.ConfigInForce(
            table_revision=self.table.revision,
            table_age_s=self.table.get_age_s(),
            layout_revision=self.layout.revision,
        )

    def answer_config(
        self, request: protocol.ConfigRequest
    ) -> protocol.ConfigReply:
        """Give a peer what it has not yet got."""
        table, layout = self.table_in_force, self.layout_in_force
        send_table = table.revision > request.table_revision
        send_layout = layout.revision > request.layout_revision
        return protocol.ConfigReply(
            table=table if send_table else None,
            layout=layout if send_layout else None,
        )

    def on_digest(self, digest: protocol.Digest) -> None:
        """Compare what a peer has in force with ours; fetch what is later."""
        if digest.table_revision == self.table.revision:
            self.table.confirm(digest.table_age_s)
        peer_is_newer = (
            digest.table_revision > self.table.revision
            or digest.layout_revision > self.layout.revision
        )
        if self._closed or not peer_is_newer:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = self._start_background_task(
                self._fetch_config(digest.sender)
            )

    async def _fetch_config(self, peer: protocol.Member) -> None:
        request = protocol.ConfigRequest(
            table_revision=self.table.revision,
            layout_revision=self.layout.revision,
        )
        fetched = await self._peers.fetch_config(
            peer.control, request, _FETCH_TIMEOUT_S
        )
        if fetched.is_err():
            return
        reply = fetched.unwrap()
        origin = f'peer {peer.host}'
        # Layout first: a table may name collections that are new in it.
        if reply.layout and not state.check_layout(reply.layout):
            self.layout.offer(reply.layout, origin)
        if reply.table and not state.check_table(reply.table):
            self.table.offer(reply.table, origin)

    @property
    def is_isolated(self) -> bool:
        """Tell whether this host may be serving a table long replaced.

        So it is when neither the key-value service nor any peer has been
        heard of for `isolation_s`.
        """
        if self._membership.is_only_host:
            return False
        return (
            self._get_contact_age_s() > self._settings.membership.isolation_s
        )

    def _get_contact_age_s(self) -> float:
        """Return for how long nobody has been heard of, in seconds."""
        last_contact = max(
            self.table.last_contact_at or -math.inf,
            self._membership.last_contact_at or -math.inf,
        )
        return self._clock.now() - max(last_contact, self._started_at)

    async def confirm_periodically(self) -> None:
        """Read the table when its revision has not been confirmed lately.

        One host's reading confirms it for all, since its age goes round
        with the digests. Hosts take turns, the next one being due if the
        first has not read, so the readings do not grow with the fleet. A
        host that hears no peer reads by itself, lest it count as isolated.
        While the service is silent the pauses grow.
        """
        min_pause_s = (
            self._settings.membership.isolation_s / _CHECKS_BEFORE_ISOLATION
        )
        pause_s = min_pause_s
        while True:
            await asyncio.sleep(pause_s * self._source.uniform(0.5, 1.0))
            max_age_s = self._settings.platform.recheck_s * (
                1 + self._get_read_rank()
            )
            is_stale = self.table.get_age_s() > max_age_s
            if not is_stale and self._get_contact_age_s() <= min_pause_s:
                continue
            if await self.table.check():
                pause_s = min_pause_s
            else:
                pause_s = min(2 * pause_s, _MAX_CHECK_PAUSE_S)

    def _get_read_rank(self) -> int:
        """Return how many hosts are to read the table before this one."""
        epoch = int(self._clock.wall() // _READ_ORDER_EPOCH_S)
        own_hash = _hash_read_order(self._membership.me.host, epoch)
        rank = sum(
            _hash_read_order(member.host, epoch) < own_hash
            for member in self._membership.list_live()
        )
        return min(rank, _MAX_READ_RANK)

    def _start_background_task(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a short task that ends with the host at the latest."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def _hash_read_order(host: state.HostId, epoch: int) -> int:
    return xxhash.xxh64_intdigest(host.encode(), epoch)
