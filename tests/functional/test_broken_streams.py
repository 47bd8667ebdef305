"""Streams that engines break off must not reach callers as complete ones."""

from __future__ import annotations

import asyncio

import pytest
from lib.platform_world import HOST, event_text, platform_world, until

from siskinlever._internal.models.upstreams import Stage
from siskinlever_testbed.standins.platform.runner_answers import (
    RawAnswer,
    RawEnd,
    RunnerFault,
    StreamEnd,
    StreamFraming,
)

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
EVENTS = 10
BROKEN_EVENT = 4
# Ends of a stream that are orderly by its framing.
ORDERLY_ENDS = [
    (StreamFraming.CONNECTION, StreamEnd.CLOSE),
    (StreamFraming.CHUNKS, StreamEnd.COMPLETE),
]


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def decode_engines(world):
    return [world.runner_named("e-2"), world.runner_named("e-3")]


def set_framing(world, framing: StreamFraming, line_end: str = "\n") -> None:
    for engine in decode_engines(world):
        engine.stream_framing, engine.line_end = framing, line_end


def break_off(world, end: StreamEnd) -> None:
    for engine in decode_engines(world):
        engine.break_after_events, engine.break_end = BROKEN_EVENT, end


def stream_text(events: int, line_end: str = "\n") -> str:
    text = "".join(event_text(number) for number in range(1, events + 1))
    return text.replace("\n", line_end)


async def generate(world, path: str = "/stream/x", identifier: str = "b-1"):
    return await world.send(path, "POST", identifier, b"p", headers=GENERATION)


@pytest.mark.parametrize(
    ("framing", "end"), ORDERLY_ENDS, ids=lambda value: value.value
)
async def test_stream_that_ends_inside_an_event_is_not_framed_as_complete(
    log_path, framing, end
):
    async with platform_world(log_path) as world:
        set_framing(world, framing)
        break_off(world, end)
        answer = await generate(world)
        (line,) = world.lines("request.ended")
        assert sum(engine.ran.count("b-1") for engine in decode_engines(world)) == 1
    assert answer.status == 200 and not answer.complete
    assert answer.body.decode().startswith(stream_text(BROKEN_EVENT - 1))
    assert line["outcome"] == "broken" and line["inside_event"]


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
@pytest.mark.parametrize("framing", StreamFraming, ids=lambda value: value.value)
async def test_whole_stream_is_complete_however_it_is_framed(log_path, path, framing):
    async with platform_world(log_path) as world:
        set_framing(world, framing)
        answer = await generate(world, path)
    assert answer.complete and answer.body.decode() == stream_text(EVENTS)


@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_error_of_all_engines_is_forwarded_unchanged(log_path, path):
    async with platform_world(log_path) as world:
        for engine in decode_engines(world):
            engine.fault = RunnerFault.ERROR
        answer = await generate(world, path)
    assert (answer.status, answer.body, answer.complete) == (500, b"failed", True)


async def test_stream_is_not_appended_to_the_error_of_another_engine(log_path):
    async with platform_world(log_path) as world:
        failing = world.runner_named("e-2")
        failing.fault = RunnerFault.ERROR
        answers = [
            await generate(world, "/resume/x", f"b-{number}") for number in range(6)
        ]
        assert failing.ran
    assert {(a.status, a.body.decode(), a.complete) for a in answers} == {
        (200, stream_text(EVENTS), True)
    }


@pytest.mark.parametrize("line_end", ["\r\n", "\r"], ids=["CRLF", "CR"])
@pytest.mark.parametrize("path", ["/stream/x", "/resume/x"])
async def test_events_are_recognized_whatever_ends_their_lines(
    log_path, path, line_end
):
    async with platform_world(log_path) as world:
        set_framing(world, StreamFraming.CHUNKS, line_end)
        answer = await generate(world, path)
        (line,) = world.lines("request.ended")
    assert answer.complete and answer.body.decode() == stream_text(EVENTS, line_end)
    assert line["events"] == EVENTS


@pytest.mark.parametrize("line_end", ["\n", "\r\n", "\r"], ids=["LF", "CRLF", "CR"])
async def test_broken_stream_goes_on_after_its_last_whole_event(log_path, line_end):
    async with platform_world(log_path) as world:
        set_framing(world, StreamFraming.CONNECTION, line_end)
        broken = world.runner_named("e-2")
        broken.break_after_events, broken.break_end = BROKEN_EVENT, StreamEnd.CLOSE
        answers = [await generate(world, "/resume/x", f"b-{n}") for n in range(6)]
        assert broken.ran
    texts = {(answer.body.decode(), answer.complete) for answer in answers}
    assert texts == {(stream_text(EVENTS, line_end), True)}


async def read_to_the_end(world, path: str) -> tuple[bytes, bool]:
    """Send a request of HTTP/1.0; return the body and whether it ended by a reset."""
    host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {"Host": HOST, "Attempt-Id": "b-1", "Content-Length": "0"} | GENERATION
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST {path} HTTP/1.0\r\n{head}\r\n".encode())
    received = bytearray()
    try:
        while part := await reader.read(65_536):
            received += part
        was_reset = False
    except ConnectionResetError:
        was_reset = True
    finally:
        writer.close()
    return bytes(received).partition(b"\r\n\r\n")[2], was_reset


@pytest.mark.parametrize("is_broken", [False, True])
async def test_end_of_the_connection_does_not_complete_a_broken_answer(
    log_path, is_broken
):
    """Callers of HTTP/1.0 have no other frame than the end of the connection."""
    async with platform_world(log_path) as world:
        if is_broken:
            break_off(world, StreamEnd.RESET)
        body, was_reset = await read_to_the_end(world, "/stream/x")
    assert was_reset is is_broken
    assert body.decode().startswith(
        stream_text(BROKEN_EVENT - 1 if is_broken else EVENTS)
    )


@pytest.mark.parametrize("is_broken", [False, True])
@pytest.mark.parametrize("framing", StreamFraming, ids=lambda value: value.value)
async def test_stream_of_a_plain_service_is_judged_as_those_of_engines(
    log_path, framing, is_broken
):
    async with platform_world(log_path) as world:
        for name in ("p-1", "p-2"):
            runner = world.runner_named(name)
            runner.events, runner.stream_framing = EVENTS, framing
            runner.break_after_events = BROKEN_EVENT if is_broken else None
            runner.break_end = StreamEnd.COMPLETE
        answer = await world.send("/once/x", "POST", "b-1", b"p")
    assert answer.complete is not is_broken
    assert answer.body.decode().startswith(
        stream_text(BROKEN_EVENT - 1 if is_broken else EVENTS)
    )


async def test_events_of_a_plain_service_are_forwarded_as_they_arrive(log_path):
    async with platform_world(log_path) as world:
        for name in ("p-1", "p-2"):
            runner = world.runner_named(name)
            runner.events, runner.step_s = EVENTS, 0.05
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        fields = f"Host: {HOST}\r\nAttempt-Id: b-1\r\n"
        writer.write(f"GET /safe/x HTTP/1.1\r\n{fields}\r\n".encode())
        await asyncio.wait_for(reader.readuntil(b"token-1\n"), 1.5)
        assert any(world.runner_named(name).running for name in ("p-1", "p-2"))
        writer.close()


async def test_stream_that_no_other_engine_can_continue_holds_up_no_request(log_path):
    """The only decode engine has just broken it off, before its first event."""
    async with platform_world(log_path) as world:
        world.runner_named("e-3").stage = "prefill"
        world.register_all()
        engines = world.hosts[0].context.runners
        stages = lambda: {r.key.name: r.stage for r in engines.usable("engines")}
        await until(lambda: stages()["e-3"] is Stage.PREFILL)
        broken = RawAnswer((), RawEnd.RESET)
        world.runner_named("e-2").raw_by_call = {"b-0": [broken]}
        first = asyncio.create_task(generate(world, "/resume/x", "b-0"))
        others = [generate(world, "/resume/x", f"b-{n}") for n in range(1, 40)]
        answers = await asyncio.gather(*others)
        assert (await first).status == 502
    assert {(answer.status, answer.complete) for answer in answers} == {(200, True)}


async def test_line_of_a_broken_answer_tells_what_requests_share_and_how_far_it_was(
    log_path,
):
    parts = {"Prompt-Prefix": "aa:100,bb:20,cc:30"}
    async with platform_world(log_path) as world:
        for engine in decode_engines(world):
            engine.break_after_events = 1
        for identifier in ("b-1", "b-2"):
            await world.send(
                "/stream/x", "POST", identifier, b"p", headers=GENERATION | parts
            )
        first, second = world.lines("answer.broken")
    assert first["traits"] == second["traits"]
    kinds = [trait.partition(":")[0] for trait in first["traits"].split(",")]
    assert kinds == ["part", "part", "request"] and "aa:" not in first["traits"]
    assert 0 <= first["after_head_s"] < 1 and first["body_bytes"] > 0


@pytest.mark.parametrize("path", ["/safe/x", "/safe/x?page=2", "/safe/y"])
async def test_line_of_a_broken_answer_tells_repetitions_of_a_request(log_path, path):
    async with platform_world(log_path) as world:
        for name in ("p-1", "p-2"):
            world.runner_named(name).fault = RunnerFault.RESET_AFTER_RUN
        for identifier, body in (("r-1", b"a"), ("r-2", b"a"), ("r-3", b"b")):
            await world.send(path, "POST", identifier, body)
        lines = world.lines("answer.broken")
    first, repetition, other = (
        {line["traits"] for line in lines if line["request"] == identifier}
        for identifier in ("r-1", "r-2", "r-3")
    )
    assert len(first) == 1 and first == repetition != other
