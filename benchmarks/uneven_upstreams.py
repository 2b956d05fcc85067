"""Choices among upstreams of unequal speed, with what an answer can tell.

Simulates wide queries over shards of three upstreams in three of six zones.
The two coordinators of each zone choose an upstream for each shard and hedge
late requests, with different knowledge: their own requests in flight, the
latencies of answers, the queues that answers tell, or the true queues of this
moment. Upstreams have two slots, a FIFO queue, a speed of their own, slow
periods and pauses. Times are in seconds.

Run `python -m benchmarks.uneven_upstreams`.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import statistics

import defopt

ZONES = 6
REPLICAS = 3
SLOTS = 2
COORDINATORS_PER_ZONE = 2
# Round trips within a zone, to the other zone of a region, and further.
ROUND_TRIPS_S = (0.0, 0.0028, 0.016)
# Two kinds of queries: latency goal, mean work, shards that may be missing.
KINDS = {'sweep': (0.331, 0.042, 0.05), 'flag': (0.119, 0.0138, 0.15)}
SPEED_RANGE = (0.8, 1.3)
PAUSE_S = 0.25
PAUSE_EVERY_S = 6.0
BRIEF_SLOW_FACTOR = 2.5
BRIEF_SLOW_S = 0.4
BRIEF_SLOW_EVERY_S = 4.0
HEDGE_AT_FRACTION = 0.3
HEDGE_BUDGET = 0.2
AVOID_S = 0.25
MAX_TOLD_AGE_S = 0.5
LATENCY_DECAY_S = 1.0


@dataclasses.dataclass(slots=True)
class Upstream:
    """One upstream; `ends` are the ends of its requests, oldest first."""

    zone: int
    factor: float
    phase: float
    free: list[float]
    ends: list[float]

    def get_factor(self, at: float) -> float:
        """Return how much longer than usual work takes at a time."""
        in_slow = (at + 7 * self.phase) % BRIEF_SLOW_EVERY_S
        brief = BRIEF_SLOW_FACTOR if in_slow < BRIEF_SLOW_S else 1.0
        return self.factor * brief

    def count(self, at: float) -> int:
        """Return the number of requests that run or wait at a time."""
        self.ends = [end for end in self.ends if end > at]
        return len(self.ends)

    def take(self, at: float, work_s: float) -> float:
        """Add a request to the queue and return when it is answered."""
        slot = min(range(SLOTS), key=self.free.__getitem__)
        start = max(at, self.free[slot])
        since_pause = (start + self.phase) % PAUSE_EVERY_S
        if since_pause < PAUSE_S:
            start += PAUSE_S - since_pause
        end = start + work_s * self.get_factor(start)
        until_pause = PAUSE_EVERY_S - (start + self.phase) % PAUSE_EVERY_S
        if end - start > until_pause:
            end += PAUSE_S
        self.free[slot] = end
        self.ends.append(end)
        return end


@dataclasses.dataclass(slots=True)
class View:
    """What one coordinator knows about one upstream."""

    in_flight: int = 0
    avoid_until: float = 0.0
    failures: int = 0
    told: int = 0
    told_at: float = -math.inf
    latency_s: float = 0.0
    latency_at: float = 0.0
    pace: float = 1.0


def get_distance(one: int, other: int) -> int:
    """Return 0 for the same zone, 1 for the same region, else 2."""
    if one == other:
        return 0
    return 1 if one // 2 == other // 2 else 2


class Run:
    """One simulation of one policy."""

    def __init__(self, policy, seed, shards, rate, seconds, slow_share):
        self.policy = policy
        self.rng = random.Random(seed)
        self.seconds = seconds
        rng = self.rng
        self.shards = []
        for _ in range(shards):
            zones = rng.sample(range(ZONES), REPLICAS)
            self.shards.append(
                [
                    Upstream(
                        zone,
                        rng.uniform(*SPEED_RANGE)
                        * (12.0 if rng.random() < slow_share else 1.0),
                        rng.random() * PAUSE_EVERY_S,
                        [0.0] * SLOTS,
                        [],
                    )
                    for zone in zones
                ]
            )
        self.views = collections.defaultdict(View)
        self.events = []
        self.order = itertools.count()
        self.rate = rate
        self.done = []
        self.sent = self.extras = self.far = 0

    def push(self, at, call, *args):
        """Schedule a call."""
        heapq.heappush(self.events, (at, next(self.order), call, args))

    def run(self):
        """Send all queries and process all answers."""
        at = 0.0
        while at < self.seconds:
            at += self.rng.expovariate(self.rate)
            self.push(at, self.start_query)
        while self.events:
            at, _, call, args = heapq.heappop(self.events)
            call(at, *args)
        return self

    def start_query(self, now):
        """Send a query to each shard by coordinators in the nearest zones."""
        rng = self.rng
        kind = 'sweep' if rng.random() < 0.75 else 'flag'
        origin = rng.randrange(ZONES)
        query = {'start': now, 'kind': kind, 'answers': []}
        self.done.append(query)
        for shard, replicas in enumerate(self.shards):
            least = min(get_distance(origin, each.zone) for each in replicas)
            zone = rng.choice(
                [
                    each.zone
                    for each in replicas
                    if get_distance(origin, each.zone) == least
                ]
            )
            host = (zone, rng.randrange(COORDINATORS_PER_ZONE))
            state = {
                'query': query,
                'host': host,
                'shard': shard,
                'tried': [],
                'answered': False,
                'way': ROUND_TRIPS_S[least],
                'kind': kind,
            }
            self.send(now, state, False)

    def send(self, now, state, is_hedge):
        """Send one attempt to the upstream that the policy prefers."""
        host, shard = state['host'], state['shard']
        choices = [
            number
            for number in range(REPLICAS)
            if number not in state['tried']
        ]
        if not choices:
            return
        if is_hedge:
            if self.extras > HEDGE_BUDGET * self.sent:
                return
            choices = [
                each
                for each in choices
                if self.views[host, shard, each].avoid_until <= now
            ]
            if not choices:
                return
            self.extras += 1
        else:
            self.sent += 1
        number = min(
            choices, key=lambda each: self.policy(self, now, state, each)
        )
        state['tried'].append(number)
        upstream = self.shards[shard][number]
        distance = get_distance(host[0], upstream.zone)
        self.far += distance == 2
        trip = ROUND_TRIPS_S[distance]
        _, mean, _ = KINDS[state['kind']]
        work = mean * self.rng.lognormvariate(-0.06, 0.35)
        view = self.views[host, shard, number]
        view.in_flight += 1
        self.push(now + trip / 2, self.arrive, state, number, work, trip, now)
        goal = KINDS[state['kind']][0]
        if not is_hedge:
            self.push(now + HEDGE_AT_FRACTION * goal, self.check_late, state)

    def arrive(self, now, state, number, work, trip, sent_at):
        """Queue an attempt at its upstream."""
        end = self.shards[state['shard']][number].take(now, work)
        self.push(end, self.leave, state, number, trip, sent_at)

    def leave(self, now, state, number, trip, sent_at):
        """Send an answer, which tells the queue of this moment."""
        told = self.shards[state['shard']][number].count(now)
        self.push(
            now + trip / 2, self.answer, state, number, sent_at, told, now
        )

    def answer(self, now, state, number, sent_at, told, told_at):
        """Update the view of the upstream and count the answer."""
        view = self.views[state['host'], state['shard'], number]
        view.in_flight -= 1
        view.told, view.told_at = told, told_at
        taken = (now - sent_at) / KINDS[state['kind']][1]
        decay = math.exp(-(now - view.latency_at) / LATENCY_DECAY_S)
        view.latency_s = max(taken, view.latency_s * decay)
        view.latency_at = now
        view.pace += 0.2 * (taken / max(1.0, (told + 1) / SLOTS) - view.pace)
        goal = KINDS[state['kind']][0]
        if now - sent_at < HEDGE_AT_FRACTION * goal:
            view.failures, view.avoid_until = 0, 0.0
        if not state['answered']:
            state['answered'] = True
            state['query']['answers'].append(now + state['way'])

    def check_late(self, now, state):
        """Avoid the upstream of a late first attempt, and hedge it."""
        if state['answered']:
            return
        view = self.views[state['host'], state['shard'], state['tried'][0]]
        if view.avoid_until <= now:
            view.avoid_until = now + min(6.0, AVOID_S * 2**view.failures)
            view.failures = min(6, view.failures + 1)
        self.send(now, state, True)

    def get_share_in_time(self):
        """Return the fraction in time and the median time of sweeps."""
        in_time = collections.Counter()
        total = collections.Counter()
        complete = []
        for query in self.done:
            goal, _, missing = KINDS[query['kind']]
            answers = sorted(query['answers'])
            need = math.ceil(len(self.shards) * (1 - missing))
            took = answers[need - 1] - query['start']
            total[query['kind']] += 1
            in_time[query['kind']] += took <= goal
            if query['kind'] == 'sweep':
                complete.append(took)
        return (
            sum(in_time.values()) / sum(total.values()),
            statistics.median(complete),
        )


def _look_up(run, now, state, number):
    view = run.views[state['host'], state['shard'], number]
    distance = get_distance(
        state['host'][0], run.shards[state['shard']][number].zone
    )
    suspect = view.avoid_until > now
    return view, distance, suspect


def choose_distance(run, now, state, number):
    """Suspicion, distance, requests in flight."""
    view, distance, suspect = _look_up(run, now, state, number)
    return suspect, view.failures * suspect, distance, view.in_flight


def choose_in_flight(run, now, state, number):
    """Suspicion, own requests beyond the slots, distance."""
    view, distance, suspect = _look_up(run, now, state, number)
    return suspect, view.in_flight // SLOTS, distance, view.in_flight


def choose_peak(run, now, state, number):
    """Peak EWMA of latency times requests in flight, plus the way."""
    view, distance, suspect = _look_up(run, now, state, number)
    decay = math.exp(-(now - view.latency_at) / LATENCY_DECAY_S)
    mean = KINDS[state['kind']][1]
    cost = max(1.0, view.latency_s * decay) * mean * (view.in_flight + 1)
    return suspect, cost + ROUND_TRIPS_S[distance]


def choose_told(run, now, state, number):
    """Told queue beyond the slots while recent, then distance."""
    view, distance, suspect = _look_up(run, now, state, number)
    recent = now - view.told_at < MAX_TOLD_AGE_S
    queue = max(view.told if recent else 0, view.in_flight)
    return suspect, max(0, queue + 1 - SLOTS), distance, view.in_flight


def choose_round(run, now, state, number):
    """As `choose_told`, but only for queues of a round of all slots."""
    suspect, waiting, distance, in_flight = choose_told(
        run, now, state, number
    )
    return suspect, waiting // SLOTS, distance, in_flight


def choose_expected(run, now, state, number):
    """Expected end by told queue and pace, plus the way."""
    view, distance, suspect = _look_up(run, now, state, number)
    recent = now - view.told_at < MAX_TOLD_AGE_S
    queue = max(view.told if recent else 0, view.in_flight)
    mean = KINDS[state['kind']][1]
    wait = max(1.0, (queue + 1) / SLOTS) * view.pace * mean
    return suspect, wait + ROUND_TRIPS_S[distance]


def choose_known(run, now, state, number):
    """True queue and speed of this moment, plus the way."""
    _, distance, _ = _look_up(run, now, state, number)
    upstream = run.shards[state['shard']][number]
    trip = ROUND_TRIPS_S[distance]
    start = max(now + trip / 2, min(upstream.free))
    since_pause = (start + upstream.phase) % PAUSE_EVERY_S
    if since_pause < PAUSE_S:
        start += PAUSE_S - since_pause
    mean = KINDS[state['kind']][1]
    return start + mean * upstream.get_factor(start) + trip / 2


POLICIES = {
    'distance before in flight': choose_distance,
    'in flight before distance': choose_in_flight,
    'peak EWMA': choose_peak,
    'told queue before distance': choose_told,
    'told, full round before distance': choose_round,
    'expected end by told queue': choose_expected,
    'true queues and speeds': choose_known,
}


def main(
    *,
    seeds: int = 3,
    shards: int = 135,
    rate: float = 21.0,
    seconds: float = 8.0,
) -> None:
    """Print the share in time, extra requests and far requests.

    :param seeds: number of simulations per policy
    :param shards: number of shards of each query
    :param rate: queries per second
    :param seconds: simulated duration
    """
    for load, slow_share in ((1.0, 0.0), (1.0, 0.15), (2.5, 0.0), (2.5, 0.15)):
        print(f'{load * rate:.0f} queries a second, {slow_share} slow')
        for name, policy in POLICIES.items():
            runs = [
                Run(
                    policy, seed, shards, load * rate, seconds, slow_share
                ).run()
                for seed in range(seeds)
            ]
            found = [each.get_share_in_time() for each in runs]
            sent = sum(each.sent for each in runs)
            print(
                f'  {name:34}'
                f'{statistics.mean(each[0] for each in found):.3f} in time, '
                f'p50 {1000 * statistics.mean(each[1] for each in found):.0f}'
                f' ms, extra {sum(each.extras for each in runs) / sent:.3f}, '
                f'far {sum(each.far for each in runs) / sent:.3f}',
                flush=True,
            )


if __name__ == '__main__':
    defopt.run(main)
