"""The naive policy with bounds, to measure against.

Refuses when every report says full, and drops a request whose prefill has not
ended when its first token is due: an unbounded queue collapses under any
lasting overload and is too easy to beat.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..models.declaration import Role, Runner
from ..models.outcome import Failed, Reason, Refused
from ..models.work import Grant, PlacementRequest
from ..requests.running import AttemptEndedError
from .naive import NaivePlacement
from .placement import Reservation

FULL_RETRY_S = 1.0
FULL_PREFILL_QUEUE = 4


@dataclass(slots=True)
class BoundedReservation:
    """A placement that is dropped if its prefill does not end in time."""

    grant: Grant
    timeout: asyncio.Timeout

    def prefill_ended(self) -> None:
        """Let the answer take its time."""
        self.timeout.reschedule(None)


class BoundedPlacement(NaivePlacement):
    """Chooses as the naive policy does, within bounds."""

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Reservation, Refused]]:
        """Choose runners for the length of a block, or refuse."""
        grant = self.choose(request)
        if grant is None or self.should_refuse(request):
            yield Error(
                Refused(Reason.OVERLOADED, FULL_RETRY_S, "every runner is full")
            )
            return
        remaining_s = request.first_token_due.remaining_s
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                yield Ok(BoundedReservation(grant, timeout))
        except TimeoutError as error:
            failure = Failed(Reason.TOO_LATE, "waited past the target", FULL_RETRY_S)
            raise AttemptEndedError(failure) from error

    def should_refuse(self, request: PlacementRequest) -> bool:
        """Tell whether a request is late, or every report of a role says full."""
        if request.first_token_due.passed:
            return True
        prefill = self.available_runners(request, Role.PREFILL)
        decode = self.available_runners(request, Role.DECODE)
        return all(map(self._prefill_is_full, prefill)) or all(
            map(self._decode_is_full, decode)
        )

    def _prefill_is_full(self, runner: Runner) -> bool:
        report = self._reports.by_runner.get(runner.name)
        return report is not None and report.waiting >= FULL_PREFILL_QUEUE

    def _decode_is_full(self, runner: Runner) -> bool:
        report = self._reports.by_runner.get(runner.name)
        return report is not None and report.running + report.waiting >= report.slots
