"""Aborts generations at engines.

An abort is retried until the engine confirms it or `MAX_ABORT_DURATION_S` has
passed.
"""

from __future__ import annotations

import asyncio

from ..engines.registry import Engines
from ..exceptions import EngineError
from ..metrics.registry import Metrics
from ..utils.clock import Deadline
from ..utils.tasks import TaskSet

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_ABORT_DURATION_S = 600.0


class AbortQueue:
    """Aborts generations in the background.

    A failed abort, such as one whose answer is lost, is retried with backoff.
    """

    def __init__(self, engines: Engines, tasks: TaskSet, metrics: Metrics) -> None:
        self._engines = engines
        self._tasks = tasks
        self._metrics = metrics
        self._pending: set[tuple[str, str]] = set()

    @property
    def pending(self) -> int:
        return len(self._pending)

    def add(self, address: str, engine_request_id: str) -> None:
        """Start aborting a generation; returns without waiting for the engine."""
        item = (address, engine_request_id)
        if item in self._pending:
            return
        self._pending.add(item)
        self._metrics.count("aborts")
        self._tasks.start(self._abort(address, engine_request_id), "abort")

    async def _abort(self, address: str, engine_request_id: str) -> None:
        deadline = Deadline(MAX_ABORT_DURATION_S)
        pause_s = INITIAL_BACKOFF_S
        try:
            while not deadline.passed:
                try:
                    await self._engines.at(address).abort(engine_request_id)
                    return
                except EngineError:
                    self._metrics.count("abort_retries")
                    await asyncio.sleep(pause_s)
                    pause_s = min(2 * pause_s, MAX_BACKOFF_S)
        finally:
            self._pending.discard((address, engine_request_id))
