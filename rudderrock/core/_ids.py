"""Identifiers as distinct types, so that a type checker finds mix-ups."""

from typing import NewType

HostId = NewType('HostId', str)
ZoneId = NewType('ZoneId', str)
TeamId = NewType('TeamId', str)
UpstreamId = NewType('UpstreamId', str)
# One process lifetime of an upstream, which keeps its id over restarts.
UpstreamIncarnation = NewType('UpstreamIncarnation', str)
ShardId = NewType('ShardId', str)
CollectionId = NewType('CollectionId', str)
QueryId = NewType('QueryId', str)
RequestId = NewType('RequestId', str)
EditId = NewType('EditId', str)
IndexVersion = NewType('IndexVersion', int)
Revision = NewType('Revision', int)

NO_REVISION = Revision(0)
