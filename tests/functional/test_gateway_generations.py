"""Generations through the gateway: prefill, decode, and streams that break off."""

from __future__ import annotations

import asyncio

import pytest
from lib.platform_world import (
    HOST,
    Answer,
    event_text,
    platform_world,
    run_count,
    until,
)

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def is_complete_stream(answer: Answer, events: int = 10) -> bool:
    expected = "".join(event_text(number) for number in range(1, events + 1))
    return answer.complete and answer.body.decode() == expected


async def test_stream_is_prefilled_separately_and_completes(log_path):
    async with platform_world(log_path) as world:
        answer = await world.send("/stream/x", "POST", "g-1", b"p", headers=GENERATION)
        decode = [world.runner_named("e-2"), world.runner_named("e-3")]
        assert world.runner_named("e-1").received
        assert sum(r.ran.count("g-1") for r in decode) == 1
        sent = [r for runner in decode for r in runner.received]
        assert sent[0].get("kv-hold") and sent[0].get("kv-source")
        await until(lambda: not any(r.held_by_id for r in decode))
        assert not world.runner_named("e-1").handle_by_id
    assert is_complete_stream(answer)


async def test_decode_engine_prefills_when_the_kv_cache_is_lost(log_path):
    async with platform_world(log_path) as world:
        world.runner_named("e-1").handles_lapse = True
        answer = await world.send("/stream/x", "POST", "g-2", b"p", headers=GENERATION)
        assert run_count(world, "g-2") == 1
    assert is_complete_stream(answer)


async def test_no_prefill_without_decode_capacity(log_path):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).refuses_holds = True
        answer = await world.send(
            "/stream/x", "POST", "g-3", b"p", headers=GENERATION, deadline_ms=1500
        )
        assert not world.runner_named("e-1").received
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_request_larger_than_an_engine_is_refused_immediately(log_path):
    async with platform_world(log_path) as world:
        headers = GENERATION | {"Token-Usage": "50000,10"}
        sending = world.send("/stream/x", "POST", "g-4", b"p", headers=headers)
        answer = await asyncio.wait_for(sending, 0.5)
    assert answer.status == 503


async def test_resumable_stream_continues_at_another_engine(log_path):
    async with platform_world(log_path) as world:
        world.runner_named("e-2").break_after_events = 4
        world.runner_named("e-3").break_after_events = 4
        sending = asyncio.create_task(
            world.send("/resume/x", "POST", "g-5", b"p", headers=GENERATION)
        )
        await until(lambda: run_count(world, "g-5"))
        for name in ("e-2", "e-3"):
            if "g-5" not in world.runner_named(name).ran:
                world.runner_named(name).break_after_events = None
        answer = await sending
        assert run_count(world, "g-5") == 2
    assert is_complete_stream(answer)


async def test_broken_stream_is_not_terminated_as_complete(log_path):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).break_after_events = 4
        answer = await world.send("/stream/x", "POST", "g-6", b"p", headers=GENERATION)
        assert run_count(world, "g-6") == 1
    assert answer.status == 200 and not answer.complete


async def test_engine_is_freed_when_the_caller_of_a_stream_disconnects(log_path):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).step_s = 0.02
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        headers = {
            "Host": HOST,
            "Attempt-Id": "g-7",
            "Content-Length": "0",
            **GENERATION,
        }
        head = "\r\n".join(f"{k}: {v}" for k, v in headers.items())
        writer.write(f"POST /stream/x HTTP/1.1\r\n{head}\r\n\r\n".encode())
        await reader.readuntil(b"token-1")
        writer.close()
        decode = [world.runner_named("e-2"), world.runner_named("e-3")]
        await until(lambda: any("g-7" in r.cancelled for r in decode), 0.5)
        await until(lambda: not world.hosts[0].context.in_progress.load_by_runner)
