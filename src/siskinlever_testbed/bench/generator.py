"""Sends arrivals at their intended moments, whatever the answers do."""

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

LOOKUP_PERIOD_S = 5.0
MOST_CONNECTIONS = 4000
TRIES = 3
LAG_PERIOD_S = 0.02
ANSWER_WITHIN_S = 20.0


@dataclass(slots=True)
class Result:
    """What became of one arrival.

    Parameters
    ----------
    first_s, last_s, ended_s : float
        Seconds since the start of the run; ``first_s`` is 0 with no token.
    completions : int
        Whole answers received.
    """

    arrival: Arrival
    reply: Reply = field(default_factory=Reply)
    first_s: float = 0.0
    last_s: float = 0.0
    ended_s: float = 0.0
    completions: int = 0
    cancelled: bool = False
    correct: bool = False

    @property
    def first_token_s(self) -> float:
        """Seconds from the intended moment to the first token."""
        return self.first_s - self.arrival.at_s

    @property
    def per_token_s(self) -> float:
        """Mean seconds between tokens."""
        tokens = self.arrival.kind.max_tokens
        return (self.last_s - self.first_s) / (tokens - 1) if tokens > 1 else 0.0


class Generator:
    """Open-loop callers of one fleet.

    Parameters
    ----------
    fleet : Fleet
    workload : Workload
    """

    def __init__(self, fleet: Fleet, workload: Workload) -> None:
        self._fleet = fleet
        self._workload = workload
        self._addresses: list[str] = []
        self._turn = count()
        self._began = 0.0
        self.results: list[Result] = []
        self.worst_lag_s = 0.0

    @property
    def now_s(self) -> float:
        return time.monotonic() - self._began

    async def run(self, planned: Iterable[Arrival], began: float) -> None:
        """Send all arrivals and wait until each has ended."""
        self._began = began
        connector = aiohttp.TCPConnector(limit=MOST_CONNECTIONS)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = Caller(session, caller_key(self._workload.name))
            await self._look_up(caller)
            helpers = [
                asyncio.create_task(self._follow_lookup(caller)),
                asyncio.create_task(self._measure_lag()),
            ]
            sent = []
            for arrival in planned:
                await asyncio.sleep(max(0.0, arrival.at_s - self.now_s))
                sent.append(asyncio.create_task(self._send(caller, arrival)))
            await asyncio.gather(*sent)
            for helper in helpers:
                helper.cancel()

    async def _send(self, caller: Caller, arrival: Arrival) -> None:
        result = Result(arrival)
        self.results.append(result)
        try:
            async with asyncio.timeout(arrival.cancels_after_s or ANSWER_WITHIN_S):
                await self._send_until_final(caller, result)
        except TimeoutError:
            result.cancelled = arrival.cancels_after_s is not None
        result.ended_s = self.now_s

    async def _send_until_final(self, caller: Caller, result: Result) -> None:
        """Send; a broken connection is followed by the same id elsewhere."""
        tried: set[str] = set()
        for _ in range(TRIES):
            left = [a for a in self._addresses if a not in tried] or self._addresses
            address = left[next(self._turn) % len(left)]
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

        async def on_piece(reply: Reply) -> None:
            now_s = self.now_s
            result.first_s = result.first_s or now_s
            result.last_s = now_s

        if not arrival.kind.service:
            return await caller.complete(
                address,
                arrival.kind.name,
                arrival.prompt,
                arrival.kind.max_tokens,
                arrival.request_id,
                on_piece=on_piece,
            )
        reply = await caller.call_service(
            address,
            arrival.kind.name,
            {"proof": arrival.request_id},
            arrival.request_id,
        )
        result.first_s = result.last_s = self.now_s
        return reply

    async def _look_up(self, caller: Caller) -> None:
        """Ask any host which hosts to use."""
        for place in self._fleet.place_by_host.values():
            with suppress(aiohttp.ClientError, TimeoutError):
                hosts = await caller.hosts(place.callers)
                self._addresses = [host["address"] for host in hosts]
                return

    async def _follow_lookup(self, caller: Caller) -> None:
        while True:
            await asyncio.sleep(LOOKUP_PERIOD_S)
            await self._look_up(caller)

    async def _measure_lag(self) -> None:
        while True:
            asked = time.monotonic()
            await asyncio.sleep(LAG_PERIOD_S)
            lag_s = time.monotonic() - asked - LAG_PERIOD_S
            self.worst_lag_s = max(self.worst_lag_s, lag_s)
