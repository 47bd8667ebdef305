"""Costs of requests: CPU, memory and calls to the key-value service."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from ..client import Caller, Reply
from ..fleet import Fleet, caller_key, running_fleet
from ..plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from ..processes import Process
from .usage import Slope, hosts_of, resident_bytes, store_calls, used

STREAMS = 140
TOKENS_BY_MODEL = {"lookup": 300, "paced": 120}
SMALL_REQUESTS = 300
SMALL_AT_ONCE = 30
IN_FLIGHT = 300
IN_FLIGHT_TOKENS = 16
IN_FLIGHT_AFTER_S = 4.0
DELIVERIES = 200
DELIVERIES_AT_ONCE = 20
DRAFTS = 20
DRAFT_WITHIN_S = 20.0
PROMPT = "Which stock suits the beach resort flyer?"
NO_HURRY = {"first_token_s": 60.0, "per_token_s": 1.0}
PLAN = FleetPlan(
    hosts=3,
    zones=ATELIER_ZONES,
    engines=(
        EnginePlan("fast", prefill=2, decode=4, slots=40, token_time_s=0.01),
        # The pace of one stream in docs/CAPACITY.md, so that events come singly.
        EnginePlan("paced", prefill=2, decode=4, slots=40, token_time_s=0.065),
        EnginePlan("slow", prefill=1, decode=2, slots=200, token_time_s=0.5),
    ),
    services=(ServicePlan("client-portal", runners=3),),
    models=(
        {"name": "lookup", "pool": "fast", **NO_HURRY},
        {"name": "paced", "pool": "paced", **NO_HURRY},
        {"name": "long", "pool": "slow", **NO_HURRY},
        {"name": "draft", "pool": "fast", "urgency": "deferrable", **NO_HURRY},
    ),
)


async def measure(directory: Path) -> list[Slope]:
    """Measure requests sent to one host of three."""
    async with running_fleet(PLAN, directory / "serving") as fleet:
        await fleet.apply()
        load = Load(fleet)
        await load.many(SMALL_AT_ONCE, SMALL_AT_ONCE, "lookup", 1)
        in_flight = await _in_flight(load)
        small = await _small(load)
        return [
            *in_flight,
            *small,
            *await _long(load, "lookup", small[0].value),
            *await _long(load, "paced", small[0].value),
            *await _deliveries(load),
            *await _drafts(load),
        ]


class Load:
    """Sends requests to the first host of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.caller = Caller(fleet.session, caller_key("atelier"))
        self.place = next(iter(fleet.place_by_host.values()))

    @property
    def host(self) -> Process:
        return self.fleet.process_by_name[self.place.name]

    async def many(
        self, count: int, at_once: int, model: str, tokens: int
    ) -> list[Reply]:
        """Send requests for a model; raises `RuntimeError` if one fails."""
        gate = asyncio.Semaphore(at_once)

        async def one(number: int) -> Reply:
            async with gate:
                prompt = f"{PROMPT} {number}"
                address = self.place.callers
                return await self.caller.complete(address, model, prompt, tokens)

        return _whole(await asyncio.gather(*(one(n) for n in range(count))))

    async def deliver(self, count: int, at_once: int) -> list[Reply]:
        """Call the service, which may not be called twice."""
        gate = asyncio.Semaphore(at_once)

        async def one(number: int) -> Reply:
            async with gate:
                body = {"proof": number}
                address = self.place.callers
                return await self.caller.call_service(address, "client-portal", body)

        return _whole(await asyncio.gather(*(one(n) for n in range(count))))


async def _small(load: Load) -> list[Slope]:
    others = [p for p in hosts_of(load.fleet) if p is not load.host]
    with used([load.host]) as small, used(others) as elsewhere:
        await load.many(SMALL_REQUESTS, SMALL_AT_ONCE, "lookup", 1)
    how = f"serving host, {SMALL_REQUESTS} of one token, {SMALL_AT_ONCE} at once"
    others_how = "the other 2 hosts together, their idle cost included"
    spent_ms = 1e3 * small.cpu_s / SMALL_REQUESTS
    elsewhere_ms = 1e3 * elsewhere.cpu_s / SMALL_REQUESTS
    return [
        Slope("request.cpu", spent_ms, "ms", how),
        Slope("request.cpu_elsewhere", elsewhere_ms, "ms", others_how),
    ]


async def _long(load: Load, model: str, request_cpu_ms: float) -> list[Slope]:
    length = TOKENS_BY_MODEL[model]
    began = time.monotonic()
    with used([load.host]) as long:
        await load.many(STREAMS, STREAMS, model, length)
    elapsed_s = time.monotonic() - began
    tokens = STREAMS * (length - 1)
    token_s = (long.cpu_s - STREAMS * request_cpu_ms / 1e3) / tokens
    how = (
        f"{STREAMS} streams of {length} tokens, {tokens / elapsed_s:.0f} tokens/s, "
        "less the requests' own cost"
    )
    return [
        Slope(f"token.cpu.{model}", 1e6 * token_s, "us", how),
        Slope(f"token.per_core_s.{model}", 1 / token_s, "tokens", how),
    ]


async def _in_flight(load: Load) -> list[Slope]:
    before = resident_bytes(load.host.pid)
    streams = asyncio.create_task(
        load.many(IN_FLIGHT, IN_FLIGHT, "long", IN_FLIGHT_TOKENS)
    )
    await asyncio.sleep(IN_FLIGHT_AFTER_S)
    grown = resident_bytes(load.host.pid) - before
    await streams
    how = f"resident with {IN_FLIGHT} streams open, less without"
    return [Slope("request.memory_in_flight", grown / IN_FLIGHT / 1e3, "KB", how)]


async def _deliveries(load: Load) -> list[Slope]:
    slopes = []
    for at_once in (1, DELIVERIES_AT_ONCE):
        count = DELIVERIES if at_once > 1 else DELIVERIES // 4
        before = await store_calls(load.fleet)
        with used([load.host]) as spent:
            await load.deliver(count, at_once)
        after = await store_calls(load.fleet)
        how = f"{count} calls, {at_once} at once"
        slopes += [
            Slope(
                f"delivery.store_writes.{at_once}_at_once",
                (after["write"] - before["write"]) / count,
                "calls",
                how,
            ),
            Slope(
                f"delivery.cpu.{at_once}_at_once", 1e3 * spent.cpu_s / count, "ms", how
            ),
        ]
    return slopes


async def _drafts(load: Load) -> list[Slope]:
    before = await store_calls(load.fleet)
    began = time.monotonic()
    with used(hosts_of(load.fleet)) as spent:
        await asyncio.gather(*(_draft(load, n) for n in range(DRAFTS)))
    elapsed_s = time.monotonic() - began
    after = await store_calls(load.fleet)
    how = f"{DRAFTS} at once until each result was read, in {elapsed_s:.1f} s"
    slopes = [
        Slope(
            f"draft.store_{kind}s", (after[kind] - before[kind]) / DRAFTS, "calls", how
        )
        for kind in ("read", "write")
    ]
    slopes.append(Slope("draft.cpu", 1e3 * spent.cpu_s / DRAFTS, "ms", "all hosts"))
    return slopes


async def _draft(load: Load, number: int) -> None:
    url = f"http://{load.place.callers}/v1"
    headers = {
        "Authorization": f"Bearer {caller_key('atelier')}",
        "X-Request-Id": f"draft-{number}",
    }
    body = {"model": "draft", "prompt": PROMPT, "max_tokens": 20}
    session = load.fleet.session
    async with session.post(
        f"{url}/completions", json=body, headers=headers | {"Prefer": "respond-async"}
    ) as response:
        if response.status != 202:
            raise RuntimeError(f"draft not accepted: {await response.text()}")
    async with asyncio.timeout(DRAFT_WITHIN_S):
        while True:
            async with session.get(
                f"{url}/drafts/draft-{number}", headers=headers
            ) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(1.0)


def _whole(replies: list[Reply]) -> list[Reply]:
    wrong = [reply for reply in replies if not reply.complete]
    if wrong:
        raise RuntimeError(f"{len(wrong)} of {len(replies)} failed: {wrong[0]}")
    return replies
