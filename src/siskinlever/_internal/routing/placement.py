"""How a serving host gets runners for a request."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from expression import Result

from ..models.ids import ReservationId
from ..models.outcome import Refused
from ..models.work import Grant, PlacementRequest


class Reservation(Protocol):
    """A granted placement, told how the request goes on."""

    grant: Grant

    def prefill_ended(self) -> None:
        """Note that the prefill runner is free for others."""
        ...


class Placement(Protocol):
    """A policy."""

    def place(
        self, request: PlacementRequest
    ) -> AbstractAsyncContextManager[Result[Reservation, Refused]]:
        """Hold runners for the length of a block, or give the refusal."""
        ...


@runtime_checkable
class MovableReservation(Protocol):
    """A reservation that another host can take over with its generation."""

    def move(self) -> None:
        """Leave the release to the host that takes over."""
        ...


@runtime_checkable
class AdoptingPlacement(Protocol):
    """A policy whose reservations can be taken over from another host."""

    def adopt(
        self,
        request: PlacementRequest,
        reservation_id: ReservationId,
        prefill_runner: str,
        decode_runner: str,
    ) -> AbstractAsyncContextManager[Reservation | None]:
        """Hold a reservation made by another host for the length of a block.

        Yields None if its runners are no longer declared.
        """
        ...
