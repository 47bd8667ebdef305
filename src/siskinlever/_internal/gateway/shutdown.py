"""Graceful shutdown: accepts requests for a while, then waits for them to finish."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any

from ..utils.clock import monotonic

# Seconds after the start of the shutdown during which new streams are accepted.
# Callers that looked up the hosts shortly before keep sending requests for some
# seconds. Streams last several more seconds and cannot be repeated when they are
# interrupted; other requests are short.
ACCEPT_STREAMS_S = 2.6
# Seconds per output token at an engine under typical load.
OUTPUT_TOKEN_S = 0.008
# Seconds until the first event of a stream at an engine under typical load.
TYPICAL_FIRST_EVENT_S = 0.5
# Draining ends early after this many seconds without a new request, because then no
# more requests are expected.
QUIET_PERIOD_S = 2.2
POLL_S = 0.05
# Seconds reserved for closing connections before the platform kills the process.
FINAL_MARGIN_S = 0.6


class Shutdown:
    """Tracks requests and idle connections, and drains them on shutdown.

    Parameters
    ----------
    grace_s : float
        Seconds from the start of the shutdown until the platform kills the process.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._drain_started_at: float | None = None
        self._requests = 0
        self._last_request_at = monotonic()
        self._idle_tasks: set[asyncio.Task[Any]] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has started."""
        return self._drain_started_at is not None

    def refuses_stream(self, output_tokens: int) -> bool:
        """Return whether to refuse a new stream that might not end in time.

        Parameters
        ----------
        output_tokens : int
            Expected length of the stream.
        """
        if self._drain_started_at is None:
            return False
        elapsed_s = monotonic() - self._drain_started_at
        expected_s = TYPICAL_FIRST_EVENT_S + OUTPUT_TOKEN_S * output_tokens
        is_in_time = elapsed_s + expected_s <= self._grace_s - FINAL_MARGIN_S
        return elapsed_s > ACCEPT_STREAMS_S or not is_in_time

    def refuses_plain(self, max_duration_s: float) -> bool:
        """Return whether to refuse a new request that might not end in time.

        Parameters
        ----------
        max_duration_s : float
            Longest time that the request may take.
        """
        if self._drain_started_at is None:
            return False
        elapsed_s = monotonic() - self._drain_started_at
        return elapsed_s + max_duration_s > self._grace_s - FINAL_MARGIN_S

    @property
    def requests(self) -> int:
        """Number of requests in progress."""
        return self._requests

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as in progress for the duration of the block."""
        self._requests += 1
        self._last_request_at = monotonic()
        try:
            yield
        finally:
            self._requests -= 1

    @contextmanager
    def connection(
        self, task: asyncio.Task[Any] | None
    ) -> Iterator[Callable[[], AbstractContextManager[None]]]:
        """Register a connection that is served by a task.

        Parameters
        ----------
        task : asyncio.Task or None
            Cancelled at the end of `drain` if the connection is idle.

        Yields
        ------
        idle : callable
            Returns a context manager that marks the connection as idle.
        """

        @contextmanager
        def idle() -> Iterator[None]:
            if task is not None:
                self._idle_tasks.add(task)
            try:
                yield
            finally:
                if task is not None:
                    self._idle_tasks.discard(task)

        yield idle

    async def drain(self) -> None:
        """Start the shutdown and wait for the requests to end.

        Draining ends when no request is in progress and none has arrived during the
        quiet period, or `FINAL_MARGIN_S` before the grace period ends. Idle
        connections are closed then.
        """
        self._drain_started_at = monotonic()
        drain_until = self._drain_started_at + self._grace_s - FINAL_MARGIN_S
        while monotonic() < drain_until:
            quiet_s = monotonic() - max(self._last_request_at, self._drain_started_at)
            if not self._requests and quiet_s >= QUIET_PERIOD_S:
                break
            await asyncio.sleep(POLL_S)
        for task in list(self._idle_tasks):
            task.cancel()
