"""Keeps the long-lived tasks of a host running.

An exception in one round of a task must not end what the host owes to others, since the
process lives on. A duty that fails is started again after a short delay; one that fails
again and again is reported.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from ..metrics.registry import Metrics
from .clock import monotonic
from .tasks import TaskSet

# Seconds before a duty that has failed is started again: at first, and at most.
FIRST_DELAY_S = 0.1
MAX_DELAY_S = 1.0
# Seconds without a failure after which a duty counts as kept again.
KEPT_S = 2.0
# Seconds after the first of a series of failures from which a duty counts as lost.
LOST_S = 2.0

Run = Callable[[], Coroutine[Any, Any, None]]
Report = Callable[["Duty", BaseException], None]


@dataclass(slots=True, eq=False)
class Duty:
    """What a host does for as long as it runs.

    Parameters
    ----------
    name : str
    detail : str
        What it is about, if there are several of the name.
    is_essential : bool
        Whether callers lose by a host that doesn't keep it.
    failures : int
        Failures since the start.
    failing_since : float or None
        Monotonic time of the first failure of the series; None while it is kept.
    last_error : str
    """

    name: str
    detail: str
    is_essential: bool
    failures: int = 0
    failing_since: float | None = None
    last_error: str = ""

    @property
    def failing_s(self) -> float:
        """Seconds since the first failure of the series; 0 while it is kept."""
        since = self.failing_since
        return 0.0 if since is None else monotonic() - since


class Duties:
    """The duties of a host.

    Parameters
    ----------
    tasks : TaskSet
        Runs the duties, and cancels them when it is closed.
    metrics : Metrics
    report : callable
        Called with the duty and the exception after each failure.
    """

    def __init__(self, tasks: TaskSet, metrics: Metrics, report: Report) -> None:
        self._tasks = tasks
        self._metrics = metrics
        self._report = report
        self._duties: list[Duty] = []

    def start(
        self, name: str, run: Run, detail: str = "", is_essential: bool = False
    ) -> asyncio.Task[Any]:
        """Keep a duty until its task is cancelled or the duty ends by itself.

        Parameters
        ----------
        name : str
            For metrics, the log and operators.
        run : callable
            Returns the coroutine that keeps the duty; called again after a failure.
        detail : str, default=""
        is_essential : bool, default=False
        """
        duty = Duty(name, detail, is_essential)
        self._duties.append(duty)
        return self._tasks.start(self._keep(duty, run), f"{name} {detail}".strip())

    def failing(self) -> list[Duty]:
        """Return the duties that aren't kept now."""
        return [duty for duty in self._duties if duty.failing_since is not None]

    @property
    def has_lost_essential(self) -> bool:
        """Whether a duty that callers need hasn't been kept for `LOST_S`."""
        return any(
            duty.is_essential and duty.failing_s > LOST_S for duty in self._duties
        )

    def export(self) -> None:
        """Set the gauges of the duties that aren't kept."""
        self._metrics.drop_gauges("duty_failing_seconds")
        for duty in self.failing():
            self._metrics.gauge(
                "duty_failing_seconds", duty.failing_s, duty=duty.name, of=duty.detail
            )

    async def _keep(self, duty: Duty, run: Run) -> None:
        delay_s = FIRST_DELAY_S
        try:
            while True:
                error = await self._run_once(duty, run)
                if error is None:
                    return
                if duty.failing_since is None:
                    delay_s = FIRST_DELAY_S
                self._note_failure(duty, error)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(MAX_DELAY_S, 2 * delay_s)
        finally:
            self._duties.remove(duty)

    async def _run_once(self, duty: Duty, run: Run) -> BaseException | None:
        """Run a duty until it fails; return why, or None if it has ended."""
        task = asyncio.create_task(run(), name=f"{duty.name} {duty.detail}".strip())
        try:
            await asyncio.wait({task}, timeout=KEPT_S)
            if not task.done():
                duty.failing_since = None
                await asyncio.wait({task})
        finally:
            if not task.done():
                # The duty is cancelled, and what it holds must be released first.
                task.cancel()
                with suppress(asyncio.CancelledError, Exception):
                    await task
        if task.cancelled():
            # Something else than the owner of the duty has cancelled it.
            return asyncio.CancelledError("cancelled from outside")
        return task.exception()

    def _note_failure(self, duty: Duty, error: BaseException) -> None:
        duty.failures += 1
        duty.last_error = repr(error)
        if duty.failing_since is None:
            duty.failing_since = monotonic()
        self._metrics.count("duty_failures", duty=duty.name)
        self._report(duty, error)
