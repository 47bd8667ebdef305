"""Stand-ins for the platform's runners: plain services and model engines.

They write raw HTTP instead of using a server library, so that a fault can violate
any rule of the protocol, and they record what they actually did.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from . import raw_http
from .runner_answers import (
    RawAnswer,
    Request,
    RunnerFault,
    StreamEnd,
    StreamFraming,
)
from .runner_process import RunnerProcess

BLOCK_TOKENS = 16
FIRST_VERSION = "v1"


@dataclass(slots=True)
class RunnerStandIn:
    """One runner.

    `ran` lists the attempt ids of the plain requests and decodes that it started to
    execute. `received` lists all requests, including prefills, but not the management
    calls of engines (`ENGINE_CALLS`).
    """

    name: str
    service: str
    port: int
    zone: str = "zone-a"
    slots: int = 6
    stage: str | None = None
    work_s: float = 0.01
    tokens_per_event: int = 7
    step_s: float = 0.002
    kv_capacity: int = 40_000
    fault: RunnerFault = RunnerFault.NONE
    # Faults of the next connections, one each, used before `fault`.
    next_faults: list[RunnerFault] = field(default_factory=list)
    handles_lapse: bool = False
    switch_s: float = 0.3
    # Start time in the registration, which identifies the process; None to omit it.
    born: int | None = None
    # Version of its software. Events name it unless it is the first version.
    version: str = FIRST_VERSION
    sequence: int = 0
    draining: bool = False
    ran: list[str] = field(default_factory=list)
    # Number of requests in progress, without those that `RunnerFault.MUTE` leaves
    # unanswered.
    running: int = 0
    received: list[Request] = field(default_factory=list)
    # Monotonic time of the arrival of each request in `received`.
    received_at: list[float] = field(default_factory=list)
    # Monotonic time, method and path of each arrival, also of management calls.
    arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    # Raw answers, one for each arrival, by attempt id (plain requests and decodes), by
    # "prefill " and attempt id, or by the path of a management call.
    raw_by_call: dict[str, list[RawAnswer]] = field(default_factory=dict)
    # Paths of management calls that it turns away.
    refused_calls: frozenset[str] = frozenset()
    # Whether its rejections carry the id of the request.
    rejects_with_id: bool = True
    # Value of the Server-Limit header in answers to requests; None to omit it.
    limit: str | None = None
    # Whether its answers state that it is leaving.
    leaving: bool = False
    # Value of the Retry-After header in its rejections; None to omit it.
    retry_after: str | None = None
    cancelled: list[str] = field(default_factory=list)
    # Attempts whose prompt an engine of another version has read.
    foreign_prompts: list[str] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    switching_until: float = 0.0
    refuses_holds: bool = False
    held_by_id: dict[str, int] = field(default_factory=dict)
    handle_by_id: dict[str, str] = field(default_factory=dict)
    used_tokens: int = 0
    stream_framing: StreamFraming = StreamFraming.CHUNKS
    line_end: str = "\n"
    # Event of a stream, counted from 1, in whose middle the stream is broken off.
    break_after_events: int | None = None
    break_end: StreamEnd = StreamEnd.RESET
    # Whether a request crashes the process that begins to run it, and after how long.
    crashes_on: Callable[[Request], bool] | None = None
    crash_delay_s: float = 0.05
    # Milliseconds for which an engine reads each token of a prompt before the head of
    # its answer. A request that crashes it then does so before the head.
    read_ms_per_token: float = 0.0
    process: RunnerProcess = field(init=False)
    # Events of the streams with which a plain service answers; None for whole bodies.
    events: int | None = None

    def __post_init__(self) -> None:
        self.process = RunnerProcess(self.serve, self.port)

    @property
    def address(self) -> str:
        """Address at which the runner listens."""
        return f"127.0.0.1:{self.port}"

    def entry(self) -> bytes:
        """Return the next registration of the runner for the store."""
        self.sequence += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        if self.stage:
            entry["stage"] = self.stage
        born = self.process.born or self.born
        if born is not None:
            entry["born"] = born
        return json.dumps(entry).encode()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            fault = self.next_faults.pop(0) if self.next_faults else self.fault
            request = await raw_http.read_request(
                reader, skip_body=fault is RunnerFault.EARLY
            )
            if request is not None:
                await self._answer(request, fault, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        request: Request,
        fault: RunnerFault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        path = "/" + request.target.partition("?")[0].split("/")[1]
        self.arrivals.append((time.monotonic(), request.method, path))
        handler = ENGINE_CALLS.get((request.method, path))
        if handler is not None and self.stage is not None:
            if raw := self._raw_answer(path):
                await self._send_raw(raw, reader, writer)
                return
            is_refused = path in self.refused_calls
            status, body = (503, {}) if is_refused else handler(self, request)
            head = self._statements() + self._pause(status)
            await raw_http.send(writer, status, head, json.dumps(body).encode())
            return
        self.received.append(request)
        self.received_at.append(time.monotonic())
        attempt_id = request.get("attempt-id") or ""
        expected = request.get("expected-instance")
        if expected not in (None, self.name):
            await raw_http.send(writer, 421, [("Instance-Id", self.name)], b"")
            return
        if fault in (RunnerFault.SHED, RunnerFault.EARLY) or self._is_switching():
            await raw_http.send(writer, 503, self._rejection_headers(attempt_id), b"")
            return
        is_prefill = request.get("serving-stage") == "prefill"
        if raw := self._raw_answer(("prefill " if is_prefill else "") + attempt_id):
            if not is_prefill:
                self.ran.append(attempt_id)
                self.held_by_id.pop(request.get("kv-hold") or "", None)
                self._take_handle(request.get("kv-source") or "", attempt_id)
            await self._send_raw(raw, reader, writer)
            return
        if fault is RunnerFault.MUTE:
            self.ran.append(attempt_id)
            await reader.read(1)
            self.cancelled.append(attempt_id)
            return
        self.running += 1
        try:
            await self._run(request, fault, reader, writer)
        finally:
            self.running -= 1

    async def _run(
        self,
        request: Request,
        fault: RunnerFault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.stage == "prefill" or request.get("serving-stage") == "prefill":
            await self._prefill(request, writer)
            return
        if self.stage == "decode":
            await self._decode(request, fault, reader, writer)
            return
        if self.events is not None:
            self.ran.append(request.get("attempt-id") or "")
            tokens = self.events * self.tokens_per_event
            await self._stream(request, fault, reader, writer, tokens)
            return
        await self._run_plain(request, fault, writer)

    def _raw_answer(self, call: str) -> RawAnswer | None:
        answers = self.raw_by_call.get(call)
        return answers.pop(0) if answers else None

    async def _send_raw(
        self,
        raw: RawAnswer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.running += 1
        try:
            await raw_http.play(raw, reader, writer)
        finally:
            self.running -= 1

    def _is_switching(self) -> bool:
        return time.monotonic() < self.switching_until

    async def _run_plain(
        self, request: Request, fault: RunnerFault, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.get("attempt-id") or ""
        self.ran.append(attempt_id)
        if await self._crash(request):
            return
        await asyncio.sleep(self.work_s)
        body = json.dumps(
            {
                "runner": self.name,
                "target": request.target,
                "body": request.body.decode("latin-1"),
                "padding": "x" * 600,
            }
        ).encode()
        head = self._answer_headers(attempt_id)
        if fault is RunnerFault.ERROR:
            await raw_http.send(writer, 500, head, b"failed")
        elif fault is RunnerFault.RESET_AFTER_RUN:
            raw_http.reset(writer)
        elif fault is RunnerFault.UNFRAMED_RESET:
            writer.write(raw_http.encode_head(200, head) + body[: len(body) // 2])
            await writer.drain()
            await asyncio.sleep(0.02)
            raw_http.reset(writer)
        elif fault is RunnerFault.UNFRAMED:
            writer.write(raw_http.encode_head(200, head) + body)
            await writer.drain()
        elif fault is RunnerFault.TRUNCATED:
            length = [("Content-Length", str(len(body)))]
            writer.write(
                raw_http.encode_head(200, head + length) + body[: len(body) // 2]
            )
            await writer.drain()
        elif fault is RunnerFault.GARBAGE:
            writer.write(b"\x00\x01 this is no answer\r\n\r\n")
            await writer.drain()
        elif fault is RunnerFault.FOREIGN:
            await raw_http.send(
                writer, 200, self._answer_headers("another-request"), body
            )
        elif fault is RunnerFault.UNSIGNED:
            await raw_http.send(writer, 200, [("Attempt-Id", attempt_id)], body)
        elif fault is RunnerFault.EXTRA:
            await raw_http.send(writer, 200, head, body)
            await raw_http.send(
                writer, 200, self._answer_headers("extra"), b"a second answer"
            )
        else:
            await raw_http.send(writer, 200, head, body)

    async def _prefill(self, request: Request, writer: asyncio.StreamWriter) -> None:
        prompt, _ = request.token_usage
        await asyncio.sleep(self.work_s)
        handle = secrets.token_hex(4)
        self.handle_by_id[handle] = request.get("attempt-id") or ""
        if self.handles_lapse:
            self.handle_by_id.clear()
        body = {"kv_handle": handle, "tokens": prompt, "version": 1}
        head = [("Attempt-Id", request.get("attempt-id") or ""), *self._statements()]
        await raw_http.send(writer, 200, head, json.dumps(body).encode())

    async def _decode(
        self,
        request: Request,
        fault: RunnerFault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt_id = request.get("attempt-id") or ""
        self.held_by_id.pop(request.get("kv-hold") or "", None)
        prompt, max_tokens = request.token_usage
        source = request.get("kv-source")
        if source and not self._take_handle(source, attempt_id):
            await raw_http.send(writer, 503, self._rejection_headers(attempt_id), b"")
            return
        self.ran.append(attempt_id)
        if fault is RunnerFault.ERROR:
            await raw_http.send(
                writer, 500, self._answer_headers(attempt_id), b"failed"
            )
            return
        if fault is RunnerFault.RESET_AFTER_RUN:
            raw_http.reset(writer)
            return
        self.used_tokens += prompt + max_tokens
        try:
            await self._stream(request, fault, reader, writer, max_tokens)
        finally:
            self.used_tokens -= prompt + max_tokens

    async def _stream(
        self,
        request: Request,
        fault: RunnerFault,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        max_tokens: int,
    ) -> None:
        attempt_id = request.get("attempt-id") or ""
        first = int(request.get("last-event-id") or "0") + 1
        events = range(first, max_tokens // self.tokens_per_event + 1)
        has_chunks = self.stream_framing is StreamFraming.CHUNKS
        head = [
            *self._answer_headers(attempt_id),
            ("Content-Type", "text/event-stream"),
            *([("Transfer-Encoding", "chunked")] if has_chunks else []),
        ]
        if self.read_ms_per_token:
            await asyncio.sleep(request.token_usage[0] * self.read_ms_per_token / 1000)
            if await self._crash(request):
                return
        writer.write(raw_http.encode_head(200, head))
        if await self._crash(request):
            return
        disconnected = asyncio.ensure_future(reader.read(1))
        try:
            for number in events:
                await asyncio.sleep(self.step_s * self.tokens_per_event)
                if disconnected.done():
                    self.cancelled.append(attempt_id)
                    return
                event = self._event(number)
                breaks_off = number - first + 1 == self.break_after_events
                if breaks_off:
                    event = event[: len(event) // 2]
                writer.write(raw_http.chunk(event) if has_chunks else event)
                await writer.drain()
                if breaks_off:
                    break
            else:
                breaks_off = False
            if breaks_off and self.break_end is StreamEnd.RESET:
                raw_http.reset(writer)
                return
            if fault is RunnerFault.TRUNCATED:
                return
            is_closed = breaks_off and self.break_end is StreamEnd.CLOSE
            if has_chunks and not is_closed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        finally:
            disconnected.cancel()

    async def _crash(self, request: Request) -> bool:
        """Crash if the request makes the process crash; return whether it did."""
        if self.crashes_on is None or not self.crashes_on(request):
            return False
        await asyncio.sleep(self.crash_delay_s)
        self.process.crash()
        self.handle_by_id.clear()
        self.held_by_id.clear()
        return True

    def _take_handle(self, source: str, attempt_id: str) -> bool:
        address, _, handle = source.partition("/")
        engine = ENGINE_BY_ADDRESS.get(address)
        if engine is None or engine.handle_by_id.pop(handle, None) is None:
            return False
        if engine.version != self.version:
            self.foreign_prompts.append(attempt_id)
        return True

    def _event(self, number: int) -> bytes:
        suffix = "" if self.version == FIRST_VERSION else f" of {self.version}"
        lines = [f"id: {number}", f"data: token-{number}{suffix}", "", ""]
        return self.line_end.join(lines).encode()

    def _answer_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        return [
            ("Attempt-Id", attempt_id),
            ("Server-Signature", f"{self.name}.{attempt_id}"),
            ("Instance-Load", f"{self.running},0,{self.slots}"),
            *self._statements(),
        ]

    def _rejection_headers(self, attempt_id: str) -> list[tuple[str, str]]:
        return [
            *([("Attempt-Id", attempt_id)] if self.rejects_with_id else []),
            ("Not-Executed", "1"),
            *self._statements(),
            *self._pause(503),
        ]

    def _statements(self) -> list[tuple[str, str]]:
        limit = [] if self.limit is None else [("Server-Limit", self.limit)]
        return limit + ([("Server-Leaving", "1")] if self.leaving else [])

    def _pause(self, status: int) -> list[tuple[str, str]]:
        if status != 503 or self.retry_after is None:
            return []
        return [("Retry-After", self.retry_after)]

    def report(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Answer a request for the engine's load report."""
        return 200, {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self._is_switching(),
            "sequence": len(self.orders),
            "queued": 0,
            "active": 0,
            "kv_used": self.used_tokens,
            "kv_total": self.kv_capacity,
            "kv_handles": len(self.handle_by_id),
            "held": sum(self.held_by_id.values()),
        }

    def take_hold(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Reserve KV cache for a number of tokens."""
        tokens = json.loads(request.body)["tokens"]
        used = self.used_tokens + sum(self.held_by_id.values())
        if self.refuses_holds or used + tokens > self.kv_capacity:
            return 503, {}
        hold = secrets.token_hex(4)
        self.held_by_id[hold] = tokens
        return 200, {"hold": hold}

    def drop_hold(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Release a reservation."""
        self.held_by_id.pop(request.target.rpartition("/")[2], None)
        return 200, {}

    def free_handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Free the KV cache of a prompt."""
        self.handle_by_id.pop(request.target.rpartition("/")[2], None)
        return 200, {}

    def order(self, request: Request) -> tuple[int, dict[str, Any]]:
        """Execute an order that changes the stage."""
        order = json.loads(request.body)
        highest = max((o["fencing_token"] for o in self.orders), default=0)
        if order["fencing_token"] < highest:
            return 412, {}
        expected = order.get("precondition", len(self.orders))
        if self._is_switching() or expected != len(self.orders):
            return 409, {}
        self.orders.append(order | {"at": time.monotonic()})
        self.stage = order["stage"]
        self.switching_until = time.monotonic() + self.switch_s
        return 202, {}


ENGINE_CALLS = {
    ("GET", "/report"): RunnerStandIn.report,
    ("POST", "/hold-take"): RunnerStandIn.take_hold,
    ("DELETE", "/hold-drop"): RunnerStandIn.drop_hold,
    ("DELETE", "/kv-handle"): RunnerStandIn.free_handle,
    ("POST", "/order"): RunnerStandIn.order,
}
# Running stand-ins by address, from which decode engines fetch KV caches.
ENGINE_BY_ADDRESS: dict[str, RunnerStandIn] = {}


@asynccontextmanager
async def running_runner(runner: RunnerStandIn) -> AsyncIterator[RunnerStandIn]:
    """Serve a runner for the duration of a `with` block."""
    await runner.process.start()
    ENGINE_BY_ADDRESS[runner.address] = runner
    try:
        yield runner
    finally:
        ENGINE_BY_ADDRESS.pop(runner.address, None)
        runner.process.close()
