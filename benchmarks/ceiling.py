"""Upper bounds on the queries served in time while upstreams are impaired.

Simulates queries over shards with policies that have different knowledge of
the upstreams: everything (queues, pauses and the work of each request), their
queues and speeds, their speeds only, or only whether a reply is late (a
single hedge). A policy may also leave out as many shards as an answer may
lack (ALLOWED_MISSING), and reject queries that it predicts to be late.

The simulation has neither hosts nor a network. An upstream has two slots and
a FIFO queue. Times are in seconds. Run `python -m benchmarks.ceiling`.
"""

import dataclasses
import enum
import random
import statistics

import defopt

# Two kinds of queries: when an answer counts as in time, the mean service
# time of a shard request, and how many shards an answer may lack.
LATENCY_GOALS_S = {'search': 0.205, 'check': 0.090}
MEAN_WORK_S = {'search': 0.030, 'check': 0.010}
ALLOWED_MISSING = {'search': 2, 'check': 5}
PAUSE_S = 0.25
PAUSE_EVERY_S = 6.0
HEDGE_AT_FRACTION = 0.4
# Results with this many bad shards or more are averaged together.
MAX_BAD_SHARDS = 4


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream with two slots, a slowdown factor and periodic pauses.

    `slots` holds the time at which each slot becomes free. `phase` shifts
    the start of the pauses.
    """

    factor: float
    phase: float
    slots: list[float] = dataclasses.field(default_factory=lambda: [0.0, 0.0])

    def find_end(self, now: float, work_s: float) -> float:
        """Return when a request that arrives at `now` would be answered."""
        return self._compute_end(
            max(now, min(self.slots)), work_s * self.factor
        )

    def take(self, now: float, work_s: float) -> float:
        """Add a request to the queue and return when it is answered."""
        end = self.find_end(now, work_s)
        self.slots[self.slots.index(min(self.slots))] = end
        return end

    def _compute_end(self, start: float, left_s: float) -> float:
        """Return the end of `left_s` seconds of work; pauses interrupt it."""
        while True:
            since_pause_s = (start + self.phase) % PAUSE_EVERY_S
            if since_pause_s < PAUSE_S:
                start += PAUSE_S - since_pause_s
                since_pause_s = PAUSE_S
            until_pause_s = PAUSE_EVERY_S - since_pause_s
            if left_s <= until_pause_s:
                return start + left_s
            start += until_pause_s
            left_s -= until_pause_s


def draw_shards(rng: random.Random, shards: int) -> list[list[Upstream]]:
    """Return shards of two upstreams each.

    38 % of the upstreams are slow or down; all of them pause.
    """

    def draw() -> Upstream:
        kind = rng.random()
        factor = 1.0
        if kind < 0.10:
            factor = 1e6
        elif kind < 0.23:
            factor = 7.1
        elif kind < 0.38:
            factor = 9.9
        return Upstream(factor, rng.random() * PAUSE_EVERY_S)

    return [[draw(), draw()] for _ in range(shards)]


def draw_work(rng: random.Random, kind: str) -> float:
    """Return the service time of a request at an upstream of factor 1."""
    work_s = MEAN_WORK_S[kind] * rng.lognormvariate(-0.06, 0.35)
    return work_s * (5.0 if rng.random() < 0.01 else 1.0)


class Knowledge(enum.Enum):
    """What a policy knows about upstreams."""

    ALL = 'all'
    QUEUES = 'queues and speeds'
    SPEEDS = 'speeds'


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A policy: its knowledge, and whether it skips shards or rejects."""

    knowledge: Knowledge
    allows_missing: bool = False
    rejects_late: bool = False

    def predict_end(
        self, upstream: Upstream, work_s: float, now: float, kind: str
    ) -> float:
        """Return the predicted end of a request."""
        usual_s = MEAN_WORK_S[kind] * upstream.factor
        match self.knowledge:
            case Knowledge.ALL:
                return upstream.find_end(now, work_s)
            case Knowledge.QUEUES:
                return max(now, min(upstream.slots)) + usual_s
            case Knowledge.SPEEDS:
                return now + usual_s

    def send_query(self, shards, works, now: float, kind: str) -> bool:
        """Send one query and return whether it was served in time."""
        goal = now + LATENCY_GOALS_S[kind]
        chosen = []
        for replicas, pair in zip(shards, works, strict=True):
            expected = [
                (self.predict_end(each, work_s, now, kind), each, work_s)
                for each, work_s in zip(replicas, pair, strict=True)
            ]
            chosen.append(min(expected, key=lambda each: each[0]))
        chosen.sort(key=lambda each: each[0])
        late = sum(expected > goal for expected, _, _ in chosen)
        if self.rejects_late and late > ALLOWED_MISSING[kind]:
            return False
        skipped = (
            min(late, ALLOWED_MISSING[kind]) if self.allows_missing else 0
        )
        asked = chosen[: len(chosen) - skipped]
        ends = [upstream.take(now, work_s) for _, upstream, work_s in asked]
        return (
            skipped + sum(end > goal for end in ends) <= ALLOWED_MISSING[kind]
        )


def send_with_hedge(shards, works, now: float, kind: str) -> bool:
    """Send one query, hedging late shards, and return if it was in time.

    Each shard is hedged at most once, when its reply is late.
    """
    goal = now + LATENCY_GOALS_S[kind]
    late = 0
    for number, (replicas, pair) in enumerate(zip(shards, works, strict=True)):
        first = int(now * 1000 + number) % 2
        end = replicas[first].take(now, pair[first])
        hedge_at = now + HEDGE_AT_FRACTION * LATENCY_GOALS_S[kind]
        if end > hedge_at:
            other = 1 - first
            end = min(end, replicas[other].take(hedge_at, pair[other]))
        late += end > goal
    return late <= ALLOWED_MISSING[kind]


def simulate(
    seed: int, send_query, shards: int, rate: float, seconds: float
) -> tuple[float, int]:
    """Return the fraction served in time and the number of bad shards.

    A shard is bad if both of its upstreams are slow or down.
    """
    rng = random.Random(seed)
    shard_replicas = draw_shards(rng, shards)
    bad = sum(min(each.factor for each in pair) > 5 for pair in shard_replicas)
    now = 0.0
    served = []
    while now < seconds:
        now += rng.expovariate(rate)
        kind = 'search' if rng.random() < 0.75 else 'check'
        works = [
            [draw_work(rng, kind) for _ in pair] for pair in shard_replicas
        ]
        served.append(send_query(shard_replicas, works, now, kind))
    return sum(served) / len(served), bad


# In these names, 'queues' stands for queues and speeds.
POLICIES = {
    'lateness only, one hedge': send_with_hedge,
    'speeds': Policy(Knowledge.SPEEDS).send_query,
    'queues': Policy(Knowledge.QUEUES).send_query,
    'queues, skipping': Policy(Knowledge.QUEUES, True).send_query,
    'queues, skipping, rejecting': Policy(
        Knowledge.QUEUES, True, True
    ).send_query,
    'all': Policy(Knowledge.ALL).send_query,
    'all, skipping': Policy(Knowledge.ALL, True).send_query,
    'all, skipping, rejecting': Policy(Knowledge.ALL, True, True).send_query,
}


def main(
    *,
    seeds: int = 20,
    shards: int = 20,
    rate: float = 49.0,
    seconds: float = 4.0,
) -> None:
    """Print the fraction of queries in time by the number of bad shards.

    :param seeds: number of simulations per policy
    :param shards: number of shards of each query
    :param rate: queries per second
    :param seconds: simulated duration
    """
    for name, send_query in POLICIES.items():
        served: dict[int, list[float]] = {}
        for seed in range(seeds):
            fraction, bad_shards = simulate(
                seed, send_query, shards, rate, seconds
            )
            served.setdefault(min(bad_shards, MAX_BAD_SHARDS), []).append(
                fraction
            )
        text = ', '.join(
            f'{bad_shards} bad: {statistics.mean(fractions):.2f}'
            for bad_shards, fractions in sorted(served.items())
        )
        print(f'{name:32}{text}', flush=True)


if __name__ == '__main__':
    defopt.run(main)
