"""Composition root of a gateway: creates and connects its components."""

from rudderrock import core
from rudderrock import gateway


def make_gateway(
    settings: gateway.GatewaySettings,
    source: gateway.SourcePort,
    clock: core.Clock,
    seed: int,
    events: gateway.EventLog,
) -> gateway.GatewayProcess:
    """Return a new gateway process, which is idle until `run` is awaited.

    Must be called from a running event loop, and `clock` must return the time
    of this loop.
    """

    def make_rng(name: str):
        return core.make_random(seed, f'{settings.host}/{name}')

    tables = gateway.TableHolder(clock, events)
    upstream_directory = gateway.Directory(clock)
    own_entry = gateway.HostEntry(
        host=core.HostId(settings.host),
        zone=settings.place.zone,
        address='%s:%d' % settings.peers,
        capacity=settings.capacity,
    )
    evacuated = gateway.EvacuationHolder(settings.place.regions, clock, events)
    hosts = gateway.Fleet(own_entry, settings.assumed_hosts, clock)
    source_era = gateway.SourceEra(events)
    initial_sync = gateway.InitialSync(
        tables, upstream_directory, evacuated, clock
    )
    process_id = f'{settings.host}/{make_rng("process").getrandbits(64):x}'
    quarantine = gateway.Quarantine(process_id, clock, events)
    dependencies = gateway.GatewayDependencies(
        tables=tables,
        evacuations=evacuated,
        upstream_directory=upstream_directory,
        hosts=hosts,
        initial_sync=initial_sync,
        source_era=source_era,
        quarantine=quarantine,
        quotas=gateway.QuotaExchange(
            process_id,
            gateway.QuotaBounds(
                window_s=settings.quota_window_s,
                overage=settings.quota_overage,
                slack=settings.quota_slack,
            ),
            hosts,
            tables,
            clock,
            events,
        ),
        events=events,
        metrics=gateway.GatewayMetrics(),
        byte_budget=gateway.ByteBudget(
            gateway.compute_byte_limit(settings.memory_limit_bytes),
            lambda eviction: _record_eviction(events, eviction),
        ),
        clock=clock,
        rng=make_rng('replicas'),
    )
    rejected = gateway.RejectedEntries(events)
    archive = gateway.QuarantineArchive(
        source, quarantine, clock, events, rejected
    )
    change_feed = gateway.ChangeFeed(
        process_id,
        upstream_directory,
        hosts,
        tables,
        evacuated,
        initial_sync,
        quarantine,
        clock,
    )
    synchronizer = gateway.Synchronizer(
        source,
        tables,
        evacuated,
        upstream_directory,
        hosts,
        initial_sync,
        change_feed,
        quarantine,
        archive,
        source_era,
        clock,
        make_rng('source'),
        events,
        rejected,
        settings.seeds,
    )
    registration = gateway.Registration(
        source,
        hosts,
        source_era,
        initial_sync,
        make_rng('registration'),
        events,
    )
    served = gateway.Gateway(settings, dependencies)
    return gateway.GatewayProcess(
        settings,
        served,
        synchronizer,
        registration,
        change_feed,
        gateway.QuarantineBroadcaster(
            quarantine, hosts, lambda: synchronizer.peer is None
        ),
        archive,
        dependencies,
        gateway.divide_sockets(
            gateway.find_socket_limit(settings.socket_limit)
        ),
    )


def _record_eviction(
    events: gateway.EventLog, eviction: gateway.Eviction
) -> None:
    events.record(
        gateway.LogKind.EVICTED,
        owner=eviction.owner,
        size_bytes=eviction.size,
        held_bytes=eviction.held_bytes,
    )
