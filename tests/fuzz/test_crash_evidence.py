"""Hosts exchange evidence on crashes with messages that are lost, late or repeated."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import permutations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from siskinlever._internal.dispatch import crash_causes, crash_evidence
from siskinlever._internal.dispatch.crash_causes import CrashCauses
from siskinlever._internal.dispatch.crash_evidence import Crash, CrashedRun
from siskinlever._internal.models.traits import Trait
from siskinlever._internal.models.upstreams import RunnerKey

HOSTS = range(3)
hosts = st.sampled_from(HOSTS)
# One part of all prompts, parts of sessions, a part and a request that crash runners.
parts = st.sampled_from(["F S1", "F S2", "F S3 B", "F S1 B", "F S2 request:R"])
weights = st.sampled_from([crash_evidence.BEGUN_WEIGHT, crash_evidence.WRITING_WEIGHT])
Evidence = tuple[RunnerKey, frozenset[CrashedRun], frozenset[Trait], float, int]


class CrashEvidence(RuleBasedStateMachine):
    """The oracle is the set of all that was reported and not lost with its host."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 1000.0
        self.number = 0
        self.messages: list[list[Evidence]] = []

    @initialize()
    def start(self) -> None:
        self.causes = [self.new_host() for _ in HOSTS]

    def new_host(self) -> CrashCauses:
        return CrashCauses(now=lambda: self.time, wall=lambda: self.time)

    def snapshot(self, crashes: Iterable[Crash]) -> list[Evidence]:
        return [
            (c.runner, frozenset(c.runs), frozenset(c.acquitted), c.at, c.reported_ms)
            for c in crashes
        ]

    def deliver(self, message: list[Evidence], host: int) -> None:
        for runner, runs, acquitted, at, reported_ms in message:
            self.causes[host].merge(
                runner, runs, acquitted, self.time - at, 0.0, reported_ms
            )

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds: float) -> None:
        self.time += seconds

    @rule(host=hosts, others=st.lists(parts, min_size=1, max_size=3), weight=weights)
    def crash(self, host: int, others: list[str], weight: float) -> None:
        self.number += 1
        runs = [
            CrashedRun(f"{self.number}-{n}", tuple(map(Trait, text.split())), weight)
            for n, text in enumerate(others)
        ]
        self.causes[host].merge(RunnerKey(f"e-{self.number}", self.number), runs)

    @rule(host=hosts, traits=st.sampled_from(["F S1", "F S2", "F"]))
    def whole(self, host: int, traits: str) -> None:
        self.causes[host].note_whole(map(Trait, traits.split()))

    @rule(host=hosts)
    def send(self, host: int) -> None:
        crashes = self.causes[host].crash_by_runner.values()
        self.messages.append(self.snapshot(crashes))

    @rule(host=hosts, choice=st.integers(0, 1000))
    def receive(self, host: int, choice: int) -> None:
        """Deliver a message that was sent at any time, perhaps again."""
        if self.messages:
            self.deliver(self.messages[choice % len(self.messages)], host)

    @rule(host=hosts)
    def restart(self, host: int) -> None:
        self.causes[host] = self.new_host()

    def teardown(self) -> None:
        """Once all have exchanged all, they agree, and on nothing that is acquitted."""
        if not hasattr(self, "causes"):
            return
        for _ in range(2):
            for sender, receiver in permutations(HOSTS, 2):
                crashes = self.causes[sender].crash_by_runner.values()
                self.deliver(self.snapshot(crashes), receiver)
        self.time += crash_causes.SETTLE_S + 0.01
        for causes in self.causes:
            causes.decide()
        assert len({causes.digest for causes in self.causes}) == 1
        bars = [{bar.traits for bar in causes.bars} for causes in self.causes]
        assert all(found == bars[0] for found in bars)
        for bar in self.causes[0].bars:
            assert len(bar.crashes) >= 2
            assert not any(bar.traits & crash.acquitted for crash in bar.crashes)


TestCrashEvidenceMachine = CrashEvidence.TestCase
