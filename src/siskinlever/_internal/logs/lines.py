"""Rate-limited, non-blocking log output with one JSON object per line."""

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

# Maximum lines per second that a host writes for one event. A host serves some tens of
# requests per second, so more lines than this only repeat the same information.
LINES_PER_S = 50.0
# Lines of one event that may be written in a burst, for example after a runner
# crashed.
BURST_LINES = 200.0
# About 2 MB at 250 bytes per line; the memory limit of the process is 150 MB.
MAX_QUEUED_LINES = 8_192
FLUSH_PERIOD_S = 0.2
DROP_REPORT_PERIOD_S = 5.0
# Queued lines are joined into blocks of about this size, each written in one call.
WRITE_BLOCK_BYTES = 32_768
STANDARD_OUTPUT = 1


class LogLines:
    """The log of one process.

    Parameters
    ----------
    host : str
        Name of the host, written in each line.
    metrics : Metrics
        Counts dropped lines and failed writes.
    descriptor : int, default=STANDARD_OUTPUT
        File descriptor that the lines are written to. It is set to non-blocking
        mode, so that a reader that stalls does not block the process.
    now : callable, default=monotonic
        Returns the current time in seconds.
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
        """Queue one line; drop it if the rate limit is exceeded or the queue is full.

        Parameters
        ----------
        event : str
            Name of the decision or observation; all lines of an event share one
            rate limit.
        request : str, default=""
            Id of the request, if the line concerns one.
        **fields
            The input of the decision with its age or version, and the outcome.
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
        """Write queued lines and report dropped ones periodically until cancelled."""
        reported_at = self._now()
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()
            if self._now() - reported_at >= DROP_REPORT_PERIOD_S:
                reported_at = self._now()
                self._report_dropped()

    def flush(self) -> None:
        """Write as many queued lines as possible without blocking."""
        while self._unwritten or self._queue:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # For example, the reader has closed the pipe. The queued lines are
                # discarded, and the failure is counted in the metrics.
                self._metrics.count("log_writes_failed")
                self._unwritten = b""
                self._queue.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        lines: list[bytes] = []
        size = 0
        while self._queue and size < WRITE_BLOCK_BYTES:
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
    """Run the log of a process for the duration of the block; flush it on exit."""
    log = LogLines(host, metrics, descriptor)
    flush_task = asyncio.create_task(log.run(), name="log")
    try:
        yield log
    finally:
        flush_task.cancel()
        log.flush()
