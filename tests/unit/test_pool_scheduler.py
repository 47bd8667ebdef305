"""Decisions of a pool's scheduler, home takeover, local share and retry budget."""

from __future__ import annotations

import pytest
from lib.pools import model, pool, request

from siskinlever._internal.models.outcome import Reason
from siskinlever._internal.routing.local_share import share_of
from siskinlever._internal.routing.retry_budget import RetryBudget
from siskinlever._internal.routing.scheduler import PoolScheduler
from siskinlever._internal.routing.takeover import TAKEOVER_TIMEOUT_S, HomeTakeover

LOOKUP = model("lookup")
DRAFT = model("draft", urgency="deferrable", worth=3.0, answer_within_s=60.0)


def submit_all(scheduler, requests, now):
    for item in requests:
        scheduler.submit(item, now)


def test_grants_do_not_exceed_slots():
    scheduler = PoolScheduler(pool(prefill=4, slots=2))
    requests = [request(LOOKUP, due=0.7, max_tokens=200) for _ in range(4)]
    submit_all(scheduler, requests, 0.0)
    assert [r.reservation_id in scheduler.granted_by_id for r in requests] == [
        True,
        True,
        False,
        False,
    ]
    refused = scheduler.refused_by_id[requests[2].reservation_id]
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_s >= 0.1


def test_prefill_starts_when_a_slot_will_be_free_at_its_end():
    scheduler = PoolScheduler(pool(slots=1))
    first = request(LOOKUP, due=0.7, prompt_tokens=10, max_tokens=20)
    second = request(LOOKUP, due=1.5, prompt_tokens=300)
    scheduler.submit(first, 0.0)
    scheduler.prefill_ended(first.reservation_id, 0.01)
    scheduler.submit(second, 0.02)
    end = scheduler.decode_by_runner["d0"].end_by_reservation[first.reservation_id]
    scheduler.decide(end - 0.4)
    assert second.reservation_id in scheduler.waiting_by_id
    scheduler.decide(end - 0.29)
    assert second.reservation_id in scheduler.granted_by_id


def test_long_prefill_does_not_take_the_slot_that_a_lookup_waits_for():
    scheduler = PoolScheduler(pool(prefill=2, slots=1))
    held = request(LOOKUP, due=0.7, prompt_tokens=10, max_tokens=20)
    scheduler.submit(held, 0.0)
    scheduler.prefill_ended(held.reservation_id, 0.01)
    waiting = request(LOOKUP, due=5.0, prompt_tokens=10)
    draft = request(DRAFT, due=60.0, prompt_tokens=500)
    scheduler.submit(waiting, 0.3)
    scheduler.submit(draft, 0.3)
    assert draft.reservation_id in scheduler.waiting_by_id
    scheduler.release(held.reservation_id, 0.5)
    assert waiting.reservation_id in scheduler.granted_by_id


def test_idle_runner_is_used_when_the_prefix_runner_has_a_queue():
    scheduler = PoolScheduler(pool(prefill=2, slots=20))
    hashes = tuple(range(12))
    requests = [
        request(LOOKUP, 2.0, prompt_tokens=400, prefix=hashes) for _ in range(9)
    ]
    scheduler.submit(requests[0], 0.0)
    scheduler.prefill_ended(requests[0].reservation_id, 0.4)
    submit_all(scheduler, requests[1:], 0.4)
    used = {granted.prefill_runner for granted in scheduler.granted_by_id.values()}
    assert used == {"p0", "p1"}


def test_prompt_goes_to_the_runner_with_its_prefix_cached():
    scheduler = PoolScheduler(pool(prefill=2, slots=20))
    hashes = tuple(range(12))
    for number in range(4):
        item = request(LOOKUP, number + 0.7, prompt_tokens=400, prefix=hashes)
        scheduler.submit(item, float(number))
        scheduler.prefill_ended(item.reservation_id, number + 0.4)
    assert {g.prefill_runner for g in scheduler.granted_by_id.values()} == {"p0"}


def test_request_of_higher_worth_displaces_a_waiting_one():
    scheduler = PoolScheduler(pool(slots=20))
    critique = model("critique", worth=20.0)
    low = [request(LOOKUP, due=0.7, prompt_tokens=150) for _ in range(4)]
    high = [request(critique, due=0.75, prompt_tokens=150) for _ in range(3)]
    submit_all(scheduler, low, 0.0)
    submit_all(scheduler, high, 0.01)
    kept = scheduler.waiting_by_id.keys() | scheduler.granted_by_id.keys()
    assert all(item.reservation_id in kept for item in high)
    assert low[3].reservation_id in scheduler.refused_by_id


def test_late_request_is_refused_when_it_arrives():
    scheduler = PoolScheduler(pool(slots=20))
    item = request(LOOKUP, due=0.7, prompt_tokens=800)
    scheduler.submit(item, 0.0)
    assert item.reservation_id in scheduler.refused_by_id
    assert not scheduler.granted_by_id


def test_aged_draft_goes_before_lookups():
    scheduler = PoolScheduler(pool(slots=20))
    high_worth_draft = model(
        "draft", urgency="deferrable", worth=50.0, answer_within_s=60.0
    )
    busy = request(LOOKUP, due=100.7, prompt_tokens=300)
    scheduler.submit(busy, 100.0)
    recent = request(high_worth_draft, due=155.0, prompt_tokens=100)
    aged = request(high_worth_draft, due=110.0, prompt_tokens=100)
    lookup = request(LOOKUP, due=100.7, prompt_tokens=100)
    submit_all(scheduler, [recent, lookup, aged], 100.0)
    scheduler.prefill_ended(busy.reservation_id, 100.3)
    assert aged.reservation_id in scheduler.granted_by_id
    assert lookup.reservation_id in scheduler.waiting_by_id
    assert recent.reservation_id in scheduler.waiting_by_id


def test_closed_runner_gets_no_work():
    scheduler = PoolScheduler(pool(decode=2))
    scheduler.closed.add("d0")
    requests = [request(LOOKUP, due=0.7) for _ in range(2)]
    submit_all(scheduler, requests, 0.0)
    assert {g.decode_runner for g in scheduler.granted_by_id.values()} == {"d1"}
    scheduler.closed |= {"d1"}
    item = request(LOOKUP, due=0.7)
    scheduler.submit(item, 0.0)
    assert scheduler.refused_by_id[item.reservation_id].reason is Reason.NO_RUNNER


def test_decode_time_is_estimated_from_releases():
    scheduler = PoolScheduler(pool(slots=20))
    for number in range(60):
        item = request(LOOKUP, due=number + 0.7, max_tokens=100)
        scheduler.submit(item, float(number))
        scheduler.prefill_ended(item.reservation_id, number + 0.1)
        scheduler.release(item.reservation_id, number + 0.11 + 2.0)
    last = request(LOOKUP, due=100.7, max_tokens=100)
    scheduler.submit(last, 100.0)
    scheduler.prefill_ended(last.reservation_id, 100.1)
    end = scheduler.decode_by_runner["d0"].end_by_reservation[last.reservation_id]
    assert end == pytest.approx(102.1, abs=0.1)


def test_new_home_presumes_slots_held_until_all_hosts_announce():
    scheduler = PoolScheduler(pool(slots=20))
    takeover = HomeTakeover(scheduler)
    tracker = scheduler.decode_by_runner["d0"]
    hosts = [f"host-{n}" for n in range(4)]
    takeover.begin(hosts, 10.0)
    assert tracker.free_slots == 0
    takeover.announced(hosts[0], 10.1)
    assert tracker.free_slots == 5
    takeover.expire(10.0 + TAKEOVER_TIMEOUT_S)
    assert tracker.free_slots == 20


def test_new_home_queues_requests_until_announcements():
    scheduler = PoolScheduler(pool(slots=2))
    HomeTakeover(scheduler).begin(["host-1"], 10.0)
    early = request(LOOKUP, due=10.7)
    scheduler.submit(early, 10.0)
    assert early.reservation_id in scheduler.waiting_by_id
    urgent = request(LOOKUP, due=10.3)
    scheduler.submit(urgent, 10.0)
    assert urgent.reservation_id in scheduler.refused_by_id


def test_local_shares_stay_within_the_slots():
    share = share_of(pool(slots=20), hosts=8)
    assert {runner.slots for runner in share.runners} == {2}


def test_retry_budget_allows_a_tenth_of_requests():
    budget = RetryBudget()
    assert sum(budget.spend() for _ in range(30)) == 10
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(30)) in (9, 10)
