"""How a host decides which runners it has lost and which hosts may help."""

from __future__ import annotations

from siskinlever._internal.dispatch.runner_paths import (
    FAILED_HELPER_S,
    LOST_S,
    MAX_HELPERS,
    TRIAL_PERIOD_S,
    Helper,
    RunnerPaths,
)
from siskinlever._internal.models.ids import HostName, RunnerName, ZoneName
from siskinlever._internal.models.upstreams import Address, RunnerKey, StartedAt

RUNNER = RunnerKey(RunnerName("r-1"), StartedAt(1))
OWN_ZONE = ZoneName("zone-a")


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def helper(name: str, zone: str = OWN_ZONE, is_suspect: bool = False) -> Helper:
    return Helper(HostName(name), ZoneName(zone), Address(f"{name}:1"), is_suspect)


def test_runner_is_lost_from_a_failed_connection_until_the_next_success():
    paths = RunnerPaths(OWN_ZONE, Clock())
    assert not paths.is_lost(RUNNER)
    assert paths.note_direct(RUNNER, reached=False)
    assert paths.lost() == [RUNNER]
    assert not paths.note_direct(RUNNER, reached=False)
    assert paths.note_direct(RUNNER, reached=True)
    assert not paths.lost()


def test_runner_that_nobody_tries_is_not_lost_for_long():
    clock = Clock()
    paths = RunnerPaths(OWN_ZONE, clock)
    paths.note_direct(RUNNER, reached=False)
    clock.now += LOST_S + 0.1
    assert not paths.is_lost(RUNNER)
    assert not paths.lost()


def test_lost_runner_is_tried_directly_once_a_period():
    clock = Clock()
    paths = RunnerPaths(OWN_ZONE, clock)
    assert not paths.claim_trial(RUNNER)
    paths.note_direct(RUNNER, reached=False)
    assert not paths.claim_trial(RUNNER)
    clock.now += TRIAL_PERIOD_S
    assert [paths.claim_trial(RUNNER) for _ in range(3)] == [True, False, False]


def test_changes_are_told():
    paths, changes = RunnerPaths(OWN_ZONE, Clock()), []
    paths.subscribe(lambda: changes.append(paths.lost()))
    for reached in (True, False, False, True, True):
        paths.note_direct(RUNNER, reached)
    assert changes == [[RUNNER], []]


def test_first_helper_is_of_the_own_zone_and_the_second_of_another():
    paths = RunnerPaths(OWN_ZONE, Clock())
    hosts = [helper("a-1"), helper("a-2"), helper("b-1", "zone-b"), helper("a-3")]
    for _ in range(20):
        first, second, *_ = paths.helpers(RUNNER, hosts)
        assert (first.zone, second.zone) == (OWN_ZONE, "zone-b")


def test_helpers_share_the_load():
    paths = RunnerPaths(OWN_ZONE, Clock())
    hosts = [helper(f"a-{number}") for number in range(4)]
    firsts = {paths.helpers(RUNNER, hosts)[0].host for _ in range(100)}
    assert firsts == {host.host for host in hosts}


def test_hosts_that_failed_or_are_silent_are_asked_last():
    clock = Clock()
    paths = RunnerPaths(OWN_ZONE, clock)
    hosts = [helper("a-1"), helper("a-2", is_suspect=True), helper("b-1", "zone-b")]
    paths.note_helper_failed(HostName("a-1"), RUNNER)
    order = [host.host for host in paths.helpers(RUNNER, hosts)]
    assert order == ["b-1", "a-2", "a-1"]
    clock.now += FAILED_HELPER_S
    assert paths.helpers(RUNNER, hosts)[0].host == "a-1"


def test_few_hosts_are_asked_and_none_if_there_is_none():
    paths = RunnerPaths(OWN_ZONE, Clock())
    hosts = [helper(f"a-{number}") for number in range(9)]
    assert len(paths.helpers(RUNNER, hosts)) == MAX_HELPERS
    assert paths.helpers(RUNNER, []) == []
