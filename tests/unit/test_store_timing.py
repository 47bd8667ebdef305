"""How soon a host without peers knows what is in the store, whatever its calls meet."""

from __future__ import annotations

import random

import pytest
from lib.following_hosts import following_fleet

HOSTS = 7
SEEDS = range(25)
# Bounds of the platform, in seconds.
CONFIG_APPLY_S, DRAIN_S = 2.0, 2.0
OUTAGE_RECOVERY_S = 5.0
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
