"""Randomized fault-injection test of the gateway programs.

Each host runs as a separate process. Faults are injected from outside: by
proxies between the hosts, the store and the upstreams, by signals, and by
stand-ins of the store and the upstreams that misbehave. The replies that
callers receive and the requests that upstreams run are checked against the
gateway's guarantees. The wall clock is not changed, because the programs use
it only for log lines.
"""

from rudderrock.soak._checks import check_records
from rudderrock.soak._checks import Violation
from rudderrock.soak._plan import Fault
from rudderrock.soak._plan import FaultKind
from rudderrock.soak._plan import make_plan
from rudderrock.soak._plan import Plan
from rudderrock.soak._ports import find_network
from rudderrock.soak._ports import find_port_range
from rudderrock.soak._proxy import Proxy
from rudderrock.soak._run import Report
from rudderrock.soak._run import Run
from rudderrock.soak._run import run_seed

__all__ = [
    'Fault',
    'FaultKind',
    'Plan',
    'Proxy',
    'Report',
    'Run',
    'Violation',
    'check_records',
    'find_network',
    'find_port_range',
    'make_plan',
    'run_seed',
]
