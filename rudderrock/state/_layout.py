"""The index layout: which upstreams serve which shard at which version."""

import dataclasses

from rudderrock import core
from rudderrock.state import _constraints as constraints


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One server of shards.

    `address` is `IP:port`. `slots` is how many requests it works on at
    once, `connections` how many it accepts from the whole tier.
    """

    upstream: core.UpstreamId
    address: str
    zone: core.ZoneId
    slots: int = 2
    connections: int = 25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """One version of a collection's index: its shards and their replicas."""

    version: core.IndexVersion
    shards: dict[core.ShardId, tuple[core.UpstreamId, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Collection:
    """A searchable index with the versions that are being served."""

    collection: core.CollectionId
    placements: tuple[Placement, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Everything the tier may query, at one revision."""

    revision: core.Revision = core.NO_REVISION
    upstreams: dict[core.UpstreamId, Upstream] = dataclasses.field(
        default_factory=dict
    )
    collections: dict[core.CollectionId, Collection] = dataclasses.field(
        default_factory=dict
    )
    leaving: frozenset[core.UpstreamId] = frozenset()


def check_layout(layout: Layout) -> constraints.Problems:
    """List what is wrong with a layout that came from outside."""
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
                message = f'names the unknown upstream {upstream!r}'
                problems.append(constraints.Problem(key, message))
    return problems
