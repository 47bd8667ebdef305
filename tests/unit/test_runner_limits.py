"""Limits that runners state, divided among hosts that know each other to a degree."""

from __future__ import annotations

from bisect import bisect_left
from random import Random
from unittest.mock import Mock

import pytest

from siskinlever._internal.dispatch.runner_limits import RunnerLimits, sender_share
from siskinlever._internal.gateway.errors import limited
from siskinlever._internal.models.ids import HostName, RunnerName
from siskinlever._internal.models.upstreams import RunnerKey, StartedAt

RUNNER = RunnerKey(RunnerName("r-1"), StartedAt(1))
WINDOW_S = 4.0
STEP_S = 0.05
CHECK_PERIOD_S = 0.25


class Fleet:
    """Hosts that send a runner all that they may, on a clock of the test.

    `known` maps each host to the hosts that it knows. They have known each other for
    some time when the runner states its limit.
    """

    def __init__(self, names: list[str], limit: float) -> None:
        self.now = 100.0
        self.known = {HostName(n): frozenset(map(HostName, names)) for n in names}
        self.limits = {name: self._limits(name) for name in self.known}
        self.sent: list[float] = []
        self._next_check_at = self.now
        self.wait(10.0)
        for limits in self.limits.values():
            limits.note(RUNNER, limit)

    def _limits(self, name: HostName) -> RunnerLimits:
        hosts = lambda: self.known[name]
        return RunnerLimits(name, hosts, Mock(), Mock(), lambda: self.now)

    def restart(self, name: HostName) -> None:
        """Let a host begin anew; it is told the limit of the runner at once."""
        before, self.limits[name] = self.limits[name], self._limits(name)
        self.limits[name].note_report(RUNNER, before.limit_of(RUNNER), 0.0, "peer")

    def wait(self, seconds: float) -> None:
        """Let time pass; no host sends anything."""
        for _ in range(int(seconds / STEP_S)):
            self._step()

    def run(self, seconds: float, senders: list[HostName] | None = None) -> None:
        """Let hosts send as often as they may."""
        for _ in range(int(seconds / STEP_S)):
            self._step()
            for name in senders or self.limits:
                if self.limits[name].take(RUNNER):
                    self.sent.append(self.now)

    def _step(self) -> None:
        self.now += STEP_S
        if self.now >= self._next_check_at:
            self._next_check_at = self.now + CHECK_PERIOD_S
            for limits in self.limits.values():
                limits.keep_only([RUNNER])

    def most_in_window(self) -> int:
        """Return the largest number of requests in a window; they are in order."""
        ends = (bisect_left(self.sent, at + WINDOW_S) for at in self.sent)
        return max((end - start for start, end in enumerate(ends)), default=0)


def allowed(limit: float) -> float:
    return 1.5 * limit * WINDOW_S + 5


def names(count: int) -> list[str]:
    return [f"host-{number}" for number in range(count)]


@pytest.mark.parametrize("limit", [0.0, 0.4, 1.0, 3.2, 4.1, 12.5, 300.0])
@pytest.mark.parametrize("hosts", [1, 2, 7, 8, 15, 84, 195])
def test_hosts_together_stay_within_a_limit(hosts, limit):
    fleet = Fleet(names(hosts), limit)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.0, 0.4, 3.2, 12.5])
@pytest.mark.parametrize("hosts", [7, 15, 84])
def test_hosts_that_saved_their_shares_stay_within_a_limit(hosts, limit):
    """No host has sent anything for long, and then all do at once."""
    fleet = Fleet(names(hosts), limit)
    fleet.now += 60.0
    fleet.run(8.0)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.4, 3.2, 12.5])
@pytest.mark.parametrize("hosts", [7, 8])
def test_host_without_any_peer_does_not_break_a_limit(hosts, limit):
    fleet = Fleet(names(hosts), limit)
    alone = HostName("host-0")
    fleet.known[alone] = frozenset({alone})
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.0, 0.7, 1.0, 2.0, 3.2, 5.0, 12.5])
@pytest.mark.parametrize("hosts", [7, 8, 15, 84])
def test_replaced_hosts_do_not_break_a_limit(hosts, limit):
    """Half of the hosts still know the old host, the others the new one."""
    fleet = Fleet(names(hosts), limit)
    everyone = frozenset(map(HostName, names(hosts)))
    for number, name in enumerate(fleet.known):
        if number % 2:
            fleet.known[name] = everyone - {HostName("host-0")} | {HostName("new")}
    fleet.now += 30.0
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.4, 3.2, 12.5])
@pytest.mark.parametrize("hosts", [24, 84, 195])
def test_hosts_outside_the_serving_set_do_not_break_a_limit(hosts, limit):
    """All hosts have callers; limits are divided among nine of them."""
    fleet = Fleet(names(hosts), limit)
    for name in fleet.known:
        fleet.known[name] = frozenset(map(HostName, names(9)))
    fleet.wait(10.0)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(limit)


def rotate_serving_set(fleet: Fleet, seconds: int, late_s: int) -> None:
    """Replace a host of the serving set each second; every other host hears late."""
    everyone = list(fleet.known)
    random = Random(7)
    history = [frozenset(everyone[:9])] * (late_s + 1)
    for _ in range(seconds):
        left = random.choice(sorted(history[-1]))
        joined = random.choice(sorted(set(everyone) - history[-1]))
        history.append(history[-1] - {left} | {joined})
        for number, name in enumerate(everyone):
            fleet.known[name] = history[-1 - late_s * (number % 2)]
        fleet.run(1.0)


@pytest.mark.parametrize("limit", [0.4, 3.2, 12.5])
@pytest.mark.parametrize("hosts", [24, 84, 195])
def test_hosts_that_learn_of_changes_late_do_not_break_a_limit(hosts, limit):
    fleet = Fleet(names(hosts), limit)
    rotate_serving_set(fleet, 40, late_s=3)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.4, 3.2, 12.5])
def test_hosts_that_restart_do_not_break_a_limit(limit):
    fleet = Fleet(names(84), limit)
    for name in fleet.known:
        fleet.known[name] = frozenset(map(HostName, names(9)))
    for second in range(40):
        for number in range(10):
            fleet.restart(HostName(f"host-{(second * 10 + number) % 84}"))
        fleet.run(1.0)
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("limit", [0.4, 3.2, 12.5])
def test_fleet_that_grows_does_not_break_a_limit(limit):
    """Up to 12 hosts divide limits among all that they know, a larger fleet does not.

    Every other host learns of each change 3 s late.
    """
    fleet = Fleet(names(30), limit)
    everyone = list(fleet.known)
    bases = [frozenset(everyone[:size]) for size in range(5, 13)]
    bases += [frozenset(everyone[:9])] * 10 + [frozenset(everyone[:12])] * 10
    for second in range(3, len(bases)):
        for number, name in enumerate(everyone):
            fleet.known[name] = bases[second - 3 * (number % 2)]
        fleet.run(1.0)
    assert fleet.most_in_window() <= allowed(limit)


def test_limit_that_falls_or_ends_applies_at_once():
    fleet = Fleet(names(7), 20.0)
    fleet.run(10.0)
    for limits in fleet.limits.values():
        limits.note(RUNNER, 1.0)
    fleet.sent.clear()
    fleet.run(10.0)
    assert fleet.most_in_window() <= allowed(1.0)
    for limits in fleet.limits.values():
        limits.note(RUNNER, None)
    assert all(limits.may_send(RUNNER) for limits in fleet.limits.values())


@pytest.mark.parametrize(("hosts", "least_share"), [(7, 0.6), (8, 0.6), (84, 0.6)])
def test_callers_on_all_hosts_use_most_of_a_limit(hosts, least_share):
    fleet = Fleet(names(hosts), 3.2)
    fleet.run(60.0)
    assert len(fleet.sent) >= least_share * 3.2 * 60.0


def test_newest_statement_of_all_hosts_is_in_force():
    fleet = Fleet(names(2), 3.2)
    limits = fleet.limits[HostName("host-0")]
    limits.note_report(RUNNER, None, 1.0, "host-1")
    assert limits.limit_of(RUNNER) == 3.2
    fleet.now += 3.0
    limits.note_report(RUNNER, None, 1.0, "host-1")
    assert limits.limit_of(RUNNER) is None
    assert limits.recent()[RUNNER].per_s is None


def test_reports_that_travel_do_not_become_newer_than_the_answer():
    """Hosts repeat to each other that a limit has ended; each report takes 60 ms."""
    fleet = Fleet(names(9), 3.2)
    first, *others = fleet.limits.values()
    fleet.now += 2.0
    first.note(RUNNER, None)
    ended_at = fleet.now
    for _ in range(100):
        for teller in (first, *others):
            age_s = fleet.now - teller.by_runner[RUNNER].stated_at
            per_s = teller.limit_of(RUNNER)
            fleet.now += 0.06
            for hearer in fleet.limits.values():
                hearer.note_report(RUNNER, per_s, age_s, "host")
    newest = max(limits.by_runner[RUNNER].stated_at for limits in fleet.limits.values())
    assert newest <= ended_at + 1.0


def test_another_process_of_a_runner_has_no_limit():
    limits = Fleet(names(1), 3.2).limits[HostName("host-0")]
    assert limits.may_send(RunnerKey(RUNNER.name, StartedAt(2)))


def test_limits_of_unknown_runners_are_removed():
    limits = Fleet(names(1), 3.2).limits[HostName("host-0")]
    limits.may_send(RUNNER)
    limits.keep_only([RUNNER])
    assert limits.limit_of(RUNNER) == 3.2
    limits.keep_only([])
    assert not limits.by_runner


def test_request_that_is_sent_long_after_it_was_counted_is_counted_again():
    fleet = Fleet(names(1), 3.2)
    limits = fleet.limits[HostName("host-0")]
    assert not limits.may_send(RUNNER)
    fleet.wait(10.0)
    assert limits.take(RUNNER)
    counted_at = fleet.now
    fleet.now += 0.5
    assert limits.take_late(RUNNER, counted_at)
    fleet.now += 0.6
    assert not limits.take_late(RUNNER, counted_at)


def test_request_that_was_counted_before_a_limit_is_counted_again():
    _, limits = alone()
    counted_at = limits._now()
    assert limits.take(RUNNER)
    limits.note(RUNNER, 3.2)
    assert not limits.take_late(RUNNER, counted_at - 0.1)


def test_wait_is_the_time_until_the_next_request():
    fleet = Fleet(names(1), 3.2)
    limits = fleet.limits[HostName("host-0")]
    wait_s = limits.wait_s([RUNNER])
    fleet.now += wait_s - 0.01
    assert not limits.may_send(RUNNER)
    fleet.now += 0.02
    assert limits.may_send(RUNNER)


def test_runner_is_sent_requests_by_few_hosts_of_a_large_fleet():
    hosts = frozenset(map(HostName, names(195)))
    shares = [sender_share(RUNNER, 3.2, host, hosts) for host in hosts]
    assert sum(share > 0 for share in shares) == 7
    assert sum(shares) == pytest.approx(1.0)


def alone() -> tuple[Fleet, RunnerLimits]:
    """Return a fleet of one host, and its limits; the runner has stated none."""
    fleet = Fleet(names(1), 3.2)
    limits = fleet.limits[HostName("host-0")]
    limits.note(RUNNER, None)
    return fleet, limits


def test_pause_ends_at_its_time_and_the_load_comes_back_gradually():
    fleet, limits = alone()
    limits.note_pause(RUNNER, 2.0)
    assert limits.are_paused([RUNNER])
    assert limits.wait_s([RUNNER]) == pytest.approx(2.0)
    fleet.run(1.99)
    assert not fleet.sent
    fleet.run(0.5)
    assert 0 < len(fleet.sent) <= 5
    fleet.now += 1.0
    assert all(limits.take(RUNNER) for _ in range(50))


def test_shorter_pause_does_not_end_a_longer_one():
    fleet, limits = alone()
    limits.note_pause(RUNNER, 5.0)
    limits.note_pause(RUNNER, 0.0)
    fleet.now += 4.9
    assert not limits.may_send(RUNNER)


def test_pause_of_a_runner_with_a_limit_does_not_lift_the_limit():
    fleet = Fleet(names(7), 3.2)
    for limits in fleet.limits.values():
        limits.note_pause(RUNNER, 1.0)
    fleet.run(20.0)
    assert fleet.most_in_window() <= allowed(3.2)


def test_other_runners_are_not_paused():
    _, limits = alone()
    other = RunnerKey(RUNNER.name, StartedAt(2))
    limits.note_pause(RUNNER, 5.0)
    assert limits.may_send(other) and not limits.are_paused([RUNNER, other])
    assert limits.wait_s([RUNNER, other]) == 0.0


def test_caller_is_not_told_to_come_back_before_it_can_be_served():
    assert all(limited("s", 2.0).retry_after_s >= 2.0 for _ in range(50))
    assert len({limited("s", 2.0).retry_after_s for _ in range(50)}) > 40
