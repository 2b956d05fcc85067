"""Routing, retries, limits, membership and configuration of a host."""

from rudderrock.coordination._admission import Admission
from rudderrock.coordination._admitted import AdmittedQuery
from rudderrock.coordination._attempt import Attempt
from rudderrock.coordination._attempt import AttemptKind
from rudderrock.coordination._attempt import ReplyQueue
from rudderrock.coordination._budget import Budget
from rudderrock.coordination._budget import RateLimit
from rudderrock.coordination._budget import spend_all
from rudderrock.coordination._claims import AlreadyClaimed
from rudderrock.coordination._claims import Claim
from rudderrock.coordination._claims import ClaimGranted
from rudderrock.coordination._claims import ClaimNotCommitted
from rudderrock.coordination._claims import Claims
from rudderrock.coordination._claims import ClaimState
from rudderrock.coordination._claims import ClaimStore
from rudderrock.coordination._claims import make_fingerprint
from rudderrock.coordination._commands import AdmittedCommand
from rudderrock.coordination._commands import CommandRunner
from rudderrock.coordination._config import Configuration
from rudderrock.coordination._config import PUSH_FANOUT
from rudderrock.coordination._dispatch import Dispatcher
from rudderrock.coordination._dispatch import is_not_run
from rudderrock.coordination._dispatch import Service
from rudderrock.coordination._extra_requests import DEFAULT_HEDGE_DELAY_S
from rudderrock.coordination._extra_requests import ExtraRequestBudgets
from rudderrock.coordination._extra_requests import QueryCounters
from rudderrock.coordination._fair_queue import FairQueue
from rudderrock.coordination._gather import GatherDependencies
from rudderrock.coordination._gather import GatherPass
from rudderrock.coordination._health import MIN_LIMIT
from rudderrock.coordination._health import UpstreamHealth
from rudderrock.coordination._host import describe_outcome
from rudderrock.coordination._host import EntryHost
from rudderrock.coordination._key_watcher import KeyWatcher
from rudderrock.coordination._key_watcher import LAYOUT_KEY
from rudderrock.coordination._key_watcher import read_layout
from rudderrock.coordination._key_watcher import read_table
from rudderrock.coordination._key_watcher import TABLE_KEY
from rudderrock.coordination._leases import HOST_PREFIX
from rudderrock.coordination._leases import HostLease
from rudderrock.coordination._lifecycle import HostState
from rudderrock.coordination._lifecycle import Lifecycle
from rudderrock.coordination._membership import ConfigInForce
from rudderrock.coordination._membership import LeaseCheck
from rudderrock.coordination._membership import make_incarnation
from rudderrock.coordination._membership import Membership
from rudderrock.coordination._merge import make_answer
from rudderrock.coordination._metrics import format_prometheus
from rudderrock.coordination._metrics import HostMetrics
from rudderrock.coordination._metrics import Sample
from rudderrock.coordination._metrics import TeamMetrics
from rudderrock.coordination._query import QueryRunner
from rudderrock.coordination._shard_call import CheckSchedule
from rudderrock.coordination._shard_call import ScheduledCheck
from rudderrock.coordination._shard_call import ShardCall
from rudderrock.coordination._shares import LimitShares
from rudderrock.coordination._table_editor import EditAccepted
from rudderrock.coordination._table_editor import EditInvalid
from rudderrock.coordination._table_editor import EditLost
from rudderrock.coordination._table_editor import EditOutcome
from rudderrock.coordination._table_editor import EditUncertain
from rudderrock.coordination._table_editor import TableEditor
from rudderrock.coordination._upstream_link import UpstreamLink
from rudderrock.coordination._upstream_link import UpstreamState
from rudderrock.coordination._versions import VersionChooser

__all__ = [
    'Admission',
    'AdmittedCommand',
    'AdmittedQuery',
    'AlreadyClaimed',
    'Attempt',
    'AttemptKind',
    'Budget',
    'CheckSchedule',
    'Claim',
    'ClaimGranted',
    'ClaimNotCommitted',
    'ClaimState',
    'ClaimStore',
    'Claims',
    'CommandRunner',
    'ConfigInForce',
    'Configuration',
    'Dispatcher',
    'EditAccepted',
    'EditInvalid',
    'EditLost',
    'EditOutcome',
    'EditUncertain',
    'EntryHost',
    'ExtraRequestBudgets',
    'FairQueue',
    'GatherDependencies',
    'GatherPass',
    'HOST_PREFIX',
    'HostLease',
    'HostMetrics',
    'HostState',
    'KeyWatcher',
    'LAYOUT_KEY',
    'LeaseCheck',
    'Lifecycle',
    'LimitShares',
    'MIN_LIMIT',
    'Membership',
    'PUSH_FANOUT',
    'QueryCounters',
    'QueryRunner',
    'RateLimit',
    'ReplyQueue',
    'Sample',
    'ScheduledCheck',
    'Service',
    'ShardCall',
    'TABLE_KEY',
    'TableEditor',
    'TeamMetrics',
    'DEFAULT_HEDGE_DELAY_S',
    'UpstreamHealth',
    'UpstreamLink',
    'UpstreamState',
    'VersionChooser',
    'describe_outcome',
    'format_prometheus',
    'is_not_run',
    'make_answer',
    'make_fingerprint',
    'make_incarnation',
    'read_layout',
    'read_table',
    'spend_all',
]
