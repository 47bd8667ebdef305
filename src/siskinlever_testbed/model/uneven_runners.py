"""Plain requests on runners of uneven speed, placed by several estimates of it.

All hosts, requests and runners advance in steps of virtual time; nothing is sent. Run
``python -m siskinlever_testbed.model.uneven_runners``.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from siskinlever._internal.dispatch.plain_placement import PlainPlacement
from siskinlever._internal.dispatch.reachability import Reachability
from siskinlever._internal.dispatch.runner_speed import RunnerSpeeds
from siskinlever._internal.models import ids, upstreams
from siskinlever._internal.models.upstreams import LoadReport, Registration, RunnerKey

STEP_S = 0.005
# Largest number of requests that arrive in one step.
ARRIVALS_PER_STEP = 4
# Age of what a host knows of the requests of the others.
UPDATE_S = 0.1
HOSTS, SLOTS, DURATION_S = 12, 6, 60.0
SPELL_S, SPELL_SLOWDOWN = 0.6, 2.5


@dataclass(frozen=True)
class Load:
    """Load of a deployment; times in seconds."""

    name: str
    rate_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    slow_share: float = 0.15
    # Of the first runner: at all times, and from these requests per slot on twice that.
    fixed_slowdown: float = 1.0
    knee: float = 9.0
    burst: float = 1.0


LOADS = (
    Load("bookshop", 105, 0.080, 0.374, 1.53),
    Load("canal hire", 98, 0.090, 0.408, 4.08),
    Load("bookshop, bursts of 2.4", 105, 0.080, 0.374, 1.53, burst=2.4),
    Load("one runner 3 times slower", 105, 0.080, 0.374, 1.53, 0.15, 3.0, burst=2.0),
    Load("one slow from half load", 105, 0.080, 0.374, 1.53, 0.15, 1.0, 0.5, 2.0),
    Load("equal runners", 105, 0.080, 0.374, 1.53, 0.0, burst=2.0),
)


class HeaderAlone(RunnerSpeeds):
    """The reported work time without the times of answers."""

    def note_answer(self, runner: RunnerKey, *seen: Any) -> None:
        """Ignore the time."""


class FixedSlots(HeaderAlone):
    """Requests per slot, as without estimates."""

    def note_load(self, runner: RunnerKey, report: LoadReport) -> None:
        """Ignore the report."""


class _Limits(FixedSlots):
    """Requests per limit; no requests beyond it."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__(now)
        self.limit: dict[RunnerKey, float] = {}
        self.lowest_s, self.average_s = 9.0, dict[RunnerKey, float]()

    def slots_of(self, runner: RunnerKey, registered: int) -> float:
        return self.limit.get(runner, float(registered))

    def note_answer(self, runner: RunnerKey, *seen: Any) -> None:
        took_s = seen[1]
        self.lowest_s = min(self.lowest_s, took_s)
        average_s = self.average_s.get(runner, took_s)
        self.average_s[runner] = average_s + 0.2 * (took_s - average_s)
        limit = self.changed(self.limit.get(runner, SLOTS), runner, took_s)
        self.limit[runner] = min(4.0 * SLOTS, max(1.0, limit))

    def changed(self, limit: float, runner: RunnerKey, took_s: float) -> float:
        """Add to the limit while latency is good, else reduce it by a tenth."""
        return limit + 1 / limit if took_s < 2 * self.lowest_s else limit * 0.9


class Gradient(_Limits):
    """A limit that follows the lowest latency over the recent one."""

    def changed(self, limit: float, runner: RunnerKey, took_s: float) -> float:
        gradient = min(1.0, max(0.5, 1.5 * self.lowest_s / self.average_s[runner]))
        return limit + 0.2 * (limit * gradient + math.sqrt(limit) - limit)


POLICIES: dict[str, tuple[type[RunnerSpeeds], bool]] = {
    "fixed slots": (FixedSlots, False),
    "additive increase": (_Limits, False),
    "gradient": (Gradient, False),
    "header alone": (HeaderAlone, False),
    "learned alone": (RunnerSpeeds, False),
    "learned, shared": (RunnerSpeeds, True),
}


@dataclass
class _Request:
    host: int
    sent_at: float
    left_s: float


@dataclass
class _Runner:
    registration: Registration
    factor: float = 1.0
    fixed: float = 1.0
    knee: float = 9.0
    running: list[_Request] = field(default_factory=list)
    waiting: deque[_Request] = field(default_factory=deque)

    def step(self) -> Iterator[_Request]:
        """Work for one step; iterate over the requests that end."""
        while self.waiting and len(self.running) < SLOTS:
            self.running.append(self.waiting.popleft())
        slow = 2.0 if len(self.running) / SLOTS > self.knee else 1.0
        for request in self.running:
            request.left_s -= STEP_S / (self.factor * self.fixed * slow)
        ended = [request for request in self.running if request.left_s <= 0]
        self.running = [request for request in self.running if request.left_s > 0]
        yield from ended


class _Run:
    def __init__(self, load: Load, policy: str, seed: int) -> None:
        random.seed(seed)
        self.load, self.chance, self.now = load, random.Random(seed), 0.0
        speeds, self.shares = POLICIES[policy]
        self.has_limits = issubclass(speeds, _Limits)
        self.runners = {r.key: _Runner(r) for r in map(_registration, range(4))}
        first = next(iter(self.runners.values()))
        first.fixed, first.knee = load.fixed_slowdown, load.knee
        self.own: list[Counter[RunnerKey]] = [Counter() for _ in range(HOSTS)]
        self.others: list[Counter[RunnerKey]] = [Counter() for _ in range(HOSTS)]
        self.hosts = [
            PlainPlacement(
                ids.ZoneName("a"),
                lambda key, i=i: self.own[i][key] + self.others[i][key],  # type: ignore[misc]
                lambda key: Reachability.REACHABLE,
                speeds=speeds(lambda: self.now),
                now=lambda: self.now,
            )
            for i in range(HOSTS)
        ]
        self.news: list[tuple[int, RunnerKey, LoadReport]] = []
        self.outcomes: Counter[str] = Counter()

    def play(self) -> Counter[str]:
        for step in range(round(DURATION_S / STEP_S)):
            self.now = step * STEP_S
            if step % round(UPDATE_S / STEP_S) == 0:
                self._exchange()
            in_burst = self.now % 15 >= 11
            rate = self.load.rate_per_s * (self.load.burst if in_burst else 1.0)
            for _ in range(ARRIVALS_PER_STEP):
                if self.chance.random() < rate * STEP_S / ARRIVALS_PER_STEP:
                    self._place(self.chance.randrange(HOSTS))
            for runner in self.runners.values():
                self._spell(runner)
                for request in runner.step():
                    self._end(runner, request)
        return self.outcomes

    def _exchange(self) -> None:
        total: Counter[RunnerKey] = Counter()
        for own in self.own:
            total.update(own)
        self.others = [total - own for own in self.own]
        if self.shares:
            # One newest report by runner and interval, whoever received it.
            for sender, key, report in {n[1]: n for n in self.news}.values():
                for i, host in enumerate(self.hosts):
                    if i != sender:
                        host.speeds.note_load(key, report)
        self.news.clear()

    def _spell(self, runner: _Runner) -> None:
        share, is_slow = self.load.slow_share, runner.factor > 1
        chance = STEP_S / SPELL_S * (1.0 if is_slow else share / (1 - share))
        if self.chance.random() < chance:
            runner.factor = 1.0 if is_slow else SPELL_SLOWDOWN

    def _place(self, i: int) -> None:
        host = self.hosts[i]
        work_s = self.load.work_s * self.chance.uniform(0.7, 1.3)
        chosen = host.choose([r.registration for r in self.runners.values()], ())
        assert chosen is not None
        limit = host.speeds.slots_of(chosen.key, SLOTS)
        if self.has_limits and host.requests_of(chosen.key) >= limit:
            self.outcomes["refused"] += 1
            return
        self.own[i][chosen.key] += 1
        self.runners[chosen.key].waiting.append(_Request(i, self.now, work_s))

    def _end(self, runner: _Runner, request: _Request) -> None:
        key, took_s = runner.registration.key, self.now - request.sent_at + STEP_S
        host, factor = self.hosts[request.host], runner.factor * runner.fixed
        running, waiting = len(runner.running), len(runner.waiting)
        report = LoadReport(running, waiting, SLOTS, factor)
        self.own[request.host][key] -= 1
        host.note_load(key, report)
        host.speeds.note_load(key, report)
        host.note_answer(runner.registration, "r", took_s, report)
        self.news.append((request.host, key, report))
        limits = (self.load.target_s, "on time"), (self.load.deadline_s, "late")
        self.outcomes[next((k for s, k in limits if took_s <= s), "refused")] += 1


def _registration(i: int) -> Registration:
    key = RunnerKey(ids.RunnerName(f"r-{i}"), upstreams.StartedAt(0))
    names = ids.ServiceName("s"), upstreams.Address(f"10.0.0.{i}:1"), ids.ZoneName("a")
    return Registration(
        key, *names, SLOTS, False, 1, None, upstreams.SoftwareVersion("v")
    )


def play(load: Load, policy: str, seeds: range = range(5)) -> Counter[str]:
    """Return the number of requests on time, late and refused over the seeds."""
    total: Counter[str] = Counter()
    for seed in seeds:
        total.update(_Run(load, policy, seed).play())
    return total


def main() -> None:
    """Print the outcomes of each policy under each load."""
    for load in LOADS:
        print(load.name)
        for policy in POLICIES:
            ended = play(load, policy)
            shares = (f"{ended[k]:7}" for k in ("on time", "late", "refused"))
            print(f"  {policy:18}{' '.join(shares)}")


if __name__ == "__main__":
    main()
