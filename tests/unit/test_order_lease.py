"""Acquisition of the order lease when the store's answer is lost."""

from __future__ import annotations

import asyncio

import pytest
from lib.discarded_log import DISCARDED_LOG

from siskinlever._internal.exceptions import StoreOutcomeUnknownError
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.platform.store import Item
from siskinlever._internal.stages.lease import OrderLease

TTL_S = 1.0
LEASE = 7


class AnswerLosingStore:
    """A store that loses the answer to its only write.

    ``writer`` is ``"own"`` or ``"other"`` for the host whose write took effect, or
    None if no write did.
    """

    era = 0

    def __init__(self, writer: str | None) -> None:
        self._writer = writer
        self._item: Item | None = None

    def on_restoration(self, listener):
        """Ignore the listener; this store is never restored."""

    async def read(self, key):
        return self._item

    async def open_lease(self, ttl_s):
        return LEASE

    async def transact(self, expected, writes):
        (write,) = writes
        values = {"own": write.value, "other": b"another host", None: None}
        value = values[self._writer]
        if value is not None:
            self._item = Item(write.key, value, 42, LEASE)
        raise StoreOutcomeUnknownError("the answer is lost")

    async def renew_lease(self, lease):
        return None


@pytest.mark.parametrize(("writer", "token"), [("own", 42), ("other", 0), (None, 0)])
async def test_lost_answer_to_acquisition_is_resolved_by_reading(writer, token):
    log = LogLines("host", Metrics(), DISCARDED_LOG)
    lease = OrderLease(AnswerLosingStore(writer), "host", TTL_S, log, lambda: False)
    running = asyncio.create_task(lease.run())
    await asyncio.sleep(0.1)
    assert lease.is_held is (token > 0)
    assert lease.fencing_token == token
    # No order may be sent until the lease of an earlier holder is guaranteed to
    # have expired.
    assert not lease.may_order
    running.cancel()
