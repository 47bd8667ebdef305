"""Estimates how slow each runner is now, and at which load it becomes slow.

The load that this addresses: runners of one service on machines of different speeds, of
which some become 2.5 times slower for spells of about 0.6 s, and some slow down long
before all of their slots are in use.

An estimate is the product of two factors. The first is the work time that the runner
reports in its answers. It is current when it arrives and decays to the mean of the
earlier ones. The second is learned from how long answers took: the logarithm of the
time, less that of the usual time of such work on all runners and of the reported work
time, is averaged by runner and by level of load. It is compared with the median of the
runners of the service, since a burst slows all of them, and counts only if it differs
by more than noise.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from statistics import median
from typing import NamedTuple

from ..models.upstreams import LoadReport, RunnerKey
from ..utils.clock import monotonic

# Seconds in which a reported work time loses all but 1/e of its distance from the mean.
# Machines are slow for spells of about 0.6 s, half of which has passed on average.
REPORT_DECAY_S = 0.35
# Seconds over which the reported work times are averaged: several spells.
MEAN_REPORT_S = 5.0
# Seconds over which the times of answers are averaged, so that a change is followed
# within one to two seconds.
ANSWER_AVERAGE_S = 1.5
# Limits on the weight of one observation. A single answer says little, and many that
# arrive at once are about the same moment.
MIN_WEIGHT, MAX_WEIGHT = 0.05, 0.3
# Weight of one observation in what is learned about a level of load or kind of work.
SLOW_WEIGHT = 0.05
# Seconds after which an estimate that no observation has confirmed loses half of its
# distance from normal.
STALE_HALF_LIFE_S = 10.0
# A reported work time or a ratio of times beyond this is taken as this.
MAX_SLOWDOWN = 10.0
# Observations of a runner before its times count. The first ones include caches that
# are being filled.
MIN_ANSWERS = 8
# Smallest ratio to the median that counts. Smaller ones matter less than the queues.
MIN_RATIO = 1.3
# A ratio counts if it exceeds this many times the error of the average, taken from the
# mean absolute error. With 3, 8 of 1,000 estimates of equal runners were not normal.
NOISE_FACTOR = 5.0
# A level of load is slow if answers take this many times as long as at the lowest.
SLOW_LEVEL_RATIO = 1.5
# A runner this slow that has not answered for `RECHECK_S` gets one request at a time
# from each host until it answers again.
SUSPECT_SLOWDOWN = 1.5
RECHECK_S = 0.5
# Seconds after which a request that brought no answer no longer holds back others: it
# may have failed to reach the runner.
RECHECK_WAIT_S = 2.0
# Bounds on memory. Processes that are gone are forgotten by key; late answers may name
# them again.
MAX_RUNNERS = 4096
MAX_KINDS = 256
# Seconds for which the median over the runners of a service is reused.
MEDIAN_AGE_S = 0.1
# Levels of load, by their lower bound in requests per slot.
LEVEL_BOUNDS = (0.0, 0.35, 0.7, 1.0)


class Work(NamedTuple):
    """A kind of work that takes about the same time on equal runners.

    Parameters
    ----------
    group : str
        The runners that are compared: a service, or one stage of it.
    kind : str
    """

    group: str
    kind: str


class Evidence(Enum):
    """What the estimate of a runner rests on."""

    NOTHING = "nothing"
    REPORT = "report"
    ANSWERS = "answers"
    BOTH = "both"


@dataclass(slots=True)
class _Usual:
    time: float
    answers: int = 0


@dataclass(slots=True)
class _Level:
    offset: float = 0.0
    answers: int = 0


@dataclass(slots=True)
class _Runner:
    """Observations of one runner; times are logarithms of ratios."""

    mean_work: float = 1.0
    last_work: float = 1.0
    reports: int = 0
    reported_at: float = -math.inf
    group: str | None = None
    time: float = 0.0
    spread: float = 0.0
    answers: int = 0
    answered_at: float = -math.inf
    # When this host sent the first request since the newest observation.
    sent_at: float = -math.inf
    levels: list[_Level] = field(
        default_factory=lambda: [_Level() for _ in LEVEL_BOUNDS]
    )

    def rise(self, index: int) -> float:
        """Return how much longer answers take than at the lowest level seen."""
        seen = [level.offset for level in self.levels if level.answers >= MIN_ANSWERS]
        is_seen = self.levels[index].answers >= MIN_ANSWERS
        return self.levels[index].offset - seen[0] if is_seen else 0.0

    @property
    def observed_at(self) -> float:
        return max(self.reported_at, self.answered_at)


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """Estimate of one runner, for operators.

    Parameters
    ----------
    slowdown : float
        1.0 is normal.
    evidence : Evidence
    report_age_s, answer_age_s : float
        Seconds since the newest report and answer; infinite if there was none.
    """

    slowdown: float
    evidence: Evidence
    report_age_s: float
    answer_age_s: float


@dataclass(slots=True)
class RunnerSpeeds:
    """Learns the speed of each runner from its answers.

    Parameters
    ----------
    now : callable, default=monotonic
    """

    now: Callable[[], float] = monotonic
    _by_runner: dict[RunnerKey, _Runner] = field(default_factory=dict)
    _usual_by_work: dict[Work, _Usual] = field(default_factory=dict)
    _medians_by_group: dict[str, tuple[tuple[float, ...], float]] = field(
        default_factory=dict
    )

    def note_load(self, runner: RunnerKey, report: LoadReport) -> None:
        """Record the work time that a runner reported, if it did."""
        if report.work_time is None or not report.work_time > 0:
            return
        known, now = self._known(runner), self.now()
        work = min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, report.work_time))
        known.reports += 1
        # Weighted by time alone: a busy runner reports many times in one spell.
        share = 1.0 - math.exp(-(now - known.reported_at) / MEAN_REPORT_S)
        weight = max(min(MAX_WEIGHT, share), 1.0 / known.reports)
        known.mean_work += weight * (work - known.mean_work)
        known.last_work, known.reported_at, known.sent_at = work, now, -math.inf

    def note_answer(
        self, runner: RunnerKey, work: Work, took_s: float, load: float
    ) -> None:
        """Record how long a runner took for work that it finished.

        Parameters
        ----------
        runner : RunnerKey
        work : Work
        took_s : float
            Seconds until the answer began, or for one unit of the work.
        load : float
            Requests per slot that the runner had at that time.
        """
        if not took_s > 0:
            return
        known, now = self._known(runner), self.now()
        # Requests beyond the slots wait at any runner.
        time = math.log(took_s / (self._work_time(known, now) * max(1.0, load)))
        usual = self._usual_by_work.get(work)
        if usual is None:
            if len(self._usual_by_work) >= MAX_KINDS:
                del self._usual_by_work[next(iter(self._usual_by_work))]
            usual = self._usual_by_work[work] = _Usual(time)
        level = known.levels[_level_of(load)]
        limit = math.log(MAX_SLOWDOWN)
        error = max(-limit, min(limit, time - usual.time - known.time - level.offset))
        usual.answers += 1
        usual.time += max(SLOW_WEIGHT, 1.0 / usual.answers) * error
        known.answers += 1
        weight = _weight(now - known.answered_at, ANSWER_AVERAGE_S)
        known.time += max(weight, 0.5 / known.answers) * error
        known.spread += max(0.1, 1.0 / known.answers) * (abs(error) - known.spread)
        level.answers += 1
        level.offset += SLOW_WEIGHT * error
        known.group, known.answered_at, known.sent_at = work.group, now, -math.inf

    def note_sent(self, runner: RunnerKey) -> None:
        """Record that this host sends a request to a runner."""
        known = self._by_runner.get(runner)
        if known is not None and self.now() - known.sent_at > RECHECK_WAIT_S:
            known.sent_at = self.now()

    def slowdown(self, runner: RunnerKey, load: float = 0.0) -> float:
        """Return how many times the usual time work takes at a runner; 1.0 is normal.

        Parameters
        ----------
        runner : RunnerKey
        load : float, default=0.0
            Requests per slot that it has.
        """
        known = self._by_runner.get(runner)
        if known is None:
            return 1.0
        now = self.now()
        estimate = self._work_time(known, now) * self._ratio(known, load, now)
        is_rechecked = now - known.sent_at <= RECHECK_WAIT_S
        if is_rechecked and now - known.observed_at > RECHECK_S:
            # It may have recovered, but the request that is to tell is still running.
            last = known.last_work * self._ratio(known, load, now, decays=False)
            if last > SUSPECT_SLOWDOWN:
                estimate = max(estimate, last)
        return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, estimate))

    def usual_slowdown(self, runner: RunnerKey) -> float:
        """Return the slowdown over several spells, for work that lasts for seconds."""
        known = self._by_runner.get(runner)
        if known is None:
            return 1.0
        now = self.now()
        fresh = _freshness(now - known.reported_at) if known.reports else 0.0
        mean = 1.0 + (known.mean_work - 1.0) * fresh
        return min(
            MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, mean * self._ratio(known, 0.0, now))
        )

    def slots_of(self, runner: RunnerKey, registered: int) -> float:
        """Return how many requests a runner handles well at a time.

        Parameters
        ----------
        runner : RunnerKey
        registered : int
            Slots of its registration.
        """
        known = self._by_runner.get(runner)
        if known is None or known.answers < MIN_ANSWERS:
            return float(registered)
        now = self.now()
        if known.group is None or now - known.answered_at > STALE_HALF_LIFE_S:
            return float(registered)
        needed = max(math.log(SLOW_LEVEL_RATIO), self._noise(known))
        _, *usual_rises = self._medians(known.group, now)
        for index in range(1, len(LEVEL_BOUNDS)):
            if known.rise(index) - usual_rises[index] > needed:
                return max(1.0, registered * LEVEL_BOUNDS[index])
        return float(registered)

    def estimate_of(self, runner: RunnerKey) -> SpeedEstimate:
        """Return the estimate of a runner and the age of what it rests on."""
        known, now = self._by_runner.get(runner) or _Runner(), self.now()
        evidence = {
            (False, False): Evidence.NOTHING,
            (True, False): Evidence.REPORT,
            (False, True): Evidence.ANSWERS,
            (True, True): Evidence.BOTH,
        }[known.reports > 0, known.answers >= MIN_ANSWERS]
        return SpeedEstimate(
            self.slowdown(runner),
            evidence,
            now - known.reported_at,
            now - known.answered_at,
        )

    def runners(self) -> list[RunnerKey]:
        """Return the runners of which anything is known."""
        return list(self._by_runner)

    def forget(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self._by_runner.pop(runner, None)

    def _known(self, runner: RunnerKey) -> _Runner:
        known = self._by_runner.get(runner)
        if known is None:
            if len(self._by_runner) >= MAX_RUNNERS:
                del self._by_runner[next(iter(self._by_runner))]
            known = self._by_runner[runner] = _Runner()
        return known

    def _work_time(self, known: _Runner, now: float) -> float:
        if not known.reports:
            return 1.0
        age_s = now - known.reported_at
        mean = 1.0 + (known.mean_work - 1.0) * _freshness(age_s)
        return mean + (known.last_work - mean) * math.exp(-age_s / REPORT_DECAY_S)

    def _ratio(
        self, known: _Runner, load: float, now: float, decays: bool = True
    ) -> float:
        """Return the ratio of a runner's times to the median, or 1.0 within noise."""
        if known.answers < MIN_ANSWERS or known.group is None:
            return 1.0
        index = _level_of(load)
        usual_time, *usual_rises = self._medians(known.group, now)
        difference = known.time - usual_time
        difference += known.rise(index) - usual_rises[index]
        if abs(difference) <= max(math.log(MIN_RATIO), self._noise(known)):
            return 1.0
        fresh = _freshness(now - known.answered_at) if decays else 1.0
        return math.exp(difference * fresh)

    def _noise(self, known: _Runner) -> float:
        # Error of an average whose newest value weighs `MAX_WEIGHT`.
        share = math.sqrt(MAX_WEIGHT / (2 - MAX_WEIGHT))
        return NOISE_FACTOR * known.spread * share

    def _medians(self, group: str, now: float) -> tuple[float, ...]:
        """Return the medians of the runners that were timed recently.

        The first is that of their times, the others of the rise by level of load: all
        runners take longer when requests wait.
        """
        empty = (0.0,) * (1 + len(LEVEL_BOUNDS)), -math.inf
        values, computed_at = self._medians_by_group.get(group, empty)
        if now - computed_at <= MEDIAN_AGE_S:
            return values
        timed = [
            known
            for known in self._by_runner.values()
            if known.group == group
            and known.answers >= MIN_ANSWERS
            and now - known.answered_at <= STALE_HALF_LIFE_S
        ]
        # Where no runner was timed recently, their last medians are still what they
        # were compared with.
        if timed:
            rises = [
                median(known.rise(index) for known in timed)
                for index in range(len(LEVEL_BOUNDS))
            ]
            values = (median(known.time for known in timed), *rises)
        self._medians_by_group[group] = values, now
        return values


def _weight(age_s: float, average_s: float) -> float:
    return min(MAX_WEIGHT, max(MIN_WEIGHT, 1.0 - math.exp(-age_s / average_s)))


def _freshness(age_s: float) -> float:
    return math.exp2(-age_s / STALE_HALF_LIFE_S)


def _level_of(load: float) -> int:
    return max(i for i, bound in enumerate(LEVEL_BOUNDS) if load >= bound or i == 0)
