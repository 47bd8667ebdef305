"""Stage changes that registrations in the store may not show yet."""

from __future__ import annotations

from dataclasses import dataclass

from ..models.upstreams import RunnerKey, Stage
from ..utils.clock import monotonic

# Seconds from the time at which an engine serves its new stage until its
# registration in the store shows that stage.
REGISTRATION_DELAY_S = 6.0


@dataclass(frozen=True, slots=True)
class StageSwitch:
    """A stage change that is in progress or recently completed.

    Parameters
    ----------
    stage : Stage
        The new stage.
    unavailable_s : float
        Seconds from now for which the engine accepts no requests; 0 if it serves
        the new stage.
    """

    stage: Stage
    unavailable_s: float


class StageSwitches:
    """Stage changes in progress or recently completed, with expected end times.

    Contains only changes that this host ordered or observed.
    """

    def __init__(self) -> None:
        self._by_runner: dict[RunnerKey, tuple[Stage, float]] = {}

    def begin(self, runner: RunnerKey, stage: Stage, duration_s: float) -> None:
        """Record that an engine changes its stage.

        The engine accepts no requests for `duration_s` seconds.
        """
        self._by_runner[runner] = (stage, monotonic() + duration_s)

    def complete(self, runner: RunnerKey) -> None:
        """Record that an engine serves its new stage, if a change is recorded."""
        if runner in self._by_runner:
            self._by_runner[runner] = (self._by_runner[runner][0], monotonic())

    def cancel(self, runner: RunnerKey) -> None:
        """Discard the change of an engine that keeps its stage."""
        self._by_runner.pop(runner, None)

    def by_runner(self) -> dict[RunnerKey, StageSwitch]:
        """Return the changes that registrations may not show yet; drop older ones."""
        now = monotonic()
        self._by_runner = {
            runner: (stage, until)
            for runner, (stage, until) in self._by_runner.items()
            if until + REGISTRATION_DELAY_S > now
        }
        return {
            runner: StageSwitch(stage, max(0.0, until - now))
            for runner, (stage, until) in self._by_runner.items()
        }
