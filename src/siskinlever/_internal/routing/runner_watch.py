"""Watches the load reports of runners for the pools that this host is home of."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from ..engines.registry import Engines
from ..exceptions import EngineError
from ..metrics.registry import Metrics
from ..models.declaration import Runner
from ..utils.tasks import TaskSet
from .book import PoolBook

REPORT_PERIOD_S = 0.25
FAILURES_TO_CLOSE = 2


class RunnerWatch:
    """Closes runners that leave or do not answer to new work.

    Parameters
    ----------
    books : callable
        Returns the books of the pools that this host is home of.
    """

    def __init__(
        self,
        books: Callable[[], Iterable[PoolBook]],
        engines: Engines,
        metrics: Metrics,
    ) -> None:
        self._books = books
        self._engines = engines
        self._metrics = metrics
        self._failures_by_runner: Counter[str] = Counter()
        self._reading: set[str] = set()

    async def run(self, tasks: TaskSet) -> None:
        """Read reports at intervals until cancelled."""
        while True:
            for book in self._books():
                for runner in book.pool.runners:
                    if runner.name not in self._reading:
                        tasks.start(self._read(book, runner), "load-report")
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _read(self, book: PoolBook, runner: Runner) -> None:
        self._reading.add(runner.name)
        try:
            report = await self._engines.at(runner.address).load()
        except EngineError as error:
            self._failed(book, runner, error)
            return
        finally:
            self._reading.discard(runner.name)
        del self._failures_by_runner[runner.name]
        self._close(book, runner, report.leaving)

    def _failed(self, book: PoolBook, runner: Runner, error: EngineError) -> None:
        self._metrics.count("load_report_failures", runner=runner.name)
        self._failures_by_runner[runner.name] += 1
        not_reached = not error.started
        if not_reached or self._failures_by_runner[runner.name] >= FAILURES_TO_CLOSE:
            self._close(book, runner, True)

    def _close(self, book: PoolBook, runner: Runner, closed: bool) -> None:
        if closed == (runner.name in book.closed):
            return
        self._metrics.count("runners_closed" if closed else "runners_opened")
        if closed:
            book.closed.add(runner.name)
        else:
            book.closed.discard(runner.name)
