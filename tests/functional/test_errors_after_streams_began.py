"""A stream has begun and broke off, and the next engine answers with something else.

The caller's stream must end as broken after its last whole event.
"""

from __future__ import annotations

import asyncio

import pytest
from lib.platform_world import event_text, platform_world, run_count, until

from siskinlever_testbed.standins.platform.runner_answers import (
    RawAnswer,
    RawEnd,
    StreamEnd,
    StreamFraming,
)

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
ENGINES = ("e-2", "e-3")
BROKEN_EVENT = 4
TEXT = b'{"error": "no"}\n\nHTTP/1.1 500 Oops\r\n\r\nid: 9\ndata: error\n\n'
SIGNED = "Attempt-Id: g-1\r\nServer-Signature: e.g-1\r\n"
FOREIGN = "Attempt-Id: other\r\nServer-Signature: e.other\r\n"
STREAM = "Content-Type: text/event-stream\r\n"
REFUSED = "Attempt-Id: g-1\r\nNot-Executed: 1\r\n"
# Status line and headers of what the next engine answers.
ANSWERS = {
    "signed error": ("500 Error", SIGNED),
    "signed error as a stream": ("500 Error", SIGNED + STREAM),
    "error without a signature": ("500 Error", "Attempt-Id: g-1\r\n"),
    "gateway error": ("502 Bad", "Content-Type: text/html\r\n"),
    "refusal": ("503 Full", REFUSED),
    "refusal as a stream": ("503 Full", REFUSED + STREAM),
    "refusal of another request": ("503 Full", FOREIGN + "Not-Executed: 1\r\n"),
    "other runner": ("421 Other", "Instance-Id: e-9\r\n"),
    "client error": ("400 Bad", SIGNED),
    "redirect": ("302 Found", SIGNED + "Location: /x\r\n"),
    "no content": ("204 None", SIGNED),
    "part of a stream": ("206 Part", SIGNED + STREAM),
    "success that is no stream": ("200 OK", SIGNED + "Content-Type: text/plain\r\n"),
    "success without a type": ("200 OK", SIGNED),
    "success without a signature": ("200 OK", "Attempt-Id: g-1\r\n" + STREAM),
    "stream of another request": ("200 OK", FOREIGN + STREAM),
}
RAW = {"no answer": b"\x00\x01\r\n\r\n", "nothing": b"", "half a head": b"HTTP/1.1 5"}


def raw_answer(status: str, headers: str, has_length: bool) -> bytes:
    """Return an answer with an error as its body."""
    length = f"Content-Length: {len(TEXT)}\r\n" if has_length else ""
    head = f"HTTP/1.1 {status}\r\n{headers}{length}\r\n"
    return head.encode() + (b"" if status.startswith("204") else TEXT)


CASES = {
    f"{name}, {'length' if has_length else 'connection'}": raw_answer(
        *answer, has_length
    )
    for name, answer in ANSWERS.items()
    for has_length in (True, False)
} | RAW


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


@pytest.mark.parametrize("end", [StreamEnd.RESET, StreamEnd.CLOSE])
@pytest.mark.parametrize("answer", CASES.values(), ids=CASES)
async def test_error_of_the_next_engine_stays_out_of_a_stream_that_broke_off(
    log_path, answer, end
):
    async with platform_world(log_path) as world:
        for name in ENGINES:
            engine = world.runner_named(name)
            engine.break_after_events, engine.break_end = BROKEN_EVENT, end
            engine.stream_framing, engine.step_s = StreamFraming.CONNECTION, 0.01
        sending = asyncio.create_task(
            world.send("/resume/x", "POST", "g-1", b"p", headers=GENERATION)
        )
        await until(lambda: run_count(world, "g-1") == 1)
        (following,) = [
            world.runner_named(name)
            for name in ENGINES
            if "g-1" not in world.runner_named(name).ran
        ]
        raw = RawAnswer((answer,), RawEnd.CLOSE)
        following.raw_by_call["g-1"] = [raw]
        answer_found = await sending
        assert not following.raw_by_call["g-1"], "the next engine was not tried"
    text = "".join(event_text(number) for number in range(1, BROKEN_EVENT))
    assert answer_found.status == 200
    assert answer_found.body.decode() == text and not answer_found.complete
