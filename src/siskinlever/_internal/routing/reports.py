"""Reads the load reports of runners periodically."""

from __future__ import annotations

import asyncio

from ..configuration.current import CurrentConfiguration
from ..engines.base import EngineLoadReport
from ..engines.registry import Engines
from ..exceptions import EngineError
from ..models.declaration import Runner

REPORT_PERIOD_S = 0.25


class LoadReports:
    """The latest load report of each runner.

    Parameters
    ----------
    current : CurrentConfiguration
    engines : Engines

    Attributes
    ----------
    by_runner : dict
        Latest report by runner name; absent for a runner whose last read failed.
    """

    def __init__(self, current: CurrentConfiguration, engines: Engines) -> None:
        self._current = current
        self._engines = engines
        self.by_runner: dict[str, EngineLoadReport] = {}

    async def run(self) -> None:
        """Read the reports of all runners periodically until cancelled."""
        while True:
            declaration = self._current.declaration
            runners = declaration.runner_by_name.values() if declaration else ()
            await asyncio.gather(*(self._read(runner) for runner in runners))
            await asyncio.sleep(REPORT_PERIOD_S)

    async def _read(self, runner: Runner) -> None:
        try:
            report = await self._engines.at(runner.address).load()
        except EngineError:
            self.by_runner.pop(runner.name, None)
            return
        self.by_runner[runner.name] = report
