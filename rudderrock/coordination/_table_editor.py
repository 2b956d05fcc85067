"""Edits of the table by operators; a retried edit is applied only once.

An edit is one compare-and-swap of the whole table. If the reply is lost,
the same swap is retried: it either succeeds, or the conflict returns the
current table, whose history contains the edit id if the edit took effect.
"""

import asyncio
import dataclasses
import random

import result

from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.coordination import _key_watcher as key_watcher

_INITIAL_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0
_TOO_LARGE = f'the table would have more than {state.MAX_TABLE_BYTES} bytes'


@dataclasses.dataclass(frozen=True, slots=True)
class EditAccepted:
    """The edit took effect; `edit` holds its revision."""

    edit: state.Edit


@dataclasses.dataclass(frozen=True, slots=True)
class EditLost:
    """Another edit of the row came first; nothing was changed."""

    current: state.TeamRow | None


@dataclasses.dataclass(frozen=True, slots=True)
class EditInvalid:
    """The row or the whole table is invalid; nothing was changed.

    This is also the outcome if the stored table cannot be decoded.
    """

    problems: state.Problems


@dataclasses.dataclass(frozen=True, slots=True)
class EditUncertain:
    """The service did not answer in time; the edit may have taken effect.

    Retrying with the same edit id is safe and returns a definite outcome.
    """

    detail: str


EditOutcome = EditAccepted | EditLost | EditInvalid | EditUncertain


class TableEditor:
    """Reads and edits the table for an operator.

    Parameters: `kv` is the port to the key-value service. `rng` makes edit
    ids. They must be unique, so the programs for operators pass a
    `random.SystemRandom`.
    """

    def __init__(
        self,
        kv: transport.KvPort,
        clock: state.Clock,
        rng: random.Random,
    ):
        self._kv = kv
        self._clock = clock
        self._rng = rng

    async def read(
        self,
    ) -> result.Result[state.Table, str]:
        """Return the current table of the key-value service."""
        entry = await self._kv.get(key_watcher.TABLE_KEY)
        return entry.map_err(lambda err: err.detail).and_then(_decode_table)

    def make_edit_id(self) -> state.EditId:
        """Return a new edit id."""
        return state.EditId(f'{self._rng.getrandbits(96):024x}')

    async def edit(
        self, change: state.Change, timeout_s: float
    ) -> EditOutcome:
        """Apply one change to the table and return its outcome.

        Without an answer of the service, retry for up to `timeout_s`
        seconds.
        """
        problems = _check_change(change)
        if problems:
            return EditInvalid(problems)
        deadline = self._clock.now() + timeout_s
        pause_s = _INITIAL_PAUSE_S
        entry: protocol.KvEntry | None = None
        while True:
            if entry is None:
                read = await self._kv.get(key_watcher.TABLE_KEY)
                entry = read.ok()
            if entry is not None:
                outcome = await self._try_swap(change, entry)
                if not isinstance(outcome, protocol.KvEntry | None):
                    return outcome
                entry = outcome
                if entry is not None:
                    continue
            if self._clock.now() + pause_s >= deadline:
                return EditUncertain('no answer from the key-value service')
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, _MAX_PAUSE_S)

    async def _try_swap(
        self, change: state.Change, entry: protocol.KvEntry
    ) -> EditOutcome | protocol.KvEntry | None:
        """Try one swap.

        Return the outcome, the newer entry that conflicts with it, or None
        if the service did not answer.
        """
        decoded = _decode_table(entry)
        if decoded.is_err():
            problem = state.Problem('table', decoded.unwrap_err())
            return EditInvalid((problem,))
        table = decoded.unwrap()
        accepted_edit = table.find_edit(change.edit_id)
        if accepted_edit is not None:
            return EditAccepted(accepted_edit)
        applied = state.apply_change(table, change, self._clock.wall())
        if applied.is_err():
            return EditLost(applied.unwrap_err().current)
        value = protocol.encode(applied.unwrap())
        if len(value) > state.MAX_TABLE_BYTES:
            return EditInvalid((state.Problem('table', _TOO_LARGE),))
        swapped = await self._kv.swap(
            protocol.SwapRequest(
                key=key_watcher.TABLE_KEY, value=value, expected=entry.version
            )
        )
        match swapped:
            case result.Ok(_):
                return EditAccepted(applied.unwrap().history[-1])
            case result.Err(transport.KvConflict(current)):
                return current
        return None


def _decode_table(entry: protocol.KvEntry) -> result.Result[state.Table, str]:
    if entry.value is None:
        return result.Ok(state.Table())
    return protocol.decode(state.Table, entry.value)


def _check_change(change: state.Change) -> state.Problems:
    if change.row is None:
        return ()
    checked = state.validate(state.TeamRow, dataclasses.asdict(change.row))
    if checked.is_err():
        return checked.unwrap_err()
    if change.row.team != change.team:
        message = f'must be {change.team!r}; {change.row.team!r} was given'
        return (state.Problem('team', message),)
    return ()
