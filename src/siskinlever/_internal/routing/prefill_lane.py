"""The plan of one prefill runner."""

from __future__ import annotations

from collections import OrderedDict

from ..models.declaration import Runner
from ..models.ids import ReservationId
from ..utils.prompts import CHARACTERS_PER_TOKEN, prefix_characters

PREFIXES_REMEMBERED = 512


class PrefillLane:
    """Predicts when a prefill runner is free and what it has in its cache.

    Parameters
    ----------
    runner : Runner
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.free_at = 0.0
        self.end_by_reservation: dict[ReservationId, float] = {}
        self._recent_prefixes: OrderedDict[int, None] = OrderedDict()

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return how much of a prompt the runner probably has in its cache."""
        known = 0
        for count, prefix in enumerate(prefix_hashes, start=1):
            if prefix in self._recent_prefixes:
                known = count
        return int(prefix_characters(known) / CHARACTERS_PER_TOKEN)

    def duration_s(self, prompt_tokens: int, prefix_hashes: tuple[int, ...]) -> float:
        """Return how long a prefill takes, by prediction."""
        fresh = max(1, prompt_tokens - self.cached_tokens(prefix_hashes))
        return fresh / self.runner.prefill_tokens_per_s

    def start(
        self,
        reservation_id: ReservationId,
        prefix_hashes: tuple[int, ...],
        duration_s: float,
        now: float,
    ) -> float:
        """Plan a prefill after the others; return when it ends."""
        end = max(self.free_at, now) + duration_s
        self.free_at = end
        self.end_by_reservation[reservation_id] = end
        for prefix in prefix_hashes:
            self._recent_prefixes[prefix] = None
            self._recent_prefixes.move_to_end(prefix)
        while len(self._recent_prefixes) > PREFIXES_REMEMBERED:
            self._recent_prefixes.popitem(last=False)
        return end

    def end(self, reservation_id: ReservationId, now: float) -> None:
        """Correct the plan: a prefill ended, or was given up, now."""
        planned = self.end_by_reservation.pop(reservation_id, None)
        if planned is None:
            return
        if not self.end_by_reservation:
            self.free_at = now
            return
        self.free_at += min(0.0, now - planned)
