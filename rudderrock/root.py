"""The composition root, which constructs the components of a host.

A component receives its dependencies as arguments and doesn't construct
them. Time comes from the running event loop and random numbers from one
seed; both are passed to the components from here.
"""

from collections.abc import Callable
import dataclasses

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import state
from rudderrock import transport


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Interfaces to the services outside a host."""

    kv: transport.KvPort
    upstreams: transport.UpstreamPort
    peers: transport.PeerPort
    host_list: transport.HostListPort | None = None


def make_host(
    settings: state.Settings,
    ports: Ports,
    clock: state.Clock,
    seed: int,
    sink: Callable[[state.Event], None] | None = None,
) -> coordination.EntryHost:
    """Return one host, which does no work before `run` is awaited.

    Must be called inside the running event loop that `clock` reads. `ports`
    are the clients of the services outside the host; `seed` is the seed of all
    its random number generators; `sink` is called with each event of the host,
    to write it to the log.
    """
    host_id = state.HostId(settings.host.id)
    hybrid_clock = state.HybridClock(clock)
    event_ring = state.EventRing(
        host_id, hybrid_clock, settings.host.event_capacity, sink
    )

    # The names are part of the seeds, so a new name changes seeded runs.
    def make_rng(name: str):
        return state.make_random(seed, f'{host_id}/{name}')

    limit_shares = coordination.LimitShares(host_id, settings.shares, clock)
    dispatcher = coordination.Dispatcher(
        state.ZoneId(settings.host.zone),
        ports.upstreams,
        settings,
        clock,
        make_rng('dispatch'),
        event_ring,
    )
    runner = coordination.QueryRunner(
        coordination.GatherDependencies(
            dispatcher=dispatcher,
            extra_requests=coordination.ExtraRequestBudgets(settings),
            settings=settings,
            clock=clock,
            rng=make_rng('query'),
            event_ring=event_ring,
        )
    )
    admission = coordination.Admission(
        settings.admission, limit_shares, dispatcher, clock
    )
    store = coordination.ClaimStore(
        ports.kv,
        settings.claims,
        clock,
        lambda: len(membership.list_sharing_hosts()),
    )
    command_runner = coordination.CommandRunner(
        host_id,
        store,
        dispatcher,
        settings,
        clock,
        make_rng('claims'),
        event_ring,
    )

    # Some callbacks in this function, among them the next two, use `config`,
    # `membership` or `host`, which are assigned only after them. They aren't
    # called before this function has returned.
    def on_table(table: state.Table) -> None:
        config.apply_table(table)

    def on_layout(layout: state.Layout) -> None:
        config.apply_layout(layout)

    table_watcher = coordination.KeyWatcher(
        ports.kv,
        coordination.TABLE_KEY,
        decode=coordination.read_table,
        get_revision=lambda value: value.revision,
        apply=on_table,
        kinds=(
            state.EventKind.TABLE_IN_FORCE,
            state.EventKind.TABLE_REJECTED,
        ),
        watch_s=settings.platform.watch_s,
        clock=clock,
        rng=make_rng('table'),
        event_ring=event_ring,
        merge=state.merge_lost_edits,
    )
    layout_watcher = coordination.KeyWatcher(
        ports.kv,
        coordination.LAYOUT_KEY,
        decode=coordination.read_layout,
        get_revision=lambda value: value.revision,
        apply=on_layout,
        kinds=(
            state.EventKind.LAYOUT_IN_FORCE,
            state.EventKind.LAYOUT_REJECTED,
        ),
        watch_s=settings.platform.watch_s,
        clock=clock,
        rng=make_rng('layout'),
        event_ring=event_ring,
    )
    local_member = protocol.Member(
        host=host_id,
        zone=state.ZoneId(settings.host.zone),
        control=settings.host.control,
        incarnation=coordination.make_incarnation(clock),
        state=protocol.MemberState.ALIVE,
    )
    lease = coordination.HostLease(
        ports.kv,
        local_member,
        settings.membership,
        lambda: len(membership.list_sharing_hosts()),
        clock,
        make_rng('lease'),
        event_ring,
    )
    membership = coordination.Membership(
        local_member,
        ports.peers,
        ports.host_list,
        settings.membership,
        limit_shares=limit_shares,
        has_lease=lease.has_lease,
        get_config=lambda: config.get_config(),
        on_digest=lambda digest: config.on_digest(digest),
        on_change=lambda: host.on_hosts_changed(),
        clock=clock,
        hybrid_clock=hybrid_clock,
        rng=make_rng('members'),
        event_ring=event_ring,
    )
    config = coordination.Configuration(
        settings,
        table_watcher=table_watcher,
        layout_watcher=layout_watcher,
        membership=membership,
        dispatcher=dispatcher,
        admission=admission,
        peers=ports.peers,
        clock=clock,
        rng=make_rng('host'),
    )
    host = coordination.EntryHost(
        settings,
        clock=clock,
        rng=make_rng('query ids'),
        event_ring=event_ring,
        config=config,
        dispatcher=dispatcher,
        runner=runner,
        limit_shares=limit_shares,
        admission=admission,
        command_runner=command_runner,
        membership=membership,
        lease=lease,
    )
    return host
