"""Identifiers, each a type of its own so that they cannot be mixed up."""

from typing import NewType

HostId = NewType('HostId', str)
ZoneId = NewType('ZoneId', str)
TeamId = NewType('TeamId', str)
UpstreamId = NewType('UpstreamId', str)
# One life of an upstream: it may start again under its id.
UpstreamLife = NewType('UpstreamLife', str)
ShardId = NewType('ShardId', str)
CollectionId = NewType('CollectionId', str)
QueryId = NewType('QueryId', str)
RequestId = NewType('RequestId', str)
EditId = NewType('EditId', str)
IndexVersion = NewType('IndexVersion', int)
Revision = NewType('Revision', int)

NO_REVISION = Revision(0)
