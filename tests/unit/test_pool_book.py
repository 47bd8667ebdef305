"""Who is placed, who waits and who is refused in one pool."""

from __future__ import annotations

import pytest
from lib.pools import model, pool, wish

from siskinlever._internal.models.outcome import Reason
from siskinlever._internal.routing.book import PoolBook
from siskinlever._internal.routing.handover import HANDOVER_S, Handover
from siskinlever._internal.routing.local_share import share_of
from siskinlever._internal.routing.retry_budget import RetryBudget

LOOKUP = model("lookup")
DRAFT = model("draft", urgency="deferrable", worth=3.0, answer_within_s=60.0)


def ask_all(book, wishes, now):
    for item in wishes:
        book.ask(item, now)


def test_no_more_is_granted_than_slots():
    book = PoolBook(pool(prefill=4, slots=2))
    wishes = [wish(LOOKUP, due=0.7, max_tokens=200) for _ in range(4)]
    ask_all(book, wishes, 0.0)
    assert [w.reservation_id in book.placed_by_id for w in wishes] == [
        True,
        True,
        False,
        False,
    ]
    refused = book.refused_by_id[wishes[2].reservation_id]
    assert refused.reason is Reason.OVERLOADED
    assert refused.retry_after_s >= 0.1


def test_prefill_starts_when_a_slot_will_be_free_at_its_end():
    book = PoolBook(pool(slots=1))
    first = wish(LOOKUP, due=0.7, prompt_tokens=10, max_tokens=20)
    second = wish(LOOKUP, due=1.5, prompt_tokens=300)
    book.ask(first, 0.0)
    book.prefill_ended(first.reservation_id, 0.01)
    book.ask(second, 0.02)
    end = book.decode_by_runner["d0"].end_by_reservation[first.reservation_id]
    book.decide(end - 0.4)
    assert second.reservation_id in book.waiting_by_id
    book.decide(end - 0.29)
    assert second.reservation_id in book.placed_by_id


def test_long_prefill_does_not_take_the_slot_that_a_lookup_waits_for():
    book = PoolBook(pool(prefill=2, slots=1))
    held = wish(LOOKUP, due=0.7, prompt_tokens=10, max_tokens=20)
    book.ask(held, 0.0)
    book.prefill_ended(held.reservation_id, 0.01)
    waiting = wish(LOOKUP, due=5.0, prompt_tokens=10)
    draft = wish(DRAFT, due=60.0, prompt_tokens=500)
    book.ask(waiting, 0.3)
    book.ask(draft, 0.3)
    assert draft.reservation_id in book.waiting_by_id
    book.release(held.reservation_id, 0.5)
    assert waiting.reservation_id in book.placed_by_id


def test_idle_runner_is_used_when_the_one_with_the_prefix_has_a_queue():
    book = PoolBook(pool(prefill=2, slots=20))
    hashes = tuple(range(12))
    wishes = [wish(LOOKUP, 2.0, prompt_tokens=400, prefix=hashes) for _ in range(9)]
    book.ask(wishes[0], 0.0)
    book.prefill_ended(wishes[0].reservation_id, 0.4)
    ask_all(book, wishes[1:], 0.4)
    used = {placed.prefill_runner for placed in book.placed_by_id.values()}
    assert used == {"p0", "p1"}


def test_prefix_brings_a_prompt_to_the_runner_that_has_it():
    book = PoolBook(pool(prefill=2, slots=20))
    hashes = tuple(range(12))
    for number in range(4):
        item = wish(LOOKUP, number + 0.7, prompt_tokens=400, prefix=hashes)
        book.ask(item, float(number))
        book.prefill_ended(item.reservation_id, number + 0.4)
    assert {p.prefill_runner for p in book.placed_by_id.values()} == {"p0"}


def test_worthier_request_displaces_one_that_waits():
    book = PoolBook(pool(slots=20))
    proof = model("critique", worth=20.0)
    low = [wish(LOOKUP, due=0.7, prompt_tokens=150) for _ in range(4)]
    high = [wish(proof, due=0.75, prompt_tokens=150) for _ in range(3)]
    ask_all(book, low, 0.0)
    ask_all(book, high, 0.01)
    kept = book.waiting_by_id.keys() | book.placed_by_id.keys()
    assert all(item.reservation_id in kept for item in high)
    assert low[3].reservation_id in book.refused_by_id


def test_late_request_is_refused_when_it_arrives():
    book = PoolBook(pool(slots=20))
    item = wish(LOOKUP, due=0.7, prompt_tokens=800)
    book.ask(item, 0.0)
    assert item.reservation_id in book.refused_by_id
    assert not book.placed_by_id


def test_aged_draft_goes_before_lookups():
    book = PoolBook(pool(slots=20))
    worthy = model("draft", urgency="deferrable", worth=50.0, answer_within_s=60.0)
    busy = wish(LOOKUP, due=100.7, prompt_tokens=300)
    book.ask(busy, 100.0)
    young = wish(worthy, due=155.0, prompt_tokens=100)
    aged = wish(worthy, due=110.0, prompt_tokens=100)
    lookup = wish(LOOKUP, due=100.7, prompt_tokens=100)
    ask_all(book, [young, lookup, aged], 100.0)
    book.prefill_ended(busy.reservation_id, 100.3)
    assert aged.reservation_id in book.placed_by_id
    assert lookup.reservation_id in book.waiting_by_id
    assert young.reservation_id in book.waiting_by_id


def test_closed_runner_gets_no_work():
    book = PoolBook(pool(decode=2))
    book.closed.add("d0")
    wishes = [wish(LOOKUP, due=0.7) for _ in range(2)]
    ask_all(book, wishes, 0.0)
    assert {p.decode_runner for p in book.placed_by_id.values()} == {"d1"}
    book.closed |= {"d1"}
    item = wish(LOOKUP, due=0.7)
    book.ask(item, 0.0)
    assert book.refused_by_id[item.reservation_id].reason is Reason.NO_RUNNER


def test_decode_time_is_learnt():
    book = PoolBook(pool(slots=20))
    for number in range(60):
        item = wish(LOOKUP, due=number + 0.7, max_tokens=100)
        book.ask(item, float(number))
        book.prefill_ended(item.reservation_id, number + 0.1)
        book.release(item.reservation_id, number + 0.11 + 2.0)
    last = wish(LOOKUP, due=100.7, max_tokens=100)
    book.ask(last, 100.0)
    book.prefill_ended(last.reservation_id, 100.1)
    end = book.decode_by_runner["d0"].end_by_reservation[last.reservation_id]
    assert end == pytest.approx(102.1, abs=0.1)


def test_new_home_presumes_slots_until_all_have_announced():
    book = PoolBook(pool(slots=20))
    handover = Handover(book)
    lane = book.decode_by_runner["d0"]
    hosts = [f"host-{n}" for n in range(4)]
    handover.begin(hosts, 10.0)
    assert lane.free_slots == 0
    handover.announced(hosts[0], 10.1)
    assert lane.free_slots == 5
    handover.expire(10.0 + HANDOVER_S)
    assert lane.free_slots == 20


def test_local_shares_stay_within_the_slots():
    share = share_of(pool(slots=20), hosts=8)
    assert {runner.slots for runner in share.runners} == {2}


def test_retries_are_a_tenth():
    budget = RetryBudget()
    assert sum(budget.spend() for _ in range(30)) == 10
    for _ in range(100):
        budget.earn()
    assert sum(budget.spend() for _ in range(30)) in (9, 10)
