"""Command line client for operators: shows and edits the table."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import datetime
import pathlib
import random
from typing import Any

import defopt
import msgspec
import result

from rudderrock import coordination
from rudderrock import protocol
from rudderrock import state
from rudderrock import transport
from rudderrock.programs import _exits as exits
from rudderrock.programs import _operator_client as operator_client
from rudderrock.programs import _runtime as runtime
from rudderrock.programs import _secrets as secrets

_KV = '127.0.0.1:7100'
_KV_TIMEOUT_S = 2.0
_WAIT_POLL_S = 0.1
_OPERATOR_SECRET = 'env:RUDDERROCK_OPERATOR_SECRET'
_HIDDEN_FIELDS = ('token_hashes',)


def show(team: str = '', *, kv: str = _KV, json: bool = False) -> None:
    """Show the table, or the row of one team.

    :param team: the team; all teams by default
    :param kv: address of the key-value service
    :param json: print JSON instead of text
    """
    table = _run(_read(kv))
    rows = {
        name: row for name, row in table.rows.items() if team in ('', name)
    }
    if team and not rows:
        exits.fail(f'no team {team!r}', exits.Exit.REFUSED)
    if json:
        print(protocol.encode(rows).decode())
        return
    print(f'revision {table.revision}, {len(rows)} teams')
    for name, row in sorted(rows.items()):
        fields = _to_builtins(row)
        text = ' '.join(
            f'{key}={protocol.encode(value).decode()}'
            for key, value in fields.items()
            if key not in ('team', *_HIDDEN_FIELDS)
        )
        print(f'{name}: {text} tokens={len(row.token_hashes)}')


def set_field(
    team: str,
    *assignments: str,
    kv: str = _KV,
    author: str = '',
    edit_id: str = '',
) -> None:
    """Set fields of a team's row; the row is created if it is missing.

    :param team: the team
    :param assignments: fields to set, as NAME=VALUE with a JSON value
    :param kv: address of the key-value service
    :param author: author of the edit; the user's name by default
    :param edit_id: id of an earlier attempt at this edit
    """
    fields = dict(_read_assignment(each) for each in assignments)

    async def edit() -> coordination.EditOutcome:
        async with _EditSession(kv) as session:
            base = (await session.read_table()).rows.get(team)
            known = dataclasses.asdict(base) if base else {'team': team}
            row = _check_row({**known, **fields})
            return await session.edit(team, base, row, author, edit_id)

    _report_outcome(_run(edit()))


def remove(team: str, *, kv: str = _KV, author: str = '') -> None:
    """Remove a team's row, which also revokes its tokens.

    :param team: the team
    :param kv: address of the key-value service
    :param author: author of the edit; the user's name by default
    """

    async def edit() -> coordination.EditOutcome:
        async with _EditSession(kv) as session:
            base = (await session.read_table()).rows.get(team)
            if base is None:
                exits.fail(f'no team {team!r}', exits.Exit.REFUSED)
            return await session.edit(team, base, None, author, '')

    _report_outcome(_run(edit()))


def apply(path: pathlib.Path, *, kv: str = _KV, author: str = '') -> None:
    """Set the rows in a TOML file, each under `[teams.NAME]`.

    All rows are validated before the first one is set. Each row is then an
    edit of its own: some may be accepted and others not. Rows and fields that
    the file does not contain are not changed.

    :param path: the TOML file
    :param kv: address of the key-value service
    :param author: author of the edits; the user's name by default
    """
    match state.read_toml(path):
        case result.Err(message):
            exits.fail(message, exits.Exit.USAGE)
        case result.Ok(content):
            raw = content.get('teams', {})

    async def edit_all() -> list[coordination.EditOutcome]:
        async with _EditSession(kv) as session:
            table = await session.read_table()
            rows = {
                team: _check_row({**_get_fields(table, team), **fields})
                for team, fields in raw.items()
            }
            outcomes = []
            for team, row in rows.items():
                base = table.rows.get(team)
                if row != base:
                    done = await session.edit(team, base, row, author, '')
                    outcomes.append(done)
            return outcomes

    outcomes = _run(edit_all())
    if not outcomes:
        print('nothing to change')
    for outcome in outcomes:
        _report_outcome(outcome)


def new_token(team: str, *, kv: str = _KV, author: str = '') -> None:
    """Create a token for a team and print it.

    The token is not stored and cannot be shown again. Existing tokens of the
    team stay valid; run `set TEAM token_hashes=[]` to revoke them
    all.

    :param team: the team
    :param kv: address of the key-value service
    :param author: author of the edit; the user's name by default
    """
    rng = random.SystemRandom()
    token = state.make_token(state.TeamId(team), rng)

    async def edit() -> coordination.EditOutcome:
        async with _EditSession(kv) as session:
            base = (await session.read_table()).rows.get(team)
            row = base or _check_row({'team': team})
            hashes = (*row.token_hashes, state.hash_token(token, rng))
            row = dataclasses.replace(row, token_hashes=hashes)
            return await session.edit(team, base, row, author, '')

    outcome = _run(edit())
    if isinstance(outcome, coordination.EditAccepted):
        print(token)
        return
    _report_outcome(outcome)


def history(*, kv: str = _KV, most: int = 20, json: bool = False) -> None:
    """Show the latest edits and their authors, oldest first.

    :param kv: address of the key-value service
    :param most: maximum number of edits to show
    :param json: print JSON instead of text
    """
    edits = _run(_read(kv)).history[-most:]
    if json:
        print(protocol.encode(edits).decode())
        return
    for edit in edits:
        at = datetime.datetime.fromtimestamp(edit.at, datetime.UTC)
        what = 'removed' if edit.row is None else 'set'
        print(
            f'{edit.revision:>6}  {at:%Y-%m-%d %H:%M:%S}Z  {edit.author:<12} '
            f'{what} {edit.team}  ({edit.edit_id})'
        )


def wait(
    revision: int,
    host: str,
    *,
    timeout_s: float = 14.0,
    operator: str = _OPERATOR_SECRET,
) -> None:
    """Wait until a revision is in force on every host.

    The exit code is 0 if it is in force everywhere. It is 5 if a host does
    not have the revision or is unreachable at the timeout; these hosts are
    listed.

    :param revision: the revision
    :param host: control address of any host, which lists the others
    :param timeout_s: how long to wait, in seconds
    :param operator: location of the operators' secret: env:NAME or a file
    """
    secret = secrets.read_secret(operator)
    if secret.is_err():
        exits.fail(secret.unwrap_err(), exits.Exit.USAGE)
    client = operator_client.OperatorClient(secret.unwrap())
    pending = _run(_wait(client, revision, host, timeout_s))
    if pending:
        text = ', '.join(pending)
        exits.fail(f'not in force on {text}', exits.Exit.UNAVAILABLE)
    print(f'revision {revision} is in force on every host')


async def _wait(
    client: operator_client.OperatorClient,
    revision: int,
    host: str,
    timeout_s: float,
) -> list[str]:
    """Return the hosts on which a revision is not in force at the timeout."""
    clock = runtime.make_system_clock()
    end = clock.now() + timeout_s
    while True:
        hosts = await client.find_hosts(host)
        replies = await client.get_all_status(list(hosts.values()))
        pending = [
            name
            for name, address in hosts.items()
            if replies[address] is None
            or replies[address].table_revision < revision
        ]
        if not pending or clock.now() >= end:
            return pending
        await asyncio.sleep(_WAIT_POLL_S)


class _EditSession:
    """An editor of the table with its own client of the key-value service."""

    def __init__(self, kv: str):
        self._kv = transport.HttpKvPort(kv, _KV_TIMEOUT_S)
        self._editor: coordination.TableEditor | None = None

    async def __aenter__(self) -> '_EditSession':
        self._editor = coordination.TableEditor(
            self._kv, runtime.make_system_clock(), random.SystemRandom()
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._kv.close()

    async def read_table(self) -> state.Table:
        match await self._editor.read():
            case result.Err(detail):
                exits.fail(detail, exits.Exit.UNAVAILABLE)
            case result.Ok(table):
                return table

    async def edit(
        self,
        team: str,
        base: state.TeamRow | None,
        row: state.TeamRow | None,
        author: str,
        edit_id: str,
    ) -> coordination.EditOutcome:
        change = state.Change(
            edit_id=state.EditId(edit_id or self._editor.make_edit_id()),
            author=author or _get_user(),
            team=state.TeamId(team),
            base=base,
            row=row,
        )
        outcome = await self._editor.edit(change, _KV_TIMEOUT_S * 3)
        if isinstance(outcome, coordination.EditUncertain):
            exits.fail(
                f'{outcome.detail}; it may have taken effect. Look it up '
                'with `history`, or repeat `set` with --edit-id '
                f'{change.edit_id}',
                exits.Exit.UNKNOWN,
            )
        return outcome


async def _read(kv: str) -> state.Table:
    async with _EditSession(kv) as session:
        return await session.read_table()


def _report_outcome(outcome: coordination.EditOutcome) -> None:
    match outcome:
        case coordination.EditAccepted(edit):
            print(f'accepted as revision {edit.revision}')
        case coordination.EditLost(current):
            plain = _to_builtins(current) if current else 'no row'
            exits.fail(
                f'another edit came first; the row is now {plain}',
                exits.Exit.REFUSED,
            )
        case coordination.EditInvalid(problems):
            text = '\n'.join(str(each) for each in problems)
            exits.fail(text, exits.Exit.USAGE)


def _check_row(fields: dict[str, Any]) -> state.TeamRow:
    match state.validate(state.TeamRow, fields):
        case result.Err(problems):
            text = '\n'.join(str(each) for each in problems)
            exits.fail(text, exits.Exit.USAGE)
        case result.Ok(row):
            return row


def _get_fields(table: state.Table, team: str) -> dict[str, Any]:
    base = table.rows.get(state.TeamId(team))
    return dataclasses.asdict(base) if base else {'team': team}


def _read_assignment(text: str) -> tuple[str, Any]:
    name, equals, value = text.partition('=')
    if not equals:
        exits.fail(f'{text!r} is not NAME=VALUE', exits.Exit.USAGE)
    try:
        return name, msgspec.json.decode(value)
    except msgspec.DecodeError:
        return name, value


def _to_builtins(row: state.TeamRow) -> dict[str, Any]:
    return msgspec.json.decode(protocol.encode(row))


def _get_user() -> str:
    # The name is only informative in the history; it is not authenticated.
    return pathlib.Path.home().name or 'operator'


def _run(coroutine: Coroutine) -> Any:
    return asyncio.run(coroutine)


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run(
        {
            'show': show,
            'set': set_field,
            'apply': apply,
            'remove': remove,
            'new-token': new_token,
            'history': history,
            'wait': wait,
        }
    )


if __name__ == '__main__':
    main()
