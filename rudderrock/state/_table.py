"""The operators' table: one row a team, and the edits that made it so.

The whole table is one value of the platform's key-value service, replaced
by compare-and-swap, so an edit is either wholly in it or not at all. The
value carries the most recent edits with their ids, by which a client whose
reply was lost finds out whether its edit took effect.
"""

import dataclasses
import enum
from typing import Annotated

import pydantic
import result

from rudderrock import core
from rudderrock.state import _constraints as constraints

# 256 edits of about 400 bytes keep the history under a tenth of the 1 MB
# that a value may have, beside some 800 rows.
HISTORY_LIMIT = 256
MAX_TABLE_BYTES = 900_000

_NAME_PATTERN = r'^[a-z0-9][a-z0-9_-]{0,62}$'

_Name = Annotated[str, pydantic.Field(pattern=_NAME_PATTERN)]


class CoveragePolicy(enum.Enum):
    """What a team wants when shards are slow.

    `WAIT` holds the answer until every shard has answered or the deadline
    is reached. `EARLY` answers at the soft deadline if the coverage asked
    for has been reached by then.
    """

    WAIT = 'wait'
    EARLY = 'early'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamRow:
    """One team's row of the table.

    `weight` is its share of a contended service against other teams.
    `priority` (0 first to 9 last) orders teams that are within their
    shares; it cannot take a share away. `rate` is in shard requests a
    second and `concurrency` in shard requests in flight, both over the
    whole tier. `coverage` is the fraction of shards an early answer needs.
    `soft_deadline_s` and `deadline_s` are in seconds. `collections` lists
    what the team may query, where `*` means all. `token_hashes` come from
    `hash_token`.
    """

    __pydantic_config__ = constraints.FORBID_UNKNOWN

    team: _Name
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
        """Tell whether the team has been given a collection."""
        return '*' in self.collections or collection in self.collections


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Edit:
    """One accepted change: who set which row to what, and when.

    `row` is None where the team was removed. `at` is in Unix seconds.
    """

    edit_id: core.EditId
    revision: core.Revision
    author: str
    at: float
    team: core.TeamId
    row: TeamRow | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """All rows at one revision; a later revision replaces an earlier one."""

    revision: core.Revision = core.NO_REVISION
    rows: dict[core.TeamId, TeamRow] = dataclasses.field(default_factory=dict)
    history: tuple[Edit, ...] = ()

    def find_edit(self, edit_id: core.EditId) -> Edit | None:
        """Return the edit with this id if the table already contains it."""
        for edit in reversed(self.history):
            if edit.edit_id == edit_id:
                return edit
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change that an operator asks for.

    `row` is None to remove the team. `base` is the row the operator saw
    (None if there was none); the change applies only while the table still
    has that row, so the slower of two racing operators loses nothing
    unseen.
    """

    edit_id: core.EditId
    author: str
    team: core.TeamId
    base: TeamRow | None
    row: TeamRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowMoved:
    """A change was refused because the row is no longer what it was."""

    current: TeamRow | None


def apply_change(
    table: Table, change: Change, at: float
) -> result.Result[Table, RowMoved]:
    """Return the next table, or the row that stands in the way.

    `at` is in Unix seconds. The given table is not altered.
    """
    current = table.rows.get(change.team)
    if current != change.base:
        return result.Err(RowMoved(current))
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


def reunite_tables(kept: Table, found: Table) -> Table | None:
    """Return what a service must hold that has lost edits of `kept`.

    `found` is what it holds: a copy of before, maybe with edits made on that
    since. Those are made again on `kept`, in their order, so that each edit
    that was accepted holds. Returns None where nothing is lost, and where
    the two histories have no edit in common, so that nobody can tell.
    """
    ours = {edit.edit_id for edit in kept.history}
    theirs = {edit.edit_id for edit in found.history}
    if ours <= theirs and found.revision >= kept.revision:
        return None
    if found.history and not ours & theirs:
        return None
    shared = max(
        (edit.revision for edit in found.history if edit.edit_id in ours),
        default=core.NO_REVISION,
    )
    table = kept
    for edit in found.history:
        if edit.edit_id not in ours and edit.revision > shared:
            table = _make_again(table, edit)
    return table


def _make_again(table: Table, edit: Edit) -> Table:
    """Return a table after an edit that was made on another one."""
    rows = dict(table.rows)
    rows.pop(edit.team, None)
    if edit.row is not None:
        rows[edit.team] = edit.row
    revision = core.Revision(table.revision + 1)
    again = dataclasses.replace(edit, revision=revision)
    history = (*table.history, again)[-HISTORY_LIMIT:]
    return Table(revision=revision, rows=rows, history=history)


def check_table(table: Table) -> constraints.Problems:
    """List what is wrong with a table that came from outside.

    The rows are checked against their declared constraints, and each must
    stand under its own name.
    """
    problems: list[constraints.Problem] = []
    for team, row in table.rows.items():
        match constraints.make_checked(TeamRow, dataclasses.asdict(row)):
            case result.Err(found):
                problems.extend(_prefix(team, found))
            case result.Ok(_):
                pass
        if row.team != team:
            message = f'row is of team {row.team!r} but stands under {team!r}'
            problems.append(constraints.Problem(f'rows.{team}', message))
    return tuple(problems)


def _prefix(
    team: core.TeamId, problems: constraints.Problems
) -> list[constraints.Problem]:
    return [
        constraints.Problem(f'rows.{team}.{problem.key}', problem.message)
        for problem in problems
    ]
