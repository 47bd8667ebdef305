"""Resumes drafts that no host holds and deletes expired results.

Each shard of drafts is scanned by one host, the first in the rendezvous order
of the shard, so the total number of calls does not grow with the number of
hosts. If hosts disagree on which hosts are alive, the only cost is an extra
call, because a host must acquire a draft with its own lease before it runs the
draft.
"""

from __future__ import annotations

import asyncio
import time

from ..exceptions import PlatformError
from ..membership.members import MemberTable
from ..metrics.registry import Metrics
from ..utils.clock import MS_PER_S
from ..utils.rendezvous import is_among_best
from .draft_store import DraftStore
from .drafts import Drafts

SCAN_PERIOD_S = 5.0
SWEEP_PERIOD_S = 3600.0
# A shard's name is the prefix of its drafts' hexadecimal digests.
WORK_SHARDS = [f"{number:x}" for number in range(16)]
RESULT_SHARDS = [f"{number:02x}" for number in range(256)]


class DraftRecovery:
    """Scans this host's shards for drafts to resume and results to delete.

    Parameters
    ----------
    drafts : Drafts
    store : DraftStore
    members : MemberTable
    metrics : Metrics
    """

    def __init__(
        self,
        drafts: Drafts,
        store: DraftStore,
        members: MemberTable,
        metrics: Metrics,
    ) -> None:
        self._drafts = drafts
        self._store = store
        self._members = members
        self._metrics = metrics

    async def scan(self) -> None:
        """Periodically resume drafts that no host holds, until cancelled."""
        while True:
            await asyncio.sleep(SCAN_PERIOD_S)
            for shard in self._own_shards(WORK_SHARDS):
                try:
                    await self._resume(shard)
                except PlatformError:
                    self._metrics.count("draft_scan_failures")

    async def sweep(self) -> None:
        """Periodically delete expired results, one shard at a time, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            for shard in self._own_shards(RESULT_SHARDS):
                try:
                    now_ms = int(time.time() * MS_PER_S)
                    deleted = await self._store.delete_expired(shard, now_ms)
                    self._metrics.count("draft_results_deleted", deleted)
                except PlatformError:
                    self._metrics.count("draft_sweep_failures")

    async def _resume(self, shard: str) -> None:
        if not self._drafts.has_capacity:
            return
        for digest in await self._drafts.list_unassigned(shard):
            if not self._drafts.has_capacity:
                return
            await self._drafts.resume(digest)

    def _own_shards(self, shards: list[str]) -> list[str]:
        hosts = list(self._members.zone_by_host())
        own = self._members.own_host
        return [s for s in shards if is_among_best(f"drafts/{s}", own, hosts, 1)]
