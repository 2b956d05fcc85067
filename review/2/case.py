"""A leaving server still gets requests after the bound.

One gateway reads the registrations for all others. It is partitioned from the
store, silently, just after a reading, and a server announces that it leaves.
The gateways that poll the partitioned one wait for it for up to 3.3 s.
"""

import asyncio
import dataclasses
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

_FOLDER = pathlib.Path(__file__).resolve().parent
_SERVICE = 'kiosko'
_GATEWAYS = {
    'front-quito-norte-1': 'quito-norte',
    'front-quito-norte-2': 'quito-norte',
    'front-quito-norte-3': 'quito-norte',
    'front-guayaquil-sur-1': 'guayaquil-sur',
    'front-guayaquil-sur-2': 'guayaquil-sur',
    'front-cuenca-centro-1': 'cuenca-centro',
    'front-cuenca-centro-2': 'cuenca-centro',
}
_CLIENTS_PER_GATEWAY = 2
_THINK_TIME_S = 0.08
_ALL_ROUNDS_S = 98.0
# The partition: `core_cut` lasts 3.5 to 5.5 s on the small sites.
_CUT_S = 4.0
# Time until the next round, in which the reader is back and polled again.
_SETTLE_S = 5.0
_READER_TIMEOUT_S = 6.0


@dataclasses.dataclass(slots=True)
class Round:
    """One server that left, and the gateway that was cut off, if any."""

    server: harness.Server
    acknowledged_at: float
    cut: str


class Reader:
    """Finds the gateway that reads the registrations for the others."""

    def __init__(self, gateways: list[harness.Gateway]):
        self._gateways = gateways
        self._asked_at: dict[str, float] = {}
        self._awaits_reply: set[str] = set()
        self._was_answered = asyncio.Event()
        self._answered = ''
        for gateway in gateways:
            self._watch(gateway)

    def _watch(self, gateway: harness.Gateway) -> None:
        name = gateway.name

        def on_request(data: bytes) -> None:
            if b'/kv-range?prefix=servers' in data:
                self._asked_at[name] = time.monotonic()
                self._awaits_reply.add(name)

        def on_reply(data: bytes) -> None:
            if name in self._awaits_reply:
                self._awaits_reply.discard(name)
                self._answered = name
                self._was_answered.set()

        gateway.proxy.on_request = on_request
        gateway.proxy.on_reply = on_reply

    async def wait_for_reading(self) -> harness.Gateway:
        """Return the only reader, just after its next reading."""
        end = time.monotonic() + _READER_TIMEOUT_S
        while True:
            self._was_answered.clear()
            async with asyncio.timeout(_READER_TIMEOUT_S):
                await self._was_answered.wait()
            now = time.monotonic()
            recent = [
                name for name, at in self._asked_at.items() if at > now - 1.5
            ]
            if len(recent) == 1 or now > end:
                break
        return next(
            each for each in self._gateways if each.name == self._answered
        )


async def play(case: harness.Case) -> bool:
    """Return whether a leaving server got a request after the bound."""
    zones = list(harness.ZONES)
    for number in range(3):
        await _add_server(case, number, zones)
    case.write_config(
        [{'name': 'r-passes', 'prefix': '/passes/', 'service': _SERVICE}]
    )
    await case.start_gateways(_GATEWAYS)
    reader = Reader(case.gateways)
    replies: list[harness.Reply] = []
    rounds: list[Round] = []
    async with asyncio.TaskGroup() as group:
        load = [
            group.create_task(
                _send(harness.Client(gateway, case.record), replies)
            )
            for gateway in case.gateways * _CLIENTS_PER_GATEWAY
        ]
        await asyncio.sleep(harness.STABLE_S + 2.0)
        end = time.monotonic() + _ALL_ROUNDS_S
        while time.monotonic() < end - _CUT_S - _SETTLE_S:
            rounds.append(await _play_round(case, reader, len(rounds), zones))
            if _find_late(rounds, replies):
                break
        for task in load:
            task.cancel()
    return _check(case, rounds, replies)


async def _add_server(case, number: int, zones: list[str]) -> None:
    name = f'i-{number:04d}'
    zone = zones[number % len(zones)]
    await case.add_server(name, _SERVICE, zone, 0.01, 4)


async def _play_round(
    case: harness.Case, reader: Reader, number: int, zones: list[str]
) -> Round:
    """Replace one server, and cut the reader off as the old one leaves."""
    await _add_server(case, number + 3, zones)
    await asyncio.sleep(1.5)
    found = await reader.wait_for_reading()
    cut = ''
    if harness.has_trouble():
        found.proxy.cut()
        cut = found.name
        case.record.write(f'{cut} is partitioned from the store')
    name = f'i-{number:04d}'
    zone = zones[number % len(zones)]
    case.register(name, _SERVICE, zone, 'draining')
    played = Round(case.servers[name], time.monotonic(), cut)
    await asyncio.sleep(_CUT_S)
    found.proxy.heal()
    case.record.write('the partition has ended')
    case.unregister(name)
    await asyncio.sleep(_SETTLE_S - 1.5)
    return played


async def _send(client: harness.Client, replies: list) -> None:
    try:
        while True:
            path = f'/passes/{len(replies):x}'
            replies.append(await client.send('GET', path, 6000))
            await asyncio.sleep(_THINK_TIME_S)
    except asyncio.CancelledError:
        client.close()


def _find_late(
    rounds: list[Round], replies: list[harness.Reply]
) -> list[tuple[Round, harness.Run, str]]:
    """Return the late requests that gateways in touch sent on.

    Only the gateway that is partitioned is out of touch. The same gateway may
    be cut again in the next round, and then it is out of touch throughout.
    """
    senders = {each.request_id: each.gateway for each in replies}
    out_of_touch = {each.cut for each in rounds}
    found = []
    for each in rounds:
        bound_at = each.acknowledged_at + harness.DRAIN_S
        for run in each.server.runs:
            sender = senders.get(run.request_id, '')
            if run.at > bound_at and sender and sender not in out_of_touch:
                found.append((each, run, sender))
    return found


def _check(case, rounds: list[Round], replies: list[harness.Reply]) -> bool:
    late = _find_late(rounds, replies)
    for each, run, sender in late:
        late_s = run.at - each.acknowledged_at
        case.record.write(
            f'DRAIN broken: {run.request_id} reached {each.server.name} '
            f'through {sender} {late_s:.3f} s after the acknowledgement'
        )
    summary = (
        f'{len(rounds)} servers left, {len(replies)} requests answered, '
        f'{len(late)} reached a leaving server after {harness.DRAIN_S:g} s'
    )
    case.record.write(summary)
    print(summary)
    return bool(late)


if __name__ == '__main__':
    sys.exit(harness.run_case(_FOLDER, play))
