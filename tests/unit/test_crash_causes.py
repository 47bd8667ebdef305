"""Which requests are refused after crashes of runners."""

from __future__ import annotations

from itertools import count, permutations

import pytest

from siskinlever._internal.dispatch import cause_search, crash_causes, crash_evidence
from siskinlever._internal.dispatch.crash_causes import CrashCauses
from siskinlever._internal.dispatch.crash_evidence import CrashedRun, crash_weight
from siskinlever._internal.models.traits import Trait
from siskinlever._internal.models.upstreams import RunnerKey

STRONG, WEAK = crash_evidence.BEGUN_WEIGHT, crash_evidence.WRITING_WEIGHT


class Fleet:
    """Crashes and whole answers in virtual time, as one host sees them."""

    def __init__(self) -> None:
        self.time = 1000.0
        self.causes = CrashCauses(now=lambda: self.time, wall=lambda: self.time)
        self._numbers = count(1)

    def crash(self, *runs: str, weight: float = STRONG) -> RunnerKey:
        """Crash a runner under requests with these traits, "F S" for two of them."""
        self.time += cause_search.SIMULTANEOUS_S + 0.01
        number = next(self._numbers)
        runner = RunnerKey(f"e-{number}", number)
        self.causes.merge(
            runner,
            [
                CrashedRun(f"r-{number}-{n}", tuple(map(Trait, run.split())), weight)
                for n, run in enumerate(runs)
            ],
        )
        return runner

    def decide(self) -> None:
        self.time += crash_causes.SETTLE_S + 0.01
        self.causes.decide()

    def whole(self, traits: str) -> None:
        self.causes.note_whole(map(Trait, traits.split()))
        self.causes.decide()

    def is_refused(self, traits: str) -> bool:
        return self.causes.bar_against(traits.split()) is not None


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_part_is_barred_after_three_crashes_of_runs_that_had_just_begun(fleet):
    fleet.whole("F")
    for session in ("S1", "S2"):
        fleet.crash(f"F {session} B")
    fleet.decide()
    assert not fleet.is_refused("F S3 B")
    fleet.crash("F S3 B")
    fleet.decide()
    assert fleet.is_refused("F S4 B")
    assert not fleet.is_refused("F S3")


def test_part_is_barred_by_the_fifth_crash_of_runs_that_had_written_events(fleet):
    fleet.whole("F")
    for number in range(5):
        assert not fleet.is_refused("F B")
        fleet.crash(f"F S{number} B", weight=WEAK)
        fleet.decide()
    assert fleet.is_refused("F B")


def test_parts_that_always_came_together_are_barred_together_until_told_apart(fleet):
    for _ in range(3):
        fleet.crash("F B")
    fleet.decide()
    assert fleet.is_refused("F B") and fleet.is_refused("F S B")
    assert not fleet.is_refused("F S") and not fleet.is_refused("F2 B")
    fleet.whole("F S")
    assert fleet.is_refused("F2 B")
    assert not fleet.is_refused("F")


def test_further_crash_tells_parts_apart_that_came_together(fleet):
    fleet.whole("F")
    for _ in range(3):
        fleet.crash("F S B")
    fleet.decide()
    fleet.crash("F S2 B")
    fleet.crash("F S2 B")
    fleet.decide()
    assert fleet.is_refused("F S3 B")
    assert not fleet.is_refused("F S")


def test_requests_with_the_same_evidence_are_all_barred_until_told_apart(fleet):
    fleet.whole("F")
    for _ in range(3):
        fleet.crash("F B", "F S")
    fleet.decide()
    assert fleet.is_refused("F B") and fleet.is_refused("F S")
    assert not fleet.is_refused("F")
    fleet.whole("F S")
    assert fleet.is_refused("F B") and not fleet.is_refused("F S")


def test_sound_run_that_had_written_events_beside_the_cause_is_not_barred(fleet):
    fleet.whole("F")
    for number in range(3):
        fleet.time += 1
        bad, sound = (
            CrashedRun("b", (Trait("F"), Trait("B")), STRONG),
            CrashedRun("s", (Trait("F"), Trait("S")), WEAK),
        )
        fleet.causes.merge(RunnerKey(f"e-{number}", 0), [bad, sound])
    fleet.decide()
    assert fleet.is_refused("F B") and not fleet.is_refused("F S")


def test_part_shared_by_all_requests_is_not_barred_for_an_unrelated_crash(fleet):
    """No answer was whole since all hosts started."""
    for _ in range(3):
        fleet.crash("F B", "F S")
    fleet.crash("F S2")
    fleet.decide()
    assert not fleet.is_refused("F S3")


def test_whole_answer_acquits_for_earlier_crashes_and_those_soon_after(fleet):
    for _ in range(2):
        fleet.crash("S")
    fleet.whole("S")
    fleet.crash("S")
    fleet.decide()
    assert not fleet.is_refused("S")


def test_part_that_became_bad_is_barred_once_its_last_whole_answer_is_old(fleet):
    fleet.whole("B")
    fleet.time += crash_causes.ACQUITTAL_S + 1
    for _ in range(3):
        fleet.crash("B")
    fleet.decide()
    assert fleet.is_refused("B")


def test_whole_answer_lifts_a_bar(fleet):
    for _ in range(3):
        fleet.crash("B")
    fleet.decide()
    assert fleet.is_refused("B")
    fleet.whole("B")
    assert not fleet.is_refused("B")


def test_crashes_of_one_runner_count_once(fleet):
    runner = fleet.crash("B", "B", "B")
    fleet.causes.merge(runner, [CrashedRun("r", (Trait("B"),), STRONG)])
    fleet.decide()
    assert not fleet.is_refused("B")


def test_two_parts_that_crash_runners_are_both_barred(fleet):
    fleet.whole("F")
    for _ in range(3):
        fleet.crash("F B1", "F S")
        fleet.crash("F B2")
    fleet.whole("F S")
    fleet.decide()
    assert fleet.is_refused("F B1") and fleet.is_refused("F B2")


def test_bar_lasts_while_requests_are_refused_for_it(fleet):
    for _ in range(3):
        fleet.crash("B")
    fleet.decide()
    for _ in range(5):
        fleet.time += crash_causes.RETENTION_S * 0.9
        fleet.decide()
        assert fleet.is_refused("B")
    fleet.time += crash_causes.RETENTION_S + 1
    fleet.decide()
    assert not fleet.is_refused("B") and not fleet.causes.crash_by_runner


def test_hosts_with_the_same_evidence_agree_whatever_its_order():
    evidence = [("F S1 B", "F S2"), ("F S1 B",), ("F S3 B", "F S1"), ("F S4",)]
    digests, bars = set(), set()
    for order in permutations(range(len(evidence))):
        fleet = Fleet()
        for number in order:
            runs = [
                CrashedRun(f"r-{number}-{n}", tuple(map(Trait, run.split())), STRONG)
                for n, run in enumerate(evidence[number])
            ]
            runner = RunnerKey(f"e-{number}", number)
            reported_ms = 1000 * number + 5000
            fleet.causes.merge(runner, runs[:1], [Trait("F")], reported_ms=reported_ms)
            fleet.causes.merge(runner, runs, reported_ms=reported_ms + 7)
        fleet.decide()
        digests.add(fleet.causes.digest)
        bars.add(frozenset(bar.traits for bar in fleet.causes.bars))
    assert len(digests) == len(bars) == 1


def test_evidence_is_bounded(fleet):
    for number in range(500):
        fleet.crash(*(f"S{number}-{run}" for run in range(50)))
    crashes = fleet.causes.crash_by_runner
    assert len(crashes) == crash_causes.MAX_CRASHES
    assert all(len(c.runs) == crash_causes.MAX_RUNS for c in crashes.values())


def test_part_in_steady_use_stays_acquitted_whatever_else_comes(fleet):
    for number in range(3 * crash_causes.MAX_ACQUITTED):
        fleet.causes.note_whole([Trait(f"S{number}")])
        if number % 1000 == 0:
            fleet.causes.note_whole([Trait("F")])
    for _ in range(5):
        fleet.crash("F")
    fleet.decide()
    assert not fleet.is_refused("F")


@pytest.mark.parametrize(
    ("call_s", "after_head_s", "events", "reads_prompt", "weight"),
    [
        (0.3, 0.1, 0, False, STRONG),
        (0.3, 0.1, 3, False, WEAK),
        (1.5, 1.1, 0, False, 0.0),
        (4.0, 3.9, 80, False, 0.0),
        (1.5, 1.1, 0, True, 0.0),
        (4.0, 3.9, 80, True, 0.0),
        (0.1, None, 0, False, crash_evidence.UNANSWERED_WEIGHT),
        (1.1, None, 0, False, 0.0),
        (0.1, None, 0, True, crash_evidence.UNANSWERED_WEIGHT),
        (9.0, None, 0, True, crash_evidence.UNANSWERED_WEIGHT),
    ],
)
def test_only_runs_that_had_just_begun_are_blamed(
    call_s, after_head_s, events, reads_prompt, weight
):
    assert crash_weight(call_s, after_head_s, events, reads_prompt) == weight


def test_request_is_barred_after_three_crashes_though_it_had_no_answer(fleet):
    for _ in range(3):
        assert not fleet.is_refused("request:R")
        fleet.crash("request:R", "request:other", weight=WEAK)
        fleet.whole("request:other")
        fleet.decide()
    assert fleet.is_refused("request:R")
    assert not fleet.is_refused("request:other")


def test_request_with_parts_of_sound_ones_is_barred_alone(fleet):
    for _ in range(3):
        fleet.crash("F S request:R")
    fleet.decide()
    assert fleet.is_refused("F S request:R")
    assert not fleet.is_refused("F S request:R2")


def test_part_is_barred_although_each_request_with_it_was_sent_twice(fleet):
    fleet.whole("F")
    for number in range(3):
        for _ in range(2):
            assert number < 2 or fleet.is_refused(f"F B request:R{number}")
            fleet.crash(f"F S{number} B request:R{number}")
        fleet.decide()
    assert fleet.is_refused("F S B request:R9")
    assert not fleet.is_refused("F S0 request:R0")


def test_sound_request_beside_two_crashes_does_not_hide_the_part(fleet):
    fleet.whole("F")
    for number in range(2):
        fleet.crash(f"F B request:R{number}", "F S request:sound")
    for number in range(2, 5):
        fleet.crash(f"F B request:R{number}")
    fleet.decide()
    assert fleet.is_refused("F B request:R9")
    assert not fleet.is_refused("F S request:sound")


def test_runs_that_had_written_events_do_not_widen_what_is_refused(fleet):
    """No answer was whole yet, and the request's trait is that of sound ones, too."""
    for number in range(2):
        bad, sound = (
            CrashedRun(name, tuple(map(Trait, traits.split())), weight)
            for name, traits, weight in (
                ("b", "F B request:R", STRONG),
                ("s", f"F S{number} request:R", WEAK),
            )
        )
        fleet.causes.merge(RunnerKey(f"e-{number}", 0), [bad, sound])
    fleet.decide()
    assert fleet.is_refused("F B request:R")
    assert not fleet.is_refused("F S9 request:R")


def test_part_of_all_requests_is_not_barred_when_all_runners_are_lost_at_once(fleet):
    """No answer was whole yet."""
    for number in range(12):
        run = CrashedRun(f"r-{number}", (Trait("F"), Trait(f"S{number}")), STRONG)
        fleet.causes.merge(RunnerKey(f"e-{number}", 0), [run])
    fleet.decide()
    assert not fleet.is_refused("F S")


def test_request_that_crashed_three_runners_at_once_is_barred(fleet):
    for number in range(3):
        run = CrashedRun("r", (Trait("request:R"),), WEAK)
        fleet.causes.merge(RunnerKey(f"e-{number}", 0), [run])
    fleet.decide()
    assert fleet.is_refused("request:R")


def test_bar_is_not_lifted_by_another_cause_of_some_of_its_crashes(fleet):
    """A sound request was sent again, and three runners crashed under it."""
    fleet.whole("F")
    traits = (Trait("F"), Trait("S"), Trait("request:again"))
    again = CrashedRun("s", traits, WEAK)
    fleet.crash("F B", "F B")
    for _ in range(2):
        fleet.causes.merge(fleet.crash("F B"), [again])
    fleet.decide()
    assert fleet.is_refused("F B")
    fleet.crash("F S request:again")
    fleet.decide()
    assert fleet.is_refused("F B")


def tries(fleet: Fleet, traits: str) -> bool:
    bar = fleet.causes.bar_against(traits.split())
    return bar is not None and fleet.causes.may_try(bar, traits.split())


def test_request_unlike_those_that_crashed_is_tried_and_lifts_a_wrong_bar(fleet):
    """No answer was whole when the first runners crashed."""
    for bad in ("B1", "B2", "B3"):
        fleet.crash(f"F {bad}")
    fleet.decide()
    assert fleet.is_refused("F S")
    assert tries(fleet, "F S") and not tries(fleet, "F S")
    fleet.whole("F S")
    assert not fleet.is_refused("F S2")


def test_trials_of_a_bar_end(fleet):
    for number in range(3):
        fleet.crash(f"F S{number} B")
    fleet.whole("F")
    fleet.decide()
    assert not tries(fleet, "F S0 B")
    trials = 0
    for number in range(10):
        fleet.time += crash_causes.MAX_TRIAL_PERIOD_S + 1
        if tries(fleet, f"F T{number} B request:T{number}"):
            trials += 1
            fleet.crash(f"F T{number} B")
            fleet.decide()
    assert trials == crash_causes.MAX_TRIED_CRASHES - 3
    assert fleet.is_refused("F S B")


def test_request_that_comes_again_is_not_tried(fleet):
    for _ in range(3):
        fleet.crash("F S request:R")
    fleet.decide()
    assert not tries(fleet, "F S request:R")


@pytest.mark.parametrize("order", list(permutations(range(4))))
def test_order_of_reports_of_simultaneous_crashes_does_not_matter(order):
    """The heavier of two simultaneous crashes counts."""
    evidence = [(1000, WEAK), (1010, STRONG), (5000, STRONG), (9000, WEAK)]
    fleet = Fleet()
    for number in order:
        reported_ms, weight = evidence[number]
        run = CrashedRun(f"r-{number}", (Trait("B"),), weight)
        runner = RunnerKey(f"e-{number}", number)
        fleet.causes.merge(runner, [run], reported_ms=reported_ms)
    fleet.decide()
    assert fleet.is_refused("B")


def test_requests_that_tell_nothing_are_tried_ever_less_often(fleet):
    """No runner was up when they were sent."""
    for number in range(3):
        fleet.crash(f"F S{number} B")
    fleet.whole("F")
    fleet.decide()
    trials = 0
    for number in range(60):
        fleet.time += 1
        trials += tries(fleet, f"F T{number} B")
    assert 4 <= trials <= 6
    fleet.time += crash_causes.MAX_TRIAL_PERIOD_S
    assert tries(fleet, "F T B")
