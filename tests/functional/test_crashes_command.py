"""Operators see and lift what requests are refused for."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from lib.crashes import bar_part
from lib.platform_world import platform_world, send_raw, until

from siskinlever._internal.cli.main import main

GENERATION = {"Model": "m", "Token-Usage": "100,70", "Length-Hint": "70"}
PROMPT = GENERATION | {"Prompt-Prefix": "bad:40,own:60"}


@pytest.fixture
def log_path(tmp_path) -> str:
    return str(tmp_path / "log")


async def run_command(world, *arguments: str, host: int = 0) -> int:
    address = world.hosts[host].settings.listeners.metrics
    return await asyncio.to_thread(main, [*arguments, "--hosts", address])


async def test_barred_part_is_listed_and_lifted_at_all_hosts(log_path, capsys):
    async with platform_world(log_path, hosts=2) as world:
        trait = await bar_part(world, "bad")
        started_at = time.monotonic()
        refused = await world.send("/stream/x", "POST", "l-1", b"p", 1, PROMPT)
        assert refused.status == 503 and time.monotonic() - started_at < 0.5
        assert float(refused.headers["retry-after"]) > 60
        assert not any(runner.received for runner in world.runners)
        assert await run_command(world, "crashes", host=1) == 0
        printed = capsys.readouterr().out
        assert trait in printed and "gone-0,gone-1,gone-2" in printed
        assert await run_command(world, "crashes", "lift", trait) == 0
        await until(lambda: not any(h.crash_reports.causes.bars for h in world.hosts))
        answer = await world.send("/stream/x", "POST", "l-2", b"p", 1, PROMPT)
        assert answer.status == 200 and answer.complete
        assert await run_command(world, "crashes", "lift", "part:unknown") == 1
        assert "part:unknown" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("method", "body", "status", "named"),
    [
        ("GET", b"", 405, "method"),
        ("POST", b"{", 400, "body"),
        ("POST", b"{}", 400, "traits"),
        ("POST", b'{"traits": [1]}', 400, "traits"),
        ("POST", b'{"traits": ["part:ab"]}', 404, "traits"),
    ],
)
async def test_invalid_order_to_lift_names_the_field(
    log_path, method, body, status, named
):
    async with platform_world(log_path) as world:
        address = world.hosts[0].settings.listeners.metrics
        headers = {"Host": "h", "Content-Length": str(len(body))}
        answer = await send_raw(address, method, "/crashes/lift", headers, body)
    assert answer.status == status
    assert json.loads(answer.body)["error"]["message"].startswith(f"{named}:")
