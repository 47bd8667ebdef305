"""How a host stops: it takes requests for a while, then ends those it has."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any

from ..utils.clock import monotonic

# Callers that looked up just before come for some seconds. Streams last some
# seconds more, and one that is cut cannot be repeated; other requests are short.
ACCEPT_STREAMS_S = 2.6
# Time of an output token at an engine with a usual load, and before the first.
OUTPUT_TOKEN_S = 0.008
FIRST_EVENT_S = 0.5
# Nothing arrives any more: no request for this long ends the wait early.
QUIET_PERIOD_S = 2.2
POLL_S = 0.05
# Before the platform ends the process, to close connections in order.
FINAL_MARGIN_S = 0.6


class Shutdown:
    """Counts connections and requests, and empties them when asked to.

    Parameters
    ----------
    grace_s : float
        After which the process is ended from outside.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._drain_started_at: float | None = None
        self._requests = 0
        self._last_request_at = monotonic()
        self._idle_tasks: set[asyncio.Task[Any]] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether the host was asked to stop."""
        return self._drain_started_at is not None

    def refuses_stream(self, output_tokens: int) -> bool:
        """Tell whether a stream that begins now might not end in time.

        Parameters
        ----------
        output_tokens : int
            Likely length.
        """
        if self._drain_started_at is None:
            return False
        elapsed_s = monotonic() - self._drain_started_at
        expected_s = FIRST_EVENT_S + OUTPUT_TOKEN_S * output_tokens
        is_in_time = elapsed_s + expected_s <= self._grace_s - FINAL_MARGIN_S
        return elapsed_s > ACCEPT_STREAMS_S or not is_in_time

    def refuses_plain(self, max_duration_s: float) -> bool:
        """Tell whether a request that may last some time might not end in time."""
        if self._drain_started_at is None:
            return False
        elapsed_s = monotonic() - self._drain_started_at
        return elapsed_s + max_duration_s > self._grace_s - FINAL_MARGIN_S

    @property
    def requests(self) -> int:
        """Requests in progress."""
        return self._requests

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request for the length of a block."""
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
        """Know a connection; the yielded block marks where it may be closed."""

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
        """Wait until no request is in progress and none is likely to come."""
        self._drain_started_at = monotonic()
        drain_until = self._drain_started_at + self._grace_s - FINAL_MARGIN_S
        while monotonic() < drain_until:
            quiet_s = monotonic() - max(self._last_request_at, self._drain_started_at)
            if not self._requests and quiet_s >= QUIET_PERIOD_S:
                break
            await asyncio.sleep(POLL_S)
        for task in list(self._idle_tasks):
            task.cancel()
