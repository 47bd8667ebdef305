"""Open-loop load generator: sends requests on schedule, regardless of answers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count

import aiohttp

from ..client import Caller, Reply
from ..fleet import Fleet, caller_key
from ..standins.answers import answer_text
from .workloads import Arrival, Workload

LOOKUP_INTERVAL_S = 5.0
MAX_CONNECTIONS = 4000
MAX_ATTEMPTS = 3
LAG_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 20.0


@dataclass(slots=True)
class Result:
    """Result of one arrival.

    Parameters
    ----------
    first_token_at_s, last_token_at_s, ended_at_s : float
        Seconds since the start of the run; `first_token_at_s` is 0 if no
        token arrived.
    completions : int
        Number of complete answers received.
    cancelled : bool
        Whether the caller cancelled the request.
    correct : bool
        Whether the answer is complete and, if a model gave it, has the expected
        text.
    """

    arrival: Arrival
    reply: Reply = field(default_factory=Reply)
    first_token_at_s: float = 0.0
    last_token_at_s: float = 0.0
    ended_at_s: float = 0.0
    completions: int = 0
    cancelled: bool = False
    correct: bool = False

    @property
    def first_token_s(self) -> float:
        """Seconds from the scheduled send time to the first token."""
        return self.first_token_at_s - self.arrival.at_s

    @property
    def per_token_s(self) -> float:
        """Mean seconds between tokens."""
        tokens = self.arrival.kind.max_tokens
        return (
            (self.last_token_at_s - self.first_token_at_s) / (tokens - 1)
            if tokens > 1
            else 0.0
        )


class Generator:
    """Sends requests to one fleet as open-loop callers.

    Parameters
    ----------
    fleet : Fleet
    workload : Workload
    """

    def __init__(self, fleet: Fleet, workload: Workload) -> None:
        self._fleet = fleet
        self._workload = workload
        self._addresses: list[str] = []
        self._rotation = count()
        self._started_at = 0.0
        self.results: list[Result] = []
        self.max_lag_s = 0.0

    @property
    def now_s(self) -> float:
        return time.monotonic() - self._started_at

    async def run(self, planned_arrivals: Iterable[Arrival], started_at: float) -> None:
        """Send all arrivals and wait until each has ended.

        `started_at` is the monotonic time at which the run starts.
        """
        self._started_at = started_at
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = Caller(session, caller_key(self._workload.name))
            await self._refresh_addresses(caller)
            background_tasks = [
                asyncio.create_task(self._refresh_periodically(caller)),
                asyncio.create_task(self._measure_lag()),
            ]
            send_tasks = []
            for arrival in planned_arrivals:
                await asyncio.sleep(max(0.0, arrival.at_s - self.now_s))
                send_tasks.append(asyncio.create_task(self._send(caller, arrival)))
            await asyncio.gather(*send_tasks)
            for background_task in background_tasks:
                background_task.cancel()

    async def _send(self, caller: Caller, arrival: Arrival) -> None:
        result = Result(arrival)
        self.results.append(result)
        try:
            async with asyncio.timeout(arrival.cancel_after_s or ANSWER_TIMEOUT_S):
                await self._send_with_retries(caller, result)
        except TimeoutError:
            result.cancelled = arrival.cancel_after_s is not None
        result.ended_at_s = self.now_s

    async def _send_with_retries(self, caller: Caller, result: Result) -> None:
        """Send a request, and retry with the same id if the connection breaks.

        A retry goes to a host that has not been tried, if there is one.
        """
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            candidates = [
                a for a in self._addresses if a not in tried
            ] or self._addresses
            address = candidates[next(self._rotation) % len(candidates)]
            tried.add(address)
            result.reply = await self._call(caller, result, address)
            if result.reply.outcome:
                break
        arrival = result.arrival
        if result.reply.complete and result.reply.outcome == "answered":
            result.completions += 1
            text = answer_text(arrival.prompt, arrival.kind.max_tokens)
            result.correct = arrival.kind.service or result.reply.text == text

    async def _call(self, caller: Caller, result: Result, address: str) -> Reply:
        arrival = result.arrival

        async def on_chunk(reply: Reply) -> None:
            now_s = self.now_s
            result.first_token_at_s = result.first_token_at_s or now_s
            result.last_token_at_s = now_s

        if not arrival.kind.service:
            return await caller.complete(
                address,
                arrival.kind.name,
                arrival.prompt,
                arrival.kind.max_tokens,
                arrival.request_id,
                on_chunk=on_chunk,
            )
        reply = await caller.call_service(
            address,
            arrival.kind.name,
            {"proof": arrival.request_id},
            arrival.request_id,
        )
        result.first_token_at_s = result.last_token_at_s = self.now_s
        return reply

    async def _refresh_addresses(self, caller: Caller) -> None:
        """Update the addresses of the hosts from the first host that answers."""
        for place in self._fleet.endpoints_by_host.values():
            with suppress(aiohttp.ClientError, TimeoutError):
                hosts = await caller.hosts(place.callers)
                self._addresses = [host["address"] for host in hosts]
                return

    async def _refresh_periodically(self, caller: Caller) -> None:
        while True:
            await asyncio.sleep(LOOKUP_INTERVAL_S)
            await self._refresh_addresses(caller)

    async def _measure_lag(self) -> None:
        while True:
            before_sleep = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag_s = time.monotonic() - before_sleep - LAG_INTERVAL_S
            self.max_lag_s = max(self.max_lag_s, lag_s)
