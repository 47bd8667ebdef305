"""Limits that runners state on the requests that all hosts together send them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..logs.lines import LogLines
from ..metrics.registry import Metrics
from ..models.upstreams import RunnerKey
from ..utils.clock import monotonic


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """The newest statement of a runner about its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all hosts together; None if the limit has ended.
    stated_at : float
        Monotonic time of the statement.
    """

    per_s: float | None
    stated_at: float


class RunnerLimits:
    """Limits stated by runners.

    Parameters
    ----------
    log : LogLines
    metrics : Metrics
    now : callable, default=monotonic
    """

    def __init__(
        self, log: LogLines, metrics: Metrics, now: Callable[[], float] = monotonic
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._now = now
        self.stated_by_runner: dict[RunnerKey, StatedLimit] = {}

    def note(self, runner: RunnerKey, per_s: float | None) -> None:
        """Record the limit that a runner stated in an answer, or its absence."""
        before = self.stated_by_runner.get(runner)
        if before is None and per_s is None:
            return
        self.stated_by_runner[runner] = StatedLimit(per_s, self._now())
        if before is None or before.per_s != per_s:
            self._metrics.count("runner_limit_changes")
            self._log.write(
                "runner.limit",
                runner=runner.name,
                started_at=runner.started_at,
                before=before.per_s if before else None,
                after=per_s,
            )
