"""A non-idempotent request runs and is answered 503.

A service has one server left after a planned scale-in. The server rejects part
of the requests although its health is good, and sends some of its responses a
second time, late. A gateway that sends a rejected request again on the same
connection takes the copy of the first rejection for the response to its second
attempt, which the server runs.
"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

_FOLDER = pathlib.Path(__file__).resolve().parent
_LOAD_S = 70.0
_SERVICE = 'kiosko'
_GATEWAYS = {
    'front-quito-norte-1': 'quito-norte',
    'front-guayaquil-sur-1': 'guayaquil-sur',
    'front-cuenca-centro-1': 'cuenca-centro',
}
# Doses of the small sites: `srv_grey` with `shed` has x = 0.45, and `garble`
# with `extra late` has x = 0.03 to 0.04, of which twice the smaller is used.
_REJECTED_FRACTION = 0.45
_REPEATED_FRACTION = 0.06
_CLIENTS_PER_GATEWAY = 2
_THINK_TIME_S = 0.1
_PROMISES = (408, 421, 429, 503)
# A client retries once after a promise, as the clients of the small sites.
_TRIES = 2
_RETRY_AFTER_S = 0.1


async def play(case: harness.Case) -> bool:
    """Return whether a request that ran was answered with a promise."""
    rng = random.Random(1)
    server = await case.add_server('i-0001', _SERVICE, 'quito-norte', 0.08, 4)
    await case.add_server('i-0002', _SERVICE, 'guayaquil-sur', 0.08, 4)
    route = {
        'name': 'r-passes',
        'prefix': '/passes/',
        'service': _SERVICE,
        'kind': 'unsafe',
    }
    case.write_config([route])
    await case.start_gateways(_GATEWAYS)
    # Planned work: the second server is emptied and taken away.
    case.register('i-0002', _SERVICE, 'guayaquil-sur', 'draining')
    await asyncio.sleep(harness.DRAIN_S + 1.0)
    case.unregister('i-0002')
    await asyncio.sleep(harness.STABLE_S)
    if harness.has_trouble():
        server.reject = lambda: rng.random() < _REJECTED_FRACTION
        server.repeat = lambda: rng.random() < _REPEATED_FRACTION
    passes: list[list[harness.Reply]] = []
    end = time.monotonic() + _LOAD_S
    async with asyncio.TaskGroup() as group:
        for gateway in case.gateways * _CLIENTS_PER_GATEWAY:
            client = harness.Client(gateway, case.record)
            group.create_task(_send_until(end, client, passes))
    return _check(case, passes)


async def _send_until(
    end: float, client: harness.Client, passes: list[list[harness.Reply]]
) -> None:
    while time.monotonic() < end:
        replies: list[harness.Reply] = []
        passes.append(replies)
        await _issue_pass(client, f'/passes/{len(passes):x}', replies)
        await asyncio.sleep(_THINK_TIME_S)
    client.close()


async def _issue_pass(
    client: harness.Client, path: str, replies: list[harness.Reply]
) -> None:
    """Send a request, and once more under another id after a promise."""
    for _ in range(_TRIES):
        reply = await client.send('POST', path, 6000, b'issue a pass')
        replies.append(reply)
        if reply.status not in _PROMISES:
            return
        # A retry takes a new connection.
        client.close()
        await asyncio.sleep(_RETRY_AFTER_S)


def _check(case: harness.Case, passes: list[list[harness.Reply]]) -> bool:
    replies = [each for sent in passes for each in sent]
    ran = [
        each.request_id
        for server in case.servers.values()
        for each in server.runs
        if each.ran
    ]
    broken = [
        each
        for each in replies
        if each.status in _PROMISES and each.request_id in ran
    ]
    twice = [
        sent
        for sent in passes
        if sum(ran.count(each.request_id) for each in sent) > 1
    ]
    for each in broken:
        case.record.write(
            f'REFUSED broken: {each.request_id} was answered {each.status} '
            f'by {each.gateway} and has run'
        )
    summary = (
        f'{len(replies)} requests for {len(passes)} passes: {len(broken)} '
        f'answered with a promise although they ran, {len(twice)} passes '
        'issued twice'
    )
    case.record.write(summary)
    print(summary)
    return bool(broken)


if __name__ == '__main__':
    sys.exit(harness.run_case(_FOLDER, play))
