"""The platform's store without a network, for the real client on a virtual clock."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock
from urllib.parse import parse_qs, urlsplit

from siskinlever._internal.exceptions import AnswerBrokenError
from siskinlever._internal.network.answer_end import AnswerEnd
from siskinlever._internal.network.http1_client import AnswerHead, Call
from siskinlever._internal.platform import store as store_client

CALL_S = 0.004
# Time in seconds after which the store ends a call of which it answers nothing.
NEVER_S = 3600.0


class MemoryStore:
    """Items and their history, and faults of the calls that are made.

    Attributes
    ----------
    is_down : bool
        Whether calls get 503.
    refused_paths : set of str
        Paths of calls that get 429.
    forgets : bool
        Whether the history of each revision is lost.
    watch_cut : callable or None
        Returns after how many seconds the next watch is cut; None to cut none.
    call_s : float
        Seconds that each answer takes.
    calls : list of str
        Paths of all calls so far.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.era: int | None = None
        self.is_down = False
        self.refused_paths: set[str] = set()
        self.forgets = False
        self.watch_cut: Callable[[], float] | None = None
        self.call_s = CALL_S
        self.calls: list[str] = []
        self._value_by_key: dict[str, tuple[bytes, int]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._silent: set[asyncio.Event] = set()
        self._in_flight: set[asyncio.Event] = set()

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        self._value_by_key[key] = (value, self.revision)
        self._note(self._item(key))

    def remove(self, key: str) -> None:
        """Remove an item."""
        del self._value_by_key[key]
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "deleted": True})

    def silence(self) -> None:
        """Answer nothing more on the channels that are open."""
        self._silent |= self._in_flight

    def snapshot(self) -> tuple[int, dict[str, tuple[bytes, int]]]:
        """Return a copy that `restore` accepts."""
        return self.revision, dict(self._value_by_key)

    def restore(self, copy: tuple[int, dict[str, tuple[bytes, int]]]) -> None:
        """Go back to a copy, in a new era."""
        self.revision, values = copy[0], dict(copy[1])
        self._value_by_key = values
        self._history = [e for e in self._history if e["revision"] <= self.revision]
        self.era = (self.era or 0) + 1

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key: str) -> dict[str, Any]:
        value, revision = self._value_by_key[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "lease_id": 0,
        }

    async def fetch(
        self, address: str, call: Call, timeout_s: float
    ) -> tuple[AnswerHead, bytes]:
        """Answer a call, as `http1_client.fetch`."""
        channel = asyncio.Event()
        self._in_flight.add(channel)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._answer(call)
                if channel in self._silent:
                    await asyncio.sleep(NEVER_S)
                return answer
        except TimeoutError as error:
            message = f"no answer within {timeout_s:g} s"
            raise AnswerBrokenError(message, end=AnswerEnd.SILENT) from error
        finally:
            self._in_flight.discard(channel)
            self._silent.discard(channel)

    async def _answer(self, call: Call) -> tuple[AnswerHead, bytes]:
        target = urlsplit(call.target.decode())
        query = {name: found[0] for name, found in parse_qs(target.query).items()}
        self.calls.append(target.path)
        await asyncio.sleep(self.call_s)
        if self.is_down:
            return self._head(503), b""
        if target.path in self.refused_paths:
            return self._head(429), b""
        if target.path == "/kv-range":
            return self._head(200), self._listing(query["prefix"])
        if target.path == "/kv-watch":
            return await self._watch(query)
        return self._head(404), b"{}"

    def _listing(self, prefix: str) -> bytes:
        items = [self._item(k) for k in self._value_by_key if k.startswith(prefix)]
        return json.dumps({"items": items, "current_rev": self.revision}).encode()

    async def _watch(self, query: dict[str, str]) -> tuple[AnswerHead, bytes]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        cut_s = self.watch_cut() if self.watch_cut else NEVER_S
        if after > self.revision or self.forgets:
            return self._head(410), b""
        try:
            async with asyncio.timeout(min(wait_s, cut_s)):
                while not (events := self._events(query["prefix"], after)):
                    await self._changed.wait()
        except TimeoutError:
            events = []
            if cut_s < wait_s:
                raise AnswerBrokenError("cut", end=AnswerEnd.RESET) from None
        answer = {"events": events, "current_rev": self.revision}
        return self._head(200), json.dumps(answer).encode()

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _head(self, status: int) -> AnswerHead:
        era = () if self.era is None else ((b"Store-Era", str(self.era).encode()),)
        return AnswerHead(status, era)


@contextmanager
def memory_store() -> Iterator[MemoryStore]:
    """Let all clients of the store call one in memory within the block."""
    store = MemoryStore()
    with mock.patch.object(store_client, "fetch", store.fetch):
        yield store
