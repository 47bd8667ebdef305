"""Stateful fuzz test of the configuration.

Each generation must belong to exactly one apply, and the generation in force at a
host must never decrease.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from lib.fake_key_value import CallOutcome, FakeKeyValue

from siskinlever._internal.configuration.current import CurrentConfiguration
from siskinlever._internal.configuration.root import Root
from siskinlever._internal.configuration.store import ConfigurationStore
from siskinlever._internal.exceptions import (
    ConflictError,
    PlatformError,
    StoreUnavailableError,
)
from siskinlever._internal.models.declaration import Declaration
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

HOSTS = 3
MAX_RUNNING = 6


def content(number):
    return Declaration(
        version=1, leaving_hosts=[{"name": f"host-{number}"}]
    ).model_dump_json()


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent applies, with hosts that read the store and their peers."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        self.store = FakeKeyValue()
        self.configurations = ConfigurationStore(self.store, "siskinlever")
        self.current = [self._new_host() for _ in range(HOSTS)]
        self.highest_seen = [0] * HOSTS
        self.applying = []
        self.reading = []
        self.applies = 0
        self.accepted = {}
        self.refused = set()

    def _new_host(self):
        async def make():
            return CurrentConfiguration()

        return self.loop.run_until_complete(make())

    @rule(host=st.integers(0, HOSTS - 1), checks_base=st.booleans())
    @precondition(lambda self: len(self.applying) < MAX_RUNNING)
    def apply(self, host, checks_base):
        self.applies += 1
        base = self.current[host].generation if checks_base else None
        self._start_apply(f"apply-{self.applies}", self.applies, base)

    @rule(data=st.data())
    @precondition(lambda self: self.applies)
    def repeat_apply(self, data):
        """The command line retries at another host if an answer is lost."""
        self.repeat_apply_number(data.draw(st.integers(1, self.applies)))

    def repeat_apply_number(self, number):
        if f"apply-{number}" not in self.refused:
            self._start_apply(f"apply-{number}", number, None)

    def _start_apply(self, apply_id, number, base):
        write = self.configurations.write(content(number).encode(), apply_id, base)
        self.applying.append((apply_id, self.loop.create_task(write)))
        self.loop.advance_time()

    @rule(host=st.integers(0, HOSTS - 1))
    @precondition(lambda self: len(self.reading) < MAX_RUNNING)
    def read(self, host):
        task = self.loop.create_task(self.configurations.read())
        self.reading.append((host, task))
        self.loop.advance_time()

    @rule(data=st.data(), fate=st.sampled_from(CallOutcome))
    @precondition(lambda self: self.store.calls)
    def settle(self, data, fate):
        self.store.settle(data.draw(st.sampled_from(self.store.calls)), fate)
        self.loop.advance_time()

    @rule()
    @precondition(lambda self: self.store.calls)
    def serve_all(self):
        self.store.serve_all(self.loop.advance_time)

    @rule(data=st.data())
    @precondition(lambda self: self.store.late)
    def late_write_arrives(self, data):
        self.store.late.pop(data.draw(st.integers(0, len(self.store.late) - 1)))()

    @rule(seconds=st.sampled_from([0.1, 0.4, 3.0]))
    def time_passes(self, seconds):
        self.loop.advance_time(seconds)

    @rule(sender=st.integers(0, HOSTS - 1), receiver=st.integers(0, HOSTS - 1))
    def pull_from_peer(self, sender, receiver):
        if self.current[sender].value is not None:
            self.current[receiver].advance(self.current[sender].value)

    @rule(host=st.integers(0, HOSTS - 1))
    def replace_host(self, host):
        self.current[host] = self._new_host()
        self.highest_seen[host] = 0

    @invariant()
    def generations_are_totally_ordered(self):
        self._collect()
        history = self._history()
        assert [root.generation for root in history] == [
            number + 1 for number in range(len(history))
        ]
        assert len({root.apply_id for root in history}) == len(history)
        apply_by_generation = {root.generation: root.apply_id for root in history}
        for apply_id, generation in self.accepted.items():
            assert apply_by_generation[generation] == apply_id
        assert not self.refused & set(apply_by_generation.values())
        for host, current in enumerate(self.current):
            assert current.generation >= self.highest_seen[host]
            self.highest_seen[host] = current.generation
            if current.value is not None:
                found = apply_by_generation[current.generation]
                assert current.value.apply_id == found

    def _history(self):
        return [
            Root.model_validate_json(value).in_force
            for key, value in self.store.written
            if key == self.configurations.root_key
        ]

    @invariant()
    def configuration_in_force_has_all_parts(self):
        history = self._history()
        for name in history[-1].parts if history else ():
            assert any(key.endswith(name) for key in self.store.record_by_key)

    def _collect(self):
        for apply_id, task in [a for a in self.applying if a[1].done()]:
            self.applying.remove((apply_id, task))
            self._record_result(apply_id, task)
        for host, task in [r for r in self.reading if r[1].done()]:
            self.reading.remove((host, task))
            if task.exception() is None and task.result() is not None:
                self.current[host].advance(task.result())
            assert isinstance(task.exception(), PlatformError | None)

    def _record_result(self, apply_id, task):
        error = task.exception()
        if error is None:
            assert self.accepted.setdefault(apply_id, task.result()) == task.result()
        elif isinstance(error, ConflictError | StoreUnavailableError):
            others = [a for a, _ in self.applying if a == apply_id]
            if not others and apply_id not in self.accepted:
                self.refused.add(apply_id)
        else:
            assert isinstance(error, PlatformError)

    def teardown(self):
        while self.applying or self.reading:
            self.store.serve_all(self.loop.advance_time)
            self.loop.advance_time(1.0)
            self.generations_are_totally_ordered()
        self.loop.finish()


TestConfiguration = ConfigurationMachine.TestCase
