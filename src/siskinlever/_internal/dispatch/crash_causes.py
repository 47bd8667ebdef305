"""Decides which requests must not be sent, since their like has crashed runners.

Traits that are taken for the cause of crashes are barred: a request is refused if it
has all traits of a bar, until a further crash or a whole answer tells them apart.

The evidence of all hosts is merged by union, so that hosts with the same evidence agree
whatever the order of its arrival. The load in mind is a request, or many with one part
of their prompts in common, that crashes each runner and comes again at any host.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from ..models.traits import Trait, is_of_request
from ..models.upstreams import RunnerKey
from ..utils.clock import MS_PER_S, monotonic
from .cause_search import FindCauses, find_causes
from .crash_evidence import Crash, CrashedRun

# Seconds between the first two requests that one host sends in spite of a bar, to find
# out whether it is wrong; doubled each time, since one that reached no runner tells
# nothing. With so many crashes behind the bar, nothing is tried.
TRIAL_PERIOD_S = 2.0
MAX_TRIAL_PERIOD_S = 60.0
MAX_TRIED_CRASHES = 5
# A whole answer acquits the traits of its request for crashes until this many seconds
# after it, and for all before it.
ACQUITTAL_S = 60.0
# Seconds from the report of a crash until it counts, in which other hosts report what
# they know of the same requests.
SETTLE_S = 0.3
# Seconds for which a crash is remembered without a request that is refused for it.
RETENTION_S = 600.0
MAX_CRASHES = 64
MAX_RUNS = 16
# Traits of whole answers that are remembered, of each kind.
MAX_ACQUITTED = 10_000


@dataclass(slots=True)
class Bar:
    """Traits that requests must not have all together, and the crashes behind it."""

    traits: frozenset[Trait]
    crashes: tuple[Crash, ...]
    used_at: float

    @property
    def runners(self) -> list[str]:
        """Names of the runners that crashed."""
        return sorted(crash.runner.name for crash in self.crashes)


class CrashCauses:
    """Evidence on crashes of runners, and the requests that are refused for it.

    Parameters
    ----------
    now : callable, default=monotonic
    find : callable, default=find_causes
        The way to find causes.
    wall : callable, default=time.time
        Returns Unix seconds.
    """

    def __init__(
        self,
        now: Callable[[], float] = monotonic,
        find: FindCauses = find_causes,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._now = now
        self._wall = wall
        self._find = find
        # Numbers and times of the trials of bars, by their traits.
        self._trials_by_traits: dict[frozenset[Trait], tuple[int, float]] = {}
        self.crash_by_runner: dict[RunnerKey, Crash] = {}
        self.bars: list[Bar] = []
        # For each kind of trait; ordered by time, the latest last.
        self._whole_at_by_part: OrderedDict[Trait, float] = OrderedDict()
        self._whole_at_by_request: OrderedDict[Trait, float] = OrderedDict()
        self._suspects: set[Trait] = set()
        self._digest: int | None = None

    @property
    def digest(self) -> int:
        """A number that is equal for hosts with the same evidence; 0 without any."""
        if self._digest is None:
            digest = blake2b(digest_size=8)
            for key in sorted(self.crash_by_runner, key=str):
                crash = self.crash_by_runner[key]
                runs = sorted(run.request for run in crash.runs)
                acquitted = sorted(crash.acquitted)
                evidence = key, crash.reported_ms, runs, acquitted
                digest.update(repr(evidence).encode())
            value = int.from_bytes(digest.digest(), "big")
            self._digest = value if self.crash_by_runner else 0
        return self._digest

    @property
    def suspects(self) -> frozenset[Trait]:
        """Traits that crashes count against."""
        return frozenset(self._suspects)

    def bar_against(self, traits: Collection[Trait]) -> Bar | None:
        """Return what bars a request with these traits, or None."""
        for bar in self.bars:
            if bar.traits.issubset(traits):
                bar.used_at = self._now()
                return bar
        return None

    def may_try(self, bar: Bar, traits: Collection[Trait]) -> bool:
        """Return whether to send a request in spite of a bar; count it as a trial.

        What all requests share may be barred with the cause before any answer was
        whole, and nothing that is refused can acquit it. A request is a trial only if
        it lacks something that each of the crashed requests had.
        """
        is_of_one_request = any(map(is_of_request, bar.traits))
        if is_of_one_request or len(bar.crashes) >= MAX_TRIED_CRASHES:
            return False
        if any(crash.has_run_within(traits, bar.traits) for crash in bar.crashes):
            return False
        now = self._now()
        trials, tried_at = self._trials_by_traits.get(bar.traits, (0, float("-inf")))
        period_s = min(TRIAL_PERIOD_S * 2 ** (trials - 1), MAX_TRIAL_PERIOD_S)
        if now - tried_at < period_s:
            return False
        self._trials_by_traits[bar.traits] = trials + 1, now
        return True

    def note_whole(self, traits: Iterable[Trait]) -> list[Crash]:
        """Acquit the traits of a request with a whole answer, or of a run that goes on.

        Returns
        -------
        crashes : list of Crash
            Those whose evidence has changed.
        """
        now = self._now()
        acquitted = set()
        for trait in traits:
            whole_at_by_trait = self._whole_at(trait)
            whole_at_by_trait[trait] = now
            whole_at_by_trait.move_to_end(trait)
            if len(whole_at_by_trait) > MAX_ACQUITTED:
                whole_at_by_trait.popitem(last=False)
            if trait in self._suspects:
                acquitted.add(trait)
        if not acquitted:
            return []
        changed = [
            crash
            for crash in self.crash_by_runner.values()
            if not acquitted.isdisjoint(crash.suspects)
        ]
        for crash in changed:
            crash.acquitted |= acquitted & crash.suspects
        self._update()
        return changed

    def merge(
        self,
        runner: RunnerKey,
        runs: Iterable[CrashedRun],
        acquitted: Iterable[Trait] = (),
        age_s: float = 0.0,
        unused_s: float = 0.0,
        reported_ms: int | None = None,
    ) -> bool:
        """Add evidence on the crash of a runner; return whether any was new.

        Parameters
        ----------
        runner : RunnerKey
        runs : iterable of CrashedRun
        acquitted : iterable of Trait, default=()
        age_s : float, default=0.0
            Seconds since the crash.
        unused_s : float, default=0.0
            Seconds since a request was last refused for it.
        reported_ms : int or None, default=None
            Unix milliseconds of the first report; None for one of this host.
        """
        now = self._now()
        if reported_ms is None:
            reported_ms = int(self._wall() * MS_PER_S)
        crash = self.crash_by_runner.get(runner)
        is_new = crash is None
        if crash is None:
            if unused_s > RETENTION_S:
                return False
            crash = Crash(runner, set(), now - age_s, now - unused_s, reported_ms)
            self.crash_by_runner[runner] = crash
            self._limit_crashes()
        before = crash.reported_ms, len(crash.runs), len(crash.acquitted)
        crash.reported_ms = min(crash.reported_ms, reported_ms)
        crash.used_at = max(crash.used_at, now - unused_s)
        crash.runs = set(
            sorted(crash.runs | set(runs), key=lambda run: (-run.weight, run.request))[
                :MAX_RUNS
            ]
        )
        crash.acquitted |= set(acquitted)
        crash.acquitted |= {
            trait
            for trait in crash.suspects
            if self._whole_at(trait).get(trait, float("-inf")) >= crash.at - ACQUITTAL_S
        }
        if before == (crash.reported_ms, len(crash.runs), len(crash.acquitted)):
            return is_new
        self._update()
        return True

    def _whole_at(self, trait: Trait) -> OrderedDict[Trait, float]:
        is_request = is_of_request(trait)
        return self._whole_at_by_request if is_request else self._whole_at_by_part

    def _limit_crashes(self) -> None:
        while len(self.crash_by_runner) > MAX_CRASHES:
            unused = min(self.crash_by_runner.values(), key=lambda c: c.used_at)
            del self.crash_by_runner[unused.runner]

    def _update(self) -> None:
        self._digest = None
        self._suspects = {
            trait for crash in self.crash_by_runner.values() for trait in crash.suspects
        }

    def decide(self) -> tuple[list[Bar], list[Bar]]:
        """Bar and lift by the evidence that has settled; return both changes.

        Returns
        -------
        barred, lifted : list of Bar
        """
        now = self._now()
        self._forget_unused(now)
        settled = [
            crash
            for crash in self.crash_by_runner.values()
            if now >= crash.at + SETTLE_S
        ]
        before_by_traits = {bar.traits: bar for bar in self.bars}
        bars = []
        for traits, crashes in self._find(settled):
            before = before_by_traits.pop(traits, None)
            used_at = before.used_at if before else now
            bars.append(Bar(traits, tuple(crashes), used_at))
        known = {bar.traits for bar in self.bars}
        self.bars = bars
        self._trials_by_traits = {
            bar.traits: self._trials_by_traits[bar.traits]
            for bar in bars
            if bar.traits in self._trials_by_traits
        }
        barred = [bar for bar in bars if bar.traits not in known]
        return barred, list(before_by_traits.values())

    def _forget_unused(self, now: float) -> None:
        for bar in self.bars:
            for crash in bar.crashes:
                crash.used_at = max(crash.used_at, bar.used_at)
        unused = [
            runner
            for runner, crash in self.crash_by_runner.items()
            if now - crash.used_at > RETENTION_S
        ]
        for runner in unused:
            del self.crash_by_runner[runner]
        if unused:
            self._update()
