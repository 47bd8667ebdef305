"""Tests of the simulation of engines under load."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from statistics import mean

import pytest

from siskinlever._internal.dispatch.caller_waits import CallerWaitTracker
from siskinlever_testbed.model import run
from siskinlever_testbed.model.arrivals import draw
from siskinlever_testbed.model.deployments import DEPLOYMENT_BY_NAME, Leaving
from siskinlever_testbed.model.engines import Engine
from siskinlever_testbed.model.experiment import simulate
from siskinlever_testbed.model.policies import POLICY_BY_NAME
from siskinlever_testbed.model.virtual_time import VirtualTimeLoop

SEEDS = (1, 2)


def worth(name: str, policy: str, load: float) -> float:
    deployment = DEPLOYMENT_BY_NAME[name]
    return mean(
        simulate(deployment, POLICY_BY_NAME[policy], seed, load).worth for seed in SEEDS
    )


@pytest.mark.parametrize("name", DEPLOYMENT_BY_NAME)
def test_immediate_load_updates_increase_worth(name):
    assert worth(name, "told-at-once", 1.0) > worth(name, "told-each-second", 1.0)


def test_first_requests_of_impatient_callers_are_served_on_time(monkeypatch):
    """The load of the pension platform: bursts, and callers of different patience.

    Hosts that take each shorter timeout for a retry let first requests wait behind
    others, although these can still be on time.
    """
    told = POLICY_BY_NAME["told-at-once"]
    deployment = DEPLOYMENT_BY_NAME["ftp-innmeld"]

    def results():
        return [simulate(deployment, told, seed, 1.2) for seed in SEEDS]

    estimated = results()
    monkeypatch.setattr(
        CallerWaitTracker,
        "prior_wait_s",
        lambda tracker, route, timeout_s, stated_s: timeout_s - stated_s,
    )
    mistaken = results()
    assert mean(r.on_time for r in estimated) > mean(r.on_time for r in mistaken)
    assert mean(r.worth for r in estimated) > mean(r.worth for r in mistaken)


def test_engines_that_refuse_everything_cost_few_reservations():
    """The bookshop's day `trouble-3`: engines leave while the store is out.

    Without a memory of refusals, hosts ask them first: 5,275 refusals for 1,740
    generations.
    """
    leaving = replace(
        DEPLOYMENT_BY_NAME["bookshop"],
        leaving=Leaving(tuple(range(11, 44, 4)), 18.0, 26.0),
    )
    result = simulate(leaving, POLICY_BY_NAME["told-at-once"], 1, 1.0)
    arrived = sum(1 for _ in draw(leaving.arrivals, 1))
    # Each refusal costs a connection; generations need two without any.
    assert result.holds_refused < arrived
    assert result.refused < 0.01


def test_few_prompts_cross_zones_at_usual_load():
    """Twelve hosts and 45 engines in four zones; 0.76 crossed when zones only decided
    between equal waits."""
    bookshop = DEPLOYMENT_BY_NAME["bookshop"]
    result = simulate(bookshop, POLICY_BY_NAME["told-at-once"], 1, 1.0)
    assert result.across_zones < 0.25
    assert result.on_time > 0.97


def test_urgent_generations_find_capacity_that_less_urgent_ones_leave():
    """The canal hire at 1.6 times its usual load, with two bursts.

    Less urgent generations on other hosts must not take the last room of all engines:
    if they do, 0.83 of the urgent are on time.
    """
    canal_hire = DEPLOYMENT_BY_NAME["canal-hire"]
    short_day = replace(canal_hire.arrivals, length_s=22.0)
    canal_hire = replace(canal_hire, arrivals=short_day)
    result = simulate(canal_hire, POLICY_BY_NAME["told-at-once"], 1, 1.6)
    assert result.urgent_on_time > 0.9
    assert result.urgent_served >= 1 - result.refused


def test_simulation_is_deterministic():
    deployment = DEPLOYMENT_BY_NAME["brosur-kl"]
    policy = POLICY_BY_NAME["told-at-once"]
    assert simulate(deployment, policy, 3, 0.5) == simulate(deployment, policy, 3, 0.5)


@pytest.mark.parametrize("option", ["--loads=0", "--seeds=a", "--policies=x"])
async def test_invalid_options_are_reported(option, capsys):
    assert await run([option]) == 2
    assert option.partition("=")[0] in capsys.readouterr().err


async def test_command_prints_table_and_writes_plot(tmp_path, capsys):
    options = ["--deployments=brosur-kl", "--loads=0.3", "--seeds=1"]
    assert await run([*options, f"--output={tmp_path}"]) == 0
    printed = capsys.readouterr().out
    assert all(name in printed for name in POLICY_BY_NAME)
    assert (tmp_path / "brosur-kl.png").stat().st_size > 0


def test_unfinished_generation_counts_as_refused(monkeypatch):
    monkeypatch.setattr("siskinlever_testbed.model.experiment.SETTLE_S", 0.0)
    deployment = DEPLOYMENT_BY_NAME["ramdin-atelier"]
    short_burst = replace(deployment.arrivals, length_s=0.5, rate_per_s=40.0)
    result = simulate(
        replace(deployment, arrivals=short_burst),
        POLICY_BY_NAME["told-at-once"],
        1,
        1.0,
    )
    assert result.refused > 0.5
    assert result.on_time + result.late + result.refused == pytest.approx(1.0)


def test_memory_is_freed_when_caller_leaves():
    loop = VirtualTimeLoop()
    speed = DEPLOYMENT_BY_NAME["ramdin-atelier"].speed

    async def leave() -> int:
        engine = Engine("e-1", "zone", speed, True, loop.time)
        engine_task = asyncio.create_task(engine.run_steps())
        run = engine.decode(3_000, 500, engine.take_hold(3_200), is_prefilled=True)
        await asyncio.sleep(0.1)
        engine.cancel(run)
        await asyncio.sleep(0.1)
        engine_task.cancel()
        return engine.used_tokens

    try:
        assert loop.run_until_complete(leave()) == 0
    finally:
        loop.finish()
