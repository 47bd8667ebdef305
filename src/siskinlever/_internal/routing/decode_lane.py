"""The slots of one decode runner."""

from __future__ import annotations

from ..models.declaration import Runner
from ..models.ids import ReservationId


class DecodeLane:
    """Counts the requests that a decode runner holds, or will hold.

    Parameters
    ----------
    runner : Runner
    """

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.end_by_reservation: dict[ReservationId, float] = {}
        self.unannounced = 0

    @property
    def free_slots(self) -> int:
        used = len(self.end_by_reservation) + self.unannounced
        return self.runner.slots - used

    def hold(self, reservation_id: ReservationId, expected_end: float) -> None:
        """Reserve a slot."""
        self.end_by_reservation[reservation_id] = expected_end

    def release(self, reservation_id: ReservationId) -> None:
        """Free a slot."""
        self.end_by_reservation.pop(reservation_id, None)
