"""Answers of the gateway to callers when runners fail or callers misbehave."""

from __future__ import annotations

import asyncio
import json
from contextlib import AsyncExitStack

import pytest
from lib.platform_world import (
    HOST,
    configuration,
    platform_world,
    read_answer,
    run_count,
    send_raw,
    until,
)

from siskinlever._internal.gateway.endpoints import connection_handler
from siskinlever._internal.models.routes import CallerLimits
from siskinlever._internal.network.http1_server import BodyBuffers, caller_listener
from siskinlever_testbed.processes import free_addresses
from siskinlever_testbed.standins.platform.runner_answers import RunnerFault

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
LOST_AFTER_RUN = [
    RunnerFault.RESET_AFTER_RUN,
    RunnerFault.UNFRAMED_RESET,
    RunnerFault.TRUNCATED,
    RunnerFault.GARBAGE,
    RunnerFault.FOREIGN,
    RunnerFault.UNSIGNED,
]
COMPLETE_ANSWERS = [RunnerFault.NONE, RunnerFault.UNFRAMED, RunnerFault.EXTRA]


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


def plain_runners(world):
    return [world.runner_named("p-1"), world.runner_named("p-2")]


def set_faults(world, fault) -> None:
    for runner in plain_runners(world):
        runner.fault = fault


async def test_request_is_forwarded_unchanged(log_path):
    async with platform_world(log_path) as world:
        body = bytes(range(256)) * 9
        target = "/once/a%2Fb/../c?x=%20&y=+"
        headers = {"X-Own": "kept", "Kv-Hold": "forged", "Connection": "X-Hop"}
        answer = await world.send(target, "POST", "u-1", body, headers=headers)
        received = [r for runner in plain_runners(world) for r in runner.received]
    assert answer.status == 200 and answer.complete
    assert [(r.method, r.target, r.body) for r in received] == [("POST", target, body)]
    request = received[0]
    assert request.get("x-own") == "kept"
    assert request.get("kv-hold") is None
    assert request.get("host") == HOST
    assert 0 < int(request.get("deadline-ms")) <= 3000


async def test_chunked_body_is_forwarded_completely(log_path):
    async with platform_world(log_path) as world:
        address = world.hosts[0].settings.listeners.callers
        headers = {
            "Host": HOST,
            "Attempt-Id": "c-1",
            "Transfer-Encoding": "chunked",
        }
        body = b"5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"
        answer = await send_raw(address, "POST", "/once/x", headers, body)
    assert answer.json["body"] == "firstsecond"


@pytest.mark.parametrize("fault", COMPLETE_ANSWERS, ids=lambda fault: fault.value)
async def test_complete_answers_are_forwarded(log_path, fault):
    async with platform_world(log_path) as world:
        set_faults(world, fault)
        answer = await world.send("/once/x", "POST", "w-1", b"body")
        again = await world.send("/once/y", "POST", "w-2", b"body")
    assert (answer.status, answer.complete) == (200, True)
    assert answer.json["target"] == "/once/x"
    assert again.json["target"] == "/once/y"


@pytest.mark.parametrize("fault", LOST_AFTER_RUN, ids=lambda fault: fault.value)
async def test_lost_answer_of_non_repeatable_request_gives_502(log_path, fault):
    async with platform_world(log_path) as world:
        set_faults(world, fault)
        answer = await world.send("/once/x", "POST", "l-1", b"body")
        assert run_count(world, "l-1") == 1
    assert answer.status == 502
    assert "server-signature" not in answer.headers


@pytest.mark.parametrize("fault", LOST_AFTER_RUN, ids=lambda fault: fault.value)
async def test_repeatable_request_with_lost_answer_is_retried(log_path, fault):
    async with platform_world(log_path) as world:
        for runner in plain_runners(world):
            runner.next_faults = [fault] if runner.name == "p-1" else []
        answers = [await world.send("/safe/x", identifier=f"s-{n}") for n in range(6)]
        received = world.runner_named("p-1").received
    assert received, "the faulty runner received no request"
    assert {answer.status for answer in answers} == {200}


async def test_timed_out_request_that_may_have_run_gives_504(log_path):
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.MUTE)
        answer = await world.send("/short/x", "POST", "t-1", b"body")
        assert run_count(world, "t-1") == 1
        (line,) = [x for x in world.lines("request.ended") if x["request"] == "t-1"]
        (runner,) = [r.name for r in world.runners if "t-1" in r.ran]
    assert answer.status == 504
    assert line["outcome"] == "timeout" and line["sent_to"] == runner


async def test_rejected_request_gives_503_with_retry_after(log_path):
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.SHED)
        answer = await world.send("/once/x", "POST", "f-1", b"body")
        assert run_count(world, "f-1") == 0
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 5


async def test_rejection_before_the_body_is_read_gives_503(log_path):
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.EARLY)
        answer = await world.send("/once/x", "POST", "e-1", b"x" * 900_000)
        assert run_count(world, "e-1") == 0
    assert answer.status == 503


async def test_server_error_of_a_runner_is_forwarded_unchanged(log_path):
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.ERROR)
        answer = await world.send("/safe/x", identifier="x-1")
    assert (answer.status, answer.body) == (500, b"failed")
    assert answer.headers["server-signature"].endswith(".x-1")


async def test_unknown_route_gives_404_while_configuration_is_current(log_path):
    async with platform_world(log_path) as world:
        answer = await world.send("/never/x")
    assert answer.status == 404


async def test_unknown_host_name_gives_404(log_path):
    async with platform_world(log_path) as world:
        answer = await world.send("/safe/x", headers={"Host": "other.example"})
    assert answer.status == 404


async def test_request_without_usable_runner_is_refused_immediately(log_path):
    async with platform_world(log_path) as world:
        for runner in plain_runners(world):
            world.deregister(runner)
        context = world.hosts[0].context
        await until(lambda: not context.runners.usable("plain"))
        answer = await asyncio.wait_for(world.send("/safe/x"), 0.5)
    assert answer.status == 503 and "retry-after" in answer.headers


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: y", 408),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n", 413),
    ],
    ids=["long-headers", "bad-length", "no-host", "slow-headers", "long-body"],
)
async def test_invalid_request_is_answered_with_an_error(log_path, head, status):
    async with platform_world(log_path) as world:
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + (b"z" * 1_000_001 if status == 413 else b""))
        answer = await asyncio.wait_for(read_answer(reader), 3)
        writer.close()
    assert answer.status == status


async def test_total_size_of_bodies_is_bounded_and_released(log_path):
    """Many large bodies at once must not exceed the memory limit of the process."""
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.MUTE)
        size = 990_000
        # The limit is lowered so that three bodies fill the buffers.
        world.hosts[0].buffers._limit_bytes = 3 * size
        sends = [
            asyncio.create_task(
                world.send("/short/x", "POST", f"b-{n}", b"x" * size, deadline_ms=300)
            )
            for n in range(5)
        ]
        answers = await asyncio.gather(*sends)
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [503, 503, 504, 504, 504]
        await until(lambda: world.hosts[0].buffers.reserved_bytes == 0)
        set_faults(world, RunnerFault.NONE)
        answer = await world.send("/once/x", "POST", "b-9", b"x" * size)
    assert answer.status == 200


async def test_connections_beyond_the_limit_are_reset(log_path):
    async with platform_world(log_path) as world:
        async with AsyncExitStack() as stack:
            address = f"127.0.0.1:{free_addresses(1)[0].rpartition(':')[2]}"
            serve = connection_handler({"/x": lambda request: (200, [], b"ok")})
            buffers = BodyBuffers(1000)
            await stack.enter_async_context(
                caller_listener(address, CallerLimits, serve, buffers, 2)
            )
            host, _, port = address.rpartition(":")
            kept = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
            await asyncio.sleep(0.05)
            refused = await send_raw(address, "GET", "/x", {"Host": "h"}, b"")
            assert refused.status == 0
            kept[0][1].close()
            await asyncio.sleep(0.05)
            answer = await send_raw(address, "GET", "/x", {"Host": "h"}, b"")
            assert answer.status == 200
            kept[1][1].close()
        assert world.hosts


async def test_internal_error_fails_one_request_and_is_logged(log_path, monkeypatch):
    async with platform_world(log_path) as world:
        placement = world.hosts[0].context.plain_placement

        def broken(self, runners, tried):
            raise KeyError("a fault")

        monkeypatch.setattr(type(placement), "choose", broken)
        answer = await world.send("/safe/x", identifier="f-1")
        monkeypatch.undo()
        assert (await world.send("/safe/x", identifier="f-2")).status == 200
        (line,) = [x for x in world.lines("request.ended") if x["request"] == "f-1"]
    assert answer.status == 502 and "a fault" in line["detail"]
    assert line["outcome"] == "internal"


async def test_pipelined_requests_are_answered_in_order(log_path):
    async with platform_world(log_path) as world:
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        requests = [
            f"GET /safe/{n} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: k-{n}\r\n\r\n"
            for n in range(4)
        ]
        writer.write("".join(requests).encode())
        answers = [await read_answer(reader) for _ in range(4)]
        writer.close()
    assert [a.json["target"] for a in answers] == [f"/safe/{n}" for n in range(4)]
    assert [a.headers["attempt-id"] for a in answers] == [f"k-{n}" for n in range(4)]


async def test_request_is_cancelled_when_its_caller_disconnects(log_path):
    async with platform_world(log_path) as world:
        set_faults(world, RunnerFault.MUTE)
        host, _, port = world.hosts[0].settings.listeners.callers.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: g-1\r\n\r\n"
        writer.write(head.encode())
        runners = plain_runners(world)
        await until(lambda: run_count(world, "g-1"))
        writer.close()
        await until(lambda: any("g-1" in r.cancelled for r in runners), 0.4)


async def test_requests_are_refused_until_a_configuration_is_known(log_path):
    async with platform_world(log_path, wait_ready=False) as world:
        world.hosts[0].context.configuration.current = None
        world.hosts[0].context.configuration.document = b""
        world.store.remove("op/config")
        answer = await world.send("/safe/x")
        assert answer.status == 503
        world.apply(configuration(5))
        await until(lambda: world.hosts[0].context.configuration.version == 5)
        assert (await world.send("/safe/x")).status == 200


async def test_request_appears_in_metrics_and_log(log_path):
    async with platform_world(log_path) as world:
        await world.send("/stream/x", "POST", "m-1", b"p", headers=GENERATION)
        address = world.hosts[0].settings.listeners.metrics
        response = await send_raw(address, "GET", "/metrics", {"Host": "x"}, b"")
        lines = world.lines("request.ended")
    assert b'siskinlever_requests_total{outcome="answered"} 1' in response.body
    line = next(line for line in lines if line["request"] == "m-1")
    assert line["outcome"] == "answered" and line["configuration"] == 1
    assert line["prefill"] == "e-1" and line["room_s"] <= line["first_event_s"]
    assert json.dumps(line)


@pytest.mark.parametrize("broken", [False, True])
async def test_log_shows_how_the_answer_of_an_engine_was_framed_and_ended(
    log_path, broken
):
    async with platform_world(log_path) as world:
        for name in ("e-2", "e-3"):
            world.runner_named(name).break_after_events = 4 if broken else None
        await world.send("/stream/x", "POST", "m-2", b"p", headers=GENERATION)
        (line,) = [x for x in world.lines("request.ended") if x["request"] == "m-2"]
    assert line["framing"] == "chunks"
    assert (line["events"], line["inside_event"]) == (
        (3, True) if broken else (10, False)
    )
    assert line["outcome"] == ("broken" if broken else "answered")


async def test_rejected_request_is_retried_at_another_runner(log_path):
    async with platform_world(log_path) as world:
        world.runner_named("p-1").fault = RunnerFault.SHED
        answers = [
            await world.send("/once/x", "POST", f"q-{n}", b"body") for n in range(6)
        ]
        assert world.runner_named("p-1").received, "the full runner received no request"
        assert [run_count(world, f"q-{n}") for n in range(6)] == [1] * 6
    assert {answer.status for answer in answers} == {200}


@pytest.mark.parametrize("path", ["/once/x", "/stream/x"])
async def test_replaced_runner_at_the_same_address_is_not_used(log_path, path):
    async with platform_world(log_path) as world:
        stand_in = world.runner_named("p-1" if path == "/once/x" else "e-2")
        registered_name = stand_in.name
        stand_in.name = "newcomer"
        for number in range(4):
            headers = GENERATION if path == "/stream/x" else {}
            answer = await world.send(
                path, "POST", f"m-{number}", b"b", headers=headers
            )
            assert answer.status == 200 and answer.complete
        usable = world.hosts[0].context.runners.usable(stand_in.service)
        assert registered_name not in {runner.key.name for runner in usable}
        assert not any(f"m-{number}" in stand_in.ran for number in range(4))


@pytest.mark.parametrize("shedding", [("e-1", "e-2", "e-3"), ("e-2", "e-3"), ("e-1",)])
async def test_rejected_generations_stay_within_the_retry_budget(log_path, shedding):
    """A decode that follows a rejected prefill is charged to the retry budget.

    A rejected prefill counts as an arrival at an engine; only an accepted one is
    exempt. Otherwise full engines would cause more sends than the budget allows.
    """
    request_count, ratio, min_extra = 20, 0.2, 16
    bounds = {"retry_budget_ratio": ratio, "retry_min_extra": min_extra}
    async with platform_world(log_path, **bounds) as world:
        for name in shedding:
            world.runner_named(name).fault = RunnerFault.SHED
        for n in range(request_count):
            await world.send(
                "/resume/x", "POST", f"g-{n}", b"p", headers=GENERATION, deadline_ms=900
            )
        engines = [world.runner_named(name) for name in ("e-1", "e-2", "e-3")]
        sent = [r.get("attempt-id") for engine in engines for r in engine.received]
        accepted = {
            r.get("attempt-id") for r in engines[0].received if "e-1" not in shedding
        }
    extra_arrivals = len(sent) - len(accepted) - len(set(sent))
    assert extra_arrivals <= ratio * request_count + min_extra


async def read_until_closed(address: str, request: bytes) -> bytes:
    """Send the bytes of a request and return all bytes of the connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    received = bytearray()
    try:
        while data := await asyncio.wait_for(reader.read(65_536), 3.0):
            received += data
    except ConnectionError:
        pass
    finally:
        writer.close()
    return bytes(received)


async def test_broken_large_answer_is_not_followed_by_a_buffered_one(log_path):
    body = b"x" * 200_000
    async with platform_world(log_path) as world:
        world.runner_named("p-1").fault = RunnerFault.ERROR
        world.runner_named("p-2").fault = RunnerFault.TRUNCATED
        address = world.hosts[0].settings.listeners.callers
        answers = []
        for number in range(8):
            head = (
                f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: b-{number}\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            answers.append(await read_until_closed(address, head.encode() + body))
        tried_both = [
            number for number in range(8) if run_count(world, f"b-{number}") == 2
        ]
        metrics = world.hosts[0].context.metrics.exposition()
    assert tried_both, "no request reached the truncating runner after the failing one"
    assert "siskinlever_faults" not in metrics
    assert [answer.count(b"HTTP/1.1 ") for answer in answers] == [1] * 8


async def test_stopping_host_closes_connection_after_large_answer(log_path):
    async with platform_world(log_path) as world:
        drain_task = asyncio.create_task(world.hosts[0].shutdown.drain())
        await asyncio.sleep(0.1)
        answer = await world.send("/safe/x", "POST", body=b"x" * 200_000)
        drain_task.cancel()
    assert answer.status == 200 and answer.complete
    assert answer.headers["connection"] == "close"
