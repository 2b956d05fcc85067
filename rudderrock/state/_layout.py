"""The index layout: the upstreams that serve each shard and version."""

import dataclasses

from rudderrock import core
from rudderrock.state import _constraints as constraints


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """An upstream, which serves shards.

    `address` is `IP:port`. `slots` is the number of requests that it
    processes concurrently; `connections` is the number of connections that
    it accepts from all hosts together.
    """

    upstream: core.UpstreamId
    address: str
    zone: core.ZoneId
    slots: int = 2
    connections: int = 25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Shards of one index version of a collection, and their replicas."""

    version: core.IndexVersion
    shards: dict[core.ShardId, tuple[core.UpstreamId, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collection:
    """A searchable index, with the versions that are currently served."""

    collection: core.CollectionId
    placements: tuple[Placement, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """The upstreams and collections, at one revision.

    `leaving` are the upstreams that will stop; they get no new requests.
    """

    revision: core.Revision = core.NO_REVISION
    upstreams: dict[core.UpstreamId, Upstream] = dataclasses.field(
        default_factory=dict
    )
    collections: dict[core.CollectionId, Collection] = dataclasses.field(
        default_factory=dict
    )
    leaving: frozenset[core.UpstreamId] = frozenset()


def check_layout(layout: Layout) -> constraints.Problems:
    """Return the problems of a layout from the key-value service or a peer.

    They are collections without a version, shards without a replica, and
    replicas on unknown upstreams.
    """
    problems: list[constraints.Problem] = []
    for name, collection in layout.collections.items():
        if not collection.placements:
            problems.append(
                constraints.Problem(str(name), 'has no version to serve')
            )
        for placement in collection.placements:
            problems.extend(_check_placement(layout, name, placement))
    return tuple(problems)


def _check_placement(
    layout: Layout, name: core.CollectionId, placement: Placement
) -> list[constraints.Problem]:
    problems = []
    for shard, upstreams in placement.shards.items():
        key = f'{name}.{placement.version}.{shard}'
        if not upstreams:
            problems.append(constraints.Problem(key, 'has no replica'))
        for upstream in upstreams:
            if upstream not in layout.upstreams:
                message = f'refers to the unknown upstream {upstream!r}'
                problems.append(constraints.Problem(key, message))
    return problems
