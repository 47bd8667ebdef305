"""Parts of deliveries, drafts and leaving, each by itself."""

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
    """Takes writes; keys in ``existing`` conflict, leases can be dropped."""

    def __init__(self, existing=(), lapsed=0, lost=False):
        self.existing = set(existing)
        self.lapsed = lapsed
        self.lost = lost
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
        if self.lapsed:
            self.lapsed -= 1
            raise LeaseLapsedError("lapsed")
        if self.lost:
            raise StoreOutcomeUnknownError("lost")
        return {put.key for put in puts} & self.existing


async def create(store, keys):
    async with task_set() as tasks:
        lease = RetentionLease(store, "claims")
        batches = ClaimBatches(store, lease, tasks, Metrics())
        return await asyncio.gather(*(batches.create(key, b"") for key in keys))


async def test_conflicts_are_left_out_of_the_next_try():
    store = FakeStore(existing={"b"})
    found = await create(store, ["a", "b", "c"])
    assert found == [CreateResult.CREATED, CreateResult.EXISTS, CreateResult.CREATED]
    assert store.calls == [["a", "b", "c"], ["a", "c"]]


async def test_a_call_takes_as_many_claims_as_the_service_allows():
    store = FakeStore()
    await create(store, [str(number) for number in range(70)])
    assert [len(call) for call in store.calls] == [32, 32, 6]


async def test_one_key_is_never_twice_in_a_call():
    store = FakeStore()
    await create(store, ["a", "a"])
    assert store.calls == [["a"], ["a"]]


async def test_a_lost_answer_is_neither_created_nor_exists():
    assert await create(FakeStore(lost=True), ["a"]) == [CreateResult.UNKNOWN]


async def test_a_lapsed_lease_is_replaced():
    store = FakeStore(lapsed=1)
    assert await create(store, ["a"]) == [CreateResult.CREATED]
    assert len(store.opened) == 2


async def test_every_claim_is_kept_for_the_retention(monkeypatch):
    """No claim lapses early, whenever it is made and with no renewal."""
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


async def test_work_is_given_up_when_its_lease_has_lapsed(monkeypatch):
    monkeypatch.setattr(leases, "RENEW_PERIOD_S", 0.01)
    lapsed = asyncio.Event()
    async with task_set() as tasks:
        lease = RenewedLease(FakeStore(), "drafts", lambda: True, lapsed.set, tasks)
        first = await lease.current()
        await asyncio.wait_for(lapsed.wait(), 5)
        assert await lease.current() != first


def test_retries_are_a_share_of_the_requests():
    budget = RetryBudget()
    while budget.spend():
        pass
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert retries == pytest.approx(100, abs=1)


@pytest.mark.parametrize("count", [1, 2, 5])
def test_among_best_agrees_with_the_ranking(count):
    hosts = [f"host-{number}" for number in range(40)]
    for key in (f"runner/{number}" for number in range(50)):
        best = {h for h in hosts if is_among_best(key, h, hosts, count)}
        assert best == set(ranked(key, hosts)[:count])
