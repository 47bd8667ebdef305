"""Gateway hosts behind the users' platform, as real processes."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest
from lib.kernel_features import forbidden_uses

from siskinlever_testbed.platform_fleet import DAEMON, HOST, platform_fleet, send_raw

pytestmark = pytest.mark.system

GENERATION = {"Model": "m", "Token-Usage": "900,700", "Length-Hint": "700"}
MEMORY_LIMIT_BYTES = 150_000_000


async def send(fleet, host, path, identifier, headers=None):
    all_headers = {"Host": HOST, "Attempt-Id": identifier, "Content-Length": "2"}
    all_headers |= headers or {}
    return await send_raw(fleet.address(host), "POST", path, all_headers, b"hi")


async def wait_ready(fleet, hosts):
    async with asyncio.timeout(10):
        while not all([await fleet.is_ready(host) for host in hosts]):
            await asyncio.sleep(0.05)
        while len(await fleet.lookup(hosts[0])) < len(hosts):
            await asyncio.sleep(0.05)


async def test_process_uses_no_forbidden_resources(tmp_path, monkeypatch):
    monkeypatch.setenv("UV_USE_IO_URING", "1")
    async with platform_fleet(tmp_path, 1) as fleet:
        await wait_ready(fleet, [0])
        assert (await send(fleet, 0, "/once/x", "p-1")).status == 200
        pid = fleet.hosts[0].pid
        used = forbidden_uses(pid)
        status = Path(f"/proc/{pid}/status").read_text()
    assert used == []
    peak_memory_line = next(
        line for line in status.splitlines() if line.startswith("VmHWM")
    )
    assert int(peak_memory_line.split()[1]) * 1024 < MEMORY_LIMIT_BYTES


async def test_shutdown_completes_streams_in_progress(tmp_path):
    async with platform_fleet(tmp_path, 2) as fleet:
        await wait_ready(fleet, [0, 1])
        stream_task = asyncio.create_task(
            send(fleet, 1, "/stream/x", "p-2", GENERATION)
        )
        await asyncio.sleep(0.3)
        fleet.hosts[1].leave()
        answer = await stream_task
        assert answer.status == 200 and answer.complete
        assert await fleet.hosts[1].ended(8.0) == 0
        assert len(await fleet.lookup(0)) == 1


async def test_invalid_settings_are_rejected_with_the_field_name(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("node_name = 4\n")
    process = await asyncio.create_subprocess_exec(
        *DAEMON,
        "--platform",
        "--check",
        env=os.environ | {"SISKINLEVER_NODE_FILE": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    _, error = await process.communicate()
    assert process.returncode != 0 and b"node_name" in error
