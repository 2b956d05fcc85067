"""Running a query over many shards with the help of other hosts."""

import asyncio

from rudderrock import core
from rudderrock.gateway import _delegate as delegate
from rudderrock.gateway import _forward as forward
from rudderrock.gateway import _pursuit as pursuit
from rudderrock.gateway import _routing as routing


class WideQueries:
    """Hands wide queries over, or shares them with other zones."""

    def __init__(self, tools: pursuit.Tools, delegation: delegate.Delegation):
        self._tools = tools
        self._delegation = delegation

    async def hand_over(
        self, call: pursuit.Call, scatter: routing.Scatter
    ) -> forward.Result | None:
        """Have a wide query run elsewhere; None if it is to run here."""
        if len(scatter.shards) < delegate.WIDE_SHARDS:
            return None
        entry = self._delegation.choose(call.request_id)
        if entry is None:
            return None
        return await self._delegation.run(entry, call)

    async def run(
        self,
        call: pursuit.Call,
        scatter: routing.Scatter,
        point: core.LatePoint,
    ) -> forward.Result:
        """Run a wide query, shared with the other zones of the region."""
        groups = delegate.split_shards(self._tools.book, call, scatter.shards)
        own = groups.pop(None, ())
        total = len(scatter.shards)
        enough = forward.count_least(total, scatter.min_coverage)
        spared = total - enough
        need = forward.Need(len(own), max(0, len(own) - spared))
        async with asyncio.TaskGroup() as tasks:
            here = tasks.create_task(
                forward.gather(self._tools, call, own, need, point)
            )
            there = [
                tasks.create_task(
                    self._gather_there(call, zone, shards, spared, point)
                )
                for zone, shards in groups.items()
            ]
            brought = 0
            for part in asyncio.as_completed(there):
                brought += len((await part).stamps)
            need.change(enough - brought)
        gathered = [here.result(), *(each.result() for each in there)]
        return forward.merge_gathered(self._tools, call, scatter, gathered)

    async def _gather_there(
        self,
        call: pursuit.Call,
        zone: core.ZoneId,
        shards: tuple[routing.ServiceName, ...],
        spared: int,
        point: core.LatePoint,
    ) -> forward.Gathered:
        """Have shards asked from another zone, or ask them from here."""
        least = max(1, len(shards) - spared)
        found = await self._delegation.run_part(zone, call, shards, least)
        if found is not None:
            return found
        need = forward.Need(least)
        return await forward.gather(self._tools, call, shards, need, point)
