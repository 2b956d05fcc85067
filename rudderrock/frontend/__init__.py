"""The HTTP applications of a host for callers, peers and operators."""

from rudderrock.frontend._body import decode_body
from rudderrock.frontend._body import make_json_response
from rudderrock.frontend._body import make_response
from rudderrock.frontend._body import read_body
from rudderrock.frontend._body import read_token
from rudderrock.frontend._callers import LIVE_PATH
from rudderrock.frontend._callers import make_caller_app
from rudderrock.frontend._callers import make_health_routes
from rudderrock.frontend._callers import READY_PATH
from rudderrock.frontend._control import EVENTS_PATH
from rudderrock.frontend._control import EventsRequest
from rudderrock.frontend._control import HostStatus
from rudderrock.frontend._control import list_samples
from rudderrock.frontend._control import make_control_app
from rudderrock.frontend._control import make_status
from rudderrock.frontend._control import METRICS_JSON_PATH
from rudderrock.frontend._control import METRICS_PATH
from rudderrock.frontend._control import Secrets
from rudderrock.frontend._control import STATUS_PATH

__all__ = [
    'EVENTS_PATH',
    'EventsRequest',
    'HostStatus',
    'LIVE_PATH',
    'METRICS_JSON_PATH',
    'METRICS_PATH',
    'READY_PATH',
    'STATUS_PATH',
    'Secrets',
    'decode_body',
    'list_samples',
    'make_caller_app',
    'make_control_app',
    'make_health_routes',
    'make_json_response',
    'make_response',
    'make_status',
    'read_body',
    'read_token',
]
