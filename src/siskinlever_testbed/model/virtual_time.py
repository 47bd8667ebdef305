"""An event loop whose clock goes on only when nothing else is left to do."""

from __future__ import annotations

import asyncio
import selectors
import time
from types import SimpleNamespace
from unittest import mock

from siskinlever._internal.utils import clock


class _InstantSelector(selectors.SelectSelector):
    """Reports how long the loop would have slept and returns at once."""

    def __init__(self) -> None:
        super().__init__()
        self.slept_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits for another")
        self.slept_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, with no real waiting.

    The package's monotonic clock is this loop's until `finish`.
    """

    def __init__(self) -> None:
        self._instant_selector = _InstantSelector()
        super().__init__(self._instant_selector)
        fake = SimpleNamespace(
            monotonic=self.time,
            time=time.time,
            clock_gettime=lambda clock_id: self.time(),
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        )
        self._clock_patch = mock.patch.object(clock, "time", fake)
        self._clock_patch.start()

    def time(self) -> float:
        return self._instant_selector.slept_s

    def go_on(self, seconds: float = 0.0) -> None:
        """Run all that is ready, and the timers of some seconds."""
        self.run_until_complete(asyncio.sleep(seconds))
        for _ in range(8):
            self.run_until_complete(asyncio.sleep(0))

    def finish(self) -> None:
        """Cancel what still runs and close."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.run_until_complete(asyncio.wait(tasks))
        self._clock_patch.stop()
        self.close()
