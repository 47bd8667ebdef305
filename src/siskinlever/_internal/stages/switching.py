"""Engines that were ordered to change their stage, until it shows in the store."""

from __future__ import annotations

from dataclasses import dataclass

from ..models.upstreams import RunnerKey, Stage
from ..utils.clock import monotonic

# The registration shows the new stage some seconds after the engine serves it.
REGISTRATION_DELAY_S = 6.0


@dataclass(frozen=True, slots=True)
class StageSwitch:
    """A change of an engine's stage.

    Parameters
    ----------
    stage : Stage
        The new one.
    unavailable_s : float
        Seconds for which the engine takes no requests from now.
    """

    stage: Stage
    unavailable_s: float


class StageSwitches:
    """The changes that this host has ordered, with their ends."""

    def __init__(self) -> None:
        self._by_runner: dict[RunnerKey, tuple[Stage, float]] = {}

    def begin(self, runner: RunnerKey, stage: Stage, duration_s: float) -> None:
        """Note that an engine changes its stage and takes no requests meanwhile."""
        self._by_runner[runner] = (stage, monotonic() + duration_s)

    def done(self, runner: RunnerKey) -> None:
        """Note that an engine serves its new stage."""
        if runner in self._by_runner:
            self._by_runner[runner] = (self._by_runner[runner][0], monotonic())

    def cancel(self, runner: RunnerKey) -> None:
        """Note that an engine keeps its stage."""
        self._by_runner.pop(runner, None)

    def by_runner(self) -> dict[RunnerKey, StageSwitch]:
        """Return the changes that registrations may not show yet."""
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
