"""What the programs set up in their own process."""

import asyncio
import gc
import time

from rudderrock import core

# Allocations between collections of the youngest generation. A wide query
# makes tens of thousands of short-lived objects, few of them in cycles.
COLLECTION_THRESHOLD = 100_000


def tune_collector(collect_after: int = COLLECTION_THRESHOLD) -> None:
    """Let the garbage collector run less often, and over less.

    What has been made by now (modules, settings) stays for the life of
    the process and is not looked at again. Measured in
    `benchmarks/shard_request.py`.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(collect_after, 20, 20)


def make_system_clock() -> core.Clock:
    """Return a clock of the running loop that tells the real wall time."""
    loop = asyncio.get_running_loop()
    return core.Clock(loop, time.time() - loop.time())
