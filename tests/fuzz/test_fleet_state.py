"""Stateful tests of a host's view of the fleet against simple oracles."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from lib.discarded_log import DISCARDED_LOG
from lib.runners import registration

from siskinlever._internal.fleet.configuration import ConfigurationInForce
from siskinlever._internal.fleet.runners import RunnerDirectory
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.routes import FleetConfiguration

NAMES = st.sampled_from(["r-1", "r-2", "r-3"])
STARTS = st.sampled_from([0, 10, 20])
NO_OUTAGE = float("-inf")


def quiet_log() -> LogLines:
    return LogLines("host", Metrics(), DISCARDED_LOG)


class Runners(RuleBasedStateMachine):
    """A process is not usable once any source has reported that it is leaving."""

    def __init__(self) -> None:
        super().__init__()
        self.directory = RunnerDirectory(2.0, quiet_log())
        self.store: dict[str, tuple[int, bool, int]] = {}
        self.reported_leaving: set[tuple[str, int]] = set()
        self.sequence = 0
        self.written: list[tuple[str, int, bool, int]] = []

    def _key_pairs(self) -> set[tuple[str, int]]:
        return {(key.name, key.started_at) for key in self.directory.by_key}

    @rule(name=NAMES, started=STARTS, draining=st.booleans())
    def register(self, name, started, draining):
        known = self.store.get(name)
        if known is not None and known[0] > started:
            return
        self.sequence += 1
        self.store[name] = (started, draining, self.sequence)
        self.written.append((name, *self.store[name]))

    @rule(name=NAMES)
    def remove(self, name):
        self.store.pop(name, None)

    @rule(data=st.data())
    def registration_read_by_a_peer(self, data):
        if not self.written:
            return
        name, started, draining, sequence = data.draw(st.sampled_from(self.written))
        found = registration(
            name, draining=draining, sequence=sequence, started_at=started
        )
        self.directory.add_known([found])
        if draining:
            self.reported_leaving.add((name, started))

    @rule()
    def read_store(self):
        found = [
            registration(name, draining=draining, sequence=sequence, started_at=started)
            for name, (started, draining, sequence) in self.store.items()
        ]
        self.directory.replace_all(found, NO_OUTAGE)
        for name, (started, draining, _) in self.store.items():
            if draining:
                self.reported_leaving.add((name, started))
        usable = {(r.key.name, r.key.started_at) for r in self.directory.usable("s")}
        # A registered process that was never reported as leaving must be usable.
        for name, (started, draining, _) in self.store.items():
            if not draining and (name, started) not in self.reported_leaving:
                assert (name, started) in usable
        assert usable <= {(n, s) for n, (s, _, _) in self.store.items()}

    @rule(name=NAMES, started=STARTS)
    def peer_reports_draining(self, name, started):
        self.directory.mark_draining(name, started, "peer")
        if (name, started) in self._key_pairs():
            self.reported_leaving.add((name, started))

    @invariant()
    def leaving_process_is_not_usable(self):
        usable = {(r.key.name, r.key.started_at) for r in self.directory.usable("s")}
        assert not usable & self.reported_leaving


class Configurations(RuleBasedStateMachine):
    """The version in force is always the newest version received."""

    def __init__(self) -> None:
        super().__init__()
        self.in_force = ConfigurationInForce(self._decode, quiet_log())
        self.newest = 0

    @staticmethod
    def _decode(document: bytes) -> FleetConfiguration:
        return FleetConfiguration(int(document), {}, {})

    @rule(version=st.integers(1, 40))
    def advance(self, version):
        before = self.in_force.version
        changed = self.in_force.advance(str(version).encode(), "store")
        self.newest = max(self.newest, version)
        assert changed == (version > before)

    @invariant()
    def newest_is_in_force(self):
        assert self.in_force.version == self.newest


TestRunners = Runners.TestCase
TestConfigurations = Configurations.TestCase
