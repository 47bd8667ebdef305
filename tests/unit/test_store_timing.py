"""How soon a host without peers knows what is in the store, whatever its calls meet."""

from __future__ import annotations

import random

import pytest
from lib.following_hosts import HEARTBEAT_S, following_fleet

HOSTS = 7
SEEDS = range(25)
# Bounds of the platform, in seconds.
CONFIG_APPLY_S, DRAIN_S = 2.0, 2.0
OUTAGE_RECOVERY_S = 5.0
LAPSE_RECOVERY_S = 2.0
LIMIT_S = 6.0
BOUNDS = [
    {"config_apply_ms": 2000, "drain_ms": 2000, "contact_ms": 3000},
    {"config_apply_ms": 3000, "drain_ms": 3000, "contact_ms": 4000},
]


@pytest.mark.parametrize("bounds", BOUNDS, ids=lambda bounds: bounds["drain_ms"])
@pytest.mark.parametrize("seed", SEEDS)
def test_change_is_in_force_in_time_after_open_channels_to_the_store_fell_silent(
    seed, bounds
):
    with following_fleet(seed, HOSTS, **bounds) as fleet:
        fleet.loop.advance_time(OUTAGE_RECOVERY_S + random.uniform(2.0, 6.0))
        # All hosts begin their next watch when this one ends.
        fleet.apply(2)
        fleet.loop.advance_time(random.uniform(0.02, 1.5))
        fleet.store.silence()
        fleet.loop.advance_time(random.uniform(0.0, 0.5))
        fleet.apply(3)
        taken_s = fleet.seconds_until(lambda: fleet.versions() == [3] * HOSTS, LIMIT_S)
        assert taken_s <= bounds["config_apply_ms"] / 1000


@pytest.mark.parametrize("seed", SEEDS)
def test_change_is_in_force_in_time_while_the_store_cuts_watches_at_once(seed):
    with following_fleet(seed, HOSTS) as fleet:
        fleet.store.watch_cut = lambda: 0.02
        fleet.loop.advance_time(OUTAGE_RECOVERY_S)
        calls = len(fleet.store.calls)
        fleet.loop.advance_time(10.0)
        # Two of each host in 0.3 s, beside its listings of the runners.
        assert len(fleet.store.calls) - calls <= HOSTS * 10.0 * (2 / 0.25 + 2)
        fleet.apply(2)
        taken_s = fleet.seconds_until(lambda: fleet.versions() == [2] * HOSTS, LIMIT_S)
        assert taken_s <= CONFIG_APPLY_S


def cut_at_random() -> float:
    """Return after how many seconds a watch is cut."""
    return random.choice([0.02, 0.1, 0.3, random.uniform(0.02, 3.0)])


@pytest.mark.parametrize("bounds", BOUNDS, ids=lambda bounds: bounds["drain_ms"])
@pytest.mark.parametrize("seed", SEEDS)
def test_removed_runner_is_unused_in_time_while_the_store_cuts_watches(seed, bounds):
    with following_fleet(seed, HOSTS, **bounds) as fleet:
        fleet.store.watch_cut = cut_at_random
        fleet.loop.advance_time(OUTAGE_RECOVERY_S + random.uniform(2.0, 6.0))
        fleet.store.remove("servers/r-1")
        taken_s = fleet.seconds_until(
            lambda: not any(host.uses("r-1") for host in fleet.hosts), LIMIT_S
        )
        assert taken_s <= bounds["drain_ms"] / 1000
        assert all(host.uses("r-2") for host in fleet.hosts)


@pytest.mark.parametrize("bounds", BOUNDS, ids=lambda bounds: bounds["drain_ms"])
@pytest.mark.parametrize("seed", SEEDS)
def test_removed_runner_is_unused_in_time_after_open_channels_fell_silent(seed, bounds):
    with following_fleet(seed, HOSTS, **bounds) as fleet:
        # Slow answers, so that some listings are under way.
        fleet.store.call_s = 0.2
        fleet.loop.advance_time(OUTAGE_RECOVERY_S + random.uniform(2.0, 6.0))
        fleet.store.silence()
        fleet.store.call_s = 0.004
        fleet.store.remove("servers/r-1")
        taken_s = fleet.seconds_until(
            lambda: not any(host.uses("r-1") for host in fleet.hosts), LIMIT_S
        )
        assert taken_s <= bounds["drain_ms"] / 1000


@pytest.mark.parametrize("seed", SEEDS)
def test_runner_that_lapses_in_an_outage_is_used_until_it_has_had_time_to_return(seed):
    with following_fleet(seed, HOSTS) as fleet:
        fleet.loop.advance_time(OUTAGE_RECOVERY_S + random.uniform(2.0, 6.0))
        fleet.store.is_down = True
        # A runner's entry lapses after three heartbeats of silence.
        fleet.loop.advance_time(3 * HEARTBEAT_S)
        for runner in ("r-1", "r-2"):
            fleet.store.remove(f"servers/{runner}")
        fleet.loop.advance_time(random.uniform(0.0, 2.0))
        fleet.store.is_down = False
        fleet.loop.advance_time(1.5)
        fleet.register("r-2", 2)
        gone_s = fleet.seconds_until(
            lambda: not any(host.uses("r-1") for host in fleet.hosts), LIMIT_S
        )
        assert 0 < gone_s <= LAPSE_RECOVERY_S + DRAIN_S
        assert all(host.uses("r-2") for host in fleet.hosts)


def test_store_that_forgets_its_history_at_once_is_not_called_often():
    with following_fleet(0, HOSTS) as fleet:
        fleet.loop.advance_time(OUTAGE_RECOVERY_S)
        fleet.store.forgets = True
        calls = len(fleet.store.calls)
        fleet.loop.advance_time(10.0)
        assert len(fleet.store.calls) - calls <= HOSTS * 10.0 * 2 * 2 / 0.25
        fleet.apply(2)
        taken_s = fleet.seconds_until(lambda: fleet.versions() == [2] * HOSTS, LIMIT_S)
        assert taken_s <= CONFIG_APPLY_S


@pytest.mark.parametrize("path", ["/kv-range", "/kv-watch"])
def test_calls_that_the_store_refuses_are_not_repeated_often(path):
    with following_fleet(0, HOSTS) as fleet:
        fleet.loop.advance_time(OUTAGE_RECOVERY_S)
        fleet.store.refused_paths = {path}
        calls = len(fleet.store.calls)
        fleet.loop.advance_time(10.0)
        # Two loops of each host, with two calls in 0.25 s at the most.
        assert len(fleet.store.calls) - calls <= HOSTS * 10.0 * 2 * 2 / 0.25
