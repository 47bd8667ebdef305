"""What a choice relied on changes between the choice and the send."""

from __future__ import annotations

import asyncio

import pytest
from lib.platform_world import (
    configuration,
    event_text,
    platform_world,
    run_count,
    until,
)

from siskinlever._internal.gateway import runner_calls

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
DECODING = ("e-2", "e-3")
EVENTS = 10
STREAM = "".join(event_text(number) for number in range(1, EVENTS + 1))


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def received(world, name: str) -> list[str]:
    """Return the ids of the requests that a runner received."""
    found = world.runner_named(name).received
    return [request.get("attempt-id") or "" for request in found]


def stages(world, name: str) -> list[str]:
    """Return the stages for which a runner received requests."""
    found = world.runner_named(name).received
    return [request.get("serving-stage") or "" for request in found]


def leave(world, name: str, how: str) -> None:
    """Let a runner announce that it leaves, or remove its entry."""
    runner = world.runner_named(name)
    if how == "removed":
        world.deregister(runner)
        return
    runner.draining = True
    world.register_all()


async def until_unused(world, name: str) -> None:
    """Wait until the host may send nothing to a runner any more."""
    directory = world.hosts[0].context.runners
    await until(
        lambda: (
            not any(
                directory.is_usable(key) for key in directory.by_key if key.name == name
            )
        )
    )


async def allow_long_prefills(world) -> None:
    """Let the first event of a stream be on time after some seconds."""
    document = configuration(2)
    for route in document["routes"]:
        route["target_latency_ms"] = 6000
    world.apply(document)
    await until(lambda: world.hosts[0].context.configuration.version == 2)


async def reserved_engine(world) -> str:
    """Wait for a prefill under way; return the decode engine of the reservation."""
    await until(lambda: world.runner_named("e-1").received)
    (name,) = [name for name in DECODING if world.runner_named(name).held_by_id]
    return name


@pytest.mark.parametrize("how", ["draining", "removed"])
@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_engine_that_leaves_during_a_prefill_gets_no_request(log_path, path, how):
    async with platform_world(log_path) as world:
        # A missing entry would count as lapsed right after the start.
        world.hosts[0].follower.link.outage_ended_at = float("-inf")
        await allow_long_prefills(world)
        world.runner_named("e-1").work_s = 2.0
        sending = asyncio.create_task(
            world.send(path, "POST", "g-1", b"p", headers=GENERATION)
        )
        leaving = await reserved_engine(world)
        (other,) = set(DECODING) - {leaving}
        leave(world, leaving, how)
        await until_unused(world, leaving)
        answer = await sending
        assert "g-1" not in received(world, leaving)
        await until(lambda: not world.runner_named(leaving).held_by_id)
        assert run_count(world, "g-1") == 1
        # The prompt was read once: its KV cache was moved to the other engine.
        assert received(world, "e-1") == ["g-1"]
        (request,) = world.runner_named(other).received
        assert request.get("kv-source")
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.decode() == STREAM


async def test_request_is_refused_as_not_run_if_no_other_engine_is_left(log_path):
    async with platform_world(log_path) as world:
        await allow_long_prefills(world)
        world.runner_named("e-1").work_s = 2.0
        sending = asyncio.create_task(
            world.send("/stream/x", "POST", "g-2", b"p", headers=GENERATION)
        )
        await reserved_engine(world)
        for name in DECODING:
            leave(world, name, "draining")
        for name in DECODING:
            await until_unused(world, name)
        answer = await sending
        assert not any("g-2" in received(world, name) for name in DECODING)
        assert run_count(world, "g-2") == 0
    assert answer.status == 503 and "retry-after" in answer.headers


async def test_prefill_engine_that_changes_its_stage_before_the_send_gets_no_prompt(
    log_path, monkeypatch
):
    async with platform_world(log_path) as world:
        names = await leaves_while_connecting(
            world, monkeypatch, {"e-1"}, stage="decode"
        )
        answer = await world.send("/stream/x", "POST", "g-3", b"p", headers=GENERATION)
        assert names == {"e-1"} and "prefill" not in stages(world, "e-1")
    assert (answer.status, answer.body.decode()) == (200, STREAM)


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
async def test_runner_that_leaves_while_a_connection_is_opened_gets_no_request(
    log_path, monkeypatch, path
):
    async with platform_world(log_path) as world:
        names = await leaves_while_connecting(world, monkeypatch, {"p-1", "p-2"}, 1)
        answer = await world.send(path, "POST", "p-1", b"p")
        (left,) = names
        (other,) = {"p-1", "p-2"} - names
        assert received(world, left) == [] and received(world, other) == ["p-1"]
        assert run_count(world, "p-1") == 1
    assert answer.status == 200


async def leaves_while_connecting(
    world, monkeypatch, among: set[str], count: int = 1, stage: str = ""
) -> set[str]:
    """Let the first runners of some leave while the host connects to them."""
    names: set[str] = set()
    open_connection = runner_calls.open_connection

    async def open_and_leave(context, runner, lifetime_s):
        name = runner.key.name
        if name in among and len(names) < count and name not in names:
            names.add(name)
            if stage:
                world.runner_named(name).stage = stage
                world.register_all()
                known = context.runners.by_key[runner.key]
                await until(lambda: known.registration.stage.value == stage)
            else:
                leave(world, name, "draining")
                await until_unused(world, name)
        return await open_connection(context, runner, lifetime_s)

    monkeypatch.setattr(runner_calls, "open_connection", open_and_leave)
    return names
