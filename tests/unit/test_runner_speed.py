"""Estimates of runners' speeds, and the placement that uses them.

Requests were spread by requests per slot alone, so that runners on slow machines got as
many as the others.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from lib.runners import engine, plain

from siskinlever._internal.dispatch.engine_placement import EnginePlacement
from siskinlever._internal.dispatch.plain_placement import (
    OTHER_ZONE_PENALTY,
    PlainPlacement,
)
from siskinlever._internal.dispatch.reachability import Reachability
from siskinlever._internal.dispatch.runner_speed import RunnerSpeeds, Work
from siskinlever._internal.fleet.hosts import RunnerLoad
from siskinlever._internal.gateway.speed_reports import MAX_SERIES, SpeedReports
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.routes import EngineSpec
from siskinlever._internal.models.upstreams import LoadReport, RunnerKey, Stage
from siskinlever_testbed.model.uneven_runners import LOADS
from siskinlever_testbed.model.uneven_runners import play as play_load

RUNNERS = [plain(f"p-{i}", "ab"[i % 2]) for i in range(4)]
KEYS = [runner.key for runner in RUNNERS]
WORK = Work("s", "route")
WORK_S = 0.08
SPEC = EngineSpec(12, 26_000, 0.5, 6.0, 2.0)


class Clock:
    """A clock that only moves when ``now`` is set."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def speeds(clock) -> RunnerSpeeds:
    return RunnerSpeeds(clock)


def play(speeds, clock, seconds, factor_of, load=0.3, seed=1) -> None:
    """Note answers of all runners, two per second from each."""
    chance = random.Random(seed)
    for _ in range(round(seconds * 2)):
        clock.now += 0.5
        for key in KEYS:
            took_s = WORK_S * factor_of(key) * chance.uniform(0.85, 1.15)
            speeds.note_answer(key, WORK, took_s, load)


def report(work_time: float | None, running: int = 2) -> LoadReport:
    return LoadReport(running, 0, 6, work_time)


def placement_of(speeds, requests) -> PlainPlacement:
    return PlainPlacement(
        "a",
        lambda key: requests[key],
        lambda key: Reachability.REACHABLE,
        speeds=speeds,
    )


@pytest.mark.parametrize("work_time", [None, 1.0])
def test_placement_is_unchanged_where_speeds_do_not_differ(speeds, clock, work_time):
    """Noise in the times of equal runners must not change a single choice."""
    requests = Counter()
    placement = placement_of(speeds, requests)
    chance = random.Random(3)
    for step in range(2000):
        for key in KEYS:
            requests[key] = chance.randrange(9)
        clock.now += 0.1
        key = chance.choice(KEYS)
        placement.speeds.note_load(key, report(work_time))
        speeds.note_answer(key, WORK, WORK_S * chance.uniform(0.8, 1.25), 0.4)
        random.seed(step)
        chosen = placement.choose(RUNNERS, ())
        random.seed(step)
        shuffled = list(RUNNERS)
        random.shuffle(shuffled)
        expected = min(
            shuffled,
            key=lambda r: requests[r.key] / 6 + OTHER_ZONE_PENALTY * (r.zone != "a"),
        )
        assert chosen is expected


def test_report_counts_while_it_is_fresh_then_the_mean(speeds, clock):
    """A spell of 0.6 s must be avoided, and must not be remembered as a slow runner."""
    for _ in range(50):
        clock.now += 0.5
        speeds.note_load(KEYS[0], report(1.0))
    clock.now += 0.1
    speeds.note_load(KEYS[0], report(2.5))
    assert speeds.slowdown(KEYS[0]) == pytest.approx(2.5)
    clock.now += 0.3
    assert 1.4 < speeds.slowdown(KEYS[0]) < 2.0
    clock.now += 1.0
    assert speeds.slowdown(KEYS[0]) < 1.25


def test_change_is_followed_within_two_seconds_and_expires(speeds, clock):
    play(speeds, clock, 10, lambda key: 1.0)
    assert [speeds.slowdown(key) for key in KEYS] == [1.0] * 4
    play(speeds, clock, 2, lambda key: 2.5 if key == KEYS[0] else 1.0)
    assert speeds.slowdown(KEYS[0]) > 1.5
    assert [speeds.slowdown(key) for key in KEYS[1:]] == [1.0] * 3
    play(speeds, clock, 2.5, lambda key: 1.0)
    assert speeds.slowdown(KEYS[0]) < 1.4
    play(speeds, clock, 10, lambda key: 2.5 if key == KEYS[0] else 1.0)
    clock.now += 60.0
    assert speeds.slowdown(KEYS[0]) < 1.05


def test_burst_that_slows_all_runners_alike_changes_nothing(speeds, clock):
    play(speeds, clock, 10, lambda key: 1.0)
    for _ in range(8):
        play(speeds, clock, 0.5, lambda key: 3.0, load=1.5)
        assert [speeds.slowdown(key) for key in KEYS] == [1.0] * 4


def test_load_at_which_a_runner_slows_before_it_is_full(speeds, clock):
    for _ in range(60):
        play(speeds, clock, 0.5, lambda key: 1.0, load=0.2)
        play(speeds, clock, 0.5, lambda key: 3.0 if key == KEYS[0] else 1.0, load=0.8)
    assert speeds.slots_of(KEYS[0], 6) == pytest.approx(0.7 * 6)
    assert speeds.slots_of(KEYS[1], 6) == 6
    assert speeds.slowdown(KEYS[0], 0.8) > 1.5 * speeds.slowdown(KEYS[0], 0.2)


def test_new_or_restarted_process_is_normal_until_timed(speeds, clock):
    """A runner's first answers include the filling of its caches."""
    play(speeds, clock, 10, lambda key: 2.5 if key == KEYS[0] else 1.0)
    assert speeds.slowdown(KEYS[0]) > 1.5
    restarted = RunnerKey(KEYS[0].name, KEYS[0].started_at + 1)
    assert speeds.slowdown(restarted) == 1.0
    for _ in range(3):
        speeds.note_answer(restarted, WORK, 5 * WORK_S, 0.2)
    assert speeds.slowdown(restarted) == 1.0
    speeds.forget(KEYS[0])
    assert KEYS[0] not in speeds.runners()


def test_runner_that_may_have_recovered_gets_one_request_first(speeds, clock):
    for _ in range(20):
        clock.now += 0.2
        speeds.note_load(KEYS[0], report(2.5))
    speeds.note_load(KEYS[0], report(3.0))
    clock.now += 20.0
    assert speeds.slowdown(KEYS[0]) < 1.6
    speeds.note_sent(KEYS[0])
    assert speeds.slowdown(KEYS[0]) == pytest.approx(3.0)
    # A request that never reached the runner must not hold back others for ever.
    clock.now += 3.0
    assert speeds.slowdown(KEYS[0]) < 1.6
    speeds.note_load(KEYS[0], report(1.0))
    assert speeds.slowdown(KEYS[0]) == pytest.approx(1.0)


def test_hosts_with_the_same_reports_do_not_all_choose_one_runner(speeds, clock):
    for key, work_time in zip(KEYS, (0.97, 1.0, 1.02, 2.5), strict=True):
        speeds.note_load(key, report(work_time))
    runners = [plain(key.name, "a") for key in KEYS]
    placement = placement_of(speeds, Counter())
    random.seed(5)
    chosen = Counter(placement.choose(runners, ()).key for _ in range(300))
    assert max(chosen.values()) < 150
    assert chosen[KEYS[3]] == 0


def test_memory_is_bounded(speeds, clock):
    for i in range(10_000):
        speeds.note_answer(RunnerKey(f"r-{i}", i), Work("s", f"k-{i}"), 0.1, 0.1)
        speeds.note_load(RunnerKey(f"q-{i}", i), report(1.5))
    assert len(speeds.runners()) <= 4096
    assert len(speeds._usual_by_work) <= 256
    speeds.note_answer(KEYS[0], WORK, math.inf, 0.1)
    assert math.isfinite(speeds.slowdown(KEYS[0]))


def test_slow_engines_get_fewer_generations_and_prompts(speeds, clock):
    """Engines of speed 0.55 got as many generations as those of 1.2."""
    slowdown = {"d-0": 1.8, "p-0": 1.8}
    engines = [engine(f"d-{i}", Stage.DECODE) for i in range(4)]
    engines += [engine(f"p-{i}", Stage.PREFILL) for i in range(2)]
    loads: dict[RunnerKey, RunnerLoad] = {}
    placement = EnginePlacement(
        "a",
        lambda key: loads.get(key, RunnerLoad()),
        lambda key: Reachability.REACHABLE,
        slowdown_of=lambda key: slowdown.get(key.name, 0.83),
    )
    placed = Counter()
    for _ in range(24):
        best = placement.decode_candidates(engines, SPEC, 1000)[0]
        placed[best.key.name] += 1
        loads[best.key] = RunnerLoad(decode_tokens=1000 * placed[best.key.name])
    assert placed["d-0"] < 0.5 * placed["d-1"]
    assert placement.prefill_candidate(engines, "a", 1.0).key.name == "p-1"


def test_crossings_are_logged_once_and_series_are_bounded(speeds, clock):
    lines: list[tuple[str, dict]] = []
    log = SimpleNamespace(write=lambda event, **fields: lines.append((event, fields)))
    metrics = Metrics()
    reports = SpeedReports(speeds, log, metrics)
    for _ in range(400):
        clock.now += 0.1
        speeds.note_load(KEYS[0], report(3.0))
        reports.check(KEYS[0])
    assert [event for event, _ in lines] == ["runner.slow"]
    for i in range(300):
        speeds.note_load(RunnerKey(f"r-{i}", 1), report(1.0))
    reports.export()
    reports.export()
    text = metrics.exposition()
    assert text.count("siskinlever_runner_slowdown{") == MAX_SERIES
    assert 'siskinlever_runner_usual_slowdown{runner="p-0"} 3.0' in text
    speeds.forget(KEYS[0])
    reports.export()
    assert 'runner="p-0"' not in metrics.exposition()


def test_estimates_serve_more_on_time_than_fixed_slots():
    """One runner of four is slow from half of its slots on."""
    load = next(load for load in LOADS if load.knee < 1)
    fixed, learned = (
        play_load(load, p, range(1)) for p in ("fixed slots", "learned alone")
    )
    assert learned["late"] + learned["refused"] < 0.7 * (
        fixed["late"] + fixed["refused"]
    )


def test_runner_known_by_its_answers_alone_is_rechecked_by_one_request(speeds, clock):
    play(speeds, clock, 20, lambda key: 3.0 if key == KEYS[0] else 1.0)
    slow = speeds.slowdown(KEYS[0])
    clock.now += 15.0
    assert speeds.slowdown(KEYS[0]) < 0.7 * slow
    speeds.note_sent(KEYS[0])
    assert speeds.slowdown(KEYS[0]) > 0.7 * slow


def test_equal_runners_that_queue_in_bursts_are_placed_as_with_fixed_slots():
    """Waiting requests at all runners were taken for a load at which one slows."""
    load = next(load for load in LOADS if load.name == "equal runners")
    fixed, learned = (
        play_load(load, policy, range(2)) for policy in ("fixed slots", "learned alone")
    )
    assert learned == fixed
