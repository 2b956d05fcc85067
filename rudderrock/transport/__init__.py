"""Interfaces to outside services, their HTTP clients, and an HTTP server."""

from rudderrock.transport._http_connection import ExchangeFailed
from rudderrock.transport._http_connection import HttpConnection
from rudderrock.transport._http_connection import RawReply
from rudderrock.transport._kv import HttpKvPort
from rudderrock.transport._peers import HOST_LIST_PATH
from rudderrock.transport._peers import HttpHostListPort
from rudderrock.transport._peers import HttpPeerPort
from rudderrock.transport._peers import post_once
from rudderrock.transport._ports import AbortHandle
from rudderrock.transport._ports import ConnectFailed
from rudderrock.transport._ports import ExchangeControl
from rudderrock.transport._ports import HostListing
from rudderrock.transport._ports import HostListPort
from rudderrock.transport._ports import KvConflict
from rudderrock.transport._ports import KvPort
from rudderrock.transport._ports import KvUnavailable
from rudderrock.transport._ports import LeaseExpired
from rudderrock.transport._ports import ListedHost
from rudderrock.transport._ports import PeerPort
from rudderrock.transport._ports import PeerUnreachable
from rudderrock.transport._ports import UpstreamConnection
from rudderrock.transport._ports import UpstreamPort
from rudderrock.transport._server import bind
from rudderrock.transport._server import get_address
from rudderrock.transport._server import HeadLimits
from rudderrock.transport._server import HttpServer
from rudderrock.transport._server import serve
from rudderrock.transport._server import wait_for_disconnect
from rudderrock.transport._upstream import check_shard_reply
from rudderrock.transport._upstream import HttpUpstreamConnection
from rudderrock.transport._upstream import HttpUpstreamPort
from rudderrock.transport._upstream import read_shard_reply

__all__ = [
    'AbortHandle',
    'ConnectFailed',
    'ExchangeControl',
    'ExchangeFailed',
    'HOST_LIST_PATH',
    'HeadLimits',
    'HostListPort',
    'HostListing',
    'HttpConnection',
    'HttpHostListPort',
    'HttpKvPort',
    'HttpPeerPort',
    'HttpServer',
    'HttpUpstreamConnection',
    'HttpUpstreamPort',
    'KvConflict',
    'KvPort',
    'KvUnavailable',
    'LeaseExpired',
    'ListedHost',
    'PeerPort',
    'PeerUnreachable',
    'RawReply',
    'UpstreamConnection',
    'UpstreamPort',
    'bind',
    'check_shard_reply',
    'get_address',
    'post_once',
    'read_shard_reply',
    'serve',
    'wait_for_disconnect',
]
