"""Load experiments: plans, runs, reports and random fault schedules."""

from rudderrock.experiments._faults import inject_fault
from rudderrock.experiments._outcomes import Bin
from rudderrock.experiments._outcomes import compare_results
from rudderrock.experiments._outcomes import ExperimentResult
from rudderrock.experiments._outcomes import format_result
from rudderrock.experiments._outcomes import InternalMetrics
from rudderrock.experiments._outcomes import make_mark
from rudderrock.experiments._outcomes import Mark
from rudderrock.experiments._outcomes import PERCENTILES
from rudderrock.experiments._outcomes import read_result
from rudderrock.experiments._outcomes import TeamOutcome
from rudderrock.experiments._outcomes import TeamRecorder
from rudderrock.experiments._outcomes import write_result
from rudderrock.experiments._plan import Burst
from rudderrock.experiments._plan import ColdRestart
from rudderrock.experiments._plan import Drain
from rudderrock.experiments._plan import EVERYTHING
from rudderrock.experiments._plan import FalseLoad
from rudderrock.experiments._plan import Fault
from rudderrock.experiments._plan import HostDown
from rudderrock.experiments._plan import KvDown
from rudderrock.experiments._plan import Plan
from rudderrock.experiments._plan import read_plan
from rudderrock.experiments._plan import Rollout
from rudderrock.experiments._plan import Shed
from rudderrock.experiments._plan import Slow
from rudderrock.experiments._plan import Straggle
from rudderrock.experiments._plan import TeamLoad
from rudderrock.experiments._plan import UpstreamDown
from rudderrock.experiments._random_faults import draw_faults
from rudderrock.experiments._random_faults import DrawnFault
from rudderrock.experiments._random_faults import FaultInjector
from rudderrock.experiments._random_faults import inject_kv_delay
from rudderrock.experiments._random_faults import inject_kv_outage
from rudderrock.experiments._random_faults import inject_lost_kv_replies
from rudderrock.experiments._real import read_targets
from rudderrock.experiments._real import run_real
from rudderrock.experiments._real import Targets
from rudderrock.experiments._report import make_report
from rudderrock.experiments._report import write_report
from rudderrock.experiments._run import Driver
from rudderrock.experiments._run import run_and_collect_exceptions
from rudderrock.experiments._run import run_on_virtual_time
from rudderrock.experiments._run import run_virtual
from rudderrock.experiments._schedules import Call
from rudderrock.experiments._schedules import list_violations
from rudderrock.experiments._schedules import run_schedule
from rudderrock.experiments._schedules import ScheduleResult
from rudderrock.experiments._table_schedules import run_table_schedule
from rudderrock.experiments._table_schedules import TableScheduleResult

__all__ = [
    'Bin',
    'Burst',
    'Call',
    'ColdRestart',
    'Drain',
    'DrawnFault',
    'Driver',
    'EVERYTHING',
    'ExperimentResult',
    'FalseLoad',
    'Fault',
    'FaultInjector',
    'HostDown',
    'InternalMetrics',
    'KvDown',
    'Mark',
    'PERCENTILES',
    'Plan',
    'Rollout',
    'ScheduleResult',
    'Shed',
    'Slow',
    'Straggle',
    'TableScheduleResult',
    'Targets',
    'TeamLoad',
    'TeamOutcome',
    'TeamRecorder',
    'UpstreamDown',
    'compare_results',
    'draw_faults',
    'format_result',
    'inject_fault',
    'inject_kv_delay',
    'inject_kv_outage',
    'inject_lost_kv_replies',
    'list_violations',
    'make_mark',
    'make_report',
    'read_plan',
    'read_result',
    'read_targets',
    'run_and_collect_exceptions',
    'run_on_virtual_time',
    'run_real',
    'run_schedule',
    'run_table_schedule',
    'run_virtual',
    'write_report',
    'write_result',
]
