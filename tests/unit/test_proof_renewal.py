"""The proof that a host has the newest configuration is renewed before it expires."""

from __future__ import annotations

import asyncio
import math
import time
from types import SimpleNamespace
from unittest.mock import Mock

import pytest
from lib.platform_world import host_settings
from lib.proof_model import REVOKE_S, Approach, Faults, ProofModel

from siskinlever._internal.dispatch.authorization import REVOKE_MARGIN_S
from siskinlever._internal.exceptions import StoreUnavailableError
from siskinlever._internal.fleet import store_follower
from siskinlever._internal.fleet.configuration import (
    MAX_CONFIRMATION_AGE_S,
    ConfigurationInForce,
)
from siskinlever._internal.fleet.proof_renewal import AGE_UNKNOWN_MS, ProofRenewal
from siskinlever._internal.fleet.store_follower import StoreFollower
from siskinlever._internal.models.host_settings import KeyBounds
from siskinlever._internal.models.routes import FleetConfiguration
from siskinlever._internal.peers import peer_pb2
from siskinlever._internal.platform.store import Changes, Listing
from siskinlever._internal.utils import clock
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

EXPIRED_S = REVOKE_S - REVOKE_MARGIN_S
CLOSED = KeyBounds(True, REVOKE_S)
LOSSES = Faults(store_loss=0.1, peer_loss=0.1, readers_cut_off=3)
ONE_READER = Faults(readers_cut_off=5)


def in_force(now, by_digest=None, version=1) -> ConfigurationInForce:
    found = ConfigurationInForce(
        lambda document: FleetConfiguration(
            int(document), {}, {}, workspace_by_key_digest=by_digest
        ),
        Mock(),
        CLOSED,
        now,
    )
    if version:
        found.advance(str(version).encode(), "store")
    return found


@pytest.mark.parametrize("hosts", [8, 66, 195, 400])
def test_proof_stays_current_at_all_hosts_while_nothing_is_lost(hosts):
    """Then a 401 for an unknown key is certain at each host at any time."""
    model = ProofModel(hosts, seed=hosts)
    model.run(30)
    assert model.largest_age_s <= MAX_CONFIRMATION_AGE_S


@pytest.mark.parametrize("faults", [LOSSES, ONE_READER], ids=["losses", "one-reader"])
@pytest.mark.parametrize("hosts", [66, 195, 400])
def test_proof_does_not_expire_while_calls_are_lost(hosts, faults):
    model = ProofModel(hosts, seed=hosts, faults=faults)
    model.run(30)
    assert model.largest_age_s <= EXPIRED_S


def test_long_watches_let_proofs_expire():
    """The model shows what the short calls and the asking are for."""
    for approach in (Approach(3.0, 0.0), Approach(3.0, 0.0, asks=False)):
        model = ProofModel(66, seed=1, approach=approach)
        model.run(30)
        assert model.largest_age_s > EXPIRED_S
    model = ProofModel(195, 1, Approach(1.0, 0.0, asks=False), LOSSES)
    model.run(30)
    assert model.largest_age_s > EXPIRED_S


def test_only_hosts_that_follow_the_store_call_it():
    for hosts in (66, 400):
        model = ProofModel(hosts, seed=1)
        model.run(30)
        assert sum(host.store_calls for host in model.hosts) <= 6 * 30 / 0.8


def test_proof_stays_valid_for_newer_versions_and_ages_on_its_clock():
    now = [100.0]
    found = in_force(lambda: now[0], {})
    assert found.proof_age_s == math.inf and not found.is_current
    found.confirm(99.0)
    found.advance(b"2", "peer")
    assert found.proof_age_s == 1.0
    found.confirm(98.0)
    assert found.proof_age_s == 1.0
    now[0] = 200.0
    assert found.proof_age_s == 101.0 and not found.is_current


def test_age_of_the_proof_counts_time_in_which_the_machine_is_suspended(monkeypatch):
    """The monotonic clock stands still then."""
    machine = SimpleNamespace(boot_time=100.0)
    fake = SimpleNamespace(
        monotonic=lambda: 50.0,
        clock_gettime=lambda _: machine.boot_time,
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
    )
    with monkeypatch.context() as patched:
        patched.setattr(clock, "time", fake)
        found = ConfigurationInForce(lambda _: None, Mock(), CLOSED)
        found.confirm(found.now())
        machine.boot_time += 60.0
        assert found.proof_age_s == 60.0


def state(version: int, age_ms: int) -> peer_pb2.FleetState:
    return peer_pb2.FleetState(
        configuration_version=version, configuration_age_ms=age_ms
    )


@pytest.mark.parametrize(
    ("version", "age_ms", "called_at", "expected"),
    [
        (1, 400, 90.0, 10.4),
        # Of another version, or unknown.
        (2, 400, 90.0, math.inf),
        (0, 400, 90.0, math.inf),
        (1, AGE_UNKNOWN_MS, 90.0, math.inf),
        # Not asked for.
        (1, 400, None, math.inf),
    ],
)
def test_reply_proves_what_was_so_when_it_was_asked_for(
    version, age_ms, called_at, expected
):
    """The reply may have waited in this host for any time."""
    found = in_force(lambda: 100.0, {})
    ProofRenewal(found, Mock()).note(state(version, age_ms), called_at)
    assert found.proof_age_s == pytest.approx(expected)


def test_reports_count_without_workspaces_only():
    """What was reported before the first workspace is no proof afterwards."""
    found = in_force(lambda: 100.0)
    ProofRenewal(found, Mock()).note(state(1, 400), None)
    assert found.is_current and found.proof_age_s == math.inf
    found.current = in_force(lambda: 100.0, {}).current
    assert not found.is_current


class CountingStore:
    """A store whose calls are counted, and fail on demand."""

    era = 0

    def __init__(self, loop) -> None:
        self._loop = loop
        self.calls: list[float] = []
        self.is_down = False

    def on_restoration(self, listener) -> None:
        pass

    async def _call(self, wait_s: float) -> None:
        self.calls.append(self._loop.time())
        await asyncio.sleep(wait_s)
        if self.is_down:
            raise StoreUnavailableError("down")

    async def list_prefix(self, prefix):
        await self._call(0.004)
        return Listing((), 1)

    async def watch(self, prefix, after, wait_s, answer_s):
        await self._call(wait_s)
        return Changes((), 1)


def follow(is_reader: bool, down_after_s: float | None = None, seconds: float = 60.0):
    """Follow a store in virtual time; return it and the ages of the proof."""
    loop = VirtualTimeLoop()
    store = CountingStore(loop)
    found = in_force(loop.time, {})
    health = Mock(outage_ended_at=-math.inf)
    follower = StoreFollower(
        host_settings(0, [1, 2, 3, 4, 5], 6, []),
        store,
        found,
        Mock(),
        health,
        Mock(),
        add_peer=lambda address: None,
        is_reader=lambda: is_reader,
    )
    ages = []

    async def run() -> None:
        task = asyncio.ensure_future(follower.follow_configuration())
        while loop.time() < seconds:
            await asyncio.sleep(0.05)
            store.is_down = down_after_s is not None and loop.time() > down_after_s
            ages.append(found.proof_age_s)
        task.cancel()

    loop.run_until_complete(run())
    loop.finish()
    return store, ages


def test_host_that_follows_the_store_renews_its_proof_each_second():
    store, ages = follow(is_reader=True)
    assert max(ages[5:]) <= 1.25
    assert len(store.calls) <= 60 / 0.8


def test_host_that_no_other_proves_it_to_calls_the_store_itself():
    """For example a host of a large fleet that reaches the store and no other host."""
    store, ages = follow(is_reader=False)
    assert max(ages[5:]) <= EXPIRED_S
    assert len(store.calls) <= 60 / store_follower.OWN_PROOF_AGE_S + 2


def test_hosts_do_not_call_a_store_that_is_down_often():
    """All hosts of a large fleet lack a proof then."""
    store, _ = follow(is_reader=False, down_after_s=20.0)
    assert sum(at > 20 for at in store.calls) <= 40 / 2.5 + 1
