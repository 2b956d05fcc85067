"""The composition root of a gateway: where its parts are wired."""

from rudderrock import gateway
from rudderrock import state


def make_gateway(
    settings: gateway.GatewaySettings,
    source: gateway.SourcePort,
    clock: state.Clock,
    seed: int,
    events: gateway.EventLog,
) -> gateway.GatewayProcess:
    """Wire one gateway; it does nothing before `run` is awaited.

    Must be called with a running loop, which `clock` must read.
    """

    def draw(name: str):
        return state.make_random(seed, f'{settings.host}/{name}')

    tables = gateway.TableHolder(clock, events)
    listing = gateway.Directory(clock)
    parts = gateway.Parts(
        tables=tables,
        listing=listing,
        events=events,
        figures=gateway.GatewayMetrics(),
        clock=clock,
        chance=draw('replicas'),
    )
    follower = gateway.SourceFollower(
        source, tables, listing, clock, draw('source'), events
    )
    served = gateway.Gateway(settings, parts)
    return gateway.GatewayProcess(settings, served, follower, parts)
