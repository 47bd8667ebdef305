"""Timeouts that don't take a pause of this process for silence of the other side.

A process that was not scheduled for a while finds its timers due and its answers
arrived at the same moment, and uvloop runs the timers first. The load in mind is a host
with a third of a core beside others, which may not run for a few tenths of a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from .clock import monotonic

# Seconds between two looks at the clock.
SLICE_S = 0.05
# A slice that ends later than this doesn't count: the process was paused during it.
MAX_LATE_S = 0.05
# Slices of one timeout that may be left out. A process that is paused again and again
# must not wait for ever.
MAX_PAUSES = 4


class _Ticker:
    """Expires a timeout after the time for which the process ran."""

    def __init__(self, scope: asyncio.Timeout, seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._scope = scope
        self._left_s = seconds
        self._pauses_left = MAX_PAUSES
        self._start_slice()

    def _start_slice(self) -> None:
        self._slice_s = min(SLICE_S, self._left_s)
        self._began_at = monotonic()
        self._handle = self._loop.call_later(self._slice_s, self._end_slice)

    def _end_slice(self) -> None:
        took_s = monotonic() - self._began_at
        if took_s - self._slice_s > MAX_LATE_S and self._pauses_left:
            self._pauses_left -= 1
        else:
            # Timers of uvloop may run up to a millisecond early.
            self._left_s -= min(self._slice_s, took_s)
        if self._left_s > 0:
            self._start_slice()
        else:
            self._scope.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Stop the timers."""
        self._handle.cancel()


@asynccontextmanager
async def running_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` if the block takes longer, without pauses of this process.

    Up to `MAX_PAUSES` pauses are left out.

    Parameters
    ----------
    seconds : float
        Seconds during which the process runs.
    """
    async with asyncio.timeout(None) as scope:
        ticker = _Ticker(scope, seconds)
        try:
            yield
        finally:
            ticker.cancel()
