"""The admitted query that is passed to the query runner."""

import dataclasses

from rudderrock import protocol
from rudderrock import state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedQuery:
    """An admitted query with the row of its team.

    `deadline` and `soft_deadline` are in loop time.
    """

    query_id: state.QueryId
    row: state.TeamRow
    query: protocol.Query
    deadline: float
    soft_deadline: float
