"""Creates the records of several claims in one transaction.

The key-value service handles only several hundred writes per second in total,
and a transaction with many writes counts as one.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from ..coordination.key_value import (
    MAX_TXN_OPERATIONS,
    MUST_NOT_EXIST,
    KeyValueClient,
    Put,
)
from ..coordination.leases import RetentionLease
from ..exceptions import (
    LeaseLapsedError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..metrics.registry import Metrics
from ..utils.tasks import TaskSet

BATCH_WINDOW_S = 0.003
# Each record needs one operation to create it and one to bind it to its lease.
MAX_BATCH_RECORDS = MAX_TXN_OPERATIONS // 2
LEASE_TRIES = 2


class CreateResult(Enum):
    """Result of creating a record."""

    CREATED = "created"
    EXISTS = "exists"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _PendingRecord:
    """A record to be created, and the future of its result."""

    key: str
    value: bytes
    result: asyncio.Future[CreateResult] = field(default_factory=asyncio.Future)


class ClaimBatches:
    """Collects records for `BATCH_WINDOW_S` and creates them together.

    Parameters
    ----------
    key_value : KeyValueClient
    lease : RetentionLease
    tasks : TaskSet
    metrics : Metrics
    """

    def __init__(
        self,
        key_value: KeyValueClient,
        lease: RetentionLease,
        tasks: TaskSet,
        metrics: Metrics,
    ) -> None:
        self._key_value = key_value
        self._lease = lease
        self._tasks = tasks
        self._metrics = metrics
        self._pending_by_key: dict[str, _PendingRecord] = {}
        self._flush_scheduled = False

    async def create(self, key: str, value: bytes) -> CreateResult:
        """Create a record unless a record with its key exists.

        Raises
        ------
        StoreUnavailableError
            Nothing was written.
        """
        while key in self._pending_by_key:
            # Another record with this key is pending; a batch may contain each
            # key only once.
            await asyncio.wait([self._pending_by_key[key].result])
        pending = _PendingRecord(key, value)
        self._pending_by_key[key] = pending
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._tasks.start(self._flush(), "claim-batch")
        return await pending.result

    async def _flush(self) -> None:
        await asyncio.sleep(BATCH_WINDOW_S)
        self._flush_scheduled = False
        records = list(self._pending_by_key.values())
        self._pending_by_key.clear()
        await asyncio.gather(
            *(
                self._write(records[start : start + MAX_BATCH_RECORDS])
                for start in range(0, len(records), MAX_BATCH_RECORDS)
            )
        )

    async def _write(self, batch: list[_PendingRecord]) -> None:
        """Create a batch; after a conflict, retry without the conflicting records."""
        while batch:
            try:
                conflicts = await self._put(batch)
            except StoreOutcomeUnknownError:
                # Each caller of `create` reads back whether its record exists.
                _set_results(batch, CreateResult.UNKNOWN)
                return
            except PlatformError as error:
                for pending in batch:
                    _fail(pending, StoreUnavailableError(error.message))
                return
            if not conflicts:
                _set_results(batch, CreateResult.CREATED)
                return
            _set_results(
                [record for record in batch if record.key in conflicts],
                CreateResult.EXISTS,
            )
            batch = [record for record in batch if record.key not in conflicts]

    async def _put(self, batch: list[_PendingRecord]) -> set[str]:
        self._metrics.count("claim_batches")
        self._metrics.count("claims", len(batch))
        for _ in range(LEASE_TRIES):
            lease = await self._open_lease()
            puts = [
                Put(record.key, record.value, MUST_NOT_EXIST, lease) for record in batch
            ]
            try:
                return await self._key_value.put_all(puts)
            except LeaseLapsedError:
                self._lease.mark_lapsed(lease)
        raise StoreUnavailableError("the key-value service drops new leases")

    async def _open_lease(self) -> str:
        try:
            return await self._lease.current()
        except StoreOutcomeUnknownError as error:
            # No record was written, and an unused lease expires.
            raise StoreUnavailableError(error.message) from error


def _set_results(batch: list[_PendingRecord], create_result: CreateResult) -> None:
    for pending in batch:
        if not pending.result.done():
            pending.result.set_result(create_result)


def _fail(pending: _PendingRecord, error: PlatformError) -> None:
    if not pending.result.done():
        pending.result.set_exception(error)
