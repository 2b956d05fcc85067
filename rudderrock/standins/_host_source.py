"""One host's way to a source, which may be barred for this host only."""

import asyncio
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
    }
)


class HostSource:
    """Passes calls on to a shared source unless the way is barred.

    `is_refused` makes calls fail at once, `is_silent` makes them hang for
    `patience_s`, as if the host's packets were dropped. A call that is
    under way when the way becomes silent gets no answer either. Each call
    takes `delay_s` longer, as by a thin link; 0 is one turn of the loop.
    """

    def __init__(
        self, source: memory_source.MemorySource, timeout_s: float = 1.0
    ):
        self.is_refused = False
        self.is_silent = False
        self.delay_s: float | None = None
        self.calls = 0
        self._source = source
        self._timeout_s = timeout_s

    def __getattr__(self, name: str):
        if name in _FORWARDED_CALLS:
            return functools.partial(self._call, name)
        return getattr(self._source, name)

    async def _call(self, name: str, *arguments):
        self.calls += 1
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
