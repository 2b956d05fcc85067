"""What any policy could serve while many upstreams are impaired.

Plays a heavy window of queries over shards twice: decided by one who knows
each queue, each work time and each pause, and refuses what can't be in time;
and by hosts that ask the nearest upstream and hedge once, knowing nothing.
No host, no network: an upstream is two slots and a queue that is worked off
in order. Run `python -m benchmarks.ceiling`; times in seconds.
"""

import dataclasses
import random
import statistics

import defopt

GOALS_S = {'search': 0.205, 'check': 0.090}
WORK_S = {'search': 0.030, 'check': 0.010}
SPARED = {'search': 2, 'check': 5}
PAUSE_S = 0.25
PAUSE_EVERY_S = 6.0
HEDGE_AT = 0.4


@dataclasses.dataclass(slots=True)
class Upstream:
    """Two slots, a speed, and a pause now and then."""

    factor: float
    phase: float
    slots: list[float] = dataclasses.field(default_factory=lambda: [0.0, 0.0])

    def find_end(self, now: float, work_s: float) -> float:
        """Return when a request that arrives now would be answered."""
        return self._run(max(now, min(self.slots)), work_s * self.factor)

    def take(self, now: float, work_s: float) -> float:
        """Take a request and return when it is answered."""
        end = self.find_end(now, work_s)
        self.slots[self.slots.index(min(self.slots))] = end
        return end

    def _run(self, start: float, left_s: float) -> float:
        while True:
            since = (start + self.phase) % PAUSE_EVERY_S
            if since < PAUSE_S:
                start += PAUSE_S - since
                since = PAUSE_S
            room_s = PAUSE_EVERY_S - since
            if left_s <= room_s:
                return start + left_s
            start += room_s
            left_s -= room_s


def draw_shards(chance: random.Random, shards: int) -> list[list[Upstream]]:
    """Return shards of two upstreams, a third of which is impaired."""

    def draw() -> Upstream:
        kind = chance.random()
        factor = 1.0
        if kind < 0.10:
            factor = 1e6
        elif kind < 0.23:
            factor = 7.1
        elif kind < 0.38:
            factor = 9.9
        return Upstream(factor, chance.random() * PAUSE_EVERY_S)

    return [[draw(), draw()] for _ in range(shards)]


def draw_work(chance: random.Random, kind: str) -> float:
    """Return the work of one request at a sound upstream."""
    work_s = WORK_S[kind] * chance.lognormvariate(-0.06, 0.35)
    return work_s * (5.0 if chance.random() < 0.01 else 1.0)


def ask_knowing(shards, works, now: float, kind: str) -> bool:
    """Send to all that will be in time, or refuse; tell if it was served."""
    goal = now + GOALS_S[kind]
    chosen = []
    for replicas, pair in zip(shards, works, strict=True):
        best = min(
            zip(replicas, pair, strict=True),
            key=lambda each: each[0].find_end(now, each[1]),
        )
        if best[0].find_end(now, best[1]) <= goal:
            chosen.append(best)
    if len(shards) - len(chosen) > SPARED[kind]:
        return False
    for upstream, work_s in chosen:
        upstream.take(now, work_s)
    return True


def ask_blindly(shards, works, now: float, kind: str) -> bool:
    """Ask one upstream of each, and the other if that is late."""
    goal = now + GOALS_S[kind]
    late = 0
    for number, (replicas, pair) in enumerate(
        zip(shards, works, strict=True)
    ):
        first = int(now * 1000 + number) % 2
        end = replicas[first].take(now, pair[first])
        hedge_at = now + HEDGE_AT * GOALS_S[kind]
        if end > hedge_at:
            other = 1 - first
            end = min(end, replicas[other].take(hedge_at, pair[other]))
        late += end > goal
    return late <= SPARED[kind]


def play(
    seed: int, ask, shards: int, rate: float, seconds: float
) -> tuple[float, int]:
    """Return the part served in time, and the shards that none can serve."""
    chance = random.Random(seed)
    found = draw_shards(chance, shards)
    bad = sum(min(each.factor for each in pair) > 5 for pair in found)
    now = 0.0
    served = []
    while now < seconds:
        now += chance.expovariate(rate)
        kind = 'search' if chance.random() < 0.75 else 'check'
        works = [
            [draw_work(chance, kind) for _ in pair] for pair in found
        ]
        served.append(ask(found, works, now, kind))
    return sum(served) / len(served), bad


def main(
    *,
    seeds: int = 40,
    shards: int = 20,
    rate: float = 49.0,
    seconds: float = 4.0,
) -> None:
    """Print the part of queries in time, by the number of bad shards."""
    by_bad: dict[int, list[tuple[float, float]]] = {}
    for seed in range(seeds):
        known, bad = play(seed, ask_knowing, shards, rate, seconds)
        blind, _ = play(seed, ask_blindly, shards, rate, seconds)
        by_bad.setdefault(bad, []).append((known, blind))
    print('bad shards  windows  all known  nothing known')
    for bad, pairs in sorted(by_bad.items()):
        known = statistics.mean(each[0] for each in pairs)
        blind = statistics.mean(each[1] for each in pairs)
        print(f'{bad:10}{len(pairs):9}{known:11.2f}{blind:15.2f}')


if __name__ == '__main__':
    defopt.run(main)
