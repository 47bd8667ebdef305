"""Reports of crashes that no runner of the test had."""

from __future__ import annotations

import asyncio

from siskinlever._internal.dispatch import crash_causes
from siskinlever._internal.dispatch.crash_causes import BEGUN_WEIGHT, CrashedRun
from siskinlever._internal.models.traits import Trait, part_traits
from siskinlever._internal.models.upstreams import RunnerKey

from .platform_world import ENGINES, World, until


async def bar_part(world: World, part: str) -> Trait:
    """Report three crashes to the first host until all hosts bar a part of prompts.

    Returns
    -------
    trait : Trait
        Of the part.
    """
    (trait,) = part_traits(ENGINES, [part])
    reports = world.hosts[0].crash_reports
    for number in range(3):
        run = CrashedRun(f"r-{number}", (trait,), BEGUN_WEIGHT)
        reports.report(RunnerKey(f"gone-{number}", number), [run])
        await asyncio.sleep(crash_causes.SIMULTANEOUS_S + 0.01)
    await until(lambda: all(h.crash_reports.causes.bars for h in world.hosts))
    return trait
