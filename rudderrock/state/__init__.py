"""Data of a host: settings, the table, the index layout and events."""

from rudderrock.core import Clock
from rudderrock.core import CollectionId
from rudderrock.core import DecayingMean
from rudderrock.core import EditId
from rudderrock.core import HedgeThreshold
from rudderrock.core import HostId
from rudderrock.core import IndexVersion
from rudderrock.core import make_random
from rudderrock.core import NO_REVISION
from rudderrock.core import QueryId
from rudderrock.core import RequestId
from rudderrock.core import Revision
from rudderrock.core import ShardId
from rudderrock.core import TeamId
from rudderrock.core import UpstreamId
from rudderrock.core import ZoneId
from rudderrock.state._constraints import FORBID_UNKNOWN
from rudderrock.state._constraints import Problem
from rudderrock.state._constraints import Problems
from rudderrock.state._constraints import validate
from rudderrock.state._events import Event
from rudderrock.state._events import EventKind
from rudderrock.state._events import EventRing
from rudderrock.state._events import HybridClock
from rudderrock.state._events import MAX_DRIFT_S
from rudderrock.state._events import Stamp
from rudderrock.state._layout import check_layout
from rudderrock.state._layout import Collection
from rudderrock.state._layout import Layout
from rudderrock.state._layout import Placement
from rudderrock.state._layout import Upstream
from rudderrock.state._settings import AdmissionSettings
from rudderrock.state._settings import ClaimSettings
from rudderrock.state._settings import DrainSettings
from rudderrock.state._settings import HedgeSettings
from rudderrock.state._settings import HostSettings
from rudderrock.state._settings import IntakeSettings
from rudderrock.state._settings import MembershipSettings
from rudderrock.state._settings import PlatformSettings
from rudderrock.state._settings import QueueOrder
from rudderrock.state._settings import read_settings
from rudderrock.state._settings import read_toml
from rudderrock.state._settings import ReplicaChoice
from rudderrock.state._settings import RetrySettings
from rudderrock.state._settings import RoutingSettings
from rudderrock.state._settings import SecretSettings
from rudderrock.state._settings import Settings
from rudderrock.state._settings import ShareSettings
from rudderrock.state._table import apply_change
from rudderrock.state._table import Change
from rudderrock.state._table import check_table
from rudderrock.state._table import CoveragePolicy
from rudderrock.state._table import Edit
from rudderrock.state._table import HISTORY_LIMIT
from rudderrock.state._table import MAX_TABLE_BYTES
from rudderrock.state._table import merge_lost_edits
from rudderrock.state._table import RowConflict
from rudderrock.state._table import Table
from rudderrock.state._table import TeamRow
from rudderrock.state._tokens import check_token
from rudderrock.state._tokens import get_token_team
from rudderrock.state._tokens import hash_token
from rudderrock.state._tokens import make_token

__all__ = [
    'AdmissionSettings',
    'Change',
    'ClaimSettings',
    'Clock',
    'Collection',
    'CollectionId',
    'CoveragePolicy',
    'DecayingMean',
    'DrainSettings',
    'Edit',
    'EditId',
    'Event',
    'EventKind',
    'EventRing',
    'FORBID_UNKNOWN',
    'HISTORY_LIMIT',
    'HedgeSettings',
    'HedgeThreshold',
    'HostId',
    'HostSettings',
    'HybridClock',
    'IndexVersion',
    'IntakeSettings',
    'Layout',
    'MAX_DRIFT_S',
    'MAX_TABLE_BYTES',
    'MembershipSettings',
    'NO_REVISION',
    'Placement',
    'PlatformSettings',
    'Problem',
    'Problems',
    'QueryId',
    'QueueOrder',
    'ReplicaChoice',
    'RequestId',
    'RetrySettings',
    'Revision',
    'RoutingSettings',
    'RowConflict',
    'SecretSettings',
    'Settings',
    'ShardId',
    'ShareSettings',
    'Stamp',
    'Table',
    'TeamId',
    'TeamRow',
    'Upstream',
    'UpstreamId',
    'ZoneId',
    'apply_change',
    'check_layout',
    'check_table',
    'check_token',
    'hash_token',
    'validate',
    'make_random',
    'make_token',
    'read_settings',
    'read_toml',
    'merge_lost_edits',
    'get_token_team',
]
