"""Lets requests that wait for the same read of the store share it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..exceptions import InvalidRecordError, PlatformError
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet

# Seconds between the beginnings of two reads. Bounds the calls when many callers resume
# streams at once.
PERIOD_S = 0.1
# Seconds for which a request waits; the store normally answers within 4 ms.
TIMEOUT_S = 0.3


class SharedRead:
    """Makes a read that begins after each question, at most one per period.

    Parameters
    ----------
    read : callable
        Makes the read; it may raise `PlatformError`.
    tasks : TaskSet
    name : str
        Name of the task.
    is_down : callable
        Returns whether the store is known not to answer, so that nobody waits for it.
    """

    def __init__(
        self,
        read: Callable[[], Awaitable[object]],
        tasks: TaskSet,
        name: str,
        is_down: Callable[[], bool] = lambda: False,
    ) -> None:
        self._read = read
        self._is_down = is_down
        self._tasks = tasks
        self._name = name
        self._next: asyncio.Task[bool] | None = None
        self._began_at = float("-inf")

    async def done(self) -> bool:
        """Return whether a read that began after this call succeeded in time."""
        if self._is_down():
            return False
        if self._next is None:
            self._next = self._tasks.start(self._begin(), self._name)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    async def _begin(self) -> bool:
        await asyncio.sleep(max(0.0, self._began_at + PERIOD_S - monotonic()))
        # Questions from now on wait for another read.
        self._next = None
        self._began_at = monotonic()
        try:
            await self._read()
        except (PlatformError, InvalidRecordError):
            # Whoever asks logs what it decides without the read.
            return False
        return True
