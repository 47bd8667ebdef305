"""The naive policy, a baseline for benchmarks.

Prefill runners are chosen by round robin and decode runners by least reported
load. Nothing is reserved, and no request is refused for load. A failed request is
retried when the executor places it a second time.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count

from expression import Error, Ok, Result

from ..configuration.current import CurrentConfiguration
from ..models.declaration import Role, Runner
from ..models.outcome import Reason, Refused
from ..models.work import Grant, PlacementRequest
from .placement import Reservation
from .reports import LoadReports

NO_RUNNER_RETRY_S = 1.0


@dataclass(slots=True)
class NaiveReservation:
    """The runners chosen for a request, without reserved slots."""

    grant: Grant

    def prefill_ended(self) -> None:
        """Do nothing, as no slot is reserved."""


class NaivePlacement:
    """Chooses prefill runners in turn and decode runners by least reported load.

    Parameters
    ----------
    current : CurrentConfiguration
    reports : LoadReports
    """

    def __init__(self, current: CurrentConfiguration, reports: LoadReports) -> None:
        self._current = current
        self._reports = reports
        self._round_robin = count()

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Reservation, Refused]]:
        """Choose runners, or refuse if none takes new work."""
        grant = self.choose(request)
        if grant is None:
            yield Error(
                Refused(Reason.NO_RUNNER, NO_RUNNER_RETRY_S, "no runner takes new work")
            )
            return
        yield Ok(NaiveReservation(grant))

    def choose(self, request: PlacementRequest) -> Grant | None:
        """Return a prefill and a decode runner, or None if a role has none."""
        prefill = self.available_runners(request, Role.PREFILL)
        decode = self.available_runners(request, Role.DECODE)
        if not prefill or not decode:
            return None
        return Grant(
            request.reservation_id,
            prefill[next(self._round_robin) % len(prefill)],
            min(decode, key=self.reported_load),
        )

    def available_runners(self, request: PlacementRequest, role: Role) -> list[Runner]:
        """Return the runners of a role that take new work."""
        declaration = self._current.declaration
        pool = declaration.pool_by_name[request.model.pool] if declaration else None
        return [
            runner
            for runner in (pool.runners if pool else ())
            if runner.role is role
            and not runner.leaving
            and not self._reports_leaving(runner)
            and runner.name not in request.excluded_runners
        ]

    def reported_load(self, runner: Runner) -> int:
        """Return the running and waiting requests in a runner's last report."""
        report = self._reports.by_runner.get(runner.name)
        return report.running + report.waiting if report else 0

    def _reports_leaving(self, runner: Runner) -> bool:
        report = self._reports.by_runner.get(runner.name)
        return report is not None and report.leaving
