"""Sends progress reports of reservations to admission homes in batches."""

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
# Maximum number of reports per batch. After a failed call, only this many of the
# latest reports are kept per pool.
MAX_ITEMS = 500

Send = Callable[[PoolName, list[peer_pb2.ProgressItem]], Awaitable[None]]


class ProgressReporter:
    """Sends queued reports with one task per pool, which ends when its queue is empty.

    Parameters
    ----------
    send : callable
        Sends a batch to the current home of a pool, or raises `PeerError`.
    """

    def __init__(self, send: Send, tasks: TaskSet, metrics: Metrics) -> None:
        self._send = send
        self._tasks = tasks
        self._metrics = metrics
        self._items_by_pool: dict[PoolName, list[peer_pb2.ProgressItem]] = {}

    def report(self, pool: PoolName, item: peer_pb2.ProgressItem) -> None:
        """Queue a report to a pool's home; returns at once."""
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
                # The home may change. A new home learns of held reservations from
                # announcements, and of releases from these reports.
                self._metrics.count("progress_failures")
                await asyncio.sleep(RETRY_PAUSE_S)
                del items[:-MAX_ITEMS]
                continue
            del items[: len(batch)]
        del self._items_by_pool[pool]
