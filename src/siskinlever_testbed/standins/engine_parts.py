"""State of the stand-in engine: KV caches, generations and their slots."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

PREFIX_BLOCK_TOKENS = 64


@dataclass(slots=True)
class ExportedCache:
    """A KV cache that a decode engine can pull, once, until it expires."""

    prompt: str
    tokens: int
    expires_at: float
    pulled: bool = False


@dataclass(slots=True)
class Generation:
    """One decode, which any number of streams can follow."""

    request_id: str
    tokens: list[str]
    produced: int = 0
    done: bool = False
    aborted: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake the streams that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class PrioritySemaphore:
    """Semaphore that wakes waiters in order of their priority, lowest value first."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.holder_count = 0
        self._sequence = itertools.count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiter_count(self) -> int:
        return sum(not future.done() for _, _, future in self._waiters)

    async def acquire(self, priority: int) -> None:
        """Acquire the semaphore, waiting while it has `limit` holders."""
        if self.holder_count < self.limit:
            self.holder_count += 1
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._sequence), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release the semaphore to the next waiter, if there is one."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self.holder_count -= 1


class PrefixCache:
    """Cache of prompt prefixes in blocks, with least-recently-used eviction."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // PREFIX_BLOCK_TOKENS
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def match_and_insert(self, prompt: str) -> int:
        """Return the number of cached tokens of the prompt, and add it to the cache."""
        words = prompt.split(" ")
        digest = blake2b(digest_size=12)
        hits = 0
        missed = False
        for start in range(0, len(words) - PREFIX_BLOCK_TOKENS, PREFIX_BLOCK_TOKENS):
            block = " ".join(words[start : start + PREFIX_BLOCK_TOKENS])
            digest.update(block.encode())
            key = digest.digest()
            missed = missed or key not in self._blocks
            hits += not missed
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        return hits * PREFIX_BLOCK_TOKENS


def event_bytes(generation: Generation, position: int) -> bytes:
    """Return the server-sent event for the token at a position."""
    last = position == len(generation.tokens) - 1
    data = {
        "id": generation.request_id,
        "object": "text_completion",
        "choices": [
            {
                "index": 0,
                "text": generation.tokens[position],
                "finish_reason": "length" if last else None,
            }
        ],
    }
    return f"id: {position}\ndata: {json.dumps(data)}\n\n".encode()
