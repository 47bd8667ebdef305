"""Background tasks that are cancelled when their owner ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any

from absl import logging


class TaskSet:
    """Background tasks that are cancelled when their owner closes the set."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a task until it ends or the set is closed.

        Exceptions of the task are logged.
        """
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logging.error("task failed name=%s", task.get_name(), exc_info=task.exception())

    async def close(self) -> None:
        """Cancel all running tasks and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError, Exception):
                await task


@asynccontextmanager
async def task_set() -> AsyncIterator[TaskSet]:
    """Provide a `TaskSet` that is closed at the end of the block."""
    tasks = TaskSet()
    try:
        yield tasks
    finally:
        await tasks.close()
