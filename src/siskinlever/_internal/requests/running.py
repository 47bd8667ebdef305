"""State of an attempt that this host is running."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..engines.base import Chunk
from ..exceptions import SiskinleverError
from ..models.outcome import Failed, Reason, Refused, as_may_have_run
from ..models.work import ModelRequest
from ..routing.placement import MovableReservation, Reservation
from .attempts import GenerationHandle
from .registration import RegisteredAttempt


class Sink(Protocol):
    """Receives the chunks of an answer."""

    async def send(self, chunk: Chunk) -> None:
        """Process the next chunk of the answer."""
        ...


class AttemptPhase(Enum):
    """Phase of an attempt on this host."""

    PLACING = "placing"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    COMPLETED = "completed"


class AttemptEndedError(SiskinleverError):
    """Raised when an attempt must stop; its caller gets ``request_result``."""

    def __init__(self, request_result: Refused | Failed) -> None:
        super().__init__(request_result.message)
        self.request_result = request_result


@dataclass(slots=True)
class LiveAttempt:
    """An attempt that this host is running.

    Parameters
    ----------
    request : ModelRequest
    registered_attempt : RegisteredAttempt
    task : asyncio.Task or None
    is_replaced : bool
        Whether a later attempt has replaced this one.
    may_have_run : bool
        Whether an engine may have run this attempt or an earlier one.
    handles : tuple of GenerationHandle
        Generations that the attempt has started or is about to start.
    confirmed_at : float
        Monotonic time, in seconds, at which the last successful confirmation
        was requested.
    text : list of str
        Chunks of the answer so far, by index.
    finish_reason : str
        The engine's reason for ending the answer, from the last chunk; empty
        if the engine has not reported one.
    """

    request: ModelRequest
    registered_attempt: RegisteredAttempt
    task: asyncio.Task[object] | None
    is_replaced: bool = False
    may_have_run: bool = False
    phase: AttemptPhase = AttemptPhase.PLACING
    handles: tuple[GenerationHandle, ...] = ()
    reservation: Reservation | None = None
    confirmed_at: float = 0.0
    text: list[str] = field(default_factory=list)
    finish_reason: str = ""
    prompt_tokens: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the engine reported the end, or the answer has all its tokens."""
        return bool(self.finish_reason) or len(self.text) >= self.request.max_tokens

    @property
    def is_continuation(self) -> bool:
        """Whether the caller already has a part of the answer."""
        return bool(self.text) or self.request.resume_after is not None

    def end_for_newer(self) -> None:
        """End this attempt so that a newer one can adopt its generation."""
        self.is_replaced = True
        movable = isinstance(self.reservation, MovableReservation)
        if self.phase is AttemptPhase.DECODING and movable:
            assert isinstance(self.reservation, MovableReservation)
            self.reservation.move()
        if self.task is not None:
            self.task.cancel()

    def as_reported(self, failure: Refused | Failed) -> Refused | Failed:
        """Return the failure to report to the caller.

        It is converted to "may have run" if an engine may have run the request.
        """
        return as_may_have_run(failure) if self.may_have_run else failure


def taken_over_failure() -> Failed:
    """Return the result of an attempt that a newer one has replaced."""
    return Failed(Reason.TAKEN_OVER, "another attempt replaced this one")
