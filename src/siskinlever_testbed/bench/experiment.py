"""Runs one experiment: a new fleet, a load and optionally a disturbance."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

from ..fleet import Fleet, running_fleet
from .accounting import Details, Row, Window, make_details, make_row
from .generator import Generator, Result
from .limit import capacity, limit
from .scenarios import Scenario
from .workloads import Workload, arrivals

START_DELAY_S = 0.2
MAX_APPLY_ATTEMPTS = 2
MAX_FLEET_ATTEMPTS = 3


class FleetNotReadyError(Exception):
    """Raised when hosts do not confirm the declaration; no load has been sent."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """Parameters of one run.

    Parameters
    ----------
    window : Window
        Part of the run that is counted. Arrivals start at 0 s and stop at its
        end; a disturbance starts at its start.
    """

    scenario: Scenario
    workload: Workload
    policy: str
    seed: int
    window: Window


async def run_experiment(
    experiment: Experiment, directory: Path
) -> tuple[Row, Details]:
    """Run one experiment on a new fleet.

    A fleet whose hosts do not confirm the declaration is stopped and replaced
    by another, up to `MAX_FLEET_ATTEMPTS` fleets in total.

    Raises
    ------
    FleetNotReadyError
        If the hosts of the last fleet do not confirm it either.
    """
    for number in range(MAX_FLEET_ATTEMPTS - 1):
        try:
            return await _run_on_fleet(experiment, directory / str(number))
        except FleetNotReadyError:
            continue
    return await _run_on_fleet(experiment, directory / "last")


async def _run_on_fleet(experiment: Experiment, directory: Path) -> tuple[Row, Details]:
    async with running_fleet(
        experiment.workload.plan(experiment.policy), directory
    ) as fleet:
        await _apply(fleet)
        row, details, _ = await run_load(experiment, fleet)
        return row, details


async def _apply(fleet: Fleet) -> None:
    """Apply the declaration, with retries.

    Hosts on a busy machine can confirm it too late.
    """
    for _ in range(MAX_APPLY_ATTEMPTS):
        if await fleet.apply() == 0:
            return
    raise FleetNotReadyError(f"the declaration was not confirmed: {fleet.directory}")


async def run_load(
    experiment: Experiment, fleet: Fleet
) -> tuple[Row, Details, list[Result]]:
    """Send the load of an experiment to a running fleet and evaluate the results."""
    scenario, workload = experiment.scenario, experiment.workload
    rate = scenario.load * capacity(workload)
    duration_s = experiment.window.end_s
    planned_arrivals = await asyncio.to_thread(
        list,
        arrivals(workload, rate, duration_s, experiment.seed, scenario.cancel_share),
    )
    generator = Generator(fleet, workload)
    started_at = time.monotonic() + START_DELAY_S
    disturbance = asyncio.create_task(_run_disturbance(experiment, fleet, started_at))
    await generator.run(planned_arrivals, started_at)
    await disturbance
    results = generator.results
    row = await asyncio.to_thread(
        make_row,
        (scenario.name, experiment.policy, experiment.seed),
        results,
        experiment.window,
        fleet,
        workload,
        limit(workload, rate),
    )
    details = make_details(results, experiment.window, generator.max_lag_s)
    return row, details, results


async def _run_disturbance(
    experiment: Experiment, fleet: Fleet, started_at: float
) -> None:
    if experiment.scenario.disturbance is None:
        return
    await asyncio.sleep(started_at + experiment.window.start_s - time.monotonic())
    await experiment.scenario.disturbance(fleet)
