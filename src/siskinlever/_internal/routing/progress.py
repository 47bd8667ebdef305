"""Tells admission homes what became of reservations, in batches."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..exceptions import PeerError
from ..metrics.registry import Metrics
from ..models.ids import PoolName
from ..peers import peer_pb2
from ..utils.tasks import TaskSet

BATCH_PAUSE_S = 0.002
RETRY_PAUSE_S = 0.1
MAX_ITEMS = 500

Send = Callable[[PoolName, list[peer_pb2.ProgressItem]], Awaitable[None]]


class ProgressReporter:
    """One task for each pool, which ends when there is nothing to tell.

    Parameters
    ----------
    send : callable
        Sends a batch to the pool's present home; raises `PeerError`.
    """

    def __init__(self, send: Send, tasks: TaskSet, metrics: Metrics) -> None:
        self._send = send
        self._tasks = tasks
        self._metrics = metrics
        self._items_by_pool: dict[PoolName, list[peer_pb2.ProgressItem]] = {}

    def report(self, pool: PoolName, item: peer_pb2.ProgressItem) -> None:
        """Tell a pool's home; returns at once."""
        items = self._items_by_pool.get(pool)
        if items is not None:
            items.append(item)
            return
        self._items_by_pool[pool] = [item]
        self._tasks.start(self._run(pool), "progress")

    async def _run(self, pool: PoolName) -> None:
        items = self._items_by_pool[pool]
        await asyncio.sleep(BATCH_PAUSE_S)
        while items:
            batch = items[:MAX_ITEMS]
            try:
                await self._send(pool, batch)
            except PeerError:
                # The home may change: a new one is told by announcements what
                # is still held, and of the rest that it was released.
                self._metrics.count("progress_failures")
                await asyncio.sleep(RETRY_PAUSE_S)
                del items[:-MAX_ITEMS]
                continue
            del items[: len(batch)]
        del self._items_by_pool[pool]
