"""Chooses a runner of a plain service.

Bursts of short requests are spread by requests per slot, and where runners are known
to differ in speed by the time that a request is expected to take. Runners in the host's
own zone are preferred as long as this causes no queueing, and runners that fail
requests although their health checks pass are avoided.
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
from .runner_speed import RunnerSpeeds, Work

# Cost of a runner in another zone, in requests per slot. It is preferred only if
# its requests per slot are lower by this much, because traffic between zones is
# expensive.
OTHER_ZONE_PENALTY = 0.4
# Weight of the newest outcome in the moving average of a runner's failure rate.
OUTCOME_WEIGHT = 0.2
# Some kinds of requests fail at this rate on every runner, even a healthy one, so
# only the excess counts.
BASELINE_FAILURE_RATE = 0.2
# Cost of an excess failure rate of 1, in requests per slot.
FAILURE_PENALTY = 2.0
# Cost of each recent broken answer, in requests per slot. Each one is a lost
# request, and only faulty runners break off answers. One recent broken answer
# costs more than a fully loaded runner in another zone.
BROKEN_ANSWER_PENALTY = 1.5
# Seconds after which a broken answer counts half as much. A faulty runner keeps
# breaking off answers for several seconds. An avoided runner yields no new
# outcomes, so its count has to decay with time.
BROKEN_ANSWER_HALF_LIFE_S = 2.0
# Cost in requests per slot; an unreachable runner is chosen only as a last resort.
REACHABILITY_PENALTY = {
    Reachability.REACHABLE: 0.0,
    Reachability.REPORTED_UNREACHABLE: 2.0,
    Reachability.UNREACHABLE: 100.0,
}
# Older load reports are ignored: they say nothing about short requests.
MAX_REPORT_AGE_S = 0.4
# Runners whose costs differ by less than this are chosen among at random where speeds
# differ, since all hosts see the same report of a fast runner. About one request at a
# runner of 6 slots.
NEAR_COST = 0.15


@dataclass(slots=True)
class RunnerStats:
    """Observed outcomes and reported load of one runner.

    Parameters
    ----------
    failure_rate : float, default=0.0
        Moving average of failed requests, from 0 to 1.
    report : LoadReport or None
        The newest load report.
    reported_at : float
        Monotonic time at which the report was received.
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
        Zone of this host.
    requests_of : callable
        Returns the known number of requests that all hosts have in progress at
        a runner.
    reachability_of : callable
        Returns the `Reachability` of a runner.
    stats_by_runner : dict of RunnerKey to RunnerStats
    broken_answers : RecentFailures
        Answers that broke off, by runner.
    speeds : RunnerSpeeds
        Estimated speeds of the runners.
    now : callable, default=monotonic
    """

    zone: ZoneName
    requests_of: Callable[[RunnerKey], int]
    reachability_of: Callable[[RunnerKey], Reachability]
    stats_by_runner: dict[RunnerKey, RunnerStats] = field(default_factory=dict)
    broken_answers: RecentFailures = field(
        default_factory=lambda: RecentFailures(BROKEN_ANSWER_HALF_LIFE_S)
    )
    speeds: RunnerSpeeds = field(default_factory=RunnerSpeeds)
    now: Callable[[], float] = monotonic

    def choose(
        self, runners: Iterable[Registration], tried: Collection[RunnerKey]
    ) -> Registration | None:
        """Return the runner with the lowest cost, or None if all were tried.

        Ties are broken at random. Where a runner's speed isn't normal, so are near
        ties.
        """
        candidates = [runner for runner in runners if runner.key not in tried]
        if not candidates:
            return None
        random.shuffle(candidates)
        costs = [self._cost(runner) for runner in candidates]
        lowest = min(costs)
        chosen = candidates[costs.index(lowest)]
        if any(self._differs(runner) for runner in candidates):
            near = [
                runner
                for runner, cost in zip(candidates, costs, strict=True)
                if cost <= lowest + NEAR_COST
            ]
            chosen = random.choice(near)
        self.speeds.note_sent(chosen.key)
        return chosen

    def _differs(self, runner: Registration) -> bool:
        speeds = self.speeds
        return (
            speeds.slowdown(runner.key) != 1.0
            or speeds.slots_of(runner.key, runner.slots) != runner.slots
        )

    def _cost(self, runner: Registration) -> float:
        """Return the expected time of a request less the usual one, and the penalties.

        At a runner of normal speed, this is its requests per slot.
        """
        stats = self.stats_by_runner.get(runner.key) or RunnerStats()
        now = self.now()
        requests = self.requests_of(runner.key)
        if stats.report is not None and now - stats.reported_at <= MAX_REPORT_AGE_S:
            requests = max(requests, stats.report.running + stats.report.waiting)
        cost = requests / max(1.0, self.speeds.slots_of(runner.key, runner.slots))
        slowdown = self.speeds.slowdown(runner.key, requests / max(1, runner.slots))
        if slowdown != 1.0:
            cost = slowdown * (1.0 + cost) - 1.0
        cost += OTHER_ZONE_PENALTY * (runner.zone != self.zone)
        cost += FAILURE_PENALTY * max(0.0, stats.failure_rate - BASELINE_FAILURE_RATE)
        cost += BROKEN_ANSWER_PENALTY * self.broken_answers.count_of(runner.key)
        return cost + REACHABILITY_PENALTY[self.reachability_of(runner.key)]

    def note_outcome(self, runner: RunnerKey, failed: bool) -> None:
        """Update the failure rate of a runner with the outcome of a request."""
        stats = self._stats_of(runner)
        stats.failure_rate += OUTCOME_WEIGHT * (failed - stats.failure_rate)

    def note_broken_answer(self, runner: RunnerKey) -> None:
        """Record that an answer broke off; also counts as a failed request."""
        self.note_outcome(runner, failed=True)
        self.broken_answers.note(runner)

    def note_load(self, runner: RunnerKey, report: LoadReport) -> None:
        """Record the load that a runner reported."""
        stats = self._stats_of(runner)
        stats.report, stats.reported_at = report, self.now()

    def note_answer(
        self, runner: Registration, route: str, took_s: float, report: LoadReport | None
    ) -> None:
        """Record how long a runner took to begin an answer that it gave.

        Parameters
        ----------
        runner : Registration
        route : str
        took_s : float
        report : LoadReport or None
            The load report of that answer.
        """
        requests = (
            self.requests_of(runner.key)
            if report is None
            else report.running + report.waiting
        )
        load = requests / max(1, runner.slots)
        self.speeds.note_answer(runner.key, Work(runner.service, route), took_s, load)

    def forget(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self.stats_by_runner.pop(runner, None)

    def _stats_of(self, runner: RunnerKey) -> RunnerStats:
        return self.stats_by_runner.setdefault(runner, RunnerStats())
