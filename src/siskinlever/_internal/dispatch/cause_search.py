"""Searches for what the requests under several crashes of runners have in common.

A crash ends all requests on its runner, sound ones too. What the requests share that
had just begun under several crashes, and that no whole answer has acquitted, is taken
for the cause. This is group testing with one positive item in each test [1]_: the
traits common to the likeliest runs under all crashes of a cause can't be told apart.

References
----------
.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations", The Annals
   of Mathematical Statistics 14(4), 1943.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence

from ..models.traits import Trait, is_of_request
from ..models.upstreams import RunnerKey
from ..utils.clock import MS_PER_S
from .crash_evidence import Crash, CrashedRun

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
MAX_CAUSES = 16

FindCauses = Callable[[Iterable[Crash]], list[tuple[frozenset[Trait], list[Crash]]]]


def find_causes(crashes: Iterable[Crash]) -> list[tuple[frozenset[Trait], list[Crash]]]:
    """Return the sets of traits to bar, each with the crashes that it explains.

    The set with the most evidence comes first. A crash that is explained by one set
    counts for no other, unless another has the same evidence.
    """
    unexplained = list(crashes)
    causes: list[tuple[frozenset[Trait], list[Crash]]] = []
    while len(causes) < MAX_CAUSES:
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
