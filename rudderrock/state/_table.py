"""The table of teams that operators edit, with its recent edits.

The complete table is one value in the platform's key-value service. It is
replaced by compare-and-swap, so that edits are atomic. The value contains
the most recent edits with their ids, so that a client whose reply was lost
can check whether its edit took effect.
"""

import dataclasses
import enum
from typing import Annotated

import pydantic
import result

from rudderrock import core
from rudderrock.state import _constraints as constraints
from rudderrock.state import _layout as layout

# The key-value service accepts values of up to 1 MB. 256 edits of about 400
# bytes take about a tenth of that, which leaves room for about 800 rows.
HISTORY_LIMIT = 256
# A larger encoded table isn't written to the key-value service.
MAX_TABLE_BYTES = 900_000

_NAME_PATTERN = r'^[a-z0-9][a-z0-9_-]{0,62}$'

_TeamName = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]


class CoveragePolicy(enum.Enum):
    """Policy of a team for slow shards.

    `WAIT` returns a result when all shards have answered, or at the
    deadline. `EARLY` returns a result at the soft deadline if the required
    coverage has been reached.
    """

    WAIT = 'wait'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamRow:
    """Row of the table: limits and permissions of a team.

    `weight` is the relative share of the team in a service (the replicas of
    one shard) while requests wait for it. A team with a lower `priority`
    number (0 to 9) is served earlier, by a bounded lead that doesn't reduce
    the share of another team over time. `rate` is in shard requests
    a second and `concurrency` in shard requests in flight, both for all
    hosts together. `coverage` is the fraction of shards that an early answer
    requires. `deadline_s` and `soft_deadline_s`, for early answers, are in
    seconds from the receipt of a request. `may_write` permits commands.
    `collections` are the collections that the team may query; `*`
    allows all. `token_hashes` are created by `hash_token`.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    team: _TeamName
    weight: Annotated[float, pydantic.Field(ge=0.01, le=1000)] = 1.0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    rate: Annotated[float, pydantic.Field(gt=0, le=1e9)] = 10_000.0
    concurrency: Annotated[int, pydantic.Field(ge=1, le=10**9)] = 5_000
    coverage_policy: CoveragePolicy = CoveragePolicy.WAIT
    coverage: Annotated[float, pydantic.Field(ge=0, le=1)] = 1.0
    soft_deadline_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 0.2
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 1.0
    may_write: bool = False
    collections: tuple[str, ...] = ('*',)
    token_hashes: tuple[str, ...] = ()

    def may_query(self, collection: core.CollectionId) -> bool:
        """Return whether the team may query a collection."""
        return '*' in self.collections or collection in self.collections


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """An accepted change of one row.

    `row` is None if the team was removed. `at` is in Unix seconds.
    """

    edit_id: core.EditId
    revision: core.Revision
    author: str
    at: float
    team: core.TeamId
    row: TeamRow | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """All rows at one revision, with the most recent edits."""

    revision: core.Revision = core.NO_REVISION
    rows: dict[core.TeamId, TeamRow] = dataclasses.field(default_factory=dict)
    history: tuple[Edit, ...] = ()

    def find_edit(self, edit_id: core.EditId) -> Edit | None:
        """Return the edit with an id, or None if it isn't in the history."""
        for edit in reversed(self.history):
            if edit.edit_id == edit_id:
                return edit
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of one row that an operator requests.

    `row` is None to remove the team. `base` is the row that the operator
    has read (None if there was none). The change is applied only if the row
    is still equal to it, so that an operator doesn't overwrite a concurrent
    edit that they haven't seen.
    """

    edit_id: core.EditId
    author: str
    team: core.TeamId
    base: TeamRow | None
    row: TeamRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowConflict:
    """Refusal of a change because the row differs from its base."""

    current: TeamRow | None


def apply_change(
    table: Table, change: Change, at: float
) -> result.Result[Table, RowConflict]:
    """Return a table with the change, or the row that conflicts with it.

    `at` is in Unix seconds. The given table isn't modified.
    """
    current = table.rows.get(change.team)
    if current != change.base:
        return result.Err(RowConflict(current))
    rows = dict(table.rows)
    rows.pop(change.team, None)
    if change.row is not None:
        rows[change.team] = change.row
    revision = core.Revision(table.revision + 1)
    edit = Edit(
        edit_id=change.edit_id,
        revision=revision,
        author=change.author,
        at=at,
        team=change.team,
        row=change.row,
    )
    history = (*table.history, edit)[-HISTORY_LIMIT:]
    return result.Ok(Table(revision=revision, rows=rows, history=history))


def merge_lost_edits(kept: Table, found: Table) -> Table | None:
    """Return the table that restores lost edits in the key-value service.

    `kept` is the table that this host has in force; `found` is the table in
    the key-value service, which may have been restored from an older copy
    and edited since. The new edits of `found` are applied to `kept` in their
    order, so that no accepted edit is lost. Return None if `found` contains
    every edit in the history of `kept` and its revision isn't lower, or if
    the two histories have no edit in common, in which case lost edits can't
    be determined.
    """
    kept_ids = {edit.edit_id for edit in kept.history}
    found_ids = {edit.edit_id for edit in found.history}
    if kept_ids <= found_ids and found.revision >= kept.revision:
        return None
    if found.history and not kept_ids & found_ids:
        return None
    last_shared_revision = max(
        (edit.revision for edit in found.history if edit.edit_id in kept_ids),
        default=core.NO_REVISION,
    )
    table = kept
    for edit in found.history:
        if (
            edit.edit_id not in kept_ids
            and edit.revision > last_shared_revision
        ):
            table = _reapply_edit(table, edit)
    return table


def _reapply_edit(table: Table, edit: Edit) -> Table:
    """Return a table with an edit of another table applied to it."""
    rows = dict(table.rows)
    rows.pop(edit.team, None)
    if edit.row is not None:
        rows[edit.team] = edit.row
    revision = core.Revision(table.revision + 1)
    reapplied = dataclasses.replace(edit, revision=revision)
    history = (*table.history, reapplied)[-HISTORY_LIMIT:]
    return Table(revision=revision, rows=rows, history=history)


def check_table(table: Table) -> constraints.Problems:
    """Return the problems of a table from the key-value service or a peer.

    Rows must satisfy the constraints of their fields, the key of a row must
    be the id of its team, and the revision must be in range.
    """
    problems: list[constraints.Problem] = []
    if not core.NO_REVISION <= table.revision <= layout.MAX_REVISION:
        problems.append(constraints.Problem('revision', 'is out of range'))
    for team, row in table.rows.items():
        match constraints.validate(TeamRow, dataclasses.asdict(row)):
            case result.Err(found):
                problems.extend(_add_key_prefix(team, found))
            case result.Ok(_):
                pass
        if row.team != team:
            message = f'row of team {row.team!r} is stored under {team!r}'
            problems.append(constraints.Problem(f'rows.{team}', message))
    return tuple(problems)


def _add_key_prefix(
    team: core.TeamId, problems: constraints.Problems
) -> list[constraints.Problem]:
    return [
        constraints.Problem(f'rows.{team}.{problem.key}', problem.message)
        for problem in problems
    ]
