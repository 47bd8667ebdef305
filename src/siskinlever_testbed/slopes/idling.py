"""Costs of hosts that serve nothing, by the number of hosts."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..fleet import running_fleet
from ..plans import ATELIER_ZONES, FleetPlan
from .usage import Slope, hosts_of, resident_bytes, store_calls, used

HOST_COUNTS = (4, 8, 16, 24)
SETTLE_S = 3.0
WINDOW_S = 10.0


async def measure(directory: Path) -> list[Slope]:
    """Measure fleets of several sizes, with no runners."""
    slopes: list[Slope] = []
    by_count = {n: await _idle(n, directory / f"idle-{n}") for n in HOST_COUNTS}
    for count, found in by_count.items():
        slopes += [
            Slope(
                f"idle.{slope.name}.{count}_hosts", slope.value, slope.unit, slope.how
            )
            for slope in found
        ]
    few, many = (by_count[n] for n in (HOST_COUNTS[0], HOST_COUNTS[-1]))
    peers = HOST_COUNTS[-1] - HOST_COUNTS[0]
    how = f"difference of {HOST_COUNTS[-1]} and {HOST_COUNTS[0]} hosts, per peer"
    for low, high in zip(few, many, strict=True):
        slope = (high.value - low.value) / peers
        slopes.append(Slope(f"idle.{low.name}.per_peer", slope, low.unit, how))
    return slopes


async def _idle(hosts: int, directory: Path) -> list[Slope]:
    plan = FleetPlan(hosts=hosts, zones=ATELIER_ZONES, engines=())
    async with running_fleet(plan, directory) as fleet:
        await fleet.apply()
        await asyncio.sleep(SETTLE_S)
        processes = hosts_of(fleet)
        before = await store_calls(fleet)
        with used(processes) as total:
            await asyncio.sleep(WINDOW_S)
        after = await store_calls(fleet)
        resident = sum(resident_bytes(p.pid) for p in processes)
    share = WINDOW_S * hosts
    calls = sum(after.values()) - sum(before.values())
    over = f"mean of {hosts} hosts over {WINDOW_S:g} s"
    return [
        Slope("cpu", 100 * total.cpu_s / share, "% of a core", f"utime+stime, {over}"),
        Slope("bytes", total.moved_bytes / share / 1e3, "KB/s", f"/proc/io, {over}"),
        Slope("store_calls", calls / share, "calls/s", f"hosts' counters, {over}"),
        Slope("memory", resident / hosts / 1e6, "MB", f"resident, mean of {hosts}"),
    ]
