"""Measures the latency that the router adds to the first token at low load."""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import aiohttp

from siskinlever._internal.engines.base import EngineCall
from siskinlever._internal.engines.registry import Engines

from ..client import Caller, Reply
from ..fleet import Fleet, caller_key, running_fleet
from .workloads import ATELIER

SAMPLES = 60
PAUSE_S = 0.05
MAX_TOKENS = 3
PROMPT_WORDS = 200


@dataclass(frozen=True, slots=True)
class Overhead:
    """Median time to first token in seconds, through the router and without it."""

    routed_s: float
    direct_s: float

    @property
    def added_s(self) -> float:
        return self.routed_s - self.direct_s


async def measure_overhead() -> Overhead:
    """Measure requests through the router and directly to engines, alternately.

    One request is sent at a time. Prompts have the same length both ways, but
    no two share a prefix, so the prefix cache does not favor either.
    """
    with tempfile.TemporaryDirectory() as directory:
        plan = ATELIER.plan("siskinlever")
        async with running_fleet(plan, Path(directory) / "fleet") as fleet:
            await fleet.apply()
            return await _compare(fleet)


async def _compare(fleet: Fleet) -> Overhead:
    routed: list[float] = []
    direct: list[float] = []
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, caller_key("atelier"))
        places = list(fleet.endpoints_by_host.values())
        for number in range(SAMPLES):
            address = places[number % len(places)].callers
            routed.append(await _measure_routed(caller, address, _prompt(f"r{number}")))
            await asyncio.sleep(PAUSE_S)
            direct.append(
                await _measure_direct(session, fleet, _prompt(f"d{number}"), number)
            )
            await asyncio.sleep(PAUSE_S)
    # The first calls open connections and are left out.
    warmup_calls = len(places)
    return Overhead(median(routed[warmup_calls:]), median(direct[warmup_calls:]))


async def _measure_routed(caller: Caller, address: str, prompt: str) -> float:
    started_at = time.monotonic()
    first: list[float] = []

    async def on_chunk(reply: Reply) -> None:
        first.append(time.monotonic() - started_at)

    await caller.complete(address, "lookup", prompt, MAX_TOKENS, on_chunk=on_chunk)
    return first[0]


async def _measure_direct(
    session: aiohttp.ClientSession, fleet: Fleet, prompt: str, number: int
) -> float:
    runners = fleet.runners_by_pool[ATELIER.engines.pool]
    prefill = [r["address"] for r in runners if r["role"] == "prefill"]
    decode = [r["address"] for r in runners if r["role"] == "decode"]
    call = EngineCall(f"direct-{number}", "lookup", prompt, MAX_TOKENS, 0, {})
    started_at = time.monotonic()
    engines = Engines(session)
    prefill_result = await engines.at(prefill[number % len(prefill)]).prefill(
        call, timeout_s=5.0
    )
    first = None
    engine = engines.at(decode[number % len(decode)])
    async for _ in engine.decode(call, prefill_result):
        first = first or time.monotonic() - started_at
    assert first is not None
    return first


def _prompt(name: str) -> str:
    return " ".join([name] + ["word"] * (PROMPT_WORDS - 1))
