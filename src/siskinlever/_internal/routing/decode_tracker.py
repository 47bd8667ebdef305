"""The slots of one decode runner."""

from __future__ import annotations

from ..models.declaration import Runner
from ..models.ids import ReservationId

OVERDUE_S = 0.1


class DecodeTracker:
    """Counts the requests that a decode runner holds, or will hold.

    Parameters
    ----------
    runner : Runner
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.end_by_reservation: dict[ReservationId, float] = {}
        # Slots presumed held under an earlier home that did not tell yet.
        self.presumed_held = 0
        self.presumed_until = 0.0

    @property
    def free_slots(self) -> int:
        used = len(self.end_by_reservation) + self.presumed_held
        return self.runner.slots - used

    def free_slots_at(self, moment: float, now: float) -> int:
        """Return the slots that are free at a moment, by prediction.

        A request that should have ended a while ago is counted as staying:
        what it still needs is not known.
        """
        expected_to_end = sum(
            now - OVERDUE_S <= end <= moment for end in self.end_by_reservation.values()
        )
        return self.free_slots + expected_to_end

    def slot_free_times(self, now: float) -> list[float]:
        """Return when each slot is free, by prediction; free ones now."""
        ends = [max(end, now) for end in self.end_by_reservation.values()]
        ends += [max(self.presumed_until, now)] * self.presumed_held
        ends.sort()
        free = self.free_slots
        if free >= 0:
            return [now] * free + ends
        return ends[-free:]

    def hold(self, reservation_id: ReservationId, expected_end: float) -> None:
        """Reserve a slot, or correct the end of one reserved."""
        self.end_by_reservation[reservation_id] = expected_end

    def release(self, reservation_id: ReservationId) -> None:
        """Free a slot."""
        self.end_by_reservation.pop(reservation_id, None)
