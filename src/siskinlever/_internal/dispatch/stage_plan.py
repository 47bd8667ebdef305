"""Plans how many engines of a service prefill and how many decode.

The mix of long prompts and long answers changes, and engines are added and
removed. Engines are divided between the stages in proportion to their work,
averaged over several seconds. A stage change takes an engine out of service for
seconds. It is therefore made only if the division deviates from the desired one
by most of an engine. `StageOrders` also waits until the previous change has taken
effect, unless the service has little work.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from ..models.upstreams import Registration, Stage

# Share of prefill engines that is assumed while there is little work. A prompt of
# 3,000 tokens takes 0.1 s to prefill, and its answer of a few hundred tokens
# occupies a tenth of a decode engine for seconds.
INITIAL_PREFILL_SHARE = 0.2
# Minimum deviation from the desired division, in engines, that justifies a change.
HYSTERESIS_ENGINES = 0.75
# Minimum work, in busy engines, from which the mix of the stages can be estimated.
MIN_WORK_ENGINES = 0.4


@dataclass(frozen=True, slots=True)
class StageWork:
    """Work of each stage, as the number of engines that it keeps busy."""

    prefill: float
    decode: float

    @property
    def is_small(self) -> bool:
        """Whether there is so little work that an engine can be spared for a change."""
        return self.prefill + self.decode < MIN_WORK_ENGINES

    @property
    def prefill_share(self) -> float:
        """Desired share of prefill engines, from 0 to 1."""
        total = self.prefill + self.decode
        if total < MIN_WORK_ENGINES:
            return INITIAL_PREFILL_SHARE
        # Little work says little about the mix, so the initial share counts the more
        # the less work there is.
        weight = total / (total + MIN_WORK_ENGINES)
        return weight * self.prefill / total + (1 - weight) * INITIAL_PREFILL_SHARE


@dataclass(frozen=True, slots=True)
class StageChange:
    """A planned change of one engine's stage."""

    runner: Registration
    stage: Stage


def next_change(runners: Sequence[Registration], work: StageWork) -> StageChange | None:
    """Return the next change that justifies its cost, or None.

    The plan keeps at least one engine of each stage if there are two or more, and one
    decode engine of each software version, so that the streams that it began can go on.

    Parameters
    ----------
    runners : sequence of Registration
        The usable engines of one service. An engine whose stage is being changed
        is listed with its new stage.
    work : StageWork
    """
    prefill = [runner for runner in runners if runner.stage is Stage.PREFILL]
    decode = [runner for runner in runners if runner.stage is Stage.DECODE]
    total = len(prefill) + len(decode)
    decode_count_by_version = Counter(runner.version for runner in decode)
    useless = [r for r in prefill if not decode_count_by_version[r.version]]
    if useless:
        # A decode engine can also prefill; prefill engines of a version without decode
        # engines serve no requests.
        return StageChange(_from_largest_zone(useless), Stage.DECODE)
    if total < 2:
        return None
    desired_prefill = min(max(work.prefill_share * total, 1.0), total - 1.0)
    surplus = len(prefill) - desired_prefill
    if surplus >= HYSTERESIS_ENGINES and len(prefill) > 1:
        return StageChange(_from_largest_zone(prefill), Stage.DECODE)
    spare = [r for r in decode if decode_count_by_version[r.version] > 1]
    if -surplus >= HYSTERESIS_ENGINES and spare:
        return StageChange(_from_largest_zone(spare), Stage.PREFILL)
    return None


def _from_largest_zone(runners: Sequence[Registration]) -> Registration:
    """Return a runner of the zone with the most runners.

    This avoids leaving a zone without a runner of the stage.
    """
    zones = [runner.zone for runner in runners]
    return max(runners, key=lambda runner: (zones.count(runner.zone), runner.key.name))
