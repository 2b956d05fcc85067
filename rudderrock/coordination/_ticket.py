"""An admitted query on its way through a host."""

import dataclasses

from rudderrock import protocol
from rudderrock import state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryTicket:
    """An admitted query: who asks, what, and until when.

    `deadline` and `soft_deadline` are in loop time.
    """

    query_id: state.QueryId
    row: state.TeamRow
    query: protocol.Query
    deadline: float
    soft_deadline: float
