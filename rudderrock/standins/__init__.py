"""Stand-ins of the external systems, for tests and the demo."""

from rudderrock.standins._deployment import Deployment
from rudderrock.standins._deployment import FIRST_VERSION
from rudderrock.standins._deployment import Group
from rudderrock.standins._deployment import make_layout
from rudderrock.standins._deployment import make_models
from rudderrock.standins._deployment import Network
from rudderrock.standins._fleet import MemoryFleet
from rudderrock.standins._fleet import run_fleet
from rudderrock.standins._fleet import RunningHost
from rudderrock.standins._host_source import HostSource
from rudderrock.standins._hosts import make_host_list_app
from rudderrock.standins._kv import KvFaults
from rudderrock.standins._kv import make_kv_app
from rudderrock.standins._kv import MemoryKv
from rudderrock.standins._loopback import LoopbackStandins
from rudderrock.standins._loopback import publish
from rudderrock.standins._loopback import serve_standins
from rudderrock.standins._memory import LinkFaults
from rudderrock.standins._memory import MemoryConnection
from rudderrock.standins._memory import MemoryUpstreamPort
from rudderrock.standins._memory_hosts import Handler
from rudderrock.standins._memory_hosts import HostKv
from rudderrock.standins._memory_hosts import MemoryHostList
from rudderrock.standins._memory_hosts import MemoryPeerPort
from rudderrock.standins._memory_hosts import MemoryPeers
from rudderrock.standins._memory_hosts import PeerFaults
from rudderrock.standins._memory_source import MemorySource
from rudderrock.standins._pause import Pause
from rudderrock.standins._upstream import DEFAULT_MAX_QUEUE
from rudderrock.standins._upstream import make_upstream_app
from rudderrock.standins._upstream import Run
from rudderrock.standins._upstream import UpstreamFaults
from rudderrock.standins._upstream import UpstreamModel
from rudderrock.standins._wire_upstream import DOWN_S
from rudderrock.standins._wire_upstream import FaultMode
from rudderrock.standins._wire_upstream import Pauses
from rudderrock.standins._wire_upstream import WireRun
from rudderrock.standins._wire_upstream import WireUpstream

__all__ = [
    'DEFAULT_MAX_QUEUE',
    'DOWN_S',
    'Deployment',
    'FIRST_VERSION',
    'FaultMode',
    'Group',
    'Handler',
    'HostKv',
    'HostSource',
    'KvFaults',
    'LinkFaults',
    'LoopbackStandins',
    'MemoryConnection',
    'MemoryFleet',
    'MemoryHostList',
    'MemoryKv',
    'MemoryPeerPort',
    'MemoryPeers',
    'MemorySource',
    'MemoryUpstreamPort',
    'Network',
    'Pause',
    'Pauses',
    'PeerFaults',
    'Run',
    'RunningHost',
    'UpstreamFaults',
    'UpstreamModel',
    'WireRun',
    'WireUpstream',
    'make_host_list_app',
    'make_kv_app',
    'make_layout',
    'make_models',
    'make_upstream_app',
    'publish',
    'run_fleet',
    'serve_standins',
]
