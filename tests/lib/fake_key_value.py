"""An in-memory key-value service in which a test chooses the outcome of each call."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from siskinlever._internal.coordination.key_value import Delete, Put, Record
from siskinlever._internal.exceptions import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)


class CallOutcome(Enum):
    """Outcome of a call."""

    SERVED = "served"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"
    # The caller times out; the write takes effect later, when the test runs it.
    LATE = "late"
    # The HTTP client resent the call because the first answer was lost.
    SENT_TWICE = "sent_twice"
    REFUSED = "refused"


@dataclass(slots=True)
class Call:
    """A pending call.

    Parameters
    ----------
    effect : callable
        Applies the call to the records and returns its result.
    writes : bool
    answer : asyncio.Future
    """

    effect: Callable[[], Any]
    writes: bool
    answer: asyncio.Future[Any] = field(default_factory=asyncio.Future)


class FakeKeyValue:
    """In-memory substitute for `KeyValueClient`."""

    def __init__(self) -> None:
        self.record_by_key: dict[str, Record] = {}
        self.written: list[tuple[str, bytes]] = []
        self.calls: list[Call] = []
        self.late: list[Callable[[], Any]] = []
        self._index = 1
        self._leases = 0

    async def get(self, key: str) -> Record | None:
        return await self._call(lambda: self.record_by_key.get(key), writes=False)

    async def put(self, key: str, value: bytes, expected_version: int) -> None:
        put = Put(key, value, expected_version)
        if await self._call(lambda: self._write_all([put]), writes=True):
            raise StoreConflictError(key)

    async def put_all(self, puts: list[Put | Delete]) -> set[str]:
        return await self._call(lambda: self._write_all(puts), writes=True)

    async def delete(self, key: str, expected_version: int) -> None:
        if not await self._call(
            lambda: self._delete(key, expected_version), writes=True
        ):
            raise StoreConflictError(key)

    async def open_lease(self, name: str, ttl_s: float, delete_records: bool) -> str:
        self._leases += 1
        lease = f"{name}-{self._leases}"
        return await self._call(lambda: lease, writes=True)

    async def renew_lease(self, lease: str) -> bool:
        return await self._call(lambda: True, writes=True)

    def settle(self, call: Call, fate: CallOutcome) -> None:
        """Complete a pending call with the given outcome."""
        self.calls.remove(call)
        if call.answer.done():  # The caller was cancelled.
            if fate is not CallOutcome.REQUEST_LOST:
                self.late.append(call.effect)
            return
        if fate in (CallOutcome.SERVED, CallOutcome.SENT_TWICE):
            result = call.effect()
            if fate is CallOutcome.SENT_TWICE:
                result = call.effect()
            call.answer.set_result(result)
            return
        if fate is CallOutcome.ANSWER_LOST:
            call.effect()
        if fate is CallOutcome.LATE and call.writes:
            self.late.append(call.effect)
        unknown = call.writes and fate is not CallOutcome.REFUSED
        error = StoreOutcomeUnknownError if unknown else StoreUnavailableError
        call.answer.set_exception(error(fate.value))

    def serve_all(self, run: Callable[[], None]) -> None:
        """Serve all calls; ``run`` resumes the callers after each round."""
        run()
        while self.calls:
            for call in list(self.calls):
                self.settle(call, CallOutcome.SERVED)
            run()

    async def _call(self, effect: Callable[[], Any], writes: bool) -> Any:
        call = Call(effect, writes)
        self.calls.append(call)
        return await call.answer

    def _write_all(self, puts: list[Put | Delete]) -> set[str]:
        conflicts = {
            put.key
            for put in puts
            if isinstance(put, Put) and self._version(put.key) != put.expected_version
        }
        for put in [] if conflicts else puts:
            if isinstance(put, Delete):
                self.record_by_key.pop(put.key, None)
                continue
            self._index += 1
            self.record_by_key[put.key] = Record(put.key, put.value, self._index)
            self.written.append((put.key, put.value))
        return conflicts

    def _delete(self, key: str, expected_version: int) -> bool:
        if self._version(key) != expected_version:
            return False
        self.record_by_key.pop(key, None)
        return True

    def _version(self, key: str) -> int:
        record = self.record_by_key.get(key)
        return record.version if record else 0
