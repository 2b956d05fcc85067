"""The composition root of a gateway: where its parts are wired."""

from rudderrock import core
from rudderrock import gateway


def make_gateway(
    settings: gateway.GatewaySettings,
    source: gateway.SourcePort,
    clock: core.Clock,
    seed: int,
    events: gateway.EventLog,
) -> gateway.GatewayProcess:
    """Wire one gateway; it does nothing before `run` is awaited.

    Must be called with a running loop, which `clock` must read.
    """

    def draw(name: str):
        return core.make_random(seed, f'{settings.host}/{name}')

    tables = gateway.TableHolder(clock, events)
    listing = gateway.Directory(clock)
    own = gateway.HostEntry(
        host=core.HostId(settings.host),
        zone=settings.place.zone,
        address='%s:%d' % settings.peers,
        capacity=settings.capacity,
    )
    evacuated = gateway.EvacuationHolder(settings.place.regions, clock, events)
    hosts = gateway.Fleet(own, settings.assumed_hosts, clock)
    source_era = gateway.SourceEra(events)
    first = gateway.FirstKnowledge(tables, listing, evacuated, clock)
    process = f'{settings.host}/{draw("process").getrandbits(64):x}'
    quarantine = gateway.Quarantine(process, clock, events)
    parts = gateway.Parts(
        tables=tables,
        evacuations=evacuated,
        listing=listing,
        hosts=hosts,
        first=first,
        source_era=source_era,
        quarantine=quarantine,
        events=events,
        figures=gateway.GatewayMetrics(),
        clock=clock,
        chance=draw('replicas'),
    )
    changes = gateway.ChangeBook(
        process, listing, hosts, tables, evacuated, first, quarantine, clock
    )
    follower = gateway.Follower(
        source,
        tables,
        evacuated,
        listing,
        hosts,
        first,
        changes,
        quarantine,
        source_era,
        clock,
        draw('source'),
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
