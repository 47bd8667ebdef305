"""Protocols between policies and the hosts that serve requests."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol, runtime_checkable

from expression import Result

from ..models.ids import ReservationId
from ..models.outcome import Refused
from ..models.work import Grant, PlacementRequest


class Reservation(Protocol):
    """A granted reservation that is notified when the prefill has ended."""

    grant: Grant

    def prefill_ended(self) -> None:
        """Mark the prefill runner as free for other requests."""
        ...


class Placement(Protocol):
    """A placement policy."""

    def place(
        self, request: PlacementRequest
    ) -> AbstractAsyncContextManager[Result[Reservation, Refused]]:
        """Hold runners while the context is open, or yield the refusal."""
        ...


@runtime_checkable
class MovableReservation(Protocol):
    """A reservation that another host can take over with its generation."""

    def move(self) -> None:
        """Leave the release to the host that takes over the reservation."""
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
        """Take over a reservation made by another host while the context is open.

        Yields None if its runners are no longer declared.
        """
        ...
