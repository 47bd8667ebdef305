"""Event loop whose clock advances only when no callback is ready."""

from __future__ import annotations

import asyncio
import selectors
import time
from types import SimpleNamespace
from unittest import mock

from siskinlever._internal.utils import clock


class _InstantSelector(selectors.PollSelector):
    """Adds up the time that the loop would have slept and returns immediately.

    It takes descriptors of any number, unlike one that uses select().
    """

    def __init__(self) -> None:
        super().__init__()
        self.slept_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock: no timer is pending and every task is waiting"
            )
        self.slept_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without real waiting.

    Until `finish` is called, the package's monotonic clock returns this loop's time.
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

    def advance_time(self, seconds: float = 0.0) -> None:
        """Run the ready callbacks and the timers of the next `seconds`."""
        self.run_until_complete(asyncio.sleep(seconds))
        # Callbacks schedule further callbacks, so run some more iterations.
        for _ in range(8):
            self.run_until_complete(asyncio.sleep(0))

    def finish(self) -> None:
        """Cancel the remaining tasks, restore the clock and close the loop."""
        while tasks := asyncio.all_tasks(self):
            for task in tasks:
                task.cancel()
            self.run_until_complete(asyncio.wait(tasks))
        self._clock_patch.stop()
        self.close()
