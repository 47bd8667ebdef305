"""Decides which requests must not be sent, since their like has crashed runners.

A crash ends all requests on its runner, sound ones too. What the requests share that
had just begun under several crashes, and that no whole answer has acquitted, is taken
for the cause. This is group testing with one positive item in each test [1]_: the
traits common to the runs under all crashes of a cause are barred together, and a
request is refused only if it has all of them, until a further crash or a whole answer
tells them apart.

The evidence of all hosts is merged by union, so that hosts with the same evidence agree
whatever the order of its arrival. The load in mind is a request, or many with one part
of their prompts in common, that crashes each runner and comes again at any host.

References
----------
.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations", The Annals
   of Mathematical Statistics 14(4), 1943.
"""

from __future__ import annotations

import time
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ..models.traits import Trait, is_of_request
from ..models.upstreams import RunnerKey
from ..utils.clock import MS_PER_S, monotonic

# Seconds after the beginning of a run in which a crash counts as caused by it.
EARLY_S = 1.0
# Evidence of a run that had just begun: without a complete event, with some, and
# without the head of an answer, so that it may have been waiting.
BEGUN_WEIGHT = 1.0
WRITING_WEIGHT = 0.5
UNANSWERED_WEIGHT = 0.5
# Evidence from which a trait is barred: three crashes, or five of the weaker kind. Only
# repetitions of the same request have its trait: three crashes of any kind.
BAR_WEIGHT = 2.5
REQUEST_BAR_WEIGHT = 1.5
# A trait of fewer runs is preferred to one with more evidence by up to this: what all
# requests share is under each crash, whatever caused it.
SPECIFIC_MARGIN = 1.0
# Crashes within this many seconds count once against a part: the loss of a zone ends
# many runners at the same moment. Only its repetitions bring a request to several.
SIMULTANEOUS_S = 0.05
# Seconds between the first two requests that one host sends in spite of a bar, to find
# out whether it is wrong; doubled each time, since one that reached no runner tells
# nothing. With so many crashes behind the bar, nothing is tried.
TRIAL_PERIOD_S = 2.0
MAX_TRIAL_PERIOD_S = 60.0
MAX_TRIED_CRASHES = 5
# Seconds after which a run that goes on acquits its traits as a whole answer does.
SURVIVED_S = 2.0
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
MAX_BARS = 16
# Traits of whole answers that are remembered, of each kind.
MAX_ACQUITTED = 10_000


@dataclass(frozen=True, slots=True)
class CrashedRun:
    """A request that had just begun to run when its runner crashed.

    Parameters
    ----------
    request : str
        Id of the caller's attempt, for the log.
    traits : tuple of Trait
    weight : float
        How much the crash counts against the request.
    """

    request: str
    traits: tuple[Trait, ...]
    weight: float


@dataclass(slots=True, eq=False)
class Crash:
    """The end of one process of a runner, and the requests that had just begun there.

    Parameters
    ----------
    runner : RunnerKey
    runs : set of CrashedRun
    at : float
        Monotonic time of the first report.
    used_at : float
        Monotonic time at which a request was last refused for it, or of the report.
    reported_ms : int
        Unix milliseconds of the first report, equal at all hosts.
    acquitted : set of Trait
        Traits that requests with whole answers have, too.
    """

    runner: RunnerKey
    runs: set[CrashedRun]
    at: float
    used_at: float
    reported_ms: int
    acquitted: set[Trait] = field(default_factory=set)

    @property
    def suspects(self) -> set[Trait]:
        """Traits of the runs that no whole answer has acquitted."""
        return {trait for run in self.runs for trait in run.traits} - self.acquitted

    def weight_by_suspect(self) -> dict[Trait, float]:
        """Return how much the crash counts against each suspect."""
        weight_by_trait: dict[Trait, float] = {}
        for run in self.runs:
            for trait in set(run.traits) - self.acquitted:
                weight = max(weight_by_trait.get(trait, 0.0), run.weight)
                weight_by_trait[trait] = weight
        return weight_by_trait

    def has_run_with(self, traits: frozenset[Trait]) -> bool:
        """Return whether a run had all of these traits."""
        return any(traits.issubset(run.traits) for run in self.runs)

    def has_run_within(
        self, traits: Collection[Trait], barred: frozenset[Trait]
    ) -> bool:
        """Return whether a request has all that a run with barred traits had.

        The trait of the run's own request is left out.
        """
        return any(
            barred.issubset(run.traits)
            and all(
                trait in traits
                for trait in run.traits
                if trait not in self.acquitted and not is_of_request(trait)
            )
            for run in self.runs
        )


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


FindCauses = Callable[[Iterable[Crash]], list[tuple[frozenset[Trait], list[Crash]]]]


def crash_weight(call_s: float, after_head_s: float | None, events: int) -> float:
    """Return how much the crash of its runner counts against a request.

    Parameters
    ----------
    call_s : float
        Seconds from the send to the crash.
    after_head_s : float or None
        Seconds from the head of the answer to the crash; None if there was no head.
    events : int
        Complete events of the answer.
    """
    if after_head_s is None:
        return UNANSWERED_WEIGHT if call_s <= EARLY_S else 0.0
    if after_head_s > EARLY_S:
        return 0.0
    return WRITING_WEIGHT if events else BEGUN_WEIGHT


def find_causes(crashes: Iterable[Crash]) -> list[tuple[frozenset[Trait], list[Crash]]]:
    """Return the sets of traits to bar, each with the crashes that it explains.

    The set with the most evidence comes first. A crash that is explained by one set
    counts for no other, unless another has the same evidence.
    """
    unexplained = list(crashes)
    causes: list[tuple[frozenset[Trait], list[Crash]]] = []
    while len(causes) < MAX_BARS:
        trait = _most_likely(unexplained)
        if trait is None:
            break
        traits = _common_traits(trait, unexplained)
        explained = [crash for crash in unexplained if crash.has_run_with(traits)]
        equals = _equally_likely(trait, unexplained)
        for common in {_common_traits(equal, unexplained) for equal in equals}:
            causes.append((common, explained))
        unexplained = [c for c in unexplained if not c.has_run_with(traits)]
    return causes


def _most_likely(crashes: Sequence[Crash]) -> Trait | None:
    """Return the trait that is most likely a cause; None if none has the evidence.

    It has the highest weight, or is one of fewer runs among those of the highest.
    """
    weight_by_trait = _weights(crashes)
    likely = [t for t, weight in weight_by_trait.items() if weight >= _bar_weight(t)]
    if not likely:
        return None
    runs_by_trait: defaultdict[Trait, set[tuple[RunnerKey, CrashedRun]]]
    runs_by_trait = defaultdict(set)
    for crash in crashes:
        for run in crash.runs:
            for trait in run.traits:
                runs_by_trait[trait].add((crash.runner, run))
    heaviest = max(likely, key=lambda t: (weight_by_trait[t], t))
    least = weight_by_trait[heaviest] - SPECIFIC_MARGIN
    return min(
        (
            trait
            for trait in likely
            if weight_by_trait[trait] >= least
            and runs_by_trait[trait] <= runs_by_trait[heaviest]
        ),
        key=lambda t: (len(runs_by_trait[t]), -weight_by_trait[t], t),
    )


def _order(crash: Crash) -> tuple[int, str, int]:
    """Sort crashes by time, and alike at all hosts."""
    return crash.reported_ms, crash.runner.name, crash.runner.started_at


def _weights(crashes: Iterable[Crash]) -> dict[Trait, float]:
    """Return the weight of all crashes against each trait."""
    weight_by_trait: defaultdict[Trait, float] = defaultdict(float)
    # Time and weight of the last crash that isn't simultaneous with one before it.
    counted_by_trait: dict[Trait, tuple[int, float]] = {}
    for crash in sorted(crashes, key=_order):
        for trait, weight in crash.weight_by_suspect().items():
            counted_ms, counted = counted_by_trait.get(trait, (0, 0.0))
            since_ms = crash.reported_ms - counted_ms
            if is_of_request(trait) or since_ms > SIMULTANEOUS_S * MS_PER_S:
                counted_ms, counted = crash.reported_ms, 0.0
            weight_by_trait[trait] += max(0.0, weight - counted)
            counted_by_trait[trait] = counted_ms, max(weight, counted)
    return weight_by_trait


def _bar_weight(trait: Trait) -> float:
    return REQUEST_BAR_WEIGHT if is_of_request(trait) else BAR_WEIGHT


def _equally_likely(trait: Trait, crashes: Iterable[Crash]) -> list[Trait]:
    """Return the traits, this one too, with the same evidence and as many runs."""
    evidence_by_trait: defaultdict[Trait, list[tuple[RunnerKey, float, int]]]
    evidence_by_trait = defaultdict(list)
    for crash in crashes:
        runs_by_trait = Counter(t for run in crash.runs for t in run.traits)
        for suspect, weight in crash.weight_by_suspect().items():
            evidence = crash.runner, weight, runs_by_trait[suspect]
            evidence_by_trait[suspect].append(evidence)
    same = evidence_by_trait[trait]
    return [t for t, evidence in evidence_by_trait.items() if evidence == same]


def _common_traits(trait: Trait, crashes: Iterable[Crash]) -> frozenset[Trait]:
    """Return the traits that the likeliest runs with a trait share.

    Of the runs with the trait under one crash, these are the ones with the highest
    weight. Traits that are acquitted are left out.
    """
    common: frozenset[Trait] | None = None
    for crash in crashes:
        weight = crash.weight_by_suspect().get(trait)
        for run in crash.runs:
            if trait in run.traits and run.weight == weight:
                suspects = frozenset(run.traits) - crash.acquitted
                common = suspects if common is None else common & suspects
    return common or frozenset({trait})


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
