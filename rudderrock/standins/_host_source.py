"""A host's connection to a shared source, with faults for that host only."""

import asyncio
import collections
import functools

import result

from rudderrock import gateway
from rudderrock.standins import _memory_source as memory_source

_FORWARDED_CALLS = frozenset(
    {
        'read_table',
        'watch_table',
        'list_upstreams',
        'list_hosts',
        'register',
        'find_lease',
        'renew',
        'withdraw',
        'list_saved_records',
        'save_records',
    }
)


class HostSource:
    """Forwards calls to a shared source, unless a fault is set.

    With `is_refused`, calls fail at once. With `is_silent`, calls time out
    after `timeout_s`, as if the host's packets were dropped; calls in flight
    when it is set time out too. `delay_s` delays each call, as a slow link
    does; None is no delay, and 0 only yields to the event loop. `calls`
    counts all calls, and `calls_by_name` those of each method.
    """

    def __init__(
        self, source: memory_source.MemorySource, timeout_s: float = 1.0
    ):
        self.is_refused = False
        self.is_silent = False
        self.delay_s: float | None = None
        self.calls_by_name: collections.Counter[str] = collections.Counter()
        self._source = source
        self._timeout_s = timeout_s

    @property
    def calls(self) -> int:
        """Return the number of all calls."""
        return self.calls_by_name.total()

    def __getattr__(self, name: str):
        if name in _FORWARDED_CALLS:
            return functools.partial(self._call, name)
        return getattr(self._source, name)

    async def _call(self, name: str, *arguments):
        self.calls_by_name[name] += 1
        if self.is_refused:
            return result.Err(gateway.Unavailable('refused'))
        if self.delay_s is not None:
            await asyncio.sleep(self.delay_s)
        if not self.is_silent:
            answer = await getattr(self._source, name)(*arguments)
            if not self.is_silent:
                return answer
        await asyncio.sleep(self._timeout_s)
        return result.Err(gateway.Unavailable('no reply in time'))
