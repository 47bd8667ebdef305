"""Shows operators how fast each runner is estimated to be, in metrics and log lines."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..dispatch.runner_speed import RunnerSpeeds
from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.upstreams import RunnerKey

# A runner is logged as slow from the first slowdown on, and as normal again from the
# second one down, so that an estimate in between writes nothing.
SLOW_FROM, NORMAL_UP_TO = 1.8, 1.3
# Shortest time in seconds between two lines about one runner.
LINE_INTERVAL_S = 10.0
# Runners with series of their own: those that differ most from normal.
MAX_SERIES = 64


@dataclass(slots=True)
class SpeedReports:
    """Reports the estimates of a host.

    Parameters
    ----------
    speeds : RunnerSpeeds
    log : LogLines
    metrics : Metrics
    """

    speeds: RunnerSpeeds
    log: LogLines
    metrics: Metrics
    _slow_since: dict[RunnerKey, float] = field(default_factory=dict)
    _logged_at: dict[RunnerKey, float] = field(default_factory=dict)

    def check(self, runner: RunnerKey) -> None:
        """Log a runner whose estimate has crossed a threshold."""
        slowdown, now = self.speeds.usual_slowdown(runner), self.speeds.now()
        was_slow = runner in self._slow_since
        is_slow = slowdown >= (NORMAL_UP_TO if was_slow else SLOW_FROM)
        recent = now - self._logged_at.get(runner, -math.inf) < LINE_INTERVAL_S
        if is_slow == was_slow or recent:
            return
        if is_slow:
            self._slow_since[runner] = now
        else:
            del self._slow_since[runner]
        self._logged_at[runner] = now
        estimate = self.speeds.estimate_of(runner)
        self.log.write(
            "runner.slow" if is_slow else "runner.normal_speed",
            runner=runner.name,
            slowdown=round(slowdown, 2),
            evidence=estimate.evidence.value,
            report_age_s=_shown(estimate.report_age_s),
            answer_age_s=_shown(estimate.answer_age_s),
        )

    def export(self) -> None:
        """Set the metrics of the runners that differ most from normal."""
        names = ("runner_slowdown", "runner_usual_slowdown", "runner_speed_age_seconds")
        for name in names:
            self.metrics.drop_gauges(name)
        usual = {key: self.speeds.usual_slowdown(key) for key in self.speeds.runners()}
        shown = sorted(usual, key=lambda key: -abs(math.log(usual[key])))
        for key in shown[:MAX_SERIES]:
            estimate = self.speeds.estimate_of(key)
            age_s = min(estimate.report_age_s, estimate.answer_age_s)
            values = (estimate.slowdown, usual[key], age_s)
            for name, value in zip(names, values, strict=True):
                self.metrics.gauge(name, round(value, 3), runner=key.name)

    def forget(self, runner: RunnerKey) -> None:
        """Remove what is known of a process that is gone."""
        self._slow_since.pop(runner, None)
        self._logged_at.pop(runner, None)


def _shown(age_s: float) -> float | None:
    return round(age_s, 3) if math.isfinite(age_s) else None
