"""The callers' interface, with the unmodified openai package and invalid input."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from lib.world import World, running_world
from openai import NotFoundError, OpenAI

from siskinlever_testbed.fleet import caller_key
from siskinlever_testbed.plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from siskinlever_testbed.standins.answers import answer_text

pytestmark = pytest.mark.system

PLAN = FleetPlan(
    hosts=3,
    zones=ATELIER_ZONES,
    engines=(EnginePlan("critique-models", 1, 1, token_time_s=0.002),),
    services=(ServicePlan("client-portal", runners=1),),
    models=({"name": "lookup", "pool": "critique-models"},),
)
MESSAGES = [{"role": "user", "content": "Which stock?"}]
CHAT_PROMPT = "user: Which stock?\nassistant:"
MEMORY_LIMIT_BYTES = 64 << 20
# A host refuses a caller whose body takes longer than `RECEIVE_TIMEOUT_S`, 15 s.
SLOW_CALLERS_REFUSED_WITHIN_S = 16.0


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    with running_world(PLAN, tmp_path_factory.mktemp("callers")) as world:
        yield world


@pytest.fixture(scope="module")
def client(world: World):
    base = f"http://{world.address('host-1')}/v1"
    with OpenAI(base_url=base, api_key=caller_key("atelier"), max_retries=0) as client:
        yield client


def test_client_package_completes(client):
    answer = client.completions.create(
        model="lookup", prompt="Which stock?", max_tokens=8, temperature=0, stop=["##"]
    )
    assert answer.choices[0].text == answer_text("Which stock?", 8)
    assert answer.choices[0].finish_reason == "length"
    assert answer.usage.completion_tokens == 8


def test_client_package_chats(client):
    answer = client.chat.completions.create(
        model="lookup", messages=MESSAGES, max_completion_tokens=9, top_p=0.5
    )
    assert answer.choices[0].message.content == answer_text(CHAT_PROMPT, 9)


def test_client_package_streams_with_usage(client):
    events = list(
        client.chat.completions.create(
            model="lookup",
            messages=MESSAGES,
            max_tokens=30,
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    text = "".join(e.choices[0].delta.content or "" for e in events if e.choices)
    assert text == answer_text(CHAT_PROMPT, 30)
    assert events[-1].usage.completion_tokens == 30
    assert events[-2].choices[0].finish_reason == "length"


def test_client_package_lists_models_and_shows_errors(client):
    assert [model.id for model in client.models.list()] == ["lookup"]
    with pytest.raises(NotFoundError) as caught:
        client.completions.create(model="other", prompt="x")
    assert caught.value.body["outcome"] == "not_run"
    assert caught.value.body["param"] == "model"


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "expected_text"),
    [
        ("/v1/completions", b"{", {}, 400, "$"),
        ("/v1/completions", b'{"model": "\xff"}', {}, 400, "$"),
        ("/v1/completions", b'{"model": "lookup"}', {}, 400, "prompt"),
        (
            "/v1/completions",
            b'{"model":"lookup","prompt":"x","max_tokens":"9"}',
            {},
            400,
            "max_tokens",
        ),
        ("/v1/completions", b"x" * (5 << 20), {}, 413, ""),
        ("/v1/completions", b"{}", {"X-Flood": "x" * 20_000}, 413, ""),
        ("/v1/completions", b"{}", {"X-Request-Id": "a b"}, 400, "X-Request-Id"),
        ("/v1/completions", b"{}", {"Authorization": "Bearer wrong"}, 401, ""),
        ("/v1/completions", b"{}", {"Authorization": "Bearer \udcff"}, 401, ""),
        ("/v1/services/no-such", b"{}", {}, 404, "name"),
        ("/v1/none", b"{}", {}, 404, ""),
    ],
)
def test_error_names_the_invalid_input(
    world, path, body, headers, status, expected_text
):
    found_status, answer, _ = world.request(
        "POST", "host-1", path, data=body, headers=headers
    )
    assert (found_status, answer["error"]["outcome"]) == (status, "not_run")
    assert (
        expected_text in (answer["error"]["param"] or "") + answer["error"]["message"]
    )


def test_workspaces_with_the_same_request_id_are_isolated(world):
    async def complete_for(workspace: str, prompt: str):
        return await world.caller(workspace).complete(
            world.address("host-2"), "lookup", prompt, 6, request_id="shared-id"
        )

    async def both():
        return await asyncio.gather(
            complete_for("atelier", "Ours?"), complete_for("brosur", "Theirs?")
        )

    ours, theirs = world.run(both())
    assert ours.text == answer_text("Ours?", 6)
    assert theirs.text == answer_text("Theirs?", 6)


def test_workspace_limits_are_enforced(world):
    declaration = world.fleet.declaration()
    declaration["workspaces"][1]["limits"] = {
        "requests_per_s": 0.5,
        "burst": 1,
        "concurrent": 5,
    }
    assert world.run(world.fleet.apply(declaration)) == 0
    caller, address = world.caller("brosur"), world.address("host-3")
    replies = [world.run(caller.complete(address, "lookup", "x", 2)) for _ in range(2)]
    assert [r.outcome for r in replies] == ["answered", "not_run"]
    assert (replies[1].status, replies[1].code) == (429, "rate_limited")
    assert 0 < replies[1].retry_after_s <= 2


def test_slow_callers_do_not_affect_others(world):
    """Callers that never complete a request are refused, and others are served."""
    host, _, port = world.address("host-1").rpartition(":")
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n"
        f"Authorization: Bearer {caller_key('atelier')}\r\n\r\n"
    )
    process = world.fleet.process_by_name["host-1"]

    async def open_slow() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + b"x" * 10_000)
        return reader, writer

    async def scenario() -> None:
        before = resident_bytes(process.pid)
        slow = [await open_slow() for _ in range(300)]
        for _ in range(20):
            reply = await world.caller().complete(
                world.address("host-1"), "lookup", "Which stock?", 5
            )
            assert reply.text == answer_text("Which stock?", 5)
        async with asyncio.timeout(2 * SLOW_CALLERS_REFUSED_WITHIN_S):
            answers = await asyncio.gather(*(reader.read() for reader, _ in slow))
        assert all(answer.startswith(b"HTTP/1.1 408") for answer in answers)
        body = json.loads(answers[0].partition(b"\r\n\r\n")[2])
        assert body["error"]["outcome"] == "not_run"
        assert resident_bytes(process.pid) - before < MEMORY_LIMIT_BYTES

    world.run(scenario())


def resident_bytes(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


def test_request_with_truncated_body_is_not_run(world):
    before = len(world.fleet.records("critique-models"))
    host, _, port = world.address("host-1").rpartition(":")
    head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n"
    key = f"Authorization: Bearer {caller_key('atelier')}\r\n\r\n"

    async def send() -> None:
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f'{head}{key}{{"model":"lookup","prompt":"x"}}'.encode())
        writer.close()
        await writer.wait_closed()
        await asyncio.sleep(0.3)

    world.run(send())
    assert len(world.fleet.records("critique-models")) == before
    assert world.get("host-1", "/v1/models")[0] == 200
