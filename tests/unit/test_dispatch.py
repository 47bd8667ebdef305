"""Placement, queueing, stage and retry decisions, each under the load it handles."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from lib.runners import engine, plain

from siskinlever._internal.dispatch.caller_waits import CallerWaitTracker
from siskinlever._internal.dispatch.engine_placement import (
    INITIAL_PREFILL_RATE,
    OTHER_ZONE_WAIT_S,
    EnginePlacement,
)
from siskinlever._internal.dispatch.plain_placement import PlainPlacement
from siskinlever._internal.dispatch.reachability import Reachability
from siskinlever._internal.dispatch.recent_failures import RecentFailures
from siskinlever._internal.dispatch.refused_reservations import (
    FIRST_SKIP_S,
    MAX_SKIP_S,
    RefusedReservations,
)
from siskinlever._internal.dispatch.retry_accounting import RetryAccounting
from siskinlever._internal.dispatch.retry_budget import SharedRetryBudget
from siskinlever._internal.dispatch.stage_plan import StageWork, next_change
from siskinlever._internal.dispatch.urgency import (
    ON_TIME_CAPACITY_SHARE,
    URGENT_SEEN_S,
    RecentPriorities,
)
from siskinlever._internal.dispatch.wait_queue import Waiter, WaitQueue
from siskinlever._internal.fleet.hosts import RunnerLoad
from siskinlever._internal.gateway.errors import EndReason, refused
from siskinlever._internal.models.host_settings import RetryBounds
from siskinlever._internal.models.routes import EngineSpec
from siskinlever._internal.models.upstreams import LoadReport, Stage
from siskinlever._internal.stages.switching import StageSwitch, StageSwitches
from siskinlever._internal.utils.clock import monotonic

# Slots, KV cache capacity in tokens, and handle lifetime, stage switch and longest
# hold in seconds.
SPEC = EngineSpec(16, 36_000, 0.5, 6.0, 2.0)
BOUNDS = RetryBounds(share=0.2, extra=56, window_s=10.0)
SERVICE = "s"


def reachable(key) -> Reachability:
    return Reachability.REACHABLE


class Clock:
    """A clock that only moves when ``now`` is set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def test_hosts_together_stay_within_retry_budget():
    """Every runner fails all requests and each host uses its whole retry budget."""
    clock = Clock()
    budgets = [SharedRetryBudget(BOUNDS, lambda: 8, True, clock) for _ in range(8)]
    spent: list[float] = []
    requests: list[float] = []
    for _ in range(400):
        clock.now += 0.1
        for budget in budgets:
            budget.note_request(SERVICE)
            requests.append(clock.now)
            if budget.spend(SERVICE):
                spent.append(clock.now)
    for end in set(spent):
        window = [moment for moment in spent if end - 10 < moment <= end]
        seen = [moment for moment in requests if end - 10 < moment <= end]
        assert len(window) <= 0.2 * len(seen) + 56
    assert len(spent) > 0.5 * 0.2 * len(requests)


def test_isolated_host_spends_only_its_share():
    clock = Clock()
    budget = SharedRetryBudget(BOUNDS, lambda: 8, True, clock)
    budget.note_request(SERVICE)
    assert sum(budget.spend(SERVICE) for _ in range(100)) <= 56 / 8 + 1


def test_restarted_host_spends_no_extra_for_one_window():
    """Retries from before the restart still count in the fleet's window."""
    clock = Clock()
    budget = SharedRetryBudget(BOUNDS, lambda: 8, False, clock)
    for _ in range(20):
        budget.note_request(SERVICE)
    assert sum(budget.spend(SERVICE) for _ in range(100)) == 3
    clock.now += 10.1
    assert sum(budget.spend(SERVICE) for _ in range(100)) == 5


def test_requests_before_window_are_discarded():
    clock = Clock()
    budget = SharedRetryBudget(BOUNDS, lambda: 8, True, clock)
    for _ in range(10_000):
        clock.now += 0.1
        budget.note_request(SERVICE)
    assert len(budget._request_times[SERVICE]) <= 101


def test_plain_requests_are_spread_and_prefer_same_zone():
    in_progress: Counter = Counter()
    placement = PlainPlacement("a", lambda key: in_progress[key], reachable)
    runners = [plain("p-1", "a"), plain("p-2", "b"), plain("p-3", "c")]
    for _ in range(2):
        in_progress[placement.choose(runners, ()).key] += 1
    assert in_progress[runners[0].key] == 2
    for _ in range(16):
        in_progress[placement.choose(runners, ()).key] += 1
    assert max(in_progress.values()) <= 8
    assert min(in_progress[runner.key] for runner in runners) >= 4


def test_failing_runner_is_avoided_and_unreachable_runner_is_last():
    placement = PlainPlacement("a", lambda key: 0, reachable)
    runners = [plain("p-1", "a"), plain("p-2", "b")]
    for _ in range(12):
        placement.note_outcome(runners[0].key, failed=True)
    assert placement.choose(runners, ()).key.name == "p-2"
    placement.reachability_of = lambda key: (
        Reachability.UNREACHABLE if key.name == "p-2" else Reachability.REACHABLE
    )
    assert placement.choose(runners, ()).key.name == "p-1"
    assert placement.choose(runners, {r.key for r in runners}) is None


def test_recent_load_report_is_used():
    placement = PlainPlacement("a", lambda key: 0, reachable)
    runners = [plain("p-1", "a"), plain("p-2", "b")]
    # 6 requests are running and 4 are waiting on 6 slots.
    placement.note_load(runners[0].key, LoadReport(6, 4, 6))
    assert placement.choose(runners, ()).key.name == "p-2"


def placement_with(loads) -> EnginePlacement:
    return EnginePlacement("a", lambda key: loads.get(key, RunnerLoad()), reachable)


def test_decode_engine_with_most_free_capacity_is_first():
    engines = [engine("e-1", Stage.DECODE), engine("e-2", Stage.DECODE)]
    placement = placement_with({engines[0].key: RunnerLoad(4, 16_000)})
    names = [r.key.name for r in placement.decode_candidates(engines, SPEC, 4000)]
    assert names == ["e-2", "e-1"]


def test_hosts_of_different_zones_ask_different_engines_first():
    """Twelve hosts that place at the same time, with equal knowledge of the loads."""
    engines = [
        replace(engine(f"e-{zone}{number}", Stage.DECODE), zone=zone)
        for zone in "ab"
        for number in range(3)
    ]
    loads = {
        runner.key: RunnerLoad(number, 2_000 * number)
        for number, runner in enumerate(engines)
    }
    placement = placement_with(loads)
    first = {}
    for zone in "ab":
        placement.zone = zone
        first[zone] = placement.decode_candidates(engines, SPEC, 4000)[0].zone
    assert first == {"a": "a", "b": "b"}
    # Engines of other zones are used before those of this one are full.
    loads[engines[0].key] = loads[engines[1].key] = RunnerLoad(6, 24_000)
    loads[engines[2].key] = RunnerLoad(6, 24_000)
    placement.zone = "a"
    assert placement.decode_candidates(engines, SPEC, 4000)[0].zone == "b"


def test_late_generation_leaves_capacity_for_on_time_ones():
    engines = [engine("e-1", Stage.DECODE)]
    placement = placement_with({engines[0].key: RunnerLoad(8, 28_000)})
    assert placement.decode_candidates(engines, SPEC, 4000)
    late_share = placement.priorities.capacity_share(0, is_late=True)
    assert not placement.decode_candidates(engines, SPEC, 4000, late_share)


def test_less_urgent_generation_leaves_capacity_while_more_urgent_ones_arrive():
    """The canal hire: a workspace's or a route's urgent generations are few."""
    clock = Clock()
    priorities = RecentPriorities(clock)
    priorities.note(2)
    assert priorities.capacity_share(2, is_late=False) == ON_TIME_CAPACITY_SHARE
    priorities.note(0)
    urgent, less_urgent, late = (
        priorities.capacity_share(priority, is_late)
        for priority, is_late in ((0, False), (2, False), (2, True))
    )
    assert late < less_urgent < urgent == ON_TIME_CAPACITY_SHARE
    clock.now += URGENT_SEEN_S + 1
    assert priorities.capacity_share(2, is_late=False) == ON_TIME_CAPACITY_SHARE
    for priority in range(100):
        clock.now += URGENT_SEEN_S
        priorities.note(priority)
    assert len(priorities._seen_at_by_priority) <= 2


def test_full_engine_is_retried_soon_and_excluded_engine_never():
    engines = [engine("e-1", Stage.DECODE), engine("e-2", Stage.DECODE)]
    clock = Clock()
    placement = placement_with({})
    placement.refused = RefusedReservations(clock)
    placement.note_refused(engines[0].key, 10)
    found = placement.decode_candidates(engines, SPEC, 10, 1.0, {engines[1].key})
    assert found == []
    clock.now += FIRST_SKIP_S
    assert placement.decode_candidates(engines, SPEC, 10)


def test_engine_that_refuses_everything_is_asked_rarely_and_last():
    """An engine leaves while the store is out, and no host knows of load there."""
    clock = Clock()
    refusing, serving = engine("e-1", Stage.DECODE), engine("e-2", Stage.DECODE)
    placement = placement_with({serving.key: RunnerLoad(4, 16_000)})
    placement.refused = RefusedReservations(clock)
    asked_at = []
    for _ in range(400):
        clock.now += 0.025
        first = placement.decode_candidates([refusing, serving], SPEC, 4000)[0]
        if first is refusing:
            asked_at.append(clock.now)
            placement.note_refused(refusing.key, 4000)
    # Three refusals in a row, then one every 4 s of the 10 s.
    assert len(asked_at) <= 5
    # It is asked even so when nothing else has capacity.
    waits = placement.decode_candidates([refusing], SPEC, 4000)
    clock.now += MAX_SKIP_S
    assert waits or placement.decode_candidates([refusing], SPEC, 4000)
    placement.note_granted(refusing.key)
    assert placement.decode_candidates([refusing, serving], SPEC, 4000)[0] is refusing


def test_smaller_generation_may_fit_where_a_larger_one_was_refused():
    """Other hosts have just filled an engine, and one of its generations ends."""
    loads = {engine("e-1", Stage.DECODE).key: RunnerLoad(4, 30_000)}
    engines = [engine("e-1", Stage.DECODE)]
    placement = placement_with(loads)
    placement.note_refused(engines[0].key, 5_000)
    assert not placement.decode_candidates(engines, SPEC, 5_000)
    assert placement.decode_candidates(engines, SPEC, 2_000)
    loads[engines[0].key] = RunnerLoad(3, 26_000)
    assert placement.decode_candidates(engines, SPEC, 5_000)


def test_prompt_goes_to_shortest_prefill_queue_or_decode_engine():
    engines = [engine("e-1", Stage.PREFILL), engine("e-2", Stage.PREFILL)]
    placement = placement_with({engines[0].key: RunnerLoad(prefill_tokens=3000)})
    assert placement.prefill_candidate(engines, "a", 0.5).key.name == "e-2"
    busy = {e.key: RunnerLoad(prefill_tokens=30_000) for e in engines}
    assert placement_with(busy).prefill_candidate(engines, "a", 0.5) is None
    assert placement_with(busy).prefill_candidate(engines, "a", 1.5) is not None
    assert placement.prefill_candidate([], "a", 0.5) is None


def test_prompt_is_prefilled_in_zone_of_decode_engine_unless_it_would_wait_long():
    """KV caches that cross zones are the largest part of the canal hire's bytes."""
    here, there = engine("e-1", Stage.PREFILL), engine("e-2", Stage.PREFILL)
    there = replace(there, zone="b")
    rate = INITIAL_PREFILL_RATE
    for wait_s, chosen in ((OTHER_ZONE_WAIT_S / 2, here), (0.15, there)):
        load = RunnerLoad(prefill_tokens=int(wait_s * rate))
        placement = placement_with({here.key: load})
        assert placement.prefill_candidate([here, there], "a", 0.4) is chosen


def test_long_prompt_is_not_prefilled_on_decode_engine_with_running_streams():
    """A prefill on a decode engine pauses the streams that run there.

    Regression test for the deployment ftp-innmeld: in a burst each prompt that a
    decode engine prefilled made up to nine streams late.
    """
    decode = engine("e-1", Stage.DECODE)
    placement = placement_with({})
    assert placement.allows_direct_prefill(decode, 6_000, 0.3)
    placement.note_output(4_690, 70)
    assert placement.allows_direct_prefill(decode, 2_000, 0.3)
    assert not placement.allows_direct_prefill(decode, 6_000, 0.3)
    assert placement.allows_direct_prefill(decode, 6_000, 0.0)
    prefilling = placement_with({decode.key: RunnerLoad(prefill_tokens=2_000)})
    prefilling.note_output(4_690, 70)
    assert not prefilling.allows_direct_prefill(decode, 2_000, 0.3)
    engines = [engine("e-2", Stage.PREFILL)]
    busy = placement_with({engines[0].key: RunnerLoad(prefill_tokens=60_000)})
    choose = busy.prefill_candidate
    assert choose(engines, "a", 0.5) is None
    assert choose(engines, "a", 0.5, allows_direct=False) is engines[0]
    assert choose([], "a", 0.5, allows_direct=False) is None


def test_streams_with_few_tokens_an_event_bear_a_prefill():
    """The engine sends events while it prefills, piece by piece.

    Regression test for the deployment ramdin-atelier: prompts that waited for the
    prefill engine instead were late themselves.
    """
    placement = placement_with({})
    for _ in range(50):
        placement.note_output(511, 73)
    assert placement.allows_direct_prefill(engine("e-1", Stage.DECODE), 6_000, 0.3)


def test_late_prompt_waits_for_prefill_engine_up_to_bound():
    engines = [engine("e-1", Stage.PREFILL)]
    short = placement_with({engines[0].key: RunnerLoad(prefill_tokens=20_000)})
    assert short.prefill_candidate(engines, "a", -0.5) is not None
    long = placement_with({engines[0].key: RunnerLoad(prefill_tokens=60_000)})
    assert long.prefill_candidate(engines, "a", -0.5) is None


@pytest.mark.parametrize(
    ("prefill", "decode", "work", "stage"),
    [
        (3, 3, StageWork(0.0, 0.0), Stage.DECODE),
        (2, 4, StageWork(1.3, 4.2), None),
        (1, 5, StageWork(2.5, 2.5), Stage.PREFILL),
        (1, 5, StageWork(0.1, 5.0), None),
        (1, 1, StageWork(0.1, 5.0), None),
        (4, 1, StageWork(4.0, 1.0), None),
        (1, 0, StageWork(0.0, 0.0), Stage.DECODE),
        (2, 0, StageWork(2.0, 0.0), Stage.DECODE),
        (0, 1, StageWork(2.0, 2.0), None),
    ],
)
def test_next_change_follows_work(prefill, decode, work, stage):
    engines = [engine(f"p-{n}", Stage.PREFILL) for n in range(prefill)]
    engines += [engine(f"d-{n}", Stage.DECODE) for n in range(decode)]
    change = next_change(engines, work)
    assert (change.stage if change else None) is stage


def test_planned_changes_converge():
    """For any work, planning converges and keeps both stages."""
    for prefill_work in range(0, 12):
        engines = [engine(f"e-{n}", Stage.PREFILL) for n in range(6)]
        for _ in range(12):
            change = next_change(engines, StageWork(prefill_work / 2, 2.0))
            if change is None:
                break
            engines.remove(change.runner)
            engines.append(engine(change.runner.key.name, change.stage))
        assert change is None
        assert {e.stage for e in engines} == {Stage.PREFILL, Stage.DECODE}


def test_queue_puts_on_time_waiters_first():
    now = monotonic()
    queue = WaitQueue()
    late = Waiter(0, now - 5, now - 4)
    first = Waiter(1, now - 0.2, now + 0.3)
    urgent = Waiter(0, now - 0.1, now + 0.4)
    with queue.enqueued(late), queue.enqueued(first), queue.enqueued(urgent):
        assert urgent.at_head.is_set() and not first.at_head.is_set()
        assert not late.at_head.is_set()
    assert len(queue) == 0


def test_next_waiter_becomes_head_when_head_leaves():
    now = monotonic()
    queue = WaitQueue()
    first, second = Waiter(1, now, now + 1), Waiter(1, now + 0.1, now + 1)
    with queue.enqueued(second):
        with queue.enqueued(first):
            assert first.at_head.is_set() and not second.at_head.is_set()
        assert second.at_head.is_set()


def test_engine_reported_unreachable_is_last():
    engines = [engine("e-1", Stage.DECODE), engine("e-2", Stage.DECODE)]
    placement = placement_with({engines[1].key: RunnerLoad(8, 30_000)})
    placement.reachability_of = lambda key: (
        Reachability.REPORTED_UNREACHABLE
        if key.name == "e-1"
        else Reachability.REACHABLE
    )
    names = [r.key.name for r in placement.decode_candidates(engines, SPEC, 4000)]
    assert names == ["e-2", "e-1"]
    placement.reachability_of = lambda key: Reachability.UNREACHABLE
    assert placement.decode_candidates(engines, SPEC, 4000) == []


def test_engine_serves_new_stage_before_registration_shows_it():
    switching = StageSwitches()
    key = engine("e-1", Stage.PREFILL).key
    switching.begin(key, Stage.DECODE, 6.0)
    assert switching.by_runner()[key].unavailable_s > 5.0
    switching.complete(key)
    assert switching.by_runner()[key] == StageSwitch(Stage.DECODE, 0.0)
    switching.cancel(key)
    assert switching.by_runner() == {}


def test_retrying_caller_has_waited_since_its_first_request():
    clock = Clock()
    tracker = CallerWaitTracker(clock)
    assert tracker.prior_wait_s("r", 14.0, 14.0) == 0.0
    assert tracker.prior_wait_s("r", 14.0, 10.5) == 3.5
    assert tracker.prior_wait_s("r", 14.0, None) == 0.0
    assert tracker.prior_wait_s("other", 14.0, 10.5) == 0.0


def test_callers_of_different_patience_are_not_taken_for_retrying_ones():
    """Callers that state 12 to 14 s with their first request have not waited.

    Regression test for the deployment ftp-innmeld: most first requests counted as
    late, and waited for capacity behind those that were not.
    """
    tracker = CallerWaitTracker(Clock())
    generator = random.Random(5)
    first = [
        tracker.prior_wait_s("r", 14.0, generator.uniform(11.9, 14.0))
        for _ in range(200)
    ]
    assert sum(wait_s > 0.1 for wait_s in first) <= 0.2 * len(first)
    assert sum(first) / len(first) < 0.1
    retried = [
        tracker.prior_wait_s("r", 14.0, generator.uniform(6.0, 9.0)) for _ in range(40)
    ]
    assert min(retried) > 2.5


def test_outdated_longest_timeout_is_dropped():
    """A long remembered timeout makes other callers' requests late only for a time.

    It is dropped when it expires or exceeds a reduced timeout of the route.
    """
    clock = Clock()
    tracker = CallerWaitTracker(clock)
    tracker.prior_wait_s("r", 14.0, 14.0)
    assert tracker.prior_wait_s("r", 12.0, 14.0) == 0.0
    tracker = CallerWaitTracker(clock)
    tracker.prior_wait_s("r", 60.0, 60.0)
    assert tracker.prior_wait_s("r", 60.0, 14.0) == 46.0
    clock.now += 21.0
    assert tracker.prior_wait_s("r", 60.0, 14.0) == 0.0


def test_retry_after_is_jittered():
    """Callers that are refused together must not retry at the same time."""
    times = [
        refused(EndReason.OVERLOADED, "full", 2.0).retry_after_s for _ in range(40)
    ]
    assert min(times) >= 1.2 and max(times) <= 2.8
    assert max(times) - min(times) > 0.8


def test_runner_with_broken_answers_is_avoided_temporarily():
    """The caller loses an answer that breaks off: the request must not be retried."""
    clock = Clock()
    placement = PlainPlacement("a", lambda runner: 0, reachable)
    placement.broken_answers = RecentFailures(2.0, clock)
    near, far = plain("near", "a"), plain("far", "b")
    placement.note_broken_answer(near.key)
    assert placement.choose([near, far], set()) is far
    clock.now += 10.0
    assert placement.choose([near, far], set()) is near
    placement.note_broken_answer(near.key)
    placement.note_broken_answer(far.key)
    assert placement.choose([near, far], set()) is near


def test_first_accepted_prefill_is_exempt_but_rejected_one_is_not():
    charged = []
    retries = RetryAccounting(lambda: charged.append(1) or True)
    assert retries.is_prefill_exempt
    retries.note_prefilled()
    assert not retries.is_prefill_exempt
    assert retries.charge_next() and not charged
    rejected = RetryAccounting(lambda: False)
    rejected.note_arrival()
    assert not rejected.is_prefill_exempt
    assert not rejected.charge_next()


def test_charged_send_stays_charged_until_it_is_made():
    charged = []
    retries = RetryAccounting(lambda: charged.append(1) or True)
    retries.note_arrival()
    assert retries.charge_next() and retries.charge_next() and len(charged) == 1
    retries.note_arrival()
    assert retries.charge_next() and len(charged) == 2


def test_engine_that_lost_generation_is_avoided_temporarily():
    clock = Clock()
    engines = [engine("e-1", Stage.DECODE), engine("e-2", Stage.DECODE)]
    placement = placement_with({engines[1].key: RunnerLoad(1, 4_000)})
    placement.failures = RecentFailures(3.0, clock)
    first = lambda: placement.decode_candidates(engines, SPEC, 4_000)[0].key.name
    assert first() == "e-1"
    placement.failures.note(engines[0].key)
    assert first() == "e-2"
    clock.now += 9.0
    assert first() == "e-1"


def test_engine_that_rejects_prompts_is_avoided():
    clock = Clock()
    engines = [engine("e-1", Stage.PREFILL), engine("e-2", Stage.PREFILL)]
    placement = placement_with({engines[1].key: RunnerLoad(prefill_tokens=2_000)})
    placement.failures = RecentFailures(3.0, clock)
    chosen = lambda: placement.prefill_candidate(engines, "a", 1.0).key.name
    assert chosen() == "e-1"
    placement.failures.note(engines[0].key)
    assert chosen() == "e-2"


def test_failure_counts_decay_and_are_removed():
    clock = Clock()
    failures = RecentFailures(3.0, clock)
    key = engine("e-1", Stage.DECODE).key
    failures.note(key)
    failures.note(key)
    assert failures.count_of(key) == 2.0
    clock.now += 3.0
    assert failures.count_of(key) == 1.0
    clock.now += 60.0
    failures.note(engine("e-2", Stage.DECODE).key)
    assert list(failures._count_by_runner) == [engine("e-2", Stage.DECODE).key]


def test_stream_that_needs_a_version_does_not_block_the_others():
    """The engines of its version are full; the next generation may use any engine."""
    queue = WaitQueue()
    pinned = Waiter(1, 1.0, monotonic() + 5, version="v1")
    others = [Waiter(1, 2.0 + n, monotonic() + 5) for n in range(2)]
    with queue.enqueued(pinned), queue.enqueued(others[0]), queue.enqueued(others[1]):
        assert pinned.at_head.is_set() and others[0].at_head.is_set()
        assert not others[1].at_head.is_set()


def test_waiter_that_all_engines_have_failed_lets_others_pass():
    queue = WaitQueue()
    failed, next_one = Waiter(1, 0.0, 0.0), Waiter(1, 1.0, 0.0)
    with queue.enqueued(failed), queue.enqueued(next_one):
        failed.has_engines = False
        queue.reorder()
        assert next_one.at_head.is_set() and not failed.at_head.is_set()
        failed.has_engines = True
        queue.reorder()
        assert failed.at_head.is_set() and not next_one.at_head.is_set()
