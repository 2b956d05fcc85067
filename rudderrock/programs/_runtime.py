"""Process-wide setup that the programs share."""

import asyncio
import gc
import time

from rudderrock import core

# Net allocations before the youngest generation is collected. A wide query
# allocates tens of thousands of short-lived objects, and few of them are in
# reference cycles.
COLLECTION_THRESHOLD = 100_000


def tune_collector(collect_after: int = COLLECTION_THRESHOLD) -> None:
    """Make the garbage collector run less often and scan fewer objects.

    Objects that exist at the call (modules, settings) live as long as the
    process, so they are frozen and no longer scanned.
    `benchmarks/shard_request.py` measures the effect.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(collect_after, 20, 20)


def make_system_clock() -> core.Clock:
    """Return a clock of the running loop with the real wall time."""
    loop = asyncio.get_running_loop()
    return core.Clock(loop, time.time() - loop.time())
