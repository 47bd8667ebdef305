"""A faulty runner writes the refusal of an earlier request once more.

It tells nothing of the request that waits for an answer, which may run.
"""

from __future__ import annotations

import json

import pytest
from lib.platform_world import event_text, platform_world, run_count

from siskinlever_testbed.standins.platform.runner_answers import RawAnswer, RawEnd

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
NOT_RUN_STATUSES = {408, 421, 429, 503}
ROUTES = {"/once/x": ("p-1", "p-2"), "/stream/x": ("e-2", "e-3")}
EVENTS = 10


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def refusal(identifier: str, status: int = 503) -> bytes:
    """Return the refusal of a request."""
    return (
        f"HTTP/1.1 {status} Refused\r\nAttempt-Id: {identifier}\r\n"
        "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


@pytest.mark.parametrize("status", [503, 429, 421])
@pytest.mark.parametrize("path", ROUTES)
async def test_refusal_of_another_request_doesn_t_say_that_this_one_has_not_run(
    log_path, path, status
):
    async with platform_world(log_path) as world:
        for name in ROUTES[path]:
            raw = RawAnswer((refusal("earlier", status),), RawEnd.CLOSE)
            world.runner_named(name).raw_by_call["r-1"] = [raw]
        answer = await world.send(path, "POST", "r-1", b"p", headers=GENERATION)
        assert run_count(world, "r-1") == 1
    assert answer.status not in NOT_RUN_STATUSES


@pytest.mark.parametrize("path", ROUTES)
async def test_refusal_that_is_written_again_later_reaches_no_other_request(
    log_path, path
):
    async with platform_world(log_path) as world:
        for name in ROUTES[path]:
            raw = RawAnswer((refusal("r-1"),) * 3, RawEnd.SILENCE, pause_s=0.05)
            world.runner_named(name).raw_by_call["r-1"] = [raw]
        await world.send(path, "POST", "r-1", b"p", headers=GENERATION)
        answers = [
            await world.send(path, "POST", f"n-{number}", b"p", headers=GENERATION)
            for number in range(6)
        ]
        runs = [run_count(world, f"n-{number}") for number in range(6)]
    assert [answer.status for answer in answers] == [200] * 6 and runs == [1] * 6


async def test_generation_doesn_t_go_on_from_the_prefill_of_another_request(log_path):
    async with platform_world(log_path) as world:
        body = json.dumps({"kv_handle": "theirs", "tokens": 100, "version": 1}).encode()
        head = (
            "HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        raw = RawAnswer((head.encode() + body,), RawEnd.CLOSE)
        world.runner_named("e-1").raw_by_call["prefill r-1"] = [raw]
        answer = await world.send("/stream/x", "POST", "r-1", b"p", headers=GENERATION)
        sources = [
            request.get("kv-source") or ""
            for name in ROUTES["/stream/x"]
            for request in world.runner_named(name).received
        ]
    assert not any("theirs" in source for source in sources)
    text = "".join(event_text(number) for number in range(1, EVENTS + 1))
    assert (answer.status, answer.body.decode()) == (200, text)
