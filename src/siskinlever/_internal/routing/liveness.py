"""Notices within a third of a second that an admission home is silent."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from ..exceptions import PeerError
from ..models.ids import HostName
from ..utils.clock import monotonic
from ..utils.tasks import TaskSet

T = TypeVar("T")

PROBE_PERIOD_S = 0.1
SILENT_FOR_S = 0.5

Probe = Callable[[HostName], Awaitable[Any]]


class HomeLiveness:
    """Probes homes while calls wait for them: one task for each home.

    A reservation may wait long for its decision, so the time that its call
    takes tells nothing; a probe is answered at once.

    Parameters
    ----------
    probe : callable
        Calls a host; raises `PeerError` if it does not answer.
    tasks : TaskSet
    """

    def __init__(self, probe: Probe, tasks: TaskSet) -> None:
        self._probe = probe
        self._tasks = tasks
        self._calls_by_home: Counter[HostName] = Counter()
        self._silence_by_home: dict[HostName, asyncio.Event] = {}
        self._silent_until_by_home: dict[HostName, float] = {}

    def is_silent(self, home: HostName) -> bool:
        """Tell whether a home was silent a moment ago."""
        return monotonic() < self._silent_until_by_home.get(home, 0.0)

    async def call(self, home: HostName, work: Coroutine[Any, Any, T]) -> T:
        """Do a call, unless its home falls silent; raises `PeerError`."""
        with self._watched(home) as silence:
            call = asyncio.ensure_future(work)
            noticed = asyncio.ensure_future(silence.wait())
            try:
                await asyncio.wait({call, noticed}, return_when=asyncio.FIRST_COMPLETED)
                if call.done():
                    return call.result()
                raise PeerError(f"{home} is silent")
            finally:
                call.cancel()
                noticed.cancel()

    @contextmanager
    def _watched(self, home: HostName) -> Iterator[asyncio.Event]:
        self._calls_by_home[home] += 1
        silence = self._silence_by_home.get(home)
        if silence is None:
            silence = self._silence_by_home[home] = asyncio.Event()
            self._tasks.start(self._watch(home, silence), f"probe-{home}")
        try:
            yield silence
        finally:
            self._calls_by_home[home] -= 1

    async def _watch(self, home: HostName, silence: asyncio.Event) -> None:
        try:
            while True:
                await asyncio.sleep(PROBE_PERIOD_S)
                if not self._calls_by_home[home]:
                    return
                await self._probe(home)
        except PeerError:
            self._silent_until_by_home[home] = monotonic() + SILENT_FOR_S
            silence.set()
        finally:
            del self._silence_by_home[home]
