"""Parts of a query, each run by a host of another zone.

A host of that zone has connections to the upstreams and returns one merged
body, which is a fraction of the size of the shards' answers. This reduces the
traffic between zones and regions.
"""

import collections

import result

from rudderrock import core
from rudderrock.gateway import _log as log
from rudderrock.gateway.decisions import _replicas as replicas
from rudderrock.gateway.discovery import _fleet as fleet
from rudderrock.gateway.discovery import _topology as topology
from rudderrock.gateway.forwarding import _calls as calls
from rudderrock.gateway.forwarding import _delegate as delegate
from rudderrock.gateway.forwarding import _service_call as service_call
from rudderrock.gateway.http import _http_client as http_client

# Minimum number of shards of a part. For fewer shards, a message to another
# zone is not worth its cost. The limit is lower for another region, because
# traffic between regions costs more.
MIN_SHARDS_SAME_REGION = 8
MIN_SHARDS_OTHER_REGION = 3

# The host that was asked for a part, and its answer.
_PartOutcome = tuple[
    core.HostId, result.Result[delegate.PartAnswer, http_client.NoReply]
]


class Part:
    """Some shards of one query, to be queried by a host of another zone.

    `replicas_by_call` maps each service call of the part to one of its nearest
    replicas, which is in that zone.
    """

    def __init__(
        self,
        zone: core.ZoneId,
        replicas_by_call: dict[service_call.ServiceCall, replicas.Replica],
    ):
        self.zone = zone
        self.answer: delegate.PartAnswer | None = None
        self._replicas_by_call = replicas_by_call

    def mark_delegated(self) -> None:
        """Mark all service calls of the part as delegated."""
        for each, replica in self._replicas_by_call.items():
            each.start_delegated(replica)

    async def fetch(
        self, delegation: delegate.Delegation, call: calls.Call
    ) -> None:
        """Request the part and pass the outcome to its service calls."""
        try:
            answer = await self._ask_hosts(delegation, call)
        except Exception:
            # An unexpected error must only affect this part, and be logged.
            log.load_absl_log().exception(
                'unexpected error while fetching a part'
            )
            self._mark_failed(
                'unexpected error', service_call.PartFailure.LOST
            )
            return
        match answer:
            case None:
                self._start_locally()
            case host, result.Ok(part_answer):
                self._accept(part_answer, host, call)
            case host, result.Err(problem):
                detail = f'{host}: {problem.detail}'
                self._mark_failed(detail, service_call.PartFailure.LOST)

    async def _ask_hosts(
        self, delegation: delegate.Delegation, call: calls.Call
    ) -> _PartOutcome | None:
        """Ask hosts of the zone in turn until one has been sent the query.

        Return that host and its answer, or None if every host refused the
        query or could not be sent it.
        """
        shards = tuple(each.service for each in self._replicas_by_call)
        min_answers = max(1, len(shards) - call.max_missing)
        tried: tuple[core.HostId, ...] = ()
        while candidate := delegation.choose_in_zone(
            self.zone, call.request_id, tried
        ):
            host = candidate.entry.host
            answer = await delegation.ask_part(
                candidate, call, shards, min_answers
            )
            match answer:
                case result.Err(http_client.NoReply(sent=False)):
                    tried = (*tried, host)
                case _:
                    return host, answer
        return None

    def _start_locally(self) -> None:
        """Send the service calls from this host, as no other host did."""
        for each in self._replicas_by_call:
            each.start_locally()

    def _accept(
        self,
        part_answer: delegate.PartAnswer,
        host: core.HostId,
        call: calls.Call,
    ) -> None:
        """Settle the service calls according to the answer of the part."""
        if len(part_answer.missing) < len(self._replicas_by_call):
            self.answer = part_answer
        missing_failure = service_call.PartFailure.NO_ANSWER
        for each in self._replicas_by_call:
            if each.service not in part_answer.missing:
                each.settle_from_part()
        if part_answer.crashed_upstreams is not None:
            missing_failure = service_call.PartFailure.HELD_BACK
            call.canary.mark_suspected(part_answer.crashed_upstreams)
        # Missing shards are handled last: once a shard has answered, the
        # request no longer counts as suspect, and retries need not wait.
        for each in self._replicas_by_call:
            if each.service in part_answer.missing:
                part_failure = missing_failure
                if each.service in part_answer.not_run:
                    part_failure = service_call.PartFailure.NOT_RUN
                each.handle_part_failure(
                    f'no answer in the part from {host}', part_failure
                )

    def _mark_failed(
        self, detail: str, part_failure: service_call.PartFailure
    ) -> None:
        for each in self._replicas_by_call:
            each.handle_part_failure(detail, part_failure)


def plan_parts(
    selector: replicas.ReplicaSelector,
    call: calls.Call,
    service_calls: list[service_call.ServiceCall],
    delegation: delegate.Delegation,
) -> list[Part]:
    """Return the parts to delegate to other zones.

    Zones are taken in descending order of the number of shards whose nearest
    upstreams they have. A hash of the request id breaks ties.
    """
    nearest = _find_nearest(selector, call, service_calls, delegation)
    parts = []
    while nearest:
        counts = collections.Counter(
            zone for zones in nearest.values() for zone in zones
        )
        zones = [
            zone
            for zone, count in counts.items()
            if count >= _get_min_shards(selector.get_distance(zone))
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
        replicas_by_call = {
            each: replicas_by_zone[zone]
            for each, replicas_by_zone in nearest.items()
            if zone in replicas_by_zone
        }
        for each in replicas_by_call:
            del nearest[each]
        parts.append(Part(zone, replicas_by_call))
    return parts


def _find_nearest(
    selector: replicas.ReplicaSelector,
    call: calls.Call,
    service_calls: list[service_call.ServiceCall],
    delegation: delegate.Delegation,
) -> dict[service_call.ServiceCall, dict[core.ZoneId, replicas.Replica]]:
    """Return the nearest replicas of each service call by zone.

    Service calls with a replica in this host's zone are left out, and so are
    zones whose hosts can't answer in time.
    """
    nearest = {}
    has_time_by_zone: dict[core.ZoneId, bool] = {}
    for each in service_calls:
        nearest_replicas = selector.list_nearest(
            each.service, call.route.residency, call.late_after_s
        )
        if not nearest_replicas or nearest_replicas[0].distance == 0:
            continue
        zones = {}
        for replica in nearest_replicas:
            zone = replica.endpoint.zone
            if zone not in has_time_by_zone:
                has_time_by_zone[zone] = delegation.has_time_to_hedge(
                    zone, call
                )
            if has_time_by_zone[zone]:
                zones[zone] = replica
        if zones:
            nearest[each] = zones
    return nearest


def _get_min_shards(distance: int) -> int:
    """Return the minimum number of shards of a part at a distance."""
    return (
        MIN_SHARDS_OTHER_REGION
        if distance == topology.FARTHEST
        else MIN_SHARDS_SAME_REGION
    )
