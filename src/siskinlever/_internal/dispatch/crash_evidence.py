"""Evidence on crashes of runners: which requests had just begun to run there."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from ..models.traits import Trait, is_of_request
from ..models.upstreams import RunnerKey

# Seconds after the beginning of a run in which a crash counts as caused by it.
EARLY_S = 1.0
# Seconds after which a run that goes on acquits its traits as a whole answer does.
SURVIVED_S = 2.0
# Weight of a run that had just begun: without a complete event, with some, and without
# the head of an answer, so that it may have been waiting.
BEGUN_WEIGHT = 1.0
WRITING_WEIGHT = 0.5
UNANSWERED_WEIGHT = 0.5


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


def crash_weight(
    call_s: float, after_head_s: float | None, events: int, reads_prompt: bool
) -> float:
    """Return how much the crash of its runner counts against a request.

    Parameters
    ----------
    call_s : float
        Seconds from the send to the crash.
    after_head_s : float or None
        Seconds from the head of the answer to the crash; None if there was no head.
    events : int
        Complete events of the answer.
    reads_prompt : bool
        Whether the runner reads a prompt before the head of the answer. However long
        that takes, the request begins to run with its first token.
    """
    if after_head_s is None:
        is_early = reads_prompt or call_s <= EARLY_S
        return UNANSWERED_WEIGHT if is_early else 0.0
    if after_head_s > EARLY_S:
        return 0.0
    return WRITING_WEIGHT if events else BEGUN_WEIGHT
