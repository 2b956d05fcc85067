"""Gateway that forwards requests to upstreams, with routing and retries."""

from rudderrock.gateway._decoding import Address
from rudderrock.gateway._decoding import check_name
from rudderrock.gateway._decoding import check_token
from rudderrock.gateway._decoding import convert_value
from rudderrock.gateway._decoding import Count
from rudderrock.gateway._decoding import decode_json
from rudderrock.gateway._decoding import Integer
from rudderrock.gateway._decoding import MAX_DURATION_MS
from rudderrock.gateway._decoding import MAX_SLOTS
from rudderrock.gateway._decoding import Milliseconds
from rudderrock.gateway._decoding import NAME
from rudderrock.gateway._decoding import PositiveCount
from rudderrock.gateway._decoding import shorten
from rudderrock.gateway._decoding import ShortText
from rudderrock.gateway._decoding import TOKEN
from rudderrock.gateway._events import format_event_page
from rudderrock.gateway._events import KIND_INFO
from rudderrock.gateway._events import LogKind
from rudderrock.gateway._log import describe_error
from rudderrock.gateway._log import EventLog
from rudderrock.gateway._log import load_absl_log
from rudderrock.gateway._log import LOGGER_NAME
from rudderrock.gateway._log import PipeHandler
from rudderrock.gateway._log import set_up_log
from rudderrock.gateway._memory_monitor import MemoryMonitor
from rudderrock.gateway._metrics import GatewayMetrics
from rudderrock.gateway._process import GatewayProcess
from rudderrock.gateway._process import ProcessState
from rudderrock.gateway._rejected_entries import RejectedEntries
from rudderrock.gateway._settings import GatewaySettings
from rudderrock.gateway._sockets import divide_sockets
from rudderrock.gateway._sockets import find_socket_limit
from rudderrock.gateway.decisions._admission import Admission
from rudderrock.gateway.decisions._budget import ExtraRequestBudget
from rudderrock.gateway.decisions._canary import Canary
from rudderrock.gateway.decisions._canary import SendDecision
from rudderrock.gateway.decisions._canary import WaitingAttempt
from rudderrock.gateway.decisions._cold import ColdLimits
from rudderrock.gateway.decisions._departure import Departure
from rudderrock.gateway.decisions._departure import may_take
from rudderrock.gateway.decisions._departure import plan_departure
from rudderrock.gateway.decisions._departure import RouteTimes
from rudderrock.gateway.decisions._host_load import LoadEstimator
from rudderrock.gateway.decisions._host_load import QueryClass
from rudderrock.gateway.decisions._loop_delay import LoopDelay
from rudderrock.gateway.decisions._quota import Denied
from rudderrock.gateway.decisions._quota import Granted
from rudderrock.gateway.decisions._quota import QuotaBounds
from rudderrock.gateway.decisions._quota import Standing
from rudderrock.gateway.decisions._quota import TeamLedger
from rudderrock.gateway.decisions._quota_spending import TeamSpending
from rudderrock.gateway.decisions._quota_vote import VOTER_COUNT
from rudderrock.gateway.decisions._repeats import get_wait_limit_s
from rudderrock.gateway.decisions._repeats import RefusedRequests
from rudderrock.gateway.decisions._repeats import RepeatKind
from rudderrock.gateway.decisions._replicas import Replica
from rudderrock.gateway.decisions._replicas import ReplicaSelector
from rudderrock.gateway.decisions._retry_plan import Candidates
from rudderrock.gateway.decisions._retry_plan import Failure
from rudderrock.gateway.decisions._retry_plan import GiveUp
from rudderrock.gateway.decisions._retry_plan import plan_retry
from rudderrock.gateway.decisions._retry_plan import Progress
from rudderrock.gateway.decisions._retry_plan import SendLater
from rudderrock.gateway.decisions._retry_plan import SendNow
from rudderrock.gateway.decisions._shares import compute_connection_share
from rudderrock.gateway.decisions._shares import ConnectionShare
from rudderrock.gateway.discovery._archive import QuarantineArchive
from rudderrock.gateway.discovery._broadcast import QuarantineBroadcaster
from rudderrock.gateway.discovery._broadcast import read_records
from rudderrock.gateway.discovery._broadcast import render_records
from rudderrock.gateway.discovery._directory import Directory
from rudderrock.gateway.discovery._directory import DirectoryChange
from rudderrock.gateway.discovery._directory import Endpoint
from rudderrock.gateway.discovery._directory import Phase
from rudderrock.gateway.discovery._directory import ReadingStamp
from rudderrock.gateway.discovery._era import SourceEra
from rudderrock.gateway.discovery._evacuations import EvacuationHolder
from rudderrock.gateway.discovery._evacuations import Evacuations
from rudderrock.gateway.discovery._fleet import Fleet
from rudderrock.gateway.discovery._fleet import HostEntry
from rudderrock.gateway.discovery._fleet import rank_pair
from rudderrock.gateway.discovery._initial_sync import InitialSync
from rudderrock.gateway.discovery._peers import ChangeFeed
from rudderrock.gateway.discovery._peers import Changes
from rudderrock.gateway.discovery._peers import InForce
from rudderrock.gateway.discovery._peers import Known
from rudderrock.gateway.discovery._peers import PeerClient
from rudderrock.gateway.discovery._peers import read_changes
from rudderrock.gateway.discovery._peers import read_reply
from rudderrock.gateway.discovery._peers import render_changes
from rudderrock.gateway.discovery._position import NEVER_READ
from rudderrock.gateway.discovery._position import Position
from rudderrock.gateway.discovery._quarantine import Quarantine
from rudderrock.gateway.discovery._quarantine import QuarantineState
from rudderrock.gateway.discovery._quarantine import Record as QuarantineRecord
from rudderrock.gateway.discovery._quota_contact import ContactMonitor
from rudderrock.gateway.discovery._quota_exchange import QuotaExchange
from rudderrock.gateway.discovery._quota_ranking import rank_hosts
from rudderrock.gateway.discovery._registration import Registration
from rudderrock.gateway.discovery._routing import IntakeLimits
from rudderrock.gateway.discovery._routing import NO_VERSION
from rudderrock.gateway.discovery._routing import Repeat
from rudderrock.gateway.discovery._routing import Route
from rudderrock.gateway.discovery._routing import RouteName
from rudderrock.gateway.discovery._routing import RoutingTable
from rudderrock.gateway.discovery._routing import Scatter
from rudderrock.gateway.discovery._routing import Service
from rudderrock.gateway.discovery._routing import ServiceName
from rudderrock.gateway.discovery._routing import Share
from rudderrock.gateway.discovery._routing import Single
from rudderrock.gateway.discovery._routing import Split
from rudderrock.gateway.discovery._routing import TableVersion
from rudderrock.gateway.discovery._routing import Target
from rudderrock.gateway.discovery._saved_records import SavedRecord
from rudderrock.gateway.discovery._sources import HistoryCompacted
from rudderrock.gateway.discovery._sources import HostReading
from rudderrock.gateway.discovery._sources import Lease
from rudderrock.gateway.discovery._sources import LeaseEnded
from rudderrock.gateway.discovery._sources import SavedReading
from rudderrock.gateway.discovery._sources import SourcePort
from rudderrock.gateway.discovery._sources import SourceRestored
from rudderrock.gateway.discovery._sources import TableHolder
from rudderrock.gateway.discovery._sources import TableReading
from rudderrock.gateway.discovery._sources import Unavailable
from rudderrock.gateway.discovery._sources import UpstreamReading
from rudderrock.gateway.discovery._synchronizer import Synchronizer
from rudderrock.gateway.discovery._teams import digest_key
from rudderrock.gateway.discovery._teams import KeyDigest
from rudderrock.gateway.discovery._teams import Team
from rudderrock.gateway.discovery._teams import TeamRegistry
from rudderrock.gateway.discovery._topology import Anywhere
from rudderrock.gateway.discovery._topology import RegionId
from rudderrock.gateway.discovery._topology import Residency
from rudderrock.gateway.discovery._topology import Topology
from rudderrock.gateway.discovery._topology import Within
from rudderrock.gateway.forwarding._calls import Counters
from rudderrock.gateway.forwarding._gateway import Gateway
from rudderrock.gateway.forwarding._gateway import GatewayDependencies
from rudderrock.gateway.forwarding._records import merge_records
from rudderrock.gateway.forwarding._results import Outcome
from rudderrock.gateway.forwarding._results import Result
from rudderrock.gateway.http._byte_budget import ByteBudget
from rudderrock.gateway.http._byte_budget import compute_byte_limit
from rudderrock.gateway.http._byte_budget import Eviction
from rudderrock.gateway.http._digest import digest_request
from rudderrock.gateway.http._header_names import HeaderNames
from rudderrock.gateway.http._http_client import HttpClient
from rudderrock.gateway.http._link import ConnectionLost
from rudderrock.gateway.http._link import Exchange
from rudderrock.gateway.http._link import Link
from rudderrock.gateway.http._listener import CallerListener
from rudderrock.gateway.http._messages import Headers
from rudderrock.gateway.http._messages import remove_hop_by_hop_headers
from rudderrock.gateway.http._messages import render_reply
from rudderrock.gateway.http._messages import render_request
from rudderrock.gateway.http._messages import Reply
from rudderrock.gateway.http._messages import Request
from rudderrock.gateway.http._pool import Pool
from rudderrock.gateway.http._verdicts import classify_outcome
from rudderrock.gateway.http._verdicts import Verdict

__all__ = [
    'Address',
    'Admission',
    'Anywhere',
    'ByteBudget',
    'CallerListener',
    'Canary',
    'Candidates',
    'ChangeFeed',
    'Changes',
    'ColdLimits',
    'ConnectionLost',
    'ConnectionShare',
    'ContactMonitor',
    'Count',
    'Counters',
    'Denied',
    'Departure',
    'Directory',
    'DirectoryChange',
    'Endpoint',
    'EvacuationHolder',
    'Evacuations',
    'EventLog',
    'Eviction',
    'Exchange',
    'ExtraRequestBudget',
    'Failure',
    'Fleet',
    'Gateway',
    'GatewayDependencies',
    'GatewayMetrics',
    'GatewayProcess',
    'GatewaySettings',
    'GiveUp',
    'Granted',
    'HeaderNames',
    'Headers',
    'HistoryCompacted',
    'HostEntry',
    'HostReading',
    'HttpClient',
    'InForce',
    'InitialSync',
    'IntakeLimits',
    'Integer',
    'KIND_INFO',
    'KeyDigest',
    'Known',
    'LOGGER_NAME',
    'Lease',
    'LeaseEnded',
    'Link',
    'LoadEstimator',
    'LogKind',
    'LoopDelay',
    'MAX_DURATION_MS',
    'MAX_SLOTS',
    'MemoryMonitor',
    'Milliseconds',
    'NAME',
    'NEVER_READ',
    'NO_VERSION',
    'Outcome',
    'PeerClient',
    'Phase',
    'PipeHandler',
    'Pool',
    'Position',
    'PositiveCount',
    'ProcessState',
    'Progress',
    'Quarantine',
    'QuarantineArchive',
    'QuarantineBroadcaster',
    'QuarantineRecord',
    'QuarantineState',
    'QueryClass',
    'QuotaBounds',
    'QuotaExchange',
    'ReadingStamp',
    'RefusedRequests',
    'RegionId',
    'Registration',
    'RejectedEntries',
    'Repeat',
    'RepeatKind',
    'Replica',
    'ReplicaSelector',
    'Reply',
    'Request',
    'Residency',
    'Result',
    'Route',
    'RouteName',
    'RouteTimes',
    'RoutingTable',
    'SavedReading',
    'SavedRecord',
    'Scatter',
    'SendDecision',
    'SendLater',
    'SendNow',
    'Service',
    'ServiceName',
    'Share',
    'ShortText',
    'Single',
    'SourceEra',
    'SourcePort',
    'SourceRestored',
    'Split',
    'Standing',
    'Synchronizer',
    'TOKEN',
    'TableHolder',
    'TableReading',
    'TableVersion',
    'Target',
    'Team',
    'TeamLedger',
    'TeamRegistry',
    'TeamSpending',
    'Topology',
    'Unavailable',
    'UpstreamReading',
    'VOTER_COUNT',
    'Verdict',
    'WaitingAttempt',
    'Within',
    'check_name',
    'check_token',
    'classify_outcome',
    'compute_byte_limit',
    'compute_connection_share',
    'convert_value',
    'decode_json',
    'describe_error',
    'digest_key',
    'digest_request',
    'divide_sockets',
    'find_socket_limit',
    'format_event_page',
    'get_wait_limit_s',
    'load_absl_log',
    'may_take',
    'merge_records',
    'plan_departure',
    'plan_retry',
    'rank_hosts',
    'rank_pair',
    'read_changes',
    'read_records',
    'read_reply',
    'remove_hop_by_hop_headers',
    'render_changes',
    'render_records',
    'render_reply',
    'render_request',
    'set_up_log',
    'shorten',
]
