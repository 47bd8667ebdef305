"""Runners that send bytes without an end, on every kind of call."""

from __future__ import annotations

import asyncio
import time

import pytest
from lib.platform_world import HOST, platform_world, until

from siskinlever._internal.network import http1_client
from siskinlever_testbed.standins.platform.runner_answers import RawAnswer, RawEnd

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
STATUS = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"Attempt-Id: n-1\r\nServer-Signature: s\r\n"
CHUNKED = STATUS + SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"x" * 8192
# Heads and frames that never end, and what goes on without end in each.
ENDLESS = {
    "header lines": (STATUS, b"X: " + FILL + b"\r\n"),
    "one header": (STATUS + b"X: ", FILL),
    "status line": (b"HTTP/1.1 200 ", FILL),
    "blank lines": (b"\r\n", b"\r\n" * 4096),
    "informational answers": (b"HTTP/1.1 103 Early\r\n\r\n",) * 2,
    "chunk extension": (CHUNKED + b"5;", FILL),
    "trailer": (CHUNKED + b"0\r\n", b"X: " + FILL + b"\r\n"),
    "no answer": (b"\x00\x01", FILL),
}
SLOW_HEAD = RawAnswer((STATUS, b"X"), RawEnd.ENDLESS, 0.05)
EVENT = RawAnswer(
    (CHUNKED, b"2000\r\ndata: " + FILL[6:] + b"\r\n", b"2000\r\n" + FILL + b"\r\n"),
    RawEnd.ENDLESS,
)


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def play(world, raw: RawAnswer, *calls: str) -> None:
    for runner in world.runners:
        runner.raw_by_call = {call: [raw] * 4 for call in calls}


async def is_idle(world) -> None:
    await until(lambda: not any(runner.running for runner in world.runners), 2.0)
    context = world.hosts[0].context
    await until(lambda: not context.in_progress.load_by_runner, 2.0)


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
async def test_bytes_that_are_no_answer_end_at_a_limit(log_path, path, kind):
    async with platform_world(log_path) as world:
        play(world, RawAnswer(ENDLESS[kind], RawEnd.ENDLESS), "n-1")
        started_at = time.monotonic()
        answer = await world.send(path, "POST", "n-1", b"b", headers=GENERATION)
        assert time.monotonic() - started_at < 1.0
        await is_idle(world)
        (line,) = world.lines("answer.broken")
    assert (answer.status, answer.complete) == (502, True)
    assert line["request"] == "n-1" and line["runner"]


async def test_limit_of_a_head_that_is_switched_off_is_found(log_path, monkeypatch):
    monkeypatch.setattr(http1_client, "MAX_ANSWER_HEAD_BYTES", 1 << 30)
    async with platform_world(log_path) as world:
        play(world, RawAnswer(ENDLESS["header lines"], RawEnd.ENDLESS), "n-1")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(world.send("/once/x", "POST", "n-1", b"b"), 1.0)


async def test_head_that_dribbles_ends_in_time(log_path):
    async with platform_world(log_path) as world:
        play(world, SLOW_HEAD, "n-1")
        answer = await world.send("/once/x", "POST", "n-1", b"b", deadline_ms=2900)
        await is_idle(world)
        (line,) = world.lines("answer.broken")
    assert answer.status == 502
    assert (line["verdict"], line["end"]) == ("not_an_answer", "silent")


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_event_without_an_end_is_broken_off(log_path, path):
    async with platform_world(log_path) as world:
        play(world, EVENT, "n-1")
        answer = await world.send(path, "POST", "n-1", b"b", headers=GENERATION)
        await is_idle(world)
        lines = world.lines("answer.broken")
    assert not answer.complete or path == "/resume/x"
    assert {line["end"] for line in lines} == {"oversized"}


@pytest.mark.parametrize("kind", ["header lines", "informational answers"])
@pytest.mark.parametrize("call", ["prefill n-1", "/hold-take", "/hold-drop"])
async def test_calls_of_a_generation_end_at_a_limit(log_path, call, kind):
    async with platform_world(log_path) as world:
        play(world, RawAnswer(ENDLESS[kind], RawEnd.ENDLESS), call)
        await world.send("/stream/x", "POST", "n-1", b"b", headers=GENERATION)
        await is_idle(world)


async def test_body_without_an_end_is_cut_at_the_deadline_and_noted(log_path):
    async with platform_world(log_path) as world:
        head = STATUS + SIGNED + b"\r\n"
        play(world, RawAnswer((head, FILL), RawEnd.ENDLESS, 0.001), "n-1")
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = f"Host: {HOST}\r\nAttempt-Id: n-1\r\nDeadline-Ms: 400"
        writer.write(f"GET /once/x HTTP/1.1\r\n{fields}\r\n\r\n".encode())
        received = await asyncio.wait_for(reader.read(-1), 2.0)
        writer.close()
        assert received.startswith(b"HTTP/1.1 200"), received[:200]
        await is_idle(world)
        broken = world.hosts[0].context.plain_placement.broken_answers
        keys = list(world.hosts[0].context.runners.by_key)
        noted = sum(broken.count_of(key) for key in keys)
        assert noted > 0.5, world.lines()[-6:]
    assert not received.endswith(b"0\r\n\r\n")


async def test_endless_runners_hold_little_memory(log_path):
    async with platform_world(log_path) as world:
        for runner in world.runners:
            runner.raw_by_call = {
                f"n-{n}": [RawAnswer((STATUS, b"X: 1\r\n"), RawEnd.ENDLESS, 0.0005)] * 2
                for n in range(50)
            }
        sends = [world.send("/once/x", "POST", f"n-{n}", b"b") for n in range(50)]
        answers = await asyncio.gather(*sends)
        await is_idle(world)
    assert {answer.status for answer in answers} <= {502, 504}
