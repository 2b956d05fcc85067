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
    listing = gateway.Directory(clock)
    own_entry = gateway.HostEntry(
        host=core.HostId(settings.host),
        zone=settings.place.zone,
        address='%s:%d' % settings.peers,
        capacity=settings.capacity,
    )
    evacuated = gateway.EvacuationHolder(settings.place.regions, clock, events)
    hosts = gateway.Fleet(own_entry, settings.assumed_hosts, clock)
    source_era = gateway.SourceEra(events)
    initial_sync = gateway.FirstKnowledge(tables, listing, evacuated, clock)
    process_id = f'{settings.host}/{make_rng("process").getrandbits(64):x}'
    quarantine = gateway.Quarantine(process_id, clock, events)
    parts = gateway.Parts(
        tables=tables,
        evacuations=evacuated,
        listing=listing,
        hosts=hosts,
        initial_sync=initial_sync,
        source_era=source_era,
        quarantine=quarantine,
        events=events,
        figures=gateway.GatewayMetrics(),
        clock=clock,
        chance=make_rng('replicas'),
    )
    changes = gateway.ChangeBook(
        process_id,
        listing,
        hosts,
        tables,
        evacuated,
        initial_sync,
        quarantine,
        clock,
    )
    follower = gateway.Follower(
        source,
        tables,
        evacuated,
        listing,
        hosts,
        initial_sync,
        changes,
        quarantine,
        source_era,
        clock,
        make_rng('source'),
        events,
        settings.seeds,
    )
    registration = gateway.Registration(
        source, hosts, source_era, clock, events
    )
    served = gateway.Gateway(settings, parts)
    return gateway.GatewayProcess(
        settings,
        served,
        follower,
        registration,
        changes,
        gateway.Announcer(quarantine, hosts, lambda: follower.peer is None),
        parts,
    )
