"""Command line of the soak test."""

import asyncio
import collections
from collections.abc import Awaitable
import pathlib
import secrets
import signal
import tempfile
import time

import defopt

from rudderrock import soak
from rudderrock.programs import _exits as exits

_DRAWN_BITS = 32


def run(
    *,
    seed: int = 1,
    count: int = 1,
    minutes: float = 0.0,
    length: float = 12.0,
    hosts: int = 4,
    lethal: int = 1,
    returns: int = 2,
    odd: int = 2,
    keep: pathlib.Path | None = None,
) -> None:
    """Run the soak test with a range of seeds and report violations.

    The exit code is 1 if any guarantee was violated. To repeat a run, pass
    its seed.

    :param seed: the first seed
    :param count: number of consecutive seeds
    :param minutes: if set, run random seeds for this many minutes;
        `seed` and `count` are then ignored
    :param length: duration of load and faults per seed, in seconds
    :param hosts: number of gateway processes
    :param lethal: number of requests that crash the upstreams that run them
    :param returns: how many times the store is restored from an older copy
    :param odd: how many times each kind of odd data or signal comes from
        outside: replies without end, entries of another writer, early signals
    :param keep: folder that receives the logs of seeds with violations
    """
    failed = []
    injected: collections.Counter[str] = collections.Counter()
    checked = 0
    for number in _iterate_seeds(seed, count, minutes):
        report = _run_seed(number, length, hosts, lethal, returns, odd, keep)
        injected += report.injected
        checked += report.checked
        statuses = ', '.join(
            f'{status}: {times}'
            for status, times in sorted(report.statuses.items())
        )
        print(f'seed {number}: {report.checked} requests ({statuses})')
        for violation in report.violations[:10]:
            print(f'  BROKEN {violation.guarantee}: {violation.detail}')
        if report.violations:
            failed.append(number)
    print(f'checked {checked} requests; injected:')
    for name, times in sorted(injected.items()):
        print(f'  {times:4d} {name}')
    print(f'seeds that broke a promise: {failed or "none"}')
    if failed:
        raise SystemExit(exits.Exit.FAILED)


def _iterate_seeds(seed: int, count: int, minutes: float):
    if not minutes:
        yield from range(seed, seed + count)
        return
    until = time.monotonic() + 60 * minutes
    while time.monotonic() < until:
        yield secrets.randbits(_DRAWN_BITS)


def _run_seed(
    seed: int,
    length: float,
    hosts: int,
    lethal: int,
    returns: int,
    odd: int,
    keep: pathlib.Path | None,
) -> soak.Report:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        report = asyncio.run(
            _run_until_sigterm(
                soak.run_seed(seed, length, hosts, path, lethal, returns, odd)
            )
        )
        if report.violations and keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            log = path / f'seed-{seed}.log'
            (keep / log.name).write_bytes(log.read_bytes())
    return report


async def _run_until_sigterm(run: Awaitable[soak.Report]) -> soak.Report:
    """Await a run; SIGTERM ends it together with its processes."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        return await run
    except asyncio.CancelledError:
        raise SystemExit(exits.Exit.FAILED) from None


def main() -> None:
    """Parse the command line and run the program."""
    defopt.run({'run': run})


if __name__ == '__main__':
    main()
