"""A baseline for benchmarks: the naive policy with bounded queues.

It refuses requests when all load reports of a role say that the runners are
full, and drops a request whose prefill has not ended when its first token is
due. The naive policy alone is too weak a baseline, because with unbounded queues
it collapses under any sustained overload.
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

# Retry-After in seconds of refused and late requests.
RETRY_AFTER_S = 1.0
# Number of waiting requests from which a prefill runner counts as full.
FULL_PREFILL_QUEUE_LENGTH = 4


@dataclass(slots=True)
class BoundedReservation:
    """The runners chosen for a request, dropped if the prefill does not end in time.

    Parameters
    ----------
    timeout : asyncio.Timeout
        Expires when the first token is due.
    """

    grant: Grant
    timeout: asyncio.Timeout

    def prefill_ended(self) -> None:
        """Disable the timeout, which does not apply to the decode."""
        self.timeout.reschedule(None)


class BoundedPlacement(NaivePlacement):
    """Chooses runners as the naive policy does, and refuses requests when full."""

    @asynccontextmanager
    async def place(
        self, request: PlacementRequest
    ) -> AsyncIterator[Result[Reservation, Refused]]:
        """Choose runners or refuse.

        Raises
        ------
        AttemptEndedError
            If the first token is due before the prefill has ended.
        """
        grant = self.choose(request)
        if grant is None or self.should_refuse(request):
            yield Error(
                Refused(Reason.OVERLOADED, RETRY_AFTER_S, "every runner is full")
            )
            return
        remaining_s = request.first_token_due.remaining_s
        try:
            async with asyncio.timeout(remaining_s) as timeout:
                yield Ok(BoundedReservation(grant, timeout))
        except TimeoutError as error:
            failure = Failed(Reason.TOO_LATE, "waited past the target", RETRY_AFTER_S)
            raise AttemptEndedError(failure) from error

    def should_refuse(self, request: PlacementRequest) -> bool:
        """Return whether a request is late or all runners of a role report full."""
        if request.first_token_due.passed:
            return True
        prefill = self.available_runners(request, Role.PREFILL)
        decode = self.available_runners(request, Role.DECODE)
        return all(map(self._prefill_is_full, prefill)) or all(
            map(self._decode_is_full, decode)
        )

    def _prefill_is_full(self, runner: Runner) -> bool:
        report = self._reports.by_runner.get(runner.name)
        return report is not None and report.waiting >= FULL_PREFILL_QUEUE_LENGTH

    def _decode_is_full(self, runner: Runner) -> bool:
        report = self._reports.by_runner.get(runner.name)
        return report is not None and report.running + report.waiting >= report.slots
