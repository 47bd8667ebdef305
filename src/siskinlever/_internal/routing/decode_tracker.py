"""Tracks the slots of one decode runner."""

from __future__ import annotations

from ..models.declaration import Runner
from ..models.ids import ReservationId

OVERDUE_S = 0.1


class DecodeTracker:
    """Tracks the slots of a decode runner that are held or reserved.

    Parameters
    ----------
    runner : Runner

    Attributes
    ----------
    end_by_reservation : dict
        Predicted end of each reservation in seconds of the monotonic clock.
    presumed_held : int
        Slots presumed to be held under an earlier home, by hosts that have not
        announced their reservations to this home yet.
    presumed_until : float
        Predicted time at which those slots become free, in seconds of the
        monotonic clock.
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.end_by_reservation: dict[ReservationId, float] = {}
        self.presumed_held = 0
        self.presumed_until = 0.0

    @property
    def free_slots(self) -> int:
        used = len(self.end_by_reservation) + self.presumed_held
        return self.runner.slots - used

    def free_slots_at(self, moment: float, now: float) -> int:
        """Return the predicted number of free slots at a time.

        A request that is overdue by more than `OVERDUE_S` is counted as held,
        because its remaining time is unknown.
        """
        expected_to_end = sum(
            now - OVERDUE_S <= end <= moment for end in self.end_by_reservation.values()
        )
        return self.free_slots + expected_to_end

    def slot_free_times(self, now: float) -> list[float]:
        """Return the predicted times at which slots become free, in ascending order.

        The time of a free slot is ``now``.
        """
        ends = [max(end, now) for end in self.end_by_reservation.values()]
        ends += [max(self.presumed_until, now)] * self.presumed_held
        ends.sort()
        free = self.free_slots
        if free >= 0:
            return [now] * free + ends
        return ends[-free:]

    def hold(self, reservation_id: ReservationId, expected_end: float) -> None:
        """Reserve a slot, or update the predicted end of a reservation."""
        self.end_by_reservation[reservation_id] = expected_end

    def release(self, reservation_id: ReservationId) -> None:
        """Free the slot of a reservation, if it holds one."""
        self.end_by_reservation.pop(reservation_id, None)
