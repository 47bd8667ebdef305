"""Unit tests of claim batches, leases, the retry budget and rendezvous ranking."""

from __future__ import annotations

import asyncio

import pytest

from siskinlever._internal.coordination import leases
from siskinlever._internal.coordination.leases import RenewedLease, RetentionLease
from siskinlever._internal.exceptions import LeaseLapsedError, StoreOutcomeUnknownError
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.requests.claim_batches import ClaimBatches, CreateResult
from siskinlever._internal.routing.retry_budget import RetryBudget
from siskinlever._internal.utils.rendezvous import is_among_best, ranked
from siskinlever._internal.utils.tasks import task_set


class FakeStore:
    """Records writes.

    Keys in ``existing`` conflict, and the first ``lapse_count`` writes raise
    `LeaseLapsedError`.
    """

    def __init__(self, existing=(), lapse_count=0, lose_answers=False):
        self.existing = set(existing)
        self.lapse_count = lapse_count
        self.lose_answers = lose_answers
        self.calls = []
        self.opened = []
        self.renewed = []

    async def open_lease(self, name, ttl_s, delete_records):
        self.opened.append((ttl_s, delete_records))
        return f"lease-{len(self.opened)}"

    async def renew_lease(self, lease):
        self.renewed.append(lease)
        return False

    async def put_all(self, puts):
        self.calls.append([put.key for put in puts])
        if self.lapse_count:
            self.lapse_count -= 1
            raise LeaseLapsedError("lapsed")
        if self.lose_answers:
            raise StoreOutcomeUnknownError("lost")
        return {put.key for put in puts} & self.existing


async def create(store, keys):
    async with task_set() as tasks:
        lease = RetentionLease(store, "claims")
        batches = ClaimBatches(store, lease, tasks, Metrics())
        return await asyncio.gather(*(batches.create(key, b"") for key in keys))


async def test_conflicting_claims_are_excluded_from_retry():
    store = FakeStore(existing={"b"})
    found = await create(store, ["a", "b", "c"])
    assert found == [CreateResult.CREATED, CreateResult.EXISTS, CreateResult.CREATED]
    assert store.calls == [["a", "b", "c"], ["a", "c"]]


async def test_batch_size_is_limited_to_transaction_size():
    store = FakeStore()
    await create(store, [str(number) for number in range(70)])
    assert [len(call) for call in store.calls] == [32, 32, 6]


async def test_batch_does_not_repeat_key():
    store = FakeStore()
    await create(store, ["a", "a"])
    assert store.calls == [["a"], ["a"]]


async def test_lost_answer_gives_unknown_result():
    assert await create(FakeStore(lose_answers=True), ["a"]) == [CreateResult.UNKNOWN]


async def test_lapsed_lease_is_replaced():
    store = FakeStore(lapse_count=1)
    assert await create(store, ["a"]) == [CreateResult.CREATED]
    assert len(store.opened) == 2


async def test_every_claim_is_kept_for_retention_time(monkeypatch):
    """No claim lapses early, whenever it is created, although no lease is renewed."""
    store, now = FakeStore(), 0.0
    monkeypatch.setattr(leases, "monotonic", lambda: now)
    lease = RetentionLease(store, "claims")
    opened_at = {}
    for _ in range(100):
        name = await lease.current()
        opened_at.setdefault(name, now)
        assert opened_at[name] + leases.LEASE_S - now >= leases.RETENTION_S
        now += 700.0
    assert set(store.opened) == {(leases.LEASE_S, True)}
    assert store.renewed == []


async def test_lapsed_lease_is_reported(monkeypatch):
    monkeypatch.setattr(leases, "RENEW_PERIOD_S", 0.01)
    lapsed = asyncio.Event()
    async with task_set() as tasks:
        lease = RenewedLease(FakeStore(), "drafts", lambda: True, lapsed.set, tasks)
        first = await lease.current()
        await asyncio.wait_for(lapsed.wait(), 5)
        assert await lease.current() != first


def test_retries_are_limited_to_share_of_requests():
    budget = RetryBudget()
    while budget.spend():
        pass
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries == pytest.approx(100, abs=1)


@pytest.mark.parametrize("count", [1, 2, 5])
def test_is_among_best_agrees_with_ranked(count):
    hosts = [f"host-{number}" for number in range(40)]
    for key in (f"runner/{number}" for number in range(50)):
        best = {h for h in hosts if is_among_best(key, h, hosts, count)}
        assert best == set(ranked(key, hosts)[:count])
