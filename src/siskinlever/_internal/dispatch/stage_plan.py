"""How many engines of a service read prompts and how many produce output.

Answers a mix of long prompts and long answers that changes, and engines that
come and go: the engines are divided as the work of both stages is, measured
over some seconds. A change costs an engine for seconds, so it must be worth
most of an engine, and the next one waits until the last has taken effect.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..models.upstreams import Registration, Stage

# Until work was measured: prompts of 3,000 tokens are read in 0.1 s, and their
# answers of some hundred tokens take a tenth of an engine for seconds.
INITIAL_PREFILL_SHARE = 0.2
# A change must bring the division closer by this many engines.
HYSTERESIS_ENGINES = 0.75
# Measured work below this says little about the mix, in engines.
MIN_WORK_ENGINES = 0.4


@dataclass(frozen=True, slots=True)
class StageWork:
    """Work of both stages, in engines that it keeps busy."""

    prefill: float
    decode: float

    @property
    def is_small(self) -> bool:
        """Whether an engine that changes its stage is hardly missed."""
        return self.prefill + self.decode < MIN_WORK_ENGINES

    @property
    def prefill_share(self) -> float:
        """The share of the engines that prefill should have."""
        total = self.prefill + self.decode
        if total < MIN_WORK_ENGINES:
            return INITIAL_PREFILL_SHARE
        # A short measurement of little work leans on the initial share.
        weight = total / (total + MIN_WORK_ENGINES)
        return weight * self.prefill / total + (1 - weight) * INITIAL_PREFILL_SHARE


@dataclass(frozen=True, slots=True)
class StageChange:
    """One engine that is to change its stage."""

    runner: Registration
    stage: Stage


def next_change(runners: Sequence[Registration], work: StageWork) -> StageChange | None:
    """Return the change that is worth its cost, or None.

    Parameters
    ----------
    runners : sequence of Registration
        The usable engines of one service.
    work : StageWork
    """
    prefill = [runner for runner in runners if runner.stage is Stage.PREFILL]
    decode = [runner for runner in runners if runner.stage is Stage.DECODE]
    total = len(prefill) + len(decode)
    if prefill and not decode:
        # A decode engine alone serves all; prefill engines alone serve nothing.
        return StageChange(_from_largest_zone(prefill), Stage.DECODE)
    if total < 2:
        return None
    desired_prefill = min(max(work.prefill_share * total, 1.0), total - 1.0)
    surplus = len(prefill) - desired_prefill
    if surplus >= HYSTERESIS_ENGINES and len(prefill) > 1:
        return StageChange(_from_largest_zone(prefill), Stage.DECODE)
    if -surplus >= HYSTERESIS_ENGINES and len(decode) > 1:
        return StageChange(_from_largest_zone(decode), Stage.PREFILL)
    return None


def _from_largest_zone(runners: Sequence[Registration]) -> Registration:
    """Return a runner of the zone that has most, so that none is emptied."""
    zones = [runner.zone for runner in runners]
    return max(runners, key=lambda runner: (zones.count(runner.zone), runner.key.name))
