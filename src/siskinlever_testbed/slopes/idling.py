"""Costs of idle hosts, by the number of hosts."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..fleet import running_fleet
from ..plans import ATELIER_ZONES, FleetPlan
from .usage import (
    Cost,
    count_store_calls,
    host_processes,
    measure_usage,
    resident_bytes,
)

HOST_COUNTS = (4, 8, 16, 24)
SETTLE_S = 3.0
WINDOW_S = 10.0


async def measure(directory: Path) -> list[Cost]:
    """Measure idle fleets of several sizes, without runners."""
    costs: list[Cost] = []
    by_count = {n: await _measure_idle(n, directory / f"idle-{n}") for n in HOST_COUNTS}
    for count, costs_of_count in by_count.items():
        costs += [
            Cost(f"idle.{cost.name}.{count}_hosts", cost.value, cost.unit, cost.how)
            for cost in costs_of_count
        ]
    few, many = (by_count[n] for n in (HOST_COUNTS[0], HOST_COUNTS[-1]))
    peers = HOST_COUNTS[-1] - HOST_COUNTS[0]
    how = f"difference of {HOST_COUNTS[-1]} and {HOST_COUNTS[0]} hosts, per peer"
    for low, high in zip(few, many, strict=True):
        value_per_peer = (high.value - low.value) / peers
        costs.append(Cost(f"idle.{low.name}.per_peer", value_per_peer, low.unit, how))
    return costs


async def _measure_idle(hosts: int, directory: Path) -> list[Cost]:
    plan = FleetPlan(hosts=hosts, zones=ATELIER_ZONES, engines=())
    async with running_fleet(plan, directory) as fleet:
        await fleet.apply()
        await asyncio.sleep(SETTLE_S)
        processes = host_processes(fleet)
        before = await count_store_calls(fleet)
        with measure_usage(processes) as total:
            await asyncio.sleep(WINDOW_S)
        after = await count_store_calls(fleet)
        resident = sum(resident_bytes(p.pid) for p in processes)
    host_seconds = WINDOW_S * hosts
    calls = sum(after.values()) - sum(before.values())
    scope = f"mean of {hosts} hosts over {WINDOW_S:g} s"
    return [
        Cost(
            "cpu",
            100 * total.cpu_s / host_seconds,
            "% of a core",
            f"utime+stime, {scope}",
        ),
        Cost(
            "bytes",
            total.moved_bytes / host_seconds / 1e3,
            "KB/s",
            f"/proc/io, {scope}",
        ),
        Cost(
            "store_calls", calls / host_seconds, "calls/s", f"hosts' counters, {scope}"
        ),
        Cost("memory", resident / hosts / 1e6, "MB", f"resident, mean of {hosts}"),
    ]
