"""Simulated engines in virtual time: batches, chunked prefill, memory in blocks.

One step produces a token for each decoding generation and prefills a chunk of one
prompt. Memory is allocated in blocks. If it runs out, the newest generation that
has outgrown its reservation is preempted, and its prompt and output so far have to
be prefilled again.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NewType

from siskinlever._internal.models.ids import ZoneName

HoldId = NewType("HoldId", int)

MS_PER_S = 1000.0
# A decode engine prefills at half the rate, in chunks of a quarter of the size.
DECODE_PREFILL_RATE_SHARE = 0.5
DECODE_CHUNK_SHARE = 0.25


class EngineFullError(Exception):
    """Raised when an engine has no free slot or too little free memory."""


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Capacity and speed of an engine, as stated in the users' site files.

    Parameters
    ----------
    batch : int
        Maximum number of concurrent generations.
    capacity : int
        Tokens that fit in the KV cache.
    step_ms, step_ms_per_run : float
        Duration of a step, and the additional time for each generation in it.
    prefill_tokens_per_ms : float
    prefill_overhead_ms : float
        Fixed time before a prefill, to which the time for its tokens is added.
    transfer_ms_per_token : float
    transfer_overhead_ms : float
        Fixed time of a transfer, to which the time for its tokens is added.
    chunk, block : int
        Tokens in a prefill chunk and in a block of memory.
    handle_ttl_s : float
        Seconds for which the KV cache of a prompt is kept for another engine.
    """

    batch: int
    capacity: int
    step_ms: float
    step_ms_per_run: float
    prefill_tokens_per_ms: float
    prefill_overhead_ms: float
    transfer_ms_per_token: float
    transfer_overhead_ms: float
    chunk: int = 1_024
    block: int = 16
    handle_ttl_s: float = 0.5


@dataclass(slots=True, eq=False)
class Run:
    """A generation, or a prompt that is only prefilled, on one engine.

    Parameters
    ----------
    prompt, output : int
        Tokens; `output` is 0 if the prompt is only prefilled.
    unprocessed : int
        Tokens that still have to be prefilled: of the prompt and, after a
        preemption, of the output so far.
    reserved : int
        Tokens of reserved memory, within which it is never preempted.
    produced : int
        Tokens of output so far.
    preempted_at : float or None
        Time of the preemption, until the next token is produced.
    max_gap_s : float
        Longest gap between two tokens that a preemption caused.
    first_token, ended : asyncio.Event
        Set when the first token is produced, and when the run has ended or its
        caller has disconnected.
    """

    prompt: int
    output: int
    unprocessed: int
    reserved: int = 0
    produced: int = 0
    preempted_at: float | None = None
    max_gap_s: float = 0.0
    first_token: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """One engine of one stage.

    Parameters
    ----------
    name, zone : str
    speed : EngineSpeed
    decodes : bool
        Whether the stage of the engine is decode, else prefill.
    now : callable
        Returns the time in seconds.

    Attributes
    ----------
    tokens_prefilled : int
        Tokens prefilled, including those prefilled again after a preemption.
    preempted : int
        Number of preemptions for lack of memory.
    is_leaving : bool
        Whether it finishes what it runs and refuses reservations.
    """

    def __init__(
        self,
        name: str,
        zone: ZoneName,
        speed: EngineSpeed,
        decodes: bool,
        now: Callable[[], float],
    ) -> None:
        self.name = name
        self.zone = zone
        self.speed = speed
        self.decodes = decodes
        self.tokens_prefilled = 0
        self.preempted = 0
        self.is_leaving = False
        self._now = now
        self._runs: list[Run] = []
        self._tokens_by_hold: dict[HoldId, int] = {}
        self._hold_count = 0
        self._handle_tokens = 0
        self._has_work = asyncio.Event()

    @property
    def used_tokens(self) -> int:
        """Tokens of memory that are allocated or reserved."""
        return (
            sum(max(self._allocated_tokens(r), r.reserved) for r in self._runs)
            + sum(self._tokens_by_hold.values())
            + self._handle_tokens
        )

    def take_hold(self, tokens: int) -> HoldId:
        """Reserve a slot and memory for a number of tokens.

        Raises `EngineFullError` if either is not available, or if it leaves.
        """
        used_slots = len(self._runs) + len(self._tokens_by_hold)
        if (
            self.is_leaving
            or used_slots >= self.speed.batch
            or self.used_tokens + tokens > self.speed.capacity
        ):
            raise EngineFullError(self.name)
        self._hold_count += 1
        hold = HoldId(self._hold_count)
        self._tokens_by_hold[hold] = tokens
        return hold

    def leave(self) -> None:
        """Refuse reservations from now on."""
        self.is_leaving = True

    def drop_hold(self, hold: HoldId) -> None:
        """Release a reservation."""
        self._tokens_by_hold.pop(hold, None)

    async def prefill(self, tokens: int) -> None:
        """Prefill a prompt and keep its KV cache for a decode engine."""
        run = Run(tokens, 0, tokens)
        await asyncio.sleep(self.speed.prefill_overhead_ms / MS_PER_S)
        self._start(run)
        await run.ended.wait()
        self._handle_tokens += tokens
        asyncio.get_running_loop().call_later(
            self.speed.handle_ttl_s, self._expire, tokens
        )

    def decode(
        self, prompt: int, output: int, hold: HoldId | None, is_prefilled: bool
    ) -> Run:
        """Start a generation, whose prompt may have been prefilled already.

        Without a reservation, raises `EngineFullError` if the engine is full.
        """
        if hold is None:
            self.drop_hold(self.take_hold(prompt))
        reserved = self._tokens_by_hold.pop(hold, 0) if hold is not None else 0
        run = Run(prompt, output, 0 if is_prefilled else prompt, reserved)
        self._start(run)
        return run

    def cancel(self, run: Run) -> None:
        """End a generation whose caller has disconnected."""
        if run in self._runs:
            self._runs.remove(run)
        run.ended.set()

    def transfer_s(self, tokens: int, from_zone: ZoneName) -> float:
        """Return the time to transfer the KV cache of a prompt, in seconds.

        A transfer from another zone takes twice as long per token.
        """
        zone_factor = 1.0 if from_zone == self.zone else 2.0
        speed = self.speed
        ms = (
            speed.transfer_overhead_ms
            + zone_factor * tokens * speed.transfer_ms_per_token
        )
        return ms / MS_PER_S

    async def run_steps(self) -> None:
        """Run one step after another while there is work, until cancelled."""
        while True:
            if not self._runs:
                self._has_work.clear()
                await self._has_work.wait()
            await asyncio.sleep(self._run_step())

    def _run_step(self) -> float:
        """Run one step and return its duration in seconds."""
        speed = self.speed
        prefilling = next((run for run in self._runs if run.unprocessed), None)
        decoding = [run for run in self._runs if not run.unprocessed]
        ms = 0.0
        if decoding:
            ms += speed.step_ms + speed.step_ms_per_run * len(decoding)
        if prefilling is not None:
            ms += self._prefill_chunk(prefilling)
        for run in decoding:
            self._produce(run)
        self._preempt_if_full()
        return ms / MS_PER_S

    def _prefill_chunk(self, run: Run) -> float:
        speed = self.speed
        rate, chunk = speed.prefill_tokens_per_ms, float(speed.chunk)
        if self.decodes:
            rate, chunk = rate * DECODE_PREFILL_RATE_SHARE, chunk * DECODE_CHUNK_SHARE
        tokens = min(run.unprocessed, int(chunk))
        run.unprocessed -= tokens
        self.tokens_prefilled += tokens
        if not run.unprocessed and not run.output:
            self._end(run)
        return tokens / rate

    def _produce(self, run: Run) -> None:
        now = self._now()
        if run.preempted_at is not None:
            run.max_gap_s = max(run.max_gap_s, now - run.preempted_at)
            run.preempted_at = None
        run.produced += 1
        run.first_token.set()
        if run.produced >= run.output:
            self._end(run)

    def _preempt_if_full(self) -> None:
        while self.used_tokens > self.speed.capacity:
            candidates = [
                r
                for r in self._runs
                if r.output and self._allocated_tokens(r) > r.reserved
            ]
            if not candidates:
                return
            newest = candidates[-1]
            self.preempted += 1
            self._runs.remove(newest)
            newest.unprocessed = newest.prompt + newest.produced
            newest.reserved = 0
            newest.preempted_at = self._now()
            asyncio.get_running_loop().call_later(
                self.speed.step_ms / MS_PER_S, self._readmit, newest
            )

    def _readmit(self, run: Run) -> None:
        if run.ended.is_set():
            return
        if self.used_tokens + run.unprocessed <= self.speed.capacity:
            self._start(run)
            return
        asyncio.get_running_loop().call_later(
            self.speed.step_ms / MS_PER_S, self._readmit, run
        )

    def _start(self, run: Run) -> None:
        self._runs.append(run)
        self._has_work.set()

    def _end(self, run: Run) -> None:
        self._runs.remove(run)
        run.ended.set()

    def _expire(self, tokens: int) -> None:
        self._handle_tokens -= tokens

    def _allocated_tokens(self, run: Run) -> int:
        tokens = (
            run.prompt + run.produced - (run.unprocessed if not run.produced else 0)
        )
        return math.ceil(tokens / self.speed.block) * self.speed.block
