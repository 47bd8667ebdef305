"""Tracks the planned work and the prefix cache of one prefill runner."""

from __future__ import annotations

from collections import OrderedDict

from ..models.declaration import Runner
from ..models.ids import ReservationId
from ..utils.prompts import CHARACTERS_PER_TOKEN, prefix_characters
from .estimates import Estimate

MAX_PREFIXES = 4096
# Prefills that are predicted to be shorter do not update `slowdown`.
MIN_MEASURED_S = 0.02


class PrefillTracker:
    """Predicts when a prefill runner becomes free and which prefixes it has cached.

    Parameters
    ----------
    runner : Runner

    Attributes
    ----------
    slowdown : Estimate
        Ratio of measured to declared prefill time.
    duration_by_reservation : OrderedDict
        Predicted seconds of the planned prefills, in the order of their start.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.slowdown = Estimate(1.0)
        self.duration_by_reservation: OrderedDict[ReservationId, float] = OrderedDict()
        self._head_started_at = 0.0
        self._head_was_queued = False
        self._recent_prefixes: OrderedDict[int, None] = OrderedDict()

    def free_at(self, now: float) -> float:
        """Return the predicted end of all planned prefills.

        If the first one is overdue, the others are predicted to end later by the
        same time.
        """
        if not self.duration_by_reservation:
            return now
        planned = self._head_started_at + sum(self.duration_by_reservation.values())
        head = next(iter(self.duration_by_reservation.values()))
        overdue = max(0.0, now - self._head_started_at - head)
        return planned + overdue

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the number of prompt tokens that are probably in the prefix cache."""
        cached_prefixes = 0
        for count, prefix in enumerate(prefix_hashes, start=1):
            if prefix not in self._recent_prefixes:
                break
            cached_prefixes = count
        return int(prefix_characters(cached_prefixes) / CHARACTERS_PER_TOKEN)

    def duration_s(self, prompt_tokens: int, prefix_hashes: tuple[int, ...]) -> float:
        """Return the predicted seconds of a prefill."""
        uncached_tokens = max(1, prompt_tokens - self.cached_tokens(prefix_hashes))
        return self.slowdown.value * uncached_tokens / self.runner.prefill_tokens_per_s

    def add(
        self,
        reservation_id: ReservationId,
        prefix_hashes: tuple[int, ...],
        duration_s: float,
        now: float,
    ) -> float:
        """Plan a prefill after the others and return its predicted end."""
        if not self.duration_by_reservation:
            self._head_started_at = now
            self._head_was_queued = False
        self.duration_by_reservation[reservation_id] = duration_s
        for prefix in prefix_hashes:
            self._recent_prefixes[prefix] = None
            self._recent_prefixes.move_to_end(prefix)
        while len(self._recent_prefixes) > MAX_PREFIXES:
            self._recent_prefixes.popitem(last=False)
        return self.free_at(now)

    def remove(
        self, reservation_id: ReservationId, now: float, completed: bool
    ) -> None:
        """Remove a prefill that has ended or was cancelled from the plan.

        Parameters
        ----------
        completed : bool
            Whether the prefill ran to completion, so that its duration is used
            to update `slowdown`.
        """
        planned = self.duration_by_reservation.pop(reservation_id, None)
        if planned is None:
            return
        # The duration of the first prefill of a busy period includes network delay.
        if completed and self._head_was_queued and planned >= MIN_MEASURED_S:
            ratio = (now - self._head_started_at) / planned
            self.slowdown.observe(self.slowdown.value * ratio)
        self._head_started_at = now
        self._head_was_queued = True
