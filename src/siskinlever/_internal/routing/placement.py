"""How a serving host gets runners for a request."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from expression import Result

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
