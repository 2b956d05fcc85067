"""Parts of a query: shards that a host of another zone asks.

A host there has connections to the upstreams and sends back one merged
body, so what crosses between zones and regions is a fraction of the shards'
own answers.
"""

import collections

from absl import logging
import result

from rudderrock import core
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _pursuit as pursuit
from rudderrock.gateway.http import _caller as caller
from rudderrock.gateway.knowledge import _fleet as fleet
from rudderrock.gateway.knowledge import _place as place

# Fewer shards than this are not worth a message to another zone of the
# region, and fewer than that to another region, where bytes cost more.
LEAST_SHARDS = 8
LEAST_FAR_SHARDS = 3

# Who was asked for a part, and what became of it.
_PartOutcome = tuple[
    core.HostId, result.Result[delegate.PartAnswer, caller.NoReply]
]


class Part:
    """Some shards of one query, and the host that asks them.

    Each pursuit has its own replica of that zone, which is what it would
    have asked from here.
    """

    def __init__(
        self,
        zone: core.ZoneId,
        members: dict[pursuit.Pursuit, replicas.Replica],
    ):
        self.zone = zone
        self.answer: delegate.PartAnswer | None = None
        self._members = members

    def begin(self) -> None:
        """Take note in each pursuit that it is asked elsewhere."""
        for each, replica in self._members.items():
            each.start_elsewhere(replica)

    async def fetch(
        self, delegation: delegate.Delegation, call: calls.Call
    ) -> None:
        """Have the shards asked; tell each pursuit what became of it."""
        try:
            answer = await self._ask_in_turn(delegation, call)
        except Exception:
            # A defect must cost this part only and leave a trace.
            logging.exception('a part of a query failed on a defect')
            self._lose('defect', pursuit.PartFate.LOST)
            return
        match answer:
            case None:
                self._close_unsent()
            case host, result.Ok(found):
                self._take(found, host, call)
            case host, result.Err(problem):
                detail = f'{host}: {problem.detail}'
                self._lose(detail, pursuit.PartFate.LOST)

    async def _ask_in_turn(
        self, delegation: delegate.Delegation, call: calls.Call
    ) -> _PartOutcome | None:
        """Ask hosts of the zone until one has begun; None if none has."""
        shards = tuple(each.service for each in self._members)
        least = max(1, len(shards) - call.spared)
        tried: tuple[core.HostId, ...] = ()
        while turn := delegation.choose_far(self.zone, call.request_id, tried):
            host = turn.entry.host
            answer = await delegation.ask_part(turn, call, shards, least)
            match answer:
                case result.Err(caller.NoReply(sent=False)):
                    tried = (*tried, host)
                case _:
                    return host, answer
        return None

    def _close_unsent(self) -> None:
        """Ask from here: nobody has begun on any of them."""
        for each in self._members:
            each.start_here()

    def _take(
        self, found: delegate.PartAnswer, host: core.HostId, call: calls.Call
    ) -> None:
        """Take what the part has brought."""
        if len(found.missing) < len(self._members):
            self.answer = found
        fate = pursuit.PartFate.LACKING
        for each in self._members:
            if each.service not in found.missing:
                each.take_from_part()
        if found.held is not None:
            fate = pursuit.PartFate.HELD
            call.canary.warn(found.held)
        # After those: an answer clears the request, so what is missing may be
        # asked for at once.
        for each in self._members:
            if each.service in found.missing:
                each.miss_elsewhere(f'missing by {host}', fate)

    def _lose(self, detail: str, fate: pursuit.PartFate) -> None:
        for each in self._members:
            each.miss_elsewhere(detail, fate)


def plan_parts(
    book: replicas.ReplicaBook,
    call: calls.Call,
    pursuits: list[pursuit.Pursuit],
    delegation: delegate.Delegation,
) -> list[Part]:
    """Return the parts that other zones shall ask for.

    The zone with the nearest upstreams of the most shards is taken first;
    chance, by the request's id, decides between equals.
    """
    nearest = _find_nearest(book, call, pursuits, delegation)
    parts = []
    while nearest:
        counts = collections.Counter(
            zone for zones in nearest.values() for zone in zones
        )
        zones = [
            zone
            for zone, count in counts.items()
            if count >= _get_least(book.get_distance(zone))
        ]
        if not zones:
            break
        zone = max(
            zones,
            key=lambda each: (
                counts[each],
                fleet.rank_name(call.request_id + each.encode()),
            ),
        )
        members = {
            each: found[zone]
            for each, found in nearest.items()
            if zone in found
        }
        for each in members:
            del nearest[each]
        parts.append(Part(zone, members))
    return parts


def _find_nearest(
    book: replicas.ReplicaBook,
    call: calls.Call,
    pursuits: list[pursuit.Pursuit],
    delegation: delegate.Delegation,
) -> dict[pursuit.Pursuit, dict[core.ZoneId, replicas.Replica]]:
    """Return the best upstreams of each shard that has none in this zone."""
    nearest = {}
    able: dict[core.ZoneId, bool] = {}
    for each in pursuits:
        found = book.list_nearest(
            each.service, call.route.residency, call.late_s
        )
        if not found or found[0].distance == 0:
            continue
        zones = {}
        for replica in found:
            zone = replica.endpoint.zone
            if zone not in able:
                able[zone] = delegation.has_time(zone, call)
            if able[zone]:
                zones[zone] = replica
        if zones:
            nearest[each] = zones
    return nearest


def _get_least(distance: int) -> int:
    """Return how many shards are worth a message so far away."""
    return LEAST_FAR_SHARDS if distance == place.FARTHEST else LEAST_SHARDS
