"""One round of each duty of a host fails; the host and its peers go on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from lib.platform_world import configuration, platform_world, until

from siskinlever._internal.cli.main import main
from siskinlever._internal.daemon.gateway import GatewayHost
from siskinlever._internal.fleet import (
    allowance_exchange,
    crash_reports,
    store_follower,
)
from siskinlever._internal.utils import duties

BACK_WITHIN_S = 2.0
IN_FORCE_WITHIN_S = 2.0
FAILING_ROUNDS = 1_000

# What does the work of a round, by duty: an object of the host and its method.
ROUNDS: dict[str, tuple[Callable[[GatewayHost], object], str]] = {
    "configuration": (lambda host: host.follower, "_watch_configuration"),
    "runners": (lambda host: host.follower, "_read_runners"),
    "register": (lambda host: host.follower, "_renew_or_open_lease"),
    "hosts": (lambda host: host.follower, "_add_registered_peer"),
    "announcements": (lambda host: host.sync, "_announce_registrations"),
    "peer": (lambda host: host.sync, "_handle_reply"),
    "publish-loads": (lambda host: host.load_updates, "_publish_once"),
    "crash-reports": (lambda host: host.crash_reports, "_decide"),
    "write-streams": (lambda host: host.context.stored_streams, "_write_if_changed"),
    "allowances": (lambda host: host.context.allowances, "apply_configuration"),
    "order-lease": (lambda host: host.lease, "_acquire"),
    "stage-orders": (lambda host: host.orders, "_update_work"),
}
GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


@pytest.fixture(autouse=True)
def short_periods(monkeypatch) -> None:
    """Let each duty have a round within a second."""
    monkeypatch.setattr(store_follower, "HOSTS_PERIOD_S", 0.5)
    monkeypatch.setattr(store_follower, "RENEW_PERIOD_S", 0.5)
    monkeypatch.setattr(crash_reports, "FORGET_PERIOD_S", 0.5)
    monkeypatch.setattr(allowance_exchange, "REFRESH_S", 0.5)


class Failing:
    """Replaces the method of a round, and raises in some of its calls."""

    def __init__(self, owner: object, method: str, times: int) -> None:
        self.left, self.calls_after = times, 0
        original = getattr(owner, method)

        def call(*arguments, **named):
            if self.left:
                self.left -= 1
                raise RuntimeError("odd")
            self.calls_after += 1
            return original(*arguments, **named)

        setattr(owner, method, call)


def held_lease(host: GatewayHost) -> None:
    """Let a host that holds the right to order try to get it again."""
    host.lease.mark_lost("for the test")


async def use(world, number: int) -> set[int]:
    """Send requests of all kinds to both hosts; return their statuses."""
    answers = [
        await world.send(path, "POST", f"{path}-{number}-{n}", b"p", n, GENERATION)
        for path in ("/safe/x", "/once/x", "/stream/x")
        for n in (0, 1)
    ]
    return {answer.status for answer in answers}


@pytest.mark.parametrize("duty", ROUNDS)
async def test_duty_goes_on_after_a_round_that_failed(log_path, duty):
    owner, method = ROUNDS[duty]
    async with platform_world(log_path, hosts=2) as world:
        host = world.hosts[0]
        failing = Failing(owner(host), method, 1)
        if duty == "order-lease":
            held_lease(host)
        assert await use(world, 1) == {200}
        await until(lambda: not failing.left, 3.0)
        await until(
            lambda: failing.calls_after or duty == "publish-loads", BACK_WITHIN_S
        )
        world.apply(configuration(7))
        versions = lambda: [h.context.configuration.version for h in world.hosts]
        await until(lambda: versions() == [7, 7], IN_FORCE_WITHIN_S)
        assert await use(world, 2) == {200}
        await until(lambda: failing.calls_after, BACK_WITHIN_S)
        assert [len(h.context.hosts.alive()) for h in world.hosts] == [1, 1]
        lines = world.lines("duty.failed")
        assert {line["duty"] for line in lines} == {duty}
        assert "RuntimeError" in lines[0]["traceback"]
        assert host.context.metrics.value("duty_failures", duty=duty) == 1


async def test_host_that_can_t_follow_the_store_takes_no_callers_and_tells_operators(
    log_path, capsys
):
    async with platform_world(log_path, hosts=2) as world:
        host = world.hosts[0]
        failing = Failing(host.follower, "_read_runners", FAILING_ROUNDS)
        await until(lambda: host.duties.has_lost_essential, duties.LOST_S + 3.0)
        address = host.settings.listeners.metrics
        assert await asyncio.to_thread(main, ["duties", "--hosts", address]) == 0
        printed = capsys.readouterr().out
        assert "takes no callers" in printed and "runners  failing for" in printed
        await until(lambda: not host.sync.own_status().serving)
        await until(lambda: all_callers(world) == [[1], [1]], 3.0)
        failing.left = 0
        await until(lambda: host.sync.own_status().serving, 5.0)


def all_callers(world) -> list[list[int]]:
    """Return the numbers of the hosts that each host tells callers to use."""
    numbers = {h.settings.listeners.callers: n for n, h in enumerate(world.hosts)}
    found = []
    for host in world.hosts:
        host.view.refresh()
        found.append(sorted(numbers[s.callers_address] for s in host.view.serving))
    return found
