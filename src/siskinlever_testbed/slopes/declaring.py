"""Costs of declared workspaces and runners."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import web

from siskinlever._internal.models.declaration import Declaration
from siskinlever._internal.utils.digests import key_digest
from siskinlever._internal.utils.validation import parse_json

from ..fleet import Fleet, running_fleet
from ..plans import ATELIER_ZONES, EnginePlan, FleetPlan
from ..processes import free_addresses
from .usage import Cost, host_processes, measure_usage, resident_bytes

WORKSPACE_COUNTS = (10, 1_000, 3_700)
EXTRA_RUNNERS = 100
LOAD_REPORT = {"running": 0, "waiting": 0, "slots": 20, "leaving": False}
SETTLE_S = 2.0
WINDOW_S = 8.0
POOL = "critique-models"
PLAN = FleetPlan(
    hosts=3,
    zones=ATELIER_ZONES,
    engines=(EnginePlan(POOL, prefill=1, decode=1),),
    models=({"name": "lookup", "pool": POOL},),
)


async def measure(directory: Path) -> list[Cost]:
    """Measure declarations with different numbers of workspaces and runners."""
    async with running_fleet(PLAN, directory / "declaring") as fleet:
        return [*await _measure_runners(fleet), *await _measure_workspaces(fleet)]


async def _measure_workspaces(fleet: Fleet) -> list[Cost]:
    costs = []
    resident = []
    size = []
    for count in WORKSPACE_COUNTS:
        declaration = fleet.declaration()
        declaration["workspaces"] = [_workspace(n) for n in range(count)]
        size.append(_stored_bytes(declaration))
        parse_s = _parse_duration_s(declaration)
        with measure_usage(host_processes(fleet)[-1:]) as follower:
            started_at = time.monotonic()
            await _apply(fleet, declaration)
            applied_s = time.monotonic() - started_at
            await asyncio.sleep(SETTLE_S)
        resident.append(resident_bytes(host_processes(fleet)[-1].pid))
        name = f"declaration.{count}_workspaces"
        costs += [
            Cost(f"{name}.bytes", size[-1], "B", "JSON as stored"),
            Cost(f"{name}.parse", parse_s * 1e3, "ms", "check and parse, best of 3"),
            Cost(f"{name}.apply", applied_s, "s", "command until all 3 hosts confirm"),
            Cost(f"{name}.follow", follower.cpu_s * 1e3, "ms", "CPU of a follower"),
        ]
    span = WORKSPACE_COUNTS[-1] - WORKSPACE_COUNTS[0]
    how = f"difference of {WORKSPACE_COUNTS[-1]} and {WORKSPACE_COUNTS[0]}"
    grown = (resident[-1] - resident[0]) / span
    costs += [
        Cost("workspace.bytes", (size[-1] - size[0]) / span, "B", how),
        Cost("workspace.memory", grown, "B", f"resident of a follower, {how}"),
    ]
    return costs


async def _measure_runners(fleet: Fleet) -> list[Cost]:
    """Measure extra runners, whose load reports this process serves."""
    samples = []
    async with _serve_load_reports(EXTRA_RUNNERS) as addresses:
        for extra_addresses in ([], addresses):
            declaration = fleet.declaration()
            runners = declaration["engine_pools"][0]["runners"]
            declaration["engine_pools"][0]["runners"] = runners + [
                runners[-1] | {"name": f"more-{number}", "address": address}
                for number, address in enumerate(extra_addresses)
            ]
            await _apply(fleet, declaration)
            await asyncio.sleep(SETTLE_S)
            with measure_usage(host_processes(fleet)) as total:
                await asyncio.sleep(WINDOW_S)
            resident = sum(resident_bytes(p.pid) for p in host_processes(fleet))
            samples.append((total.cpu_s, total.moved_bytes, resident))
    cpu, moved, resident = (
        (after - before) / EXTRA_RUNNERS for before, after in zip(*samples, strict=True)
    )
    how = f"all 3 hosts together, {EXTRA_RUNNERS} more runners"
    return [
        Cost("runner.cpu", 1e3 * cpu / WINDOW_S, "ms/s", how),
        Cost("runner.bytes", moved / WINDOW_S, "B/s", how),
        Cost("runner.memory", resident / PLAN.hosts, "B", "resident, each of 3 hosts"),
    ]


@asynccontextmanager
async def _serve_load_reports(count: int) -> AsyncIterator[list[str]]:
    """Serve load reports at `count` addresses for the duration of a `with` block."""

    async def report(request: web.Request) -> web.Response:
        return web.json_response(LOAD_REPORT)

    app = web.Application()
    app.router.add_get("/load", report)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    addresses = free_addresses(count)
    try:
        for address in addresses:
            host, _, port = address.rpartition(":")
            await web.TCPSite(runner, host, int(port)).start()
        yield addresses
    finally:
        await runner.cleanup()


async def _apply(fleet: Fleet, declaration: dict[str, Any]) -> None:
    if await fleet.apply(declaration) != 0:
        raise RuntimeError("a declaration was not confirmed by all hosts")


def _workspace(number: int) -> dict[str, Any]:
    return {
        "name": f"workspace-{number}",
        "key_digests": [key_digest(f"key of workspace {number}")],
        "models": ["lookup"],
    }


def _stored_bytes(declaration: dict[str, Any]) -> int:
    return len(Declaration.model_validate(declaration).model_dump_json())


def _parse_duration_s(declaration: dict[str, Any]) -> float:
    content = json.dumps(declaration)
    durations = []
    for _ in range(3):
        started_at = time.process_time()
        parse_json(Declaration, content)
        durations.append(time.process_time() - started_at)
    return min(durations)
