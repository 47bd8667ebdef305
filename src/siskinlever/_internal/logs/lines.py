"""Writes one JSON object a line, bounded in volume and never blocking."""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from ..metrics.registry import Metrics
from ..utils.clock import monotonic

Value = str | int | float | bool | None

# Lines of one event that a host writes each second. A host serves some tens of
# requests a second; more lines than that tell the same thing again.
LINES_PER_S = 50.0
# Lines of one event that may come at once, as after a crash of a runner.
BURST_LINES = 200.0
# About 2 MB at 250 bytes a line; the process may have 150 MB.
MAX_QUEUED_LINES = 8_192
FLUSH_PERIOD_S = 0.2
DROP_REPORT_PERIOD_S = 5.0
MIN_BLOCK_BYTES = 32_768
STANDARD_OUTPUT = 1


class LogLines:
    """The log of one process.

    Parameters
    ----------
    host : str
        Stands in each line.
    metrics : Metrics
        Counts lines that were dropped.
    descriptor : int, default=STANDARD_OUTPUT
        Set to not block, so that a reader that stops delays nothing.
    now : callable, default=monotonic
    """

    def __init__(
        self,
        host: str,
        metrics: Metrics,
        descriptor: int = STANDARD_OUTPUT,
        now: Callable[[], float] = monotonic,
    ) -> None:
        self._host = host
        self._metrics = metrics
        self._descriptor = descriptor
        self._now = now
        self._queue: deque[bytes] = deque()
        self._unwritten = b""
        self._tokens_by_event: dict[str, tuple[float, float]] = {}
        self._dropped_by_event: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def write(self, event: str, request: str = "", **fields: Value) -> None:
        """Queue one line.

        Parameters
        ----------
        event : str
            What was decided or learned; lines of one event share a rate.
        request : str, default=""
            The request's id.
        **fields
            What decided it, with its age or version, and the outcome.
        """
        if len(self._queue) >= MAX_QUEUED_LINES or not self._take_token(event):
            self._dropped_by_event[event] += 1
            self._metrics.count("log_lines_dropped", event=event)
            return
        line: dict[str, Value] = {
            "time": round(time.time(), 3),
            "host": self._host,
            "event": event,
        }
        if request:
            line["request"] = request
        line.update(fields)
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._queue.append(text.encode() + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        reported_at = self._now()
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()
            if self._now() - reported_at >= DROP_REPORT_PERIOD_S:
                reported_at = self._now()
                self._report_dropped()

    def flush(self) -> None:
        """Write as much as the descriptor takes without waiting."""
        while self._unwritten or self._queue:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; the metrics tell of it.
                self._metrics.count("log_writes_failed")
                self._unwritten = b""
                self._queue.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._queue and size < MIN_BLOCK_BYTES:
            lines.append(self._queue.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def _take_token(self, event: str) -> bool:
        now = self._now()
        tokens, refilled_at = self._tokens_by_event.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - refilled_at) * LINES_PER_S)
        allowed = tokens >= 1
        self._tokens_by_event[event] = (tokens - allowed, now)
        return allowed

    def _report_dropped(self) -> None:
        dropped, self._dropped_by_event = self._dropped_by_event, Counter()
        for event, count in dropped.items():
            self.write("log.dropped", of=event, count=count)


@asynccontextmanager
async def log_lines(
    host: str, metrics: Metrics, descriptor: int = STANDARD_OUTPUT
) -> AsyncIterator[LogLines]:
    """Own the log of a process for the length of a block."""
    log = LogLines(host, metrics, descriptor)
    flush_task = asyncio.create_task(log.run(), name="log")
    try:
        yield log
    finally:
        flush_task.cancel()
        log.flush()
