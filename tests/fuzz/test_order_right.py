"""Order lease against a store that loses answers, delays calls or is restored."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lib.discarded_log import DISCARDED_LOG

from siskinlever._internal.exceptions import (
    LeaseLapsedError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.platform.store import Item
from siskinlever._internal.stages.lease import (
    ORDERS_KEY,
    REVISIONS_PER_ERA,
    OrderLease,
)
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = ["host-a", "host-b", "host-c"]
TTL_S = 3.0
CALL_TIMEOUT_S = 0.8
# Seconds until the answer to a slow but successful call arrives.
SLOW_ANSWER_DELAY_S = 0.7
# Seconds until the store executes a call whose caller has already timed out.
LATE_EXECUTION_DELAY_S = 2.5
STEP_S = 0.2
# Upper bound on the expiry of the old lease, the wait for the next attempt to acquire
# it, and the new holder's wait of one TTL before its first order.
ACQUIRED_WITHIN_S = 12.0


class CallOutcome(Enum):
    """Outcome of a host's calls to the store."""

    SERVED = "served"
    SLOW = "slow"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    EXECUTED_LATE = "done late"


@dataclass
class Record:
    """The record of the lease holder; it is removed when its lease ends."""

    value: bytes
    revision: int
    lease: int
    host: str


class Store:
    """State of the store that all hosts share."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.revision = 0
        self.ends_by_lease: dict[int, float] = {}
        self.stored: Record | None = None
        self.outcome_by_host = dict.fromkeys(HOSTS, CallOutcome.SERVED)
        self.era = 0
        self.copy: tuple[int, list[int], Record | None] = (0, [], None)

    @property
    def record(self) -> Record | None:
        if self.stored and self.ends_by_lease.get(self.stored.lease, 0) <= self.now:
            self.stored = None
        return self.stored

    @property
    def now(self) -> float:
        return self.loop.time()

    def take_copy(self) -> None:
        record = self.record
        self.copy = (
            self.revision,
            list(self.ends_by_lease),
            replace(record) if record else None,
        )

    def restore(self) -> None:
        """Go back to the latest copy, whose leases begin anew."""
        self.revision, leases, record = self.copy
        self.ends_by_lease = dict.fromkeys(leases, self.now + TTL_S)
        self.stored = replace(record) if record else None
        self.era += 1


class HostStoreClient:
    """Client of the store for one host; applies the outcome set for the host."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host
        self._listeners = []
        self.era = 0

    def on_restoration(self, listener):
        self._listeners.append(listener)

    def _note_era(self, era):
        if era < self.era:
            raise StoreOutcomeUnknownError("an answer of an earlier era")
        is_restored, self.era = era > self.era, era
        if is_restored:
            for listener in self._listeners:
                listener()

    async def _call(self, operation, is_write=True):
        outcome = self._store.outcome_by_host[self._host]
        if outcome is CallOutcome.REFUSED:
            self._note_era(self._store.era)
            raise StoreUnavailableError("the store refused the call")
        if outcome is CallOutcome.EXECUTED_LATE and is_write:
            asyncio.get_running_loop().call_later(
                LATE_EXECUTION_DELAY_S, self._run_ignoring_errors, operation
            )
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreOutcomeUnknownError("the call is executed late")
        era = self._store.era
        try:
            result = operation()
        except (StoreConflictError, LeaseLapsedError):
            self._note_era(era)
            raise
        if outcome is CallOutcome.SLOW:
            await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        if outcome is CallOutcome.ANSWER_LOST and is_write:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreOutcomeUnknownError("the answer is lost")
        self._note_era(era)
        return result

    @staticmethod
    def _run_ignoring_errors(operation):
        try:
            operation()
        except (StoreConflictError, LeaseLapsedError):
            return

    async def read(self, key):
        def operation():
            stored = self._store.record
            return stored and Item(key, stored.value, stored.revision, stored.lease)

        return await self._call(operation, is_write=False)

    async def open_lease(self, ttl_s):
        def operation():
            self._store.revision += 1
            ends_at = self._store.now + ttl_s
            self._store.ends_by_lease[self._store.revision] = ends_at
            return self._store.revision

        return await self._call(operation)

    async def renew_lease(self, lease):
        def operation():
            if self._store.ends_by_lease.get(lease, 0) <= self._store.now:
                raise LeaseLapsedError("the lease has ended")
            self._store.ends_by_lease[lease] = self._store.now + TTL_S

        return await self._call(operation)

    async def end_lease(self, lease):
        return await self._call(lambda: self._store.ends_by_lease.pop(lease, None))

    async def transact(self, expected, writes=(), removals=()):
        def remove():
            record = self._store.record
            if (record.revision if record else 0) != expected[ORDERS_KEY]:
                raise StoreConflictError("the record has another revision")
            self._store.revision += 1
            self._store.stored = None

        if removals:
            return await self._call(remove)

        def operation():
            assert expected == {ORDERS_KEY: 0}
            (write,) = writes
            if self._store.record is not None:
                raise StoreConflictError("the record is held")
            if self._store.ends_by_lease.get(write.lease, 0) <= self._store.now:
                raise LeaseLapsedError("the lease has ended")
            self._store.revision += 1
            revision = self._store.revision
            self._store.stored = Record(write.value, revision, write.lease, self._host)
            return revision

        return await self._call(operation)


class OrderLeaseMachine(RuleBasedStateMachine):
    """At most one host may send orders, and the store's record names it.

    Its fencing token is made of the era of the store and the revision of that record,
    and rises with each holder. The periods in which two different hosts may send orders
    are at least one TTL apart, less at most one time step. A holder that has no answer
    since the store was restored may go on until its lease would have ended.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = Store(self.loop)
        log = LogLines("host", Metrics(), DISCARDED_LOG)
        self.client_by_host = {h: HostStoreClient(self.store, h) for h in HOSTS}
        self.lease_by_host = {
            host: OrderLease(client, host, TTL_S, log, lambda: False)
            for host, client in self.client_by_host.items()
        }
        for lease in self.lease_by_host.values():
            self.loop.create_task(lease.run())
        self.last_holder = ""
        self.last_held_at = float("-inf")
        self.last_token = 0

    @rule()
    def take_copy_of_store(self):
        self.store.take_copy()

    @rule()
    def restore_store(self):
        self.store.restore()

    @rule(host=st.sampled_from(HOSTS), outcome=st.sampled_from(CallOutcome))
    def set_outcome(self, host, outcome):
        self.store.outcome_by_host[host] = outcome

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0, 3.1, 8.0]))
    def advance_time(self, seconds):
        for _ in range(max(1, round(seconds / STEP_S))):
            self.loop.advance_time(min(seconds, STEP_S))
            self.check()

    @invariant()
    def check(self):
        holders = [h for h, lease in self.lease_by_host.items() if lease.may_order]
        assert len(holders) <= 1
        for host in holders:
            token = self.lease_by_host[host].fencing_token
            if self.client_by_host[host].era == self.store.era:
                record = self.store.record
                assert record is not None and record.host == host
                assert token == self.store.era * REVISIONS_PER_ERA + record.revision
            assert token >= self.last_token
            assert token > self.last_token or host == self.last_holder
            self.last_token = token
            if host != self.last_holder:
                assert self.store.now - self.last_held_at >= TTL_S - STEP_S
            self.last_holder, self.last_held_at = host, self.store.now

    @rule()
    def host_acquires_lease_once_all_calls_succeed(self):
        for host in HOSTS:
            self.store.outcome_by_host[host] = CallOutcome.SERVED
        for _ in range(round(ACQUIRED_WITHIN_S / STEP_S)):
            self.loop.advance_time(STEP_S)
            self.check()
        assert any(lease.may_order for lease in self.lease_by_host.values())

    def teardown(self):
        self.loop.finish()


TestOrderLeaseMachine = OrderLeaseMachine.TestCase
