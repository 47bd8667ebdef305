"""Reports of crashes that no runner of the test had."""

from __future__ import annotations

import asyncio

from siskinlever._internal.dispatch import cause_search
from siskinlever._internal.dispatch.crash_evidence import BEGUN_WEIGHT, CrashedRun
from siskinlever._internal.models.traits import Trait, part_traits
from siskinlever._internal.models.upstreams import RunnerKey

from .platform_world import ENGINES, World, until


async def bar_part(world: World, part: str, beside: str = "") -> Trait:
    """Bar a part of prompts, as `bar_trait`; return its trait."""
    (trait,) = part_traits(ENGINES, [part])
    await bar_trait(world, trait, beside)
    return trait


async def bar_trait(world: World, trait: Trait, beside: str = "") -> None:
    """Report three crashes to the first host until all hosts bar a trait.

    Parameters
    ----------
    world : World
    trait : Trait
    beside : str, default=""
        Beginning of the names of other parts, one in each crashed request.
    """
    reports = world.hosts[0].crash_reports
    for number in range(3):
        others = part_traits(ENGINES, [f"{beside}{number}"] if beside else [])
        run = CrashedRun(f"r-{number}", (trait, *others), BEGUN_WEIGHT)
        reports.report(RunnerKey(f"gone-{number}", number), [run])
        await asyncio.sleep(cause_search.SIMULTANEOUS_S + 0.01)
    await until(lambda: all(h.crash_reports.causes.bars for h in world.hosts))
