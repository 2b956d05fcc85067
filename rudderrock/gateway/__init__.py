"""Gateway that forwards requests to upstreams, with routing and retries."""

from rudderrock.gateway._events import format_event_page
from rudderrock.gateway._events import KIND_INFO
from rudderrock.gateway._events import LogKind
from rudderrock.gateway._log import EventLog
from rudderrock.gateway._log import PipeHandler
from rudderrock.gateway._log import set_up_log
from rudderrock.gateway._metrics import GatewayMetrics
from rudderrock.gateway._process import GatewayProcess
from rudderrock.gateway._process import ProcessState
from rudderrock.gateway._settings import GatewaySettings
from rudderrock.gateway.decisions._budget import ExtraBudget
from rudderrock.gateway.decisions._canary import Advice
from rudderrock.gateway.decisions._canary import Canary
from rudderrock.gateway.decisions._canary import Waiter
from rudderrock.gateway.decisions._cold import ColdLimits
from rudderrock.gateway.decisions._replicas import Replica
from rudderrock.gateway.decisions._replicas import ReplicaBook
from rudderrock.gateway.decisions._shares import LinkShare
from rudderrock.gateway.decisions._shares import share_links
from rudderrock.gateway.decisions._work import Kind as WorkKind
from rudderrock.gateway.decisions._work import WorkMeter
from rudderrock.gateway.forwarding._calls import Counters
from rudderrock.gateway.forwarding._gateway import Gateway
from rudderrock.gateway.forwarding._gateway import Parts
from rudderrock.gateway.forwarding._records import merge_records
from rudderrock.gateway.forwarding._results import Outcome
from rudderrock.gateway.forwarding._results import Result
from rudderrock.gateway.http._caller import HttpCaller
from rudderrock.gateway.http._dialect import HeaderNames
from rudderrock.gateway.http._digest import digest_request
from rudderrock.gateway.http._intake import Intake
from rudderrock.gateway.http._link import Exchange
from rudderrock.gateway.http._link import Link
from rudderrock.gateway.http._link import Lost
from rudderrock.gateway.http._messages import drop_connection_headers
from rudderrock.gateway.http._messages import Headers
from rudderrock.gateway.http._messages import render_reply
from rudderrock.gateway.http._messages import render_request
from rudderrock.gateway.http._messages import Reply
from rudderrock.gateway.http._messages import Request
from rudderrock.gateway.http._pool import Pool
from rudderrock.gateway.http._verdicts import judge_outcome
from rudderrock.gateway.http._verdicts import Verdict
from rudderrock.gateway.knowledge._announcer import Announcer
from rudderrock.gateway.knowledge._announcer import read_records
from rudderrock.gateway.knowledge._announcer import render_records
from rudderrock.gateway.knowledge._directory import Directory
from rudderrock.gateway.knowledge._directory import DirectoryChange
from rudderrock.gateway.knowledge._directory import Endpoint
from rudderrock.gateway.knowledge._directory import Phase
from rudderrock.gateway.knowledge._directory import ReadingStamp
from rudderrock.gateway.knowledge._era import SourceEra
from rudderrock.gateway.knowledge._evacuations import EvacuationHolder
from rudderrock.gateway.knowledge._evacuations import Evacuations
from rudderrock.gateway.knowledge._first import FirstKnowledge
from rudderrock.gateway.knowledge._fleet import Fleet
from rudderrock.gateway.knowledge._fleet import HostEntry
from rudderrock.gateway.knowledge._follow import Follower
from rudderrock.gateway.knowledge._peers import ChangeBook
from rudderrock.gateway.knowledge._peers import Changes
from rudderrock.gateway.knowledge._peers import InForce
from rudderrock.gateway.knowledge._peers import Known
from rudderrock.gateway.knowledge._peers import PeerClient
from rudderrock.gateway.knowledge._peers import read_changes
from rudderrock.gateway.knowledge._peers import render_changes
from rudderrock.gateway.knowledge._place import Anywhere
from rudderrock.gateway.knowledge._place import Place
from rudderrock.gateway.knowledge._place import RegionId
from rudderrock.gateway.knowledge._place import Residency
from rudderrock.gateway.knowledge._place import Within
from rudderrock.gateway.knowledge._position import NOWHERE
from rudderrock.gateway.knowledge._position import Position
from rudderrock.gateway.knowledge._quarantine import Quarantine
from rudderrock.gateway.knowledge._quarantine import Record as QuarantineRecord
from rudderrock.gateway.knowledge._quarantine import Standing
from rudderrock.gateway.knowledge._registration import Registration
from rudderrock.gateway.knowledge._routing import IntakeLimits
from rudderrock.gateway.knowledge._routing import NO_VERSION
from rudderrock.gateway.knowledge._routing import Repeat
from rudderrock.gateway.knowledge._routing import Route
from rudderrock.gateway.knowledge._routing import RouteName
from rudderrock.gateway.knowledge._routing import RoutingTable
from rudderrock.gateway.knowledge._routing import Scatter
from rudderrock.gateway.knowledge._routing import Service
from rudderrock.gateway.knowledge._routing import ServiceName
from rudderrock.gateway.knowledge._routing import Share
from rudderrock.gateway.knowledge._routing import Single
from rudderrock.gateway.knowledge._routing import Split
from rudderrock.gateway.knowledge._routing import TableVersion
from rudderrock.gateway.knowledge._routing import Target
from rudderrock.gateway.knowledge._sources import HistoryGone
from rudderrock.gateway.knowledge._sources import Lease
from rudderrock.gateway.knowledge._sources import LeaseEnded
from rudderrock.gateway.knowledge._sources import SourcePort
from rudderrock.gateway.knowledge._sources import SourceReturned
from rudderrock.gateway.knowledge._sources import TableHolder
from rudderrock.gateway.knowledge._sources import TableReading
from rudderrock.gateway.knowledge._sources import Unavailable
from rudderrock.gateway.knowledge._sources import UpstreamReading

__all__ = [
    'Advice',
    'Announcer',
    'Anywhere',
    'Canary',
    'ChangeBook',
    'Changes',
    'ColdLimits',
    'Counters',
    'Directory',
    'DirectoryChange',
    'Endpoint',
    'EvacuationHolder',
    'Evacuations',
    'EventLog',
    'Exchange',
    'ExtraBudget',
    'FirstKnowledge',
    'Fleet',
    'Follower',
    'Gateway',
    'GatewayMetrics',
    'GatewayProcess',
    'GatewaySettings',
    'HeaderNames',
    'Headers',
    'HistoryGone',
    'HostEntry',
    'HttpCaller',
    'InForce',
    'Intake',
    'IntakeLimits',
    'Known',
    'KIND_INFO',
    'Lease',
    'LeaseEnded',
    'Link',
    'LinkShare',
    'LogKind',
    'Lost',
    'NOWHERE',
    'NO_VERSION',
    'Outcome',
    'Parts',
    'PeerClient',
    'Phase',
    'PipeHandler',
    'Place',
    'Pool',
    'Position',
    'ProcessState',
    'RegionId',
    'Registration',
    'Quarantine',
    'QuarantineRecord',
    'ReadingStamp',
    'Repeat',
    'Replica',
    'ReplicaBook',
    'Reply',
    'Request',
    'Residency',
    'Result',
    'Route',
    'RouteName',
    'RoutingTable',
    'Scatter',
    'Service',
    'ServiceName',
    'Share',
    'Single',
    'SourceEra',
    'SourcePort',
    'SourceReturned',
    'Standing',
    'Split',
    'TableHolder',
    'TableReading',
    'TableVersion',
    'Target',
    'Unavailable',
    'UpstreamReading',
    'Verdict',
    'Waiter',
    'Within',
    'WorkKind',
    'WorkMeter',
    'digest_request',
    'drop_connection_headers',
    'format_event_page',
    'judge_outcome',
    'merge_records',
    'read_changes',
    'read_records',
    'render_changes',
    'render_records',
    'render_reply',
    'render_request',
    'set_up_log',
    'share_links',
]
