"""Execution of a query, from the choice of a version to the answer."""

from rudderrock import protocol
from rudderrock import state
from rudderrock.coordination import _admitted as admitted_queries
from rudderrock.coordination import _extra_requests as extras
from rudderrock.coordination import _gather as gather
from rudderrock.coordination import _versions as versions

_MAX_RESTARTS = 2
# A query restarts with another version only if more than this fraction of its
# team's `deadline_s` is left.
_MIN_RESTART_TIME_FRACTION = 0.2


class QueryRunner:
    """Runs the admitted queries of one host on the upstreams."""

    def __init__(self, dependencies: gather.GatherDependencies):
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._versions = versions.VersionChooser(
            dependencies.dispatcher, dependencies.clock
        )

    @property
    def counters(self) -> extras.QueryCounters:
        """Return the counts of requests sent so far."""
        return self._dependencies.extra_requests.counters

    async def run(
        self,
        admitted: admitted_queries.AdmittedQuery,
        collection: state.Collection,
    ) -> protocol.Answered:
        """Query every shard and return the result with its actual coverage.

        If some shard can no longer serve the chosen version and another
        version is available, the query starts again from the beginning with
        that one.
        """
        rejected_versions: set[state.IndexVersion] = set()
        placement = self._versions.choose_placement(
            collection, rejected_versions
        )
        for _ in range(_MAX_RESTARTS):
            gather_pass = gather.GatherPass(
                self._dependencies, admitted, placement
            )
            unavailable = await gather_pass.run(may_restart=True)
            if not unavailable:
                return gather_pass.make_answer()
            rejected_versions.add(placement.version)
            # The layout may have changed while the query ran.
            current = self._dependencies.dispatcher.find_collection(
                collection.collection
            )
            if current is None or not self._has_time_to_restart(admitted):
                return gather_pass.make_answer()
            replacement = self._versions.choose_placement(
                current, rejected_versions
            )
            if replacement is None:
                return gather_pass.make_answer()
            self._record_restart(admitted, placement, replacement)
            placement = replacement
        gather_pass = gather.GatherPass(
            self._dependencies, admitted, placement
        )
        await gather_pass.run(may_restart=False)
        return gather_pass.make_answer()

    def _has_time_to_restart(
        self, admitted: admitted_queries.AdmittedQuery
    ) -> bool:
        left = admitted.deadline - self._clock.now()
        return left > _MIN_RESTART_TIME_FRACTION * admitted.row.deadline_s

    def _record_restart(
        self,
        admitted: admitted_queries.AdmittedQuery,
        old: state.Placement,
        new: state.Placement,
    ) -> None:
        self.counters.restarts += 1
        self._versions.clear_cache()
        self._dependencies.event_ring.record(
            state.EventKind.VERSION_RESTART,
            team=state.TeamId(admitted.row.team),
            query=admitted.query_id,
            detail=f'{old.version} to {new.version}',
        )
