"""Costs of requests: CPU, memory and calls to the key-value service."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from ..client import Caller, Reply
from ..fleet import Fleet, caller_key, running_fleet
from ..plans import ATELIER_ZONES, EnginePlan, FleetPlan, ServicePlan
from ..processes import Process
from .usage import (
    Cost,
    count_store_calls,
    host_processes,
    measure_usage,
    resident_bytes,
)

STREAMS = 140
TOKENS_BY_MODEL = {"lookup": 300, "paced": 120}
SMALL_REQUESTS = 300
SMALL_CONCURRENCY = 30
IN_FLIGHT = 300
IN_FLIGHT_TOKENS = 16
IN_FLIGHT_SETTLE_S = 4.0
DELIVERIES = 200
DELIVERY_CONCURRENCY = 20
DRAFTS = 20
DRAFT_TIMEOUT_S = 20.0
PROMPT = "Which stock suits the beach resort flyer?"
RELAXED_TARGETS = {"first_token_s": 60.0, "per_token_s": 1.0}
PLAN = FleetPlan(
    hosts=3,
    zones=ATELIER_ZONES,
    engines=(
        EnginePlan("fast", prefill=2, decode=4, slots=40, token_time_s=0.01),
        # Paced like one stream in docs/CAPACITY.md, so that each token is sent in
        # a separate event.
        EnginePlan("paced", prefill=2, decode=4, slots=40, token_time_s=0.065),
        EnginePlan("slow", prefill=1, decode=2, slots=200, token_time_s=0.5),
    ),
    services=(ServicePlan("client-portal", runners=3),),
    models=(
        {"name": "lookup", "pool": "fast", **RELAXED_TARGETS},
        {"name": "paced", "pool": "paced", **RELAXED_TARGETS},
        {"name": "long", "pool": "slow", **RELAXED_TARGETS},
        {"name": "draft", "pool": "fast", "urgency": "deferrable", **RELAXED_TARGETS},
    ),
)


async def measure(directory: Path) -> list[Cost]:
    """Measure requests that are all sent to one of three hosts."""
    async with running_fleet(PLAN, directory / "serving") as fleet:
        await fleet.apply()
        sender = RequestSender(fleet)
        await sender.complete_many(SMALL_CONCURRENCY, SMALL_CONCURRENCY, "lookup", 1)
        in_flight = await _measure_in_flight(sender)
        small = await _measure_small(sender)
        return [
            *in_flight,
            *small,
            *await _measure_long(sender, "lookup", small[0].value),
            *await _measure_long(sender, "paced", small[0].value),
            *await _measure_deliveries(sender),
            *await _measure_drafts(sender),
        ]


class RequestSender:
    """Sends requests to the first host of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.caller = Caller(fleet.session, caller_key("atelier"))
        self.place = next(iter(fleet.endpoints_by_host.values()))

    @property
    def host(self) -> Process:
        return self.fleet.process_by_name[self.place.name]

    async def complete_many(
        self, count: int, concurrency: int, model: str, tokens: int
    ) -> list[Reply]:
        """Send completions, at most `concurrency` at a time.

        Raises
        ------
        RuntimeError
            If an answer is incomplete.
        """
        semaphore = asyncio.Semaphore(concurrency)

        async def send_one(number: int) -> Reply:
            async with semaphore:
                prompt = f"{PROMPT} {number}"
                address = self.place.callers
                return await self.caller.complete(address, model, prompt, tokens)

        return _check_complete(
            await asyncio.gather(*(send_one(n) for n in range(count)))
        )

    async def deliver_many(self, count: int, concurrency: int) -> list[Reply]:
        """Call a non-idempotent service, at most `concurrency` calls at a time.

        Raises
        ------
        RuntimeError
            If an answer is incomplete.
        """
        semaphore = asyncio.Semaphore(concurrency)

        async def send_one(number: int) -> Reply:
            async with semaphore:
                body = {"proof": number}
                address = self.place.callers
                return await self.caller.call_service(address, "client-portal", body)

        return _check_complete(
            await asyncio.gather(*(send_one(n) for n in range(count)))
        )


async def _measure_small(sender: RequestSender) -> list[Cost]:
    others = [p for p in host_processes(sender.fleet) if p is not sender.host]
    with measure_usage([sender.host]) as small, measure_usage(others) as others_usage:
        await sender.complete_many(SMALL_REQUESTS, SMALL_CONCURRENCY, "lookup", 1)
    how = f"serving host, {SMALL_REQUESTS} of one token, {SMALL_CONCURRENCY} at once"
    others_how = "the other 2 hosts together, their idle cost included"
    request_ms = 1e3 * small.cpu_s / SMALL_REQUESTS
    elsewhere_ms = 1e3 * others_usage.cpu_s / SMALL_REQUESTS
    return [
        Cost("request.cpu", request_ms, "ms", how),
        Cost("request.cpu_elsewhere", elsewhere_ms, "ms", others_how),
    ]


async def _measure_long(
    sender: RequestSender, model: str, request_cpu_ms: float
) -> list[Cost]:
    length = TOKENS_BY_MODEL[model]
    started_at = time.monotonic()
    with measure_usage([sender.host]) as long:
        await sender.complete_many(STREAMS, STREAMS, model, length)
    elapsed_s = time.monotonic() - started_at
    tokens = STREAMS * (length - 1)
    token_s = (long.cpu_s - STREAMS * request_cpu_ms / 1e3) / tokens
    how = (
        f"{STREAMS} streams of {length} tokens, {tokens / elapsed_s:.0f} tokens/s, "
        "less the requests' own cost"
    )
    return [
        Cost(f"token.cpu.{model}", 1e6 * token_s, "us", how),
        Cost(f"token.per_core_s.{model}", 1 / token_s, "tokens", how),
    ]


async def _measure_in_flight(sender: RequestSender) -> list[Cost]:
    before = resident_bytes(sender.host.pid)
    streams = asyncio.create_task(
        sender.complete_many(IN_FLIGHT, IN_FLIGHT, "long", IN_FLIGHT_TOKENS)
    )
    await asyncio.sleep(IN_FLIGHT_SETTLE_S)
    grown = resident_bytes(sender.host.pid) - before
    await streams
    how = f"resident with {IN_FLIGHT} streams open, less without"
    return [Cost("request.memory_in_flight", grown / IN_FLIGHT / 1e3, "KB", how)]


async def _measure_deliveries(sender: RequestSender) -> list[Cost]:
    costs = []
    for concurrency in (1, DELIVERY_CONCURRENCY):
        count = DELIVERIES if concurrency > 1 else DELIVERIES // 4
        before = await count_store_calls(sender.fleet)
        with measure_usage([sender.host]) as usage:
            await sender.deliver_many(count, concurrency)
        after = await count_store_calls(sender.fleet)
        how = f"{count} calls, {concurrency} at once"
        costs += [
            Cost(
                f"delivery.store_writes.{concurrency}_at_once",
                (after["write"] - before["write"]) / count,
                "calls",
                how,
            ),
            Cost(
                f"delivery.cpu.{concurrency}_at_once",
                1e3 * usage.cpu_s / count,
                "ms",
                how,
            ),
        ]
    return costs


async def _measure_drafts(sender: RequestSender) -> list[Cost]:
    before = await count_store_calls(sender.fleet)
    started_at = time.monotonic()
    with measure_usage(host_processes(sender.fleet)) as usage:
        await asyncio.gather(*(_complete_draft(sender, n) for n in range(DRAFTS)))
    elapsed_s = time.monotonic() - started_at
    after = await count_store_calls(sender.fleet)
    how = f"{DRAFTS} at once until each result was read, in {elapsed_s:.1f} s"
    costs = [
        Cost(
            f"draft.store_{kind}s", (after[kind] - before[kind]) / DRAFTS, "calls", how
        )
        for kind in ("read", "write")
    ]
    costs.append(Cost("draft.cpu", 1e3 * usage.cpu_s / DRAFTS, "ms", "all hosts"))
    return costs


async def _complete_draft(sender: RequestSender, number: int) -> None:
    url = f"http://{sender.place.callers}/v1"
    headers = {
        "Authorization": f"Bearer {caller_key('atelier')}",
        "X-Request-Id": f"draft-{number}",
    }
    body = {"model": "draft", "prompt": PROMPT, "max_tokens": 20}
    session = sender.fleet.session
    async with session.post(
        f"{url}/completions", json=body, headers=headers | {"Prefer": "respond-async"}
    ) as response:
        if response.status != 202:
            raise RuntimeError(f"draft not accepted: {await response.text()}")
    async with asyncio.timeout(DRAFT_TIMEOUT_S):
        while True:
            async with session.get(
                f"{url}/drafts/draft-{number}", headers=headers
            ) as response:
                if response.status == 200:
                    return
            await asyncio.sleep(1.0)


def _check_complete(replies: list[Reply]) -> list[Reply]:
    incomplete = [reply for reply in replies if not reply.complete]
    if incomplete:
        raise RuntimeError(
            f"{len(incomplete)} of {len(replies)} failed: {incomplete[0]}"
        )
    return replies
