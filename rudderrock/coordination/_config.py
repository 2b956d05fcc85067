"""Keeps the configuration of a host up to date and exchanges it with peers.

The configuration is the table of teams and the layout of the upstreams.
"""

import asyncio
from collections.abc import Coroutine
import math
import random

import xxhash

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _admission as admissions
from rudderrock.coordination import _dispatch as dispatch
from rudderrock.coordination import _key_watcher as key_watcher
from rudderrock.coordination import _membership as memberships

# Number of peers that a host sends a change to at once.
PUSH_FANOUT = 3
# The pause between two checks is `isolation_s` divided by this, so that a host
# without contact reads the table before it counts as isolated.
_CHECKS_BEFORE_ISOLATION = 4
_MAX_CHECK_PAUSE_S = 8.0
# Period after which hosts read the table in a new random order.
_READ_ORDER_EPOCH_S = 60.0
# Highest position in that order, which also bounds the age of the table at
# which the last hosts read it.
_MAX_READ_RANK = 6
_FETCH_TIMEOUT_S = 1.0


class Configuration:
    """The table and the layout in force on one host.

    Parameters: `table_watcher` and `layout_watcher` watch the key-value
    service. The composition root (`rudderrock.root`) connects them to
    `apply_table` and `apply_layout`, which put new values in force. `peers` is
    the port through which newer revisions are fetched from other hosts.
    """

    def __init__(
        self,
        settings: state.Settings,
        *,
        table_watcher: key_watcher.KeyWatcher[state.Table],
        layout_watcher: key_watcher.KeyWatcher[state.Layout],
        membership: memberships.Membership,
        dispatcher: dispatch.Dispatcher,
        admission: admissions.Admission,
        peers: transport.PeerPort,
        clock: state.Clock,
        rng: random.Random,
    ):
        self.table_watcher = table_watcher
        self.layout_watcher = layout_watcher
        self.rows: dict[state.TeamId, state.TeamRow] = {}
        self.table_in_force = state.Table()
        self.layout_in_force = state.Layout()
        self._settings = settings
        self._membership = membership
        self._dispatcher = dispatcher
        self._admission = admission
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._fetch_task: asyncio.Task | None = None
        self._push_task: asyncio.Task | None = None
        self._background_tasks: set[asyncio.Task] = set()
        self._closed = False
        self._started_at = clock.now()

    async def wait_until_in_force(self) -> None:
        """Wait until a table and a layout are in force."""
        await self.table_watcher.wait_until_in_force()
        await self.layout_watcher.wait_until_in_force()

    async def close(self) -> None:
        """Cancel fetches from peers and pushes to peers."""
        self._closed = True
        background_tasks = list(self._background_tasks)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)

    def apply_table(self, table: state.Table) -> None:
        """Put a table in force and push its revision to some peers."""
        self.rows = table.rows
        self.table_in_force = table
        self._admission.remove_absent_teams(table.rows)
        if self._push_task is None or self._push_task.done():
            self._push_task = self._start_background_task(
                self._membership.push_updates(PUSH_FANOUT)
            )

    def apply_layout(self, layout: state.Layout) -> None:
        """Put a layout in force."""
        self.layout_in_force = layout
        self._dispatcher.apply_layout(layout)

    def get_config(self) -> memberships.ConfigInForce:
        """Return the revisions in force, for digests."""
        return memberships.ConfigInForce(
            table_revision=self.table_watcher.revision,
            table_age_s=self.table_watcher.get_age_s(),
            layout_revision=self.layout_watcher.revision,
        )

    def answer_config(
        self, request: protocol.ConfigRequest
    ) -> protocol.ConfigReply:
        """Return the table and layout that are newer than a peer's."""
        table, layout = self.table_in_force, self.layout_in_force
        send_table = table.revision > request.table_revision
        send_layout = layout.revision > request.layout_revision
        return protocol.ConfigReply(
            table=table if send_table else None,
            layout=layout if send_layout else None,
        )

    def on_digest(self, digest: protocol.Digest) -> None:
        """Compare a peer's revisions with those in force here.

        An equal table revision confirms the table in force; a higher
        revision of either is fetched from the peer.
        """
        if digest.table_revision == self.table_watcher.revision:
            self.table_watcher.confirm(digest.table_age_s)
        peer_is_newer = (
            digest.table_revision > self.table_watcher.revision
            or digest.layout_revision > self.layout_watcher.revision
        )
        if self._closed or not peer_is_newer:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = self._start_background_task(
                self._fetch_config(digest.sender)
            )

    async def _fetch_config(self, peer: protocol.Member) -> None:
        request = protocol.ConfigRequest(
            table_revision=self.table_watcher.revision,
            layout_revision=self.layout_watcher.revision,
        )
        fetched = await self._peers.fetch_config(
            peer.control, request, _FETCH_TIMEOUT_S
        )
        if fetched.is_err():
            return
        reply = fetched.unwrap()
        origin = f'peer {peer.host}'
        # The layout goes first: the table may refer to collections that
        # only the new layout defines.
        if reply.layout and not state.check_layout(reply.layout):
            self.layout_watcher.apply_if_newer(reply.layout, origin)
        if reply.table and not state.check_table(reply.table):
            self.table_watcher.apply_if_newer(reply.table, origin)

    @property
    def is_isolated(self) -> bool:
        """Return whether this host may be serving an outdated table.

        That is so when neither the key-value service nor any peer has
        been reached for `isolation_s`. A host without peers is never
        isolated.
        """
        if self._membership.is_only_host:
            return False
        return (
            self._get_contact_age_s() > self._settings.membership.isolation_s
        )

    def _get_contact_age_s(self) -> float:
        """Return the seconds since the last contact.

        A contact is a reply of the key-value service or of a peer. Without
        any, the time counts from the start of this host.
        """
        last_contact = max(
            self.table_watcher.last_contact_at or -math.inf,
            self._membership.last_contact_at or -math.inf,
        )
        return self._clock.now() - max(last_contact, self._started_at)

    async def confirm_periodically(self) -> None:
        """Read the table whenever its revision was not confirmed recently.

        This runs until cancelled. A read by one host confirms the revision for
        all, because digests carry the age of the last confirmation. Hosts read
        in a pseudo-random order: the first at an age of `recheck_s`, the next
        at twice that age, and so on. Once the first has read, the others need
        not, so the number of reads does not grow with the number of hosts. A
        host without recent contact reads regardless of the order, so that it
        does not count as isolated. While the service does not answer, the
        pauses between reads grow.
        """
        min_pause_s = (
            self._settings.membership.isolation_s / _CHECKS_BEFORE_ISOLATION
        )
        pause_s = min_pause_s
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            max_age_s = self._settings.platform.recheck_s * (
                1 + self._get_read_rank()
            )
            is_stale = self.table_watcher.get_age_s() > max_age_s
            if not is_stale and self._get_contact_age_s() <= min_pause_s:
                continue
            if await self.table_watcher.read_now():
                pause_s = min_pause_s
            else:
                pause_s = min(2 * pause_s, _MAX_CHECK_PAUSE_S)

    def _get_read_rank(self) -> int:
        """Return how many hosts read first, `_MAX_READ_RANK` at most."""
        epoch = int(self._clock.wall() // _READ_ORDER_EPOCH_S)
        own_hash = _hash_read_order(self._membership.me.host, epoch)
        rank = sum(
            _hash_read_order(member.host, epoch) < own_hash
            for member in self._membership.list_live()
        )
        return min(rank, _MAX_READ_RANK)

    def _start_background_task(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a short task that `close` cancels if it is still running."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def _hash_read_order(host: state.HostId, epoch: int) -> int:
    return xxhash.xxh64_intdigest(host.encode(), epoch)
