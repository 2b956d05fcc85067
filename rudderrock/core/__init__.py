"""Identifiers, clocks, random number generators and latency estimates.

Shared by all other packages. Only the standard library and xxhash are
imported, which keeps the start of small processes fast.
"""

from rudderrock.core._addresses import ADDRESS_PATTERN
from rudderrock.core._addresses import IP_PATTERN
from rudderrock.core._addresses import MAX_NUMBER
from rudderrock.core._addresses import parse_number
from rudderrock.core._addresses import split_address
from rudderrock.core._build import read_build_id
from rudderrock.core._clock import Clock
from rudderrock.core._clock import make_random
from rudderrock.core._files import read_small_file
from rudderrock.core._ids import CollectionId
from rudderrock.core._ids import EditId
from rudderrock.core._ids import HostId
from rudderrock.core._ids import IndexVersion
from rudderrock.core._ids import NO_REVISION
from rudderrock.core._ids import QueryId
from rudderrock.core._ids import RequestId
from rudderrock.core._ids import Revision
from rudderrock.core._ids import ShardId
from rudderrock.core._ids import TeamId
from rudderrock.core._ids import UpstreamId
from rudderrock.core._ids import UpstreamIncarnation
from rudderrock.core._ids import ZoneId
from rudderrock.core._latency import DecayingMean
from rudderrock.core._latency import HedgeThreshold
from rudderrock.core._loop import run_loop
from rudderrock.core._loop import SuspendAwareLoop
from rudderrock.core._tasks import end_task
from rudderrock.core._tasks import wait_for_event

__all__ = [
    'ADDRESS_PATTERN',
    'Clock',
    'CollectionId',
    'DecayingMean',
    'EditId',
    'HedgeThreshold',
    'HostId',
    'IP_PATTERN',
    'IndexVersion',
    'MAX_NUMBER',
    'NO_REVISION',
    'QueryId',
    'RequestId',
    'Revision',
    'ShardId',
    'SuspendAwareLoop',
    'TeamId',
    'UpstreamId',
    'UpstreamIncarnation',
    'ZoneId',
    'end_task',
    'make_random',
    'parse_number',
    'read_build_id',
    'read_small_file',
    'run_loop',
    'split_address',
    'wait_for_event',
]
