"""Polls the load reports of runners for the pools whose home is this host."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from ..engines.registry import Engines
from ..exceptions import EngineError
from ..metrics.registry import Metrics
from ..models.declaration import Runner
from ..utils.tasks import TaskSet
from .scheduler import PoolScheduler

REPORT_PERIOD_S = 0.25
# Consecutive failed reads after which a runner is closed. One failed read is enough
# if the runner cannot have run the request (`EngineError.started` is false), usually
# because it cannot be reached.
FAILURES_TO_CLOSE = 2


class RunnerMonitor:
    """Closes runners that are leaving or do not answer, so they get no new work.

    `LeavingRunners` tracks leaving runners for all hosts. This class serves the
    admission home only, and also detects runners that do not answer.

    Parameters
    ----------
    schedulers : callable
        Returns the schedulers of the pools whose home is this host.
    """

    def __init__(
        self,
        schedulers: Callable[[], Iterable[PoolScheduler]],
        engines: Engines,
        metrics: Metrics,
    ) -> None:
        self._schedulers = schedulers
        self._engines = engines
        self._metrics = metrics
        self._failures_by_runner: Counter[str] = Counter()
        self._reading: set[str] = set()

    async def run(self, tasks: TaskSet) -> None:
        """Read reports periodically until cancelled."""
        while True:
            for scheduler in self._schedulers():
                for runner in scheduler.pool.runners:
                    if runner.name not in self._reading:
                        tasks.start(self._read(scheduler, runner), "load-report")
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _read(self, scheduler: PoolScheduler, runner: Runner) -> None:
        self._reading.add(runner.name)
        try:
            report = await self._engines.at(runner.address).load()
        except EngineError as error:
            self._record_failure(scheduler, runner, error)
            return
        finally:
            self._reading.discard(runner.name)
        del self._failures_by_runner[runner.name]
        self._set_closed(scheduler, runner, report.leaving)

    def _record_failure(
        self, scheduler: PoolScheduler, runner: Runner, error: EngineError
    ) -> None:
        self._metrics.count("load_report_failures", runner=runner.name)
        self._failures_by_runner[runner.name] += 1
        unreachable = not error.started
        if unreachable or self._failures_by_runner[runner.name] >= FAILURES_TO_CLOSE:
            self._set_closed(scheduler, runner, True)

    def _set_closed(
        self, scheduler: PoolScheduler, runner: Runner, closed: bool
    ) -> None:
        if closed == (runner.name in scheduler.closed):
            return
        self._metrics.count("runners_closed" if closed else "runners_opened")
        if closed:
            scheduler.closed.add(runner.name)
        else:
            scheduler.closed.discard(runner.name)
