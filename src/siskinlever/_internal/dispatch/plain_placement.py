"""Chooses a runner of a plain service.

Answers bursts of short requests: the runner with the fewest requests for each
of its slots, its own zone first as long as that costs no wait, and away from
runners that fail while their health is good.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..models.ids import ZoneName
from ..models.upstreams import LoadReport, Registration, RunnerKey
from ..utils.clock import monotonic
from .reachability import Reachability
from .recent_failures import RecentFailures

# A runner of another zone must be this much less busy, in shares of its slots,
# to be preferred: bytes between zones are dear.
OTHER_ZONE_PENALTY = 0.4
# Weight of the newest outcome in a runner's share of failures.
OUTCOME_WEIGHT = 0.2
# Runners fail this share of some requests by themselves, the same for all.
BASELINE_FAILURE_RATE = 0.2
FAILURE_PENALTY = 2.0
# An answer that broke off is one request lost; runners do so only if something
# is wrong with them. One such answer outweighs a full runner of another zone.
BROKEN_ANSWER_PENALTY = 1.5
# Runners lose answers for seconds; one that is avoided gives no new outcomes.
BROKEN_ANSWER_HALF_LIFE_S = 2.0
# A runner that cannot be reached comes after all others.
REACHABILITY_PENALTY = {
    Reachability.REACHABLE: 0.0,
    Reachability.REPORTED_UNREACHABLE: 2.0,
    Reachability.UNREACHABLE: 100.0,
}
# Reported load older than this says nothing of short requests.
MAX_REPORT_AGE_S = 0.4


@dataclass(slots=True)
class RunnerStats:
    """What was seen of one runner.

    Parameters
    ----------
    failure_rate : float
        Share of the requests that it answered badly.
    """

    failure_rate: float = 0.0
    report: LoadReport | None = None
    reported_at: float = float("-inf")


@dataclass(slots=True)
class PlainPlacement:
    """Places requests of plain services.

    Parameters
    ----------
    zone : str
        Of this host.
    requests_at : callable
        Returns the requests that all hosts have at a runner, as far as known.
    reachability_of : callable
        Returns whether a runner can be reached.
    """

    zone: ZoneName
    requests_at: Callable[[RunnerKey], int]
    reachability_of: Callable[[RunnerKey], Reachability]
    stats_by_runner: dict[RunnerKey, RunnerStats] = field(default_factory=dict)
    broken_answers: RecentFailures = field(
        default_factory=lambda: RecentFailures(BROKEN_ANSWER_HALF_LIFE_S)
    )

    def choose(
        self, runners: Iterable[Registration], tried: Collection[RunnerKey]
    ) -> Registration | None:
        """Return the runner to use, or None if there is none left."""
        candidates = [runner for runner in runners if runner.key not in tried]
        if not candidates:
            return None
        random.shuffle(candidates)
        return min(candidates, key=self._cost)

    def _cost(self, runner: Registration) -> float:
        stats = self.stats_by_runner.get(runner.key) or RunnerStats()
        now = monotonic()
        requests = self.requests_at(runner.key)
        if stats.report is not None and now - stats.reported_at <= MAX_REPORT_AGE_S:
            requests = max(requests, stats.report.running + stats.report.waiting)
        cost = requests / max(1, runner.slots)
        cost += OTHER_ZONE_PENALTY * (runner.zone != self.zone)
        cost += FAILURE_PENALTY * max(0.0, stats.failure_rate - BASELINE_FAILURE_RATE)
        cost += BROKEN_ANSWER_PENALTY * self.broken_answers.count_of(runner.key)
        return cost + REACHABILITY_PENALTY[self.reachability_of(runner.key)]

    def note_outcome(self, runner: RunnerKey, failed: bool) -> None:
        """Note whether a runner answered a request well."""
        stats = self._stats_of(runner)
        stats.failure_rate += OUTCOME_WEIGHT * (failed - stats.failure_rate)

    def note_broken(self, runner: RunnerKey) -> None:
        """Note that an answer of a runner broke off."""
        self.note_outcome(runner, failed=True)
        self.broken_answers.note(runner)

    def note_load(self, runner: RunnerKey, report: LoadReport) -> None:
        """Note the load that a runner told."""
        stats = self._stats_of(runner)
        stats.report, stats.reported_at = report, monotonic()

    def _stats_of(self, runner: RunnerKey) -> RunnerStats:
        return self.stats_by_runner.setdefault(runner, RunnerStats())
