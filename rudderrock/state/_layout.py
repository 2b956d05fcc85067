"""The index layout: the upstreams that serve each shard and version."""

import dataclasses

from rudderrock import core
from rudderrock.state import _constraints as constraints

# Revisions are exact in each decoder of JSON.
MAX_REVISION = 2**53
# Requests or connections of one upstream at the same time.
_MAX_REQUESTS = 10**6


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

    They are collections without a version, versions without a shard, shards
    without a replica, replicas on unknown upstreams, names that differ from
    those they are stored under, and numbers out of range.
    """
    problems = _check_upstreams(layout)
    if not core.NO_REVISION <= layout.revision <= MAX_REVISION:
        problems.append(constraints.Problem('revision', 'is out of range'))
    for name, collection in layout.collections.items():
        if not collection.placements:
            problems.append(
                constraints.Problem(str(name), 'has no version to serve')
            )
        if collection.collection != name:
            message = f'is the collection {collection.collection!r}'
            problems.append(constraints.Problem(str(name), message))
        for placement in collection.placements:
            problems.extend(_check_placement(layout, name, placement))
    return tuple(problems)


def _check_upstreams(layout: Layout) -> list[constraints.Problem]:
    problems = []
    for name, upstream in layout.upstreams.items():
        if upstream.upstream != name:
            message = f'is the upstream {upstream.upstream!r}'
            problems.append(constraints.Problem(str(name), message))
        for field, value in (
            ('slots', upstream.slots),
            ('connections', upstream.connections),
        ):
            if not 1 <= value <= _MAX_REQUESTS:
                message = f'must be from 1 to {_MAX_REQUESTS}'
                problems.append(
                    constraints.Problem(f'{name}.{field}', message)
                )
    return problems


def _check_placement(
    layout: Layout, name: core.CollectionId, placement: Placement
) -> list[constraints.Problem]:
    problems = []
    if not placement.shards:
        problems.append(
            constraints.Problem(f'{name}.{placement.version}', 'has no shard')
        )
    for shard, upstreams in placement.shards.items():
        key = f'{name}.{placement.version}.{shard}'
        if not upstreams:
            problems.append(constraints.Problem(key, 'has no replica'))
        for upstream in upstreams:
            if upstream not in layout.upstreams:
                message = f'refers to the unknown upstream {upstream!r}'
                problems.append(constraints.Problem(key, message))
    return problems
