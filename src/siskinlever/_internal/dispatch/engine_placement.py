"""Chooses engines for a generation, from what all hosts have in progress.

Answers bursts of long prompts: the memory of the decode engines is what runs
out, so it is reserved first, at the engine with the most left; a prompt goes
to the prefill engine with the shortest queue, or is read by the decode engine
itself when that is sooner.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from ..fleet.hosts import RunnerLoad
from ..models.ids import ZoneName
from ..models.routes import EngineSpec
from ..models.upstreams import Registration, RunnerKey, Stage
from ..utils.clock import monotonic
from .reachability import Reachability
from .recent_failures import RecentFailures

# After an engine refused to reserve room; a run ends about each 0.2 s there.
FULL_RETRY_S = 0.08
# Share of the capacity by which an engine of this host's zone is preferred.
SAME_ZONE_BONUS = 0.1
# Until prompts were measured, in tokens a second; hosts learn it in use.
INITIAL_PREFILL_RATE = 25_000.0
PREFILL_RATE_WEIGHT = 0.2
# Shares of an engine's memory that generations may be expected to take in the
# end. Few of them end at once, and the engine itself refuses what has no room.
ON_TIME_CAPACITY_SHARE = 1.15
LATE_CAPACITY_SHARE = 0.8
# An engine that lately lost or rejected a generation must have this share of its
# capacity more to be preferred, or a prompt must wait so much longer elsewhere.
FAILURE_CAPACITY_PENALTY = 0.15
FAILURE_WAIT_PENALTY_S = 0.1
# Engines fail for seconds; a host sends each of them a generation in some seconds.
FAILURE_HALF_LIFE_S = 3.0
# A late generation rather waits than slows others; but its caller leaves.
MAX_LATE_PREFILL_WAIT_S = 1.0


@dataclass(slots=True)
class EnginePlacement:
    """Places generations on the engines of one service.

    Parameters
    ----------
    zone : str
        Of this host.
    load_at : callable
        Returns what all hosts have in progress at a runner, as far as known.
    reachability_of : callable
        Returns whether a runner can be reached.
    """

    zone: ZoneName
    load_at: Callable[[RunnerKey], RunnerLoad]
    reachability_of: Callable[[RunnerKey], Reachability]
    prefill_rate: float = INITIAL_PREFILL_RATE
    full_until_by_runner: dict[RunnerKey, float] = field(default_factory=dict)
    failures: RecentFailures = field(
        default_factory=lambda: RecentFailures(FAILURE_HALF_LIFE_S)
    )

    def decode_candidates(
        self,
        runners: Iterable[Registration],
        spec: EngineSpec,
        tokens: int,
        is_late: bool = False,
        excluded: Collection[RunnerKey] = (),
    ) -> list[Registration]:
        """Return engines that may have room for a generation, best first.

        Parameters
        ----------
        runners : iterable of Registration
        spec : EngineSpec
        tokens : int
            KV cache that the generation is expected to take in the end.
        is_late : bool
            Its first event cannot be on time any more: it gets room that is
            left over, on whichever host those wait that can be on time.
        excluded : collection of RunnerKey
        """
        share = LATE_CAPACITY_SHARE if is_late else ON_TIME_CAPACITY_SHARE
        candidates = [
            (self.reachability_of(runner.key), -self._free_share(runner, spec), runner)
            for runner in runners
            if runner.stage is Stage.DECODE
            and runner.key not in excluded
            and self._is_available(runner.key)
            and self._has_capacity(runner, spec, tokens, share)
        ]
        return [runner for *_, runner in sorted(candidates, key=lambda item: item[:2])]

    def prefill_candidate(
        self,
        runners: Iterable[Registration],
        decode_zone: ZoneName,
        slack_s: float,
        excluded: Collection[RunnerKey] = (),
    ) -> Registration | None:
        """Return the prefill engine to use, or None to read at the decode engine.

        A prompt that a decode engine reads slows all that run there, so it is
        worth to wait at a prefill engine as long as the first event stays on
        time.

        Parameters
        ----------
        runners : iterable of Registration
        decode_zone : str
        slack_s : float
            Seconds that the prompt may wait and its first event be on time;
            negative if it is late already.
        excluded : collection of RunnerKey
        """
        choices = [
            (
                self.reachability_of(runner.key),
                self._prefill_wait_s(runner)
                + FAILURE_WAIT_PENALTY_S * self.failures.count_of(runner.key),
                runner.zone != decode_zone,
                runner,
            )
            for runner in runners
            if runner.stage is Stage.PREFILL
            and runner.key not in excluded
            and self._is_available(runner.key)
        ]
        if not choices:
            return None
        _, wait_s, _, runner = min(choices, key=lambda item: item[:3])
        allowed_s = slack_s if slack_s >= 0 else MAX_LATE_PREFILL_WAIT_S
        return runner if wait_s <= allowed_s else None

    def note_full(self, runner: RunnerKey) -> None:
        """Note that an engine refused for want of room."""
        self.full_until_by_runner[runner] = monotonic() + FULL_RETRY_S

    def note_prefill(self, tokens: int, duration_s: float) -> None:
        """Learn from a prompt that was read without a queue before it."""
        rate = tokens / max(duration_s, 1e-3)
        self.prefill_rate += PREFILL_RATE_WEIGHT * (rate - self.prefill_rate)

    def _is_available(self, runner: RunnerKey) -> bool:
        if self.reachability_of(runner) is Reachability.UNREACHABLE:
            return False
        return monotonic() >= self.full_until_by_runner.get(runner, float("-inf"))

    def _has_capacity(
        self, runner: Registration, spec: EngineSpec, tokens: int, share: float
    ) -> bool:
        load = self.load_at(runner.key)
        has_slot = load.requests < spec.slots
        return has_slot and load.decode_tokens + tokens <= share * spec.kv_capacity

    def _free_share(self, runner: Registration, spec: EngineSpec) -> float:
        used = self.load_at(runner.key).decode_tokens / max(1, spec.kv_capacity)
        failure_penalty = FAILURE_CAPACITY_PENALTY * self.failures.count_of(runner.key)
        return (
            1.0 - used + SAME_ZONE_BONUS * (runner.zone == self.zone) - failure_penalty
        )

    def _prefill_wait_s(self, runner: Registration) -> float:
        return self.load_at(runner.key).prefill_tokens / self.prefill_rate
