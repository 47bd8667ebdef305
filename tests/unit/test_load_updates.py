"""Load updates: how hosts merge each other's loads at engines."""

from __future__ import annotations

from lib.discarded_log import DISCARDED_LOG

from siskinlever._internal.fleet.hosts import (
    HostStatus,
    HostTable,
    HostWork,
    RunnerLoad,
)
from siskinlever._internal.fleet.in_progress import InProgress
from siskinlever._internal.fleet.load_updates import PERIOD_S, update_period_s
from siskinlever._internal.logs.lines import LogLines
from siskinlever._internal.metrics.registry import Metrics
from siskinlever._internal.models.upstreams import RunnerKey

ENGINE, PLAIN = RunnerKey("e-1", 0), RunnerKey("p-1", 0)
PLAIN_LOAD = RunnerLoad(requests=3)


def generation(tokens: int) -> dict[RunnerKey, RunnerLoad]:
    return {ENGINE: RunnerLoad(1, tokens)}


def table() -> HostTable:
    log = LogLines("host-a", Metrics(), DISCARDED_LOG)
    return HostTable("host-a", log)


def status(incarnation: int = 1) -> HostStatus:
    return HostStatus("host-b", "zone", incarnation, "10.0.0.2:1", "10.0.0.2:2", True)


def work(tokens: int, engine_changes: int) -> HostWork:
    loads = {PLAIN: PLAIN_LOAD, **generation(tokens)}
    return HostWork(load_by_runner=loads, engine_changes=engine_changes)


def test_update_replaces_the_loads_at_engines_only():
    hosts = table()
    hosts.update_host(status(), work(1_000, engine_changes=4))
    hosts.update_engine_loads("host-b", 1, 5, generation(3_000))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 3_000)
    assert hosts.load_of(PLAIN) == PLAIN_LOAD
    hosts.update_engine_loads("host-b", 1, 6, {})
    assert hosts.load_of(ENGINE) == RunnerLoad()


def test_outdated_update_is_ignored():
    hosts = table()
    hosts.update_host(status(), work(1_000, engine_changes=4))
    hosts.update_engine_loads("host-b", 1, 6, generation(2_000))
    hosts.update_engine_loads("host-b", 1, 5, generation(3_000))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 2_000)


def test_outdated_exchange_keeps_the_loads_of_a_later_update():
    hosts = table()
    hosts.update_host(status(), work(1_000, engine_changes=4))
    hosts.update_engine_loads("host-b", 1, 6, generation(2_000))
    hosts.update_host(status(), work(1_000, engine_changes=5))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 2_000)
    hosts.update_host(status(), work(4_000, engine_changes=7))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 4_000)


def test_update_of_another_incarnation_is_ignored():
    hosts = table()
    hosts.update_engine_loads("host-b", 1, 1, generation(500))
    assert hosts.load_of(ENGINE) == RunnerLoad()
    hosts.update_host(status(incarnation=2), work(1_000, engine_changes=1))
    hosts.update_engine_loads("host-b", 1, 9, generation(9_000))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 1_000)
    hosts.update_host(status(incarnation=3), work(2_000, engine_changes=0))
    assert hosts.load_of(ENGINE) == RunnerLoad(1, 2_000)


def test_observers_are_called_for_changes_at_engines_only():
    in_progress = InProgress()
    changes = []
    in_progress.subscribe(lambda: changes.append(in_progress.engine_changes))
    with in_progress.request(PLAIN):
        assert not changes
    with in_progress.prefill(ENGINE, 3_000), in_progress.decode(ENGINE, 3_500):
        assert changes == [1, 2]
    assert changes == [1, 2, 3, 4]


def test_update_period_grows_with_the_number_of_hosts():
    assert update_period_s(7) == PERIOD_S
    assert update_period_s(35) == 0.5
