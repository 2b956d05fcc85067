"""Messages, their JSON encoding, and their mapping to HTTP responses."""

from rudderrock.protocol._caller import Answered
from rudderrock.protocol._caller import Command
from rudderrock.protocol._caller import COMMAND_PATH
from rudderrock.protocol._caller import Coverage
from rudderrock.protocol._caller import IDEMPOTENCY_HEADER
from rudderrock.protocol._caller import MAX_HITS
from rudderrock.protocol._caller import MissingReason
from rudderrock.protocol._caller import Outcome
from rudderrock.protocol._caller import Query
from rudderrock.protocol._caller import QUERY_PATH
from rudderrock.protocol._caller import Recorded
from rudderrock.protocol._caller import RefusalReason
from rudderrock.protocol._caller import Refused
from rudderrock.protocol._caller import Unknown
from rudderrock.protocol._codec import decode
from rudderrock.protocol._codec import decode_each
from rudderrock.protocol._codec import encode
from rudderrock.protocol._codec import RawEntries
from rudderrock.protocol._kv import ABSENT
from rudderrock.protocol._kv import GET_PATH
from rudderrock.protocol._kv import GetRequest
from rudderrock.protocol._kv import GRANT_PATH
from rudderrock.protocol._kv import GrantRequest
from rudderrock.protocol._kv import KvEntry
from rudderrock.protocol._kv import Lease
from rudderrock.protocol._kv import RENEW_PATH
from rudderrock.protocol._kv import REVOKE_PATH
from rudderrock.protocol._kv import SWAP_PATH
from rudderrock.protocol._kv import SwapRequest
from rudderrock.protocol._kv import WATCH_PATH
from rudderrock.protocol._kv import WatchRequest
from rudderrock.protocol._peers import CONFIG_PATH
from rudderrock.protocol._peers import ConfigReply
from rudderrock.protocol._peers import ConfigRequest
from rudderrock.protocol._peers import Demand
from rudderrock.protocol._peers import Digest
from rudderrock.protocol._peers import MAX_DIGEST_DEMANDS
from rudderrock.protocol._peers import MAX_DIGEST_MEMBERS
from rudderrock.protocol._peers import Member
from rudderrock.protocol._peers import MemberState
from rudderrock.protocol._peers import Probe
from rudderrock.protocol._peers import PROBE_PATH
from rudderrock.protocol._peers import ProbeReply
from rudderrock.protocol._peers import SECRET_HEADER
from rudderrock.protocol._problems import ExecutionStatus
from rudderrock.protocol._problems import HttpReply
from rudderrock.protocol._problems import JSON_TYPE
from rudderrock.protocol._problems import make_http_reply
from rudderrock.protocol._problems import PROBLEM_TYPE
from rudderrock.protocol._problems import ProblemDetails
from rudderrock.protocol._upstream import Hit
from rudderrock.protocol._upstream import Load
from rudderrock.protocol._upstream import LOAD_PATH
from rudderrock.protocol._upstream import REJECTION_STATUS
from rudderrock.protocol._upstream import RejectionKind
from rudderrock.protocol._upstream import SHARD_PATH
from rudderrock.protocol._upstream import ShardAnswer
from rudderrock.protocol._upstream import ShardLost
from rudderrock.protocol._upstream import ShardRejected
from rudderrock.protocol._upstream import ShardReply
from rudderrock.protocol._upstream import ShardRequest
from rudderrock.protocol._upstream import ShardTimeout

__all__ = [
    'ABSENT',
    'Answered',
    'COMMAND_PATH',
    'CONFIG_PATH',
    'Command',
    'ConfigReply',
    'ConfigRequest',
    'Coverage',
    'Demand',
    'Digest',
    'ExecutionStatus',
    'GET_PATH',
    'GRANT_PATH',
    'GetRequest',
    'GrantRequest',
    'Hit',
    'HttpReply',
    'IDEMPOTENCY_HEADER',
    'JSON_TYPE',
    'KvEntry',
    'LOAD_PATH',
    'Lease',
    'Load',
    'MAX_DIGEST_DEMANDS',
    'MAX_HITS',
    'MAX_DIGEST_MEMBERS',
    'Member',
    'MemberState',
    'MissingReason',
    'Outcome',
    'PROBE_PATH',
    'PROBLEM_TYPE',
    'Probe',
    'ProbeReply',
    'ProblemDetails',
    'QUERY_PATH',
    'Query',
    'REJECTION_STATUS',
    'RENEW_PATH',
    'REVOKE_PATH',
    'Recorded',
    'RefusalReason',
    'Refused',
    'RejectionKind',
    'SECRET_HEADER',
    'SHARD_PATH',
    'SWAP_PATH',
    'ShardAnswer',
    'ShardLost',
    'ShardRejected',
    'ShardReply',
    'ShardRequest',
    'ShardTimeout',
    'SwapRequest',
    'Unknown',
    'WATCH_PATH',
    'WatchRequest',
    'RawEntries',
    'decode',
    'decode_each',
    'encode',
    'make_http_reply',
]
