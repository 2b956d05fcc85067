"""A randomized soak of the real programs as separate processes.

Faults are injected from outside: a proxy on each way, signals, and a store
and upstreams that misbehave. What callers and upstreams see is checked.
The time of day is used for log lines only, so it is left alone.
"""

from rudderrock.soak._checks import check_records
from rudderrock.soak._checks import Violation
from rudderrock.soak._plan import Fault
from rudderrock.soak._plan import FaultKind
from rudderrock.soak._plan import make_plan
from rudderrock.soak._plan import Plan
from rudderrock.soak._run import Report
from rudderrock.soak._run import run_seed

__all__ = [
    'Fault',
    'FaultKind',
    'Plan',
    'Report',
    'Violation',
    'check_records',
    'make_plan',
    'run_seed',
]
