"""Descriptions of deployments, and their layouts and upstream models."""

import dataclasses
import random
from typing import Annotated

import pydantic

from rudderrock import state
from rudderrock.standins import _upstream as upstreams

_Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9_-]{0,62}$')]
_Count = Annotated[int, pydantic.Field(ge=1, le=100_000)]
_Seconds = Annotated[float, pydantic.Field(ge=0, le=60)]

FIRST_VERSION = state.IndexVersion(1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """A collection of `services` shards.

    Each shard has `servers` replicas, each on an upstream of its own. All
    these upstreams have the same parameters. A replica processes `slots`
    requests at once and accepts `connections` connections. `connect_s` is the
    time to open a connection and `service_s` the median time to process a
    request, both in seconds.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    collection: _Name
    services: _Count
    servers: _Count = 2
    slots: _Count = 2
    connections: _Count = 25
    connect_s: _Seconds = 0.006
    service_s: _Seconds = 0.004


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Network:
    """The zones of each region, and one-way latencies in seconds.

    `to_clients_s` is the latency between callers and hosts.
    """

    __pydantic_config__ = state.FORBID_UNKNOWN

    regions: dict[str, list[_Name]]
    within_zone_s: _Seconds = 0.0001
    between_zones_s: _Seconds = 0.0005
    between_regions_s: _Seconds = 0.008
    to_clients_s: _Seconds = 0.001

    def list_zones(self) -> list[state.ZoneId]:
        """Return all zones, ordered by region."""
        return [
            state.ZoneId(zone)
            for zones in self.regions.values()
            for zone in zones
        ]

    def get_latency_s(self, one: str, other: str) -> float:
        """Return the one-way latency between two zones, in seconds."""
        if one == other:
            return self.within_zone_s
        for zones in self.regions.values():
            if one in zones and other in zones:
                return self.between_zones_s
        return self.between_regions_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The upstreams behind a query tier, its hosts and its network."""

    __pydantic_config__ = state.FORBID_UNKNOWN

    name: _Name
    hosts: _Count
    network: Network
    groups: list[Group]


def make_layout(
    deployment: Deployment,
    addresses: dict[state.UpstreamId, str] | None = None,
) -> state.Layout:
    """Return the index layout of a deployment at its first version.

    The replicas of a service are placed in successive zones of
    `Network.list_zones`. `addresses` holds the `IP:port` of each upstream;
    an upstream that is not in it has its id as address, which
    `MemoryUpstreamPort` does not use.
    """
    known_addresses = addresses or {}
    layout_upstreams = {}
    collections = {}
    zones = deployment.network.list_zones()
    for group in deployment.groups:
        shards = {}
        for service in range(group.services):
            shard = state.ShardId(f'{group.collection}-{service}')
            replicas = []
            for server in range(group.servers):
                upstream = state.UpstreamId(f'{shard}-{server}')
                zone = zones[(service + server) % len(zones)]
                layout_upstreams[upstream] = state.Upstream(
                    upstream=upstream,
                    address=known_addresses.get(upstream, str(upstream)),
                    zone=zone,
                    slots=group.slots,
                    connections=group.connections,
                )
                replicas.append(upstream)
            shards[shard] = tuple(replicas)
        name = state.CollectionId(group.collection)
        placement = state.Placement(version=FIRST_VERSION, shards=shards)
        collections[name] = state.Collection(
            collection=name, placements=(placement,)
        )
    return state.Layout(
        revision=state.Revision(1),
        upstreams=layout_upstreams,
        collections=collections,
    )


def make_models(
    deployment: Deployment,
    layout: state.Layout,
    clock: state.Clock,
    rng: random.Random,
) -> dict[state.UpstreamId, upstreams.UpstreamModel]:
    """Return a model of each upstream of a layout."""
    groups = {group.collection: group for group in deployment.groups}
    models = {}
    for name, collection in layout.collections.items():
        group = groups[name]
        for shard_upstreams in collection.placements[0].shards.values():
            for upstream in shard_upstreams:
                models[upstream] = upstreams.UpstreamModel(
                    layout.upstreams[upstream],
                    clock,
                    random.Random(rng.getrandbits(64)),
                    versions={FIRST_VERSION},
                    service_s=group.service_s,
                    connect_s=group.connect_s,
                )
    return models
