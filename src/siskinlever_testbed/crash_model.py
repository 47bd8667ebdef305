"""Simulates days with crashes and prints what the record of their causes costs.

Usage:
  crash_model [--days=N] [--seed=N] [--causes=NAMES] [--ways=NAMES] [--prefill=S]

Options:
  --days=N        Days of each cause [default: 500].
  --seed=N        Seed of the first day [default: 1].
  --causes=NAMES  Comma-separated list; all by default.
  --ways=NAMES    Ways to decide, comma-separated; all by default.
  --prefill=S     Most seconds for which an engine reads a prompt before it writes the
                  first event of the answer [default: 0].

All hosts count as one: what the exchange between them costs isn't simulated.
"""

from __future__ import annotations

import heapq
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from docopt import docopt

from siskinlever._internal.dispatch import crash_causes, crash_evidence
from siskinlever._internal.dispatch.cause_search import FindCauses, find_causes
from siskinlever._internal.dispatch.crash_causes import CrashCauses
from siskinlever._internal.dispatch.crash_evidence import (
    Crash,
    CrashedRun,
    crash_weight,
)
from siskinlever._internal.models.ids import RunnerName
from siskinlever._internal.models.traits import Trait
from siskinlever._internal.models.upstreams import RunnerKey, StartedAt

DAY_S = 60.0
RESTART_S = 4.0
MEAN_RUN_S = 3.0
FIRST_EVENT_S = 0.1
CRASH_DELAY_S = (0.04, 0.11)
CLIENT_RETRIES = 1
CLIENT_RETRY_S = 0.1
# Days of a cause have crashes at random, too, at one of these rates per second.
RANDOM_CRASHES_PER_S = (0.0, 0.05, 0.2)
MIN_NAIVE_CRASHES = 3


def _find_by_count(
    crashes: Iterable[Crash],
) -> list[tuple[frozenset[Trait], list[Crash]]]:
    """Bar each trait under three crashes that no whole answer acquits."""
    crashes_by_trait: dict[Trait, list[Crash]] = {}
    for crash in crashes:
        for trait in crash.suspects:
            crashes_by_trait.setdefault(trait, []).append(crash)
    return [
        (frozenset({trait}), found)
        for trait, found in crashes_by_trait.items()
        if len(found) >= MIN_NAIVE_CRASHES
    ]


FIND_BY_WAY: dict[str, FindCauses] = {"record": find_causes, "count": _find_by_count}


@dataclass(frozen=True, slots=True)
class Cause:
    """What crashes runners on a day, beside chance.

    Parameters
    ----------
    parts : int
        Number of bad parts of prompts.
    is_first : bool
        Whether the bad part is the first one of the prompt.
    repeats : bool
        Whether one bad request comes again.
    lost_share : float
        Share of the runners that crash at the same moment.
    """

    parts: int = 0
    is_first: bool = False
    repeats: bool = False
    lost_share: float = 0.0


CAUSE_BY_NAME = {
    "none": Cause(),
    "lost-zone": Cause(lost_share=0.34),
    "all-lost": Cause(lost_share=1.0),
    "part": Cause(parts=1),
    "first-part": Cause(parts=1, is_first=True),
    "two-parts": Cause(parts=2),
    "request": Cause(repeats=True),
    "part-and-lost-zone": Cause(parts=1, lost_share=0.34),
}


@dataclass(slots=True)
class Request:
    """One request of the simulation."""

    traits: tuple[Trait, ...]
    is_bad: bool
    retries: int
    began_at: float = 0.0
    # Seconds from then until the head of the answer.
    prefill_s: float = 0.0


@dataclass(slots=True)
class Outcome:
    """What a day brought."""

    crashes_before_bar: int = 0
    bad_sent_late: int = 0
    sound: int = 0
    sound_refused: int = 0
    refused_traits: Counter[str] = field(default_factory=Counter)


class Day:
    """One simulated day.

    Parameters
    ----------
    cause : Cause
    seed : int
    find : callable
        The way to find causes.
    max_prefill_s : float, default=0.0
    """

    def __init__(
        self, cause: Cause, seed: int, find: FindCauses, max_prefill_s: float = 0.0
    ) -> None:
        self._random = random.Random(seed)
        self._cause = cause
        self._max_prefill_s = max_prefill_s
        self.time = 0.0
        self.outcome = Outcome()
        self._causes = CrashCauses(
            now=lambda: self.time, find=find, wall=lambda: self.time
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        runners = self._random.choice((3, 5, 12))
        self._runs_by_runner: dict[int, list[Request]] = {r: [] for r in range(runners)}
        self._born_by_runner: Counter[int] = Counter()
        self._down: set[int] = set()
        self._rate_per_s = runners * self._random.uniform(0.5, 1.5)
        self._bad_per_s = self._random.choice((0.2, 0.7, 2.0))
        self._sessions = self._random.choice((10, 50, 300))
        self._crash_rate_per_s = self._random.choice(RANDOM_CRASHES_PER_S)

    def run(self) -> Outcome:
        """Play the day."""
        self._every(self._rate_per_s, lambda: self._arrive(self._sound_request()))
        if self._cause.parts or self._cause.repeats:
            self._every(self._bad_per_s, lambda: self._arrive(self._bad_request()))
        if self._crash_rate_per_s:
            self._every(self._crash_rate_per_s, self._crash_one)
        if self._cause.lost_share:
            self._at(self._random.uniform(1, DAY_S - 10), self._crash_share)
        while self._events and self._events[0][0] < DAY_S:
            self.time, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _at(self, time: float, event: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time, self._number, event))

    def _every(self, per_s: float, event: Callable[[], None]) -> None:
        def again() -> None:
            event()
            self._at(self.time + self._random.expovariate(per_s), again)

        self._at(self._random.expovariate(per_s), again)

    def _traits(self, *parts: str) -> tuple[Trait, ...]:
        self._number += 1
        return tuple(map(Trait, (*parts, f"request:{self._number}")))

    def _session(self) -> str:
        return f"session-{self._random.randrange(self._sessions)}"

    def _sound_request(self) -> Request:
        return Request(self._traits("first", self._session()), False, CLIENT_RETRIES)

    def _bad_request(self) -> Request:
        cause = self._cause
        if cause.repeats:
            traits = tuple(map(Trait, ("first", "session-0", "request:bad")))
            return Request(traits, True, 0)
        bad = f"bad-{self._random.randrange(cause.parts)}"
        if cause.is_first:
            return Request(self._traits(bad, self._session()), True, 0)
        return Request(self._traits("first", self._session(), bad), True, 0)

    def _arrive(self, request: Request) -> None:
        bar = self._causes.bar_against(request.traits)
        refused = bar is not None and not self._causes.may_try(bar, request.traits)
        if not request.is_bad:
            self.outcome.sound += 1
            self.outcome.sound_refused += refused
        elif not refused:
            self.outcome.bad_sent_late += bool(self._causes.bars)
        if refused:
            return
        up = [r for r in self._runs_by_runner if r not in self._down]
        if not up:
            return
        runner = min(up, key=lambda r: (len(self._runs_by_runner[r]), r))
        request.began_at = self.time
        if self._max_prefill_s:
            request.prefill_s = self._random.uniform(0, self._max_prefill_s)
        self._runs_by_runner[runner].append(request)
        born = self._born_by_runner[runner]
        if request.is_bad:
            delay_s = self._random.uniform(*CRASH_DELAY_S)
            crash_at = self.time + request.prefill_s + delay_s
            self._at(crash_at, lambda: self._crash(runner, born, True))
        else:
            run_s = request.prefill_s + self._random.expovariate(1 / MEAN_RUN_S)
            self._at(self.time + run_s, lambda: self._finish(runner, born, request))

    def _finish(self, runner: int, born: int, request: Request) -> None:
        if self._born_by_runner[runner] != born or runner in self._down:
            return
        self._runs_by_runner[runner].remove(request)
        self._causes.note_whole(request.traits)
        self._decide()

    def _crash_one(self) -> None:
        up = [r for r in self._runs_by_runner if r not in self._down]
        if up:
            runner = self._random.choice(up)
            self._crash(runner, self._born_by_runner[runner])

    def _crash_share(self) -> None:
        count = max(1, round(self._cause.lost_share * len(self._runs_by_runner)))
        for runner in self._random.sample(sorted(self._runs_by_runner), count):
            self._crash(runner, self._born_by_runner[runner])

    def _crash(self, runner: int, born: int, is_caused: bool = False) -> None:
        if runner in self._down or self._born_by_runner[runner] != born:
            return
        self._down.add(runner)
        self._at(self.time + RESTART_S, lambda: self._restart(runner))
        runs, self._runs_by_runner[runner] = self._runs_by_runner[runner], []
        if is_caused and not any(self._is_barred(run) for run in runs if run.is_bad):
            self.outcome.crashes_before_bar += 1
        crashed = []
        for number, run in enumerate(runs):
            age_s = self.time - run.began_at
            # A crash comes with the first event, before the head of the answer.
            is_before_head = run.is_bad and self._max_prefill_s > 0
            head_s = age_s - run.prefill_s
            after_head_s = None if is_before_head or head_s < 0 else head_s
            events = int(max(0.0, head_s) / FIRST_EVENT_S)
            if head_s > crash_evidence.SURVIVED_S:
                self._causes.note_whole(run.traits)
            elif weight := crash_weight(age_s, after_head_s, events, True):
                crashed.append(CrashedRun(str(number), run.traits, weight))
            if run.retries:
                again = Request(run.traits, run.is_bad, run.retries - 1)
                self._at(self.time + CLIENT_RETRY_S, partial(self._arrive, again))
        if crashed:
            self._causes.merge(
                RunnerKey(RunnerName(f"r-{runner}"), StartedAt(born)), crashed
            )
            settled_at = self.time + crash_causes.SETTLE_S + 0.01
            self._at(settled_at, self._decide)

    def _is_barred(self, request: Request) -> bool:
        return self._causes.bar_against(request.traits) is not None

    def _restart(self, runner: int) -> None:
        self._born_by_runner[runner] += 1
        self._down.discard(runner)

    def _decide(self) -> None:
        self._causes.decide()


async def run(argv: list[str]) -> int:
    """Simulate the days; return the exit code, 2 for invalid options."""
    options: dict[str, Any] = docopt(__doc__ or "", argv=argv)
    names = (options["--causes"] or ",".join(CAUSE_BY_NAME)).split(",")
    ways = (options["--ways"] or ",".join(FIND_BY_WAY)).split(",")
    unknown = set(names) - CAUSE_BY_NAME.keys() | set(ways) - FIND_BY_WAY.keys()
    if unknown:
        print(f"unknown: {sorted(unknown)}", file=sys.stderr)
        return 2
    days, seed = int(options["--days"]), int(options["--seed"])
    prefill_s = float(options["--prefill"])
    print("way,cause,days,days_with_sound_refused,sound_served,median,p99,most_late")
    for way in ways:
        for name in names:
            outcomes = [
                Day(
                    CAUSE_BY_NAME[name], seed + number, FIND_BY_WAY[way], prefill_s
                ).run()
                for number in range(days)
            ]
            print(_row(way, name, outcomes), flush=True)
    return 0


def _row(way: str, name: str, outcomes: list[Outcome]) -> str:
    refused = sum(outcome.sound_refused > 0 for outcome in outcomes)
    sound = sum(outcome.sound for outcome in outcomes)
    served = 1 - sum(outcome.sound_refused for outcome in outcomes) / sound
    crashes = sorted(outcome.crashes_before_bar for outcome in outcomes)
    p99 = crashes[int(0.99 * (len(crashes) - 1))]
    late = max(outcome.bad_sent_late for outcome in outcomes)
    median = statistics.median(crashes)
    return f"{way},{name},{len(outcomes)},{refused},{served:.4f},{median},{p99},{late}"
